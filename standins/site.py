"""A small site of the users' platform on loopback: store, members, promotion, and real hosts."""

import itertools
import os
import socket
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

import urllib3

from standins.fleet import LOOPBACK_PREFIX, Process, free_port, wait_until
from standins.ledger_group import FakeGroup, FakeMember, MemberServer
from standins.objects import FakeObjectStore
from standins.web import Server

ROOT = Path(__file__).resolve().parent.parent
DATABASES = {"orders": "primary", "stock": "bounded_stale", "accounts": "read_your_writes"}
KEY = "key-of-team-one"
SECOND_KEY = "key-of-team-two"
START_TIMEOUT_S = 15.0
BOUNDS = {
    "revoke_ms": 5000,
    "config_apply_ms": 3000,
    "grace_s": 6,
    "quota_slack": 20,
}


class FakePromotionApi:
    """Take promotion orders and check what they carry."""

    def __init__(self, *, groups: dict[str, FakeGroup]) -> None:
        self._groups = groups

    def connected(self) -> None:
        """Accept any connection."""

    def disconnected(self, link: None) -> None:
        """Forget a connection."""

    def handle(self, link: None, method: str, path: str, query: dict, body: dict):
        """Answer one order."""
        group = self._groups.get(body.get("service", ""))
        if path != "/promote" or group is None:
            return 404, {}
        return group.promote(body["id"]), {}


class LineClient:
    """Speak the callers' side of the line protocol."""

    def __init__(self, *, address: tuple[str, int], database: str, key: str = KEY) -> None:
        self._ids = itertools.count(1)
        self.sock = socket.create_connection(address, timeout=5.0)
        self._file = self.sock.makefile("rb")
        self.name = f"{self.sock.getsockname()[1]}"
        self.greeting = self.send(f"STARTUP {database} {key}")

    def send(self, line: str) -> list[str]:
        """Send a line and return the answer's lines, up to READY or the end."""
        self.sock.sendall(line.encode("latin-1") + b"\r\n")
        return self.receive()

    def receive(self) -> list[str]:
        """Return the lines of one answer."""
        lines = []
        while raw := self._file.readline():
            lines.append(raw.decode("latin-1").rstrip("\r\n"))
            if lines[-1].startswith("READY"):
                break
        return lines

    def query(self, text: str) -> list[str]:
        """Run a statement under a new id."""
        self.last_request_id = f"q{self.name}x{next(self._ids)}"
        return self.send(f"QUERY {self.last_request_id} {text}")

    def query_ok(self, text: str) -> list[str]:
        """Run a statement that must succeed."""
        lines = self.query(text)
        assert any(line.startswith("DONE") for line in lines), (text, lines)
        return lines

    def close(self) -> None:
        """End the session."""
        self._file.close()
        self.sock.close()


class Site:
    """Run a store, groups and hosts; a context manager stops them."""

    def __init__(
        self,
        *,
        hosts: int = 2,
        groups: int = 1,
        rate: float = 1000,
        burst: float = 1000,
        sync_replicas: int = 0,
        max_fds: int = 4000,
    ) -> None:
        self.max_fds = max_fds
        self.store = FakeObjectStore()
        self.groups = {
            name: FakeGroup(name=name, sync_replicas=sync_replicas)
            for name in (f"ledger{n}" for n in range(groups))
        }
        self.rate, self.burst, self.sync_replicas = rate, burst, sync_replicas
        self.version = 1
        self.keys = {"one": [KEY], "two": [SECOND_KEY]}
        self.hosts: dict[str, Process] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.ready: dict[str, str] = {}
        self._count = hosts
        self._servers: list[Server | MemberServer] = []
        self._stack = ExitStack()
        self._ports = {name: free_port() for name in ("store", "orders", "peers", "front", "ready")}
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))

    def __enter__(self) -> "Site":
        """Start all and wait until every host serves."""
        self._servers.append(self.store.serve(f"{LOOPBACK_PREFIX}.1", self._ports["store"]))
        orders = Server(
            app=FakePromotionApi(groups=self.groups),
            port=self._ports["orders"],
            ip=f"{LOOPBACK_PREFIX}.1",
        )
        self._servers.append(orders)
        import threading

        threading.Thread(target=orders.serve_forever, daemon=True).start()
        for group in self.groups.values():
            group.on_role_change = self.register_member
            for member in group.members.values():
                self._serve_member(member)
        self.configure()
        for number in range(self._count):
            self.start_host(f"edge-{number}")
        for name in self.hosts:
            wait_until(
                lambda name=name: self.is_ready(name), START_TIMEOUT_S, f"{name} is not ready"
            )
        return self

    def __exit__(self, *args: object) -> None:
        """Stop all."""
        for process in self.hosts.values():
            if process.handle.poll() is None:
                process.kill()
        for server in self._servers:
            server.shutdown()
            server.server_close()
        self._stack.close()

    @property
    def group(self) -> FakeGroup:
        """Return the first group."""
        return next(iter(self.groups.values()))

    def start_host(self, name: str) -> None:
        """Start a host process, or start it again at the same address."""
        number = int(name.rpartition("-")[2])
        ip = f"{LOOPBACK_PREFIX}.{10 + number}"
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, ip, f"zone-{number % 3}"))
        command = [sys.executable, str(ROOT / "platform" / "run.py")]
        process = Process(name=name, command=command, log=self.folder / f"{name}.log")
        os.environ["WAGTAILLOFT_CONFIG"] = str(path)
        process.start()
        self.hosts[name] = process
        self.addresses[name] = (ip, self._ports["front"])
        self.ready[name] = f"http://{ip}:{self._ports['ready']}/ready"

    def is_ready(self, name: str) -> bool:
        """Ask a host whether it takes callers."""
        try:
            answer = urllib3.request("GET", self.ready[name], timeout=1.0, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def log(self, name: str) -> str:
        """Return what a host has written."""
        return (self.folder / f"{name}.log").read_text()

    def open_session(self, host: str, database: str, key: str = KEY) -> LineClient:
        """Open a session at a host."""
        return LineClient(address=self.addresses[host], database=database, key=key)

    def configure(self) -> int:
        """Write a configuration of a new version; return its revision."""
        self.version += 1
        return self.store.put("config", "main", self._config())

    def register_member(self, member: FakeMember, **changes: object) -> None:
        """Write a member's entry as it sees itself."""
        spec = {
            "service": member.group.name,
            "addr": self._member_address(member),
            "zone": f"zone-{list(member.group.members).index(member.name) % 3}",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "cold_left_ms": 0,
            "db_role": member.role,
            "seq": 1,
            "born": 1,
        }
        self.store.put("servers", member.name, {**spec, **changes})

    def reassign_address(self, member: FakeMember, other: FakeMember) -> None:
        """Let another member answer at a member's address, whose entry stays as it is."""
        server = next(s for s in self._servers if getattr(s, "member", None) is member)
        server.member = other

    def _serve_member(self, member: FakeMember) -> None:
        ip, _, port = self._member_address(member).partition(":")
        self._servers.append(MemberServer(member=member, ip=ip, port=int(port)))
        self.register_member(member)

    def _member_address(self, member: FakeMember) -> str:
        if member.name not in self._ports:
            self._ports[member.name] = free_port()
        return f"{LOOPBACK_PREFIX}.2:{self._ports[member.name]}"

    def _config(self) -> dict:
        first = next(iter(self.groups))
        routes = [
            {
                "name": f"r-{host}",
                "host": host,
                "path_prefix": "/",
                "type": kind,
                "timeout_ms": 1500,
                "goal_ms": 250,
                "priority": 1,
                "service": first,
                "attempts": 2,
                "max_staleness_ms": 1500,
                "public": False,
            }
            for host, kind in DATABASES.items()
        ]
        services = [
            {"name": n, "max_conns": 16, "sync_replicas": self.sync_replicas} for n in self.groups
        ]
        tenants = [
            {"name": n, "api_keys": k, "priority": 1, "rate_per_s": self.rate, "burst": self.burst}
            for n, k in self.keys.items()
        ]
        limits = {"txn_idle_ms": 1000}
        told = {"routes": routes, "services": services, "limits": limits, "tenants": tenants}
        return {"version": self.version, **told}

    def _settings(self, name: str, ip: str, zone: str) -> str:
        peers = self._ports["peers"]
        bounds = "\n".join(f"{k} = {v}" for k, v in BOUNDS.items())
        return f"""
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "here"
port_range = [{peers},{peers + 1}]
seeds = ["{LOOPBACK_PREFIX}.10:1","{LOOPBACK_PREFIX}.11:1"]
[listen]
frontend = "{ip}:{self._ports["front"]}"
ready = "{ip}:{self._ports["ready"]}"
control = "{ip}:1"
[limits]
max_fds = {self.max_fds}
[bounds]
{bounds}
[platform]
addr = "{LOOPBACK_PREFIX}.1:{self._ports["store"]}"
[cloud_api]
addr = "{LOOPBACK_PREFIX}.1:{self._ports["orders"]}"
"""

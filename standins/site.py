"""A test site on loopback: fake store, groups and promotion API, and real host processes."""

import itertools
import os
import socket
import sys
import tempfile
import threading
from collections.abc import Mapping
from contextlib import ExitStack
from pathlib import Path

import urllib3

from standins.fleet import LOOPBACK_PREFIX, Process, free_port, wait_until
from standins.ledger_group import FakeGroup, FakeMember, MemberServer, read_line
from standins.objects import FakeObjectStore
from standins.web import Server

ROOT = Path(__file__).resolve().parent.parent
# The type of the route to each database.
DATABASES = {"orders": "primary", "stock": "bounded_stale", "accounts": "read_your_writes"}
KEY = "key-of-team-one"
SECOND_KEY = "key-of-team-two"
HOLDER_HEADER = "Wagtailloft-Duty-Holder"
FENCE_HEADER = "Wagtailloft-Fence-Token"
START_TIMEOUT_S = 15.0
BOUNDS = {
    "revoke_ms": 5000,
    "config_apply_ms": 3000,
    "grace_s": 6,
    "quota_slack": 20,
}


class FakePromotionApi:
    """Serve the cloud API's promotion call for fake groups.

    An order with a lower fencing token than an earlier one, or with the token of another holder, is
    rejected and recorded in `rejected`.
    """

    def __init__(self, *, groups: dict[str, FakeGroup]) -> None:
        self._groups = groups
        self._lock = threading.Lock()
        self.tokens: list[tuple[int, str]] = []  # of the accepted orders, with their holders
        self.rejected: list[str] = []

    def connected(self) -> dict[str, str]:
        """Accept a connection; its state is the headers of the present request."""
        return {}

    def disconnected(self, connection: dict[str, str]) -> None:
        """Ignore a closed connection."""

    def handle_headers(self, connection: dict[str, str], headers: Mapping[str, str]) -> None:
        """Remember the headers of a request."""
        connection.clear()
        connection.update(headers)

    def handle(
        self, connection: dict[str, str], method: str, path: str, query: dict, body: dict
    ) -> tuple[int, dict]:
        """Start the requested promotion; reply 404 for an unknown path or group, 403 if fenced."""
        group = self._groups.get(body.get("service", ""))
        if path != "/promote" or group is None:
            return 404, {}
        if not self._is_latest(int(connection[FENCE_HEADER]), connection[HOLDER_HEADER]):
            return 403, {}
        return group.promote(body["id"]), {}

    def _is_latest(self, token: int, holder: str) -> bool:
        with self._lock:
            known_token, known_holder = self.tokens[-1] if self.tokens else (0, "")
            if token < known_token or (token == known_token and holder != known_holder):
                self.rejected.append(f"{holder} with {token} after {known_holder}: {known_token}")
                return False
            self.tokens.append((token, holder))
            return True


class LineClient:
    """A caller's client for the line protocol, with one open session."""

    def __init__(self, *, address: tuple[str, int], database: str, key: str = KEY) -> None:
        self._ids = itertools.count(1)
        self.sock = socket.create_connection(address, timeout=5.0)
        self._file = self.sock.makefile("rb")
        self.name = f"{self.sock.getsockname()[1]}"
        self.greeting = self.send(f"STARTUP {database} {key}")

    def send(self, line: str) -> list[str]:
        """Send a line and return the lines of the reply."""
        self.sock.sendall(line.encode("latin-1") + b"\r\n")
        return self.receive()

    def receive(self) -> list[str]:
        """Return the lines of one reply, up to READY or the end of the connection."""
        lines = []
        while (line := read_line(self._file)) is not None:
            lines.append(line)
            if lines[-1].startswith("READY"):
                break
        return lines

    def query(self, text: str) -> list[str]:
        """Run a statement under a new request id and return the lines of the reply."""
        self.last_request_id = f"q{self.name}x{next(self._ids)}"
        return self.send(f"QUERY {self.last_request_id} {text}")

    def query_ok(self, text: str) -> list[str]:
        """Run a statement; raise AssertionError unless it succeeds."""
        lines = self.query(text)
        assert any(line.startswith("DONE") for line in lines), (text, lines)
        return lines

    def close(self) -> None:
        """Close the connection and with it the session."""
        self._file.close()
        self.sock.close()


class Site:
    """Run a store, groups and host processes until the context ends.

    `rate` (statements per second) and `burst` are the limits of each team. `bounds` and `service`
    add to the section of that name in the settings and to each group in the configuration.
    `limits` are further settings of each host's section of that name.
    """

    def __init__(
        self,
        *,
        hosts: int = 2,
        groups: int = 1,
        rate: float = 1000,
        burst: float = 1000,
        sync_replicas: int = 0,
        max_fds: int = 4000,
        bounds: Mapping[str, float] | None = None,
        service: Mapping[str, float] | None = None,
        limits: Mapping[str, int] | None = None,
    ) -> None:
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.service = dict(service or {})
        self.max_fds = max_fds
        self.limits = dict(limits or {})
        self.store = FakeObjectStore()
        self.groups = {
            name: FakeGroup(name=name, sync_replicas=sync_replicas)
            for name in (f"ledger{n}" for n in range(groups))
        }
        self.promotion_api = FakePromotionApi(groups=self.groups)
        self.rate, self.burst, self.sync_replicas = rate, burst, sync_replicas
        self.version = 1
        self.databases = dict(DATABASES)
        self.keys = {"one": [KEY], "two": [SECOND_KEY]}
        self.hosts: dict[str, Process] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.peer_addresses: dict[str, tuple[str, int]] = {}
        self.ready_urls: dict[str, str] = {}
        self._host_count = hosts
        self._is_running = False
        self._servers: list[Server | MemberServer] = []
        self._stack = ExitStack()
        self._ports = {
            name: free_port() for name in ("store", "promotion_api", "peers", "frontend", "ready")
        }
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))

    def __enter__(self) -> "Site":
        """Start everything and wait until every host is ready."""
        self._servers.append(self.store.serve(f"{LOOPBACK_PREFIX}.1", self._ports["store"]))
        promotion_api = Server(
            app=self.promotion_api,
            port=self._ports["promotion_api"],
            ip=f"{LOOPBACK_PREFIX}.1",
        )
        self._servers.append(promotion_api)
        threading.Thread(target=promotion_api.serve_forever, daemon=True).start()
        for group in self.groups.values():
            group.on_role_change = self.register_member
            for member in group.members.values():
                self._serve_member(member)
        self.configure()
        for number in range(self._host_count):
            self.start_host(f"edge-{number}")
        for name in self.hosts:
            wait_until(
                lambda name=name: self.is_ready(name), START_TIMEOUT_S, f"{name} is not ready"
            )
        self._is_running = True
        return self

    def __exit__(self, *args: object) -> None:
        """Kill the hosts and stop the servers."""
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
        """Start a host process, or restart it at the same address."""
        number = int(name.rpartition("-")[2])
        ip = f"{LOOPBACK_PREFIX}.{10 + number}"
        config_path = self.folder / f"{name}.toml"
        config_path.write_text(self._settings(name, ip, f"zone-{number % 3}"))
        command = [sys.executable, str(ROOT / "platform" / "run.py")]
        process = Process(name=name, command=command, log=self.folder / f"{name}.log")
        os.environ["WAGTAILLOFT_CONFIG"] = str(config_path)
        process.start()
        self.hosts[name] = process
        self.addresses[name] = (ip, self._ports["frontend"])
        self.peer_addresses[name] = (ip, self._ports["peers"])
        self.ready_urls[name] = f"http://{ip}:{self._ports['ready']}/ready"

    def is_ready(self, name: str) -> bool:
        """Tell whether a host reports that it accepts callers."""
        try:
            reply = urllib3.request("GET", self.ready_urls[name], timeout=1.0, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status == 200

    def log(self, name: str) -> str:
        """Return the log output of a host so far."""
        return (self.folder / f"{name}.log").read_text()

    def open_session(self, host: str, database: str, key: str = KEY) -> LineClient:
        """Open a session on a database at a host."""
        return LineClient(address=self.addresses[host], database=database, key=key)

    def configure(self) -> int:
        """Publish the configuration under a new version; return its store revision."""
        self.version += 1
        return self.store.put("config", "main", self._config())

    def register_member(self, member: FakeMember, **changes: object) -> None:
        """Write a member's record to the store, with its current role and `changes`."""
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
        """Serve `other` at the address of `member`, whose store record stays unchanged."""
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
        first_group = next(iter(self.groups))
        routes = [
            {
                "name": f"r-{database}",
                "host": database,
                "path_prefix": "/",
                "type": route_type,
                "timeout_ms": 1500,
                "goal_ms": 250,
                "priority": 1,
                "service": first_group,
                "attempts": 2,
                "max_staleness_ms": 1500,
                "public": False,
            }
            for database, route_type in self.databases.items()
        ]
        services = [
            {"name": n, "max_conns": 16, "sync_replicas": self.sync_replicas, **self.service}
            for n in self.groups
        ]
        tenants = [
            {"name": n, "api_keys": k, "priority": 1, "rate_per_s": self.rate, "burst": self.burst}
            for n, k in self.keys.items()
        ]
        limits = {"txn_idle_ms": 1000}
        sections = {"routes": routes, "services": services, "limits": limits, "tenants": tenants}
        return {"version": self.version, **sections}

    def _settings(self, name: str, ip: str, zone: str) -> str:
        peers = self._ports["peers"]
        bound_lines = "\n".join(f"{k} = {v}" for k, v in self.bounds.items())
        limit_lines = "\n".join(f"{k} = {v}" for k, v in self.limits.items())
        return f"""
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "here"
port_range = [{peers},{peers + 1}]
seeds = ["{LOOPBACK_PREFIX}.10:1","{LOOPBACK_PREFIX}.11:1"]
bootstrap = {"false" if self._is_running else "true"}
[listen]
frontend = "{ip}:{self._ports["frontend"]}"
ready = "{ip}:{self._ports["ready"]}"
control = "{ip}:1"
[limits]
max_fds = {self.max_fds}
{limit_lines}
[bounds]
{bound_lines}
[platform]
addr = "{LOOPBACK_PREFIX}.1:{self._ports["store"]}"
[cloud_api]
addr = "{LOOPBACK_PREFIX}.1:{self._ports["promotion_api"]}"
"""

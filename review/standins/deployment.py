"""A small deployment on loopback: store, cloud API, one group, and hosts of the project."""

import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path

from group import Group
from store import CloudApi, Store, serve

ROOT = Path(__file__).resolve().parent.parent.parent
DATABASES = {"orders": "primary", "stock": "bounded_stale", "accounts": "read_your_writes"}
KEY = "key-of-team-one"
START_TIMEOUT_S = 20.0
MAX_LINE_CHARS = 500


class Record:
    """Write what happened to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def __call__(self, text):
        """Write one line, of long ones the beginning."""
        text = text if len(text) <= MAX_LINE_CHARS else f"{text[:MAX_LINE_CHARS]}..."
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


class Host:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, *, site, name, ip, zone):
        self.name, self.ip, self.zone = name, ip, zone
        self.settings = site.folder / f"{name}.toml"
        self.process = None
        self._site = site

    def start(self):
        """Start the process."""
        self._site.write_settings(self)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["WAGTAILLOFT_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        output = (self._site.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            self._site.command, cwd=ROOT, env=env, stdout=output, stderr=output
        )
        self._site.started.append(self.process)
        self._site.log(f"host {self.name} started")

    def signal(self, number):
        """Send a signal to the process."""
        self._site.log(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        """Ask the ready address once."""
        try:
            url = f"http://{self.ip}:{self._site.ports['ready']}/ready"
            with urllib.request.urlopen(url, timeout=1.0) as response:
                return response.status == 200
        except (urllib.error.URLError, OSError):
            return False


class Site:
    """The deployment; use it in a with statement, which ends every process at the end."""

    def __init__(self, *, record, zones=None, group="ledger", rate=200):
        self.log = record
        self.rate = rate  # of the tenant, a second; also its burst
        self.started = []
        self.bootstrap = True
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._next_port = random.randint(12000, 28000)
        names = ("store", "cloud", "peers", "frontend", "ready", "control")
        self.ports = {name: self.free_port() for name in names}
        self.net = net
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = shlex.split(next(iter(deploy["roles"].values()))["run"])
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = Store()
        self.group = Group(name=group, store=self.store, log=record)
        self.cloud = CloudApi(groups={group: self.group}, log=record)
        self.zones = zones or {"zone-a": 1, "zone-b": 1, "zone-c": 1}  # hosts in each
        names = [(z, f"edge-{z}-{n + 1}") for z, count in self.zones.items() for n in range(count)]
        self.hosts = [
            Host(site=self, name=name, ip=f"{net}.{10 + i}", zone=zone)
            for i, (zone, name) in enumerate(names)
        ]
        self._servers = []

    def __enter__(self):
        self._servers = [
            serve(self.store, f"{self.net}.1", self.ports["store"]),
            serve(self.cloud, f"{self.net}.1", self.ports["cloud"]),
        ]
        for i, zone in enumerate(list(self.zones)[:3]):
            role = "replica" if i else "primary"
            self.group.add(f"i-{zone[-1]}1", zone, self.member_address(), role=role)
        self.store.put("config", "main", self.configuration(1))
        return self

    def __exit__(self, *args):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for server in self._servers:
            server.shutdown()
        self._folder.cleanup()

    def start_hosts(self):
        """Start every host, and wait until all are ready."""
        for host in self.hosts:
            host.start()
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > deadline:
                raise TimeoutError("the hosts are not ready")
            time.sleep(0.1)
        self.bootstrap = False
        self.log("all hosts are ready")

    def member_address(self):
        """Return a free address for a member."""
        return f"{self.net}.2", self.free_port()

    def configuration(self, version):
        """Return a configuration with a route of each type and one tenant."""
        routes = [
            {
                "name": f"r-{database}",
                "host": database,
                "path_prefix": "/",
                "type": kind,
                "timeout_ms": 800,
                "goal_ms": 250,
                "priority": 1,
                "service": self.group.name,
                "attempts": 2,
                "max_staleness_ms": 1500,
                "public": False,
            }
            for database, kind in DATABASES.items()
        ]
        service = {"name": self.group.name, "max_conns": 32, "sync_replicas": 0}
        limits = {"rate_per_s": self.rate, "burst": self.rate}
        tenant = {"name": "one", "api_keys": [KEY], "priority": 1, **limits}
        return {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": {"txn_idle_ms": 3000},
            "tenants": [tenant],
        }

    def write_settings(self, host):
        """Write the settings file of a host, as DEPLOY.md shows it."""
        net, ports = self.net, self.ports
        seeds = ",".join(f'"{h.ip}:{ports["control"]}"' for h in self.hosts[:3])
        host.settings.write_text(f"""node_name = "{host.name}"
role = "wagtailloft"
machine_class = "edge"
serves = ["edge","control"]
ip = "{host.ip}"
zone = "{host.zone}"
region = "pl-south"
port_range = [{ports["peers"]},{ports["peers"]}]
seeds = [{seeds}]
bootstrap = {"true" if self.bootstrap else "false"}
heartbeat_ms = 1200
[listen]
frontend = "{host.ip}:{ports["frontend"]}"
ready = "{host.ip}:{ports["ready"]}"
control = "{host.ip}:{ports["control"]}"
[limits]
memory_mb = 300
max_fds = 4200
[bounds]
stable_ms = 4000
drain_ms = 7000
grace_s = 6
config_apply_ms = 3000
strict_revoke = true
revoke_ms = 5000
quota_window_s = 5
quota_excess = 0.1
quota_slack = 20
[platform]
addr = "{net}.1:{ports["store"]}"
form = "objects"
[cloud_api]
addr = "{net}.1:{ports["cloud"]}"
""")

    def free_port(self):
        """Return a port that nothing uses."""
        while True:
            self._next_port += 1
            with socket.socket() as sock:
                try:
                    sock.bind(("127.0.0.1", self._next_port))
                except OSError:
                    continue
            return self._next_port


class Client:
    """A session of a caller; messages end with CR LF."""

    def __init__(self, *, site, host, database, number):
        self.log = site.log
        self.name = f"c{number}"
        self._count = 0
        self._buffer = b""
        self.sock = socket.create_connection((host.ip, site.ports["frontend"]), timeout=5.0)
        self.send(f"STARTUP {database} {KEY}")
        self.greeting = self.receive()

    def query(self, text):
        """Send a statement under a new id; return the id and the lines of the answer."""
        self._count += 1
        request_id = f"{self.name}x{self._count:04d}"
        self.send(f"QUERY {request_id} {text}")
        return request_id, self.receive()

    def send(self, line):
        """Send one message."""
        self.log(f"client {self.name} sends {line!r}")
        self.sock.sendall(line.encode("latin-1") + b"\r\n")

    def receive(self, timeout=5.0):
        """Return the lines of one answer, up to READY or the end of the connection."""
        lines = []
        self.sock.settimeout(timeout)
        try:
            while not lines or not lines[-1].startswith("READY"):
                while b"\r\n" not in self._buffer:
                    data = self.sock.recv(65536)
                    if not data:
                        raise ConnectionError
                    self._buffer += data
                raw, _, self._buffer = self._buffer.partition(b"\r\n")
                lines.append(raw.decode("latin-1"))
        except (OSError, ConnectionError) as exc:
            if lines or not isinstance(exc, TimeoutError):
                lines.append(f"(ends: {exc!r})")
        self.log(f"client {self.name} gets {lines}")
        return lines

    def close(self):
        """End the session."""
        self.sock.close()


def finish(record, verdict, code):
    """Write the verdict and exit."""
    record(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)

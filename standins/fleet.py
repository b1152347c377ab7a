"""Start and stop a small fleet of real processes on loopback."""

import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from wagtailloft import Session
from wagtailloft.operator_client import OperatorClient

NET = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
IP = f"{NET}.1"
FIRST_IP = 10
FIRST_PORT = 10_000
START_LIMIT_S = 20.0
STOP_LIMIT_S = 30.0
SECRET = "a secret for tests and demos only"

Made = dict[str, Any]


def free_port() -> int:
    """Return a port that no other fleet of this process used; the network is ours alone."""
    return next(_ports)


def until(ready: Callable[[], bool], limit: float, what: str) -> float:
    """Wait until a condition holds; return the seconds it took or raise TimeoutError."""
    started = time.monotonic()
    while time.monotonic() - started < limit:
        if ready():
            return time.monotonic() - started
        time.sleep(0.02)
    raise TimeoutError(f"after {limit} s: {what}")


@dataclass(kw_only=True)
class Process:
    """Hold one started process and where its output goes."""

    name: str
    command: list[str]
    log: Path
    handle: subprocess.Popen = field(init=False)
    frozen: bool = False

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as out:
            self.handle = subprocess.Popen(self.command, stdout=out, stderr=out)

    def kill(self) -> None:
        """Kill the process at once."""
        self.handle.send_signal(signal.SIGCONT)
        self.handle.kill()
        self.handle.wait()

    def freeze(self) -> None:
        """Stop the process from running until it is thawed."""
        self.frozen = True
        self.handle.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process run on."""
        self.frozen = False
        self.handle.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Ask the process to stop gracefully; return its exit code."""
        self.handle.send_signal(signal.SIGTERM)
        return self.handle.wait(STOP_LIMIT_S)

    @property
    def alive(self) -> bool:
        """Tell whether the process is there and not frozen."""
        return not self.frozen and self.handle.poll() is None


@dataclass(kw_only=True)
class MemberAt:
    """Hold a member's process and ports."""

    name: str
    zone: str
    ip: str
    port: int
    control_port: int
    process: Process
    port_via: int = 0
    control_via: int = 0

    def control(self, path: str, body: Made | None = None) -> Made:
        """Call the member's control port."""
        return call(f"http://{self.ip}:{self.control_port}/{path}", body)

    def answers(self) -> bool:
        """Tell whether the member serves its control port."""
        try:
            self.control("progress")
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return True


@dataclass(kw_only=True)
class HostAt:
    """Hold a daemon's process and ports."""

    name: str
    ip: str
    caller_port: int
    peer_port: int
    operator_port: int
    process: Process

    @property
    def url(self) -> str:
        """Return where callers reach this host."""
        return f"http://{self.ip}:{self.caller_port}"

    @property
    def operators(self) -> str:
        """Return where operators reach this host."""
        return f"{self.ip}:{self.operator_port}"


class Fleet:
    """Run a platform, groups of members, and daemons; stop them all at the end."""

    def __init__(
        self, *, zones: tuple[str, ...] = ("krk-a", "krk-b", "krk-c"), faults: bool = False
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.zones = zones
        self.hosts: dict[str, HostAt] = {}
        self.members: dict[str, list[MemberAt]] = {}
        self._processes = ExitStack()
        self._last_ip = FIRST_IP
        self.platform_port = free_port()
        self.platform = self._module(
            "platform", "standins.platform", f"--ip={IP}", f"--port={self.platform_port}"
        )
        until(self._platform_up, START_LIMIT_S, "the platform does not answer")
        self.faults_port = free_port() if faults else 0
        if faults:
            self._module("faults", "standins.faults", f"--ip={IP}", f"--port={self.faults_port}")
            until(self._faults_up, START_LIMIT_S, "the fault proxy does not answer")
        self.platform_via = self._link("platform", IP, self.platform_port)

    def __enter__(self) -> "Fleet":
        """Enter a block at whose end everything is killed."""
        return self

    def __exit__(self, *args: object) -> None:
        """Kill whatever still runs."""
        self._processes.close()

    def start_group(self, name: str, size: int = 3, slots: int = 2, connections: int = 16) -> None:
        """Start the members of a group."""
        members = []
        for number in range(size):
            port, control = free_port(), free_port()
            label = f"{name}-{number}"
            ip = self._next_ip()
            process = self._module(
                label,
                "standins.member",
                f"--name={label}",
                f"--ip={ip}",
                f"--port={port}",
                f"--control_port={control}",
                f"--slots={slots}",
                f"--connections={connections}",
            )
            zone = self.zones[number % len(self.zones)]
            at = MemberAt(
                name=label, zone=zone, ip=ip, port=port, control_port=control, process=process
            )
            until(at.answers, START_LIMIT_S, f"{label} does not answer")
            at.port_via = self._link(label, ip, port)
            at.control_via = self._link(f"{label}/control", ip, control)
            members.append(at)
        self.members[name] = members

    def start_host(self, name: str, platform: str = "", **process: object) -> HostAt:
        """Start a daemon."""
        ip = self._next_ip()
        ports = (free_port(), free_port(), free_port())
        announced = self._link(name, ip, ports[1])
        zone = self.zones[len(self.hosts) % len(self.zones)]
        path = self.folder / f"{name}.ini"
        extra = "".join(f"{k} = {v}\n" for k, v in process.items())
        address = platform or f"{IP}:{self.platform_via}"
        path.write_text(
            f"[host]\nname = {name}\nip = {ip}\nzone = {zone}\nregion = pl-south\n"
            f"caller_port = {ports[0]}\npeer_port = {ports[1]}\noperator_port = {ports[2]}\n"
            f"announced_peer_port = {announced}\n"
            f"[platform]\naddress = {address}\n[session]\nsecret = {SECRET}\n[process]\n{extra}"
        )
        started = self._module(name, "wagtailloft.daemon", f"--settings={path}")
        at = HostAt(
            name=name,
            ip=ip,
            caller_port=ports[0],
            peer_port=ports[1],
            operator_port=ports[2],
            process=started,
        )
        self.hosts[name] = at
        return at

    def tool(self, *args: str, host: str = "", check: bool = True) -> Made | list[Made]:
        """Run the command-line tool and return what it printed as JSON."""
        done = self.tool_run(*args, "--json", host=host)
        if check and done.returncode:
            raise RuntimeError(f"wagtailloft {' '.join(args)}: {done.stderr.strip()}")
        return json.loads(done.stdout) if done.stdout.strip() else {}

    def tool_run(self, *args: str, host: str = "") -> subprocess.CompletedProcess:
        """Run the command-line tool as a person would."""
        at = self.hosts[host] if host else next(iter(self.hosts.values()))
        command = [sys.executable, "-m", "wagtailloft.cli", *args, f"--host={at.operators}"]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def api(self, host: str = "") -> OperatorClient:
        """Return the operators' surface of a daemon."""
        at = self.hosts[host] if host else next(iter(self.hosts.values()))
        return OperatorClient(host=at.operators)

    def write_group(self, name: str, slots: int = 2, connections: int = 16) -> None:
        """Tell the fleet of a group's members."""
        members = [
            {
                "name": m.name,
                "ip": m.ip,
                "port": m.port_via,
                "control_port": m.control_via,
                "zone": m.zone,
            }
            for m in self.members[name]
        ]
        value = {"name": name, "members": members, "slots": slots, "connections": connections}
        self.api().put("group", name, value, 0)

    def create_group(self, name: str) -> None:
        """Tell the fleet of a group's members with the command-line tool."""
        places = [
            f"{m.name}@{m.ip}:{m.port_via}:{m.control_via}/{m.zone}" for m in self.members[name]
        ]
        self.tool("group", "create", name, *places)

    def session(self, route: str, key: str, hosts: list[str] | None = None) -> Session:
        """Return a caller's session over some hosts or all of them."""
        names = hosts or list(self.hosts)
        return Session(hosts=[self.hosts[n].url for n in names], route=route, key=key)

    def disturb(
        self, links: list[str], mode: str = "pass", source: str = "*", **given: float
    ) -> None:
        """Set what the fault proxy does on links, for one source or all."""
        body = {"links": links, "mode": mode, "source": source, **given}
        call(f"http://{IP}:{self.faults_port}/rule", body)

    def silence(self, links: list[str], source: str = "*") -> None:
        """Make the connections that are open on links silent for good."""
        call(f"http://{IP}:{self.faults_port}/silence", {"links": links, "source": source})

    def links_that_saw(self, needle: str) -> list[str]:
        """Return the links on which a text was sent."""
        return call(f"http://{IP}:{self.faults_port}/seen", {"needle": needle})["links"]

    def fault(self, **faults: object) -> None:
        """Inject faults into the platform."""
        call(f"http://{IP}:{self.platform_port}/faults", faults)

    def platform_calls(self) -> Made:
        """Return how many calls of each kind the platform has answered."""
        return call(f"http://{IP}:{self.platform_port}/calls")

    def status(self, host: str = "") -> Made:
        """Return the fleet's status as one host sees it."""
        at = self.hosts[host] if host else next(h for h in self.hosts.values() if h.process.alive)
        return call(f"http://{at.operators}/v1/status")

    def primary(self, group: str) -> MemberAt | None:
        """Return the member that leads a group's highest term."""
        reports = []
        for member in self.members[group]:
            try:
                reports.append((member.control("progress"), member))
            except (urllib3.exceptions.HTTPError, OSError):
                continue
        leaders = [(p["term"], m) for p, m in reports if p["role"] == "primary"]
        return max(leaders, key=lambda pair: pair[0])[1] if leaders else None

    def wait_hosts(self) -> None:
        """Wait until every daemon sees every other one and fresh settings."""
        for host in self.hosts.values():
            until(lambda h=host: self._settled(h), START_LIMIT_S, f"{host.name} is not settled")

    def wait_primary(self, group: str, limit: float = START_LIMIT_S) -> MemberAt:
        """Wait until a group has a primary."""
        found: list[MemberAt] = []

        def look() -> bool:
            found.extend(filter(None, [self.primary(group)]))
            return bool(found)

        until(look, limit, f"{group} has no primary")
        return found[-1]

    def _settled(self, host: HostAt) -> bool:
        try:
            status = call(f"http://{host.operators}/v1/status")
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return False
        fresh = [h for h in status["hosts"] if h["settings"] == "fresh"]
        return len(fresh) == len([h for h in self.hosts.values() if h.process.alive])

    def _next_ip(self) -> str:
        self._last_ip += 1
        return f"{NET}.{self._last_ip}"

    def _link(self, name: str, ip: str, port: int) -> int:
        if not self.faults_port:
            return port
        listen = free_port()
        body = {"name": name, "ip": ip, "port": listen, "target_ip": ip, "target_port": port}
        call(f"http://{IP}:{self.faults_port}/open", body)
        return listen

    def _faults_up(self) -> bool:
        try:
            call(f"http://{IP}:{self.faults_port}/seen", {"needle": "-"})
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return True

    def _platform_up(self) -> bool:
        try:
            call(f"http://{IP}:{self.platform_port}/hosts")
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return True

    def _module(self, name: str, module: str, *args: str) -> Process:
        log = self.folder / f"{name}.log"
        process = Process(name=name, command=[sys.executable, "-m", module, *args], log=log)
        process.start()
        self._processes.callback(_end, process)
        return process


def call(url: str, body: Made | None = None) -> Made:
    """Call a JSON endpoint: POST with a body, else GET."""
    if body is None:
        return _http.request("GET", url).json()
    return _http.request("POST", url, json=body).json()


def _end(process: Process) -> None:
    if process.handle.poll() is None:
        process.kill()


_ports = itertools.count(FIRST_PORT)
_http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=4)

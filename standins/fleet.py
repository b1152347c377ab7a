"""Start, control and stop a fleet of real processes on loopback."""

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

# Derived from the process id, so that two test runs at once don't share addresses.
LOOPBACK_PREFIX = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
STANDIN_IP = f"{LOOPBACK_PREFIX}.1"  # of the platform and of the fault proxy
LAST_RESERVED_OCTET = 10
FIRST_PORT = 10_000
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
SECRET = "a secret for tests and demos only"

JsonObject = dict[str, Any]


def free_port() -> int:
    """Return a port that this process has not used yet.

    Nothing else listens under `LOOPBACK_PREFIX`, so a counter is enough.
    """
    return next(_ports)


def wait_until(condition: Callable[[], bool], timeout: float, failure: str) -> float:
    """Wait until a condition holds and return the seconds it took.

    Raise TimeoutError with the text `failure` after `timeout` seconds.
    """
    started = time.monotonic()
    while time.monotonic() - started < timeout:
        if condition():
            return time.monotonic() - started
        time.sleep(0.02)
    raise TimeoutError(f"after {timeout} s: {failure}")


@dataclass(kw_only=True)
class Process:
    """A child process whose output is appended to a log file."""

    name: str
    command: list[str]
    log: Path
    handle: subprocess.Popen = field(init=False)
    suspended: bool = False

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as output:
            self.handle = subprocess.Popen(self.command, stdout=output, stderr=output)

    def kill(self) -> None:
        """Kill the process, suspended or not, and wait for its end."""
        self.handle.send_signal(signal.SIGCONT)
        self.handle.kill()
        self.handle.wait()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.suspended = True
        self.handle.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.suspended = False
        self.handle.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Stop the process gracefully with SIGTERM and return its exit code."""
        self.handle.send_signal(signal.SIGTERM)
        return self.handle.wait(STOP_TIMEOUT_S)

    @property
    def alive(self) -> bool:
        """Tell whether the process runs and is not suspended."""
        return not self.suspended and self.handle.poll() is None


@dataclass(kw_only=True)
class MemberProcess:
    """Describe a member's process and its ports.

    The `proxied_` ports are those of the fault proxy, or the member's own without one.
    """

    name: str
    zone: str
    ip: str
    port: int
    control_port: int
    process: Process
    proxied_port: int = 0
    proxied_control_port: int = 0

    def control(self, path: str, body: JsonObject | None = None) -> JsonObject:
        """Send a request to the member's control API: POST with a body, else GET."""
        return request_json(f"http://{self.ip}:{self.control_port}/{path}", body)

    def is_responding(self) -> bool:
        """Tell whether the member's control API replies."""
        try:
            self.control("progress")
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return True


@dataclass(kw_only=True)
class DaemonProcess:
    """Describe a daemon's process and its ports."""

    name: str
    ip: str
    caller_port: int
    peer_port: int
    operator_port: int
    process: Process

    @property
    def url(self) -> str:
        """Return the URL of the caller API."""
        return f"http://{self.ip}:{self.caller_port}"

    @property
    def operator_address(self) -> str:
        """Return the address of the operator API as IP:PORT."""
        return f"{self.ip}:{self.operator_port}"


class Fleet:
    """Run a platform, groups of members and daemons until the context ends.

    With `faults`, the connections to the platform, to members and between daemons pass through a
    fault proxy.
    """

    def __init__(
        self, *, zones: tuple[str, ...] = ("krk-a", "krk-b", "krk-c"), faults: bool = False
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.zones = zones
        self.hosts: dict[str, DaemonProcess] = {}
        self.members: dict[str, list[MemberProcess]] = {}
        self._processes = ExitStack()
        self._last_octet = LAST_RESERVED_OCTET
        self.platform_port = free_port()
        self.platform = self._start_module(
            "platform", "standins.platform", f"--ip={STANDIN_IP}", f"--port={self.platform_port}"
        )
        wait_until(self._platform_is_up, START_TIMEOUT_S, "the platform does not respond")
        self.fault_proxy_port = free_port() if faults else 0
        if faults:
            self._start_module(
                "faults", "standins.faults", f"--ip={STANDIN_IP}", f"--port={self.fault_proxy_port}"
            )
            wait_until(self._fault_proxy_is_up, START_TIMEOUT_S, "the fault proxy does not respond")
        self.proxied_platform_port = self._open_proxy_endpoint(
            "platform", STANDIN_IP, self.platform_port
        )

    def __enter__(self) -> "Fleet":
        """Return the fleet; leaving the context kills its processes."""
        return self

    def __exit__(self, *args: object) -> None:
        """Kill every process that still runs."""
        self._processes.close()

    def start_group(self, name: str, size: int = 3, slots: int = 2, connections: int = 16) -> None:
        """Start the members of a group and wait until they respond."""
        members = []
        for number in range(size):
            port, control_port = free_port(), free_port()
            label = f"{name}-{number}"
            ip = self._next_ip()
            process = self._start_module(
                label,
                "standins.member",
                f"--name={label}",
                f"--ip={ip}",
                f"--port={port}",
                f"--control_port={control_port}",
                f"--slots={slots}",
                f"--connections={connections}",
            )
            zone = self.zones[number % len(self.zones)]
            member = MemberProcess(
                name=label, zone=zone, ip=ip, port=port, control_port=control_port, process=process
            )
            wait_until(member.is_responding, START_TIMEOUT_S, f"{label} does not respond")
            member.proxied_port = self._open_proxy_endpoint(label, ip, port)
            member.proxied_control_port = self._open_proxy_endpoint(
                f"{label}/control", ip, control_port
            )
            members.append(member)
        self.members[name] = members

    def start_host(self, name: str, platform: str = "", **process: object) -> DaemonProcess:
        """Start a daemon.

        `platform` replaces the address of the platform; `process` sets options of the settings
        file's section of that name.
        """
        ip = self._next_ip()
        ports = (free_port(), free_port(), free_port())
        announced_port = self._open_proxy_endpoint(name, ip, ports[1])
        zone = self.zones[len(self.hosts) % len(self.zones)]
        settings_path = self.folder / f"{name}.ini"
        options = "".join(f"{k} = {v}\n" for k, v in process.items())
        address = platform or f"{STANDIN_IP}:{self.proxied_platform_port}"
        settings_path.write_text(
            f"[host]\nname = {name}\nip = {ip}\nzone = {zone}\nregion = pl-south\n"
            f"caller_port = {ports[0]}\npeer_port = {ports[1]}\noperator_port = {ports[2]}\n"
            f"announced_peer_port = {announced_port}\n"
            f"[platform]\naddress = {address}\n[session]\nsecret = {SECRET}\n[process]\n{options}"
        )
        daemon_process = self._start_module(
            name, "wagtailloft.daemon", f"--settings={settings_path}"
        )
        daemon = DaemonProcess(
            name=name,
            ip=ip,
            caller_port=ports[0],
            peer_port=ports[1],
            operator_port=ports[2],
            process=daemon_process,
        )
        self.hosts[name] = daemon
        return daemon

    def run_cli_json(
        self, *args: str, host: str = "", check: bool = True
    ) -> JsonObject | list[JsonObject]:
        """Run the command-line tool and return its JSON output; raise RuntimeError if it fails."""
        result = self.run_cli(*args, "--json", host=host)
        if check and result.returncode:
            raise RuntimeError(f"wagtailloft {' '.join(args)}: {result.stderr.strip()}")
        return json.loads(result.stdout) if result.stdout.strip() else {}

    def run_cli(self, *args: str, host: str = "") -> subprocess.CompletedProcess:
        """Run the command-line tool against a host, by default the first."""
        daemon = self.hosts[host] if host else next(iter(self.hosts.values()))
        command = [
            sys.executable,
            "-m",
            "wagtailloft.cli",
            *args,
            f"--host={daemon.operator_address}",
        ]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def api(self, host: str = "") -> OperatorClient:
        """Return an operator client for a host, by default the first."""
        daemon = self.hosts[host] if host else next(iter(self.hosts.values()))
        return OperatorClient(host=daemon.operator_address)

    def put_group(self, name: str, slots: int = 2, connections: int = 16) -> None:
        """Create a group from its running members through the operator API."""
        members = [
            {
                "name": m.name,
                "ip": m.ip,
                "port": m.proxied_port,
                "control_port": m.proxied_control_port,
                "zone": m.zone,
            }
            for m in self.members[name]
        ]
        value = {"name": name, "members": members, "slots": slots, "connections": connections}
        self.api().put("group", name, value, 0)

    def create_group_with_cli(self, name: str) -> None:
        """Create a group from its running members with the command-line tool."""
        member_specs = [
            f"{m.name}@{m.ip}:{m.proxied_port}:{m.proxied_control_port}/{m.zone}"
            for m in self.members[name]
        ]
        self.run_cli_json("group", "create", name, *member_specs)

    def session(self, route: str, key: str, hosts: list[str] | None = None) -> Session:
        """Return a caller's session over the given hosts, by default all."""
        names = hosts or list(self.hosts)
        return Session(hosts=[self.hosts[n].url for n in names], route=route, key=key)

    def set_proxy_fault(
        self, endpoints: list[str], mode: str = "pass", source: str = "*", **options: float
    ) -> None:
        """Set the fault proxy's rule for endpoints, for connections from one source IP or all.

        `options` are `delay_s` and `keep_bytes` of the rule.
        """
        body = {"links": endpoints, "mode": mode, "source": source, **options}
        request_json(f"http://{STANDIN_IP}:{self.fault_proxy_port}/rule", body)

    def blackhole_open_connections(self, endpoints: list[str], source: str = "*") -> None:
        """Discard all further data on the connections now open on endpoints; new ones work."""
        request_json(
            f"http://{STANDIN_IP}:{self.fault_proxy_port}/silence",
            {"links": endpoints, "source": source},
        )

    def endpoints_containing(self, needle: str) -> list[str]:
        """Return the endpoints on which a request contained a text."""
        return request_json(
            f"http://{STANDIN_IP}:{self.fault_proxy_port}/seen", {"needle": needle}
        )["links"]

    def set_platform_faults(self, **faults: object) -> None:
        """Set the platform's faults: `down`, `delay_s`, `drop_answers`."""
        request_json(f"http://{STANDIN_IP}:{self.platform_port}/faults", faults)

    def save_platform(self) -> None:
        """Make the platform remember its present state."""
        request_json(f"http://{STANDIN_IP}:{self.platform_port}/copy", {})

    def restore_platform(self) -> None:
        """Bring the platform back from the remembered state, in its next era."""
        request_json(f"http://{STANDIN_IP}:{self.platform_port}/restore", {})

    def platform_calls(self) -> JsonObject:
        """Return the platform's number of calls by kind."""
        return request_json(f"http://{STANDIN_IP}:{self.platform_port}/calls")

    def status(self, host: str = "") -> JsonObject:
        """Return the fleet's status from one host, by default the first that runs."""
        daemon = (
            self.hosts[host] if host else next(h for h in self.hosts.values() if h.process.alive)
        )
        return request_json(f"http://{daemon.operator_address}/v1/status")

    def primary(self, group: str) -> MemberProcess | None:
        """Return the member that is primary in the highest term of its group, if any responds."""
        reports = []
        for member in self.members[group]:
            try:
                reports.append((member.control("progress"), member))
            except (urllib3.exceptions.HTTPError, OSError):
                continue
        primaries = [(p["term"], m) for p, m in reports if p["role"] == "primary"]
        return max(primaries, key=lambda pair: pair[0])[1] if primaries else None

    def wait_hosts(self) -> None:
        """Wait until every daemon sees all others with fresh settings."""
        for host in self.hosts.values():
            wait_until(
                lambda h=host: self._sees_all_hosts(h),
                START_TIMEOUT_S,
                f"{host.name} does not see all hosts",
            )

    def wait_primary(self, group: str, timeout: float = START_TIMEOUT_S) -> MemberProcess:
        """Wait until a group has a primary and return it."""
        found: list[MemberProcess] = []

        def has_primary() -> bool:
            found.extend(filter(None, [self.primary(group)]))
            return bool(found)

        wait_until(has_primary, timeout, f"{group} has no primary")
        return found[-1]

    def _sees_all_hosts(self, host: DaemonProcess) -> bool:
        try:
            status = request_json(f"http://{host.operator_address}/v1/status")
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return False
        fresh = [h for h in status["hosts"] if h["settings"] == "fresh"]
        return len(fresh) == len([h for h in self.hosts.values() if h.process.alive])

    def _next_ip(self) -> str:
        self._last_octet += 1
        return f"{LOOPBACK_PREFIX}.{self._last_octet}"

    def _open_proxy_endpoint(self, name: str, ip: str, port: int) -> int:
        if not self.fault_proxy_port:
            return port
        listen_port = free_port()
        body = {"name": name, "ip": ip, "port": listen_port, "target_ip": ip, "target_port": port}
        request_json(f"http://{STANDIN_IP}:{self.fault_proxy_port}/open", body)
        return listen_port

    def _fault_proxy_is_up(self) -> bool:
        try:
            request_json(f"http://{STANDIN_IP}:{self.fault_proxy_port}/seen", {"needle": "-"})
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return True

    def _platform_is_up(self) -> bool:
        try:
            request_json(f"http://{STANDIN_IP}:{self.platform_port}/hosts")
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return True

    def _start_module(self, name: str, module: str, *args: str) -> Process:
        log = self.folder / f"{name}.log"
        process = Process(name=name, command=[sys.executable, "-m", module, *args], log=log)
        process.start()
        self._processes.callback(_kill_if_running, process)
        return process


def request_json(url: str, body: JsonObject | None = None) -> JsonObject:
    """Send a request to a JSON endpoint and return the reply: POST with a body, else GET."""
    if body is None:
        return _http.request("GET", url).json()
    return _http.request("POST", url, json=body).json()


def _kill_if_running(process: Process) -> None:
    if process.handle.poll() is None:
        process.kill()


_ports = itertools.count(FIRST_PORT)
_http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=4)

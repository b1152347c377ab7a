"""What experiments share: reports, latencies, and a fleet of a deployment's size."""

import json
import os
import subprocess
import threading
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from standins.fleet import Fleet, wait_until
from wagtailloft import Session, WagtailError

OUT = Path("out")
HIGHEST_US = 60_000_000
GROUP = "bookings-db"
ROUTE = "bookings"
TEAM = "archive-krakow"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(kw_only=True)
class Report:
    """Hold the figures of one run and how it was made."""

    command: str
    seed: int
    commit: str
    rows: list[dict[str, Any]] = field(default_factory=list)

    def add(self, what: str, **figures: Any) -> None:
        """Add one row and print it."""
        rounded = {k: round(v, 4) if isinstance(v, float) else v for k, v in figures.items()}
        self.rows.append({"what": what, **rounded})
        print(what + "  " + "  ".join(f"{k}={v}" for k, v in rounded.items()), flush=True)

    def save(self, name: str) -> None:
        """Write the record as JSON."""
        OUT.mkdir(exist_ok=True)
        (OUT / f"{name}.json").write_text(json.dumps(asdict(self), indent=2))


class Latency:
    """Hold latencies in a histogram."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(1, HIGHEST_US, 3)

    def note(self, seconds: float) -> None:
        """Add one latency."""
        with self._lock:
            self._histogram.record_value(max(1, int(seconds * 1e6)))

    def ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / 1000


class Bench:
    """Hold a fleet of a deployment's size with its teams."""

    def __init__(
        self, *, daemons: int = 8, groups: int = 1, connections: int = 32, faults: bool = False
    ) -> None:
        self.fleet = Fleet(faults=faults)
        self._daemons = daemons
        self._groups = groups
        self._connections = connections
        self.key = ""

    def __enter__(self) -> "Bench":
        """Start the fleet and wait until it serves."""
        names = [GROUP, *(f"{GROUP}-{n}" for n in range(2, self._groups + 1))]
        for name in names:
            self.fleet.start_group(name, connections=self._connections)
        for number in range(1, self._daemons + 1):
            self.fleet.start_host(f"host-{number}")
        self.fleet.wait_hosts()
        self.key = self.add_team(TEAM, 1e6, 1e6)
        for name in names:
            self.fleet.put_group(name, connections=self._connections)
            route = {"name": name.replace(GROUP, ROUTE), "group": name, "teams": [TEAM]}
            self.fleet.api().put("route", route["name"], route, 0)
        for route in [n.replace(GROUP, ROUTE) for n in names]:
            wait_until(lambda r=route: self._serves(r), 30.0, "the fleet does not serve")
        return self

    def __exit__(self, *args: object) -> None:
        """Stop the fleet."""
        self.fleet.__exit__(*args)

    def add_team(self, name: str, rate: float, burst: float) -> str:
        """Create a team with a key; return the key."""
        api = self.fleet.api()
        value = {"name": name, "rate": rate, "burst": burst, "weight": 1.0}
        api.put("team", name, value, 0)
        return self.fleet.run_cli_json("key", "create", name)["secret"]

    def session(self, route: str = ROUTE, key: str = "") -> Session:
        """Return a session that roams over all live hosts."""
        live = [n for n, h in self.fleet.hosts.items() if h.process.alive]
        return self.fleet.session(route, key or self.key, live)

    def tune(self, **given: float) -> None:
        """Set lag and work time of all members."""
        for members in self.fleet.members.values():
            for member in members:
                if member.process.alive:
                    member.control("tune", given)

    def cpu(self) -> float:
        """Return the processor seconds that all daemons used so far."""
        return sum(cpu_of(h.process.handle.pid) for h in self.fleet.hosts.values())

    def _serves(self, route: str) -> bool:
        try:
            for host in self.fleet.hosts.values():
                session = self.session(route)
                session.write("CREATE TABLE IF NOT EXISTS slots (id TEXT, who TEXT)", host=host.url)
        except WagtailError:
            return False
        return True


def cpu_of(pid: int) -> float:
    """Return the processor seconds that a process used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_of(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def commit() -> str:
    """Return the commit that is measured."""
    done = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True)
    return done.stdout.strip()

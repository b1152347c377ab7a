"""Reports, latency histograms and a deployment-sized fleet for load tests and measurements."""

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

OUTPUT_DIR = Path("out")
MAX_LATENCY_US = 60_000_000
GROUP = "bookings-db"
ROUTE = "bookings"
TEAM = "archive-krakow"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(kw_only=True)
class Report:
    """The figures of one run, with the command, seed and commit that produced them."""

    command: str
    seed: int
    commit: str
    rows: list[dict[str, Any]] = field(default_factory=list)

    def add(self, row_name: str, **figures: Any) -> None:
        """Add one row and print it."""
        rounded = {k: round(v, 4) if isinstance(v, float) else v for k, v in figures.items()}
        self.rows.append({"what": row_name, **rounded})
        print(row_name + "  " + "  ".join(f"{k}={v}" for k, v in rounded.items()), flush=True)

    def save(self, name: str) -> None:
        """Write the report to out/NAME.json."""
        OUTPUT_DIR.mkdir(exist_ok=True)
        (OUTPUT_DIR / f"{name}.json").write_text(json.dumps(asdict(self), indent=2))


class LatencyHistogram:
    """A thread-safe histogram of latencies from 1 microsecond to MAX_LATENCY_US."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, 3)

    def record(self, seconds: float) -> None:
        """Record one latency, in seconds."""
        with self._lock:
            self._histogram.record_value(max(1, int(seconds * 1e6)))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / 1000


class BenchmarkFleet:
    """A fleet of a deployment's size, by default 8 daemons, with a team, its key and routes.

    As a context manager it starts the fleet, creates one route to each group and stops the fleet
    at the end.
    """

    def __init__(
        self, *, daemons: int = 8, groups: int = 1, connections: int = 32, faults: bool = False
    ) -> None:
        self.fleet = Fleet(faults=faults)
        self._daemons = daemons
        self._groups = groups
        self._connections = connections
        self.key = ""

    def __enter__(self) -> "BenchmarkFleet":
        """Start the fleet and wait until every daemon serves every route."""
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
            wait_until(
                lambda r=route: self._serves_route(r), 30.0, "not every host serves the route"
            )
        return self

    def __exit__(self, *args: object) -> None:
        """Stop the fleet."""
        self.fleet.__exit__(*args)

    def add_team(self, name: str, rate: float, burst: float) -> str:
        """Create a team and an API key for it; return the key's secret."""
        api = self.fleet.api()
        value = {"name": name, "rate": rate, "burst": burst, "weight": 1.0}
        api.put("team", name, value, 0)
        return self.fleet.run_cli_json("key", "create", name)["secret"]

    def session(self, route: str = ROUTE, key: str = "") -> Session:
        """Return a session that sends its requests to all live hosts in turn."""
        live = [n for n, h in self.fleet.hosts.items() if h.process.alive]
        return self.fleet.session(route, key or self.key, live)

    def tune(self, **settings: float) -> None:
        """Set `lag_s` (replication lag) and `work_s` (time per statement) of all live members."""
        for members in self.fleet.members.values():
            for member in members:
                if member.process.alive:
                    member.control("tune", settings)

    def cpu_seconds(self) -> float:
        """Return the CPU seconds that all daemons have used so far."""
        return sum(process_cpu_seconds(h.process.handle.pid) for h in self.fleet.hosts.values())

    def _serves_route(self, route: str) -> bool:
        try:
            for host in self.fleet.hosts.values():
                session = self.session(route)
                session.write("CREATE TABLE IF NOT EXISTS slots (id TEXT, who TEXT)", host=host.url)
        except WagtailError:
            return False
        return True


def process_cpu_seconds(pid: int) -> float:
    """Return the user and system CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB (10**6 bytes)."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def current_commit() -> str:
    """Return the short hash of the checked-out commit."""
    result = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True)
    return result.stdout.strip()

"""The fleet that scenarios share."""

import secrets
import time

from standins.fleet import Fleet, MemberProcess, wait_until
from wagtailloft import Session, TryAgain
from wagtailloft.catalog import key_digest

TEAM = "archive-krakow"
GROUP = "bookings-db"
ROUTE = "bookings"
TABLE = "CREATE TABLE IF NOT EXISTS slots (id TEXT, who TEXT)"
INSERT = "INSERT INTO slots VALUES (?, ?)"
HALVES = "CREATE TABLE IF NOT EXISTS halves (id TEXT)"
HALF = "INSERT INTO halves VALUES (?)"
COUNT = "SELECT count(*) FROM slots WHERE id = ?"
START_S = 30.0


class World:
    """Hold one fleet with one group, a team, a key and a route."""

    def __init__(
        self, *, daemons: int, rate: float = 1e6, burst: float = 1e6, faults: bool = False
    ) -> None:
        self.fleet = Fleet(faults=faults)
        self.key = ""
        self._rate = rate
        self._burst = burst
        self._daemons = daemons

    def __enter__(self) -> "World":
        """Start the fleet and wait until it serves."""
        self.fleet.start_group(GROUP)
        for number in range(1, self._daemons + 1):
            self.fleet.start_host(f"host-{number}")
        self.fleet.wait_hosts()
        self.add_team(TEAM, self._rate, self._burst)
        self.key = self.add_key(TEAM)
        self.fleet.put_group(GROUP)
        self.add_route(ROUTE, TEAM)
        wait_until(self._serves, START_S, "the fleet does not serve")
        return self

    def __exit__(self, *args: object) -> None:
        """Stop the fleet."""
        self.fleet.__exit__(*args)

    def add_team(self, name: str, rate: float, burst: float, weight: float = 1.0) -> None:
        """Create a team."""
        value = {"name": name, "rate": rate, "burst": burst, "weight": weight}
        self.fleet.api().put("team", name, value, 0)

    def add_key(self, team: str) -> str:
        """Create a key; return its secret."""
        secret = secrets.token_urlsafe(32)
        digest = key_digest(secret)
        self.fleet.api().put("key", digest, {"digest": digest, "team": team}, 0)
        return secret

    def add_route(self, name: str, *teams: str, group: str = GROUP, is_open: bool = False) -> None:
        """Create a route."""
        value = {"name": name, "group": group, "teams": teams, "open": is_open}
        self.fleet.api().put("route", name, value, 0)

    def withdraw(self, secret: str, host: str = "") -> None:
        """Withdraw a key."""
        self.fleet.api(host).remove("key", key_digest(secret))

    def set_level(self, level: str, host: str = "", **given: str) -> int:
        """Override options at a level of the settings tree; return the revision."""
        api = self.fleet.api(host)
        found = api.find("level", level)
        value = {"name": level, "options": given}
        return api.put("level", level, value, found["revision"] if found else 0)["revision"]

    def session(self, *hosts: str, key: str = "", route: str = ROUTE) -> Session:
        """Return a caller's session over some hosts or all."""
        return self.fleet.session(route, key or self.key, list(hosts))

    def url(self, number: int) -> str:
        """Return where callers reach a daemon."""
        return self.fleet.hosts[f"host-{number}"].url

    def owner(self) -> str:
        """Return the name of the host that led the latest promotion."""
        decisions = self.fleet.api(self._alive()).call("GET", f"explain/{GROUP}")
        return [d["host"] for d in decisions if d["what"] == "promoted"][-1]

    def log_of(self, member: MemberProcess | None = None) -> list[list]:
        """Return the work in a member's log, the primary's if none is given."""
        member = member or self.fleet.wait_primary(GROUP)
        entries = member.control("dump")["entries"]
        return [work for entry in entries for work in entry["work"]]

    def ids_in_log(self) -> list[str]:
        """Return the ids of the rows that the surviving log inserts."""
        marker = INSERT.partition(" VALUES")[0]
        return [args[0] for sql, args in self.log_of() if sql.startswith(marker)]

    def wait_level(self, limit: float = START_S) -> None:
        """Wait until all members that run hold the same log."""
        wait_until(self._level, limit, "the members' logs differ")

    def _level(self) -> bool:
        running = [m for m in self.fleet.members[GROUP] if m.process.alive]
        reports = [m.control("progress") for m in running]
        logs = {str(m.control("dump")["entries"]) for m in running}
        return len(logs) == 1 and len({r["term"] for r in reports}) == 1

    def _alive(self) -> str:
        return next(h.name for h in self.fleet.hosts.values() if h.process.alive)

    def _serves(self) -> bool:
        try:
            for host in self.fleet.hosts:
                self.session(host).write(TABLE)
                self.session(host).write(HALVES)
        except TryAgain:
            return False
        return True


def world_of(context, daemons: int, **given: float) -> World:
    """Start a world that ends with the scenario."""
    context.world = context.stack.enter_context(World(daemons=daemons, **given))
    return context.world


def pause(seconds: float) -> None:
    """Let load run for a while."""
    time.sleep(seconds)

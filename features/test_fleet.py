"""A fleet of daemons and database members for scenarios, with one group, team and route."""

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
SECOND_TABLE = "CREATE TABLE IF NOT EXISTS halves (id TEXT)"
INSERT_SECOND_ROW = "INSERT INTO halves VALUES (?)"
COUNT = "SELECT count(*) FROM slots WHERE id = ?"
START_TIMEOUT_S = 30.0


class TestFleet:
    """A fleet with one group, one team, one key of the team and one route.

    `rate` and `burst` limit the team's requests per second. With `faults`, all traffic passes
    the fault proxy, which can delay, block and cut it.
    """

    def __init__(
        self, *, daemons: int, rate: float = 1e6, burst: float = 1e6, faults: bool = False
    ) -> None:
        self.fleet = Fleet(faults=faults)
        self.key = ""
        self._rate = rate
        self._burst = burst
        self._daemons = daemons

    def __enter__(self) -> "TestFleet":
        """Start the fleet and wait until every host accepts writes."""
        self.fleet.start_group(GROUP)
        for number in range(1, self._daemons + 1):
            self.fleet.start_host(f"host-{number}")
        self.fleet.wait_hosts()
        self.add_team(TEAM, self._rate, self._burst)
        self.key = self.add_key(TEAM)
        self.fleet.put_group(GROUP)
        self.add_route(ROUTE, TEAM)
        wait_until(self._accepts_writes, START_TIMEOUT_S, "not every host accepts writes")
        return self

    def __exit__(self, *args: object) -> None:
        """Stop the fleet."""
        self.fleet.__exit__(*args)

    def add_team(self, name: str, rate: float, burst: float, weight: float = 1.0) -> None:
        """Create a team with a rate in requests per second, a burst and a weight."""
        value = {"name": name, "rate": rate, "burst": burst, "weight": weight}
        self.fleet.api().put("team", name, value, 0)

    def add_key(self, team: str) -> str:
        """Create an API key for a team; return its secret."""
        secret = secrets.token_urlsafe(32)
        digest = key_digest(secret)
        self.fleet.api().put("key", digest, {"digest": digest, "team": team}, 0)
        return secret

    def add_route(self, name: str, *teams: str, group: str = GROUP, is_open: bool = False) -> None:
        """Create a route to a group; an open route needs no key."""
        value = {"name": name, "group": group, "teams": teams, "open": is_open}
        self.fleet.api().put("route", name, value, 0)

    def withdraw_key(self, secret: str, host: str = "") -> None:
        """Delete the key with a secret, through one host or any."""
        self.fleet.api(host).remove("key", key_digest(secret))

    def set_level(self, level: str, host: str = "", **options: str) -> int:
        """Set the options of a level of the settings tree; return the new revision."""
        api = self.fleet.api(host)
        found = api.find("level", level)
        value = {"name": level, "options": options}
        return api.put("level", level, value, found["revision"] if found else 0)["revision"]

    def session(self, *hosts: str, key: str = "", route: str = ROUTE) -> Session:
        """Open a caller's session over the given hosts, or over all."""
        return self.fleet.session(route, key or self.key, list(hosts))

    def url(self, number: int) -> str:
        """Return the URL at which a daemon serves callers."""
        return self.fleet.hosts[f"host-{number}"].url

    def last_promoting_host(self) -> str:
        """Return the name of the host that ran the latest promotion.

        The group's owner runs its group's promotions, so this host was the owner then.
        """
        decisions = self.fleet.api(self._first_live_host()).call("GET", f"explain/{GROUP}")
        return [d["host"] for d in decisions if d["what"] == "promoted"][-1]

    def logged_statements(self, member: MemberProcess | None = None) -> list[list]:
        """Return the statements in a member's log, or in the primary's if no member is given."""
        member = member or self.fleet.wait_primary(GROUP)
        entries = member.control("dump")["entries"]
        return [statement for entry in entries for statement in entry["work"]]

    def ids_in_log(self) -> list[str]:
        """Return the ids of the rows that the primary's log inserts."""
        prefix = INSERT.partition(" VALUES")[0]
        return [args[0] for sql, args in self.logged_statements() if sql.startswith(prefix)]

    def wait_until_logs_match(self, timeout: float = START_TIMEOUT_S) -> None:
        """Wait until all running members have the same log and term."""
        wait_until(self._logs_match, timeout, "the logs or terms of the running members differ")

    def _logs_match(self) -> bool:
        running = [m for m in self.fleet.members[GROUP] if m.process.alive]
        progress = [m.control("progress") for m in running]
        logs = {str(m.control("dump")["entries"]) for m in running}
        return len(logs) == 1 and len({p["term"] for p in progress}) == 1

    def _first_live_host(self) -> str:
        return next(h.name for h in self.fleet.hosts.values() if h.process.alive)

    def _accepts_writes(self) -> bool:
        try:
            for host in self.fleet.hosts:
                self.session(host).write(TABLE)
                self.session(host).write(SECOND_TABLE)
        except TryAgain:
            return False
        return True


def start_test_fleet(context, daemons: int, **options: float) -> TestFleet:
    """Start a fleet that is stopped when the scenario ends."""
    context.test_fleet = context.stack.enter_context(TestFleet(daemons=daemons, **options))
    return context.test_fleet


def pause(seconds: float) -> None:
    """Sleep while load runs."""
    time.sleep(seconds)

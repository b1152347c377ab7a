"""The fleet that scenarios share, and what callers were told."""

from standins.fleet import Fleet, until
from wagtailloft import Session, TryAgain

TEAM = "archive-krakow"
GROUP = "bookings-db"
ROUTE = "bookings"
TABLE = "CREATE TABLE slots (id TEXT, who TEXT)"


class World:
    """Hold one fleet with one group, a team, a key and a route."""

    def __init__(self, *, daemons: int, rate: float = 100_000, burst: float = 100_000) -> None:
        self.fleet = Fleet()
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
        self.key = self.add_key(TEAM)["secret"]
        self.fleet.create_group(GROUP)
        self.fleet.tool("route", "set", ROUTE, f"--group={GROUP}", f"--teams={TEAM}")
        until(self._serves, 20.0, "the fleet does not serve")
        return self

    def __exit__(self, *args: object) -> None:
        """Stop the fleet."""
        self.fleet.__exit__(*args)

    def add_team(self, name: str, rate: float, burst: float) -> None:
        """Create a team."""
        self.fleet.tool("team", "set", name, f"--rate={rate}", f"--burst={burst}")

    def add_key(self, team: str) -> dict:
        """Create a key; return its id and secret."""
        return self.fleet.tool("key", "create", team)

    def session(self, *hosts: str, key: str = "", route: str = ROUTE) -> Session:
        """Return a caller's session over some hosts or all."""
        return self.fleet.session(route, key or self.key, list(hosts))

    def url(self, number: int) -> str:
        """Return where callers reach a daemon."""
        return self.fleet.hosts[f"host-{number}"].url

    def log_of(self, group: str = GROUP) -> list[list]:
        """Return the work in the surviving log of a group."""
        entries = self.fleet.primary(group).control("dump")["entries"]
        return [work for entry in entries for work in entry["work"]]

    def ids_in_log(self, group: str = GROUP) -> list[str]:
        """Return the ids of the rows that the surviving log inserts."""
        marker = "INSERT INTO slots"
        return [args[0] for sql, args in self.log_of(group) if sql.startswith(marker)]

    def _serves(self) -> bool:
        try:
            self.session().write(TABLE)
        except TryAgain:
            return False
        return True


def world_of(context, daemons: int, **given: float) -> World:
    """Start a world that ends with the scenario."""
    context.world = context.stack.enter_context(World(daemons=daemons, **given))
    return context.world

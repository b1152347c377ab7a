"""What the store holds for the fleet, as typed records."""

from enum import Enum

from wagtailloft.models import Host, Record, Role

HOST_RECORD_PREFIX = "host-"


class Topic(Enum):
    """Name a part of the store that hosts keep a copy of."""

    SETTINGS = "settings"
    TARGETS = "targets"
    FLEET = "fleet"


class Freshness(Enum):
    """Say what a route's reads must contain."""

    LATEST = "latest"
    BOUNDED = "bounded"
    SESSION = "session"


class RouteRule(Record):
    """Hold a route: which group serves a database and how; times in seconds."""

    database: str
    group: str
    freshness: Freshness
    max_age: float = 0.0
    timeout: float = 1.0
    goal: float = 0.25
    priority: int = 1
    public: bool = False


class GroupRule(Record):
    """Hold a group's limits; sync_replicas counts the replicas that a commit waits for."""

    name: str
    max_links: int = 16
    sync_replicas: int = 0


class TeamRule(Record):
    """Hold a team's rate in operations a second, its burst, and the digests of its keys."""

    name: str
    rate: float
    burst: float
    keys: tuple[str, ...] = ()
    priority: int = 1


class Configuration(Record, tag="configuration"):
    """Hold one version of the operators' configuration, whole."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    groups: tuple[GroupRule, ...] = ()
    teams: tuple[TeamRule, ...] = ()
    transaction_idle: float = 3.0


class Target(Record, tag="target"):
    """Describe one member of a group; started is its start in milliseconds of its own clock."""

    name: str
    group: str
    address: str
    zone: str = ""
    slots: int = 2
    leaving: bool = False
    role: Role | None = None
    started: int = 0


class PrimaryAssignment(Record, tag="lead"):
    """Hold who leads a group. While not settled, nobody may lead; epochs order all leads.

    claimant is the process that replaces the primary.
    """

    group: str
    epoch: int
    settled: bool
    primary: str
    term: int = 0
    replaced: str = ""
    claimant: str = ""

    @property
    def sort_key(self) -> tuple[int, bool]:
        """Return the key by which a later lead replaces an earlier one."""
        return (self.epoch, self.settled)


class PromotionLeaseRecord(Record, tag="duty"):
    """Hold who may order promotions; the fence grows with each holder."""

    holder: str
    fence: int
    taken: int = 0


class HostRecord(Record, tag="host"):
    """Hold one host of the fleet."""

    host: Host


def host_record_name(host: str) -> str:
    """Return the name of the object that lists a host."""
    return f"{HOST_RECORD_PREFIX}{host}"


Value = Configuration | Target | PrimaryAssignment | PromotionLeaseRecord | HostRecord


class Entry(Record, array_like=True):
    """Hold one object at one revision; None stands for one that was removed."""

    name: str
    revision: int
    value: Value | None = None


class Changes(Record, array_like=True):
    """Hold what changed up to a revision; whole says that nothing else exists."""

    topic: Topic
    revision: int
    is_snapshot: bool
    entries: tuple[Entry, ...] = ()

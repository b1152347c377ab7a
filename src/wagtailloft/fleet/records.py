"""Typed records of what the store holds for the fleet."""

from enum import Enum

from wagtailloft.models import Host, Record, Role
from wagtailloft.revisions import NO_ERA

HOST_RECORD_PREFIX = "host-"


class Topic(Enum):
    """A part of the store that every host caches."""

    SETTINGS = "settings"
    TARGETS = "targets"
    FLEET = "fleet"


class Freshness(Enum):
    """How recent the data in a route's reads has to be."""

    LATEST = "latest"
    BOUNDED = "bounded"
    SESSION = "session"


class RouteRule(Record):
    """A route: which group serves a database, and how. Times are in seconds."""

    database: str
    group: str
    freshness: Freshness
    max_age: float = 0.0
    timeout: float = 1.0
    goal: float = 0.25
    priority: int = 1
    public: bool = False


class GroupRule(Record):
    """The limits of a group; sync_replicas is the number of replicas that a commit waits for."""

    name: str
    max_links: int = 16
    sync_replicas: int = 0


class TeamRule(Record):
    """A team's rate in operations per second, its burst in operations, and its keys' digests."""

    name: str
    rate: float
    burst: float
    keys: tuple[str, ...] = ()
    priority: int = 1


class Configuration(Record, tag="configuration"):
    """One complete version of the operators' configuration; transaction_idle is in seconds."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    groups: tuple[GroupRule, ...] = ()
    teams: tuple[TeamRule, ...] = ()
    transaction_idle: float = 3.0


class Target(Record, tag="target"):
    """A member of a group, as it reports itself.

    started is its start time in milliseconds of its own clock; sequence counts its reports since.
    """

    name: str
    group: str
    address: str
    zone: str = ""
    slots: int = 2
    leaving: bool = False
    role: Role | None = None
    started: int = 0
    sequence: int = 0

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the key by which a later report of the member replaces an earlier one."""
        return (self.started, self.sequence)


class PrimaryAssignment(Record, tag="lead"):
    """The primary of a group. Epochs order the assignments of a group within an era of the store.

    While an assignment is not settled, a failover is in progress and no member may be used as
    primary. claimant is the process that replaces the primary.
    """

    group: str
    epoch: int
    settled: bool
    primary: str
    term: int = 0
    replaced: str = ""
    claimant: str = ""
    era: int = NO_ERA

    @property
    def sort_key(self) -> tuple[int, int, bool]:
        """Return the key by which a later assignment replaces an earlier one."""
        return (self.era, self.epoch, self.settled)


class PromotionLeaseRecord(Record, tag="duty"):
    """The holder of the promotion lease, and the era of the store in which it took the lease.

    taken counts the times that the lease was taken or renewed.
    """

    holder: str
    era: int = NO_ERA
    taken: int = 0


class EraRecord(Record, tag="era"):
    """An era of the store that lasted long enough for all beliefs from earlier ones to expire."""

    era: int


class HostRecord(Record, tag="host"):
    """The registration of one host in the fleet.

    A host whose registration is withdrawn may not use primaries, and is deleted once it can't.
    """

    host: Host
    withdrawn: bool = False


def host_record_name(host: str) -> str:
    """Return the name of the store object that registers a host."""
    return f"{HOST_RECORD_PREFIX}{host}"


Value = Configuration | Target | PrimaryAssignment | PromotionLeaseRecord | HostRecord | EraRecord


class Entry(Record, array_like=True):
    """A store object at one revision; the value is None if it was removed."""

    name: str
    revision: int
    value: Value | None = None


class Changes(Record, array_like=True):
    """The changes of a topic up to a revision; a snapshot lists every object that exists."""

    topic: Topic
    revision: int
    is_snapshot: bool
    entries: tuple[Entry, ...] = ()

"""Typed records of what the store holds for the fleet."""

from enum import Enum

from wagtailloft.models import Host, Record, Role
from wagtailloft.ranges import Amount, Count, Text
from wagtailloft.revisions import NO_ERA

HOST_RECORD_PREFIX = "host-"
PROMOTION_LEASE_OBJECT = "duty"
UNKNOWN_HOLDER = ""  # of a promotion lease whose record can't be read


class Topic(Enum):
    """A part of the store that every host caches."""

    SETTINGS = "settings"
    TARGETS = "targets"
    FLEET = "fleet"
    EVACUATIONS = "evacuations"


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
    max_age: Amount = 0.0
    timeout: Amount = 1.0
    goal: Amount = 0.25
    priority: Count = 1
    public: bool = False


class GroupRule(Record):
    """The limits of a group; sync_replicas is the number of replicas that a commit waits for.

    A member is slow for cold_start seconds after its start; it is to get cold_rate statements a
    second then, 0 for no limit.
    """

    name: str
    max_links: Count = 16
    sync_replicas: Count = 0
    cold_start: Amount = 0.0
    cold_rate: Amount = 0.0


class TeamRule(Record):
    """A team's rate in operations per second, its burst in operations, and its keys' digests."""

    name: str
    rate: Amount
    burst: Amount
    keys: tuple[str, ...] = ()
    priority: Count = 1


class Configuration(Record, tag="configuration"):
    """One complete version of the operators' configuration; transaction_idle is in seconds."""

    version: Count
    routes: tuple[RouteRule, ...] = ()
    groups: tuple[GroupRule, ...] = ()
    teams: tuple[TeamRule, ...] = ()
    transaction_idle: Amount = 3.0


class Target(Record, tag="target"):
    """A member of a group, as it reports itself.

    started is its start time in milliseconds of its own clock; sequence counts its reports since.
    cold_left is for how many seconds after the report it is still slow.
    """

    name: str
    group: str
    address: str
    zone: str = ""
    slots: Count = 2
    leaving: bool = False
    role: Role | None = None
    started: Count = 0
    sequence: Count = 0
    cold_left: Amount = 0.0

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the key by which a later report of the member replaces an earlier one."""
        return (self.started, self.sequence)


class PrimaryAssignment(Record, tag="lead"):
    """The primary of a group. Epochs order the assignments of a group within an era of the store.

    While an assignment is not settled, a failover is in progress and no member may be used as
    primary. claimant is the process that replaces the primary. ordered names the members whose
    promotion was ordered since a primary was last settled, the latest last, and order_epoch is the
    epoch of the record that was stored before the latest order was sent. In a settled assignment,
    ordered names the primary if an order for it may still take effect once more. may_lack_orders
    tells that the store came back from an older copy since, and a record may be lost. single_order
    tells that no order for the latest of the ordered members can be under way but the one that the
    record announced, if that was sent.
    """

    group: Text
    epoch: Count
    settled: bool
    primary: Text
    term: Count = 0
    replaced: Text = ""
    claimant: Text = ""
    era: Count = NO_ERA
    ordered: tuple[Text, ...] = ()
    order_epoch: Count = 0
    may_lack_orders: bool = False
    single_order: bool = False

    @property
    def sort_key(self) -> tuple[int, int, bool]:
        """Return the key by which a later assignment replaces an earlier one."""
        return (self.era, self.epoch, self.settled)


class PromotionLeaseRecord(Record, tag="duty"):
    """The holder of the promotion lease, and the era of the store in which it took the lease.

    taken counts the times that the lease was taken or renewed.
    """

    holder: Text
    era: Count = NO_ERA
    taken: Count = 0


class EraRecord(Record, tag="era"):
    """An era of the store that lasted long enough for all beliefs from earlier ones to expire."""

    era: Count


class HostRecord(Record, tag="host"):
    """The registration of one host in the fleet.

    A host whose registration is withdrawn may not use primaries, and is deleted once it can't.
    """

    host: Host
    withdrawn: bool = False


class CountedHostsRecord(Record, tag="counted"):
    """The hosts whose confirmations of a fence count towards a majority of all hosts."""

    hosts: tuple[Text, ...]


class EvacuationRecord(Record, tag="evacuation"):
    """The order that members in a zone get no more statements; the zone is the object's name."""


def host_record_name(host: str) -> str:
    """Return the name of the store object that registers a host."""
    return f"{HOST_RECORD_PREFIX}{host}"


Value = (
    Configuration
    | Target
    | PrimaryAssignment
    | PromotionLeaseRecord
    | HostRecord
    | EraRecord
    | CountedHostsRecord
    | EvacuationRecord
)


class Entry(Record, array_like=True):
    """A store object at one revision; the value is None if it was removed or can't be read."""

    name: str
    revision: Count
    value: Value | None = None
    is_readable: bool = True

    @property
    def exists(self) -> bool:
        """Tell whether the store has the object, readable or not."""
        return self.value is not None or not self.is_readable


class Changes(Record, array_like=True):
    """The changes of a topic up to a revision; a snapshot lists every object that exists."""

    topic: Topic
    revision: Count
    is_snapshot: bool
    entries: tuple[Entry, ...] = ()

"""Immutable data classes shared by the controllers and the adapters."""

from enum import Enum
from typing import Any

import msgspec

from wagtailloft.ranges import Amount, Count, Era, Name, Number, Port, RowCount, Seconds, Text

REMOVED = msgspec.Raw(b"null")

Cell = None | bool | int | float | str


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=False):
    """Base class of the values that are encoded as JSON."""


class Position(Record, order=True):
    """A position in a group's log, ordered by term and then by index."""

    term: Count = 0
    index: Count = 0


class Action(Enum):
    """The operation that a caller, or an entry on its behalf, requests from the group owner."""

    RUN = "run"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    RESOLVE_OUTCOME = "find_out"


class Mode(Enum):
    """Whether a statement reads or writes."""

    READ = "read"
    WRITE = "write"


class Role(Enum):
    """The current role of a member in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class HostState(Enum):
    """The state of a host as the other hosts see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Host(Record):
    """Describe one host of the proxy.

    In the SQL front, a restarted host has a higher incarnation, which orders the states reported
    of it; on the platform path, it only tells the host's processes apart. It is 0 if unknown.
    """

    name: Name
    ip: Text
    caller_port: Port
    peer_port: Port
    operator_port: Port
    zone: Text = ""
    region: Text = ""
    incarnation: Count = 0
    state: HostState = HostState.ALIVE

    @property
    def process_name(self) -> str:
        """Return the name of the host's current process, made of host name and incarnation."""
        return f"{self.name}/{self.incarnation}"


class Member(Record):
    """Describe a member of a database group."""

    name: str
    ip: str
    port: Port
    control_port: Port
    zone: str = ""
    leaving: bool = False


class Group(Record):
    """Describe a database group: its members, and the slots and connections of each member."""

    name: str
    members: tuple[Member, ...]
    slots: Count = 2
    connections: Count = 16

    @property
    def majority(self) -> int:
        """Return the number of members that form a majority."""
        return len(self.members) // 2 + 1


class PublishedPrimary(Record):
    """The primary and term of a group as published on the platform.

    An empty primary means that the claimant has claimed the term and not yet promoted a member.
    """

    term: Count = 0
    primary: str = ""
    claimant: str = ""


class Team(Record):
    """A team's rate in requests per second, its burst in requests and its scheduling weight."""

    name: str
    rate: Number = 100.0
    burst: Number = 100.0
    weight: Number = 1.0


class Key(Record):
    """Map the digest of an API key to the team that it authenticates."""

    digest: str
    team: str
    label: str = ""


class Route(Record):
    """Map a route to its group and the teams that may use it; an open route needs no key."""

    name: str
    group: str
    open: bool = False
    teams: tuple[str, ...] = ()


class SettingsLevel(Record):
    """The options that one level of the settings tree overrides."""

    name: str
    options: dict[str, str] = {}


class Lease(Record):
    """The exclusive right of one host to grant rate tokens for a shard of teams.

    Each renewal increments the renewals counter. era is that of the platform's store in which the
    lease was written.
    """

    name: str
    holder: str = ""
    epoch: Count = 0
    renewals: Count = 0
    era: Era = 0


class LeaseEpoch(Record):
    """The current epoch of a shard's lease, published to every host."""

    name: str
    holder: str
    epoch: Count


class EraMark(Record):
    """A mark that the fleet writes into an era of the platform's store.

    start is the lowest number known to be of the era, 0 if that is the mark's own.
    """

    era: Era
    start: Count = 0


class SqlStatement(Record):
    """An SQL statement with its arguments."""

    sql: str
    args: tuple[Cell, ...] = ()


class Rows(Record):
    """The complete result set of a statement."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Cell, ...], ...] = ()
    count: RowCount = 0


class SessionPosition(Record):
    """The highest acknowledged position that a session has seen in a group."""

    group: str
    position: Position


class Call(Record):
    """A caller's request as the entry sends it to the group owner, without the API key."""

    request_id: str
    team: str
    route: str
    group: str
    statement: SqlStatement
    mode: Mode
    budget: Seconds
    after: Position = Position()
    idempotent: bool = False
    max_age: Seconds | None = None
    transaction: str = ""
    key_digest: str = ""
    revision: Count = 0
    action: Action = Action.RUN


class Answer(Record):
    """The result of a call as the group owner returns it to the entry."""

    request_id: str
    rows: Rows
    position: Position = Position()
    served_by: str = ""
    role: str = ""
    transaction: str = ""
    repeated: bool = False


class Change(Record):
    """An object of the platform at one revision; a null value means that it was removed."""

    kind: str
    name: str
    revision: int
    value: msgspec.Raw = REMOVED

    @property
    def removed(self) -> bool:
        """Whether the change removed the object."""
        return bytes(self.value) == bytes(REMOVED)

    def decode(self, record_type: type) -> Any:
        """Decode the value as a record; raise msgspec.DecodeError if it does not match."""
        return decode(self.value, record_type)


class Progress(Record):
    """A member's report of its term, role and log positions.

    source_age is the time in seconds since a replica last heard from its replication source.
    """

    name: str
    term: Count
    role: Role
    received: Position
    applied: Position
    start: Position = Position()
    source_age: Amount = 0.0
    queue: Count = 0


def decode(data: Any, record_type: Any) -> Any:
    """Decode JSON bytes as a record; raise msgspec.DecodeError if they do not match."""
    try:
        return msgspec.json.decode(data, type=record_type)
    except (RecursionError, UnicodeDecodeError) as exc:
        raise msgspec.DecodeError(str(exc)) from exc


def encode(value: Any) -> bytes:
    """Encode a record as JSON bytes."""
    return msgspec.json.encode(value)

"""Frozen data classes shared by controllers and adapters."""

from enum import Enum
from typing import Any

import msgspec

REMOVED = msgspec.Raw(b"null")

Cell = None | bool | int | float | str


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=False):
    """Base of the typed values that travel as JSON."""


class Position(Record, order=True):
    """Name one place in a group's log: the term first, then the index."""

    term: int = 0
    index: int = 0


class Action(Enum):
    """Name what a caller, or an entry on its behalf, asks of the group owner."""

    RUN = "run"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    FIND_OUT = "find_out"


class Mode(Enum):
    """Say whether a statement reads or writes."""

    READ = "read"
    WRITE = "write"


class Role(Enum):
    """Say what a member of a group does at present."""

    PRIMARY = "primary"
    REPLICA = "replica"


class HostState(Enum):
    """Say what the fleet believes of a host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Host(Record):
    """Describe one of the system's own hosts."""

    name: str
    ip: str
    caller_port: int
    peer_port: int
    operator_port: int
    zone: str = ""
    region: str = ""
    incarnation: int = 0
    state: HostState = HostState.ALIVE

    @property
    def process(self) -> str:
        """Return the name of the process that runs on the host."""
        return f"{self.name}/{self.incarnation}"


class Member(Record):
    """Describe one member of a database group."""

    name: str
    ip: str
    port: int
    control_port: int
    zone: str = ""
    leaving: bool = False


class Group(Record):
    """Describe a database group: its members and the limits of each."""

    name: str
    members: tuple[Member, ...]
    slots: int = 2
    connections: int = 16

    @property
    def majority(self) -> int:
        """Return how many members make a majority."""
        return len(self.members) // 2 + 1


class PublishedPrimary(Record):
    """Hold a group's published term and primary."""

    term: int = 0
    primary: str = ""
    claimant: str = ""


class Team(Record):
    """Hold a team's rate in requests a second, burst in requests, and weight."""

    name: str
    rate: float = 100.0
    burst: float = 100.0
    weight: float = 1.0


class Key(Record):
    """Hold the hash of a key and the team that it stands for."""

    digest: str
    team: str
    label: str = ""


class Route(Record):
    """Map a route to a group and to the teams that may use it."""

    name: str
    group: str
    open: bool = False
    teams: tuple[str, ...] = ()


class SettingsLevel(Record):
    """Hold the options that one level of the settings tree overrides."""

    name: str
    options: dict[str, str] = {}


class Lease(Record):
    """Hold who may grant the rates of one shard of teams; renewals count up."""

    name: str
    holder: str = ""
    epoch: int = 0
    renewals: int = 0


class LeaseEpoch(Record):
    """Announce to every host which epoch of a shard's lease is in force."""

    name: str
    holder: str
    epoch: int


class SqlStatement(Record):
    """Hold one SQL statement with its arguments."""

    sql: str
    args: tuple[Cell, ...] = ()


class Rows(Record):
    """Hold the whole answer of one statement."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Cell, ...], ...] = ()
    count: int = 0


class SessionPosition(Record):
    """Hold the highest acknowledged position that a session knows of one group."""

    group: str
    position: Position


class Call(Record):
    """Carry a caller's statement from the entry to the group owner, without the key."""

    request_id: str
    team: str
    route: str
    group: str
    statement: SqlStatement
    mode: Mode
    budget: float
    after: Position = Position()
    idempotent: bool = False
    max_age: float | None = None
    transaction: str = ""
    key_digest: str = ""
    revision: int = 0
    action: Action = Action.RUN


class Answer(Record):
    """Carry the result of a call back to the entry."""

    request_id: str
    rows: Rows
    position: Position = Position()
    served_by: str = ""
    role: str = ""
    transaction: str = ""
    repeated: bool = False


class Change(Record):
    """Carry one object of the platform at one revision; a null value is a removal."""

    kind: str
    name: str
    revision: int
    value: msgspec.Raw = REMOVED

    @property
    def removed(self) -> bool:
        """Tell whether the change removed the object."""
        return bytes(self.value) == bytes(REMOVED)

    def decode(self, kind: type) -> Any:
        """Return the value as a record; raise msgspec.DecodeError on a mismatch."""
        return msgspec.json.decode(self.value, type=kind)


class Progress(Record):
    """Report a member's term, role and log positions."""

    name: str
    term: int
    role: Role
    received: Position
    applied: Position
    start: Position = Position()
    source_age: float = 0.0
    queue: int = 0


def decode(data: Any, kind: type) -> Any:
    """Decode JSON bytes into a record; raise msgspec.DecodeError on a mismatch."""
    return msgspec.json.decode(data, type=kind)


def encode(value: Any) -> bytes:
    """Encode a record as JSON bytes."""
    return msgspec.json.encode(value)

"""What the groups need from outside: links to targets and the order to promote one."""

from collections.abc import Mapping
from typing import Protocol

from wagtailloft.models import Position, Record, Role
from wagtailloft.sessions.statements import Outcome, Statement


class Opening(Record):
    """Name the group, the target expected at the address and the team that a link serves."""

    group: str
    target: str
    address: str
    team: str


class Step(Record, array_like=True):
    """Hold one statement with the session's values and the position that it must see."""

    request_id: str
    statement: Statement
    values: dict[str, str] = {}
    after: Position | None = None


class Standing(Record):
    """Hold what a target says of itself; paused_for is the term that it waits for, or 0."""

    target: str
    role: Role
    term: int
    received: Position
    paused_for: int = 0
    lag_s: float = 0.0
    busy: int = 0
    connections: int = 0


class Link(Protocol):
    """Run statements of one team on one target."""

    opening: Opening
    values: Mapping[str, str]
    closed: bool

    async def run(self, step: Step, limit: float) -> Outcome:
        """Run one statement; raise NotSent or Silent."""

    async def status(self, limit: float) -> Standing | None:
        """Ask for the target's role and positions."""

    async def pause(self, term: int, limit: float) -> Standing | None:
        """Stop a replica from receiving."""

    async def resume(self, limit: float) -> Standing | None:
        """Let a replica receive again."""

    async def demote(self, term: int, limit: float) -> Standing | None:
        """Make a primary of a lower term a replica."""

    def close(self) -> None:
        """Close; what is not committed rolls back."""


class Connect(Protocol):
    """Open links."""

    async def open(self, opening: Opening) -> Link:
        """Open a link; raise NotSent if the target can't be reached or refuses."""


class Promote(Protocol):
    """Order a promotion."""

    async def promote(self, *, group: str, target: str, holder: str, fence: int) -> bool | None:
        """Order it; return whether it was accepted, None if no answer came."""

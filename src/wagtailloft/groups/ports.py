"""What the groups need from outside: links to targets and the order to promote one."""

from collections.abc import Mapping
from typing import Protocol

from wagtailloft.models import Position, Record, Role
from wagtailloft.sessions.statements import Statement, StatementResult


class LinkSpec(Record):
    """Name the group, the target expected at the address and the team that a link serves."""

    group: str
    target: str
    address: str
    team: str


class BoundStatement(Record, array_like=True):
    """Hold one statement with the session's values and the position that it must see."""

    request_id: str
    statement: Statement
    values: dict[str, str] = {}
    after: Position | None = None


class TargetStatus(Record):
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

    spec: LinkSpec
    values: Mapping[str, str]
    closed: bool

    async def run(self, bound: BoundStatement, limit: float) -> StatementResult:
        """Run one statement; raise NotSent or NoResponse."""

    async def status(self, limit: float) -> TargetStatus | None:
        """Ask for the target's role and positions."""

    async def pause(self, term: int, limit: float) -> TargetStatus | None:
        """Stop a replica from receiving."""

    async def resume(self, limit: float) -> TargetStatus | None:
        """Let a replica receive again."""

    async def demote(self, term: int, limit: float) -> TargetStatus | None:
        """Make a primary of a lower term a replica."""

    def close(self) -> None:
        """Close; what is not committed rolls back."""


class LinkFactory(Protocol):
    """Open links."""

    async def open(self, spec: LinkSpec) -> Link:
        """Open a link; raise NotSent if the target can't be reached or refuses."""


class PromotionApi(Protocol):
    """Order a promotion."""

    async def promote(
        self, *, group: str, target: str, holder: str, fencing_token: int
    ) -> bool | None:
        """Order it; return whether it was accepted, None if no answer came."""

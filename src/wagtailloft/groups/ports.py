"""Interfaces that the groups need from outside: links to targets and the promotion API."""

from collections.abc import Mapping
from typing import Protocol

from wagtailloft.models import Position, Record, Role
from wagtailloft.sessions.statements import Statement, StatementResult


class LinkSpec(Record):
    """Describe a link: its group, the target expected at the address, and the team it serves."""

    group: str
    target: str
    address: str
    team: str


class BoundStatement(Record, array_like=True):
    """A statement bound to its session's variables.

    The target waits until it has applied min_position before it runs the statement.
    """

    request_id: str
    statement: Statement
    session_variables: dict[str, str] = {}
    min_position: Position | None = None


class TargetStatus(Record):
    """The role, log position and load that a target reports.

    received is the last log position that the target has received, and lag_s its lag in seconds.
    A paused replica receives nothing until awaited_term, which is 0 if it is not paused.
    """

    target: str
    role: Role
    term: int
    received: Position
    awaited_term: int = 0
    lag_s: float = 0.0
    busy: int = 0
    connections: int = 0


class Link(Protocol):
    """A connection from this host to a target, which runs the statements of one team.

    session_variables holds the variables that are set on the connection.
    """

    spec: LinkSpec
    session_variables: Mapping[str, str]
    closed: bool

    async def run(self, bound: BoundStatement, timeout: float) -> StatementResult:
        """Run one statement within timeout seconds; raise NotSent or NoResponse."""

    async def status(self, timeout: float) -> TargetStatus | None:
        """Query the target's role and positions; return None if the answer is unusable."""

    async def pause(self, term: int, timeout: float) -> TargetStatus | None:
        """Stop a replica from receiving log entries until the given term."""

    async def resume(self, timeout: float) -> TargetStatus | None:
        """Let a paused replica receive log entries again."""

    async def demote(self, term: int, timeout: float) -> TargetStatus | None:
        """Turn a primary of a lower term into a replica."""

    def close(self) -> None:
        """Close the connection; an open transaction rolls back."""


class LinkFactory(Protocol):
    """Opens links to targets."""

    async def open(self, spec: LinkSpec) -> Link:
        """Open a link; raise NotSent if the target can't be reached or refuses it."""


class PromotionApi(Protocol):
    """The platform's API that promotes a group's member."""

    async def promote(
        self, *, group: str, target: str, holder: str, fencing_token: int
    ) -> bool | None:
        """Order a promotion; return whether it was accepted, or None if no answer came.

        holder names the host that holds the promotion lease.
        """

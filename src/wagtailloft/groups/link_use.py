"""Use of links by statements and transactions, and what their results tell."""

from wagtailloft.controllers.concurrency import TurnOutcome
from wagtailloft.controllers.scheduling import TurnRequest
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementRequest
from wagtailloft.groups.link_pool import LinkPool
from wagtailloft.groups.ports import Link
from wagtailloft.sessions.statements import StatementResult, Verb

# Results that a target in good order gives only seldom.
FAILURES_OF_TARGET = frozenset(
    {
        Kind.NO_ANSWER,
        Kind.OUTCOME_UNKNOWN,
        Kind.TARGET_FAILED,
        Kind.TARGET_TIMEOUT,
        Kind.TARGET_UNREACHABLE,
        Kind.TRANSACTION_LOST,
    }
)


class LinkUse:
    """Track the use of a link by a statement or transaction."""

    def __init__(self, *, pool: LinkPool, link: Link, request: StatementRequest) -> None:
        self.pool = pool
        self.link = link
        self.request = request
        self.busy = False

    def release(self) -> None:
        """Return the link to its pool, which drops a closed one.

        The caller first closes a link that is still inside a transaction, so that the target rolls
        back.
        """
        self.pool.release(self.link)


def turn_request_for(
    request: StatementRequest, deadline: float, *, as_primary: bool
) -> TurnRequest:
    """Return the request for a statement's turn by a time of clock.now()."""
    bound = request.bound
    statement = bound.statement
    chars = len(statement.text) + len(statement.argument)
    chars += len(statement.prepared.text) if statement.prepared else 0
    chars += sum(len(n) + len(v) for n, v in bound.session_variables.items())
    return TurnRequest(
        team=request.team,
        deadline=deadline,
        priority=request.priority,
        in_transaction=bool(request.transaction_id),
        as_primary=as_primary,
        chars=chars,
    )


def turn_outcome_of(outcome: StatementResult) -> TurnOutcome:
    """Return what the result of a statement tells about its target."""
    if outcome.ok:
        return TurnOutcome.OK
    if outcome.kind is Kind.TARGET_BUSY:
        return TurnOutcome.SHED
    return TurnOutcome.FAILED if outcome.kind in FAILURES_OF_TARGET else TurnOutcome.ABANDONED


def confirms_commit(request: StatementRequest) -> bool:
    """Return whether success of the request means that a commit was acknowledged."""
    statement = request.bound.statement
    if statement.verb is Verb.COMMIT:
        return True
    return statement.writes and not request.transaction_id


def kind_without_response(request: StatementRequest) -> Kind:
    """Return the error kind of a request that was sent but never answered."""
    statement = request.bound.statement
    if request.transaction_id or request.opens_transaction:
        commits = statement.verb is Verb.COMMIT
        return Kind.OUTCOME_UNKNOWN if commits else Kind.TRANSACTION_LOST
    return Kind.OUTCOME_UNKNOWN if statement.writes else Kind.NO_ANSWER

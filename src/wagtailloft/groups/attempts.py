"""Operations of callers: their context, the state of their attempts, and their results."""

from collections import Counter

from wagtailloft.controllers.target_loads import AttemptResult
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementResponse
from wagtailloft.fleet.records import RouteRule
from wagtailloft.models import Position, Record

# Errors that the target causes.
TARGET_FAULTS = frozenset(
    {
        Kind.TARGET_FAILED,
        Kind.NO_ANSWER,
        Kind.TARGET_UNREACHABLE,
        Kind.TARGET_BUSY,
        Kind.OUTCOME_UNKNOWN,
    }
)


class StatementContext(Record):
    """Describe the caller of a statement: its route, its team and its session's position.

    session_position is set only if reads must see the session's own writes.
    """

    rule: RouteRule
    team: str
    session_position: Position | None = None


class OpenTransaction(Record):
    """Identify an open transaction and the host and target that hold it."""

    group: str
    target: str
    owner: str
    transaction_id: int
    is_primary: bool


class EventLimit:
    """Let a bounded number of log events a second through, and count the others."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._second = -1
        self._passed = 0
        self._suppressed = 0

    def take(self, at: float) -> int | None:
        """Return how many events were suppressed before this one, or None to suppress it."""
        if int(at) != self._second:
            self._second, self._passed = int(at), 0
        if self._passed >= self._per_second:
            self._suppressed += 1
            return None
        self._passed += 1
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


class Attempts:
    """Keep what an operation's attempts have shown; deadline is a time of clock.now()."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.count = 0
        self.unanswered = 0
        self.avoid: tuple[str, ...] = ()
        self.shed: tuple[str, ...] = ()
        self.has_lagged = False
        self.owner_faults: Counter[str] = Counter()
        self.sample_fetched = False
        self.wait_logged = False
        self.deferral_logged = False


def attempt_result(response: StatementResponse) -> AttemptResult:
    """Return what a response tells about its target."""
    outcome = response.outcome
    if outcome.ok:
        return AttemptResult.OK
    if outcome.kind is Kind.TARGET_BUSY and not outcome.sent:
        return AttemptResult.NEUTRAL  # its owner limits the rate of a cold member
    if outcome.kind in TARGET_FAULTS:
        return AttemptResult.FAILED
    # A transaction that is lost before it is sent has expired, or its owner ended it.
    if outcome.kind is Kind.TRANSACTION_LOST and outcome.sent:
        return AttemptResult.FAILED
    return AttemptResult.NEUTRAL

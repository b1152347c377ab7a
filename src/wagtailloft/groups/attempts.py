"""State of an operation's attempts, and what their results tell about targets."""

from collections import Counter

from wagtailloft.controllers.target_loads import AttemptResult
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementResponse

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


def attempt_result(response: StatementResponse) -> AttemptResult:
    """Return what a response tells about its target."""
    outcome = response.outcome
    if outcome.ok:
        return AttemptResult.OK
    if outcome.kind in TARGET_FAULTS:
        return AttemptResult.FAILED
    # A transaction that is lost before it is sent has expired, or its owner ended it.
    if outcome.kind is Kind.TRANSACTION_LOST and outcome.sent:
        return AttemptResult.FAILED
    return AttemptResult.NEUTRAL

"""All error kinds, how each is reported, and the exceptions of clients and transports."""

from dataclasses import dataclass
from enum import Enum


class Execution(Enum):
    """Whether a refused or failed request was executed."""

    NO = "no"
    UNKNOWN = "unknown"


class Kind(Enum):
    """Every way in which a request can fail."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    BAD_SESSION = "bad_session"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_TRANSACTION = "unknown_transaction"
    CONFLICT = "conflict"
    OVER_RATE = "over_rate"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_PRIMARY = "no_primary"
    NO_REPLICA = "no_replica"
    NO_OWNER = "no_owner"
    LIMITS_UNAVAILABLE = "limits_unavailable"
    SETTINGS_STALE = "settings_stale"
    LOCK_BUSY = "lock_busy"
    STALE_TERM = "stale_term"
    SQL_ERROR = "sql_error"
    TRANSACTION_LOST = "transaction_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PLATFORM_DOWN = "platform_down"
    NO_MAJORITY = "no_majority"
    TARGET_FAILED = "target_failed"
    TARGET_TIMEOUT = "target_timeout"
    TARGET_BUSY = "target_busy"
    TARGET_BEHIND = "target_behind"
    NOT_PRIMARY = "not_primary"
    WRONG_TARGET = "wrong_target"
    TOO_MANY_LINKS = "too_many_links"
    UNKNOWN_STATEMENT = "unknown_statement"
    TARGET_UNREACHABLE = "target_unreachable"
    NO_ANSWER = "no_answer"
    ZONE_EVACUATED = "zone_evacuated"
    STOPPING = "stopping"
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True)
class ErrorSpec:
    """How an error kind is reported: HTTP status, whether the request ran, and whether to retry."""

    status: int
    ran: Execution
    retry: bool
    meaning: str


def _spec(status: int, ran: Execution, retry: bool, meaning: str) -> ErrorSpec:
    return ErrorSpec(status=status, ran=ran, retry=retry, meaning=meaning)


ERROR_SPECS: dict[Kind, ErrorSpec] = {
    Kind.BAD_REQUEST: _spec(400, Execution.NO, False, "the request is malformed"),
    Kind.TOO_LARGE: _spec(413, Execution.NO, False, "the body is over the limit"),
    Kind.BAD_SESSION: _spec(400, Execution.NO, False, "the session token is invalid"),
    Kind.KEY_MISSING: _spec(401, Execution.NO, False, "the route needs a key and none came"),
    Kind.KEY_UNKNOWN: _spec(401, Execution.NO, False, "the key is unknown or withdrawn"),
    Kind.FORBIDDEN: _spec(403, Execution.NO, False, "the team may not use this route"),
    Kind.NOT_FOUND: _spec(404, Execution.NO, False, "no such object or path"),
    Kind.UNKNOWN_ROUTE: _spec(404, Execution.NO, False, "no such route"),
    Kind.UNKNOWN_TRANSACTION: _spec(409, Execution.NO, False, "no such open transaction"),
    Kind.CONFLICT: _spec(409, Execution.NO, False, "the object was changed concurrently"),
    Kind.OVER_RATE: _spec(429, Execution.NO, True, "the team is over its rate and burst"),
    Kind.QUEUE_FULL: _spec(429, Execution.NO, True, "the team's queue is full"),
    Kind.DEADLINE: _spec(504, Execution.NO, True, "the deadline would pass before it could start"),
    Kind.NO_PRIMARY: _spec(503, Execution.NO, True, "the group has no primary at present"),
    Kind.NO_REPLICA: _spec(503, Execution.NO, True, "no member can serve this read in time"),
    Kind.NO_OWNER: _spec(503, Execution.NO, True, "no host that owns the group could be reached"),
    Kind.LIMITS_UNAVAILABLE: _spec(
        503, Execution.NO, True, "no host may grant the team's rate now"
    ),
    Kind.SETTINGS_STALE: _spec(
        503, Execution.NO, True, "this host can't confirm that its keys are current"
    ),
    Kind.LOCK_BUSY: _spec(503, Execution.NO, True, "another transaction holds the lock"),
    Kind.STALE_TERM: _spec(503, Execution.NO, True, "the member refused an older term"),
    Kind.SQL_ERROR: _spec(422, Execution.NO, False, "the target refused the statement; no effect"),
    Kind.TRANSACTION_LOST: _spec(409, Execution.NO, True, "the transaction was rolled back"),
    Kind.OUTCOME_UNKNOWN: _spec(
        504, Execution.UNKNOWN, False, "the request was sent, but its outcome is unknown"
    ),
    Kind.PLATFORM_DOWN: _spec(503, Execution.NO, True, "the platform's object API does not answer"),
    Kind.NO_MAJORITY: _spec(
        503, Execution.NO, True, "this host hears from too few hosts to accept changes"
    ),
    Kind.TARGET_FAILED: _spec(
        502, Execution.UNKNOWN, False, "the target ran the statement and failed"
    ),
    Kind.TARGET_TIMEOUT: _spec(
        504, Execution.UNKNOWN, False, "the statement timed out at the target"
    ),
    Kind.TARGET_BUSY: _spec(503, Execution.NO, True, "the target's queue is full"),
    Kind.TARGET_BEHIND: _spec(
        503, Execution.NO, True, "the target's log lacks the needed position"
    ),
    Kind.NOT_PRIMARY: _spec(503, Execution.NO, True, "the target is not the primary"),
    Kind.WRONG_TARGET: _spec(503, Execution.NO, True, "another target answers at the address"),
    Kind.TOO_MANY_LINKS: _spec(
        503, Execution.NO, True, "the target has all its connections in use"
    ),
    Kind.UNKNOWN_STATEMENT: _spec(404, Execution.NO, False, "no prepared statement has this name"),
    Kind.TARGET_UNREACHABLE: _spec(503, Execution.NO, True, "the target can't be reached"),
    Kind.NO_ANSWER: _spec(
        504, Execution.UNKNOWN, False, "a read was sent and not answered in time"
    ),
    Kind.ZONE_EVACUATED: _spec(
        503, Execution.NO, True, "only members in evacuated zones could run it"
    ),
    Kind.STOPPING: _spec(503, Execution.NO, True, "the host is stopping"),
    Kind.INTERNAL: _spec(500, Execution.UNKNOWN, False, "internal error of wagtailloft"),
}


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """An error kind with a detail text, reported to the caller."""

    kind: Kind
    detail: str = ""

    @property
    def spec(self) -> ErrorSpec:
        """Return how this kind is reported."""
        return ERROR_SPECS[self.kind]


class WagtailError(Exception):
    """Base class of the package's exceptions; kind is set if a refusal caused the exception."""

    kind: Kind | None = None


class ChangeRequest(WagtailError):
    """Raised when the request can't succeed unless the caller changes it."""


class TryAgain(WagtailError):
    """Raised when the request did not run and may be retried unchanged."""


class CheckOutcome(WagtailError):
    """Raised when it is unknown whether the request ran; the caller has to check."""


class FixSettings(WagtailError):
    """Raised when a settings file is invalid; the message has one line for each fault."""


class NotSent(WagtailError):
    """Raised by a transport when the request was not sent, or was certainly not started."""


class Unsendable(WagtailError):
    """Raised for a message that can't be encoded, or that no receiver would accept."""


class Unreadable(WagtailError):
    """Raised for received bytes that are no message."""


class NoResponse(WagtailError):
    """Raised by a transport when the request was sent but no complete response arrived."""


def exception_for(refusal: Refusal) -> WagtailError:
    """Return the exception for a refusal; its class tells what the caller can do."""
    text = f"{refusal.kind.value}: {refusal.detail or refusal.spec.meaning}"
    exc: WagtailError = ChangeRequest(text)
    if refusal.spec.ran is not Execution.NO:
        exc = CheckOutcome(text)
    elif refusal.spec.retry:
        exc = TryAgain(text)
    exc.kind = refusal.kind
    return exc

"""Statements of a session and what became of each."""

from enum import Enum

from wagtailloft.errors import Kind
from wagtailloft.models import Mode, Position, Record


class Verb(Enum):
    """Name what a statement does."""

    BEGIN = "begin"
    BEGIN_READ = "begin_read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class TransactionState(Enum):
    """Say whether a session is idle, in a transaction, or in one that failed."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class PreparedStatement(Record, frozen=True, array_like=True):
    """Describe a prepared statement: what it does and the shape that targets know."""

    mode: Mode
    text: str


class Statement(Record, array_like=True):
    """Hold one statement; text is forwarded as the caller wrote it.

    name and argument belong to SET (value), PREPARE (name) and EXECUTE (the rest of the text).
    """

    verb: Verb
    text: str = ""
    name: str = ""
    argument: str = ""
    prepared: PreparedStatement | None = None

    @property
    def writes(self) -> bool:
        """Tell whether the statement changes data."""
        if self.verb is Verb.EXECUTE:
            return self.prepared is not None and self.prepared.mode is Mode.WRITE
        return self.verb is Verb.WRITE


class StatementResult(Record, array_like=True):
    """Hold a statement's answer; kind is None on success.

    sent tells whether any byte of the statement may have reached a target.
    """

    kind: Kind | None = None
    detail: str = ""
    rows: tuple[str, ...] = ()
    signature: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None
    sent: bool = True

    @property
    def ok(self) -> bool:
        """Tell whether the statement succeeded."""
        return self.kind is None


def not_executed(
    kind: Kind, detail: str = "", *, state: TransactionState = TransactionState.IDLE
) -> StatementResult:
    """Return the outcome of a statement that reached no target."""
    return StatementResult(kind=kind, detail=detail, state=state, sent=False)


OK_NOT_SENT = StatementResult(sent=False)

"""Statements of a session and their results."""

from enum import Enum

from wagtailloft.errors import Kind
from wagtailloft.models import Mode, Position, Record


class Verb(Enum):
    """Name the kind of a statement."""

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
    """Describe whether a session is outside a transaction, in one, or in one that failed."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class PreparedStatement(Record, frozen=True, array_like=True):
    """Describe a prepared statement: whether it writes, and its text as prepared at targets."""

    mode: Mode
    text: str


class Statement(Record, array_like=True):
    """Describe one statement; text is forwarded as the caller wrote it.

    name is set for SET, PREPARE, EXECUTE and DEALLOCATE; argument is the value of SET or the rest
    of the text of EXECUTE.
    """

    verb: Verb
    text: str = ""
    name: str = ""
    argument: str = ""
    prepared: PreparedStatement | None = None

    @property
    def writes(self) -> bool:
        """Return whether the statement changes data."""
        if self.verb is Verb.EXECUTE:
            return self.prepared is not None and self.prepared.mode is Mode.WRITE
        return self.verb is Verb.WRITE


class StatementResult(Record, array_like=True):
    """Describe the result of a statement; kind is None on success.

    sent is True if any byte of the statement may have reached a target.
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
        """Return whether the statement succeeded."""
        return self.kind is None


def not_executed(
    kind: Kind, detail: str = "", *, state: TransactionState = TransactionState.IDLE
) -> StatementResult:
    """Return the result of a statement that was not sent to any target."""
    return StatementResult(kind=kind, detail=detail, state=state, sent=False)


# Success without a target: answered by the session, or passed by admission.
OK_NOT_SENT = StatementResult(sent=False)
# A host that is about to exit answers so at once, since the caller can use another one.
STOPPING = not_executed(Kind.STOPPING, "the host is stopping")

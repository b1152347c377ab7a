"""Database group members over HTTP: one connection is one session of the database."""

from typing import Any, Protocol

import msgspec

from wagtailloft.adapters.http import HttpConnection
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.models import Member, Position, Progress, Record, Rows, SqlStatement

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 0.25
OK = 200


class MemberRefused(Exception):
    """Raised when a member says that it did not run the work."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


class Work(Record):
    """Hold statements that a member runs together."""

    term: int
    mode: str
    statements: tuple[SqlStatement, ...] = ()
    after: Position = Position()
    in_transaction: bool = False


class Outcome(Record):
    """Hold a member's whole answer."""

    term: int
    position: Position
    results: tuple[Rows, ...]


class _Refusal(Record):
    error: str
    detail: str = ""


class Link(Protocol):
    """Run work on one connection to a member."""

    def call(self, action: str, work: Work, timeout: float) -> Outcome:
        """Run work; raise NotSent, NoResponse or MemberRefused."""

    def close(self) -> None:
        """Close the connection; the member rolls back what is open."""

    def cut(self) -> None:
        """Break the connection under a call that waits on it."""

    @property
    def usable(self) -> bool:
        """Tell whether the connection can take more work."""


class HttpLink:
    """Hold one HTTP connection to a member."""

    def __init__(self, *, member: Member, source: str) -> None:
        self._conn = HttpConnection(ip=member.ip, port=member.port, source=source)

    def connect(self) -> None:
        """Open the connection; raise NotSent if the member does not accept it."""
        self._conn.open(CONNECT_TIMEOUT_S)

    @property
    def usable(self) -> bool:
        """Tell whether the connection can take more work."""
        return self._conn.usable

    def call(self, action: str, work: Work, timeout: float) -> Outcome:
        """Run work; raise NotSent, NoResponse or MemberRefused."""
        if not self.usable:
            raise NotSent("the connection is closed")
        body = msgspec.json.encode(work)
        status, data = self._conn.exchange("POST", f"/{action}", body, timeout)
        if status != OK:
            raise self._refused(data)
        return self._outcome(data)

    def close(self) -> None:
        """Close the connection; the member rolls back what is open."""
        self._conn.close()

    def cut(self) -> None:
        """Break the connection under a call that waits on it."""
        self._conn.cut()

    def _refused(self, data: bytes) -> Exception:
        try:
            refusal = msgspec.json.decode(data, type=_Refusal)
        except msgspec.DecodeError:
            self.close()
            return NoResponse("unreadable refusal")
        return MemberRefused(refusal.error, refusal.detail)

    def _outcome(self, data: bytes) -> Outcome:
        try:
            outcome = msgspec.json.decode(data, type=Outcome)
        except msgspec.DecodeError as exc:
            self.close()
            raise NoResponse("unreadable answer") from exc
        short = any(r.columns and r.count != len(r.rows) for r in outcome.results)
        if short:
            self.close()
            raise NoResponse("rows are missing from the answer")
        return outcome


class Control(Protocol):
    """Watch and lead one member."""

    def progress(self, received: int, applied: int, wait: float) -> Progress:
        """Return positions once one is past the given, or after a wait; raise NoResponse."""

    def ask(self) -> Progress:
        """Return positions as they are now, over a connection of its own; raise NoResponse."""

    def order(self, action: str, body: Any) -> Progress:
        """Fence, promote or point a member; raise NoResponse or MemberRefused."""


class HttpControl:
    """Hold the control connections to one member."""

    def __init__(self, *, member: Member, source: str) -> None:
        self._member = member
        self._source = source
        self._watch: HttpConnection | None = None

    def progress(self, received: int, applied: int, wait: float) -> Progress:
        """Return positions once one is past the given, or after a wait; raise NoResponse."""
        path = f"/progress?received={received}&applied={applied}&wait={wait:g}"
        if self._watch is None:
            self._watch = self._open()
        try:
            _, data = self._watch.exchange("GET", path, b"", wait + CONTROL_TIMEOUT_S)
            return _progress(data)
        except NoResponse:
            self._watch.close()
            self._watch = None
            raise

    def ask(self) -> Progress:
        """Return positions as they are now, over a connection of its own; raise NoResponse."""
        _, data = self._once("GET", "/progress", b"")
        return _progress(data)

    def order(self, action: str, body: Any) -> Progress:
        """Fence, promote or point a member; raise NoResponse or MemberRefused."""
        status, data = self._once("POST", f"/{action}", msgspec.json.encode(body))
        progress = _progress(data)
        if status != OK:
            raise MemberRefused(action, f"the member is at term {progress.term}")
        return progress

    def _once(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        conn = self._open()
        try:
            return conn.exchange(method, path, body, CONTROL_TIMEOUT_S)
        finally:
            conn.close()

    def _open(self) -> HttpConnection:
        at = self._member
        conn = HttpConnection(ip=at.ip, port=at.control_port, source=self._source)
        try:
            conn.open(CONTROL_TIMEOUT_S)
        except NotSent as exc:
            raise NoResponse(str(exc)) from exc
        return conn


def _progress(data: bytes) -> Progress:
    try:
        return msgspec.json.decode(data, type=Progress)
    except msgspec.DecodeError as exc:
        raise NoResponse("unreadable progress") from exc

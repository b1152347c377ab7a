"""HTTP client of database group members; one connection is one database session."""

from typing import Any, Protocol

import msgspec

from wagtailloft.adapters.http import HttpConnection
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.models import (
    Member,
    Position,
    Progress,
    Record,
    Rows,
    SqlStatement,
    decode,
)
from wagtailloft.ranges import Count

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 0.25
HTTP_OK = 200


class MemberRejected(Exception):
    """Raised when a member reports that it did not execute a request."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


class MemberRequest(Record):
    """Statements that a member executes together in one term."""

    term: int
    mode: str
    statements: tuple[SqlStatement, ...] = ()
    after: Position = Position()
    in_transaction: bool = False


class MemberResponse(Record):
    """A member's complete response to a request, one result per statement."""

    term: Count
    position: Position
    results: tuple[Rows, ...]


class _RejectionBody(Record):
    error: str
    detail: str = ""


class MemberLink(Protocol):
    """A connection to a member that carries one request at a time."""

    def call(self, action: str, request: MemberRequest, timeout: float) -> MemberResponse:
        """Execute a request; raise NotSent, NoResponse or MemberRejected."""

    def close(self) -> None:
        """Close the connection; the member rolls back its open transaction."""

    def interrupt(self) -> None:
        """Shut the connection down so that a call blocked on it in another thread fails."""

    @property
    def usable(self) -> bool:
        """Tell whether the connection can carry another request."""


class HttpMemberLink:
    """A MemberLink over one HTTP connection."""

    def __init__(self, *, member: Member, source: str) -> None:
        self._conn = HttpConnection(ip=member.ip, port=member.port, source=source)

    def connect(self) -> None:
        """Open the connection; raise NotSent if the member does not accept it."""
        self._conn.open(CONNECT_TIMEOUT_S)

    @property
    def usable(self) -> bool:
        """Tell whether the connection can carry another request."""
        return self._conn.usable

    def call(self, action: str, request: MemberRequest, timeout: float) -> MemberResponse:
        """Execute a request; raise NotSent, NoResponse or MemberRejected."""
        if not self.usable:
            raise NotSent("the connection is closed")
        body = msgspec.json.encode(request)
        status, data = self._conn.exchange("POST", f"/{action}", body, timeout)
        if status != HTTP_OK:
            raise self._rejection(data)
        return self._decode_response(data)

    def close(self) -> None:
        """Close the connection; the member rolls back its open transaction."""
        self._conn.close()

    def interrupt(self) -> None:
        """Shut the connection down so that a call blocked on it in another thread fails."""
        self._conn.interrupt()

    def _rejection(self, data: bytes) -> Exception:
        try:
            rejection = decode(data, _RejectionBody)
        except msgspec.DecodeError:
            self.close()
            return NoResponse("the member's error response could not be decoded")
        return MemberRejected(rejection.error, rejection.detail)

    def _decode_response(self, data: bytes) -> MemberResponse:
        try:
            response = decode(data, MemberResponse)
        except msgspec.DecodeError as exc:
            self.close()
            raise NoResponse("the member's response could not be decoded") from exc
        incomplete = any(r.columns and r.count != len(r.rows) for r in response.results)
        if incomplete:
            self.close()
            raise NoResponse("the response's row count does not match its rows")
        return response


class MemberControl(Protocol):
    """Control interface of one member: replication progress, fencing and promotion."""

    def progress(self, received: int, applied: int, wait: float) -> Progress:
        """Return the positions once one exceeds its argument, or after the wait in seconds.

        Raise NoResponse.
        """

    def current_progress(self) -> Progress:
        """Return the current positions at once, over a new connection; raise NoResponse."""

    def command(self, action: str, body: Any) -> Progress:
        """Fence or promote a member, or set the member that it replicates from.

        Raise NoResponse or MemberRejected.
        """


class HttpMemberControl:
    """A MemberControl over HTTP; long polls for progress reuse one connection."""

    def __init__(self, *, member: Member, source: str) -> None:
        self._member = member
        self._source = source
        self._poll_connection: HttpConnection | None = None

    def progress(self, received: int, applied: int, wait: float) -> Progress:
        """Return the positions once one exceeds its argument, or after the wait in seconds.

        Raise NoResponse.
        """
        path = f"/progress?received={received}&applied={applied}&wait={wait:g}"
        if self._poll_connection is None:
            self._poll_connection = self._open()
        try:
            _, data = self._poll_connection.exchange("GET", path, b"", wait + CONTROL_TIMEOUT_S)
            return _decode_progress(data)
        except NoResponse:
            self._poll_connection.close()
            self._poll_connection = None
            raise

    def current_progress(self) -> Progress:
        """Return the current positions at once, over a new connection; raise NoResponse."""
        _, data = self._request_once("GET", "/progress", b"")
        return _decode_progress(data)

    def command(self, action: str, body: Any) -> Progress:
        """Fence or promote a member, or set the member that it replicates from.

        Raise NoResponse or MemberRejected.
        """
        status, data = self._request_once("POST", f"/{action}", msgspec.json.encode(body))
        progress = _decode_progress(data)
        if status != HTTP_OK:
            raise MemberRejected(action, f"the member is at term {progress.term}")
        return progress

    def _request_once(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        conn = self._open()
        try:
            return conn.exchange(method, path, body, CONTROL_TIMEOUT_S)
        finally:
            conn.close()

    def _open(self) -> HttpConnection:
        member = self._member
        conn = HttpConnection(ip=member.ip, port=member.control_port, source=self._source)
        try:
            conn.open(CONTROL_TIMEOUT_S)
        except NotSent as exc:
            raise NoResponse(str(exc)) from exc
        return conn


def _decode_progress(data: bytes) -> Progress:
    try:
        return decode(data, Progress)
    except msgspec.DecodeError as exc:
        raise NoResponse("the member's progress report could not be decoded") from exc

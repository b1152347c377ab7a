"""Database group members over HTTP: one connection is one session of the database."""

import socket
import threading
from contextlib import suppress
from typing import Any, Protocol

import msgspec
import urllib3
from urllib3.connection import HTTPConnection

from wagtailloft.adapters.sockets import OPTIONS
from wagtailloft.errors import NotSent, Silent
from wagtailloft.models import Member, Position, Progress, Record, Rows, Statement

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 0.25

_FAILURES = (urllib3.exceptions.HTTPError, OSError, ValueError)


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
    statements: tuple[Statement, ...] = ()
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
        """Run work; raise NotSent, Silent or MemberRefused."""

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
        self._conn = HTTPConnection(
            member.ip,
            member.port,
            timeout=CONNECT_TIMEOUT_S,
            socket_options=list(OPTIONS),
            source_address=(source, 0),
        )
        self._broken = False

    def connect(self) -> None:
        """Open the connection; raise NotSent if the member does not accept it."""
        try:
            self._conn.connect()
        except _FAILURES as exc:
            self.close()
            raise NotSent(f"connect: {type(exc).__name__}") from exc

    @property
    def usable(self) -> bool:
        """Tell whether the connection can take more work."""
        return not self._broken and self._conn.is_connected

    def call(self, action: str, work: Work, timeout: float) -> Outcome:
        """Run work; raise NotSent, Silent or MemberRefused."""
        if not self.usable:
            raise NotSent("the connection is closed")
        body = msgspec.json.encode(work)
        try:
            status, data = _exchange(self._conn, "POST", f"/{action}", body, timeout)
        except _FAILURES as exc:
            self.close()
            raise Silent(f"no whole answer: {type(exc).__name__}") from exc
        if status != 200:
            raise self._refused(data)
        return self._outcome(data)

    def close(self) -> None:
        """Close the connection; the member rolls back what is open."""
        self._broken = True
        self._conn.close()

    def cut(self) -> None:
        """Break the connection under a call that waits on it."""
        self._broken = True
        sock = self._conn.sock
        if sock is None:
            return
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)

    def _refused(self, data: bytes) -> Exception:
        try:
            refusal = msgspec.json.decode(data, type=_Refusal)
        except msgspec.DecodeError:
            self.close()
            return Silent("unreadable refusal")
        return MemberRefused(refusal.error, refusal.detail)

    def _outcome(self, data: bytes) -> Outcome:
        try:
            outcome = msgspec.json.decode(data, type=Outcome)
        except msgspec.DecodeError as exc:
            self.close()
            raise Silent("unreadable answer") from exc
        short = any(r.columns and r.count != len(r.rows) for r in outcome.results)
        if short:
            self.close()
            raise Silent("rows are missing from the answer")
        return outcome


class Control(Protocol):
    """Watch and lead one member."""

    def progress(self, received: int, applied: int, wait: float) -> Progress:
        """Return positions once one is past the given, or after a wait; raise Silent."""

    def order(self, action: str, body: Any) -> Progress:
        """Fence, promote or point a member; raise Silent or MemberRefused."""


class HttpControl:
    """Hold the control connections to one member."""

    def __init__(self, *, member: Member, source: str) -> None:
        self._member = member
        self._source = (source, 0)
        self._lock = threading.Lock()
        self._watch: HTTPConnection | None = None

    def progress(self, received: int, applied: int, wait: float) -> Progress:
        """Return positions once one is past the given, or after a wait; raise Silent."""
        path = f"/progress?received={received}&applied={applied}&wait={wait:g}"
        timeout = wait + CONTROL_TIMEOUT_S
        if self._watch is None:
            self._watch = self._open()
        try:
            _, data = _exchange(self._watch, "GET", path, None, timeout)
            return msgspec.json.decode(data, type=Progress)
        except _FAILURES as exc:
            self._watch.close()
            self._watch = None
            raise Silent(type(exc).__name__) from exc

    def order(self, action: str, body: Any) -> Progress:
        """Fence, promote or point a member; raise Silent or MemberRefused."""
        conn = self._open()
        try:
            data_out = msgspec.json.encode(body)
            status, data = _exchange(conn, "POST", f"/{action}", data_out, CONTROL_TIMEOUT_S)
            progress = msgspec.json.decode(data, type=Progress)
        except _FAILURES as exc:
            raise Silent(type(exc).__name__) from exc
        finally:
            conn.close()
        if status != 200:
            raise MemberRefused(action, f"the member is at term {progress.term}")
        return progress

    def close(self) -> None:
        """Close the heartbeat connection."""
        watch = self._watch
        if watch is not None:
            watch.close()

    def _open(self) -> HTTPConnection:
        return HTTPConnection(
            self._member.ip,
            self._member.control_port,
            timeout=CONTROL_TIMEOUT_S,
            socket_options=list(OPTIONS),
            source_address=self._source,
        )


def _exchange(
    conn: HTTPConnection, method: str, path: str, body: bytes | None, timeout: float
) -> tuple[int, bytes]:
    conn.timeout = timeout
    if conn.sock is not None:
        conn.sock.settimeout(timeout)
    conn.request(method, path, body=body, headers={"Host": "m"})
    answer = conn.getresponse()
    return answer.status, answer.data

"""Callers over HTTP/1.1 with JSON."""

import re
import threading
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import unquote

import msgspec
from cheroot import wsgi
from result import Err, Ok, Result

from wagtailloft.entry import Entry, Reply, Request
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Action, Cell, Mode, Record, Rows, Statement

HEADER_LIMIT_BYTES = 32 * 1024
BODY_LIMIT_BYTES = 16 * 1024 * 1024
SOCKET_TIMEOUT_S = 10.0
DEADLINE_LIMIT_MS = 3_600_000
AGE_LIMIT_MS = 86_400_000

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_PATH = re.compile(
    r"/v1/routes/([^/]+)/(statements|transactions)"
    r"(?:/([A-Za-z0-9._-]+)/(statements|commit|rollback))?"
)
_ACTIONS = {"statements": Action.RUN, "commit": Action.COMMIT, "rollback": Action.ROLLBACK}

Environ = dict[str, Any]
Start = Callable[[str, list[tuple[str, str]]], Any]


class Body(Record, forbid_unknown_fields=True):
    """Hold the JSON body of a statement."""

    sql: str
    args: tuple[Cell, ...] = ()
    mode: Mode = Mode.WRITE


class Success(Record):
    """Hold the JSON body of a whole answer."""

    request_id: str
    result: Rows
    transaction: str
    served_by: str
    role: str
    repeated: bool


class Failed(Record):
    """Hold the JSON body of a refusal."""

    kind: str
    ran: str
    retry: bool
    detail: str
    request_id: str


class Front:
    """Read callers' requests and write their answers."""

    def __init__(self, *, entry: Entry, body_limit: Callable[[str], int]) -> None:
        self._entry = entry
        self._body_limit = body_limit
        self._lock = threading.Lock()
        self.active = 0
        self.closing = False

    def __call__(self, environ: Environ, start: Start) -> Iterable[bytes]:
        """Answer one request."""
        with self._lock:
            self.active += 1
        try:
            return self._answer(environ, start)
        finally:
            with self._lock:
                self.active -= 1

    def _answer(self, environ: Environ, start: Start) -> Iterable[bytes]:
        read = self.read(environ)
        request_id = environ.get("HTTP_WAGTAIL_REQUEST_ID", "")[:128]
        if isinstance(read, Err):
            return self._fail(start, read.err_value, request_id)
        served = self._entry.serve(read.ok_value)
        if isinstance(served, Err):
            return self._fail(start, served.err_value, request_id)
        return self._succeed(start, served.ok_value)

    def read(self, environ: Environ) -> Result[Request, Refusal]:
        """Return a checked request, or say what is wrong with it."""
        path = _PATH.fullmatch(environ.get("PATH_INFO", ""))
        if path is None:
            return _err(Kind.NOT_FOUND, "see docs/INTERFACE.md for the paths")
        if environ.get("REQUEST_METHOD") != "POST":
            return _err(Kind.BAD_REQUEST, "only POST is served here")
        route, first, transaction, second = path.groups()
        action = Action.BEGIN if first == "transactions" and not second else None
        action = action or _ACTIONS[second or first]
        headers = self._headers(environ)
        if isinstance(headers, Err):
            return headers
        body = self._body(environ, unquote(route), action)
        if isinstance(body, Err):
            return body
        request = msgspec.structs.replace(
            headers.ok_value,
            action=action,
            route=unquote(route),
            transaction=transaction or "",
            statement=Statement(sql=body.ok_value.sql, args=body.ok_value.args),
            mode=Mode.WRITE if action is not Action.RUN or transaction else body.ok_value.mode,
        )
        return Ok(request)

    def _headers(self, environ: Environ) -> Result[Request, Refusal]:
        request_id = environ.get("HTTP_WAGTAIL_REQUEST_ID", "")
        if request_id and not _REQUEST_ID.fullmatch(request_id):
            return _err(Kind.BAD_REQUEST, "Wagtail-Request-Id: 1 to 128 of A-Z a-z 0-9 . _ : -")
        deadline = _milliseconds(environ, "DEADLINE_MS", 1, DEADLINE_LIMIT_MS)
        if isinstance(deadline, Err):
            return deadline
        max_age = _milliseconds(environ, "MAX_AGE_MS", 0, AGE_LIMIT_MS)
        if isinstance(max_age, Err):
            return max_age
        idempotent = environ.get("HTTP_WAGTAIL_IDEMPOTENT", "no")
        if idempotent not in ("yes", "no"):
            return _err(Kind.BAD_REQUEST, "Wagtail-Idempotent: yes or no")
        scheme, _, secret = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if scheme and scheme.lower() != "bearer":
            return _err(Kind.BAD_REQUEST, "Authorization: Bearer KEY")
        return Ok(
            Request(
                action=Action.RUN,
                route="",
                secret=secret.strip(),
                session=environ.get("HTTP_WAGTAIL_SESSION", ""),
                request_id=request_id,
                deadline=deadline.ok_value,
                max_age=max_age.ok_value,
                idempotent=idempotent == "yes",
            )
        )

    def _body(self, environ: Environ, route: str, action: Action) -> Result[Body, Refusal]:
        length = environ.get("CONTENT_LENGTH") or "0"
        limit = self._body_limit(route)
        if not length.isdigit() or int(length) > limit:
            environ["wsgi.input"].read(min(int(length), limit) if length.isdigit() else 0)
            return _err(Kind.TOO_LARGE, f"at most {limit} bytes")
        raw = environ["wsgi.input"].read(int(length))
        if action is not Action.RUN:
            return Ok(Body(sql=""))
        try:
            body = msgspec.json.decode(raw, type=Body)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return _err(Kind.BAD_REQUEST, f"body: {exc}")
        if not body.sql.strip() or "\0" in body.sql:
            return _err(Kind.BAD_REQUEST, "body: sql is empty or holds a NUL")
        return Ok(body)

    def _succeed(self, start: Start, reply: Reply) -> Iterable[bytes]:
        answer = reply.answer
        body = Success(
            request_id=answer.request_id,
            result=answer.rows,
            transaction=answer.transaction,
            served_by=answer.served_by,
            role=answer.role,
            repeated=answer.repeated,
        )
        return self._write(start, "200 OK", body, [("Wagtail-Session", reply.session)])

    def _fail(self, start: Start, refusal: Refusal, request_id: str) -> Iterable[bytes]:
        reply = refusal.reply
        body = Failed(
            kind=refusal.kind.value,
            ran=reply.ran.value,
            retry=reply.retry,
            detail=refusal.detail or reply.meaning,
            request_id=request_id,
        )
        return self._write(start, f"{reply.status} {refusal.kind.value}", body, [])

    def _write(
        self, start: Start, status: str, body: Record, extra: list[tuple[str, str]]
    ) -> Iterable[bytes]:
        payload = msgspec.json.encode(body)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(payload)))]
        if self.closing:
            headers.append(("Connection", "close"))
        start(status, headers + extra)
        return [payload]


class CallerServer:
    """Serve callers on a port with a pool of threads."""

    def __init__(self, *, ip: str, port: int, front: Front, threads: int) -> None:
        self._server = wsgi.Server(
            (ip, port),
            front,
            numthreads=threads,
            max=threads,
            timeout=SOCKET_TIMEOUT_S,
            request_queue_size=512,
            server_name="wagtailloft",
        )
        self._server.max_request_header_size = HEADER_LIMIT_BYTES
        self._server.max_request_body_size = BODY_LIMIT_BYTES
        self._server.error_log = _silent
        self._server.prepare()

    def start(self) -> None:
        """Serve in the background."""
        threading.Thread(target=self._server.serve, name="callers", daemon=True).start()

    def stop(self) -> None:
        """Close all connections and accept no more."""
        self._server.stop()


def _silent(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Drop the server's own messages; they may quote what callers sent."""


def _milliseconds(
    environ: Environ, name: str, low: int, high: int
) -> Result[float | None, Refusal]:
    raw = environ.get(f"HTTP_WAGTAIL_{name}")
    if raw is None:
        return Ok(None)
    if not (raw.isascii() and raw.isdigit()) or not low <= int(raw[:12]) <= high or len(raw) > 12:
        header = name.replace("_", "-").title()
        return _err(Kind.BAD_REQUEST, f"Wagtail-{header}: a whole number, {low} to {high}")
    return Ok(int(raw) / 1000)


def _err(kind: Kind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=kind, detail=detail))

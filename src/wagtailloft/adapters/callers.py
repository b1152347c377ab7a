"""Callers over HTTP/1.1 with JSON."""

import re
import threading
from collections.abc import Callable
from urllib.parse import unquote

import msgspec
from absl import logging
from result import Err, Ok, Result

from wagtailloft.adapters.server import HttpRequest, HttpResponse
from wagtailloft.entry import Entry, Reply, Request
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Action, Cell, Mode, Record, Rows, SqlStatement

DEADLINE_LIMIT_MS = 3_600_000
AGE_LIMIT_MS = 86_400_000

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_PATH = re.compile(
    r"/v1/routes/([^/]+)/(statements|transactions)"
    r"(?:/([A-Za-z0-9._-]+)/(statements|commit|rollback))?"
)
_ACTIONS = {"statements": Action.RUN, "commit": Action.COMMIT, "rollback": Action.ROLLBACK}

Headers = dict[str, str]


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

    def __call__(self, http: HttpRequest) -> HttpResponse:
        """Answer one request."""
        with self._lock:
            self.active += 1
        try:
            return self._answer(http)
        except Exception:
            logging.exception("event=request_failed")
            return failure(Refusal(kind=Kind.INTERNAL))
        finally:
            with self._lock:
                self.active -= 1

    def _answer(self, http: HttpRequest) -> HttpResponse:
        request_id = http.headers.get("wagtail-request-id", "")[:128]
        served = self.read(http).and_then(self._entry.serve)
        if isinstance(served, Err):
            return failure(served.err_value, request_id)
        return _success(served.ok_value)

    def read(self, http: HttpRequest) -> Result[Request, Refusal]:
        """Return a checked request, or say what is wrong with it."""
        if http.fault is not None:
            return Err(Refusal(kind=http.fault, detail="it could not be read as HTTP/1.1"))
        path = _PATH.fullmatch(http.path)
        if path is None:
            return _err(Kind.NOT_FOUND, "see docs/INTERFACE.md for the paths")
        if http.method != "POST":
            return _err(Kind.BAD_REQUEST, "only POST is served here")
        route, first, transaction, second = path.groups()
        action = Action.BEGIN if first == "transactions" and not second else None
        action = action or _ACTIONS[second or first]
        headers = self._headers(http.headers)
        if isinstance(headers, Err):
            return headers
        body = self._body(http.body, unquote(route), action)
        if isinstance(body, Err):
            return body
        request = msgspec.structs.replace(
            headers.ok_value,
            action=action,
            route=unquote(route),
            transaction=transaction or "",
            statement=SqlStatement(sql=body.ok_value.sql, args=body.ok_value.args),
            mode=Mode.WRITE if action is not Action.RUN or transaction else body.ok_value.mode,
        )
        return Ok(request)

    def _headers(self, given: Headers) -> Result[Request, Refusal]:
        request_id = given.get("wagtail-request-id", "")
        if request_id and not _REQUEST_ID.fullmatch(request_id):
            return _err(Kind.BAD_REQUEST, "Wagtail-Request-Id: 1 to 128 of A-Z a-z 0-9 . _ : -")
        deadline = _milliseconds(given, "deadline-ms", 1, DEADLINE_LIMIT_MS)
        if isinstance(deadline, Err):
            return deadline
        max_age = _milliseconds(given, "max-age-ms", 0, AGE_LIMIT_MS)
        if isinstance(max_age, Err):
            return max_age
        idempotent = given.get("wagtail-idempotent", "no")
        if idempotent not in ("yes", "no"):
            return _err(Kind.BAD_REQUEST, "Wagtail-Idempotent: yes or no")
        scheme, _, secret = given.get("authorization", "").partition(" ")
        if scheme and scheme.lower() != "bearer":
            return _err(Kind.BAD_REQUEST, "Authorization: Bearer KEY")
        return Ok(
            Request(
                action=Action.RUN,
                route="",
                secret=secret.strip(),
                session=given.get("wagtail-session", ""),
                request_id=request_id,
                deadline=deadline.ok_value,
                max_age=max_age.ok_value,
                idempotent=idempotent == "yes",
            )
        )

    def _body(self, raw: bytes, route: str, action: Action) -> Result[Body, Refusal]:
        limit = self._body_limit(route)
        if len(raw) > limit:
            return _err(Kind.TOO_LARGE, f"at most {limit} bytes")
        if action is not Action.RUN:
            return Ok(Body(sql=""))
        try:
            body = msgspec.json.decode(raw, type=Body)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return _err(Kind.BAD_REQUEST, f"body: {exc}")
        if not body.sql.strip() or "\0" in body.sql:
            return _err(Kind.BAD_REQUEST, "body: sql is empty or holds a NUL")
        return Ok(body)


def failure(refusal: Refusal, request_id: str = "") -> HttpResponse:
    """Return the answer to a refusal."""
    spec = refusal.spec
    body = Failed(
        kind=refusal.kind.value,
        ran=spec.ran.value,
        retry=spec.retry,
        detail=refusal.detail or spec.meaning,
        request_id=request_id,
    )
    return HttpResponse(status=spec.status, body=msgspec.json.encode(body))


def _success(reply: Reply) -> HttpResponse:
    answer = reply.answer
    body = Success(
        request_id=answer.request_id,
        result=answer.rows,
        transaction=answer.transaction,
        served_by=answer.served_by,
        role=answer.role,
        repeated=answer.repeated,
    )
    headers = (("Wagtail-Session", reply.session),)
    return HttpResponse(status=200, body=msgspec.json.encode(body), headers=headers)


def _milliseconds(given: Headers, name: str, low: int, high: int) -> Result[float | None, Refusal]:
    raw = given.get(f"wagtail-{name}")
    if raw is None:
        return Ok(None)
    if not (raw.isascii() and raw.isdigit()) or not low <= int(raw[:12]) <= high or len(raw) > 12:
        header = name.title()
        return _err(Kind.BAD_REQUEST, f"Wagtail-{header}: a whole number, {low} to {high}")
    return Ok(int(raw) / 1000)


def _err(kind: Kind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=kind, detail=detail))

"""HTTP/1.1 interface of callers, with JSON bodies."""

import re
import threading
from collections.abc import Callable
from urllib.parse import unquote

import msgspec
from absl import logging
from result import Err, Ok, Result

from wagtailloft.adapters.server import HttpRequest, HttpResponse
from wagtailloft.digits import is_decimal
from wagtailloft.entry import Entry, Reply, Request
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Action, Cell, Mode, Record, Rows, SqlStatement, decode

MAX_DEADLINE_MS = 3_600_000
MAX_READ_AGE_MS = 86_400_000

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_PATH = re.compile(
    r"/v1/routes/([^/]+)/"
    r"(?:(statements)|transactions(?:/([A-Za-z0-9._-]+)/(statements|commit|rollback))?)"
)
_ACTIONS_BY_OPERATION = {
    "statements": Action.RUN,
    "commit": Action.COMMIT,
    "rollback": Action.ROLLBACK,
}

Headers = dict[str, str]


class StatementBody(Record, forbid_unknown_fields=True):
    """JSON body of a statement request."""

    sql: str
    args: tuple[Cell, ...] = ()
    mode: Mode = Mode.WRITE


class Success(Record):
    """JSON body of a successful response."""

    request_id: str
    result: Rows
    transaction: str
    served_by: str
    role: str
    repeated: bool


class FailureBody(Record):
    """JSON body of a refusal."""

    kind: str
    ran: str
    retry: bool
    detail: str
    request_id: str


class CallerHandler:
    """HTTP request handler of the callers' port; active counts the requests in progress."""

    def __init__(self, *, entry: Entry, body_limit: Callable[[str], int]) -> None:
        self._entry = entry
        self._body_limit = body_limit
        self._lock = threading.Lock()
        self.active = 0

    def __call__(self, http: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        with self._lock:
            self.active += 1
        try:
            return self._respond(http)
        except Exception:
            logging.exception("event=request_failed")
            return failure_response(Refusal(kind=Kind.INTERNAL))
        finally:
            with self._lock:
                self.active -= 1

    def _respond(self, http: HttpRequest) -> HttpResponse:
        request_id = http.headers.get("wagtail-request-id", "")[:128]
        served = self.parse(http).and_then(self._entry.serve)
        if isinstance(served, Err):
            return failure_response(served.err_value, request_id)
        return _success_response(served.ok_value)

    def parse(self, http: HttpRequest) -> Result[Request, Refusal]:
        """Parse and validate a request, or return the refusal that says what is wrong with it."""
        if http.parse_error is not None:
            return Err(
                Refusal(kind=http.parse_error, detail="invalid HTTP/1.1, or over a size limit")
            )
        path = _PATH.fullmatch(http.path)
        if path is None:
            return _refuse(Kind.NOT_FOUND, "unknown path; see docs/INTERFACE.md")
        if http.method != "POST":
            return _refuse(Kind.BAD_REQUEST, "this path accepts only POST")
        route, statements, transaction, operation = path.groups()
        action = _ACTIONS_BY_OPERATION.get(operation or statements, Action.BEGIN)
        parsed = self._parse_headers(http.headers)
        if isinstance(parsed, Err):
            return parsed
        body = self._parse_body(http.body, unquote(route), action)
        if isinstance(body, Err):
            return body
        request = msgspec.structs.replace(
            parsed.ok_value,
            action=action,
            route=unquote(route),
            transaction=transaction or "",
            statement=SqlStatement(sql=body.ok_value.sql, args=body.ok_value.args),
            mode=Mode.WRITE if action is not Action.RUN or transaction else body.ok_value.mode,
        )
        return Ok(request)

    def _parse_headers(self, headers: Headers) -> Result[Request, Refusal]:
        request_id = headers.get("wagtail-request-id", "")
        if request_id and not _REQUEST_ID.fullmatch(request_id):
            return _refuse(
                Kind.BAD_REQUEST, "Wagtail-Request-Id: expected 1 to 128 of A-Z a-z 0-9 . _ : -"
            )
        deadline = _parse_milliseconds(headers, "deadline-ms", 1, MAX_DEADLINE_MS)
        if isinstance(deadline, Err):
            return deadline
        max_age = _parse_milliseconds(headers, "max-age-ms", 0, MAX_READ_AGE_MS)
        if isinstance(max_age, Err):
            return max_age
        idempotent = headers.get("wagtail-idempotent", "no")
        if idempotent not in ("yes", "no"):
            return _refuse(Kind.BAD_REQUEST, "Wagtail-Idempotent: expected yes or no")
        scheme, _, secret = headers.get("authorization", "").partition(" ")
        if scheme and scheme.lower() != "bearer":
            return _refuse(Kind.BAD_REQUEST, "Authorization: expected Bearer KEY")
        return Ok(
            Request(
                action=Action.RUN,
                route="",
                secret=secret.strip(),
                session=headers.get("wagtail-session", ""),
                request_id=request_id,
                deadline=deadline.ok_value,
                max_age=max_age.ok_value,
                idempotent=idempotent == "yes",
            )
        )

    def _parse_body(self, raw: bytes, route: str, action: Action) -> Result[StatementBody, Refusal]:
        limit = self._body_limit(route)
        if len(raw) > limit:
            return _refuse(Kind.TOO_LARGE, f"the body exceeds {limit} bytes")
        if action is not Action.RUN:
            return Ok(StatementBody(sql=""))
        try:
            body = decode(raw, StatementBody)
        except msgspec.DecodeError as exc:
            return _refuse(Kind.BAD_REQUEST, f"body: {exc}")
        if not body.sql.strip() or "\0" in body.sql:
            return _refuse(Kind.BAD_REQUEST, "body: sql is empty or contains a NUL character")
        return Ok(body)


def failure_response(refusal: Refusal, request_id: str = "") -> HttpResponse:
    """Return the response that reports a refusal."""
    spec = refusal.spec
    body = FailureBody(
        kind=refusal.kind.value,
        ran=spec.ran.value,
        retry=spec.retry,
        detail=refusal.detail or spec.meaning,
        request_id=request_id,
    )
    return HttpResponse(status=spec.status, body=msgspec.json.encode(body))


def unfinished_response(http: HttpRequest) -> HttpResponse:
    """Return the response to a request whose result its caller can't be sent any more."""
    detail = "the host stopped before the request ended"
    refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=detail)
    return failure_response(refusal, http.headers.get("wagtail-request-id", "")[:128])


def _success_response(reply: Reply) -> HttpResponse:
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


def _parse_milliseconds(
    headers: Headers, name: str, low: int, high: int
) -> Result[float | None, Refusal]:
    raw = headers.get(f"wagtail-{name}")
    if raw is None:
        return Ok(None)
    if not is_decimal(raw) or not low <= int(raw[:12]) <= high or len(raw) > 12:
        header = name.title()
        return _refuse(
            Kind.BAD_REQUEST, f"Wagtail-{header}: expected an integer from {low} to {high}"
        )
    return Ok(int(raw) / 1000)


def _refuse(kind: Kind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=kind, detail=detail))

"""A caller's session: it carries the session token from host to host."""

import itertools
import threading
import uuid
from types import TracebackType

import msgspec
import urllib3

from wagtailloft.adapters.callers import FailureBody, StatementBody, Success
from wagtailloft.errors import (
    CheckOutcome,
    Kind,
    Refusal,
    TryAgain,
    exception_for,
)
from wagtailloft.models import Cell, Mode

ANSWER_GRACE_S = 2.0
DEADLINE_S = 5.0
CONNECT_TIMEOUT_S = 1.0


class Session:
    """Run statements on a route and always read what was written.

    Every option can be given per call; what is not given falls back to the session's.
    Raises ChangeRequest, TryAgain or CheckOutcome, named for what the caller can do.
    """

    def __init__(
        self,
        *,
        hosts: list[str],
        route: str,
        key: str = "",
        deadline: float = DEADLINE_S,
        max_age: float | None = None,
    ) -> None:
        self.hosts = hosts
        self.route = route
        self.deadline = deadline
        self.max_age = max_age
        self._key = key
        self._next = itertools.count()
        self._lock = threading.Lock()
        self._tokens: frozenset[str] = frozenset()
        self._http = urllib3.PoolManager(maxsize=4, retries=False)

    def read(self, sql: str, *args: Cell, **given: object) -> Success:
        """Run a read; deadline and max_age in seconds, host and request_id may be given."""
        return self._statement(StatementBody(sql=sql, args=args, mode=Mode.READ), given)

    def write(self, sql: str, *args: Cell, **given: object) -> Success:
        """Run a write at most once; deadline, idempotent, host and request_id may be given."""
        return self._statement(StatementBody(sql=sql, args=args, mode=Mode.WRITE), given)

    def begin(self, **given: object) -> "Transaction":
        """Open a transaction; use it in a with block to commit or roll back at its end."""
        begun = self.post("transactions", b"", given)
        return Transaction(session=self, name=begun.transaction)

    def post(self, path: str, body: bytes, given: dict[str, object]) -> Success:
        """Send one request and return its answer, or raise what the answer means."""
        unknown = set(given) - {"deadline", "max_age", "idempotent", "host", "request_id"}
        if unknown:
            raise TypeError(f"unknown options: {', '.join(sorted(unknown))}")
        host = given.get("host") or self.hosts[next(self._next) % len(self.hosts)]
        deadline = given.get("deadline") or self.deadline
        sent = self._tokens
        headers = self._headers(given, deadline, sent)
        answer = self._exchange(f"{host}/v1/routes/{self.route}/{path}", body, headers, deadline)
        if answer.status != 200:
            raise _raised(answer)
        with self._lock:
            received = frozenset({answer.headers["Wagtail-Session"]})
            self._tokens = (self._tokens - sent) | received
        return msgspec.json.decode(answer.data, type=Success)

    def _statement(self, body: StatementBody, given: dict[str, object]) -> Success:
        return self.post("statements", msgspec.json.encode(body), given)

    def _headers(self, given: dict, deadline: float, sent: frozenset[str]) -> dict[str, str]:
        headers = {
            "Wagtail-Request-Id": given.get("request_id") or uuid.uuid4().hex,
            "Wagtail-Deadline-Ms": str(max(1, round(deadline * 1000))),
        }
        max_age = given.get("max_age", self.max_age)
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        if sent:
            headers["Wagtail-Session"] = ",".join(sorted(sent))
        if max_age is not None:
            headers["Wagtail-Max-Age-Ms"] = str(round(max_age * 1000))
        if given.get("idempotent"):
            headers["Wagtail-Idempotent"] = "yes"
        return headers

    def _exchange(
        self, url: str, body: bytes, headers: dict[str, str], deadline: float
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=deadline + ANSWER_GRACE_S)
        try:
            return self._http.request("POST", url, body=body, headers=headers, timeout=timeout)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise TryAgain(f"no connection: {type(e).__name__}") from e
        except urllib3.exceptions.HTTPError as exc:
            raise CheckOutcome(f"no answer: {type(exc).__name__}") from exc


class Transaction:
    """Hold one open transaction of a session."""

    def __init__(self, *, session: Session, name: str) -> None:
        self._session = session
        self._ended = False
        self.name = name

    def run(self, sql: str, *args: Cell, **given: object) -> Success:
        """Run a statement inside the transaction."""
        body = msgspec.json.encode(StatementBody(sql=sql, args=args))
        return self._session.post(f"transactions/{self.name}/statements", body, given)

    def commit(self, **given: object) -> Success:
        """Commit; the answer comes once a majority of the group has it."""
        self._ended = True
        return self._session.post(f"transactions/{self.name}/commit", b"", given)

    def rollback(self, **given: object) -> Success:
        """Undo all that the transaction did."""
        self._ended = True
        return self._session.post(f"transactions/{self.name}/rollback", b"", given)

    def __enter__(self) -> "Transaction":
        """Enter the block that the transaction spans."""
        return self

    def __exit__(
        self, kind: type | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Commit, or roll back after an exception."""
        if self._ended:
            return
        if kind is None:
            self.commit()
        else:
            self.rollback()


def _raised(answer: urllib3.BaseHTTPResponse) -> Exception:
    try:
        failed = msgspec.json.decode(answer.data, type=FailureBody)
        refusal = Refusal(kind=Kind(failed.kind), detail=failed.detail)
    except (msgspec.DecodeError, ValueError):
        return CheckOutcome(f"unreadable answer, status {answer.status}")
    return exception_for(refusal)

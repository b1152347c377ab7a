"""Python client: sessions that carry their session tokens from host to host."""

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
from wagtailloft.models import Cell, Mode, decode
from wagtailloft.session_tokens import MAX_TOKENS

RESPONSE_GRACE_S = 2.0  # added to the deadline, so that the host's response can arrive
DEFAULT_DEADLINE_S = 5.0
CONNECT_TIMEOUT_S = 1.0
# Each response brings a token, which later requests replace; one more token than requests in
# progress can be left.
MAX_IN_PROGRESS = MAX_TOKENS - 1


class Session:
    """Run statements on a route; reads see every earlier write of the session.

    Hosts are used in turn. `deadline` and `max_age`, the greatest age of the data that a read may
    return, are in seconds; both can be overridden for a single call.
    Calls raise ChangeRequest, TryAgain or CheckOutcome, named for what the caller can do next.
    """

    def __init__(
        self,
        *,
        hosts: list[str],
        route: str,
        key: str = "",
        deadline: float = DEFAULT_DEADLINE_S,
        max_age: float | None = None,
    ) -> None:
        self.hosts = hosts
        self.route = route
        self.deadline = deadline
        self.max_age = max_age
        self._key = key
        self._call_numbers = itertools.count()
        self._lock = threading.Lock()
        self._in_progress = threading.BoundedSemaphore(MAX_IN_PROGRESS)
        self._tokens: frozenset[str] = frozenset()
        self._http = urllib3.PoolManager(maxsize=4, retries=False)

    def read(self, sql: str, *args: Cell, **options: object) -> Success:
        """Run a read.

        Options: deadline and max_age in seconds, host and request_id.
        """
        return self._statement(StatementBody(sql=sql, args=args, mode=Mode.READ), options)

    def write(self, sql: str, *args: Cell, **options: object) -> Success:
        """Run a write at most once.

        Options: deadline in seconds, idempotent, host and request_id.
        """
        return self._statement(StatementBody(sql=sql, args=args, mode=Mode.WRITE), options)

    def begin(self, **options: object) -> "Transaction":
        """Open a transaction; as a context manager, it commits or rolls back at the block's end."""
        opened = self.post("transactions", b"", options)
        return Transaction(session=self, name=opened.transaction)

    def post(self, path: str, body: bytes, options: dict[str, object]) -> Success:
        """Send one request and return its result; raise the exception that a failure maps to.

        `path` is relative to the route. Raise TypeError for an unknown option.
        """
        unknown = set(options) - {"deadline", "max_age", "idempotent", "host", "request_id"}
        if unknown:
            raise TypeError(f"unknown options: {', '.join(sorted(unknown))}")
        host = options.get("host") or self.hosts[next(self._call_numbers) % len(self.hosts)]
        deadline = options.get("deadline")
        deadline = self.deadline if deadline is None else deadline
        if not self._in_progress.acquire(timeout=max(0.0, deadline)):
            raise TryAgain(f"{MAX_IN_PROGRESS} requests of the session are in progress")
        try:
            return self._post(f"{host}/v1/routes/{self.route}/{path}", body, options, deadline)
        finally:
            self._in_progress.release()

    def _post(self, url: str, body: bytes, options: dict[str, object], deadline: float) -> Success:
        sent = self._tokens
        headers = self._headers(options, deadline, sent)
        response = self._exchange(url, body, headers, deadline)
        if response.status != 200:
            raise _exception_from(response)
        with self._lock:
            received = frozenset({response.headers["Wagtail-Session"]})
            self._tokens = (self._tokens - sent) | received
        return decode(response.data, Success)

    def _statement(self, body: StatementBody, options: dict[str, object]) -> Success:
        return self.post("statements", msgspec.json.encode(body), options)

    def _headers(self, options: dict, deadline: float, sent: frozenset[str]) -> dict[str, str]:
        headers = {
            "Wagtail-Request-Id": options.get("request_id") or uuid.uuid4().hex,
            "Wagtail-Deadline-Ms": str(max(1, round(deadline * 1000))),
        }
        max_age = options.get("max_age", self.max_age)
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        if sent:
            headers["Wagtail-Session"] = ",".join(sorted(sent))
        if max_age is not None:
            headers["Wagtail-Max-Age-Ms"] = str(round(max_age * 1000))
        if options.get("idempotent"):
            headers["Wagtail-Idempotent"] = "yes"
        return headers

    def _exchange(
        self, url: str, body: bytes, headers: dict[str, str], deadline: float
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=deadline + RESPONSE_GRACE_S)
        try:
            return self._http.request("POST", url, body=body, headers=headers, timeout=timeout)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise TryAgain(f"could not connect: {type(e).__name__}") from e
        except urllib3.exceptions.HTTPError as exc:
            raise CheckOutcome(f"no response received: {type(exc).__name__}") from exc


class Transaction:
    """An open transaction of a session; as a context manager, it ends with the block."""

    def __init__(self, *, session: Session, name: str) -> None:
        self._session = session
        self._ended = False
        self.name = name

    def run(self, sql: str, *args: Cell, **options: object) -> Success:
        """Run a statement in the transaction."""
        body = msgspec.json.encode(StatementBody(sql=sql, args=args))
        return self._session.post(f"transactions/{self.name}/statements", body, options)

    def commit(self, **options: object) -> Success:
        """Commit the transaction; return once a majority of the group's members has it."""
        self._ended = True
        return self._session.post(f"transactions/{self.name}/commit", b"", options)

    def rollback(self, **options: object) -> Success:
        """Roll the transaction back."""
        self._ended = True
        return self._session.post(f"transactions/{self.name}/rollback", b"", options)

    def __enter__(self) -> "Transaction":
        """Return the transaction."""
        return self

    def __exit__(
        self, kind: type | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Commit, or roll back after an exception, unless the transaction has ended already."""
        if self._ended:
            return
        if kind is None:
            self.commit()
        else:
            self.rollback()


def _exception_from(response: urllib3.BaseHTTPResponse) -> Exception:
    try:
        failed = decode(response.data, FailureBody)
        refusal = Refusal(kind=Kind(failed.kind), detail=failed.detail)
    except (msgspec.DecodeError, ValueError):
        return CheckOutcome(f"invalid response body, status {response.status}")
    return exception_for(refusal)

"""Operators over HTTP: settings, status, explanations, drain and metrics."""

import threading
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
from cheroot import wsgi
from result import Err, Result

from wagtailloft.adapters.callers import Failed, Start
from wagtailloft.adapters.platform import Conflict
from wagtailloft.errors import REPLIES, Kind, Refusal
from wagtailloft.metrics import Metrics
from wagtailloft.models import Record
from wagtailloft.operators import Operators

BODY_LIMIT_BYTES = 1024 * 1024
THREADS = 8

Page = tuple[int, bytes]


class Conflicting(Record):
    """Tell the operator who lost a race what stands now."""

    kind: str
    detail: str
    revision: int
    value: msgspec.Raw


class Desk:
    """Read operators' requests and write their answers."""

    def __init__(
        self, *, operators: Operators, metrics: Metrics, drain: Callable[[], None]
    ) -> None:
        self._operators = operators
        self._metrics = metrics
        self._drain = drain

    def __call__(self, environ: dict[str, Any], start: Start) -> Iterable[bytes]:
        """Answer one request."""
        status, payload = self._route(environ)
        text = "text/plain" if environ["PATH_INFO"] == "/metrics" else "application/json"
        headers = [("Content-Type", text), ("Content-Length", str(len(payload)))]
        start(f"{status} -", headers)
        return [payload]

    def _route(self, environ: dict[str, Any]) -> Page:
        method = environ["REQUEST_METHOD"]
        parts = [unquote(p) for p in environ["PATH_INFO"].strip("/").split("/")]
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        match method, parts:
            case "GET", ["metrics"]:
                return 200, self._metrics.text()
            case "GET", ["v1", "status"]:
                return _page(self._operators.status())
            case "GET", ["v1", "explain", subject]:
                return _page(self._operators.explain(subject))
            case "GET", ["v1", "settings"]:
                explained = self._operators.explain_settings
                return _page(explained(query.get("route", ""), query.get("group", "")))
            case "GET", ["v1", "objects", kind]:
                return _result(self._operators.listed(kind))
            case "GET", ["v1", "objects", kind, name]:
                return _result(self._operators.read(kind, name))
            case "PUT", ["v1", "objects", kind, name]:
                return self._write(environ, query, kind, name)
            case "DELETE", ["v1", "objects", kind, name]:
                version = _version(query)
                return _result(self._operators.remove(kind, name, version))
            case "POST", ["v1", "drain"]:
                self._drain()
                return 202, b"{}"
        return _refused(Refusal(kind=Kind.NOT_FOUND, detail="see docs/INTERFACE.md"))

    def _write(self, environ: dict[str, Any], query: dict[str, str], kind: str, name: str) -> Page:
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit() or int(length) > BODY_LIMIT_BYTES:
            return _refused(Refusal(kind=Kind.TOO_LARGE))
        raw = environ["wsgi.input"].read(int(length))
        return _result(self._operators.write(kind, name, raw, _version(query)))


class OperatorServer:
    """Serve operators on a port."""

    def __init__(self, *, ip: str, port: int, desk: Desk) -> None:
        self._server = wsgi.Server((ip, port), desk, numthreads=THREADS, max=THREADS)
        self._server.max_request_body_size = BODY_LIMIT_BYTES
        self._server.prepare()

    def start(self) -> None:
        """Serve in the background."""
        threading.Thread(target=self._server.serve, name="operators", daemon=True).start()

    def stop(self) -> None:
        """Close all connections and accept no more."""
        self._server.stop()


def _version(query: dict[str, str]) -> int:
    raw = query.get("version", "0")
    return int(raw) if raw.isascii() and raw.isdigit() else -1


def _page(value: Any) -> Page:
    return 200, msgspec.json.encode(value)


def _result(result: Result[Any, Refusal | Conflict]) -> Page:
    if not isinstance(result, Err):
        return _page(result.ok_value)
    if isinstance(result.err_value, Conflict):
        return _conflict(result.err_value)
    return _refused(result.err_value)


def _conflict(conflict: Conflict) -> Page:
    body = Conflicting(
        kind=Kind.CONFLICT.value,
        detail=REPLIES[Kind.CONFLICT].meaning,
        revision=conflict.revision,
        value=conflict.value,
    )
    return REPLIES[Kind.CONFLICT].status, msgspec.json.encode(body)


def _refused(refusal: Refusal) -> Page:
    reply = refusal.reply
    body = Failed(
        kind=refusal.kind.value,
        ran=reply.ran.value,
        retry=reply.retry,
        detail=refusal.detail or reply.meaning,
        request_id="",
    )
    return reply.status, msgspec.json.encode(body)

"""Operators over HTTP: settings, status, explanations, drain and metrics."""

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
from result import Err, Result

from wagtailloft.adapters.callers import failure
from wagtailloft.adapters.object_api import Conflict
from wagtailloft.adapters.server import HttpRequest, HttpResponse
from wagtailloft.errors import ERROR_SPECS, Kind, Refusal
from wagtailloft.metrics import Metrics
from wagtailloft.models import Record
from wagtailloft.operators import Operators

OBJECT_LIMIT_BYTES = 1024 * 1024


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

    def __call__(self, http: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if http.fault is not None:
            return failure(Refusal(kind=http.fault))
        parts = [unquote(p) for p in http.path.strip("/").split("/")]
        query = {k: v[0] for k, v in parse_qs(http.query).items()}
        match http.method, parts:
            case "GET", ["metrics"]:
                return HttpResponse(status=200, body=self._metrics.text(), content="text/plain")
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
                return self._write(http.body, _version(query), kind, name)
            case "DELETE", ["v1", "objects", kind, name]:
                return _result(self._operators.remove(kind, name, _version(query)))
            case "POST", ["v1", "drain"]:
                self._drain()
                return HttpResponse(status=202, body=b"{}")
        return failure(Refusal(kind=Kind.NOT_FOUND, detail="see docs/INTERFACE.md"))

    def _write(self, raw: bytes, version: int, kind: str, name: str) -> HttpResponse:
        if len(raw) > OBJECT_LIMIT_BYTES:
            return failure(Refusal(kind=Kind.TOO_LARGE))
        return _result(self._operators.write(kind, name, raw, version))


def _version(query: dict[str, str]) -> int:
    raw = query.get("version", "0")
    return int(raw) if raw.isascii() and raw.isdigit() else -1


def _page(value: Any) -> HttpResponse:
    return HttpResponse(status=200, body=msgspec.json.encode(value))


def _result(result: Result[Any, Refusal | Conflict]) -> HttpResponse:
    if not isinstance(result, Err):
        return _page(result.ok_value)
    if isinstance(result.err_value, Conflict):
        return _conflict(result.err_value)
    return failure(result.err_value)


def _conflict(conflict: Conflict) -> HttpResponse:
    spec = ERROR_SPECS[Kind.CONFLICT]
    body = Conflicting(
        kind=Kind.CONFLICT.value,
        detail=spec.meaning,
        revision=conflict.revision,
        value=conflict.value,
    )
    return HttpResponse(status=spec.status, body=msgspec.json.encode(body))

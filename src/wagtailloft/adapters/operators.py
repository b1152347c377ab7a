"""HTTP interface of operators: settings, status, explanations, drain and metrics."""

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
from result import Err, Result

from wagtailloft import route_report
from wagtailloft.adapters.callers import failure_response
from wagtailloft.adapters.object_api import WriteConflict
from wagtailloft.adapters.server import HttpRequest, HttpResponse
from wagtailloft.digits import is_decimal
from wagtailloft.errors import ERROR_SPECS, Kind, Refusal
from wagtailloft.group_route_explanation import GroupRouteExplainer
from wagtailloft.metrics import Metrics
from wagtailloft.models import Record
from wagtailloft.operators import OperatorService

MAX_OBJECT_BYTES = 1024 * 1024


class ConflictBody(Record):
    """JSON body of a rejected write: the object's current revision and value."""

    kind: str
    detail: str
    revision: int
    value: msgspec.Raw


class OperatorHandler:
    """HTTP request handler of the operators' port."""

    def __init__(
        self,
        *,
        operators: OperatorService,
        route_explainer: GroupRouteExplainer,
        metrics: Metrics,
        drain: Callable[[], None],
    ) -> None:
        self._operators = operators
        self._route_explainer = route_explainer
        self._metrics = metrics
        self._drain = drain

    def __call__(self, http: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        if http.parse_error is not None:
            return failure_response(Refusal(kind=http.parse_error))
        parts = [unquote(p) for p in http.path.strip("/").split("/")]
        query = {k: v[0] for k, v in parse_qs(http.query).items()}
        match http.method, parts:
            case "GET", ["metrics"]:
                return HttpResponse(
                    status=200, body=self._metrics.text(), content_type="text/plain"
                )
            case "GET", ["explain"]:
                return self._explain_route(http.query)
            case "GET", ["v1", "status"]:
                return _json_response(self._operators.status())
            case "GET", ["v1", "explain", subject]:
                return _json_response(self._operators.explain(subject))
            case "GET", ["v1", "settings"]:
                explain = self._operators.explain_settings
                return _json_response(explain(query.get("route", ""), query.get("group", "")))
            case "GET", ["v1", "objects", kind]:
                return _result_response(self._operators.list_objects(kind))
            case "GET", ["v1", "objects", kind, name]:
                return _result_response(self._operators.read(kind, name))
            case "PUT", ["v1", "objects", kind, name]:
                return self._write(http.body, _version(query), kind, name)
            case "DELETE", ["v1", "objects", kind, name]:
                return _result_response(self._operators.remove(kind, name, _version(query)))
            case "POST", ["v1", "drain"]:
                self._drain()
                return HttpResponse(status=202, body=b"{}")
        return failure_response(
            Refusal(kind=Kind.NOT_FOUND, detail="unknown path; see docs/INTERFACE.md")
        )

    def _explain_route(self, query: str) -> HttpResponse:
        """Answer a question about a route, or redirect to the host that owns its group."""
        question = route_report.parse_question(query)
        if isinstance(question, route_report.RouteQuestion):
            url = self._route_explainer.url_of_owner(question)
            if url:
                return HttpResponse(status=307, body=b"{}", headers=(("Location", url),))
        status, body = route_report.respond(query, self._route_explainer.explain)
        return HttpResponse(status=status, body=body)

    def _write(self, raw: bytes, version: int, kind: str, name: str) -> HttpResponse:
        if len(raw) > MAX_OBJECT_BYTES:
            return failure_response(Refusal(kind=Kind.TOO_LARGE))
        return _result_response(self._operators.write(kind, name, raw, version))


def _version(query: dict[str, str]) -> int:
    raw = query.get("version", "0")
    return int(raw) if is_decimal(raw) else -1


def _json_response(value: Any) -> HttpResponse:
    return HttpResponse(status=200, body=msgspec.json.encode(value))


def _result_response(result: Result[Any, Refusal | WriteConflict]) -> HttpResponse:
    if not isinstance(result, Err):
        return _json_response(result.ok_value)
    if isinstance(result.err_value, WriteConflict):
        return _conflict_response(result.err_value)
    return failure_response(result.err_value)


def _conflict_response(conflict: WriteConflict) -> HttpResponse:
    spec = ERROR_SPECS[Kind.CONFLICT]
    body = ConflictBody(
        kind=Kind.CONFLICT.value,
        detail=spec.meaning,
        revision=conflict.revision,
        value=conflict.value,
    )
    return HttpResponse(status=spec.status, body=msgspec.json.encode(body))

"""The platform's object API over HTTP."""

from typing import Any, Protocol

import msgspec
import urllib3
from result import Err, Ok, Result

from wagtailloft.adapters.sockets import TCP_OPTIONS
from wagtailloft.controllers.object_cache import Delta
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import REMOVED, Change, Host

CALL_TIMEOUT_S = 2.0
WATCH_GRACE_S = 1.5
WATCHED_KINDS = "team,key,group,route,level,leadership,host,epoch"


class WriteConflict(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what stands at the platform in place of what was to be written."""

    revision: int
    value: msgspec.Raw = REMOVED


class _Hosts(msgspec.Struct, frozen=True):
    hosts: tuple[Host, ...]


class ObjectApi(Protocol):
    """Keep what must last or be agreed."""

    def get(
        self, kind: str, name: str, timeout: float = CALL_TIMEOUT_S
    ) -> Result[Change | None, Refusal]:
        """Return an object, or None if there is none."""

    def put(
        self, kind: str, name: str, value: Any, version: int, timeout: float = CALL_TIMEOUT_S
    ) -> Result[Change, WriteConflict | Refusal]:
        """Write an object if its version is still the given one; 0 creates, None removes."""

    def watch(self, after: int, wait: float) -> Result[Delta, Refusal]:
        """Return the changes after a revision, waiting for one so many seconds."""

    def hosts(self) -> Result[tuple[Host, ...], Refusal]:
        """Return the platform's lagging list of hosts."""


class HttpObjectApi:
    """Speak to the platform's object API."""

    def __init__(self, *, address: str, source: str) -> None:
        self._base = f"http://{address}"
        self._http = urllib3.PoolManager(
            maxsize=8,
            retries=False,
            socket_options=list(TCP_OPTIONS),
            source_address=(source, 0),
        )

    def get(
        self, kind: str, name: str, timeout: float = CALL_TIMEOUT_S
    ) -> Result[Change | None, Refusal]:
        """Return an object, or None if there is none."""
        answer = self._call("GET", f"/objects/{kind}/{name}", timeout=timeout)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == 404:
            return Ok(None)
        return _decode(answer.ok_value.data, Change)

    def put(
        self, kind: str, name: str, value: Any, version: int, timeout: float = CALL_TIMEOUT_S
    ) -> Result[Change, WriteConflict | Refusal]:
        """Write an object if its version is still the given one; 0 creates, None removes."""
        body = msgspec.json.encode({"value": value})
        path = f"/objects/{kind}/{name}?version={version}"
        answer = self._call("PUT", path, body, timeout)
        if isinstance(answer, Err):
            return self._find_out(kind, name, value, version, timeout)
        if answer.ok_value.status == 409:
            return _conflict(answer.ok_value.data)
        return _decode(answer.ok_value.data, Change)

    def watch(self, after: int, wait: float) -> Result[Delta, Refusal]:
        """Return the changes after a revision, waiting for one so many seconds."""
        path = f"/changes?kinds={WATCHED_KINDS}&after={after}&wait={wait:g}"
        answer = self._call("GET", path, timeout=wait + WATCH_GRACE_S)
        if isinstance(answer, Err):
            return answer
        return _decode(answer.ok_value.data, Delta)

    def hosts(self) -> Result[tuple[Host, ...], Refusal]:
        """Return the platform's lagging list of hosts."""
        answer = self._call("GET", "/hosts")
        if isinstance(answer, Err):
            return answer
        return _decode(answer.ok_value.data, _Hosts).map(lambda h: h.hosts)

    def _find_out(
        self, kind: str, name: str, value: Any, version: int, timeout: float
    ) -> Result[Change, WriteConflict | Refusal]:
        found = self.get(kind, name, timeout)
        if isinstance(found, Err):
            return found
        change = found.ok_value
        if change is None:
            if value is None and version:
                return Ok(Change(kind=kind, name=name, revision=version))
            return _down("the write did not take effect")
        if change.revision == version:
            return _down("the write did not take effect")
        if value is not None and _same(change.value, value):
            return Ok(change)
        return Err(WriteConflict(revision=change.revision, value=change.value))

    def _call(
        self, method: str, path: str, body: bytes | None = None, timeout: float = CALL_TIMEOUT_S
    ) -> Result[urllib3.BaseHTTPResponse, Refusal]:
        limit = urllib3.Timeout(total=timeout)
        try:
            answer = self._http.request(method, self._base + path, body=body, timeout=limit)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return _down(type(exc).__name__)
        if answer.status >= 500:
            return _down(f"status {answer.status}")
        return Ok(answer)


def _same(raw: msgspec.Raw, value: Any) -> bool:
    return msgspec.json.decode(raw) == msgspec.json.decode(msgspec.json.encode(value))


def _conflict(data: bytes) -> Err[WriteConflict | Refusal]:
    decoded = _decode(data, WriteConflict)
    return Err(decoded.ok_value if isinstance(decoded, Ok) else decoded.err_value)


def _decode(data: bytes, kind: type) -> Result[Any, Refusal]:
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except msgspec.DecodeError as exc:
        return _down(f"unreadable answer: {exc}")


def _down(detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=Kind.PLATFORM_DOWN, detail=detail))

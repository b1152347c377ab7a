"""HTTP client of the object API."""

from typing import Any, Protocol

import msgspec
import urllib3
from result import Err, Ok, Result

from wagtailloft.adapters.sockets import TCP_OPTIONS
from wagtailloft.controllers.object_cache import Delta
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import REMOVED, Change, Host

OBJECT_CALL_TIMEOUT_S = 2.0
WATCH_GRACE_S = 1.5  # added to the wait of a watch, so that the response can arrive
WATCHED_KINDS = "team,key,group,route,level,leadership,host,epoch"


class WriteConflict(msgspec.Struct, frozen=True, kw_only=True):
    """The stored revision and value of an object whose conditional write was rejected."""

    revision: int
    value: msgspec.Raw = REMOVED


class _Hosts(msgspec.Struct, frozen=True):
    hosts: tuple[Host, ...]


class ObjectApi(Protocol):
    """The platform's object API: durable objects that hosts share and update by compare-and-set."""

    def get(
        self, kind: str, name: str, timeout: float = OBJECT_CALL_TIMEOUT_S
    ) -> Result[Change | None, Refusal]:
        """Return an object, or None if it does not exist."""

    def put(
        self, kind: str, name: str, value: Any, version: int, timeout: float = OBJECT_CALL_TIMEOUT_S
    ) -> Result[Change, WriteConflict | Refusal]:
        """Write an object if it is still at a version; 0 creates it, a None value removes it."""

    def watch(self, after: int, wait: float) -> Result[Delta, Refusal]:
        """Return the changes after a revision, waiting up to some seconds for the first."""

    def hosts(self) -> Result[tuple[Host, ...], Refusal]:
        """Return the list of hosts, which may lag behind the actual ones."""


class HttpObjectApi:
    """An ObjectApi over HTTP."""

    def __init__(self, *, address: str, source: str) -> None:
        self._base = f"http://{address}"
        self._http = urllib3.PoolManager(
            maxsize=8,
            retries=False,
            socket_options=list(TCP_OPTIONS),
            source_address=(source, 0),
        )

    def get(
        self, kind: str, name: str, timeout: float = OBJECT_CALL_TIMEOUT_S
    ) -> Result[Change | None, Refusal]:
        """Return an object, or None if it does not exist."""
        response = self._call("GET", f"/objects/{kind}/{name}", timeout=timeout)
        if isinstance(response, Err):
            return response
        if response.ok_value.status == 404:
            return Ok(None)
        return _decode(response.ok_value.data, Change)

    def put(
        self, kind: str, name: str, value: Any, version: int, timeout: float = OBJECT_CALL_TIMEOUT_S
    ) -> Result[Change, WriteConflict | Refusal]:
        """Write an object if it is still at a version; 0 creates it, a None value removes it.

        If the write's response is lost or is a server error, the object is read back to learn the
        outcome.
        """
        body = msgspec.json.encode({"value": value})
        path = f"/objects/{kind}/{name}?version={version}"
        response = self._call("PUT", path, body, timeout)
        if isinstance(response, Err):
            return self._resolve_unknown_write(kind, name, value, version, timeout)
        if response.ok_value.status == 409:
            return _decode_conflict(response.ok_value.data)
        return _decode(response.ok_value.data, Change)

    def watch(self, after: int, wait: float) -> Result[Delta, Refusal]:
        """Return the changes after a revision, waiting up to some seconds for the first."""
        path = f"/changes?kinds={WATCHED_KINDS}&after={after}&wait={wait:g}"
        response = self._call("GET", path, timeout=wait + WATCH_GRACE_S)
        if isinstance(response, Err):
            return response
        return _decode(response.ok_value.data, Delta)

    def hosts(self) -> Result[tuple[Host, ...], Refusal]:
        """Return the list of hosts, which may lag behind the actual ones."""
        response = self._call("GET", "/hosts")
        if isinstance(response, Err):
            return response
        return _decode(response.ok_value.data, _Hosts).map(lambda h: h.hosts)

    def _resolve_unknown_write(
        self, kind: str, name: str, value: Any, version: int, timeout: float
    ) -> Result[Change, WriteConflict | Refusal]:
        found = self.get(kind, name, timeout)
        if isinstance(found, Err):
            return found
        change = found.ok_value
        if change is None:
            if value is None and version:
                return Ok(Change(kind=kind, name=name, revision=version))
            return _unavailable("the write failed and was not applied")
        if change.revision == version:
            return _unavailable("the write failed and was not applied")
        if value is not None and _equal_json(change.value, value):
            return Ok(change)
        return Err(WriteConflict(revision=change.revision, value=change.value))

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = OBJECT_CALL_TIMEOUT_S,
    ) -> Result[urllib3.BaseHTTPResponse, Refusal]:
        total = urllib3.Timeout(total=timeout)
        try:
            response = self._http.request(method, self._base + path, body=body, timeout=total)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return _unavailable(type(exc).__name__)
        if response.status >= 500:
            return _unavailable(f"status {response.status}")
        return Ok(response)


def _equal_json(raw: msgspec.Raw, value: Any) -> bool:
    return msgspec.json.decode(raw) == msgspec.json.decode(msgspec.json.encode(value))


def _decode_conflict(data: bytes) -> Err[WriteConflict | Refusal]:
    decoded = _decode(data, WriteConflict)
    return Err(decoded.ok_value if isinstance(decoded, Ok) else decoded.err_value)


def _decode(data: bytes, type_: type) -> Result[Any, Refusal]:
    try:
        return Ok(msgspec.json.decode(data, type=type_))
    except msgspec.DecodeError as exc:
        return _unavailable(f"the response could not be decoded: {exc}")


def _unavailable(detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=Kind.PLATFORM_DOWN, detail=detail))

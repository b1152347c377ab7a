"""HTTP client of the object API.

The API numbers the changes of its store. Revisions and versions here include the store's era, and
each era begins with a start mark; see wagtailloft.eras.
"""

from typing import Any, Protocol
from urllib.parse import quote

import msgspec
import urllib3
import xxhash
from result import Err, Ok, Result

from wagtailloft import logs
from wagtailloft.adapters.http_pool import HttpPool, HttpReply
from wagtailloft.catalog import TYPE_BY_KIND
from wagtailloft.controllers.object_cache import Delta
from wagtailloft.digits import is_decimal
from wagtailloft.eras import ERA_KIND, start_of, with_era
from wagtailloft.errors import Kind, Refusal
from wagtailloft.json_parts import split_array, split_object
from wagtailloft.models import REMOVED, Change, EraMark, Host, Lease, decode
from wagtailloft.ranges import StoreNumber
from wagtailloft.revisions import MAX_ERA, NO_ERA, era_of, make_revision, number_of

HTTP_CONNECTIONS = 8
OBJECT_CALL_TIMEOUT_S = 2.0
WATCH_GRACE_S = 1.5  # added to the wait of a watch, so that the response can arrive
WATCHED_KINDS = f"team,key,group,route,level,leadership,host,epoch,{ERA_KIND}"
START_CORRECTIONS = 5  # attempts; each competes with those of the other hosts
ERA_HEADER = "Store-Era"  # rises by one each time the store comes back from an older copy


RECORD_TYPES = {**TYPE_BY_KIND, "lease": Lease}  # of the values that hosts act on
MAX_REPORTED_OBJECTS = 1000  # remembered, so that each is logged once


class WriteConflict(msgspec.Struct, frozen=True, kw_only=True):
    """The stored revision and value of an object whose conditional write was rejected.

    The value is that of a removed object if it is not what the object's kind requires.
    """

    revision: StoreNumber
    value: msgspec.Raw = REMOVED


class _StoredChange(msgspec.Struct, frozen=True):
    kind: str
    name: str
    revision: StoreNumber
    value: msgspec.Raw = REMOVED


class _ChangeList(msgspec.Struct, frozen=True):
    revision: StoreNumber
    changes: tuple[msgspec.Raw, ...]
    whole: bool = False


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
        """Write an object if it is still at a version; a None value removes it.

        Version 0 creates it in the present era, number 0 of an era in that era only.
        """

    def watch(self, after: int, wait: float) -> Result[Delta, Refusal]:
        """Return the changes after a revision, waiting up to some seconds for the first."""

    def hosts(self) -> Result[tuple[Host, ...], Refusal]:
        """Return the list of hosts, which may lag behind the actual ones."""


class HttpObjectApi:
    """An ObjectApi over HTTP."""

    def __init__(self, *, address: str, source: str) -> None:
        self._base = f"http://{address}"
        self._era = NO_ERA  # of the latest response
        self._started_era = NO_ERA  # known to have its start mark
        self._reported: dict[int, None] = {}
        self._http = HttpPool(source=source, maxsize=HTTP_CONNECTIONS)

    def get(
        self, kind: str, name: str, timeout: float = OBJECT_CALL_TIMEOUT_S
    ) -> Result[Change | None, Refusal]:
        """Return an object, or None if it does not exist."""
        response = self._call("GET", _object_path(kind, name), timeout=timeout)
        if isinstance(response, Err):
            return response
        if response.ok_value.status == 404:
            return Ok(None)
        return _decode_response(response.ok_value)

    def put(
        self, kind: str, name: str, value: Any, version: int, timeout: float = OBJECT_CALL_TIMEOUT_S
    ) -> Result[Change, WriteConflict | Refusal]:
        """Write an object if it is still at a version; a None value removes it.

        Version 0 creates it in the present era, number 0 of an era in that era only. If the write's
        response is lost or is a server error, the object is read back to learn the outcome.
        """
        started = self._ensure_era_started(timeout)
        if isinstance(started, Err):
            return started
        era = self._era
        if version > 0 and era_of(version) != era:
            return self._conflict(kind, name, timeout)
        sent = with_era(value, era)
        response = self._put_once(kind, name, sent, version, timeout)
        if isinstance(response, Err):
            if response.err_value.kind is not Kind.OUTCOME_UNKNOWN:
                return response
            return self._resolve_unknown_write(kind, name, sent, version, era, timeout)
        if response.ok_value.status == 409:
            return _decode_conflict(kind, response.ok_value)
        written = _decode_response(response.ok_value)
        if isinstance(written, Err) or era_of(written.ok_value.revision) == era:
            return written
        logs.warn("write_in_new_era", kind=kind, store_era=self._era, before=era)
        self._correct_start(written.ok_value.revision, timeout)
        if version:
            return _unavailable("the store came back from an older copy before the write")
        # Other hosts take a write for an earlier era for an outdated one.
        return self.put(kind, name, value, written.ok_value.revision, timeout)

    def watch(self, after: int, wait: float) -> Result[Delta, Refusal]:
        """Return the changes after a revision, waiting up to some seconds for the first.

        Return all objects if the store is in another era than the revision.
        """
        response = self._changes(number_of(after), wait)
        if isinstance(response, Err) or not after:
            return response
        if era_of(response.ok_value.revision) == era_of(after) or response.ok_value.whole:
            return response
        return self._changes(0, 0.0).map(_as_whole)

    def hosts(self) -> Result[tuple[Host, ...], Refusal]:
        """Return the list of hosts, which may lag behind the actual ones."""
        response = self._call("GET", "/hosts")
        if isinstance(response, Err):
            return response
        return _decode(response.ok_value.data, _Hosts).map(lambda h: h.hosts)

    def _ensure_era_started(self, timeout: float) -> Result[None, Refusal]:
        """Make the start mark the first write of the present era."""
        if self._era == NO_ERA:
            found = self.get(ERA_KIND, str(NO_ERA), timeout)
            if isinstance(found, Err):
                return found
        era = self._era
        if era in (NO_ERA, self._started_era):
            return Ok(None)
        response = self._put_once(ERA_KIND, str(era), EraMark(era=era), 0, timeout)
        if isinstance(response, Err):
            return response
        if _era(response.ok_value) != era or response.ok_value.status not in (200, 409):
            return _unavailable(f"era {era} of the store has no start mark")
        self._started_era = era
        return Ok(None)

    def _correct_start(self, revision: int, timeout: float) -> None:
        """Let the start mark of an era tell that a write was done before the mark.

        Without that, other hosts take the writes in between for a part of the copy.
        """
        era, start = era_of(revision), number_of(revision)
        name, version = str(era), 0
        for _ in range(START_CORRECTIONS):
            mark = EraMark(era=era, start=start)
            response = self._put_once(ERA_KIND, name, mark, version, timeout)
            if isinstance(response, Err) or _era(response.ok_value) != era:
                break
            if response.ok_value.status != 409:
                return
            found = self.get(ERA_KIND, name, timeout)
            if isinstance(found, Err) or found.ok_value is None:
                break
            if start_of(found.ok_value) <= start:
                return
            version = found.ok_value.revision
        logs.warn("era_start_unknown", store_era=era, start=start)

    def _changes(self, after: int, wait: float) -> Result[Delta, Refusal]:
        path = f"/changes?kinds={WATCHED_KINDS}&after={after}&wait={wait:g}"
        response = self._call("GET", path, timeout=wait + WATCH_GRACE_S)
        if isinstance(response, Err):
            return response
        era = _era(response.ok_value)
        try:
            decoded = _decode_list(response.ok_value.data)
        except ValueError as exc:
            return _unavailable(f"the response could not be decoded: {exc}")
        changes = tuple(c for raw in decoded.changes if (c := self._decode_listed(raw, era)))
        revision = make_revision(era, decoded.revision)
        return Ok(Delta(revision=revision, changes=changes, whole=decoded.whole))

    def _decode_listed(self, raw: msgspec.Raw | bytes, era: int) -> Change | None:
        """Decode a change; log one that can't be, once, and leave it out."""
        try:
            return _decode_change(raw, era)
        except msgspec.DecodeError as exc:
            digest = xxhash.xxh64_intdigest(bytes(raw))
            if digest not in self._reported:
                self._reported[digest] = None
                if len(self._reported) > MAX_REPORTED_OBJECTS:
                    del self._reported[next(iter(self._reported))]
                logs.warn("object_unreadable", object=bytes(raw)[:100], why=str(exc))
            return None

    def _put_once(
        self, kind: str, name: str, value: Any, version: int, timeout: float
    ) -> Result[HttpReply, Refusal]:
        body = msgspec.json.encode({"value": value})
        path = f"{_object_path(kind, name)}?version={number_of(version)}"
        return self._call("PUT", path, body, timeout)

    def _conflict(
        self, kind: str, name: str, timeout: float
    ) -> Result[Change, WriteConflict | Refusal]:
        """Return the conflict of a write that requires a version of another era."""
        found = self.get(kind, name, timeout)
        if isinstance(found, Err):
            return found
        change = found.ok_value
        if change is None:
            return Err(WriteConflict(revision=make_revision(self._era, 0)))
        return Err(WriteConflict(revision=change.revision, value=change.value))

    def _resolve_unknown_write(
        self, kind: str, name: str, value: Any, version: int, era: int, timeout: float
    ) -> Result[Change, Refusal]:
        """Return the change if the store has it, else that the outcome is unknown.

        The write may still be done later, or another one may have replaced it. In another era than
        the one it was sent for, other hosts may undo it.
        """
        found = self.get(kind, name, timeout)
        if isinstance(found, Err):
            return _unknown("no response, and the object can't be read back")
        if self._era != era:
            return _unknown("no response, and the store came back from an older copy")
        change = found.ok_value
        if change is None:
            if value is None and number_of(version):
                return Ok(Change(kind=kind, name=name, revision=version))
        elif value is not None and _equal_json(change.value, value):
            return Ok(change)
        return _unknown("no response, and the store does not show the write")

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = OBJECT_CALL_TIMEOUT_S,
    ) -> Result[HttpReply, Refusal]:
        total = urllib3.Timeout(total=timeout)
        try:
            response = self._http.request(method, self._base + path, body=body, timeout=total)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return _unavailable(type(exc).__name__)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return _unanswered(method, type(exc).__name__)
        if response.status >= 500:
            return _unanswered(method, f"status {response.status}")
        if response.status == 429:
            return _unavailable("status 429")
        if response.status >= 400 and response.status not in (404, 409):
            detail = f"the platform rejected {method} {path.partition('?')[0]}: {response.status}"
            return Err(Refusal(kind=Kind.BAD_REQUEST, detail=detail))
        if _era(response) > MAX_ERA:
            return _unavailable("the platform names an impossible era")
        self._era = max(self._era, _era(response))
        return Ok(response)


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{kind}/{quote(name, safe='')}"


def _era(response: HttpReply) -> int:
    text = response.headers.get(ERA_HEADER, "")
    return int(text) if is_decimal(text) else NO_ERA


def _as_whole(delta: Delta) -> Delta:
    """Return the objects that all changes since number 0 lead to."""
    latest = {(c.kind, c.name): c for c in delta.changes}
    changes = tuple(c for c in latest.values() if not c.removed)
    return Delta(revision=delta.revision, changes=changes, whole=True)


def _equal_json(raw: msgspec.Raw, value: Any) -> bool:
    return msgspec.json.decode(raw) == msgspec.json.decode(msgspec.json.encode(value))


def _decode_list(data: bytes) -> _ChangeList:
    """Split a list of changes, none of which is decoded; raise ValueError."""
    try:
        return decode(data, _ChangeList)
    except msgspec.DecodeError:
        fields = split_object(data)
    head = [b"%s:%s" % (f, fields[f]) for f in (b'"revision"', b'"whole"') if f in fields]
    decoded = decode(b'{%s,"changes":[]}' % b",".join(head), _ChangeList)
    changes = split_array(fields.get(b'"changes"', b""))
    return msgspec.structs.replace(decoded, changes=tuple(changes))


def _decode_change(raw: msgspec.Raw | bytes, era: int) -> Change:
    """Decode a change whose value is what its kind requires; raise msgspec.DecodeError."""
    stored = decode(raw, _StoredChange)
    change = Change(
        kind=stored.kind,
        name=stored.name,
        revision=make_revision(era, stored.revision),
        value=stored.value,
    )
    if not change.removed:
        change.decode(RECORD_TYPES.get(change.kind, Any))
    return change


def _decode_response(response: HttpReply) -> Result[Change, Refusal]:
    try:
        return Ok(_decode_change(response.data, _era(response)))
    except msgspec.DecodeError as exc:
        return _unavailable(f"the response could not be decoded: {exc}")


def _decode_conflict(kind: str, response: HttpReply) -> Err[WriteConflict | Refusal]:
    try:
        revision, value = _split_conflict(response.data)
    except ValueError as exc:
        return _unavailable(f"the response could not be decoded: {exc}")
    try:
        decode(value, RECORD_TYPES.get(kind, Any))
    except msgspec.DecodeError as exc:
        if value != bytes(REMOVED):
            logs.warn("object_unreadable", object=response.data[:100], why=str(exc))
        value = REMOVED
    return Err(
        WriteConflict(revision=make_revision(_era(response), revision), value=msgspec.Raw(value))
    )


def _split_conflict(data: bytes) -> tuple[int, bytes]:
    """Return the revision and the undecoded value of a stored object; raise ValueError."""
    try:
        conflict = decode(data, WriteConflict)
    except msgspec.DecodeError:
        fields = split_object(data)
        return decode(fields.get(b'"revision"', b""), StoreNumber), fields.get(b'"value"', b"null")
    return conflict.revision, bytes(conflict.value)


def _decode(data: bytes, type_: type) -> Result[Any, Refusal]:
    try:
        return Ok(decode(data, type_))
    except msgspec.DecodeError as exc:
        return _unavailable(f"the response could not be decoded: {exc}")


def _unanswered(method: str, detail: str) -> Err[Refusal]:
    return _unknown(detail) if method == "PUT" else _unavailable(detail)


def _unknown(detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=detail))


def _unavailable(detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=Kind.PLATFORM_DOWN, detail=detail))

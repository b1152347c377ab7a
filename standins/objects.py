"""A fake metadata store: conditional writes, watches, compaction, dropped replies and restores."""

import copy
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from standins.web import Server

Reply = tuple[int, Any] | None
PAGE_SIZE = 500
ERA_HEADER = "Store-Era"


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """The state of a store at one time, to restore it from."""

    objects: dict[tuple[str, str], dict[str, Any]]
    revision: int


@dataclass(frozen=True, kw_only=True)
class ChangeEvent:
    """Describe a change of an object: its new state, or its last one if deleted."""

    kind: str
    object: dict[str, Any]
    deleted: bool

    @property
    def revision(self) -> int:
        """Return the revision of the change."""
        return self.object["meta"]["revision"]


class FakeObjectStore:
    """A store of objects, versioned by one revision for all kinds.

    Tests inject faults by setting `down` (calls fail with 503; notify `changed` to end watches) and
    `dropped_reply_ratio` (that share of writes is applied without a reply).
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[ChangeEvent] = []
        self.compacted_revision = 0
        self.revision = 1
        self.era = 1
        self.down = False
        self.dropped_reply_ratio = 0.0
        self.calls: Counter[str] = Counter()
        self._rng = random.Random(7)

    def serve(self, ip: str, port: int) -> Server:
        """Serve on a port in the background."""
        server = Server(app=self, port=port, ip=ip)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def connected(self) -> None:
        """Accept a connection; the store keeps no state for it."""

    def disconnected(self, connection: None) -> None:
        """Ignore a closed connection."""

    def handle(self, connection: None, method: str, path: str, query: dict, body: dict) -> Reply:
        """Return the status and body of a call, or None to close without a reply."""
        self.calls[method] += 1
        if self.down:
            return 503, {}
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) not in (2, 3):
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) == 3 else ""
        if method == "GET":
            return self._read(kind, name, query)
        reply = self._write(method, kind, name, query, body)
        return None if self._rng.random() < self.dropped_reply_ratio else reply

    def reply_headers(self) -> dict[str, Any]:
        """Return the headers of every reply."""
        return {ERA_HEADER: self.era}

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        with self.changed:
            return StoreCopy(objects=copy.deepcopy(self.objects), revision=self.revision)

    def restore(self, store_copy: StoreCopy) -> None:
        """Come back from a copy in the next era, without history; waiting watches end with 410."""
        with self.changed:
            self.objects = copy.deepcopy(store_copy.objects)
            self.revision = self.compacted_revision = store_copy.revision
            self.era += 1
            self.history.clear()
            self.changed.notify_all()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object unconditionally and return its revision.

        The operator and the members write this way.
        """
        with self.changed:
            existing = self.objects.get((kind, name))
            meta = {"created_rev": self.revision + 1} if existing is None else existing["meta"]
            return self._store(kind, name, meta, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object unconditionally, if it exists."""
        with self.changed:
            self._remove(kind, name)

    def compact_history(self) -> None:
        """Drop all history; watches from an earlier revision, also waiting ones, end with 410."""
        with self.changed:
            self.compacted_revision = self.revision
            self.history.clear()
            self.changed.notify_all()

    def _read(self, kind: str, name: str, query: dict) -> Reply:
        with self.changed:
            if name:
                stored = self.objects.get((kind, name))
                return (200, stored) if stored else (404, {})
            if "watch" in query:
                return self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            items = [self.objects[(kind, n)] for n in names[:PAGE_SIZE]]
            has_more = len(names) > PAGE_SIZE
            return 200, {"items": items, "has_more": has_more, "at": self.revision}

    def _watch(self, kind: str, after: int, wait_ms: int) -> Reply:
        deadline, era = time.monotonic() + wait_ms / 1000, self.era
        while True:
            known = era == self.era and self.compacted_revision <= after <= self.revision
            if not known or self.down:
                return (503, {}) if self.down else (410, {})
            events = [e for e in self.history if e.kind == kind and e.revision > after]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                items = [{"object": e.object, "deleted": e.deleted} for e in events]
                return 200, {"events": items, "at": self.revision}
            self.changed.wait(remaining_s)

    def _write(self, method: str, kind: str, name: str, query: dict, body: dict) -> Reply:
        with self.changed:
            meta = body.get("meta") or {}
            name = name or meta.get("name", "")
            existing = self.objects.get((kind, name))
            if method == "POST" and existing:
                return 409, existing
            if method != "POST" and not existing:
                return 404, {}
            expected_revision = int(meta.get("revision") or query.get("revision") or 0)
            if existing and expected_revision and expected_revision != existing["meta"]["revision"]:
                return 409, existing
            if method == "DELETE":
                self._remove(kind, name)
                return 200, existing
            if existing and existing["spec"] == body.get("spec"):
                return 200, existing
            self._store(kind, name, existing["meta"] if existing else {}, body.get("spec"))
            return 200, self.objects[(kind, name)]

    def _store(self, kind: str, name: str, meta: dict, spec: Any) -> int:
        self.revision += 1
        defaults = {"created_rev": self.revision, "finalizers": [], "deleting": False}
        new_meta = {**defaults, **meta, "name": name, "revision": self.revision}
        stored = {"meta": new_meta, "spec": spec, "status": None}
        self.objects[(kind, name)] = stored
        self._record(ChangeEvent(kind=kind, object=stored, deleted=False))
        return self.revision

    def _remove(self, kind: str, name: str) -> None:
        stored = self.objects.pop((kind, name), None)
        if stored is None:
            return
        self.revision += 1
        last_state = {**stored, "meta": {**stored["meta"], "revision": self.revision}}
        self._record(ChangeEvent(kind=kind, object=last_state, deleted=True))

    def _record(self, event: ChangeEvent) -> None:
        self.history.append(event)
        self.changed.notify_all()

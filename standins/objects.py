"""The site's metadata store: objects by kind, conditions, watches, lost history and answers."""

import random
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from standins.web import Server

Reply = tuple[int, Any] | None
PAGE = 500


@dataclass(frozen=True, kw_only=True)
class Event:
    """Hold one change."""

    kind: str
    object: dict[str, Any]
    deleted: bool

    @property
    def revision(self) -> int:
        """Return the revision of the change."""
        return self.object["meta"]["revision"]


class FakeObjectStore:
    """Keep objects; faults are attributes that tests set."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[Event] = []
        self.compacted_revision = 0
        self.revision = 1
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
        """Accept any connection."""

    def disconnected(self, connection: None) -> None:
        """Forget a connection."""

    def handle(self, connection: None, method: str, path: str, query: dict, body: dict) -> Reply:
        """Answer one call, unless a fault says otherwise."""
        self.calls[method] += 1
        if self.down:
            return 503, {}
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) not in (2, 3):
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) == 3 else ""
        if method == "GET":
            return self._read(kind, name, query)
        answer = self._write(method, kind, name, query, body)
        return None if self._rng.random() < self.dropped_reply_ratio else answer

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object without a condition, as the operator and the members do."""
        with self.changed:
            known = self.objects.get((kind, name))
            meta = {"created_rev": self.revision + 1} if known is None else known["meta"]
            return self._store(kind, name, meta, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.changed:
            self._remove(kind, name)

    def compact_history(self) -> None:
        """Drop all history; waiting watches end with 410."""
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
            items = [self.objects[(kind, n)] for n in names[:PAGE]]
            more = len(names) > PAGE
            return 200, {"items": items, "has_more": more, "at": self.revision}

    def _watch(self, kind: str, after: int, wait_ms: int) -> Reply:
        until = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.compacted_revision or self.down:
                return (503, {}) if self.down else (410, {})
            events = [e for e in self.history if e.kind == kind and e.revision > after]
            left = until - time.monotonic()
            if events or left <= 0:
                told = [{"object": e.object, "deleted": e.deleted} for e in events]
                return 200, {"events": told, "at": self.revision}
            self.changed.wait(left)

    def _write(self, method: str, kind: str, name: str, query: dict, body: dict) -> Reply:
        with self.changed:
            meta = body.get("meta") or {}
            name = name or meta.get("name", "")
            known = self.objects.get((kind, name))
            if method == "POST" and known:
                return 409, known
            if method != "POST" and not known:
                return 404, {}
            wanted = int(meta.get("revision") or query.get("revision") or 0)
            if known and wanted and wanted != known["meta"]["revision"]:
                return 409, known
            if method == "DELETE":
                self._remove(kind, name)
                return 200, known
            if known and known["spec"] == body.get("spec"):
                return 200, known
            self._store(kind, name, known["meta"] if known else {}, body.get("spec"))
            return 200, self.objects[(kind, name)]

    def _store(self, kind: str, name: str, meta: dict, spec: Any) -> int:
        self.revision += 1
        fixed = {"created_rev": self.revision, "finalizers": [], "deleting": False}
        told = {**fixed, **meta, "name": name, "revision": self.revision}
        stored = {"meta": told, "spec": spec, "status": None}
        self.objects[(kind, name)] = stored
        self._note(Event(kind=kind, object=stored, deleted=False))
        return self.revision

    def _remove(self, kind: str, name: str) -> None:
        stored = self.objects.pop((kind, name), None)
        if stored is None:
            return
        self.revision += 1
        gone = {**stored, "meta": {**stored["meta"], "revision": self.revision}}
        self._note(Event(kind=kind, object=gone, deleted=True))

    def _note(self, event: Event) -> None:
        self.history.append(event)
        self.changed.notify_all()

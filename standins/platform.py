"""A fake platform: versioned objects, conditional updates, watches, a host list and outages."""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

import fire

from standins.web import Server

Reply = tuple[int, dict[str, Any]] | None
MAX_HISTORY_CHANGES = 50_000
ERA_HEADER = "Store-Era"


@dataclass(frozen=True, kw_only=True)
class StoredObject:
    """An object at one revision; its value is None if it was removed.

    The fields are the JSON fields of the API.
    """

    kind: str
    name: str
    revision: int
    value: Any


class FakePlatform:
    """A store of objects and a list of hosts that lags `host_lag_s` behind.

    POST /faults sets the faults: `down` (no call gets a reply), `delay_s` (before each call) and
    `drop_answers` (that many writes are applied without a reply). POST /copy remembers the present
    state, and POST /restore comes back from it in the next era, without history.
    """

    def __init__(self, *, host_lag_s: float) -> None:
        self.host_lag_s = host_lag_s
        self.changed = threading.Condition()
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.history: list[StoredObject] = []
        self.host_lists: list[tuple[float, list[Any]]] = [(0.0, [])]
        self.last_revision_by_kind: Counter[str] = Counter()
        self.revision = 0
        self.era = 1
        self.saved: tuple[int, dict[tuple[str, str], StoredObject], Counter[str]] | None = None
        self.down = False
        self.delay_s = 0.0
        self.replies_to_drop = 0
        self.calls: Counter[str] = Counter()

    def connected(self) -> None:
        """Accept a connection; the platform keeps no state for it."""

    def disconnected(self, connection: None) -> None:
        """Ignore a closed connection."""

    def handle(self, connection: None, method: str, path: str, query: dict, body: dict) -> Reply:
        """Return the status and body of a call, or None to close without a reply."""
        parts = path.strip("/").split("/", 2)
        if parts[0] == "faults":
            return self._set_faults(body)
        if parts[0] == "calls":
            return 200, dict(self.calls)
        if parts[0] in ("copy", "restore"):
            return self._save() if parts[0] == "copy" else self._restore()
        if self.down:
            return None
        if self.delay_s:
            time.sleep(self.delay_s)
        reply = self._object_call(method, parts, query, body)
        if method in ("PUT", "DELETE") and self.replies_to_drop > 0:
            self.replies_to_drop -= 1
            return None
        return None if self.down else reply

    def reply_headers(self) -> dict[str, Any]:
        """Return the headers of every reply."""
        return {ERA_HEADER: self.era}

    def _save(self) -> Reply:
        with self.changed:
            self.saved = (self.revision, dict(self.objects), self.last_revision_by_kind.copy())
        return 200, {}

    def _restore(self) -> Reply:
        with self.changed:
            self.revision, objects, last_revisions = self.saved
            self.objects, self.last_revision_by_kind = dict(objects), last_revisions.copy()
            self.history.clear()
            self.era += 1
            self._record_host_list()
            self.changed.notify_all()
        return 200, {}

    def _set_faults(self, body: dict) -> Reply:
        with self.changed:
            self.down = body.get("down", self.down)
            self.delay_s = body.get("delay_s", self.delay_s)
            self.replies_to_drop = body.get("drop_answers", self.replies_to_drop)
            self.changed.notify_all()
        return 200, {}

    def _object_call(self, method: str, parts: list[str], query: dict, body: dict) -> Reply:
        if parts[0] == "changes":
            self.calls["watch"] += 1
            kinds = frozenset(query["kinds"].split(","))
            return self._changes(kinds, int(query["after"]), float(query.get("wait", 0)))
        if parts[0] == "hosts":
            self.calls["hosts"] += 1
            return self._hosts()
        if parts[0] != "objects" or len(parts) != 3:
            return 404, {"error": "not_found"}
        kind, name = parts[1], unquote(parts[2])
        self.calls[method.lower()] += 1
        if method == "GET":
            return self._get(kind, name)
        return self._put(kind, name, int(query["version"]), body.get("value"))

    def _get(self, kind: str, name: str) -> Reply:
        with self.changed:
            stored = self.objects.get((kind, name))
        if stored is None:
            return 404, {"error": "not_found"}
        return 200, vars(stored)

    def _put(self, kind: str, name: str, version: int, value: Any) -> Reply:
        with self.changed:
            old = self.objects.get((kind, name))
            current = old.revision if old else 0
            if version != current:
                return 409, vars(old) if old else {"revision": 0, "value": None}
            self.revision += 1
            stored = StoredObject(kind=kind, name=name, revision=self.revision, value=value)
            if value is None:
                self.objects.pop((kind, name), None)
            else:
                self.objects[(kind, name)] = stored
            self.last_revision_by_kind[kind] = self.revision
            self.history.append(stored)
            if kind == "host":
                self._record_host_list()
            del self.history[:-MAX_HISTORY_CHANGES]
            self.changed.notify_all()
        return 200, vars(stored)

    def _changes(self, kinds: frozenset[str], after: int, wait: float) -> Reply:
        with self.changed:
            if wait:
                self.changed.wait_for(
                    lambda: self._last_revision(kinds) != after or self.down, timeout=wait
                )
            history_start = self.history[0].revision - 1 if self.history else self.revision
            last_revision = self._last_revision(kinds)
            whole = after != last_revision and not history_start <= after <= last_revision
            source = (
                self.objects.values() if whole else self.history[max(0, after - history_start) :]
            )
            changes = [vars(o) for o in source if o.kind in kinds]
            return 200, {"revision": last_revision, "whole": whole, "changes": changes}

    def _last_revision(self, kinds: frozenset[str]) -> int:
        return max((self.last_revision_by_kind[kind] for kind in kinds), default=0)

    def _hosts(self) -> Reply:
        cutoff = time.monotonic() - self.host_lag_s
        with self.changed:
            while len(self.host_lists) > 1 and self.host_lists[1][0] <= cutoff:
                del self.host_lists[0]
            return 200, {"hosts": self.host_lists[0][1]}

    def _record_host_list(self) -> None:
        hosts = [o.value for o in self.objects.values() if o.kind == "host"]
        self.host_lists.append((time.monotonic(), hosts))


def main(ip: str, port: int, host_lag_s: float = 1.0) -> None:
    """Serve the platform until the process is stopped."""
    Server(app=FakePlatform(host_lag_s=host_lag_s), port=port, ip=ip).serve_forever()


if __name__ == "__main__":
    fire.Fire(main)

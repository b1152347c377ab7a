"""The platform: an object API with versions, conditional updates, watches, hosts and outages."""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

import fire

from standins.web import Server

Reply = tuple[int, dict[str, Any]] | None
HISTORY = 50_000


@dataclass(frozen=True, kw_only=True)
class Item:
    """Hold one object at one revision; no value means that it was removed."""

    kind: str
    name: str
    revision: int
    value: Any


class Platform:
    """Keep objects and a lagging list of hosts, and inject faults on request."""

    def __init__(self, *, host_lag_s: float) -> None:
        self.host_lag_s = host_lag_s
        self.changed = threading.Condition()
        self.items: dict[tuple[str, str], Item] = {}
        self.history: list[Item] = []
        self.host_lists: list[tuple[float, list[Any]]] = [(0.0, [])]
        self.last_of: Counter[str] = Counter()
        self.revision = 0
        self.down = False
        self.delay_s = 0.0
        self.drop_answers = 0
        self.calls: Counter[str] = Counter()

    def connected(self) -> None:
        """Accept any connection."""

    def disconnected(self, connection: None) -> None:
        """Forget a connection."""

    def handle(self, connection: None, method: str, path: str, query: dict, body: dict) -> Reply:
        """Answer one call, unless a fault says otherwise."""
        parts = path.strip("/").split("/", 2)
        if parts[0] == "faults":
            return self._faults(body)
        if parts[0] == "calls":
            return 200, dict(self.calls)
        if self.down:
            return None
        if self.delay_s:
            time.sleep(self.delay_s)
        reply = self._object_call(method, parts, query, body)
        if method in ("PUT", "DELETE") and self.drop_answers > 0:
            self.drop_answers -= 1
            return None
        return None if self.down else reply

    def _faults(self, body: dict) -> Reply:
        with self.changed:
            self.down = body.get("down", self.down)
            self.delay_s = body.get("delay_s", self.delay_s)
            self.drop_answers = body.get("drop_answers", self.drop_answers)
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
        kind, name = parts[1], parts[2]
        self.calls[method.lower()] += 1
        if method == "GET":
            return self._get(kind, name)
        return self._put(kind, name, int(query["version"]), body.get("value"))

    def _get(self, kind: str, name: str) -> Reply:
        with self.changed:
            item = self.items.get((kind, name))
        if item is None:
            return 404, {"error": "not_found"}
        return 200, vars(item)

    def _put(self, kind: str, name: str, version: int, value: Any) -> Reply:
        with self.changed:
            old = self.items.get((kind, name))
            current = old.revision if old else 0
            if version != current:
                return 409, vars(old) if old else {"revision": 0, "value": None}
            self.revision += 1
            item = Item(kind=kind, name=name, revision=self.revision, value=value)
            if value is None:
                self.items.pop((kind, name), None)
            else:
                self.items[(kind, name)] = item
            self.last_of[kind] = self.revision
            self.history.append(item)
            if kind == "host":
                self._list_hosts()
            del self.history[:-HISTORY]
            self.changed.notify_all()
        return 200, vars(item)

    def _changes(self, kinds: frozenset[str], after: int, wait: float) -> Reply:
        with self.changed:
            if wait:
                self.changed.wait_for(lambda: self._last(kinds) > after or self.down, timeout=wait)
            floor = self.history[0].revision - 1 if self.history else 0
            whole = after < floor
            rows = self.items.values() if whole else self.history[max(0, after - floor) :]
            changes = [vars(i) for i in rows if i.kind in kinds]
            return 200, {"revision": self._last(kinds), "whole": whole, "changes": changes}

    def _last(self, kinds: frozenset[str]) -> int:
        return max((self.last_of[kind] for kind in kinds), default=0)

    def _hosts(self) -> Reply:
        limit = time.monotonic() - self.host_lag_s
        with self.changed:
            while len(self.host_lists) > 1 and self.host_lists[1][0] <= limit:
                del self.host_lists[0]
            return 200, {"hosts": self.host_lists[0][1]}

    def _list_hosts(self) -> None:
        hosts = [i.value for i in self.items.values() if i.kind == "host"]
        self.host_lists.append((time.monotonic(), hosts))


def main(ip: str, port: int, host_lag_s: float = 1.0) -> None:
    """Run the platform until it is stopped."""
    Server(app=Platform(host_lag_s=host_lag_s), port=port, ip=ip).serve_forever()


if __name__ == "__main__":
    fire.Fire(main)

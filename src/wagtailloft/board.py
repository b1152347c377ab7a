"""The blackboard: typed, versioned entries that controllers read and write."""

import threading
from collections import defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

T = TypeVar("T")
Watcher = Callable[[str, Any], None]


class Blackboard:
    """Keep the latest entry of each type and name, and tell watchers of changes."""

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._entries: dict[type, dict[str, Any]] = defaultdict(dict)
        self._watchers: dict[type, list[Watcher]] = defaultdict(list)
        self.version = 0

    def read(self, kind: type[T], name: str) -> T | None:
        """Return the entry of a type and name, or None."""
        return self._entries[kind].get(name)

    def all(self, kind: type[T]) -> dict[str, T]:
        """Return a copy of all entries of a type by name."""
        with self._lock:
            return dict(self._entries[kind])

    def write(self, name: str, value: Any) -> int:
        """Write an entry; return the board's new version."""
        with self._changed:
            kind = type(value)
            self._entries[kind][name] = value
            self.version += 1
            version = self.version
            self._changed.notify_all()
            watchers = tuple(self._watchers[kind])
        for watcher in watchers:
            watcher(name, value)
        return version

    def remove(self, kind: type, name: str) -> None:
        """Remove an entry if it is there."""
        with self._changed:
            if self._entries[kind].pop(name, None) is None:
                return
            self.version += 1
            self._changed.notify_all()
            watchers = tuple(self._watchers[kind])
        for watcher in watchers:
            watcher(name, None)

    def watch(self, kind: type, watcher: Watcher) -> None:
        """Call a function with name and value at each change of a type."""
        with self._lock:
            self._watchers[kind].append(watcher)

    def wait(self, ready: Callable[[], bool], timeout: float) -> bool:
        """Wait until a condition on the board holds; return False after the timeout in seconds."""
        with self._changed:
            return self._changed.wait_for(ready, timeout=max(0.0, timeout))

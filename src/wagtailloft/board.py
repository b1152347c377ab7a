"""A blackboard of typed entries, through which the parts of a host share their state."""

import threading
from collections import defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

T = TypeVar("T")
EntryListener = Callable[[str, Any], None]


class Blackboard:
    """Store the latest entry of each type and name, and call listeners at changes.

    version counts the changes. Listeners run in the writing thread, after the change is visible.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._entries: dict[type, dict[str, Any]] = defaultdict(dict)
        self._listeners: dict[type, list[EntryListener]] = defaultdict(list)
        self.version = 0

    def read(self, entry_type: type[T], name: str) -> T | None:
        """Return the entry of a type and name, or None."""
        return self._entries[entry_type].get(name)

    def all(self, entry_type: type[T]) -> dict[str, T]:
        """Return a copy of all entries of a type by name."""
        with self._lock:
            return dict(self._entries[entry_type])

    def write(self, name: str, value: Any) -> int:
        """Write an entry under its own type; return the board's new version."""
        with self._changed:
            entry_type = type(value)
            self._entries[entry_type][name] = value
            self.version += 1
            version = self.version
            self._changed.notify_all()
            listeners = tuple(self._listeners[entry_type])
        for listener in listeners:
            listener(name, value)
        return version

    def remove(self, entry_type: type, name: str) -> None:
        """Remove an entry if it exists; its listeners get None as value."""
        with self._changed:
            if self._entries[entry_type].pop(name, None) is None:
                return
            self.version += 1
            self._changed.notify_all()
            listeners = tuple(self._listeners[entry_type])
        for listener in listeners:
            listener(name, None)

    def watch(self, entry_type: type, listener: EntryListener) -> None:
        """Call a function with the name and the value at each change of an entry of a type."""
        with self._lock:
            self._listeners[entry_type].append(listener)

    def wait(self, ready: Callable[[], bool], timeout: float) -> bool:
        """Wait until a condition on the board is met; return False after a timeout in seconds."""
        with self._changed:
            return self._changed.wait_for(ready, timeout=max(0.0, timeout))

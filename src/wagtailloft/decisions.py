"""A bounded record of what was decided and why."""

import threading
import time
from collections import deque

from wagtailloft.models import Record

LIMIT = 5_000


class Decision(Record):
    """Hold one decision about a request, group, team or host."""

    time: float
    host: str
    subject: str
    what: str
    why: str


class Decisions:
    """Remember the latest decisions of this host."""

    def __init__(self, *, host: str, limit: int = LIMIT) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._items: deque[Decision] = deque(maxlen=limit)

    def add(self, subject: str, what: str, why: str = "") -> None:
        """Remember one decision about a subject."""
        item = Decision(time=time.time(), host=self._host, subject=subject, what=what, why=why)
        with self._lock:
            self._items.append(item)

    def about(self, subject: str) -> list[Decision]:
        """Return what is remembered of a subject, oldest first."""
        with self._lock:
            return [i for i in self._items if i.subject == subject]

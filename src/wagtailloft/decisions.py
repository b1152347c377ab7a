"""Record this host's latest decisions and the reasons for them."""

import threading
import time
from collections import deque

from wagtailloft.models import Record

MAX_DECISIONS = 5_000


class Decision(Record):
    """A decision about a request, group, team, host or lease.

    `time` is in seconds since the epoch; `what` is the decision and `why` its reason.
    """

    time: float
    host: str
    subject: str
    what: str
    why: str


class Decisions:
    """Keep the latest decisions of this host; the oldest ones are dropped beyond `limit`."""

    def __init__(self, *, host: str, limit: int = MAX_DECISIONS) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._decisions: deque[Decision] = deque(maxlen=limit)

    def add(self, subject: str, what: str, why: str = "") -> None:
        """Record a decision about a subject."""
        decision = Decision(time=time.time(), host=self._host, subject=subject, what=what, why=why)
        with self._lock:
            self._decisions.append(decision)

    def for_subject(self, subject: str) -> list[Decision]:
        """Return the recorded decisions about a subject, oldest first."""
        with self._lock:
            return [d for d in self._decisions if d.subject == subject]

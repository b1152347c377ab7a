"""Keep a copy of the platform's objects that only moves forward, and judge how fresh it is."""

import threading
from collections import defaultdict, deque
from collections.abc import Callable
from enum import Enum

from wagtailloft.models import Change, Record

HISTORY = 20_000
MAX_AGE_S = 2.5
NEVER_CONFIRMED_S = 1e9

Watcher = Callable[[Change], None]


class Delta(Record):
    """Hold the changes that lead to a revision; whole ones replace all that is known."""

    revision: int
    changes: tuple[Change, ...]
    whole: bool = False


class ObjectCache:
    """Hold the objects of the platform as of one revision."""

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._items: dict[str, dict[str, Change]] = defaultdict(dict)
        self._history: deque[Change] = deque(maxlen=HISTORY)
        self._floor = 0
        self._watchers: dict[str, list[Watcher]] = defaultdict(list)
        self.revision = 0

    def get(self, kind: str, name: str) -> Change | None:
        """Return one object."""
        return self._items[kind].get(name)

    def all(self, kind: str) -> tuple[Change, ...]:
        """Return all objects of a kind."""
        with self._lock:
            return tuple(self._items[kind].values())

    def watch(self, kind: str, watcher: Watcher) -> None:
        """Call a function at each change of a kind."""
        self._watchers[kind].append(watcher)

    def apply(self, delta: Delta) -> bool:
        """Move forward to a newer revision; return False if it is not newer."""
        with self._lock:
            if delta.revision <= self.revision:
                return False
            fresh = [c for c in delta.changes if c.revision > self.revision]
            gone = self._missing(delta) if delta.whole else []
            for change in gone + fresh:
                self._put(change)
            if delta.whole:
                self._floor = delta.revision
                self._history.clear()
            else:
                self._remember(fresh)
            self.revision = delta.revision
        for change in gone + fresh:
            for watcher in self._watchers[change.kind]:
                watcher(change)
        return True

    def changes_since(self, revision: int) -> Delta:
        """Return what leads from a revision to the present one."""
        with self._lock:
            if revision >= self._floor:
                changes = tuple(c for c in self._history if c.revision > revision)
                return Delta(revision=self.revision, changes=changes)
            items = tuple(c for kind in self._items.values() for c in kind.values())
            return Delta(revision=self.revision, changes=items, whole=True)

    def _put(self, change: Change) -> None:
        if change.removed:
            self._items[change.kind].pop(change.name, None)
        else:
            self._items[change.kind][change.name] = change

    def _remember(self, changes: list[Change]) -> None:
        for change in changes:
            if len(self._history) == HISTORY:
                self._floor = self._history[0].revision
            self._history.append(change)

    def _missing(self, delta: Delta) -> list[Change]:
        named = {(c.kind, c.name) for c in delta.changes}
        return [
            Change(kind=kind, name=name, revision=delta.revision)
            for kind, items in self._items.items()
            for name in items
            if (kind, name) not in named
        ]


class SettingsState(Enum):
    """Say how far this host can trust its copy of the settings."""

    FRESH = "fresh"
    OUTAGE = "outage"
    STALE = "stale"


class PeerReport(Record):
    """Hold what a peer told of its copy, when we asked, and when the answer came."""

    requested_at: float
    answered_at: float
    revision: int
    platform_age: float
    fresh: bool


class _Calm(Record):
    since: float
    confirmed: float


class FreshnessTracker:
    """Judge from platform and peers whether a withdrawal could have been missed."""

    def __init__(self, *, limit: float = MAX_AGE_S) -> None:
        self._limit = limit
        self._confirmed = float("-inf")
        self._heard: dict[str, PeerReport] = {}
        self._revisions: dict[str, int] = {}
        self._calm: dict[str, _Calm] = {}

    def record_confirmation(self, asked: float) -> None:
        """Note that the platform confirmed our revision, in answer to a call sent then."""
        self._confirmed = max(self._confirmed, asked)

    def record_peer_report(self, name: str, news: PeerReport, revision: int) -> None:
        """Note a peer's answer; only one that we have caught up with counts as heard."""
        self.record_revision(name, news.revision)
        self._note_calm(name, news)
        if revision < news.revision or news.platform_age >= NEVER_CONFIRMED_S:
            return
        known = self._heard.get(name)
        if known is None or known.requested_at <= news.requested_at:
            self._heard[name] = news
        self._confirmed = max(self._confirmed, news.requested_at - news.platform_age)

    def record_revision(self, name: str, revision: int) -> None:
        """Note which revision a peer has."""
        self._revisions[name] = max(revision, self._revisions.get(name, 0))

    def age(self, now: float) -> float:
        """Return how many seconds ago our copy was surely current."""
        return min(NEVER_CONFIRMED_S, now - self._confirmed)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the copy was surely current within the limit."""
        return self.age(now) <= self._limit

    def recent_peers(self, now: float) -> tuple[str, ...]:
        """Return the hosts that answered within the limit."""
        return tuple(n for n, h in self._heard.items() if now - h.requested_at <= self._limit)

    def hears_majority(self, hosts: frozenset[str], now: float) -> bool:
        """Tell whether this host hears a majority of the listed hosts, itself included."""
        heard = [n for n in self.recent_peers(now) if n in hosts]
        return len(heard) + 1 > len(hosts) / 2

    def known_by_majority(self, hosts: frozenset[str], revision: int) -> bool:
        """Tell whether a majority of the listed hosts, itself included, has a revision."""
        knowing = [n for n in hosts if self._revisions.get(n, 0) >= revision]
        return len(knowing) + 1 > len(hosts) / 2

    def majority_fresh_since(self, hosts: frozenset[str], since: float, now: float) -> bool:
        """Tell whether a majority of others has been fresh without a break since a time."""
        calm = [n for n in hosts if self._is_calm(n, since, now)]
        return len(calm) > len(hosts) / 2

    def state(self, hosts: frozenset[str], now: float) -> SettingsState:
        """Return how far the copy can be trusted now."""
        if self.is_fresh(now):
            return SettingsState.FRESH
        others_fresh = any(self._heard[n].fresh for n in self.recent_peers(now))
        if others_fresh or not self.hears_majority(hosts, now):
            return SettingsState.STALE
        return SettingsState.OUTAGE

    def _note_calm(self, name: str, news: PeerReport) -> None:
        confirmed = news.requested_at - news.platform_age
        known = self._calm.get(name)
        unbroken = known is not None and news.answered_at - known.confirmed <= self._limit
        if not news.fresh:
            self._calm.pop(name, None)
            return
        since = known.since if unbroken else news.answered_at
        self._calm[name] = _Calm(since=since, confirmed=confirmed)

    def _is_calm(self, name: str, since: float, now: float) -> bool:
        known = self._calm.get(name)
        if known is None or now - known.confirmed > self._limit:
            return False
        return known.since <= since

"""Cache the platform's objects at a revision that never decreases, and track its freshness."""

import threading
from collections import defaultdict, deque
from collections.abc import Callable
from enum import Enum

from wagtailloft.models import Change, Record

HISTORY_LENGTH = 20_000  # changes
SETTINGS_MAX_AGE_S = 2.5
NEVER_CONFIRMED_AGE_S = 1e9  # the age when the platform has never confirmed a revision

ChangeListener = Callable[[Change], None]


class Delta(Record):
    """Describe the changes that lead to a revision.

    If `whole` is set, `changes` lists every object that exists at the revision, and a receiver
    removes all others. Otherwise they follow the revision that the receiver asked from.
    """

    revision: int
    changes: tuple[Change, ...]
    whole: bool = False


class ObjectCache:
    """Cache the platform's objects as of one revision, with a history of recent changes."""

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._items: dict[str, dict[str, Change]] = defaultdict(dict)
        self._history: deque[Change] = deque(maxlen=HISTORY_LENGTH)
        self._oldest_revision = 0  # the history holds every change after it
        self._listeners: dict[str, list[ChangeListener]] = defaultdict(list)
        self.revision = 0

    def get(self, kind: str, name: str) -> Change | None:
        """Return an object, or None if it doesn't exist."""
        return self._items[kind].get(name)

    def all(self, kind: str) -> tuple[Change, ...]:
        """Return all objects of a kind."""
        with self._lock:
            return tuple(self._items[kind].values())

    def watch(self, kind: str, listener: ChangeListener) -> None:
        """Call a function after each change to an object of a kind."""
        self._listeners[kind].append(listener)

    def apply(self, delta: Delta) -> bool:
        """Apply the changes up to a revision; return False if the revision is not newer."""
        with self._lock:
            if delta.revision <= self.revision:
                return False
            newer = [c for c in delta.changes if c.revision > self.revision]
            removals = self._implied_removals(delta) if delta.whole else []
            for change in removals + newer:
                self._put(change)
            if delta.whole:
                self._oldest_revision = delta.revision
                self._history.clear()
            else:
                self._add_to_history(newer)
            self.revision = delta.revision
        for change in removals + newer:
            for listener in self._listeners[change.kind]:
                listener(change)
        return True

    def changes_since(self, revision: int) -> Delta:
        """Return the changes after a revision, or all objects if the history is too short."""
        with self._lock:
            if revision >= self._oldest_revision:
                changes = tuple(c for c in self._history if c.revision > revision)
                return Delta(revision=self.revision, changes=changes)
            items = tuple(c for kind in self._items.values() for c in kind.values())
            return Delta(revision=self.revision, changes=items, whole=True)

    def _put(self, change: Change) -> None:
        if change.removed:
            self._items[change.kind].pop(change.name, None)
        else:
            self._items[change.kind][change.name] = change

    def _add_to_history(self, changes: list[Change]) -> None:
        for change in changes:
            if len(self._history) == HISTORY_LENGTH:
                self._oldest_revision = self._history[0].revision
            self._history.append(change)

    def _implied_removals(self, delta: Delta) -> list[Change]:
        listed = {(c.kind, c.name) for c in delta.changes}
        return [
            Change(kind=kind, name=name, revision=delta.revision)
            for kind, items in self._items.items()
            for name in items
            if (kind, name) not in listed
        ]


class SettingsState(Enum):
    """Name how far this host can trust its cached settings.

    FRESH: the platform confirmed them within the maximum age. OUTAGE: this host hears a majority of
    the hosts and no recent peer is fresh, so the platform seems to be unreachable for all of them.
    STALE: neither; another host may have newer settings.
    """

    FRESH = "fresh"
    OUTAGE = "outage"
    STALE = "stale"


class PeerReport(Record):
    """Describe the freshness that a peer reported.

    `requested_at` and `answered_at` are monotonic times of this host, in seconds.
    """

    requested_at: float
    answered_at: float
    revision: int
    platform_age: float
    fresh: bool


class _FreshPeriod(Record):
    started_at: float
    confirmed_at: float


class FreshnessTracker:
    """Track when this host's settings were last known to be current.

    The platform confirms them directly, and the reports of peers confirm them indirectly. Once the
    last confirmation is older than max_age, this host may have missed a change such as the
    withdrawal of a key.
    """

    def __init__(self, *, max_age: float = SETTINGS_MAX_AGE_S) -> None:
        self._max_age = max_age
        self._confirmed_at = float("-inf")
        self._reports: dict[str, PeerReport] = {}
        self._revisions: dict[str, int] = {}
        self._fresh_periods: dict[str, _FreshPeriod] = {}

    def record_confirmation(self, requested_at: float) -> None:
        """Record that the platform confirmed this host's revision in answer to a call sent then."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def record_peer_report(self, name: str, report: PeerReport, revision: int) -> None:
        """Record a peer's answer; `revision` is this host's own.

        The peer counts as a recent peer, and its confirmation by the platform as this host's, only
        if this host has reached the peer's revision and the platform ever confirmed the peer.
        """
        self.record_revision(name, report.revision)
        self._update_fresh_period(name, report)
        if revision < report.revision or report.platform_age >= NEVER_CONFIRMED_AGE_S:
            return
        known = self._reports.get(name)
        if known is None or known.requested_at <= report.requested_at:
            self._reports[name] = report
        self._confirmed_at = max(self._confirmed_at, report.requested_at - report.platform_age)

    def record_revision(self, name: str, revision: int) -> None:
        """Record the revision that a peer has."""
        self._revisions[name] = max(revision, self._revisions.get(name, 0))

    def age(self, now: float) -> float:
        """Return the seconds since the settings were last known to be current."""
        return min(NEVER_CONFIRMED_AGE_S, now - self._confirmed_at)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the settings were known to be current within the maximum age."""
        return self.age(now) <= self._max_age

    def recent_peers(self, now: float) -> tuple[str, ...]:
        """Return the peers with a counted answer to a call sent within the maximum age."""
        return tuple(n for n, r in self._reports.items() if now - r.requested_at <= self._max_age)

    def hears_majority(self, hosts: frozenset[str], now: float) -> bool:
        """Tell whether this host and its recent peers are a majority of the given hosts."""
        recent = [n for n in self.recent_peers(now) if n in hosts]
        return len(recent) + 1 > len(hosts) / 2

    def known_by_majority(self, hosts: frozenset[str], revision: int) -> bool:
        """Tell whether a majority of the given hosts, this one included, has a revision."""
        up_to_date = [n for n in hosts if self._revisions.get(n, 0) >= revision]
        return len(up_to_date) + 1 > len(hosts) / 2

    def majority_fresh_since(self, hosts: frozenset[str], since: float, now: float) -> bool:
        """Tell whether enough peers for a majority were fresh without a break since a time."""
        fresh = [n for n in hosts if self._is_fresh_since(n, since, now)]
        return len(fresh) > len(hosts) / 2

    def state(self, hosts: frozenset[str], now: float) -> SettingsState:
        """Return how far the settings can be trusted now."""
        if self.is_fresh(now):
            return SettingsState.FRESH
        others_fresh = any(self._reports[n].fresh for n in self.recent_peers(now))
        if others_fresh or not self.hears_majority(hosts, now):
            return SettingsState.STALE
        return SettingsState.OUTAGE

    def _update_fresh_period(self, name: str, report: PeerReport) -> None:
        confirmed_at = report.requested_at - report.platform_age
        period = self._fresh_periods.get(name)
        unbroken = period is not None and report.answered_at - period.confirmed_at <= self._max_age
        if not report.fresh:
            self._fresh_periods.pop(name, None)
            return
        started_at = period.started_at if unbroken else report.answered_at
        self._fresh_periods[name] = _FreshPeriod(started_at=started_at, confirmed_at=confirmed_at)

    def _is_fresh_since(self, name: str, since: float, now: float) -> bool:
        period = self._fresh_periods.get(name)
        if period is None or now - period.confirmed_at > self._max_age:
            return False
        return period.started_at <= since

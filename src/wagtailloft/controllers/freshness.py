"""Track when a host's settings were last known to be current."""

from enum import Enum

from wagtailloft.models import Record

SETTINGS_MAX_AGE_S = 2.5
# A host reports its settings as fresh for less long than it uses them. Otherwise, when an outage
# begins, its peers would refuse requests by its last report until the next one.
REPORTED_FRESH_AGE_S = SETTINGS_MAX_AGE_S - 0.5
NEVER_CONFIRMED_AGE_S = 1e9  # the age when the platform has never confirmed a revision


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

    def record_peer_report(
        self, name: str, report: PeerReport, revision: int, complete: bool = True
    ) -> None:
        """Record a peer's answer; `revision` and `complete` are of this host's own cache.

        The peer counts as a recent peer, and its confirmation by the platform as this host's, only
        if this host has reached the peer's revision and the platform ever confirmed the peer. While
        this host's cache is not complete, it may lack what confirmed the peer.
        """
        self.record_revision(name, report.revision)
        self._update_fresh_period(name, report)
        if revision < report.revision or report.platform_age >= NEVER_CONFIRMED_AGE_S:
            return
        if complete:
            self._confirmed_at = max(self._confirmed_at, report.requested_at - report.platform_age)
        known = self._reports.get(name)
        if known is None or known.requested_at <= report.requested_at:
            self._reports[name] = report

    def record_revision(self, name: str, revision: int) -> None:
        """Record the revision that a peer has."""
        self._revisions[name] = max(revision, self._revisions.get(name, 0))

    def age(self, now: float) -> float:
        """Return the seconds since the settings were last known to be current."""
        return min(NEVER_CONFIRMED_AGE_S, now - self._confirmed_at)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the settings were known to be current within the maximum age."""
        return self.age(now) <= self._max_age

    def is_reported_fresh(self, now: float) -> bool:
        """Tell whether this host reports its settings to its peers as fresh."""
        return self.age(now) <= REPORTED_FRESH_AGE_S

    def recent_peers(self, now: float) -> tuple[str, ...]:
        """Return the peers with a counted answer to a call sent within the maximum age."""
        return tuple(n for n, r in self._reports.items() if now - r.requested_at <= self._max_age)

    def doubtful_peers(self, now: float) -> tuple[str, ...]:
        """Return the recent peers that reported fresh settings before this host's grew old.

        Unless they report again, this host refuses requests once its settings are not fresh.
        """
        if self.is_reported_fresh(now):
            return ()
        return tuple(n for n in self.recent_peers(now) if self._reports[n].fresh)

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
        # Another thread may just have recorded a report that confirms this host's settings too.
        if self.is_fresh(now):
            return SettingsState.FRESH
        if others_fresh or not self.hears_majority(hosts, now):
            return SettingsState.STALE
        return SettingsState.OUTAGE

    def _update_fresh_period(self, name: str, report: PeerReport) -> None:
        confirmed_at = report.requested_at - report.platform_age
        period = self._fresh_periods.get(name)
        unbroken = (
            period is not None and report.answered_at - period.confirmed_at <= REPORTED_FRESH_AGE_S
        )
        if not report.fresh:
            self._fresh_periods.pop(name, None)
            return
        started_at = period.started_at if unbroken else report.answered_at
        self._fresh_periods[name] = _FreshPeriod(started_at=started_at, confirmed_at=confirmed_at)

    def _is_fresh_since(self, name: str, since: float, now: float) -> bool:
        period = self._fresh_periods.get(name)
        if period is None or now - period.confirmed_at > REPORTED_FRESH_AGE_S:
            return False
        return period.started_at <= since

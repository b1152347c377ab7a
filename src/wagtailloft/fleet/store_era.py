"""The store's era as this host knows it, and whether the records lost in a restore are back."""

from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.records import EraRecord
from wagtailloft.revisions import NO_ERA, era_of

ERA_OBJECT = "era"
# After a restore, members and operators write their records again within about two seconds.
REWRITE_S = 2.0
# After this time, a promotion lease has ended, and orders sent within it have arrived.
LEASE_EXPIRY_S = 2.2


class StoreEra:
    """Track the newest era of the store that this host has heard of, and since when.

    Unless it starts the fleet, a process that starts can't tell by itself whether an era is new.
    The store's record of the era tells it: it is written once, after beliefs_end. That is when
    whatever a process believed from an earlier era has expired, in seconds: assignments after
    assignment_expiry, and its lease.
    """

    def __init__(
        self,
        *,
        assignment_expiry: float,
        starts_fleet: bool = False,
        on_new_era: Callable[[], None] = lambda: None,
    ) -> None:
        self.era = NO_ERA
        self._starts_fleet = starts_fleet
        self._is_first = False
        self.beliefs_end = max(assignment_expiry, LEASE_EXPIRY_S)
        self._on_new_era = on_new_era
        self._first_seen_at = 0.0
        self._record_revision: int | None = None
        self._settings_rewritten = False

    def observe(self, era: int) -> None:
        """Record an era that the store or another host named."""
        if era <= self.era:
            return
        logs.warn("store_era_changed", store_era=era, before=self.era)
        if self.era != NO_ERA:
            self._starts_fleet = self._is_first = False
            self._on_new_era()
        self.era = era
        self._first_seen_at = now()
        self._record_revision = None
        self._settings_rewritten = False

    def observe_record(self, record: EraRecord, revision: int) -> None:
        """Use the store's record of an era, which tells that the era is not new.

        One of an earlier era tells that the fleet ran before.
        """
        if record.era < self.era:
            self._starts_fleet = False
        if record.era == self.era == era_of(revision) and self._record_revision is None:
            self._record_revision = revision
            logs.event("store_era_settled", store_era=self.era)

    def observe_fleet_read(self) -> None:
        """Use that the fleet's records were read: a record of an earlier era is known by now."""
        self._is_first = self._starts_fleet

    def observe_settings_rewritten(self) -> None:
        """Record that the operator has written the settings again in this era."""
        self._settings_rewritten = True

    @property
    def is_recorded(self) -> bool:
        """Tell whether the store's record of this era is known."""
        return self.era == NO_ERA or self._record_revision is not None

    def age(self) -> float:
        """Return for how many seconds the era has lasted at least.

        It is infinite if the era is recorded, or if none was before it.
        """
        is_old = self.is_recorded or self._is_first
        return float("inf") if is_old else now() - self._first_seen_at

    def records_are_back(self) -> bool:
        """Tell whether what the restore lost has been written again, by those still there."""
        return self.age() >= REWRITE_S

    def earlier_beliefs_expired(self) -> bool:
        """Tell whether no process acts any more on what it knew from an earlier era."""
        return self.age() >= self.beliefs_end

    def settings_complete_at(self, revision: int, at: float) -> bool:
        """Tell whether a revision that was current at a time has all settings ever accepted."""
        if self._settings_rewritten or self._covers_record(revision):
            return True
        return at >= self._first_seen_at + REWRITE_S

    def assignments_complete_at(self, revision: int, at: float) -> bool:
        """Tell whether a revision that was current at a time has all assignments ever stored."""
        return self._covers_record(revision) or at >= self._first_seen_at + self.beliefs_end

    def _covers_record(self, revision: int) -> bool:
        if self.era == NO_ERA or self._is_first:
            return True
        return self._record_revision is not None and revision >= self._record_revision

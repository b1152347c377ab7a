"""Write again what the store lost when it came back from an older copy, and record its new era."""

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import EraRecord, PrimaryAssignment, Topic
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.fleet.store_era import ERA_OBJECT
from wagtailloft.revisions import NO_ERA, era_of

ASSIGNMENT_PREFIX = "lead-"
# The host that stored an assignment usually completes it itself within this time.
REPAIR_AFTER_S = 1.0


class RecordRepair:
    """Run on the failover coordinator, so that each record is written by one host."""

    def __init__(self, *, cache: StoreCache) -> None:
        self._cache = cache
        self._outdated_since: dict[str, float] = {}

    async def run_once(self) -> None:
        """Write one outdated assignment, or the record of the era if it has lasted enough.

        A process that reads the record relies on the assignments stored before it.
        """
        outdated = [a for a in self._cache.assignments() if self._is_outdated(a)]
        try:
            if outdated:
                await self._write_first(outdated)
            else:
                self._outdated_since.clear()
                await self._write_era()
        except StoreDown as exc:
            logs.event("repair_failed", why=str(exc))

    def stop(self) -> None:
        """Forget since when records are outdated; another host repairs them."""
        self._outdated_since.clear()

    async def _write_first(self, outdated: list[PrimaryAssignment]) -> None:
        """Write the first of the assignments that have been outdated for long enough."""
        since = {a.group: self._outdated_since.get(a.group, now()) for a in outdated}
        self._outdated_since = since
        for assignment in outdated:
            if now() - since[assignment.group] > REPAIR_AFTER_S:
                logs.warn("assignment_rewritten", group=assignment.group, epoch=assignment.epoch)
                name = ASSIGNMENT_PREFIX + assignment.group
                await self._cache.write(Topic.FLEET, name, assignment)
                return

    def _is_outdated(self, assignment: PrimaryAssignment) -> bool:
        """Tell whether the store has no assignment of a group, or an older one."""
        if not assignment.settled:
            return False
        entry = self._cache.get(Topic.FLEET, ASSIGNMENT_PREFIX + assignment.group)
        stored = entry.value if entry else None
        return not isinstance(stored, PrimaryAssignment) or stored.sort_key < assignment.sort_key

    async def _write_era(self) -> None:
        era = self._cache.era
        if era.era == NO_ERA or self._is_era_stored() or not era.earlier_beliefs_expired():
            return
        await self._cache.write(Topic.FLEET, ERA_OBJECT, EraRecord(era=era.era))

    def _is_era_stored(self) -> bool:
        """Tell whether the store has the record of its era; a late write may replace it."""
        entry = self._cache.get(Topic.FLEET, ERA_OBJECT)
        record = EraRecord(era=self._cache.era.era)
        return entry is not None and entry.value == record and era_of(entry.revision) == record.era

"""The exclusive right to order promotions.

One process holds the lease at a time. The fencing token is the revision at which the lease was
taken: the store gives each revision once, so no two holders have the same token, whatever records
it lost when it came back from an older copy.

An earlier era's holder may act although the store has forgotten it. Nobody takes the lease in a new
era before every lease of earlier eras has expired, and a record that was written for another era
names no holder of this one.
"""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.records import (
    PROMOTION_LEASE_OBJECT,
    Entry,
    PromotionLeaseRecord,
    Topic,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.fleet.store_era import LEASE_EXPIRY_S
from wagtailloft.models import Host
from wagtailloft.revisions import era_of

LEASE_S = 1.5  # covers the conditional write and the promotion order, even at a slow store
# For this long after a process has ended, its requests may still arrive, also when retransmitted.
ENDED_HOLDER_WAIT_S = 0.6
ASK_INTERVAL_S = 0.1  # between two questions which process runs on a holder's host
TAKEOVER_WAIT_S = LEASE_EXPIRY_S
MIN_WAIT_S = 0.01  # between two looks at a condition that is nearly met


class PromotionLease:
    """Acquire the promotion lease on demand, and track until when it is held."""

    def __init__(
        self,
        *,
        own: Host,
        cache: StoreCache,
        has_ended: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.host_name = own.name
        self._process_name = own.process_name
        self._cache = cache
        self._has_ended = has_ended
        self._valid_until = 0.0
        self._taken_at_revision = -1
        self._observed: tuple[int, float] = (-1, 0.0)
        self.fencing_token = 0

    def is_held(self) -> bool:
        """Tell whether a promotion may be ordered at this moment."""
        return now() < self._valid_until

    async def acquire(self) -> bool:
        """Acquire or renew the lease; return whether it is held. Raise StoreDown."""
        await self._wait_for_earlier_eras()
        entry = await self._wait_for_other_holder()
        renews = entry is not None and entry.revision == self._taken_at_revision
        new_record = PromotionLeaseRecord(
            holder=self._process_name,
            era=era_of(self._cache.revision(Topic.FLEET)),
            taken=entry.value.taken + 1 if entry else 1,
        )
        sent_at = now()
        written = await self._cache.write(Topic.FLEET, PROMOTION_LEASE_OBJECT, new_record)
        if written is None:
            logs.event("promotion_lease_lost", holder=self._process_name)
            return False
        self._valid_until = sent_at + LEASE_S
        self._taken_at_revision = written.revision
        if not renews:
            self.fencing_token = written.revision
        logs.event(
            "promotion_lease_taken",
            holder=self._process_name,
            fence=self.fencing_token,
        )
        return True

    async def _wait_for_earlier_eras(self) -> None:
        """Wait until no process can act on a lease of an earlier era of the store."""
        era = self._cache.era
        while not era.earlier_beliefs_expired():
            remaining = era.beliefs_end - era.age()
            logs.event("promotion_lease_wait", store_era=era.era, seconds=round(remaining, 3))
            await asyncio.sleep(max(remaining, MIN_WAIT_S))

    async def _wait_for_other_holder(self) -> Entry | None:
        """Return the lease's entry once no other process can act on it.

        A renewal, or another holder, that arrives during a wait is waited for as well.
        """
        entry = self._lease_entry()
        while entry is not None and not self._is_own(entry):
            await self._wait_for_expiry(entry)
            latest = self._lease_entry()
            if latest is not None and latest.revision == entry.revision:
                return latest
            entry = latest
        return entry

    async def _wait_for_expiry(self, entry: Entry) -> None:
        """Wait until the holder of this revision of the lease can order no promotion with it."""
        revision, seen_at = self._observed
        if revision != entry.revision:
            seen_at = now()
            self._observed = (entry.revision, seen_at)
        until = seen_at + TAKEOVER_WAIT_S
        if until <= now():
            return
        holder = entry.value.holder
        logs.event("promotion_lease_wait", holder=holder, seconds=round(until - now(), 3))
        if entry.value.era == era_of(entry.revision) and await self._ends_before(holder, until):
            until = min(until, now() + ENDED_HOLDER_WAIT_S)
            logs.event("promotion_lease_holder_ended", holder=holder)
        await asyncio.sleep(max(0.0, until - now()))

    async def _ends_before(self, process_name: str, until: float) -> bool:
        """Wait until a process is known to have ended; return False if it is not by a time."""
        try:
            async with asyncio.timeout(until - now()):
                while not await self._has_ended(process_name):
                    await asyncio.sleep(ASK_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    def observe(self, entry: Entry) -> None:
        """Record when the current revision of the lease was first seen."""
        if entry.name == PROMOTION_LEASE_OBJECT and self._observed[0] != entry.revision:
            self._observed = (entry.revision, now())

    def _is_own(self, entry: Entry) -> bool:
        """Tell whether this process holds the lease by a record written for the entry's era."""
        record = entry.value
        return record.holder == self._process_name and record.era == era_of(entry.revision)

    def _lease_entry(self) -> Entry | None:
        entry = self._cache.get(Topic.FLEET, PROMOTION_LEASE_OBJECT)
        return entry if entry and isinstance(entry.value, PromotionLeaseRecord) else None

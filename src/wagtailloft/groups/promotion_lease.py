"""The exclusive right to order promotions.

One process holds the lease at a time; each new holder gets a higher fencing token.
"""

import asyncio
from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.records import Entry, PromotionLeaseRecord, Topic
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.models import Host

LEASE_OBJECT = "duty"
LEASE_S = 1.5  # covers the conditional write and the promotion order, even at a slow store
# For this long, requests of an ended process may still arrive, also when retransmitted.
ENDED_HOLDER_WAIT_S = 0.6
TAKEOVER_WAIT_S = 2.2  # LEASE_S, plus the transit time of an order that was sent within it


class PromotionLease:
    """Acquire the promotion lease on demand, and track until when it is held."""

    def __init__(
        self,
        *,
        own: Host,
        cache: StoreCache,
        has_ended: Callable[[str, int], bool],
    ) -> None:
        self.host_name = own.name
        self._process_name = own.process_name
        self._cache = cache
        self._has_ended = has_ended
        self._valid_until = 0.0
        self._observed: tuple[int, float] = (-1, 0.0)
        self.fencing_token = 0

    def is_held(self) -> bool:
        """Tell whether a promotion may be ordered at this moment."""
        return now() < self._valid_until

    async def acquire(self) -> bool:
        """Acquire or renew the lease; return whether it is held. Raise StoreDown."""
        entry = self._lease_entry()
        record = entry.value if entry else None
        if isinstance(record, PromotionLeaseRecord) and record.holder != self._process_name:
            await self._wait_for_expiry(entry)
            entry = self._lease_entry()
            record = entry.value if entry else None
        fencing_token = record.fence if isinstance(record, PromotionLeaseRecord) else 0
        times_taken = record.taken if isinstance(record, PromotionLeaseRecord) else 0
        renews = isinstance(record, PromotionLeaseRecord) and record.holder == self._process_name
        new_record = PromotionLeaseRecord(
            holder=self._process_name,
            fence=fencing_token if renews else fencing_token + 1,
            taken=times_taken + 1,
        )
        sent_at = now()
        written = await self._cache.write(Topic.FLEET, LEASE_OBJECT, new_record)
        if written is None:
            logs.event("promotion_lease_lost", holder=self._process_name)
            return False
        self._valid_until = sent_at + LEASE_S
        self.fencing_token = new_record.fence
        logs.event(
            "promotion_lease_taken",
            holder=self._process_name,
            fence=self.fencing_token,
            revision=written.revision,
        )
        return True

    async def _wait_for_expiry(self, entry: Entry) -> None:
        """Wait until the previous holder can order no promotion, unless it renews the lease."""
        revision, seen_at = self._observed
        if revision != entry.revision:
            seen_at = now()
            self._observed = (entry.revision, seen_at)
        host, _, incarnation = entry.value.holder.rpartition("/")
        ended = incarnation.isdigit() and self._has_ended(host, int(incarnation))
        remaining = seen_at + (ENDED_HOLDER_WAIT_S if ended else TAKEOVER_WAIT_S) - now()
        if remaining > 0:
            logs.event(
                "promotion_lease_wait", holder=entry.value.holder, seconds=round(remaining, 3)
            )
            await asyncio.sleep(remaining)

    def observe(self, entry: Entry) -> None:
        """Record when the current revision of the lease was first seen."""
        if entry.name == LEASE_OBJECT and self._observed[0] != entry.revision:
            self._observed = (entry.revision, now())

    def _lease_entry(self) -> Entry | None:
        return self._cache.get(Topic.FLEET, LEASE_OBJECT)

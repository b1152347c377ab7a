"""The right to order promotions: one holder at a time, with a fence that grows."""

import asyncio
from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.records import Entry, PromotionLeaseRecord, Topic
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.models import Host

NAME = "duty"
HOLD_S = 1.5  # a promotion order with its conditional write, also at a slow store
ENDED_S = 0.6  # in which what a process sent before its end still arrives, also when sent again
HAND_OVER_S = 2.2  # HOLD_S, and the time in which an order that was sent in it still arrives


class PromotionLease:
    """Take the duty when it is needed, and know for how long it is held."""

    def __init__(
        self,
        *,
        own: Host,
        cache: StoreCache,
        has_ended: Callable[[str, int], bool],
    ) -> None:
        self.holder = own.name
        self._name = own.process
        self._cache = cache
        self._has_ended = has_ended
        self._until = 0.0
        self._known: tuple[int, float] = (-1, 0.0)
        self.fencing_token = 0

    def is_held(self) -> bool:
        """Tell whether an order may be sent at this moment."""
        return now() < self._until

    async def take(self) -> bool:
        """Take or renew the duty; return whether it is held. Raise StoreDown."""
        entry = self._entry()
        record = entry.value if entry else None
        if isinstance(record, PromotionLeaseRecord) and record.holder != self._name:
            await self._wait_out(entry)
            entry = self._entry()
            record = entry.value if entry else None
        fencing_token = record.fence if isinstance(record, PromotionLeaseRecord) else 0
        taken = record.taken if isinstance(record, PromotionLeaseRecord) else 0
        mine = isinstance(record, PromotionLeaseRecord) and record.holder == self._name
        wanted = PromotionLeaseRecord(
            holder=self._name, fence=fencing_token if mine else fencing_token + 1, taken=taken + 1
        )
        sent = now()
        written = await self._cache.write(Topic.FLEET, NAME, wanted)
        if written is None:
            logs.event("promotion_lease_lost", holder=self._name)
            return False
        self._until = sent + HOLD_S
        self.fencing_token = wanted.fence
        logs.event(
            "promotion_lease_taken",
            holder=self._name,
            fence=self.fencing_token,
            revision=written.revision,
        )
        return True

    async def _wait_out(self, entry: Entry) -> None:
        """Wait until an earlier holder can't order any more, unless its object changes."""
        revision, seen = self._known
        if revision != entry.revision:
            seen = now()
            self._known = (entry.revision, seen)
        name, _, process = entry.value.holder.rpartition("/")
        ended = process.isdigit() and self._has_ended(name, int(process))
        left = seen + (ENDED_S if ended else HAND_OVER_S) - now()
        if left > 0:
            logs.event("promotion_lease_wait", holder=entry.value.holder, seconds=round(left, 3))
            await asyncio.sleep(left)

    def note(self, entry: Entry) -> None:
        """Note when the duty's object was first seen at its revision."""
        if entry.name == NAME and self._known[0] != entry.revision:
            self._known = (entry.revision, now())

    def _entry(self) -> Entry | None:
        return self._cache.get(Topic.FLEET, NAME)

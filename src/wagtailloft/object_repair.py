"""Write again what the platform's store lost when it came back from an older copy."""

import time
from collections.abc import Sequence

from result import Err

from wagtailloft import logs
from wagtailloft.adapters.object_api import ObjectApi
from wagtailloft.controllers.object_cache import Forgotten, ObjectCache
from wagtailloft.eras import ERA_KIND, SETTLED, with_origin
from wagtailloft.gossip import Gossip
from wagtailloft.models import EraMark
from wagtailloft.platform_watcher import PlatformWatcher
from wagtailloft.revisions import era_of, make_revision
from wagtailloft.timers import Clock

REPAIR_INTERVAL_S = 0.25
# Each object is written by one host; the others write it too if that host does not.
OTHERS_REPAIR_AFTER_S = 0.5
# Every host that reaches the store has written by then. It is less than SETTINGS_MAX_AGE_S, so that
# a store that was away for a moment only causes no refusals.
SETTLE_S = 1.25


class ObjectRepair:
    """Run on every host; it has nothing to do in a settled era unless this host was away."""

    def __init__(
        self,
        *,
        objects: ObjectCache,
        object_api: ObjectApi,
        gossip: Gossip,
        platform_watcher: PlatformWatcher,
        clock: Clock = time.monotonic,
    ) -> None:
        self._objects = objects
        self._object_api = object_api
        self._gossip = gossip
        self._platform_watcher = platform_watcher
        self._clock = clock
        self._era_seen = (0, 0.0)  # the era and when this host met it

    def tick(self) -> None:
        """Write the forgotten objects that fall to this host, then settle the era."""
        if self._objects.revision == 0:
            return
        forgotten = self._objects.forgotten()
        if self._objects.is_complete():
            self._write_all(forgotten)
            return
        era = era_of(self._objects.revision)
        if self._era_seen[0] != era:
            self._era_seen = (era, self._clock())
        age = self._clock() - self._era_seen[1]
        own = [f for f in forgotten if age > OTHERS_REPAIR_AFTER_S or self._is_owner(_subject(f))]
        self._write_all(own)
        settle_at = SETTLE_S if self._is_owner(SETTLED) else SETTLE_S + OTHERS_REPAIR_AFTER_S
        if not forgotten and age >= settle_at and self._settle(era):
            self._platform_watcher.refresh()

    def _write_all(self, items: Sequence[Forgotten]) -> None:
        for item in items:
            self._write(item)
        if items:
            self._platform_watcher.refresh()

    def _write(self, item: Forgotten) -> None:
        change = item.change
        value = None if change.removed else with_origin(change)
        put = self._object_api.put(change.kind, change.name, value, item.revision)
        logs.event(
            "object_rewritten",
            kind=change.kind,
            name=change.name,
            removed=change.removed,
            done=not isinstance(put, Err),
        )

    def _settle(self, era: int) -> bool:
        """Write the settled mark; return whether it was written."""
        found = self._objects.get(ERA_KIND, SETTLED)
        version = found.revision if found else make_revision(era, 0)
        put = self._object_api.put(ERA_KIND, SETTLED, EraMark(era=era), version)
        if isinstance(put, Err):
            logs.event("settle_failed", store_era=era)
            return False
        logs.event("store_era_settled", store_era=era)
        return True

    def _is_owner(self, subject: str) -> bool:
        first = self._gossip.owners(subject)[:1]
        return [h.name for h in first] == [self._gossip.own().name]


def _subject(item: Forgotten) -> str:
    return f"repair:{item.change.kind}/{item.change.name}"

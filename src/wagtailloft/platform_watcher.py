"""Watch the platform on behalf of a region, so that not every host has to."""

import random
import threading
import time

from absl import logging

from wagtailloft import logs
from wagtailloft.adapters.object_api import ObjectApi
from wagtailloft.controllers.object_cache import Freshness, ObjectCache
from wagtailloft.gossip import Gossip

WATCH_S = 0.4
LONELY_S = 1.8
PAUSE_S = 0.2
BACKOFF_LIMIT_S = 2.0


class PlatformWatcher:
    """Follow the platform's changes while this host is one of its region's spreaders."""

    def __init__(
        self, *, object_api: ObjectApi, objects: ObjectCache, freshness: Freshness, gossip: Gossip
    ) -> None:
        self._object_api = object_api
        self._objects = objects
        self._freshness = freshness
        self._gossip = gossip
        self._rng = random.Random()
        self._stopped = threading.Event()
        self._refreshing = threading.Lock()

    def start(self) -> None:
        """Start following in the background."""
        threading.Thread(target=self._loop, name="spreader", daemon=True).start()

    def stop(self) -> None:
        """Stop following."""
        self._stopped.set()

    def refresh(self, wait: float = 0.0) -> bool:
        """Take what the platform has beyond our revision; return False if it does not answer."""
        with self._refreshing:
            asked = time.monotonic()
            watched = self._object_api.watch(self._objects.revision, wait)
            if watched.is_err():
                return False
            delta = watched.ok_value
            changed = self._objects.apply(delta)
            if self._objects.revision <= delta.revision:
                self._freshness.confirmed(asked)
        if changed:
            logs.event("settings_applied", revision=delta.revision, via="platform")
            self._gossip.push()
        return True

    def is_platform_watcher(self) -> bool:
        """Tell whether this host is one of its region's spreaders now."""
        own = self._gossip.own().name
        return own in [h.name for h in self._gossip.platform_watchers()]

    def _loop(self) -> None:
        backoff = PAUSE_S
        while not self._stopped.is_set():
            lonely = self._freshness.age(time.monotonic()) > LONELY_S
            if not self.is_platform_watcher() and not lonely:
                self._stopped.wait(PAUSE_S)
                continue
            if self._try_refresh(0.0 if lonely else WATCH_S):
                backoff = PAUSE_S
                continue
            self._stopped.wait(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(BACKOFF_LIMIT_S, backoff * 2)

    def _try_refresh(self, wait: float) -> bool:
        try:
            return self.refresh(wait)
        except Exception:
            logging.exception("event=refresh_failed")
            return False

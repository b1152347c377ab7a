"""Watch the platform from a few hosts of each region; the others get changes by gossip."""

import random
import threading

from wagtailloft import clock, logs
from wagtailloft.adapters.object_api import ObjectApi
from wagtailloft.controllers.freshness import FreshnessTracker
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.gossip import Gossip
from wagtailloft.supervision import Supervisor

LONG_POLL_S = 0.4
UNCONFIRMED_LIMIT_S = 1.8  # after this time without confirmation any host asks the platform itself
RETRY_DELAY_S = 0.2  # also the pause between checks whether this host has to watch
MAX_BACKOFF_S = 2.0


class PlatformWatcher:
    """Apply the platform's changes while this host is one of its region's platform watchers."""

    def __init__(
        self,
        *,
        object_api: ObjectApi,
        objects: ObjectCache,
        freshness: FreshnessTracker,
        gossip: Gossip,
        supervisor: Supervisor,
    ) -> None:
        self._object_api = object_api
        self._objects = objects
        self._freshness = freshness
        self._gossip = gossip
        self._supervisor = supervisor
        self._rng = random.Random()
        self._stopped = threading.Event()
        self._refresh_lock = threading.Lock()

    def start(self) -> None:
        """Start watching in a background thread."""
        self._supervisor.start_thread("watch_platform", self._loop, is_stopped=self._stopped.is_set)

    def stop(self) -> None:
        """Stop watching; a call to the platform that has started is not interrupted."""
        self._stopped.set()

    def refresh(self, wait: float = 0.0) -> bool:
        """Apply the platform's changes after this host's revision.

        Wait up to `wait` seconds for the first change. Return False if the platform does not
        answer.
        """
        with self._refresh_lock:
            requested_at = clock.now()
            response = self._object_api.watch(self._objects.revision, wait)
            if response.is_err():
                return False
            delta = response.ok_value
            changed = self._objects.apply(delta)
            if self._objects.revision <= delta.revision and self._objects.is_complete():
                self._freshness.record_confirmation(requested_at)
        if changed:
            logs.event("settings_applied", revision=delta.revision, via="platform")
            self._gossip.push()
        return True

    def is_platform_watcher(self) -> bool:
        """Tell whether this host is one of its region's platform watchers now."""
        own = self._gossip.own().name
        return own in [h.name for h in self._gossip.platform_watchers()]

    def _loop(self) -> None:
        backoff = RETRY_DELAY_S
        while not self._stopped.is_set():
            unconfirmed_too_long = self._freshness.age(clock.now()) > UNCONFIRMED_LIMIT_S
            if not self.is_platform_watcher() and not unconfirmed_too_long:
                self._stopped.wait(RETRY_DELAY_S)
                continue
            if self._try_refresh(0.0 if unconfirmed_too_long else LONG_POLL_S):
                backoff = RETRY_DELAY_S
                continue
            self._stopped.wait(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(MAX_BACKOFF_S, backoff * 2)

    def _try_refresh(self, wait: float) -> bool:
        try:
            return self.refresh(wait)
        except Exception as exc:
            self._supervisor.report("refresh_settings", exc)
            return False

"""The timer service that parts subscribe to."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import Protocol

from absl import logging


class Clock(Protocol):
    """Tell the time in seconds."""

    def __call__(self) -> float:
        """Return seconds on a clock that never goes back."""


@dataclass(kw_only=True)
class Subscription:
    """Hold one subscriber of the timer service."""

    name: str
    interval: float
    action: Callable[[], None]
    running: bool = False


class Timers:
    """Call subscribers at their intervals, on an executor, never twice at once."""

    def __init__(self, *, executor: Executor, clock: Clock = time.monotonic) -> None:
        self._executor = executor
        self._clock = clock
        self._wake = threading.Condition()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._stopped = False
        self._thread = threading.Thread(target=self._loop, name="timers", daemon=True)

    def start(self) -> None:
        """Start calling subscribers."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling subscribers."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def every(self, name: str, interval: float, action: Callable[[], None]) -> None:
        """Subscribe an action to be called each interval in seconds."""
        subscription = Subscription(name=name, interval=interval, action=action)
        with self._wake:
            self._push(self._clock() + interval, subscription)
            self._wake.notify()

    def _push(self, due: float, subscription: Subscription) -> None:
        heapq.heappush(self._heap, (due, next(self._order), subscription))

    def _loop(self) -> None:
        while True:
            with self._wake:
                if self._stopped:
                    return
                now = self._clock()
                if not self._heap or self._heap[0][0] > now:
                    pause = self._heap[0][0] - now if self._heap else None
                    self._wake.wait(pause)
                    continue
                _, _, subscription = heapq.heappop(self._heap)
                self._push(now + subscription.interval, subscription)
            self._call(subscription)

    def _call(self, subscription: Subscription) -> None:
        if subscription.running:
            return
        subscription.running = True
        try:
            self._executor.submit(self._run, subscription)
        except RuntimeError:
            subscription.running = False

    def _run(self, subscription: Subscription) -> None:
        try:
            subscription.action()
        except Exception:
            logging.exception("event=timer_failed timer=%s", subscription.name)
        finally:
            subscription.running = False

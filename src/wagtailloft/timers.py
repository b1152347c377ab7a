"""Run actions periodically on an executor."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import Protocol

from wagtailloft.supervision import Supervisor


class Clock(Protocol):
    """A monotonic clock."""

    def __call__(self) -> float:
        """Return the time in seconds; it never decreases."""


@dataclass(kw_only=True)
class PeriodicAction:
    """An action to run every `interval` seconds; `running` is set while a call is pending."""

    name: str
    interval: float
    action: Callable[[], None]
    running: bool = False


class Timers:
    """Run actions at their intervals on an executor; calls of one action never overlap.

    A call that comes due while the previous one is pending is skipped. An action that fails is
    reported and called again when it is next due.
    """

    def __init__(
        self, *, executor: Executor, supervisor: Supervisor, clock: Clock = time.monotonic
    ) -> None:
        self._executor = executor
        self._supervisor = supervisor
        self._clock = clock
        self._wake = threading.Condition()
        self._heap: list[tuple[float, int, PeriodicAction]] = []
        self._sequence = itertools.count()
        self._stopped = False

    def start(self) -> None:
        """Start the timer thread."""
        self._supervisor.start_thread("timers", self._loop, is_stopped=lambda: self._stopped)

    def stop(self) -> None:
        """Stop the timer thread; calls already submitted still run."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def every(self, name: str, interval: float, action: Callable[[], None]) -> None:
        """Run an action every `interval` seconds, the first time after one interval.

        `name` appears in the log and on the metric of failures.
        """
        periodic = PeriodicAction(name=name, interval=interval, action=action)
        with self._wake:
            self._push(self._clock() + interval, periodic)
            self._wake.notify()

    def _push(self, due: float, periodic: PeriodicAction) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), periodic))

    def _loop(self) -> None:
        while True:
            with self._wake:
                if self._stopped:
                    return
                now = self._clock()
                if not self._heap or self._heap[0][0] > now:
                    wait_s = self._heap[0][0] - now if self._heap else None
                    self._wake.wait(wait_s)
                    continue
                _, _, periodic = heapq.heappop(self._heap)
                self._push(now + periodic.interval, periodic)
            self._call(periodic)

    def _call(self, periodic: PeriodicAction) -> None:
        if periodic.running:
            return
        periodic.running = True
        try:
            self._executor.submit(self._run, periodic)
        except RuntimeError:  # the executor was shut down
            periodic.running = False

    def _run(self, periodic: PeriodicAction) -> None:
        try:
            periodic.action()
        except Exception as exc:
            self._supervisor.report(periodic.name, exc)
        finally:
            periodic.running = False

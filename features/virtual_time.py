"""Run coroutines in virtual time, so that a busy machine does not change what they do and when."""

import asyncio
from types import SimpleNamespace

from wagtailloft import clock

TURN_S = 1e-9  # a turn of the loop; a clock that stood still would never pass a rounded time


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer, and hardly moves while callbacks run."""

    def __init__(self, start=None):
        """Start at a time, or at the present time of the clock."""
        super().__init__()
        self._virtual_now = clock.now() if start is None else start

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual_now

    def stall(self, seconds):
        """Let time pass in which nothing runs, as on a busy machine."""
        self._virtual_now += seconds

    def _run_once(self):
        self._virtual_now += TURN_S
        if not self._ready and self._scheduled:
            self._virtual_now = max(self._virtual_now, self._scheduled[0].when())
        super()._run_once()


def stall(seconds):
    """Let virtual time pass in which nothing runs."""
    asyncio.get_running_loop().stall(seconds)


def run_virtual(coroutine, start=None):
    """Run a coroutine that uses no real connections; clock.now() returns the virtual time."""
    loop = VirtualTimeLoop(start)
    real_time = clock.time
    clock.time = SimpleNamespace(clock_gettime=lambda _: loop.time(), CLOCK_BOOTTIME=None)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(coroutine)
    finally:
        clock.time = real_time
        asyncio.set_event_loop(None)
        loop.close()

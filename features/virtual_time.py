"""Run coroutines in virtual time, so that a busy machine does not change what they do and when."""

import asyncio
from types import SimpleNamespace

from wagtailloft import clock


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stands still while callbacks run, and jumps to the next timer."""

    def __init__(self):
        """Start at the present time of the clock."""
        super().__init__()
        self._virtual_now = clock.now()

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual_now

    def stall(self, seconds):
        """Let time pass in which nothing runs, as on a busy machine."""
        self._virtual_now += seconds

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._virtual_now = max(self._virtual_now, self._scheduled[0].when())
        super()._run_once()


def stall(seconds):
    """Let virtual time pass in which nothing runs."""
    asyncio.get_running_loop().stall(seconds)


def run_virtual(coroutine):
    """Run a coroutine that uses no real connections; clock.now() returns the virtual time."""
    loop = VirtualTimeLoop()
    real_time = clock.time
    clock.time = SimpleNamespace(clock_gettime=lambda _: loop.time(), CLOCK_BOOTTIME=None)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(coroutine)
    finally:
        clock.time = real_time
        asyncio.set_event_loop(None)
        loop.close()

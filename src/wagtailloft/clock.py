"""The clock of leases and ages: it also counts the time in which the host was suspended."""

import time


def now() -> float:
    """Return seconds on a clock that never goes back and runs on through a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

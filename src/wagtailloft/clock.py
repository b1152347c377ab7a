"""The clock for leases and ages, which includes the time that the host spent suspended."""

import time


def now() -> float:
    """Return seconds on a monotonic clock that keeps running while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

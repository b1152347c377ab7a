"""Count and log connections of clients that a host closes, at a bounded rate of lines."""

import threading
from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now

LINE_INTERVAL_S = 1.0  # between two lines for the same port and reason


class ClosedClients:
    """Record connections that are closed or rejected; may be used by several threads.

    count is called with the port and the reason of each of them.
    """

    def __init__(self, *, count: Callable[[str, str], None] = lambda port, reason: None) -> None:
        self._count = count
        self._lock = threading.Lock()
        self._logged_at: dict[tuple[str, str], float] = {}
        self._suppressed: dict[tuple[str, str], int] = {}

    def record(self, port: str, reason: str, **fields: object) -> None:
        """Count a connection, and log it unless another one was just logged."""
        self._count(port, reason)
        key, at = (port, reason), now()
        with self._lock:
            if at - self._logged_at.get(key, -LINE_INTERVAL_S) < LINE_INTERVAL_S:
                self._suppressed[key] = self._suppressed.get(key, 0) + 1
                return
            self._logged_at[key] = at
            suppressed = self._suppressed.pop(key, 0)
        logs.warn("client_closed", port=port, reason=reason, **fields, suppressed=suppressed)

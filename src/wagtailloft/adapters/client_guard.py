"""Keep the connections of one port within their limits."""

import asyncio
import sys
import threading
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Protocol

from wagtailloft.clock import now
from wagtailloft.closed_clients import ClosedClients
from wagtailloft.controllers.client_budget import (
    STALLED_S,
    ClientBudget,
    ClientUse,
    RunningBudget,
)

# Read at once: bounds how many small messages are decoded before reading can be paused.
RECEIVE_BYTES = 16 << 10
# A large statement that waits for longer has passed the deadline of every usual route.
RUNNING_WAIT_S = 4.0
SMALL_STATEMENT_BYTES = 4096  # of a statement that need not wait for its share of the budget


class SmallReads(asyncio.BufferedProtocol):
    """A protocol that receives at most RECEIVE_BYTES at a time; subclasses have data_received."""

    # One for each event loop's thread: what was received into it is copied at once.
    _received = threading.local()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to receive into."""
        if not hasattr(self._received, "buffer"):
            self._received.buffer = bytearray(RECEIVE_BYTES)
        return self._received.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the received bytes."""
        self.data_received(bytes(memoryview(self._received.buffer)[:nbytes]))


class GuardedConnection(Protocol):
    """A connection that a guard may close; name is for the log."""

    name: str
    use: ClientUse

    def unsent_bytes(self) -> int:
        """Return how much of what was written the client has not taken."""

    def drop(self) -> None:
        """Abort the connection, and release what it holds."""


class ClientGuard:
    """Charge connections for what they hold, and close some when that is too much.

    budget_bytes limits what connections hold, running_bytes the large statements that run at once.
    """

    def __init__(
        self,
        *,
        port: str,
        budget_bytes: int,
        closed: ClosedClients,
        running_bytes: int = 0,
    ) -> None:
        self._port = port
        self._closed = closed
        self._budget = ClientBudget(limit=budget_bytes)
        self._running = RunningBudget(limit=running_bytes)
        self._waiting: deque[tuple[int, asyncio.Future]] = deque()

    @classmethod
    def unlimited(cls, port: str) -> "ClientGuard":
        """Return a guard that closes nothing."""
        return cls(port=port, budget_bytes=sys.maxsize, closed=ClosedClients())

    @property
    def scarce(self) -> bool:
        """Tell whether connections hold more than half of what they may hold."""
        return self._budget.scarce

    def opened(self, conn: GuardedConnection) -> None:
        """Begin to count a connection."""
        self._budget.add(conn.use)

    def lost(self, conn: GuardedConnection) -> None:
        """Count a connection no longer."""
        self._budget.remove(conn.use)

    def charge(self, conn: GuardedConnection, **amounts: int) -> None:
        """Record what a connection holds, and close connections if all hold too much."""
        at = now()
        self._budget.charge(conn.use, at, **amounts)
        if not self._budget.exceeded:
            return
        self._update_unsent(at)
        for use in self._budget.to_close(at):
            self.close(use.owner, "unread" if use.stalled_for(at) >= STALLED_S else "memory")

    def close_unread(self, limit: float) -> None:
        """Close the connections whose clients have taken nothing for longer than limit seconds."""
        at = now()
        self._update_unsent(at)
        for use in self._budget.unread():
            if use.stalled_for(at) > limit:
                self.close(use.owner, "unread")

    def close(self, conn: GuardedConnection, reason: str) -> None:
        """Close a connection, and record why."""
        self.refused(reason, client=conn.name, held=conn.use.total)
        self._budget.remove(conn.use)
        conn.drop()

    def refused(self, reason: str, **fields: object) -> None:
        """Record a connection that is closed or rejected."""
        self._closed.record(self._port, reason, **fields)

    @asynccontextmanager
    async def running(self, size: int) -> AsyncIterator[bool]:
        """Wait until a statement of a size may run, and count it while it does.

        Yield whether it may; after RUNNING_WAIT_S it may not.
        """
        if size <= SMALL_STATEMENT_BYTES:
            yield True
            return
        if self._waiting or not self._running.fits(size):
            started = asyncio.get_running_loop().create_future()
            self._waiting.append((size, started))
            try:
                await asyncio.wait([started], timeout=RUNNING_WAIT_S)
            except BaseException:
                if started.done():  # counted, but its caller has left
                    self._running.finish(size)
                    self._start_waiting()
                raise
            finally:
                started.cancel()  # unless it was counted by _start_waiting
            if started.cancelled():
                self.refused("large", size=size)
                yield False
                return
        else:
            self._running.start(size)
        try:
            yield True
        finally:
            self._running.finish(size)
            self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting:
            size, started = self._waiting[0]
            if not started.cancelled():
                if not self._running.fits(size):
                    return
                self._running.start(size)
                started.set_result(None)
            self._waiting.popleft()

    def _update_unsent(self, at: float) -> None:
        for use in self._budget.unread():
            self._budget.charge(use, at, unsent=use.owner.unsent_bytes())

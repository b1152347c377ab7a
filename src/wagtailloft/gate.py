"""Admission of requests to the slots of a member, in the order of the fair queue."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

from result import Err, Ok, Result

from wagtailloft.controllers.fairness import FairQueue, Ticket
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Record
from wagtailloft.timers import Clock


class SlotRequest(Record):
    """A request for a slot of a member.

    deadline is in monotonic seconds; queue_limit is how many requests of the team may be queued;
    in_transaction is set for a statement of an open transaction, which a paused gate lets pass.
    """

    team: str
    weight: float
    deadline: float
    queue_limit: int
    in_transaction: bool = False


class Gate:
    """Grant the slots of one member to requests."""

    def __init__(self, *, slots: int, clock: Clock = time.monotonic) -> None:
        self._slots = slots
        self._clock = clock
        self._lock = threading.Lock()
        self._queue = FairQueue(slots=slots)
        self._granted: dict[int, threading.Event] = {}  # by the number of a queued ticket
        self._in_transactions: dict[int, Ticket] = {}  # queued ones of open transactions
        self._busy = 0
        self._paused = False

    @property
    def busy(self) -> int:
        """Return how many slots are in use."""
        return self._busy

    @property
    def queued(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)

    def expected_wait(self) -> float:
        """Return the expected wait for a slot in seconds."""
        with self._lock:
            return 0.0 if self._busy < self._slots else self._queue.drain_time(self._slots)

    def set_paused(self, paused: bool) -> None:
        """Stop or resume granting slots.

        While paused, statements of open transactions run at once, beyond the slot limit, also those
        that are queued already.
        """
        with self._lock:
            self._paused = paused
            if paused:
                for ticket in list(self._in_transactions.values()):
                    self._queue.remove(ticket)
                    self._grant(ticket)
            self._admit()

    @contextmanager
    def slot(self, request: SlotRequest) -> Iterator[Result[float, Refusal]]:
        """Wait for a slot and occupy it; yield the time waited in seconds, or a refusal."""
        admitted = self._acquire(request)
        if isinstance(admitted, Err):
            yield admitted
            return
        ticket = admitted.ok_value
        started = self._clock()
        try:
            yield Ok(started - ticket.queued)
        finally:
            self._release(ticket, self._clock() - started)

    def _acquire(self, request: SlotRequest) -> Result[Ticket, Refusal]:
        granted = threading.Event()
        with self._lock:
            now = self._clock()
            pushed = self._queue.push(
                team=request.team,
                weight=request.weight,
                deadline=request.deadline,
                limit=request.queue_limit,
                now=now,
            )
            if isinstance(pushed, Err):
                return pushed
            ticket = pushed.ok_value
            if self._paused and request.in_transaction:
                self._queue.remove(ticket)
                self._busy += 1
                return Ok(ticket)
            self._granted[ticket.number] = granted
            if request.in_transaction:
                self._in_transactions[ticket.number] = ticket
            self._admit()
        if granted.wait(max(0.0, request.deadline - now)):
            return Ok(ticket)
        return self._cancel(ticket, granted)

    def _cancel(self, ticket: Ticket, granted: threading.Event) -> Result[Ticket, Refusal]:
        """Leave the queue after the deadline, unless the slot has been granted meanwhile."""
        with self._lock:
            if granted.is_set():
                return Ok(ticket)
            self._granted.pop(ticket.number)
            self._in_transactions.pop(ticket.number, None)
            self._queue.remove(ticket)
        return Err(Refusal(kind=Kind.DEADLINE, detail="no slot became free before the deadline"))

    def _release(self, ticket: Ticket, used: float) -> None:
        with self._lock:
            self._busy -= 1
            self._queue.charge(ticket, used)
            self._admit()

    def _admit(self) -> None:
        while self._busy < self._slots and not self._paused:
            ticket = self._queue.pop()
            if ticket is None:
                return
            self._grant(ticket)

    def _grant(self, ticket: Ticket) -> None:
        self._busy += 1
        self._in_transactions.pop(ticket.number, None)
        self._granted.pop(ticket.number).set()

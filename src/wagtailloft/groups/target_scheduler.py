"""Give statements their turns at one target, in the order of its schedule."""

import asyncio
from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.concurrency import ConcurrencyLimit, TurnOutcome
from wagtailloft.controllers.fairness import Ticket
from wagtailloft.controllers.scheduling import INITIAL_COST_S, TargetSchedule, TurnRequest
from wagtailloft.errors import Kind, NotSent
from wagtailloft.fleet.messages import TargetLoad

SERVICE_SMOOTHING = 0.9  # weight of the previous average of the service time
REFUSAL_LOG_INTERVAL_S = 1.0
MAX_REPORTED_MS = 60_000


class Turn:
    """The right to run one statement at a target, until it is ended."""

    def __init__(self, *, scheduler: "TargetScheduler", ticket: Ticket, began: float) -> None:
        self.began = began
        self.waited = began - ticket.queued
        self._scheduler = scheduler
        self._ticket: Ticket | None = ticket

    def end(self, outcome: TurnOutcome, seconds: float = 0.0) -> None:
        """Give the turn back; seconds is the time from sending the statement to its answer."""
        ticket, self._ticket = self._ticket, None
        if ticket is not None:
            self._scheduler.finish(self, ticket, outcome, seconds)


class TargetScheduler:
    """Grant turns at one target.

    reserve_link takes a link for new work, or returns False if none is available; return_link gives
    back one that was not used.
    """

    def __init__(
        self,
        *,
        target: str,
        slots: int,
        limit: ConcurrencyLimit,
        reserve_link: Callable[[], bool],
        return_link: Callable[[], None],
    ) -> None:
        self.limit = limit
        self.in_progress = 0
        self._target = target
        self._schedule = TargetSchedule(slots=slots)
        self._reserve_link = reserve_link
        self._return_link = return_link
        self._waiters: dict[int, asyncio.Future[None]] = {}
        self._service_s = INITIAL_COST_S
        self._refusals = 0
        self._refusals_logged_at = 0.0

    @property
    def queued(self) -> int:
        """Return how many statements wait for a turn."""
        return len(self._schedule)

    def load(self) -> TargetLoad:
        """Return the load of the target, for the hosts that choose among targets."""
        is_full = self.queued > 0 or self.in_progress >= self.limit.limit
        waits = self._schedule.waits(self.in_progress) if is_full else (0.0, 0.0, 0.0)
        first, second, third = waits
        return TargetLoad(
            waits_ms=(_to_ms(first), _to_ms(second), _to_ms(third)),
            service_ms=_to_ms(self._service_s),
        )

    async def begin(self, request: TurnRequest) -> Turn:
        """Wait for a turn, and for new work a reserved link; raise NotSent with a kind."""
        is_full = self.in_progress >= self.limit.limit
        in_progress = self.in_progress if is_full else 0
        pushed = self._schedule.push(request, now=now(), in_progress=in_progress)
        if pushed.is_err():
            self._log_refusal(pushed.err_value.kind, pushed.err_value.detail)
            raise _not_sent(pushed.err_value.kind, pushed.err_value.detail)
        ticket = pushed.ok_value
        future = asyncio.get_running_loop().create_future()
        self._waiters[ticket.number] = future
        self.wake()
        try:
            async with asyncio.timeout(max(0.0, request.deadline - ticket.queued)):
                await future
        except (TimeoutError, asyncio.CancelledError, NotSent) as exc:
            self._abandon(ticket, future, request)
            if not isinstance(exc, TimeoutError):
                raise
            self._log_refusal(Kind.QUEUE_FULL, "no turn in time")
            raise _not_sent(Kind.QUEUE_FULL, "the target had no turn in time") from exc
        return Turn(scheduler=self, ticket=ticket, began=now())

    def wake(self) -> None:
        """Grant the turns that are free."""
        while self.queued and self.in_progress < self.limit.limit:
            has_link = self._reserve_link()
            ticket = self._schedule.pop(now=now(), new_work=has_link)
            future = self._waiters.pop(ticket.number, None) if ticket else None
            needs_link = ticket is not None and not self._schedule.is_in_transaction(ticket)
            if has_link and not needs_link:
                self._return_link()
            if ticket is None:
                return
            self.in_progress += 1
            self.limit.started(now())
            if future is None or future.done():  # its waiter is about to abandon it
                continue
            future.set_result(None)

    def finish(self, turn: Turn, ticket: Ticket, outcome: TurnOutcome, seconds: float) -> None:
        """Record the end of a turn, and grant the next one."""
        at = now()
        self.in_progress -= 1
        self._schedule.charge(ticket, at - turn.began)
        self.limit.finished(at, seconds, outcome)
        if outcome is TurnOutcome.OK and seconds:
            share = 1 - SERVICE_SMOOTHING
            self._service_s = SERVICE_SMOOTHING * self._service_s + share * seconds
        self.wake()

    def replace_limit(self, limit: ConcurrencyLimit) -> None:
        """Use another limit; the turns in progress count towards it."""
        for _ in range(self.in_progress):
            limit.started(now())
        self.limit = limit
        self.wake()

    def reject_waiters(self, exc: NotSent, *, as_primary: bool | None = None) -> None:
        """End the wait of all statements that have no turn yet.

        With as_primary, only of those that need the target as primary, or of those that don't.
        """
        for number, future in self._waiters.items():
            if as_primary not in (None, self._schedule.needs_primary(number)):
                continue
            if not future.done():
                future.set_exception(exc)

    def _abandon(self, ticket: Ticket, future: asyncio.Future[None], request: TurnRequest) -> None:
        """Take a statement out of the queue, or give its turn back if it has just got one."""
        self._waiters.pop(ticket.number, None)
        if self._schedule.remove(ticket, now=now()):
            return
        if not request.in_transaction:
            self._return_link()
        self.in_progress -= 1
        self._schedule.charge(ticket, 0.0)
        self.limit.finished(now(), 0.0, TurnOutcome.ABANDONED)
        self.wake()

    def _log_refusal(self, kind: Kind, detail: str) -> None:
        self._refusals += 1
        at = now()
        if at - self._refusals_logged_at < REFUSAL_LOG_INTERVAL_S:
            return
        logs.warn(
            "queue_refused",
            target=self._target,
            kind=kind.value,
            detail=detail,
            count=self._refusals,
            queued=self.queued,
            in_progress=self.in_progress,
            limit=self.limit.limit,
        )
        self._refusals, self._refusals_logged_at = 0, at


def _to_ms(seconds: float) -> int:
    return min(MAX_REPORTED_MS, round(seconds * 1000))


def _not_sent(kind: Kind, detail: str) -> NotSent:
    exc = NotSent(detail)
    exc.kind = kind
    return exc

"""Order of the statements that wait for a turn at one target."""

import heapq
import itertools

from result import Err, Ok, Result

from wagtailloft.controllers.fairness import FairQueue, Ticket
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Record

PRIORITY_CLASSES = 3  # priorities 0, 1, and 2 or more
INITIAL_COST_S = 0.01  # of a statement at a target, before one was seen
MAX_QUEUED_PER_TEAM = 200  # statements that may wait for one target
MAX_QUEUED_CHARS = 8 << 20  # of the statements that wait for one target
# Expected waits ignore what arrives later and ranks before, so they are corrected by the ratio of
# actual waits to them. Shorter ones than MIN_JUDGED_WAIT_S are no measure of it.
WAIT_FACTOR_STEP = 0.1  # weight of the latest statement in the moving average
MAX_WAIT_FACTOR = 8.0
MIN_JUDGED_WAIT_S = 0.02
EXPIRED_WAIT_FACTOR = 2.0  # how much longer a wait that ended in vain would have lasted
MEAN_COST_STEP = 0.1  # weight of the latest statement in the moving average
# While statements of a lower priority wait, they get at least one of so many turns.
TURNS_PER_LOWER_PRIORITY = 8


class TurnRequest(Record):
    """Describe a statement that needs a turn.

    deadline is a time in seconds, chars the size of its texts and session variables. in_transaction
    is set for a statement of an open transaction, as_primary for one that needs the primary.
    """

    team: str
    deadline: float
    priority: int = 1
    in_transaction: bool = False
    as_primary: bool = False
    chars: int = 0

    @property
    def priority_class(self) -> int:
        """Return the class by which the statement is ordered, 0 first."""
        return min(self.priority, PRIORITY_CLASSES - 1)


class TargetSchedule:
    """Queue the statements for one target and choose the next one to run.

    Statements of open transactions come first, since their transactions hold links and locks that
    others wait for. New work follows by priority, then by weighted fair queueing between teams,
    then by deadline. The lowest waiting priority gets one of TURNS_PER_LOWER_PRIORITY turns.
    """

    def __init__(self, *, slots: int) -> None:
        numbers = itertools.count()
        self._numbers = numbers
        self._slots = slots
        self._in_transactions: list[tuple[float, int, Ticket]] = []
        self._classes = tuple(
            FairQueue(slots=slots, initial_cost=INITIAL_COST_S, ticket_numbers=numbers)
            for _ in range(PRIORITY_CLASSES)
        )
        self._requests: dict[int, TurnRequest] = {}  # by ticket number, until charged or removed
        self._expected_waits: dict[int, float] = {}  # of queued new work, by ticket number
        self._wait_factors: dict[tuple[int, str], float] = {}  # by class and team
        self._mean_cost = INITIAL_COST_S
        self._queued_chars = 0
        self._turns_since_lowest = 0

    def __len__(self) -> int:
        """Return how many statements wait."""
        return len(self._in_transactions) + sum(len(queue) for queue in self._classes)

    def push(
        self, request: TurnRequest, *, now: float, in_progress: int = 0
    ) -> Result[Ticket, Refusal]:
        """Queue a statement, or refuse it if the queue is full or its deadline can't be met.

        in_progress counts the turns that have to end before another one begins.
        """
        if self._queued_chars + request.chars > MAX_QUEUED_CHARS:
            return Err(Refusal(kind=Kind.QUEUE_FULL, detail="the queue's texts are too large"))
        if request.in_transaction:
            ticket = Ticket(
                team=request.team, number=next(self._numbers), deadline=request.deadline, queued=now
            )
            heapq.heappush(self._in_transactions, (ticket.deadline, ticket.number, ticket))
            pushed: Result[Ticket, Refusal] = Ok(ticket)
        else:
            number = request.priority_class
            wait_ahead = self._wait_ahead(number, in_progress)
            expected_wait = wait_ahead + self._classes[number].expected_wait(request.team)
            pushed = self._classes[number].push(
                team=request.team,
                weight=1.0,
                deadline=request.deadline,
                limit=MAX_QUEUED_PER_TEAM,
                now=now,
                wait_ahead=wait_ahead,
                wait_factor=self._wait_factors.get((number, request.team), 1.0),
            )
            if isinstance(pushed, Ok):
                self._expected_waits[pushed.ok_value.number] = expected_wait
        if isinstance(pushed, Ok):
            self._requests[pushed.ok_value.number] = request
            self._queued_chars += request.chars
        return pushed

    def pop(self, *, now: float, new_work: bool = True) -> Ticket | None:
        """Remove and return the next statement, or None if none waits.

        Without new_work, only statements of open transactions are considered.
        """
        ticket = self._pop(new_work)
        if ticket is not None:
            self._queued_chars -= self._requests[ticket.number].chars
            self._judge_wait(ticket, now)
        return ticket

    def remove(self, ticket: Ticket, *, now: float) -> bool:
        """Remove a statement that no longer waits; return False if it was not queued."""
        request = self._requests[ticket.number]
        if request.in_transaction:
            item = (ticket.deadline, ticket.number, ticket)
            was_queued = item in self._in_transactions
            if was_queued:
                self._in_transactions.remove(item)
                heapq.heapify(self._in_transactions)
        else:
            was_queued = self._classes[request.priority_class].remove(ticket)
        if was_queued:
            self._queued_chars -= request.chars
            self._judge_wait(ticket, now, has_ended=False)
            del self._requests[ticket.number]
        return was_queued

    def is_in_transaction(self, ticket: Ticket) -> bool:
        """Tell whether a statement belongs to an open transaction."""
        return self._requests[ticket.number].in_transaction

    def needs_primary(self, number: int) -> bool:
        """Tell whether the statement with a ticket number may only run at the primary."""
        return self._requests[number].as_primary

    def charge(self, ticket: Ticket, used: float) -> None:
        """Charge a team the seconds for which its statement had a turn."""
        request = self._requests.pop(ticket.number)
        if used:
            self._mean_cost += (used - self._mean_cost) * MEAN_COST_STEP
        if not request.in_transaction:
            self._classes[request.priority_class].charge(ticket, used)

    def waits(self, in_progress: int) -> tuple[float, float, float]:
        """Return the expected wait, for each class, of a statement whose team has none queued."""
        first, second, third = (
            self._wait_ahead(number, in_progress) + queue.wait_of_idle_team()
            for number, queue in enumerate(self._classes)
        )
        return first, second, third

    def _judge_wait(self, ticket: Ticket, now: float, *, has_ended: bool = True) -> None:
        """Correct the expected waits of a team by an actual one, which may not have ended."""
        expected = self._expected_waits.pop(ticket.number, 0.0)
        actual = now - ticket.queued
        if expected < MIN_JUDGED_WAIT_S or (not has_ended and actual < expected):
            return
        key = (self._requests[ticket.number].priority_class, ticket.team)
        ratio = min(
            MAX_WAIT_FACTOR, actual / expected * (1.0 if has_ended else EXPIRED_WAIT_FACTOR)
        )
        factor = self._wait_factors.get(key, 1.0)
        self._wait_factors[key] = max(1.0, factor + WAIT_FACTOR_STEP * (ratio - factor))

    def _wait_ahead(self, priority_class: int, in_progress: int) -> float:
        """Return the seconds that what ranks before a class needs.

        The lowest waiting class waits for its share of the turns at most.
        """
        turn = self._mean_cost / self._slots
        higher = sum(queue.drain_time(self._slots) for queue in self._classes[:priority_class])
        wait = (in_progress + len(self._in_transactions)) * turn + higher
        if any(len(queue) for queue in self._classes[priority_class + 1 :]):
            return wait
        own_turns = len(self._classes[priority_class]) + 1
        return min(wait, (in_progress + (TURNS_PER_LOWER_PRIORITY - 1) * own_turns) * turn)

    def _pop(self, new_work: bool) -> Ticket | None:
        waiting = [queue for queue in self._classes if len(queue)] if new_work else []
        if waiting and self._turns_since_lowest >= TURNS_PER_LOWER_PRIORITY - 1:
            self._turns_since_lowest = 0
            return waiting[-1].pop()
        if self._in_transactions:
            self._turns_since_lowest += bool(waiting)
            return heapq.heappop(self._in_transactions)[2]
        if not waiting:
            return None
        is_lowest = len(waiting) == 1
        self._turns_since_lowest = 0 if is_lowest else self._turns_since_lowest + 1
        return waiting[0].pop()

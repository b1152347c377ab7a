"""Weighted fair queueing of slot time between teams, earliest deadline first within a team."""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from result import Err, Ok, Result

from wagtailloft.errors import Kind, Refusal

INITIAL_COST_S = 0.002
COST_SMOOTHING = 0.9  # weight of the previous estimate in the moving average


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """Identify a queued request; `deadline` and `queued` are times in seconds."""

    team: str
    number: int
    deadline: float
    queued: float


@dataclass(kw_only=True)
class _TeamQueue:
    estimated_cost: float
    weight: float = 1.0
    virtual_time: float = 0.0
    heap: list[tuple[float, int, Ticket]] = field(default_factory=list)


class FairQueue:
    """Order requests so that each team gets slot time in proportion to its weight."""

    def __init__(
        self,
        *,
        slots: int,
        initial_cost: float = INITIAL_COST_S,
        ticket_numbers: Iterator[int] | None = None,
    ) -> None:
        """Take the slots, the cost of a request in seconds before one was seen, and a counter.

        Queues that share the counter of ticket numbers have no number in common.
        """
        self._slots = slots
        self._mean_cost = initial_cost
        self._ticket_numbers = ticket_numbers or itertools.count()
        self._team_queues: dict[str, _TeamQueue] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue.heap) for queue in self._team_queues.values())

    def push(
        self,
        *,
        team: str,
        weight: float,
        deadline: float,
        limit: int,
        now: float,
        wait_ahead: float = 0.0,
        wait_factor: float = 1.0,
    ) -> Result[Ticket, Refusal]:
        """Queue a request, or refuse it.

        The refusal is QUEUE_FULL if `limit` requests of the team wait, and DEADLINE if the expected
        wait and the cost of one request would exceed the deadline. wait_ahead is the time in
        seconds for which the slots serve others before any request of this queue, wait_factor the
        ratio of actual to expected waits.
        """
        queue = self._team_queues.get(team)
        if queue is None:
            queue = self._team_queues[team] = _TeamQueue(estimated_cost=self._mean_cost)
        queue.weight = weight
        if len(queue.heap) >= limit:
            return Err(Refusal(kind=Kind.QUEUE_FULL, detail=f"{limit} requests wait"))
        wait = wait_factor * (wait_ahead + self.expected_wait(team))
        if now + wait + queue.estimated_cost > deadline:
            return Err(Refusal(kind=Kind.DEADLINE, detail="the expected wait exceeds the deadline"))
        if not queue.heap:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        ticket = Ticket(team=team, number=next(self._ticket_numbers), deadline=deadline, queued=now)
        heapq.heappush(queue.heap, (deadline, ticket.number, ticket))
        return Ok(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the next request to run, or None if none waits."""
        waiting = [
            (queue.virtual_time, team) for team, queue in self._team_queues.items() if queue.heap
        ]
        if not waiting:
            return None
        virtual_time, team = min(waiting)
        queue = self._team_queues[team]
        self._virtual_time = max(self._virtual_time, virtual_time)
        queue.virtual_time = virtual_time + queue.estimated_cost / queue.weight
        return heapq.heappop(queue.heap)[2]

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request from the queue; return False if it was not there."""
        queue = self._team_queues[ticket.team]
        item = (ticket.deadline, ticket.number, ticket)
        if item not in queue.heap:
            return False
        queue.heap.remove(item)
        heapq.heapify(queue.heap)
        return True

    def charge(self, ticket: Ticket, used: float) -> None:
        """Charge a team the slot time in seconds that its request used, not the estimate."""
        queue = self._team_queues[ticket.team]
        queue.virtual_time += (used - queue.estimated_cost) / queue.weight
        queue.estimated_cost = COST_SMOOTHING * queue.estimated_cost + (1 - COST_SMOOTHING) * used
        self._mean_cost = COST_SMOOTHING * self._mean_cost + (1 - COST_SMOOTHING) * used

    def expected_wait(self, team: str) -> float:
        """Return the expected wait of a team's next request, in seconds.

        Another team counts only with the requests that its weight lets it run before that one.
        """
        own_queue = self._team_queues.get(team)
        if own_queue is None:
            return self.drain_time(self._slots)
        ahead = len(own_queue.heap)
        queued_cost = 0.0
        for name, queue in self._team_queues.items():
            share = queue.weight / own_queue.weight
            count = ahead if name == team else min(len(queue.heap), (ahead + 1) * share)
            queued_cost += count * queue.estimated_cost
        return queued_cost / self._slots

    def wait_of_idle_team(self) -> float:
        """Return the expected wait, in seconds, of a request whose team has none queued."""
        costs = (queue.estimated_cost for queue in self._team_queues.values() if queue.heap)
        return sum(costs) / self._slots

    def drain_time(self, slots: int) -> float:
        """Return the expected time in seconds to run all queued requests on so many slots."""
        return (
            sum(len(queue.heap) * queue.estimated_cost for queue in self._team_queues.values())
            / slots
        )

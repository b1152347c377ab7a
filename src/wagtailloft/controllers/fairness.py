"""Weighted fair queueing between teams by slot time, earliest deadline within a team."""

import heapq
import itertools
from dataclasses import dataclass, field

from result import Err, Ok, Result

from wagtailloft.errors import Kind, Refusal

COST_FIRST_S = 0.002
COST_MEMORY = 0.9


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """Hold one request's place in the queue."""

    team: str
    number: int
    deadline: float
    queued: float


@dataclass(kw_only=True)
class _Lane:
    weight: float = 1.0
    clock: float = 0.0
    cost: float = COST_FIRST_S
    heap: list[tuple[float, int, Ticket]] = field(default_factory=list)


class FairQueue:
    """Order requests so that each team gets its share of slot time."""

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._numbers = itertools.count()
        self._lanes: dict[str, _Lane] = {}
        self._clock = 0.0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(lane.heap) for lane in self._lanes.values())

    def push(
        self, *, team: str, weight: float, deadline: float, limit: int, now: float
    ) -> Result[Ticket, Refusal]:
        """Queue a request, or refuse it when its team's queue is full or time is too short."""
        lane = self._lanes.setdefault(team, _Lane())
        lane.weight = weight
        if len(lane.heap) >= limit:
            return Err(Refusal(kind=Kind.QUEUE_FULL, detail=f"{limit} requests wait"))
        if now + self.expected_wait(team) + lane.cost > deadline:
            return Err(Refusal(kind=Kind.DEADLINE, detail="the queue is longer than the deadline"))
        if not lane.heap:
            lane.clock = max(lane.clock, self._clock)
        ticket = Ticket(team=team, number=next(self._numbers), deadline=deadline, queued=now)
        heapq.heappush(lane.heap, (deadline, ticket.number, ticket))
        return Ok(ticket)

    def pop(self) -> Ticket | None:
        """Return the next request to run, or None when none waits."""
        waiting = [(lane.clock, team) for team, lane in self._lanes.items() if lane.heap]
        if not waiting:
            return None
        clock, team = min(waiting)
        lane = self._lanes[team]
        self._clock = max(self._clock, clock)
        lane.clock = clock + lane.cost / lane.weight
        return heapq.heappop(lane.heap)[2]

    def remove(self, ticket: Ticket) -> bool:
        """Take a request out of the queue; return False if it was not there."""
        lane = self._lanes[ticket.team]
        item = (ticket.deadline, ticket.number, ticket)
        if item not in lane.heap:
            return False
        lane.heap.remove(item)
        heapq.heapify(lane.heap)
        return True

    def charge(self, ticket: Ticket, used: float) -> None:
        """Charge a team the slot time in seconds that its request took."""
        lane = self._lanes[ticket.team]
        lane.clock += (used - lane.cost) / lane.weight
        lane.cost = COST_MEMORY * lane.cost + (1 - COST_MEMORY) * used

    def expected_wait(self, team: str) -> float:
        """Return the expected wait of a team's next request, in seconds."""
        own = self._lanes.get(team)
        if own is None:
            return self.drain_time(self._slots)
        ahead = len(own.heap)
        work = 0.0
        for name, lane in self._lanes.items():
            share = lane.weight / own.weight
            count = ahead if name == team else min(len(lane.heap), (ahead + 1) * share)
            work += count * lane.cost
        return work / self._slots

    def drain_time(self, slots: int) -> float:
        """Return the time in seconds to work off all that waits."""
        return sum(len(lane.heap) * lane.cost for lane in self._lanes.values()) / slots

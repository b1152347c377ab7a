"""Naive and alternative policies, to hold the product's own against."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from wagtailloft.controllers.fairness import FairQueue, Ticket
from wagtailloft.controllers.token_bucket import TOKEN_LIFETIME_S, TokenBucket, TokenReserve
from wagtailloft.models import Team

MAX_TOKEN_WAIT_S = 0.5


@dataclass(frozen=True, kw_only=True)
class Job:
    """Hold one request of a team with the slot time that it takes, in seconds."""

    team: str
    arrival_time: float
    service_time: float
    weight: float = 1.0


class JobQueue(Protocol):
    """Order jobs before a member's slots."""

    def push(self, job: Job, now: float) -> bool:
        """Queue a job; return False if it is refused."""

    def pop(self) -> Job | None:
        """Return the next job."""

    def finish(self, job: Job) -> None:
        """Note that a job ended."""


class FifoQueue:
    """Serve jobs in the order in which they came, with one bound for all."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._jobs: deque[Job] = deque()

    def push(self, job: Job, now: float) -> bool:
        """Queue a job; return False if it is refused."""
        if len(self._jobs) >= self._limit:
            return False
        self._jobs.append(job)
        return True

    def pop(self) -> Job | None:
        """Return the next job."""
        return self._jobs.popleft() if self._jobs else None

    def finish(self, job: Job) -> None:
        """Note that a job ended."""


class FairQueueAdapter:
    """Serve jobs by the product's fair queue."""

    def __init__(self, *, slots: int, limit: int, deadline: float) -> None:
        self._queue = FairQueue(slots=slots)
        self._limit = limit
        self._deadline = deadline
        self._jobs: dict[int, tuple[Ticket, Job]] = {}
        self._running: dict[int, Ticket] = {}

    def push(self, job: Job, now: float) -> bool:
        """Queue a job; return False if it is refused."""
        pushed = self._queue.push(
            team=job.team,
            weight=job.weight,
            deadline=now + self._deadline,
            limit=self._limit,
            now=now,
        )
        if pushed.is_err():
            return False
        self._jobs[pushed.ok_value.number] = (pushed.ok_value, job)
        return True

    def pop(self) -> Job | None:
        """Return the next job."""
        ticket = self._queue.pop()
        if ticket is None:
            return None
        _, job = self._jobs.pop(ticket.number)
        self._running[id(job)] = ticket
        return job

    def finish(self, job: Job) -> None:
        """Note that a job ended."""
        self._queue.charge(self._running.pop(id(job)), job.service_time)


@dataclass(frozen=True, kw_only=True)
class JobOutcome:
    """Hold what became of one job; a wait of None is a refusal."""

    job: Job
    wait: float | None


def simulate_queue(jobs: list[Job], line: JobQueue, slots: int) -> list[JobOutcome]:
    """Run jobs through a line before so many slots."""
    events: list[tuple[float, int, Job, bool]] = []
    order = itertools.count()
    for job in jobs:
        heapq.heappush(events, (job.arrival_time, next(order), job, False))
    served: list[JobOutcome] = []
    free = slots
    while events:
        now, _, job, ends = heapq.heappop(events)
        if ends:
            free += 1
            line.finish(job)
        elif not line.push(job, now):
            served.append(JobOutcome(job=job, wait=None))
        while free and (following := line.pop()) is not None:
            free -= 1
            served.append(JobOutcome(job=following, wait=now - following.arrival_time))
            heapq.heappush(events, (now + following.service_time, next(order), following, True))
    return served


class Limiter(Protocol):
    """Admit requests of one team at several hosts."""

    def admit(self, host: int, now: float) -> float | None:
        """Return when a request that comes now may run, or None if it is refused."""


class LocalBucketsLimiter:
    """Give every host the whole rate and burst."""

    def __init__(self, *, hosts: int, team: Team) -> None:
        self._buckets = [SimpleTokenBucket(rate=team.rate, burst=team.burst) for _ in range(hosts)]

    def admit(self, host: int, now: float) -> float | None:
        """Return when a request that comes now may run, or None if it is refused."""
        return now if self._buckets[host].take(now) else None


class EqualSplitLimiter:
    """Give every host an equal share of rate and burst."""

    def __init__(self, *, hosts: int, team: Team) -> None:
        rate, burst = team.rate / hosts, max(1.0, team.burst / hosts)
        self._buckets = [SimpleTokenBucket(rate=rate, burst=burst) for _ in range(hosts)]

    def admit(self, host: int, now: float) -> float | None:
        """Return when a request that comes now may run, or None if it is refused."""
        return now if self._buckets[host].take(now) else None


class CentralBucketLimiter:
    """Keep one exact bucket for all hosts, as if asking cost nothing."""

    def __init__(self, *, team: Team) -> None:
        self._bucket = SimpleTokenBucket(rate=team.rate, burst=team.burst)

    def admit(self, host: int, now: float) -> float | None:
        """Return when a request that comes now may run, or None if it is refused."""
        return now if self._bucket.take(now) else None


class BatchedTokenLimiter:
    """Share one bucket by the product's batches, with reports at a fixed interval."""

    def __init__(self, *, hosts: int, team: Team, report_interval: float) -> None:
        self._bucket = TokenBucket(team=team, now=0.0)
        self._reserves = [TokenReserve(team=team.name, host=str(n)) for n in range(hosts)]
        self._report_interval = report_interval
        self._reported = 0.0
        self.requests_sent = 0

    def admit(self, host: int, now: float) -> float | None:
        """Return when a request may run, within the entry's patience, or None."""
        self._send_reports(now)
        if self._reserves[host].spend(now):
            return now
        until = now + MAX_TOKEN_WAIT_S
        while now < until:
            self._send_reports(now)
            wait = self._ask(host, 1, now)
            if self._reserves[host].spend(now):
                return now
            now += max(0.001, wait)
        return None

    def _ask(self, host: int, waiting: int, now: float) -> float:
        self.requests_sent += 1
        request = self._reserves[host].next_request(waiting, now)
        grant = self._bucket.grant(request, now)
        if grant is None:
            return TOKEN_LIFETIME_S
        self._reserves[host].add(grant, now)
        return grant.wait

    def _send_reports(self, now: float) -> None:
        if now - self._reported < self._report_interval:
            return
        self._reported = now
        for host, reserve in enumerate(self._reserves):
            if reserve.unreported:
                self._ask(host, 0, now)


@dataclass(kw_only=True)
class SimpleTokenBucket:
    """Hold a plain token bucket."""

    rate: float
    burst: float
    tokens: float = -1.0
    updated: float = 0.0

    def take(self, now: float) -> bool:
        """Use one token if there is one."""
        if self.tokens < 0:
            self.tokens = self.burst
        self.tokens = min(self.burst, self.tokens + self.rate * max(0.0, now - self.updated))
        self.updated = max(self.updated, now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def poisson_arrivals(rate: float, seconds: float, rng: random.Random) -> list[float]:
    """Return times of random arrivals at a rate a second."""
    times, now = [], 0.0
    while (now := now + rng.expovariate(rate)) < seconds:
        times.append(now)
    return times


def max_excess(admitted: list[float], team: Team) -> float:
    """Return by how many requests the worst window was over rate and burst; 0 if none was."""
    worst, floor = 0.0, float("inf")
    for count, now in enumerate(sorted(admitted)):
        floor = min(floor, count - team.rate * now)
        worst = max(worst, count + 1 - team.rate * now - floor - team.burst)
    return worst

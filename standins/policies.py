"""Simulate the proxy's queueing and rate-limiting policies and simpler alternatives to them."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from wagtailloft.controllers.fairness import FairQueue, Ticket
from wagtailloft.controllers.token_bucket import TOKEN_LIFETIME_S, TokenBucket, TokenReserve
from wagtailloft.models import Team

MAX_TOKEN_WAIT_S = 0.5  # as long as an entry host waits for a rate token


@dataclass(frozen=True, kw_only=True)
class Job:
    """A simulated request of a team.

    It arrives at `arrival_time` and occupies a slot for `service_time`, both in seconds.
    """

    team: str
    arrival_time: float
    service_time: float
    weight: float = 1.0


class JobQueue(Protocol):
    """A queue of jobs that wait for a slot of a member."""

    def push(self, job: Job, now: float) -> bool:
        """Queue a job; return False if the queue refuses it."""

    def pop(self) -> Job | None:
        """Remove and return the next job to run, or None if there is none."""

    def finish(self, job: Job) -> None:
        """Record that a job has finished and released its slot."""


class FifoQueue:
    """A first-in, first-out queue with one length limit for all teams together."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._jobs: deque[Job] = deque()

    def push(self, job: Job, now: float) -> bool:
        """Queue a job; return False if the queue refuses it."""
        if len(self._jobs) >= self._limit:
            return False
        self._jobs.append(job)
        return True

    def pop(self) -> Job | None:
        """Remove and return the next job to run, or None if there is none."""
        return self._jobs.popleft() if self._jobs else None

    def finish(self, job: Job) -> None:
        """Record that a job has finished and released its slot."""


class FairQueueAdapter:
    """Offer the proxy's FairQueue as a JobQueue."""

    def __init__(self, *, slots: int, limit: int, deadline: float) -> None:
        self._queue = FairQueue(slots=slots)
        self._limit = limit
        self._deadline = deadline
        self._jobs: dict[int, tuple[Ticket, Job]] = {}  # by ticket number
        self._running: dict[int, Ticket] = {}  # by id() of the job

    def push(self, job: Job, now: float) -> bool:
        """Queue a job; return False if the queue refuses it."""
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
        """Remove and return the next job to run, or None if there is none."""
        ticket = self._queue.pop()
        if ticket is None:
            return None
        _, job = self._jobs.pop(ticket.number)
        self._running[id(job)] = ticket
        return job

    def finish(self, job: Job) -> None:
        """Record that a job has finished and released its slot."""
        self._queue.charge(self._running.pop(id(job)), job.service_time)


@dataclass(frozen=True, kw_only=True)
class JobOutcome:
    """The outcome of one job: its wait for a slot in seconds, or None if it was refused."""

    job: Job
    wait: float | None


def simulate_queue(jobs: list[Job], queue: JobQueue, slots: int) -> list[JobOutcome]:
    """Simulate jobs that wait in a queue for one of `slots` slots; return their outcomes."""
    events: list[tuple[float, int, Job, bool]] = []
    event_numbers = itertools.count()
    for job in jobs:
        heapq.heappush(events, (job.arrival_time, next(event_numbers), job, False))
    outcomes: list[JobOutcome] = []
    free_slots = slots
    while events:
        now, _, job, is_end = heapq.heappop(events)
        if is_end:
            free_slots += 1
            queue.finish(job)
        elif not queue.push(job, now):
            outcomes.append(JobOutcome(job=job, wait=None))
        while free_slots and (next_job := queue.pop()) is not None:
            free_slots -= 1
            outcomes.append(JobOutcome(job=next_job, wait=now - next_job.arrival_time))
            heapq.heappush(
                events, (now + next_job.service_time, next(event_numbers), next_job, True)
            )
    return outcomes


class Limiter(Protocol):
    """A rate limiter for the requests of one team at several hosts."""

    def admit(self, host: int, now: float) -> float | None:
        """Return the time at which a request that arrives now may run, or None if it is refused."""


class LocalBucketsLimiter:
    """Limit each host on its own to the team's whole rate and burst."""

    def __init__(self, *, hosts: int, team: Team) -> None:
        self._buckets = [SimpleTokenBucket(rate=team.rate, burst=team.burst) for _ in range(hosts)]

    def admit(self, host: int, now: float) -> float | None:
        """Return the time at which a request that arrives now may run, or None if it is refused."""
        return now if self._buckets[host].take(now) else None


class EqualSplitLimiter:
    """Limit each host to an equal share of the team's rate and burst; the burst is at least 1."""

    def __init__(self, *, hosts: int, team: Team) -> None:
        rate, burst = team.rate / hosts, max(1.0, team.burst / hosts)
        self._buckets = [SimpleTokenBucket(rate=rate, burst=burst) for _ in range(hosts)]

    def admit(self, host: int, now: float) -> float | None:
        """Return the time at which a request that arrives now may run, or None if it is refused."""
        return now if self._buckets[host].take(now) else None


class CentralBucketLimiter:
    """Limit all hosts with one bucket that they reach without delay or cost."""

    def __init__(self, *, team: Team) -> None:
        self._bucket = SimpleTokenBucket(rate=team.rate, burst=team.burst)

    def admit(self, host: int, now: float) -> float | None:
        """Return the time at which a request that arrives now may run, or None if it is refused."""
        return now if self._bucket.take(now) else None


class BatchedTokenLimiter:
    """Limit all hosts with the proxy's token batches, reporting usage every `report_interval` s."""

    def __init__(self, *, hosts: int, team: Team, report_interval: float) -> None:
        self._bucket = TokenBucket(team=team, now=0.0)
        self._reserves = [TokenReserve(team=team.name, host=str(n)) for n in range(hosts)]
        self._report_interval = report_interval
        self._last_report = 0.0
        self.requests_sent = 0

    def admit(self, host: int, now: float) -> float | None:
        """Return the time at which a request that arrives now may run.

        Return None if it gets no token within MAX_TOKEN_WAIT_S.
        """
        self._send_reports(now)
        if self._reserves[host].spend(now):
            return now
        deadline = now + MAX_TOKEN_WAIT_S
        while now < deadline:
            self._send_reports(now)
            wait = self._request_tokens(host, 1, now)
            if self._reserves[host].spend(now):
                return now
            now += max(0.001, wait)
        return None

    def _request_tokens(self, host: int, waiting: int, now: float) -> float:
        self.requests_sent += 1
        request = self._reserves[host].next_request(waiting, now)
        grant = self._bucket.grant(request, now)
        if grant is None:
            return TOKEN_LIFETIME_S
        self._reserves[host].add(grant, now)
        return grant.wait

    def _send_reports(self, now: float) -> None:
        if now - self._last_report < self._report_interval:
            return
        self._last_report = now
        for host, reserve in enumerate(self._reserves):
            if reserve.unreported:
                self._request_tokens(host, 0, now)


@dataclass(kw_only=True)
class SimpleTokenBucket:
    """A token bucket that is full at its first use; `rate` is in tokens per second."""

    rate: float
    burst: float
    tokens: float = -1.0
    updated_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one token; return False if there is none."""
        if self.tokens < 0:
            self.tokens = self.burst
        self.tokens = min(self.burst, self.tokens + self.rate * max(0.0, now - self.updated_at))
        self.updated_at = max(self.updated_at, now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def poisson_arrivals(rate: float, seconds: float, rng: random.Random) -> list[float]:
    """Return the arrival times of a Poisson process; rate is the mean number per second."""
    times, now = [], 0.0
    while (now := now + rng.expovariate(rate)) < seconds:
        times.append(now)
    return times


def max_excess(admitted: list[float], team: Team) -> float:
    """Return by how many requests the worst time window exceeded rate and burst, or 0."""
    worst, min_surplus = 0.0, float("inf")
    for count, now in enumerate(sorted(admitted)):
        min_surplus = min(min_surplus, count - team.rate * now)
        worst = max(worst, count + 1 - team.rate * now - min_surplus - team.burst)
    return worst

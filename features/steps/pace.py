"""Steps for the adaptive concurrency limit, beside a small queueing model of a member."""

import heapq
import itertools
import math
import random
import tempfile
from collections import deque
from pathlib import Path

from behave import then, when

from features.steps.odd_values import TOML, settings_file
from wagtailloft.controllers.concurrency import FixedLimit, TurnOutcome
from wagtailloft.controllers.pace import PaceChange, PaceLimit, TargetStart, choose_start
from wagtailloft.errors import FixSettings

SEEDS = range(5)
KINDS_S = (0.005, 0.01, 0.02, 0.04)  # median work of the statement kinds
SPREAD = 0.7  # of the logarithm of the work
LONG_FACTORS = (5.0, 7.0)
BACKLOG = 50  # statements that wait at the owner when there is always work


class Member:
    """Serve statements on a few slots, and shed those that exceed the queue."""

    def __init__(self, *, loop, seed, slots, queue=40, long_share=0.02, kinds=KINDS_S):
        """Create an idle member without faults; slowdown multiplies the work."""
        self.loop, self.slots, self.queue_limit = loop, slots, queue
        self.random = random.Random(seed)
        self.long_share, self.kinds = long_share, kinds
        self.slowdown = 1.0
        self.failed_share = 0.0
        self.busy, self.waiting = 0, deque()

    def send(self, answer):
        """Take a statement; call answer with its outcome."""
        if self.busy >= self.slots and len(self.waiting) >= self.queue_limit:
            answer(TurnOutcome.SHED)
        elif self.random.random() < self.failed_share:
            answer(TurnOutcome.FAILED)
        else:
            self.waiting.append(answer)
            self._serve()

    def _serve(self):
        while self.busy < self.slots and self.waiting:
            self.busy += 1
            answer = self.waiting.popleft()
            work = self.random.choice(self.kinds) * self.random.lognormvariate(0.0, SPREAD)
            if self.random.random() < self.long_share:
                work *= self.random.uniform(*LONG_FACTORS)
            self.loop.after(work * self.slowdown, self._done, answer)

    def _done(self, answer):
        self.busy -= 1
        answer(TurnOutcome.OK)
        self._serve()


class Loop:
    """Call functions at virtual times."""

    def __init__(self):
        """Start at an arbitrary time."""
        self.now, self._calls, self._numbers = 1000.0, [], itertools.count()

    def after(self, delay, call, *args):
        """Call a function after a delay in seconds."""
        heapq.heappush(self._calls, (self.now + delay, next(self._numbers), call, args))

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._calls)
            call(*args)
        self.now = until


class Owner:
    """Send statements that arrive at random, as many at a time as the limit allows."""

    def __init__(self, *, loop, member, limit, seed, rate=math.inf, round_trip=0.001):
        """Begin at once; an infinite rate means that statements always wait."""
        self.loop, self.member, self.limit, self.round_trip = loop, member, limit, round_trip
        self.rate, self.random = rate, random.Random(seed)
        self.waiting = self.in_progress = self.answered = 0
        self.history = [(loop.now, limit.limit)]
        if math.isinf(rate):
            self.waiting = BACKLOG
            self._send()
        else:
            self._arrive()

    def _arrive(self):
        self.waiting = min(BACKLOG, self.waiting + 1)
        self._send()
        self.loop.after(self.random.expovariate(self.rate), self._arrive)

    def _send(self):
        while self.waiting and self.in_progress < self.limit.limit:
            self.waiting -= not math.isinf(self.rate)
            self.in_progress += 1
            self.limit.started(self.loop.now)
            self.loop.after(self.round_trip / 2, self.member.send, self._answer(self.loop.now))

    def _answer(self, sent_at):
        def receive(outcome):
            self.in_progress -= 1
            self.answered += outcome is TurnOutcome.OK
            self.limit.finished(self.loop.now, self.loop.now - sent_at, outcome)
            if self.limit.limit != self.history[-1][1]:
                self.history.append((self.loop.now, self.limit.limit))
            self._send()

        return lambda outcome: self.loop.after(self.round_trip / 2, receive, outcome)

    def limits(self, begin, end):
        """Return the limits in force between two times."""
        before = [limit for at, limit in self.history if at <= begin][-1:]
        return before + [limit for at, limit in self.history if begin < at <= end]

    def mean(self, begin, end):
        """Return the average limit between two times."""
        points = [(max(begin, at), limit) for at, limit in self.history if at < end]
        ends = [at for at, _ in points[1:]] + [end]
        area = sum(limit * (e - at) for (at, limit), e in zip(points, ends, strict=True))
        return area / (end - begin)


class Run:
    """One owner and one member of 5 slots with an upper bound of 6, or as given."""

    def __init__(self, *, seed, start=TargetStart.WARM, slots=5, upper=None, rate=math.inf, **more):
        """Begin with a healthy member."""
        round_trip = more.get("round_trip", 0.001)
        self.loop, self.upper = Loop(), upper or slots + 1
        self.member = Member(loop=self.loop, seed=seed, slots=slots)
        self.limit = PaceLimit(upper=self.upper, slots=slots, start=start, **more)
        self.owner = Owner(
            loop=self.loop,
            member=self.member,
            limit=self.limit,
            seed=seed + 1,
            rate=rate,
            round_trip=round_trip,
        )

    def pass_time(self, seconds, slowdown=1.0, failed_share=0.0):
        """Let time pass; return the average limit and all limits of that time."""
        self.member.slowdown, self.member.failed_share = slowdown, failed_share
        began = self.loop.now
        self.loop.run(seconds)
        return self.owner.mean(began, self.loop.now), self.owner.limits(began, self.loop.now)


@then("for {seeds:d} seeds a healthy member of {slots:d} slots keeps its limit of {upper:d}")
def step_healthy(context, seeds, slots, upper):
    work = sum(KINDS_S) / len(KINDS_S) * math.exp(SPREAD**2 / 2)
    for seed, load in itertools.product(range(seeds), (0.2, 0.6, 0.9, math.inf)):
        # The part of a bound above slots + 1 is for a member in another zone.
        round_trip = 0.001 if upper == slots + 1 else 0.011
        rate = load * slots / work
        run = Run(seed=seed, slots=slots, upper=upper, rate=rate, round_trip=round_trip)
        run.member.long_share = 0.01 + 0.01 * (seed % 3)
        run.pass_time(4)
        _, limits = run.pass_time(60)
        assert limits == [upper], (seed, load, limits)


def answer(limit, count, seconds, outcome=TurnOutcome.OK, at=0.0):
    """Answer statements one after the other, 100 a second; return the limits after each."""
    limits = []
    for number in range(count):
        limit.started(at + number / 100)
        limit.finished(at + number / 100, seconds, outcome)
        limits.append(limit.limit)
    return limits


@then("2 windows of answers that take 20 times longer do not lower the limit, the next ones do")
def step_short_trouble(context):
    limit = PaceLimit(upper=6, slots=5, start=TargetStart.WARM)
    limits = answer(limit, 100, 0.02) + answer(limit, 50, 0.4, at=1.0)
    assert set(limits[20:120]) == {6} and limits[-1] < 6, limits


@then("slow answers of a member in another zone, or after an idle time, lower the limit")
def step_slow_elsewhere(context):
    for usual, slow, round_trip, idle in ((0.015, 0.031, 0.011, 0.0), (0.02, 0.4, 0.0, 100.0)):
        limit = PaceLimit(upper=6, slots=5, start=TargetStart.WARM, round_trip=round_trip)
        answer(limit, 100, usual)
        assert answer(limit, 100, slow, at=1.0 + idle)[-1] < 6, usual


@then("a member that becomes {factor:d} times slower gets a limit of 3 within {seconds:d} s")
def step_slow(context, factor, seconds):
    context.runs = [Run(seed=seed) for seed in SEEDS]
    for run in context.runs:
        run.pass_time(20)
        _, limits = run.pass_time(seconds, slowdown=factor)
        assert min(limits) == 3 and run.limit.reason == "slow", limits


@then("if it stays {factor:d} times slower, it has its full limit again {seconds:d} s later")
def step_permanently_slow(context, factor, seconds):
    for run in context.runs:
        run.pass_time(0.5, slowdown=factor, failed_share=1)
        _, limits = run.pass_time(4, slowdown=factor)
        assert limits[0] == 1 and limits[-1] >= 3, limits  # its half of the slots comes back
        _, limits = run.pass_time(seconds, slowdown=factor)
        assert min(limits) >= 3 and run.limit.limit == run.upper, limits


@then("a member that fails {share:d} percent has a limit under 2, but {least:d} if it is needed")
def step_failing(context, share, least):
    context.runs = [Run(seed=seed) for seed in SEEDS]
    for run in context.runs:
        run.pass_time(2)
        run.pass_time(1, failed_share=share / 100)
        mean, _ = run.pass_time(4, failed_share=share / 100)
        assert mean < 2, mean
        run.limit.is_only_choice = True
        _, limits = run.pass_time(2, failed_share=share / 100)
        assert min(limits[1:]) >= least, limits
        run.limit.is_only_choice = False


@then("it has its full limit after {seconds:g} s without trouble")
def step_recovers(context, seconds):
    for run in context.runs:
        run.pass_time(seconds)
        assert run.limit.limit == run.upper, (run.limit.limit, run.limit.reason)


@then("a member that other hosts overload sheds, and has a limit under {most:g}")
def step_other_hosts(context, most):
    context.runs = [Run(seed=seed) for seed in SEEDS]
    for run in context.runs:
        run.pass_time(2)
        others = FixedLimit(limit=60)
        other = Owner(loop=run.loop, member=run.member, limit=others, seed=9, round_trip=0.01)
        mean, _ = run.pass_time(4)
        assert mean < most and run.limit.limit >= 1, mean
        other.limit = FixedLimit(limit=1)  # 1 statement at a time of others does no harm


@when("a cold member that is {factor:d} times slower begins")
def step_cold(context, factor):
    start = choose_start(cold_left=3.0)
    context.runs = [Run(seed=seed, start=start, reference=0.025) for seed in SEEDS]
    for run in context.runs:
        assert run.limit.limit == 1
        mean, limits = run.pass_time(3, slowdown=factor)
        assert mean < 3, limits


@then("a new member has limits of 1, 2, 4 and 6 in turn")
def step_new(context):
    for seed in SEEDS:
        _, limits = Run(seed=seed, start=choose_start(cold_left=0, age=1.0)).pass_time(2)
        assert limits == [1, 2, 4, 6], limits


@then("a new owner in the middle of a rise begins at 1 if the member is cold, else at its slots")
def step_new_owner(context):
    run = Run(seed=1, start=choose_start(cold_left=1.0))
    while run.limit.limit < 2:
        run.pass_time(0.001)
    for cold_left, first in ((0.9, 1), (0.0, 5)):
        limit = PaceLimit(upper=6, slots=5, start=choose_start(cold_left=cold_left))
        assert limit.limit == first
        run.owner.limit = run.limit = limit
        run.pass_time(1)
        assert limit.limit == run.upper


@then("it begins at 1 if it is cold, new, newly promoted or back after failures")
def step_starts(context):
    for expected, times in (
        (TargetStart.COLD, {"cold_left": 0.1, "since_failure": 0.0}),
        (TargetStart.NEW, {"cold_left": 0.0, "age": 1.0}),
        (TargetStart.PROMOTED, {"cold_left": 0.0, "since_promotion": 1.0, "age": 1.0}),
        (TargetStart.RETURNED, {"cold_left": 0.0, "since_failure": 1.0}),
        (TargetStart.WARM, {"cold_left": 0.0, "age": 60.0, "since_failure": 60.0}),
    ):
        assert choose_start(**times) is expected, (expected, times)
        limit = PaceLimit(upper=6, slots=5, start=expected)
        assert limit.limit == (5 if expected is TargetStart.WARM else 1)


@then("one round of shed answers halves the limit once, and abandoned ones leave it")
def step_one_round(context):
    limit = PaceLimit(upper=6, slots=6, start=TargetStart.WARM)
    for outcome, expected in ((TurnOutcome.ABANDONED, 6), (TurnOutcome.SHED, 3)):
        for _ in range(6):
            limit.started(0.0)
        for _ in range(6):
            limit.finished(0.0, 0.01, outcome)
        assert limit.limit == expected, (limit.limit, outcome)
    assert limit.reason == "shed"
    assert answer(limit, 2, 0.01, TurnOutcome.SHED) == [1, 1]
    limit = PaceLimit(upper=6, slots=6, start=TargetStart.NEW)
    assert answer(limit, 1, 0.01) == [2] and answer(limit, 1, 0.01, TurnOutcome.SHED) == [1]
    assert answer(limit, 4, 0.01) == [2, 2, 2, 3]  # no longer doubling


@then("a healthy member that loses {percent:g} percent of its answers keeps its limit of 6")
def step_lost_answers(context, percent):
    limit = PaceLimit(upper=6, slots=5, start=TargetStart.WARM)
    answer(limit, 20, 0.01)
    every = round(100 / percent)
    for number in range(20 * every):
        outcome = TurnOutcome.OK if number % every else TurnOutcome.FAILED
        assert answer(limit, 1, 0.01, outcome) == [6], (number, limit.limit)


@then("changes of the limit are reported at most once a second, with the reason")
def step_reported(context):
    limit = PaceLimit(upper=6, slots=6, start=TargetStart.WARM)
    assert limit.take_change(0.0) == PaceChange(limit=6, lowest=6, reason="warm")
    for count, outcome in ((4, TurnOutcome.FAILED), (30, TurnOutcome.OK)):
        answer(limit, count, 0.01, outcome, at=0.1)
        assert limit.take_change(0.5) is None
    assert limit.take_change(1.0) == PaceChange(limit=6, lowest=1, reason="failed")
    assert limit.take_change(9.0) is None


@then("the setting pace is on, off, or refused")
def step_setting(context):
    path = Path(context.stack.enter_context(tempfile.TemporaryDirectory())) / "host.toml"
    for value, expected in ((None, True), ('"on"', True), ('"off"', False)):
        path.write_text(TOML + (f"[wagtailloft]\npace = {value}\n" if value else ""))
        assert settings_file.load(str(path)).adaptive_pace is expected, value
    for value in ('"fast"', "true", "1"):
        path.write_text(f"{TOML}[wagtailloft]\npace = {value}\n")
        try:
            settings_file.load(str(path))
        except FixSettings as exc:
            assert "pace" in str(exc), exc
        else:
            raise AssertionError(value)

"""Steps for statements that a dispatcher sends to members of a played group, in virtual time."""

import asyncio
import math
from collections import Counter
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.captured_log import captured_log
from features.steps.placement import OTHER_ZONE, RULE, ZONE
from features.virtual_time import run_virtual
from wagtailloft.clock import now
from wagtailloft.controllers.target_loads import AttemptResult
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementResponse, TargetLoad
from wagtailloft.fleet.records import PrimaryAssignment, Target
from wagtailloft.groups.dispatch import Dispatcher, StatementContext
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.metrics import Metrics
from wagtailloft.models import Position
from wagtailloft.sessions.statements import Statement, StatementResult, Verb

ROUND_TRIP_S = {ZONE: 0.001, OTHER_ZONE: 0.011}


class PlayedGroup:
    """A group of a primary p and replicas r and s, with the directory and relay of one host.

    Members are up to date and answer after a fixed time, unless a test sets their faults.
    """

    def __init__(self, *, p=ZONE, s=OTHER_ZONE):
        """Take the zones of p and s; r is in this host's zone."""
        zones = {"p": p, "r": ZONE, "s": s}
        self.members = {
            n: Target(name=n, group="g", address="1.1.1.1:1", zone=z, slots=4)
            for n, z in zones.items()
        }
        self.kinds, self.loads, self.hung, self.behind = {}, {}, set(), set()
        self.behind_for, self.began = math.inf, None
        self.work = dict.fromkeys(zones, 0.01)
        self.sent, self.has_primary, self.ordered = [], True, ()
        self._samples = PositionSamples()
        self.cache = SimpleNamespace(assignments_age=lambda: 0.0)
        self.dispatcher = Dispatcher(
            directory=self, relay=self, sample_exchange=self, zone=ZONE, metrics=Metrics()
        )
        self.dispatcher._rng.seed(3)

    def primary(self, group):
        """Return the primary, unless a failover is in progress."""
        return self.members["p"] if self.has_primary else None

    def assignment_or_initial(self, group):
        """Return the assignment of the primary, not settled during a failover."""
        return PrimaryAssignment(
            group=group, epoch=1, settled=self.has_primary, primary="p", ordered=self.ordered
        )

    def accepts_new_work(self, target):
        """Accept work at all members."""
        return True

    def targets(self, group):
        """Return all members."""
        return tuple(self.members.values())

    def target(self, group, name):
        """Return a member."""
        return self.members[name]

    def samples(self, group):
        """Return the samples, with one that is usable for every read."""
        at = now()
        for age in (1.0, 0.5):
            self._samples.add(at - age, Position(term=1, index=int((at - age) * 100)))
        return self._samples

    def lags(self, name):
        """Tell whether a member lags."""
        self.began = self.began or now()
        return name in self.behind and now() < self.began + self.behind_for

    async def fetch(self, group, max_age):
        """Have no other host to ask for samples."""
        return False

    def owners(self, target):
        """Return the owner of all links."""
        return (SimpleNamespace(name="h1"),)

    async def run(self, owner, request):
        """Run a statement at a member, as the owner of its links does."""
        name = request.target
        self.sent.append((now(), name))
        if name in self.hung:
            await asyncio.sleep(request.budget)
            return StatementResponse(outcome=StatementResult(kind=Kind.NO_ANSWER))
        kind = self.kinds.get(name)
        if kind is None and request.bound.min_position and self.lags(name):
            kind = Kind.TARGET_BEHIND
        await asyncio.sleep(ROUND_TRIP_S[self.members[name].zone] + self.work[name] * (not kind))
        return StatementResponse(outcome=StatementResult(kind=kind), load=self.loads.get(name))

    async def send(self, verb=Verb.READ, rule=RULE):
        """Send one statement through the dispatcher; return its result and its time."""
        began = now()
        bound = BoundStatement(request_id="x", statement=Statement(verb=verb))
        context = StatementContext(rule=rule, team="t")
        return await self.dispatcher.run_single(context, bound), now() - began

    async def begin(self):
        """Open a read-only transaction; return its result and its time."""
        began = now()
        bound = BoundStatement(request_id="x", statement=Statement(verb=Verb.BEGIN_READ))
        context = StatementContext(rule=RULE, team="t")
        outcome, _ = await self.dispatcher.begin(context, bound)
        return outcome, now() - began

    async def send_spaced(self, count, spacing, **statement):
        """Send statements at a fixed interval, and return their results and times."""
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.create_task(self.send(**statement)))
            await asyncio.sleep(spacing)
        return await asyncio.gather(*tasks)

    def counts(self):
        """Return how many statements were sent to each member."""
        return Counter(name for _, name in self.sent)


@given("a played group")
def step_played_group(context):
    context.group = PlayedGroup()


@given("a played group whose primary is in another zone")
def step_played_group_far(context):
    context.group = PlayedGroup(p=OTHER_ZONE, s=ZONE)


@given("both replicas lag")
def step_lag(context):
    context.group.behind = {"r", "s"}


@given("the replica in this zone answers {kind} to everything")
def step_fault(context, kind):
    context.group.kinds["r"] = Kind(kind)


@when("{count:d} reads are sent, one every {spacing:g} s")
def step_send_reads(context, count, spacing):
    context.answers = run_virtual(context.group.send_spaced(count, spacing))


@then("all are answered within {limit:g} s")
def step_all_answered(context, limit):
    slow = [(r.kind, s) for r, s in context.answers if not r.ok or s > limit]
    assert not slow, slow


@then("all were served by the primary, after at most {count:d} attempts at replicas")
def step_few_in_vain(context, count):
    counts = context.group.counts()
    assert counts["p"] == len(context.answers), counts
    assert counts["r"] + counts["s"] <= count, counts


@when("the replica in this zone hangs, and {count:d} reads are sent, one every {spacing:g} s")
def step_hang(context, count, spacing):
    context.group.hung = {"r"}
    step_send_reads(context, count, spacing)


@when("a read of {work:g} s is sent")
def step_slow_read(context, work):
    context.group.work = dict.fromkeys(context.group.work, work)
    step_send_reads(context, 1, 0.0)


@then("none is answered within {limit:g} s")
def step_none_early(context, limit):
    assert all(seconds > limit for _, seconds in context.answers), context.answers


def report(group, names, waits):
    """Let members report waits, in seconds, with every answer."""
    load = TargetLoad(waits_ms=tuple(int(1000 * w) for w in waits), service_ms=10)
    group.loads.update(dict.fromkeys(names, load))


@given("all members report waits of {p0:g}, {p1:g}, {p2:g} s to requests of priority 0, 1 and 2")
def step_all_wait(context, p0, p1, p2):
    report(context.group, "prs", (p0, p1, p2))


@given("the primary reports a wait of {seconds:g} s")
def step_primary_waits(context, seconds):
    report(context.group, "p", (seconds,) * 3)
    run_virtual(context.group.send(Verb.WRITE))
    context.group.sent.clear()


@given("both replicas lag, and catch up after {seconds:g} s")
def step_lag_for(context, seconds):
    context.group.behind, context.group.behind_for = {"r", "s"}, seconds


async def warm_up(group, statement):
    """Hear every member's report, by writes at the primary and reads at replicas."""
    await group.send(**{**statement, "verb": Verb.WRITE})
    for name in "rs":
        group.dispatcher._loads.observe(
            name, result=AttemptResult.OK, load=group.loads[name], at=now()
        )
    group.sent.clear()


@when("a {verb:w} of priority {priority:d} is sent, then {count:d} more, one every {spacing:g} s")
def step_burst(context, verb, priority, count, spacing):
    rule = msgspec.structs.replace(RULE, priority=priority)
    statement = {"verb": Verb(verb), "rule": rule}

    async def run():
        await warm_up(context.group, statement)
        return await context.group.send_spaced(count, spacing, **statement)

    with captured_log() as lines:
        context.answers = run_virtual(run())
    context.events = [fields for name, fields in lines if name == "refused_early"]


@then(
    "{refused:w} of the 50 are refused as deadline within {limit:g} s, "
    "to be retried in {least:g} to {most:g} s"
)
def step_refused_early(context, refused, limit, least, most):
    early = [r for r, seconds in context.answers if r.kind is Kind.DEADLINE and seconds <= limit]
    assert len(early) == (len(context.answers) if refused == "all" else 0), context.answers
    waits = [float(r.detail.removeprefix("retry in ").removesuffix(" ms")) / 1000 for r in early]
    assert all(least <= w <= most for w in waits) and (not waits or len(set(waits)) > 5), waits
    context.refused = len(early)


@then("refused ones were sent to no member, and are logged at most {count:d} times")
def step_not_sent(context, count):
    assert len(context.group.sent) == len(context.answers) - context.refused, context.group.sent
    assert len(context.events) <= count, context.events
    assert bool(context.events) == bool(context.refused), context.events


@when("a write of priority 1 is sent, and {seconds:g} s later another")
def step_two_writes(context, seconds):
    run_virtual(context.group.send_spaced(2, seconds, verb=Verb.WRITE))


@then("both were sent")
def step_both_sent(context):
    assert len(context.group.sent) == 2, context.group.sent


@when("{count:d} reads are sent, one every {spacing:g} s, while the primary reports that")
def step_send_reported(context, count, spacing):
    async def run():
        reads = asyncio.create_task(context.group.send_spaced(count, spacing))
        while not reads.done():
            load = context.group.loads["p"]
            context.group.dispatcher._loads.observe(
                "p", result=AttemptResult.OK, load=load, at=now()
            )
            await asyncio.sleep(0.1)
        return await reads

    context.answers = run_virtual(run())


@then("at most {count:d} was sent to the primary")
def step_few_at_primary(context, count):
    assert context.group.counts()["p"] <= count, context.group.counts()


@then("all but {count:d} are refused as deadline before their deadline")
def step_refused_before_deadline(context, count):
    early = [r for r, s in context.answers if r.kind is Kind.DEADLINE and s < RULE.timeout - 0.05]
    assert len(early) >= len(context.answers) - count, context.answers


async def fail_over(group, seconds):
    """Order a promotion at once, and end the failover after some time."""
    group.has_primary, group.ordered = False, ("r",)
    await asyncio.sleep(seconds)
    group.has_primary, group.ordered = True, ()


def write(group, time_left):
    """Return a write of a route with the given timeout."""
    rule = msgspec.structs.replace(RULE, timeout=time_left)
    return group.send(Verb.WRITE, rule)


@given("a failover whose promotion took {seconds:g} s while writes waited")
def step_past_failover(context, seconds):
    async def run():
        return await asyncio.gather(
            fail_over(context.group, seconds), write(context.group, seconds + 0.2)
        )

    _, (outcome, _) = run_virtual(run())
    assert outcome.ok
    context.group.sent.clear()


@when("a failover begins, and writes with {first:g} s and {second:g} s left are sent")
def step_failover_writes(context, first, second):
    context.group.has_primary = False
    context.timeouts = (first, second)

    async def run():
        return await asyncio.gather(write(context.group, first), write(context.group, second))

    context.answers = run_virtual(run())


@when("a failover begins whose promotion is ordered, and ends after {seconds:g} s")
def step_ordered_failover(context, seconds):
    async def run():
        return await asyncio.gather(fail_over(context.group, seconds), write(context.group, 0.3))

    _, context.answer = run_virtual(run())


@then("a write with {left:g} s left is served")
def step_write_served(context, left):
    assert context.answer[0].ok and context.answer[1] < left, context.answer


@then("the first is refused as no_primary at once, and the other when {left:g} s are left")
def step_refused_in_time(context, left):
    (first, at_once), (second, later) = context.answers
    assert first.kind is second.kind is Kind.NO_PRIMARY, context.answers
    assert at_once < 0.001 and abs(context.timeouts[1] - later - left) < 0.07, context.answers


@then("no write was sent to a member")
def step_none_sent(context):
    assert not context.group.sent, context.group.sent


@then("both are refused as no_primary at their deadline")
def step_refused_at_deadline(context):
    for (outcome, seconds), timeout in zip(context.answers, context.timeouts, strict=True):
        assert outcome.kind is Kind.NO_PRIMARY and abs(seconds - timeout) < 0.05, context.answers


@when("{count:d} read-only transactions are opened, one every {spacing:g} s")
def step_begin(context, count, spacing):
    async def run():
        answers = []
        for _ in range(count):
            answers.append(await context.group.begin())
            await asyncio.sleep(spacing)
        return answers

    context.answers = run_virtual(run())


@then("at most {count:d} were sent to the replica in this zone")
def step_few_at_replica(context, count):
    assert context.group.counts()["r"] <= count, context.group.counts()


@given("there is no primary, and all members answer no_owner for {seconds:g} s")
def step_no_primary_no_owner(context, seconds):
    group = context.group
    group.has_primary = False
    group.kinds.update(dict.fromkeys("prs", Kind.NO_OWNER))
    run = group.run

    async def run_later(owner, request):
        group.began = group.began or now()
        if now() > group.began + seconds:
            group.kinds.clear()
        return await run(owner, request)

    group.run = run_later


@given("both replicas lag, and only s catches up after {seconds:g} s")
def step_one_catches_up(context, seconds):
    group = context.group
    group.members["s"] = msgspec.structs.replace(group.members["s"], zone=OTHER_ZONE)
    group.behind, lags = {"r", "s"}, group.lags
    group.lags = lambda name: lags(name) and (name == "r" or now() < group.began + seconds)


@then("s was sent at least {count:d} reads")
def step_sent_to_s(context, count):
    assert context.group.counts()["s"] >= count, context.group.counts()

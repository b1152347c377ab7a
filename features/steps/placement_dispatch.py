"""Steps for statements that a dispatcher sends to members of a played group, in virtual time."""

import asyncio
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from features.steps.placement import OTHER_ZONE, RULE, ZONE
from features.virtual_time import run_virtual
from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementResponse
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
        if kind is None and request.bound.min_position and name in self.behind:
            kind = Kind.TARGET_BEHIND
        await asyncio.sleep(ROUND_TRIP_S[self.members[name].zone] + self.work[name] * (not kind))
        return StatementResponse(outcome=StatementResult(kind=kind), load=self.loads.get(name))

    async def send(self, verb=Verb.READ, rule=RULE):
        """Send one statement through the dispatcher; return its result and its time."""
        began = now()
        bound = BoundStatement(request_id="x", statement=Statement(verb=verb))
        context = StatementContext(rule=rule, team="t")
        return await self.dispatcher.run_single(context, bound), now() - began

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

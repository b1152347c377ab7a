"""Steps for the choice among members by load and failures, without a network."""

import random
from collections import Counter

import msgspec
from behave import given, then, when

from wagtailloft.controllers.target_loads import AttemptResult, TargetLoads
from wagtailloft.fleet.messages import TargetLoad
from wagtailloft.fleet.records import Freshness, RouteRule, Target
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.groups.target_choice import GroupSnapshot, StatementNeeds, choose
from wagtailloft.models import Position

RULE = RouteRule(database="d", group="g", freshness=Freshness.BOUNDED, max_age=1.5, timeout=1.0)
ZONE, OTHER_ZONE = "z0", "z1"


class PlacementModel:
    """One host's view of a group of three members, p, r and s; p is primary."""

    def __init__(self, **zones):
        """Take the zone of each member."""
        self.targets = {
            n: Target(name=n, group="g", address="1.1.1.1:1", zone=z, slots=4)
            for n, z in zones.items()
        }
        self.loads, self.samples = TargetLoads(), PositionSamples()
        self.rng, self.at = random.Random(7), 100.0
        self.owners = dict.fromkeys(self.targets, "h1")

    def choose(self, **needs):
        """Choose a member for a read, or for a statement with other needs."""
        self.samples.add(self.at, Position(term=1, index=int(self.at * 100)))
        snapshot = GroupSnapshot(
            targets=tuple(self.targets.values()),
            primary=self.targets.get("p"),
            zone=ZONE,
            loads=self.loads,
        )
        needs = StatementNeeds(**{"rule": RULE, "writes": False, **needs})
        return choose(needs, snapshot, self.samples, self.at, self.rng)

    def run(self, name, result=AttemptResult.OK, *, wait_ms=None, service_ms=15, seconds=None):
        """Send a statement to a member, and take its result and report."""
        self.loads.sent(name, self.owners[name], self.at)
        self.loads.returned(name)
        load = wait_ms is not None and TargetLoad(waits_ms=(wait_ms,) * 3, service_ms=service_ms)
        self.loads.observe(name, result=result, load=load or None, at=self.at)
        if seconds is not None:
            self.loads.observe_answer_time(name, priority=1, seconds=seconds, at=self.at)


@given("a group whose primary is in this zone, with a replica in this zone and one in another")
def step_group(context):
    context.model = PlacementModel(p=ZONE, r=ZONE, s=OTHER_ZONE)
    context.model.samples.add(98.9, Position(term=1, index=1))


@given("a group whose primary is in another zone, with two replicas in this zone")
def step_group_two_replicas(context):
    context.model = PlacementModel(p=OTHER_ZONE, r=ZONE, s=ZONE)
    context.model.samples.add(98.9, Position(term=1, index=1))


@given("all members report no load, and answer after {seconds:g} s if they are in another zone")
def step_near_zones(context, seconds):
    for name, target in context.model.targets.items():
        for _ in range(10):
            near = target.zone == ZONE
            context.model.run(name, wait_ms=0, seconds=0.0004 if near else seconds)


@given("the replica in this zone and the primary report a wait of {seconds:g} s")
def step_queue(context, seconds):
    for name in "rp":
        context.model.run(name, wait_ms=int(seconds * 1000))


@given("the replicas report waits of {first:g} s and {second:g} s, and the primary one of 1 s")
def step_two_queues(context, first, second):
    context.model.run("r", wait_ms=int(first * 1000))
    context.model.run("s", wait_ms=int(second * 1000))
    context.model.run("p", wait_ms=1000)


@when("{count:d} reads are placed")
def step_place(context, count):
    choices = [context.model.choose() for _ in range(count)]
    context.placed = Counter(c.target for c in choices)


@when("the replica in this zone leaves, and {count:d} reads are placed")
def step_leave_and_place(context, count):
    replica = context.model.targets["r"]
    context.model.targets["r"] = msgspec.structs.replace(replica, leaving=True)
    step_place(context, count)


@when("{seconds:g} s pass without a report, and {count:d} reads are placed")
def step_pass_and_place(context, seconds, count):
    context.model.at += seconds
    step_place(context, count)


@when("both get another owner, and {count:d} reads are placed")
def step_owner_and_place(context, count):
    for name in "rp":
        context.model.owners[name] = "h2"
        context.model.run(name)
    step_place(context, count)


@then("all go to the replica in this zone")
def step_all_near(context):
    assert set(context.placed) == {"r"}, context.placed


@then("all go to the replica in the other zone")
def step_all_far(context):
    assert set(context.placed) == {"s"}, context.placed


@then("all go to the primary")
def step_all_primary(context):
    assert set(context.placed) == {"p"}, context.placed


@then("each replica gets at least {count:d} of them")
def step_both(context, count):
    assert min(context.placed["r"], context.placed["s"]) >= count, context.placed

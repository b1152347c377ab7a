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
        self.waits_ms = Counter()
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

    def review(self):
        """Eject and readmit members; return the names of all that are ejected."""
        self.loads.review(tuple(self.targets), self.at)
        return {n for n in self.targets if self.loads.is_ejected(n)}

    def play(self, seconds, rate, failing=()):
        """Place and run reads for a while; return the time and member of each."""
        sent = []
        for _ in range(int(seconds * rate)):
            self.at += 1 / rate
            name = self.choose().target
            failed = name in failing
            self.run(
                name,
                AttemptResult.FAILED if failed else AttemptResult.OK,
                wait_ms=self.waits_ms[name],
            )
            self.review()
            sent.append((self.at, name))
        return sent


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


@given("the replica in this zone has answered {count:d} statements after {seconds:g} s or more")
def step_answered(context, count, seconds):
    for number in range(count):
        context.model.run("r", wait_ms=0, seconds=seconds + 0.01 * number)


@given("one replica answers after {seconds:g} s or more, the other {more:g} s later")
def step_slow_way(context, seconds, more):
    for number in range(20):
        context.model.run("r", wait_ms=0, seconds=seconds + 0.01 * number)
        context.model.run("s", wait_ms=0, seconds=seconds + more + 0.01 * number)


@given("the replica in this zone and the primary report a wait of {seconds:g} s")
def step_queue(context, seconds):
    for name in "rp":
        context.model.run(name, wait_ms=int(seconds * 1000))


@given("the other members have a wait of {seconds:g} s")
def step_others_wait(context, seconds):
    context.model.waits_ms.update(dict.fromkeys("ps", int(seconds * 1000)))
    for name in "ps":
        context.model.run(name, wait_ms=context.model.waits_ms[name])


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
@then("all go to the replica with the shorter way")
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


@when("one replica fails every statement for {seconds:g} s of {rate:d} reads a second")
def step_fail_all(context, seconds, rate):
    sent = context.model.play(seconds, rate, failing=("r",))
    context.attempts = [at for at, name in sent if name == "r"]


@then("it was ejected after {count:d} failures, and got at most {probes:d} probes")
def step_ejected(context, count, probes):
    assert context.model.loads.is_ejected("r")
    assert count < len(context.attempts) <= count + probes, context.attempts


@then("it got at most {count:d} statements")
def step_few_attempts(context, count):
    assert len(context.attempts) <= count, context.attempts


@then("no probe followed another within {seconds:g} s")
def step_probe_interval(context, seconds):
    probes = context.attempts[2:]
    gaps = [b - a for a, b in zip(probes, probes[1:], strict=False)]
    assert min(gaps) >= seconds - 1e-6, gaps


@when("it recovers, and {seconds:g} s more pass")
def step_recover(context, seconds):
    context.recovered_at = context.model.at
    context.after = [at for at, name in context.model.play(seconds, 20) if name == "r"]


@then("it was readmitted within {seconds:g} s of its recovery")
def step_readmitted(context, seconds):
    assert not context.model.loads.is_ejected("r")
    later = [at for at in context.after if at > context.recovered_at + seconds]
    assert len(later) > 30, context.after


@when("one replica fails one statement of 20")
def step_fail_once(context):
    for number in range(20):
        context.model.at += 0.05
        failed = number == 10
        context.model.run("r", AttemptResult.FAILED if failed else AttemptResult.OK, wait_ms=0)
        context.model.run("s", wait_ms=0)
        assert not context.model.review()


@when("the members report service times of {p:g} s, {r:g} s and {s:g} s")
def step_service_times(context, p, r, s):
    for name, seconds in {"p": p, "r": r, "s": s}.items():
        context.model.run(name, wait_ms=0, service_ms=int(seconds * 1000))
    context.ejected = context.model.review()


@then("only the replica in this zone is ejected")
def step_only_r_ejected(context):
    assert context.ejected == {"r"}, context.ejected


@then("no member is ejected")
def step_none_ejected(context):
    assert not context.model.review()


@given("both replicas shed every second statement, and the primary reports a wait of {wait:g} s")
def step_both_shed(context, wait):
    for number in range(20):
        for name in "rs":
            shed = number % 2
            context.model.run(name, AttemptResult.FAILED if shed else AttemptResult.OK, wait_ms=20)
    context.model.run("p", wait_ms=int(wait * 1000))
    assert context.model.review() == {"r", "s"}


@given("both replicas failed their last {count:d} statements")
def step_both_failed(context, count):
    for name in "rs" * count:
        context.model.run(name, AttemptResult.FAILED)
    assert context.model.review() == {"r", "s"}


@then("none go to the primary")
def step_none_primary(context):
    assert not context.placed["p"], context.placed


@then("all but probes go to the primary")
def step_primary_and_probes(context):
    assert context.placed["p"] >= 198, context.placed


@then("the primary is checked after {seconds:g} s without a sign of life")
def step_checked_after(context, seconds):
    limit = context.model.loads.unresponsive_after("p")
    assert abs(limit - seconds) < 1e-6, limit


@when("{count:d} read-only transactions are placed")
def step_place_transactions(context, count):
    choices = [context.model.choose(opens_transaction=True) for _ in range(count)]
    context.placed = Counter(c.target for c in choices)


@when("that replica is ejected and its probe due, and {count:d} read-only transactions are placed")
def step_eject_and_place(context, count):
    for _ in range(5):
        context.model.run("r", AttemptResult.FAILED)
    assert context.model.review() == {"r"}
    context.model.at += 1.0
    assert context.model.choose().target == "r"
    step_place_transactions(context, count)


@when("the replica in this zone fails {count:d} transactions, and {seconds:d} s of others follow")
def step_fail_transactions(context, count, seconds):
    model = context.model
    for _ in range(count):
        model.run("r", AttemptResult.FAILED)
    assert model.review() == {"r"}
    for _ in range(10 * seconds):
        model.at += 0.1
        model.run(model.choose(opens_transaction=True).target)
        model.review()


@when("the primary gets another owner, and the earlier one reports a wait of {seconds:d} s")
def step_late_report(context, seconds):
    model = context.model
    model.run("p", wait_ms=0)
    model.owners["p"] = "h2"
    model.run("p", wait_ms=0)
    load = TargetLoad(waits_ms=(seconds * 1000,) * 3, service_ms=15)
    model.loads.observe("p", result=AttemptResult.OK, load=load, at=model.at, owner="h1")


@then("a write is placed at the primary")
def step_write_placed(context):
    choice = context.model.choose(writes=True, time_left=1.0)
    assert getattr(choice, "target", "") == "p", choice

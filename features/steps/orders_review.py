"""Steps for failovers that go on after their claim, order or record was replaced or lost."""

from unittest.mock import patch

from behave import given, then, when

from features import ordered_group
from features.ordered_group import OrderedFleet, OrderingHost, OrderingStore
from features.restored_store import GROUP, MEMBERS
from wagtailloft import clock
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import Configuration, GroupRule, PrimaryAssignment, TeamRule, Topic
from wagtailloft.groups.record_repair import ASSIGNMENT_PREFIX
from wagtailloft.models import Position, Role

OLD_PRIMARY, REPLICAS = MEMBERS[0], MEMBERS[1:]
KNOWN_S = 14.0  # until the hosts are counted in majorities
STEP_S = 0.004
MAX_WAIT_S = 30.0


class PartedFleet(OrderedFleet):
    """A fleet whose old primary may be unable to reach the new one."""

    parted = False

    def _follow_now(self, member):
        if self.parted and member.name == OLD_PRIMARY:
            self._follow(member)
        else:
            super()._follow_now(member)


class SynchronousFleet(PartedFleet):
    """A fleet whose group acknowledges a commit once a replica has it.

    acknowledged is the last position that was acknowledged, which the hosts report.
    """

    acknowledged = Position(term=1, index=7)

    def _write_settings(self):
        team = TeamRule(name="t", rate=1.0, burst=1.0, keys=tuple(self.keys), priority=1)
        group = GroupRule(name=GROUP, sync_replicas=1)
        value = Configuration(version=self.operator_version, groups=(group,), teams=(team,))
        self.store.write(Topic.SETTINGS, "main", value)


class RefusingStore(OrderingStore):
    """Access to a store that refuses the records of some orders, or of all settled primaries."""

    refusals = 0
    refuses_settled = False

    async def put(self, topic, name, value, revision):
        """Write an object at a revision, unless it is to be refused."""
        if isinstance(value, PrimaryAssignment):
            if value.settled and RefusingStore.refuses_settled:
                raise StoreDown("refused")
            if RefusingStore.refusals and value.order_epoch == value.epoch:
                RefusingStore.refusals -= 1
                raise StoreDown("refused")
        return await super().put(topic, name, value, revision)


def stored(fleet):
    """Return the group's assignment in the store."""
    return fleet.store.objects[(Topic.FLEET, ASSIGNMENT_PREFIX + GROUP)].value


def wait_until(fleet, condition):
    """Let time pass until a condition holds."""
    until = clock.now() + MAX_WAIT_S
    while not condition():
        assert clock.now() < until, "not met in time"
        fleet.advance(STEP_S)


def wait_for_order(fleet):
    """Wait until the next order is sent; return the number of the host that sent it."""
    fleet.last_ordered = ""
    wait_until(fleet, lambda: fleet.last_ordered)
    return number_of(fleet, stored(fleet).claimant)


def number_of(fleet, process):
    """Return the number of the host that runs a process."""
    return next(n for n, h in enumerate(fleet.hosts) if h.hosts.own.process_name == process)


def wrong_uses(fleet):
    """Return the violations that are not about tokens."""
    return [v for v in fleet.violations if " may use " in v]


def start(context, fleet_type):
    """Start a fleet, and wait until its hosts count in majorities."""
    RefusingStore.refusals, RefusingStore.refuses_settled = 0, False
    context.stack.enter_context(patch.object(ordered_group, "OrderingStore", RefusingStore))
    context.fleet = fleet_type(seed=1)
    context.stack.callback(context.fleet.close)
    context.fleet.advance(KNOWN_S)
    assert context.fleet.agree() == OLD_PRIMARY


@given("a model of a group whose hosts have long known each other")
def step_known(context):
    start(context, PartedFleet)


@given("a model of a group with a synchronous replica")
def step_synchronous(context):
    async def fence(host, assignment, immediate):
        return host.fleet.acknowledged

    context.stack.enter_context(patch.object(OrderingHost, "_fence", fence))
    start(context, SynchronousFleet)


@when("the coordinator is cut off from the other hosts, and a successor promotes another member")
def step_cut_coordinator(context):
    fleet = context.fleet
    context.cut_host = next(n for n, h in enumerate(fleet.hosts) if h.coordinator._is_coordinator())
    fleet.parted = True
    fleet.cut(context.cut_host, 40.0)
    fleet.advance(1.0)
    fleet.cut_member(OLD_PRIMARY, 14.2)
    fleet.suspect(context.cut_host)
    wait_until(fleet, lambda: fleet.primary != OLD_PRIMARY and stored(fleet).settled)
    assert stored(fleet).primary == fleet.primary and not fleet.violations, fleet.violations


@when("the coordinator's own failover ends, and it finds only the old primary")
def step_late_end(context):
    fleet = context.fleet
    fleet.advance(5.0)
    for member in REPLICAS:
        fleet.cut_member(member, 5.0)
    until = clock.now() + 6.0
    while clock.now() < until and stored(fleet).primary != OLD_PRIMARY:
        fleet.advance(STEP_S)
    assert not fleet.hosts[context.cut_host].coordinator._failovers


@then("a host that starts within a second of that uses no replaced primary")
def step_started_host(context):
    fleet = context.fleet
    fleet.restart(next(n for n in range(len(fleet.hosts)) if n != context.cut_host))
    fleet.advance(3.0)
    assert not wrong_uses(fleet), (wrong_uses(fleet)[:3], stored(fleet))


@when("an order is rejected, and 12 s later the store refuses the record of the next one")
def step_refused_record(context):
    fleet = context.fleet
    fleet.cut_member(OLD_PRIMARY, 60.0)
    fleet.suspect(0)
    wait_for_order(fleet)
    context.target = fleet.last_ordered
    others = [m for m in REPLICAS if m != context.target]
    fleet.cut_member(others[0], 15.0)
    fleet.members[context.target].dark = True
    fleet.advance(12.0)
    fleet.members[context.target].dark = False
    fleet.order_faults.append((6.0, False))
    RefusingStore.refusals = 1


@when("the order after that takes 6 s and is not answered, and its sender freezes")
def step_frozen_sender(context):
    fleet = context.fleet
    sender = wait_for_order(fleet)
    assert not RefusingStore.refusals and fleet.last_ordered == context.target
    fleet.cut_member(context.target, 30.0)
    fleet.pause(sender, 60.0)


@when("an order takes 0.5 s and is not answered, and the process that sent it ends")
def step_ended_sender(context):
    fleet = context.fleet
    fleet.order_faults.append((0.5, False))
    fleet.cut_member(OLD_PRIMARY, 1.6)
    fleet.suspect(0)
    fleet.restart(wait_for_order(fleet))


@when("the primary crashes, and the ordered member is lost for good as it is promoted")
def step_lost_member(context):
    fleet = context.fleet
    fleet.on_promoted.append(lambda name: fleet.darken(name, 600.0))
    fleet.darken_and_suspect(OLD_PRIMARY, 12.0)
    fleet.members[REPLICAS[0]].index = 5
    wait_until(fleet, lambda: fleet.primary != OLD_PRIMARY)
    assert fleet.primary == REPLICAS[1]


@when("the old primary comes back as a replica, while the other replica lacks a commit")
def step_back_as_replica(context):
    context.fleet.members[OLD_PRIMARY].role = Role.REPLICA
    context.fleet.advance(12.0)


@when("a member is promoted, but the store refuses its settled assignment for 10 s")
def step_not_stored(context):
    fleet = context.fleet
    RefusingStore.refuses_settled = fleet.parted = True
    fleet.cut_member(OLD_PRIMARY, 60.0)
    fleet.suspect(0)
    wait_until(fleet, lambda: fleet.primary != OLD_PRIMARY)


@then("no host uses it before the store has the assignment, and all do 30 s later")
def step_stored_first(context):
    fleet = context.fleet
    until = clock.now() + 10.0
    while clock.now() < until:
        fleet.advance(STEP_S)
        assert not any(h.uses(fleet.primary) for h in fleet.hosts), stored(fleet)
    RefusingStore.refuses_settled = False
    fleet.advance(30.0)
    assert fleet.agree() == fleet.primary != OLD_PRIMARY and stored(fleet).settled
    assert not fleet.violations, fleet.violations[:3]


@when("hosts report a commit that the old primary lacks, and the replicas go dark for 60 s")
def step_replicas_lost(context):
    fleet = context.fleet
    fleet.parted = True
    fleet.cut_member(OLD_PRIMARY, 5.0)
    fleet.suspect(0)
    wait_until(fleet, lambda: fleet.primary != OLD_PRIMARY)
    for name in REPLICAS:
        fleet.members[name].term, fleet.members[name].index = fleet.term, 9
    fleet.acknowledged = Position(term=fleet.term, index=9)
    for name in REPLICAS:
        fleet.darken(name, 60.0)


@when("the store loses the record of an accepted order, whose sender ends")
def step_lost_record(context):
    fleet = context.fleet
    fleet.cut_member(OLD_PRIMARY, 1.6)
    fleet.suspect(0)
    sender = wait_for_order(fleet)
    fleet.restore(age=0.08, outage=0.02, restarted=[sender])


@when("the replicas go dark as the order takes effect")
def step_replicas_dark(context):
    fleet = context.fleet
    fleet.on_promoted.append(lambda _: [fleet.darken(m, 8.0) for m in REPLICAS])


@then("no host may use a replaced primary for 20 s")
def step_no_replaced(context):
    context.fleet.advance(20.0)
    assert not wrong_uses(context.fleet), wrong_uses(context.fleet)[:3]


@then("the platform sees no lower token than before in the next 20 s")
def step_tokens(context):
    context.fleet.advance(20.0)
    assert not context.fleet.fallen_tokens, context.fleet.fallen_tokens[:3]
    assert not context.fleet.violations, context.fleet.violations[:3]


@then("only a member with every acknowledged commit is ordered in the next 40 s")
def step_all_commits(context):
    fleet = context.fleet
    earlier = len(fleet.orders)
    fleet.advance(40.0)
    late = [(at, target) for at, target, _, _ in fleet.orders[earlier:] if target == OLD_PRIMARY]
    assert not late, (late, fleet.acknowledged, stored(fleet))


@then("all hosts use the old primary within 30 s")
def step_old_primary_used(context):
    fleet = context.fleet
    fleet.advance(30.0)
    assert fleet.agree() == OLD_PRIMARY, (fleet.agree(), stored(fleet))

"""Steps for promotion orders that take effect late or unseen, against a model of a group."""

from behave import given, then, when
from msgspec.structs import replace

from features.ordered_group import OrderedFleet
from features.restored_store import MEMBERS
from wagtailloft.fleet.records import PrimaryAssignment
from wagtailloft.groups.promotion_orders import PromotionOrders
from wagtailloft.models import Role

OLD_PRIMARY, REPLICAS = MEMBERS[0], MEMBERS[1:]
MAX_ORDER_WAIT_S = 4.0  # until a coordinator has ordered a promotion


@given("a model of hosts and of a group whose promotions take 1 s")
def step_model(context):
    context.fleet = OrderedFleet(seed=1)
    context.stack.callback(context.fleet.close)
    assert context.fleet.agree() == OLD_PRIMARY


def cut_primary(fleet, seconds):
    """Cut the primary off from the hosts, which report it, until a promotion is ordered."""
    fleet.cut_member(OLD_PRIMARY, seconds)
    fleet.suspect(0)
    wait_for_order(fleet, 1)


def wait_for_order(fleet, count):
    """Wait until so many orders have arrived at the platform."""
    for _ in range(int(MAX_ORDER_WAIT_S / 0.01)):
        if len(fleet.orders) >= count:
            return
        fleet.advance(0.01)
    raise AssertionError(f"{len(fleet.orders)} orders after {MAX_ORDER_WAIT_S} s")


@when("the primary is cut off for 1.6 s, and the replicas go dark for 8 s as one is promoted")
def step_replicas_dark(context):
    darken_replicas_once_promoted(context)
    cut_primary(context.fleet, 1.6)


@when("the replicas go dark for 8 s as one is promoted")
def darken_replicas_once_promoted(context):
    fleet = context.fleet
    fleet.on_promoted.append(lambda _: [fleet.darken(m, 8.0) for m in REPLICAS])


@when("the primary is cut off for 1.6 s, all hosts restart 0.5 s after an order was accepted")
def step_all_restart(context):
    cut_primary(context.fleet, 1.6)
    context.fleet.advance(0.5)
    for number in range(len(context.fleet.hosts)):
        context.fleet.restart(number)


@when("an order takes 7 s and is not answered, and its member is cut off from the hosts for 20 s")
def step_order_late(context):
    fleet = context.fleet
    fleet.order_faults.append((7.0, False))
    cut_primary_late(fleet, lambda target: fleet.cut_member(target, 20.0))


@when("the primary is cut off for 1.6 s, and each replica goes dark for 16 s as it is promoted")
def step_each_dark(context):
    fleet = context.fleet

    def darken(name):
        if name in REPLICAS:
            fleet.darken(name, 16.0)
            fleet.on_promoted.append(darken)

    fleet.on_promoted.append(darken)
    cut_primary(fleet, 1.6)


@when(
    "an order takes 8 s and is not answered, a second one is done, and its member goes dark for 2 s"
)
def step_order_repeated(context):
    fleet = context.fleet
    fleet.order_faults.append((8.0, False))
    cut_primary_late(fleet, lambda target: None)
    fleet.on_promoted.append(
        lambda name: fleet._loop.call_later(0.1, fleet.darken_and_suspect, name, 2.0)
    )


def cut_primary_late(fleet, on_ordered):
    """Cut the primary off until an order was sent, which the platform takes later."""
    fleet.cut_member(OLD_PRIMARY, 1.6)
    fleet.suspect(0)
    for _ in range(int(MAX_ORDER_WAIT_S / 0.01)):
        if not fleet.order_faults:
            on_ordered(fleet.last_ordered)
            return
        fleet.advance(0.01)
    raise AssertionError("no order")


@when(
    "the primary is split off from the members, and cut off until all hosts restart after its"
    " replacement"
)
def step_split(context):
    fleet = context.fleet
    fleet.members[OLD_PRIMARY].split = True
    cut_primary(fleet, 30.0)
    fleet.advance(2.0)
    assert fleet.agree() == fleet.primary != OLD_PRIMARY
    for number in range(len(fleet.hosts)):
        fleet.restart(number)
    fleet.members[OLD_PRIMARY].cut = False


@then("the old primary is a replica 4 s later")
def step_demoted(context):
    context.fleet.advance(4.0)
    assert context.fleet.members[OLD_PRIMARY].role is Role.REPLICA
    assert not context.fleet.violations, context.fleet.violations[:3]


@then(
    "no host may use a replaced primary in the next {seconds:d} s, and all use one primary in the"
    " end"
)
def step_one_primary(context, seconds):
    fleet = context.fleet
    fleet.advance(seconds)
    assert not fleet.violations, fleet.violations[:3]
    assert fleet.agree() == fleet.primary, (fleet.agree(), fleet.primary, fleet.orders)


@when("the primary leaves, and {who} restart {seconds:g} s after an order for its successor")
def step_ordering_host_restarts(context, who, seconds):
    fleet = context.fleet
    fleet.leave(OLD_PRIMARY, 60.0)
    wait_for_order(fleet, 1)
    fleet.advance(seconds)
    sender = fleet.orders[0][2]
    hosts = [h for h in fleet.hosts if who == "all hosts" or h.hosts.own.process_name == sender]
    assert hosts, (sender, who)
    for host in hosts:
        fleet.restart(fleet.hosts.index(host))


@when("the successor leaves as soon as all hosts use it")
def step_successor_leaves(context):
    fleet = context.fleet
    for _ in range(1000):
        if fleet.agree() not in (None, OLD_PRIMARY):
            break
        fleet.advance(0.01)
    context.successor = fleet.agree()
    assert context.successor == fleet.primary != OLD_PRIMARY, (context.successor, fleet.primary)
    fleet.leave(context.successor, 60.0)


@then("the successor is replaced within {seconds:d} s")
def step_successor_replaced(context, seconds):
    fleet = context.fleet
    for _ in range(seconds * 100):
        if fleet.primary != context.successor:
            return
        fleet.advance(0.01)
    raise AssertionError(f"{fleet.primary} is still primary: {fleet.orders}")


@when(
    "an order takes 7 s and is not answered, its sender ends, and its member leaves once it leads"
)
def step_repeated_order(context):
    fleet = context.fleet
    fleet.order_faults.append((7.0, False))
    fleet.on_promoted.append(lambda name: fleet.leave(name, 60.0))
    cut_primary_late(fleet, lambda target: None)
    sender = fleet.sent_orders[0].process
    (host,) = [h for h in fleet.hosts if h.hosts.own.process_name == sender]
    fleet.restart(fleet.hosts.index(host))


@given("the record of a single order, written by a process that has ended")
def step_record(context):
    context.orders = PromotionOrders(directory=None, lease=None, promotion_api=None)
    context.record = PrimaryAssignment(
        group="g",
        epoch=2,
        settled=False,
        primary="",
        term=4,
        replaced="m0",
        ordered=("m1",),
        order_epoch=2,
        single_order=True,
    )


@then("the order has been used up if its member leads in a later term, else it may take effect")
def step_used_up(context):
    assert context.orders.remaining(context.record, 5) == ()
    assert context.orders.remaining(context.record, 4) == ("m1",)


@then("it may in any term if the record is not known to be of a single order")
def step_not_single(context):
    for epoch, changes in ((3, {"single_order": False}), (4, {"may_lack_orders": True})):
        record = replace(context.record, order_epoch=epoch, **changes)
        assert context.orders.remaining(record, 5) == ("m1",), record

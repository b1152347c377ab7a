"""Steps for daemons that run although others can't reach them."""

from behave import given, then, when

from features.restored_objects import FIRST_INCARNATION, START_S, ModelDaemons
from wagtailloft.controllers.membership import DEAD_RETENTION_S
from wagtailloft.models import HostState


@when("all daemons are cut off from each other for {seconds:g} s")
def step_all_cut(context, seconds):
    fleet = context.fleet
    for number in range(len(fleet.daemons)):
        fleet.cut(number, seconds)
    fleet.advance(seconds)
    states = [h.state for d in fleet.daemons for h in d.gossip.hosts()]
    assert HostState.DEAD in states, states


@then("within {seconds:g} s every daemon takes all others for alive and hears from a majority")
def step_all_alive(context, seconds):
    fleet = context.fleet
    fleet.advance(seconds)
    for daemon in fleet.daemons:
        states = {h.name: h.state.value for h in daemon.gossip.hosts()}
        assert set(states.values()) == {"alive"}, (daemon.name, states)
        assert daemon.gossip.hears_majority(), daemon.name


@given("a model of {count:d} daemons that know a key")
def step_more_daemons(context, count):
    context.fleet = ModelDaemons(seed=1, count=count)
    context.stack.callback(context.fleet.close)
    context.fleet.add_key(0)
    context.fleet.advance(2.0)


@when("one is cut off from all others, which the platform refuses, and withdraws the key")
def step_withdrawn_while_cut(context):
    fleet = context.fleet
    fleet.daemons[0].side = 1
    for number in range(1, len(fleet.daemons)):
        fleet.refuse(number, 20.0)
    fleet.withdraw_key(0, wait=True)


@when(
    "two are cut off until they are about to be removed as dead, a third joins them, and another"
    " withdraws the key"
)
def step_withdrawn_by_the_rest(context):
    fleet = context.fleet
    (first,) = fleet.daemons[0].gossip.owners("reaper")[:1]
    reaper = next(d for d in fleet.daemons if d.gossip.own().name == first.name)
    others = [d for d in fleet.daemons if d is not reaper]
    for daemon in others[:2]:
        cut_off(fleet, daemon)
    while not reaper.gossip.removable_hosts():
        assert fleet.now < START_S + 20.0 + DEAD_RETENTION_S, "no host is removable"
        fleet.advance(0.05)
    cut_off(fleet, others[2])
    fleet.advance(3.0)
    fleet.withdraw_key(reaper.number, wait=True)


def cut_off(fleet, daemon):
    """Cut a daemon off from the platform and the daemons of the first side."""
    daemon.side = 1
    fleet.refuse(daemon.number, 40.0)


@then("the withdrawal is not confirmed, or no daemon accepts the key {seconds:g} s later")
def step_not_confirmed(context, seconds):
    fleet = context.fleet
    confirmed = [w for w in fleet.withdrawals.values() if w.confirmed_at is not None]
    fleet.advance(seconds + 5.0)
    accepting = [d.name for d in fleet.daemons if d.accepts("k0")]
    assert not (confirmed and accepting), accepting
    wrong = fleet.converge()
    assert not wrong and not fleet.violations, (wrong, fleet.violations[:3])


@when("one restarts at another address after its clock was set back")
def step_clock_set_back(context):
    context.fleet.restart(1, incarnation=1)


@when("one restarts at another address with the incarnation that it had before")
def step_same_incarnation(context):
    context.fleet.restart(1, incarnation=FIRST_INCARNATION)


@then("within {seconds:g} s every daemon knows it at its present address")
def step_known_at_address(context, seconds):
    fleet = context.fleet
    fleet.advance(seconds)
    own = fleet.daemons[1].gossip.own()
    known = {d.name: d.gossip.find(own.name) for d in fleet.daemons}
    assert set(known.values()) == {own}, known
    stored = fleet.platform.objects[("host", own.name)].value
    assert (stored["ip"], stored["incarnation"]) == (own.ip, own.incarnation), stored

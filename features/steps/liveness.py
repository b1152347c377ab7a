"""Steps for daemons that run although others can't reach them."""

from behave import then, when

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


@when("one is cut off from all others, which the platform refuses, and withdraws the key")
def step_withdrawn_while_cut(context):
    fleet = context.fleet
    fleet.daemons[0].side = 1
    for number in range(1, len(fleet.daemons)):
        fleet.refuse(number, 20.0)
    fleet.withdraw_key(0, wait=True)


@then("the withdrawal is not confirmed, or no daemon accepts the key {seconds:g} s later")
def step_not_confirmed(context, seconds):
    fleet = context.fleet
    confirmed = [w for w in fleet.withdrawals.values() if w.confirmed_at is not None]
    fleet.advance(seconds + 5.0)
    accepting = [d.name for d in fleet.daemons if d.accepts("k0")]
    assert not (confirmed and accepting), accepting
    wrong = fleet.converge()
    assert not wrong and not fleet.violations, (wrong, fleet.violations[:3])

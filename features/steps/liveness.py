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

"""Steps that play the load of many hosts on one group."""

from behave import given, then, when

from features.played_load import PlayedLoad


@given("{hosts:d} hosts that use a group whose members take {service:g} s a statement")
def step_hosts(context, hosts, service):
    context.load = PlayedLoad(hosts=hosts, p=service, r=service, s=service)


@given(
    "{hosts:d} hosts that use a group whose members take {service:g} s a statement, "
    "one replica {slow:g} s"
)
def step_hosts_slow(context, hosts, service, slow):
    context.load = PlayedLoad(hosts=hosts, p=service, r=slow, s=service)


@when(
    "they send {rate:d} reads a second for {seconds:g} s, "
    "of the {capacity:d} that the members can run"
)
def step_play(context, rate, seconds, capacity):
    context.results = context.load.play(seconds, rate)


@when("the replica r fails everything, and they send {rate:d} reads a second for {seconds:g} s")
def step_play_failing(context, rate, seconds):
    context.load.fail_share["r"] = 1.0
    context.results = context.load.play(seconds, rate)


def count(context, *, outcome=None, member=None):
    """Return how many reads had an outcome, or went to a member."""
    return sum(
        number
        for (name, result), number in context.results.items()
        if outcome in (None, result) and member in (None, name)
    )


@then("all are served, and the queues of the replicas differ by {limit:g} s on average at most")
def step_balanced(context, limit):
    assert count(context, outcome="ok") == count(context), context.results
    gaps = [abs(r - s) for _, r, s in context.load.waits]
    assert sum(gaps) / len(gaps) <= limit, sum(gaps) / len(gaps)


@then("at least {number:d} are served")
def step_served(context, number):
    assert count(context, outcome="ok") >= number, context.results


@then("at least {times:d} times as many are refused at their hosts as at an owner")
def step_refused_at_hosts(context, times):
    at_hosts = count(context, member="-")
    at_owners = count(context, outcome="refused") - at_hosts
    assert at_hosts >= times * at_owners, context.results


@then("at most {percent:d}% of the reads go to the replica r")
def step_share(context, percent):
    assert count(context, member="r") <= percent / 100 * count(context), context.results


@then("at most {percent:d}% of the reads go to the replica r, and all are served")
def step_share_served(context, percent):
    step_share(context, percent)
    assert count(context, outcome="ok") == count(context), context.results

"""Steps for fairness between teams."""

import threading
import time
from collections import Counter

from behave import given, then, when

from features.test_fleet import GROUP, INSERT
from wagtailloft import WagtailError

PERIOD_S = 0.1


@given("a statement takes {seconds:g} s and {count:d} teams use the group")
def step_teams(context, seconds, count):
    test_fleet = context.test_fleet
    context.teams = [f"team-{n}" for n in range(count)]
    context.keys = []
    for team in context.teams:
        test_fleet.add_team(team, 10_000, 10_000)
        context.keys.append(test_fleet.add_key(team))
    test_fleet.add_route("shared", *context.teams)
    test_fleet.set_level("route:shared", queue_limit="10")
    for member in test_fleet.fleet.members[GROUP]:
        member.control("tune", {"work_s": seconds})
    time.sleep(2)


@when(
    "one team overloads the group with {callers:d} callers while the others send {rate:d} requests "
    "a second each for {seconds:d} s"
)
def step_overload(context, callers, rate, seconds):
    context.outcomes = {team: Counter() for team in context.teams}
    context.refusals = []
    stop = threading.Event()

    def send(team, key, name):
        session = context.test_fleet.session(key=key, route="shared")
        try:
            session.write(INSERT, name, team, deadline=4.0)
        except WagtailError as exc:
            context.outcomes[team][exc.kind.value if exc.kind else "no answer"] += 1
            context.refusals.append((name, exc))
        else:
            context.outcomes[team]["ok"] += 1

    def send_unpaced(number):
        count = 0
        while not stop.is_set():
            count += 1
            send(context.teams[0], context.keys[0], f"p{number}-{count}")

    def send_paced(team, key):
        started = time.monotonic()
        for count in range(rate * seconds):
            time.sleep(max(0.0, started + count / rate - time.monotonic()))
            send(team, key, f"{team}-{count}")

    threads = [threading.Thread(target=send_unpaced, args=(n,)) for n in range(callers)]
    pairs = zip(context.teams[1:], context.keys[1:], strict=True)
    threads += [threading.Thread(target=send_paced, args=pair) for pair in pairs]
    for thread in threads:
        thread.start()
    for thread in threads[callers:]:
        thread.join()
    stop.set()
    for thread in threads[:callers]:
        thread.join()


@then("no request of the others was refused")
def step_others_served(context):
    print(context.outcomes)
    for team in context.teams[1:]:
        assert set(context.outcomes[team]) == {"ok"}, context.outcomes


@then("no request refused as queue_full was run")
def step_queue_full_not_run(context):
    assert context.outcomes[context.teams[0]]["queue_full"] > 0, context.outcomes
    ids_in_log = set(context.test_fleet.ids_in_log())
    wrongly_run = [
        name for name, exc in context.refusals if "queue_full" in str(exc) and name in ids_in_log
    ]
    assert not wrongly_run, wrongly_run

"""Steps of fairness between teams."""

import threading
import time
from collections import Counter

from behave import given, then, when

from features.world import GROUP, INSERT
from wagtailloft import WagtailError

PERIOD_S = 0.1


@given("a statement takes {seconds:g} s and {count:d} teams use the group")
def step_teams(context, seconds, count):
    world = context.world
    context.teams = [f"team-{n}" for n in range(count)]
    context.keys = []
    for team in context.teams:
        world.add_team(team, 10_000, 10_000)
        context.keys.append(world.add_key(team))
    world.add_route("shared", *context.teams)
    world.set_level("route:shared", queue_limit="10")
    for member in world.fleet.members[GROUP]:
        member.control("tune", {"work_s": seconds})
    time.sleep(2)


@when(
    "one team presses with {callers:d} callers while the others send {rate:d} a second each "
    "for {seconds:d} s"
)
def step_press(context, callers, rate, seconds):
    context.told = {team: Counter() for team in context.teams}
    context.notes = []
    stop = threading.Event()

    def send(team, key, name):
        session = context.world.session(key=key, route="shared")
        try:
            session.write(INSERT, name, team, deadline=4.0)
        except WagtailError as exc:
            context.told[team][exc.kind.value if exc.kind else "no answer"] += 1
            context.notes.append((name, exc))
        else:
            context.told[team]["ok"] += 1

    def hammer(number):
        count = 0
        while not stop.is_set():
            count += 1
            send(context.teams[0], context.keys[0], f"p{number}-{count}")

    def steady(team, key):
        begun = time.monotonic()
        for count in range(rate * seconds):
            time.sleep(max(0.0, begun + count / rate - time.monotonic()))
            send(team, key, f"{team}-{count}")

    threads = [threading.Thread(target=hammer, args=(n,)) for n in range(callers)]
    pairs = zip(context.teams[1:], context.keys[1:], strict=True)
    threads += [threading.Thread(target=steady, args=pair) for pair in pairs]
    for thread in threads:
        thread.start()
    for thread in threads[callers:]:
        thread.join()
    stop.set()
    for thread in threads[:callers]:
        thread.join()


@then("no request of the others was refused")
def step_others(context):
    print(context.told)
    for team in context.teams[1:]:
        assert set(context.told[team]) == {"ok"}, context.told


@then("the refusals of the pressing team are true")
def step_true(context):
    assert context.told[context.teams[0]]["queue_full"] > 0, context.told
    ran = set(context.world.ids_in_log())
    wrong = [name for name, exc in context.notes if "queue_full" in str(exc) and name in ran]
    assert not wrong, wrong

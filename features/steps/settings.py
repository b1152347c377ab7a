"""Steps of the settings tree and its operators."""

import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import then, when

from features.world import GROUP
from standins.fleet import request_json, wait_until
from wagtailloft.operator_client import CommandError, ExitCode

FAULTY = (
    ("team", "a", {"name": "a", "rate": -1, "burst": 1}, "rate over 0"),
    ("team", "a", {"name": "a", "rate": "fast"}, "rate"),
    ("key", "k", {"digest": "k", "team": "nobody"}, "no team 'nobody'"),
    ("route", "r", {"name": "r", "group": "nowhere"}, "no group 'nowhere'"),
    ("route", "r", {"name": "r", "group": GROUP, "teams": ["nobody"]}, "no team 'nobody'"),
    ("group", "g", {"name": "g", "members": []}, "needs at least one member"),
    ("level", "planet:x", {"name": "planet:x", "options": {}}, "a level is"),
    ("level", "defaults", {"name": "defaults", "options": {"dedline": "5s"}}, "unknown option"),
    ("level", "defaults", {"name": "defaults", "options": {"deadline": "5"}}, "250ms"),
    ("level", "defaults", {"name": "defaults", "options": {"deadline": "9h"}}, "out of bounds"),
)


@when("operators race {times:d} times to change one option through all daemons")
def step_race(context, times):
    context.races = []
    hosts = [h.name for h in context.world.fleet.hosts.values() if h.process.alive]
    wait_until(lambda: _accepts(context), 10, "no daemon accepts changes")
    for number in range(times):
        found = context.world.fleet.api().find("level", "defaults")
        version = found["revision"] if found else 0

        def change(pair, number=number, version=version):
            turn, host = pair
            value = str(100 + number * 10 + turn)
            body = {"name": "defaults", "options": {"queue_limit": value}}
            try:
                context.world.fleet.api(host).put("level", "defaults", body, version)
            except CommandError as exc:
                return exc.code
            return value

        with ThreadPoolExecutor(len(hosts)) as executor:
            context.races.append(list(executor.map(change, enumerate(hosts))))
    won = [r for r in context.races[-1] if isinstance(r, str)]
    context.last = won[0] if won else None


def _accepts(context):
    try:
        context.world.set_level("region:nowhere", queue_limit="7")
    except CommandError:
        return False
    return True


@then("each race had one winner and every loser got a conflict")
def step_one_winner(context):
    for race in context.races:
        assert len([r for r in race if isinstance(r, str)]) == 1, race
        assert all(r is ExitCode.CONFLICT for r in race if not isinstance(r, str)), race


@when("an operator changes an option")
def step_change(context):
    context.world.set_level("defaults", queue_limit="321")
    context.last = "321"


@then("within {seconds:g} s every daemon has the last winner's value")
def step_in_force(context, seconds):
    assert context.last is not None, context.races

    def in_force():
        return all(_value(h) == context.last for h in context.world.fleet.hosts.values())

    wait_until(in_force, seconds, f"not in force everywhere: {context.last}")


def _value(host):
    explained = request_json(f"http://{host.operator_address}/v1/settings")
    return next(e["value"] for e in explained if e["option"] == "queue_limit")


@when("revisions are watched on every daemon")
def step_watch(context):
    context.revisions = defaultdict(list)
    stop = threading.Event()

    def watch(host):
        while not stop.is_set():
            process = host.process
            if process.alive:
                _note(context, host, process)
            time.sleep(0.05)

    for host in context.world.fleet.hosts.values():
        threading.Thread(target=watch, args=(host,), daemon=True).start()
    context.stack.callback(stop.set)


def _note(context, host, process):
    try:
        metrics = urllib3.request(
            "GET", f"http://{host.operator_address}/metrics", timeout=1.0, retries=False
        )
    except urllib3.exceptions.HTTPError:
        return
    for line in metrics.data.decode().splitlines():
        if line.startswith("wagtailloft_settings_revision "):
            key = (host.name, process.handle.pid)
            context.revisions[key].append(float(line.split()[1]))


@then("no revision ever went down")
def step_monotone(context):
    assert len(context.revisions) >= len(context.world.fleet.hosts)
    for key, seen in context.revisions.items():
        assert seen == sorted(seen), (key, seen)


@when("daemon {number:d} is killed and started again")
def step_restart(context, number):
    host = context.world.fleet.hosts[f"host-{number}"]
    host.process.kill()
    host.process.start()
    time.sleep(1.5)


@when("daemon {number:d} is frozen for {seconds:g} s")
def step_freeze(context, number, seconds):
    process = context.world.fleet.hosts[f"host-{number}"].process
    process.freeze()
    time.sleep(seconds)
    process.thaw()


@then("faulty objects are refused with a reason")
def step_faulty(context):
    for kind, name, value, reason in FAULTY:
        try:
            context.world.fleet.api().put(kind, name, value, 0)
        except CommandError as exc:
            assert reason in str(exc), (reason, str(exc))
        else:
            raise AssertionError(f"accepted: {value}")


@then("the settings of every level are explained")
def step_explained(context):
    world = context.world
    world.set_level("defaults", deadline="4s", queue_limit="90")
    world.set_level("zone:krk-a", queue_limit="80")
    world.set_level(f"group:{GROUP}", deadline="3s")
    rows = world.fleet.run_cli_json("settings", "explain", "--route=bookings")
    given = {r["option"]: (r["value"], r["level"]) for r in rows}
    assert given["deadline"] == ("3s", f"group:{GROUP}"), given
    assert given["queue_limit"] == ("80", "zone:krk-a"), given
    assert given["retry_share"][1] == "built in", given

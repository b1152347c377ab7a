"""Steps for the settings tree and changes by operators."""

import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import then, when

from features.test_fleet import GROUP
from standins.fleet import request_json, wait_until
from wagtailloft.operator_client import CommandError, ExitCode

INVALID_OBJECTS = (
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


@when("operators change one option concurrently through all daemons {times:d} times")
def step_concurrent_changes(context, times):
    context.rounds = []
    hosts = [h.name for h in context.test_fleet.fleet.hosts.values() if h.process.alive]
    wait_until(lambda: _accepts_changes(context), 10, "no daemon accepts changes")
    for number in range(times):
        stored = context.test_fleet.fleet.api().find("level", "defaults")
        version = stored["revision"] if stored else 0

        def change(pair, number=number, version=version):
            turn, host = pair
            value = str(100 + number * 10 + turn)
            body = {"name": "defaults", "options": {"queue_limit": value}}
            try:
                context.test_fleet.fleet.api(host).put("level", "defaults", body, version)
            except CommandError as exc:
                return exc.code
            return value

        with ThreadPoolExecutor(len(hosts)) as executor:
            context.rounds.append(list(executor.map(change, enumerate(hosts))))
    accepted = [r for r in context.rounds[-1] if isinstance(r, str)]
    context.last_value = accepted[0] if accepted else None


def _accepts_changes(context):
    try:
        context.test_fleet.set_level("region:nowhere", queue_limit="7")
    except CommandError:
        return False
    return True


@then("each time one change was accepted and all others got a conflict")
def step_one_change_accepted(context):
    for results in context.rounds:
        assert len([r for r in results if isinstance(r, str)]) == 1, results
        assert all(r is ExitCode.CONFLICT for r in results if not isinstance(r, str)), results


@when("an operator changes an option")
def step_change_option(context):
    context.test_fleet.set_level("defaults", queue_limit="321")
    context.last_value = "321"


@then("within {seconds:g} s every daemon has the last accepted value")
def step_last_value_in_force(context, seconds):
    assert context.last_value is not None, context.rounds

    def in_force():
        return all(
            _queue_limit(h) == context.last_value for h in context.test_fleet.fleet.hosts.values()
        )

    wait_until(in_force, seconds, f"not in force at every daemon: {context.last_value}")


def _queue_limit(host):
    explained = request_json(f"http://{host.operator_address}/v1/settings")
    return next(e["value"] for e in explained if e["option"] == "queue_limit")


@when("revisions are recorded on every daemon")
def step_record_revisions(context):
    context.revisions = defaultdict(list)
    stop_requested = threading.Event()

    def record_until_stopped(host):
        while not stop_requested.is_set():
            process = host.process
            if process.alive:
                _record_revision(context, host, process)
            time.sleep(0.05)

    for host in context.test_fleet.fleet.hosts.values():
        threading.Thread(target=record_until_stopped, args=(host,), daemon=True).start()
    context.stack.callback(stop_requested.set)


def _record_revision(context, host, process):
    try:
        response = urllib3.request(
            "GET", f"http://{host.operator_address}/metrics", timeout=1.0, retries=False
        )
    except urllib3.exceptions.HTTPError:
        return
    for line in response.data.decode().splitlines():
        if line.startswith("wagtailloft_settings_revision "):
            key = (host.name, process.handle.pid)
            context.revisions[key].append(float(line.split()[1]))


@then("no revision ever decreased")
def step_revisions_never_decrease(context):
    assert len(context.revisions) >= len(context.test_fleet.fleet.hosts)
    for key, seen in context.revisions.items():
        assert seen == sorted(seen), (key, seen)


@when("daemon {number:d} is killed and started again")
def step_restart_daemon(context, number):
    host = context.test_fleet.fleet.hosts[f"host-{number}"]
    host.process.kill()
    host.process.start()
    time.sleep(1.5)


@when("daemon {number:d} is frozen for {seconds:g} s")
def step_freeze_daemon(context, number, seconds):
    process = context.test_fleet.fleet.hosts[f"host-{number}"].process
    process.suspend()
    time.sleep(seconds)
    process.resume()


@then("invalid objects are refused with a reason")
def step_invalid_objects_refused(context):
    for kind, name, value, reason in INVALID_OBJECTS:
        try:
            context.test_fleet.fleet.api().put(kind, name, value, 0)
        except CommandError as exc:
            assert reason in str(exc), (reason, str(exc))
        else:
            raise AssertionError(f"accepted: {value}")


@then("explain shows the value of each option and the level that sets it")
def step_settings_explained(context):
    test_fleet = context.test_fleet
    test_fleet.set_level("defaults", deadline="4s", queue_limit="90")
    test_fleet.set_level("zone:krk-a", queue_limit="80")
    test_fleet.set_level(f"group:{GROUP}", deadline="3s")
    rows = test_fleet.fleet.run_cli_json("settings", "explain", "--route=bookings")
    explained = {r["option"]: (r["value"], r["level"]) for r in rows}
    assert explained["deadline"] == ("3s", f"group:{GROUP}"), explained
    assert explained["queue_limit"] == ("80", "zone:krk-a"), explained
    assert explained["retry_share"][1] == "built in", explained

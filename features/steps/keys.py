"""Steps for keys and teams."""

import time
from pathlib import Path

import urllib3
from behave import given, then, when

from features.steps.rates import isolate_daemon
from features.test_fleet import ROUTE, TABLE, TEAM
from standins.fleet import request_json, wait_until
from wagtailloft import ChangeRequest, Kind, Session, WagtailError
from wagtailloft.operator_client import CommandError

OTHER_TEAM = "museum-tarnow"
WITHIN_S = 3.0


def refusal_kind(context, number, key):
    """Return the error kind with which a daemon refuses a key.

    Return "no answer" if there was no response, or None if it serves the key.
    """
    session = context.test_fleet.session(f"host-{number}", key=key)
    try:
        session.read("SELECT 1", deadline=1.0)
    except WagtailError as exc:
        return exc.kind or "no answer"
    return None


def live_daemon_numbers(context):
    """Return the numbers of the live daemons."""
    hosts = context.test_fleet.fleet.hosts
    return [n for n in range(1, len(hosts) + 1) if hosts[f"host-{n}"].process.alive]


@when("a second key is used on every daemon and in an open transaction")
def step_second_key(context):
    context.second_key = context.test_fleet.add_key(TEAM)
    for number in live_daemon_numbers(context):
        wait_until(
            lambda n=number: refusal_kind(context, n, context.second_key) is None,
            5,
            "a daemon does not know the second key",
        )
    session = context.test_fleet.session("host-2", key=context.second_key)
    context.transaction = session.begin()
    context.transaction.run("INSERT INTO slots VALUES ('open', 'Maria')")


@when("the second key is withdrawn")
def step_withdraw(context):
    context.test_fleet.withdraw_key(context.second_key)
    context.withdrawn = time.monotonic()


@when("the second key is withdrawn through daemon {number:d}")
def step_withdraw_through(context, number):
    context.test_fleet.withdraw_key(context.second_key, f"host-{number}")
    context.withdrawn = time.monotonic()


@then("within {seconds:g} s no daemon serves the second key")
def step_refused_within(context, seconds):
    remaining = context.withdrawn + seconds - time.monotonic()
    time.sleep(max(0.0, remaining))
    step_second_key_refused(context)


@then("no daemon serves the second key")
def step_second_key_refused(context):
    for number in live_daemon_numbers(context):
        assert refusal_kind(context, number, context.second_key) is not None, number


@then("the open transaction of the second key was rolled back")
def step_transaction_gone(context):
    try:
        context.transaction.commit()
    except WagtailError:
        pass
    else:
        raise AssertionError("the transaction was committed")
    assert "open" not in context.test_fleet.ids_in_log()


@when("daemon {number:d} is isolated from all others and the platform")
def step_isolate_daemon(context, number):
    isolate_daemon(context.test_fleet, number)


@then("daemon {number:d} refuses every key because its settings are stale")
def step_settings_stale(context, number):
    kind = refusal_kind(context, number, context.test_fleet.key)
    assert kind is Kind.SETTINGS_STALE, kind


@when("daemon 1 is frozen, the second key is withdrawn, and daemon 1 resumes after {seconds:g} s")
def step_withdraw_while_frozen(context, seconds):
    process = context.test_fleet.fleet.hosts["host-1"].process
    process.suspend()
    context.test_fleet.withdraw_key(context.second_key, "host-2")
    time.sleep(seconds)
    process.resume()


@then("the team's key works on every daemon")
def step_key_served(context):
    for number in live_daemon_numbers(context):
        assert refusal_kind(context, number, context.test_fleet.key) is None, number


@then("a change of settings is refused")
def step_change_refused(context):
    try:
        context.test_fleet.set_level("defaults", queue_limit="50")
    except CommandError as exc:
        assert "platform_down" in str(exc), exc
    else:
        raise AssertionError("the change was accepted")


@then("a change of settings is accepted")
def step_change_accepted(context):
    def accepted():
        try:
            context.test_fleet.set_level("defaults", queue_limit="50")
        except CommandError:
            return False
        return True

    wait_until(accepted, 10.0, "no change of settings is accepted")


@given("a second team with a key and a route of its own")
def step_second_team(context):
    test_fleet = context.test_fleet
    test_fleet.add_team(OTHER_TEAM, 1000, 1000)
    context.other_key = test_fleet.add_key(OTHER_TEAM)
    test_fleet.add_route("museum", OTHER_TEAM)
    test_fleet.add_route("calendar", is_open=True)
    wait_until(
        lambda: route_refusal_kind(context, "museum", context.other_key) is None,
        5,
        "the second team's route is not served",
    )


def route_refusal_kind(context, route, key, **options):
    """Return the error kind with which a route refuses a key, or None if it serves the key."""
    hosts = [h.url for h in context.test_fleet.fleet.hosts.values()]
    session = Session(hosts=hosts, route=route, key=key)
    session._tokens = options.get("tokens", frozenset())
    try:
        session.read("SELECT 1")
    except WagtailError as exc:
        return exc.kind
    return None


@then("the second team is refused on the first team's route")
def step_forbidden(context):
    assert route_refusal_kind(context, ROUTE, context.other_key) is Kind.FORBIDDEN


@then("the second team cannot use the first team's session")
def step_foreign_session(context):
    session = context.test_fleet.session()
    session.write(TABLE)
    foreign = session._tokens
    kind = route_refusal_kind(context, "museum", context.other_key, tokens=foreign)
    assert kind is Kind.BAD_SESSION, kind


@then("the second team cannot use the first team's transaction")
def step_foreign_transaction(context):
    tx = context.test_fleet.session().begin()
    other = context.test_fleet.session(key=context.other_key, route="museum")
    try:
        other.post(f"transactions/{tx.name}/rollback", b"", {})
    except ChangeRequest as exc:
        assert exc.kind is Kind.UNKNOWN_TRANSACTION, exc
    else:
        raise AssertionError("the transaction was rolled back by another team")
    tx.commit()


@then("an unknown key and a missing key are refused")
def step_unknown_key(context):
    assert route_refusal_kind(context, ROUTE, "no such key") is Kind.KEY_UNKNOWN
    assert route_refusal_kind(context, ROUTE, "") is Kind.KEY_MISSING


@then("an open route serves without a key")
def step_open_route(context):
    assert route_refusal_kind(context, "calendar", "") is None


@then("the key appears in no forwarded request, in no log and in no metric")
def step_key_nowhere(context):
    fleet, key = context.test_fleet.fleet, context.test_fleet.key
    assert fleet.endpoints_containing(key) == []
    assert fleet.endpoints_containing(SENT_TEXT), "the search does not find text that was sent"
    for log in Path(fleet.folder).glob("*.log"):
        assert key not in log.read_text(), log
    for host in fleet.hosts.values():
        metrics = urllib3.request("GET", f"http://{host.operator_address}/metrics").data.decode()
        assert "wagtailloft_requests_total" in metrics
        assert key not in metrics
    assert key not in str(
        request_json(f"http://{fleet.hosts['host-1'].operator_address}/v1/status")
    )


SENT_TEXT = "INSERT INTO slots"

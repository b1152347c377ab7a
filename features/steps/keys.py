"""Steps of keys and teams."""

import time
from pathlib import Path

import urllib3
from behave import given, then, when

from features.steps.rates import isolate_daemon
from features.world import ROUTE, TABLE, TEAM
from standins.fleet import request_json, wait_until
from wagtailloft import ChangeRequest, Kind, Session, WagtailError
from wagtailloft.operator_client import CommandError

OTHER = "museum-tarnow"
WITHIN_S = 3.0


def serves(context, number, key):
    """Return None if a daemon serves a key, else the kind of refusal."""
    session = context.world.session(f"host-{number}", key=key)
    try:
        session.read("SELECT 1", deadline=1.0)
    except WagtailError as exc:
        return exc.kind or "no answer"
    return None


def numbers(context):
    """Return the numbers of the live daemons."""
    hosts = context.world.fleet.hosts
    return [n for n in range(1, len(hosts) + 1) if hosts[f"host-{n}"].process.alive]


@when("a second key is used on every daemon and in an open transaction")
def step_second_key(context):
    context.second = context.world.add_key(TEAM)
    for number in numbers(context):
        wait_until(lambda n=number: serves(context, n, context.second) is None, 5, "key not known")
    session = context.world.session("host-2", key=context.second)
    context.transaction = session.begin()
    context.transaction.run("INSERT INTO slots VALUES ('open', 'Maria')")


@when("the second key is withdrawn")
def step_withdraw(context):
    context.world.withdraw(context.second)
    context.withdrawn = time.monotonic()


@when("the second key is withdrawn through daemon {number:d}")
def step_withdraw_through(context, number):
    context.world.withdraw(context.second, f"host-{number}")
    context.withdrawn = time.monotonic()


@then("within {seconds:g} s no daemon serves the second key")
def step_stopped(context, seconds):
    left = context.withdrawn + seconds - time.monotonic()
    time.sleep(max(0.0, left))
    step_none_serves(context)


@then("no daemon serves the second key")
def step_none_serves(context):
    for number in numbers(context):
        assert serves(context, number, context.second) is not None, number


@then("the open transaction of the second key is gone")
def step_transaction_gone(context):
    try:
        context.transaction.commit()
    except WagtailError:
        pass
    else:
        raise AssertionError("it was committed")
    assert "open" not in context.world.ids_in_log()


@when("daemon {number:d} is cut off from all others and the platform")
def step_cut(context, number):
    isolate_daemon(context.world, number)


@then("daemon {number:d} refuses every key as stale")
def step_stale(context, number):
    refused = serves(context, number, context.world.key)
    assert refused is Kind.SETTINGS_STALE, refused


@when("daemon 1 is frozen, the second key withdrawn, and daemon 1 woken after {seconds:g} s")
def step_frozen(context, seconds):
    process = context.world.fleet.hosts["host-1"].process
    process.freeze()
    context.world.withdraw(context.second, "host-2")
    time.sleep(seconds)
    process.thaw()


@then("the team's key works on every daemon")
def step_works(context):
    for number in numbers(context):
        assert serves(context, number, context.world.key) is None, number


@then("a change of settings is refused")
def step_change_refused(context):
    try:
        context.world.set_level("defaults", queue_limit="50")
    except CommandError as exc:
        assert "platform_down" in str(exc), exc
    else:
        raise AssertionError("it was accepted")


@then("a change of settings is accepted")
def step_change_accepted(context):
    def accepted():
        try:
            context.world.set_level("defaults", queue_limit="50")
        except CommandError:
            return False
        return True

    wait_until(accepted, 10.0, "no change is accepted")


@given("a second team with a key and a route of its own")
def step_second_team(context):
    world = context.world
    world.add_team(OTHER, 1000, 1000)
    context.other = world.add_key(OTHER)
    world.add_route("museum", OTHER)
    world.add_route("calendar", is_open=True)
    wait_until(lambda: serves_route(context, "museum", context.other) is None, 5, "route not known")


def serves_route(context, route, key, **given):
    """Return None if a route serves a key, else the kind of refusal."""
    hosts = [h.url for h in context.world.fleet.hosts.values()]
    session = Session(hosts=hosts, route=route, key=key)
    session._tokens = given.get("tokens", frozenset())
    try:
        session.read("SELECT 1")
    except WagtailError as exc:
        return exc.kind
    return None


@then("the second team is refused on the first team's route")
def step_forbidden(context):
    assert serves_route(context, ROUTE, context.other) is Kind.FORBIDDEN


@then("the second team cannot use the first team's session")
def step_foreign_session(context):
    session = context.world.session()
    session.write(TABLE)
    foreign = session._tokens
    refused = serves_route(context, "museum", context.other, tokens=foreign)
    assert refused is Kind.BAD_SESSION, refused


@then("the second team cannot use the first team's transaction")
def step_foreign_transaction(context):
    tx = context.world.session().begin()
    other = context.world.session(key=context.other, route="museum")
    try:
        other.post(f"transactions/{tx.name}/rollback", b"", {})
    except ChangeRequest as exc:
        assert exc.kind is Kind.UNKNOWN_TRANSACTION, exc
    else:
        raise AssertionError("it was rolled back by another team")
    tx.commit()


@then("an unknown key and a missing key are refused")
def step_unknown(context):
    assert serves_route(context, ROUTE, "no such key") is Kind.KEY_UNKNOWN
    assert serves_route(context, ROUTE, "") is Kind.KEY_MISSING


@then("an open route serves without a key")
def step_open(context):
    assert serves_route(context, "calendar", "") is None


@then("the key was on no link, in no log and in no metric")
def step_key_nowhere(context):
    fleet, key = context.world.fleet, context.world.key
    assert fleet.links_containing(key) == []
    assert fleet.links_containing(INSERTED), "the search finds nothing at all"
    for log in Path(fleet.folder).glob("*.log"):
        assert key not in log.read_text(), log
    for host in fleet.hosts.values():
        metrics = urllib3.request("GET", f"http://{host.operator_address}/metrics").data.decode()
        assert "wagtailloft_requests_total" in metrics
        assert key not in metrics
    assert key not in str(
        request_json(f"http://{fleet.hosts['host-1'].operator_address}/v1/status")
    )


INSERTED = "INSERT INTO slots"

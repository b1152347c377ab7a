"""Steps for a store that comes back from an older copy."""

import time

from behave import given, then, when

from features.restored_objects import LEVEL, STEP_S, ModelDaemons
from features.steps.keys import live_daemon_numbers, refusal_kind, step_second_key_refused
from features.steps.site import error_code, succeeded
from features.test_fleet import TEAM
from standins.fleet import wait_until
from standins.site import KEY, SECOND_KEY
from wagtailloft.catalog import key_digest
from wagtailloft.controllers.freshness import (
    REPORTED_FRESH_AGE_S,
    SETTINGS_MAX_AGE_S,
    FreshnessTracker,
    PeerReport,
    SettingsState,
)

OUTAGE_S = 1.0
OBSERVE_S = 4.0
CONFIG_APPLY_S = 3.0
TOPICS = 3
MAX_CALL_RATIO = 1.5


def serves(site, host, database, key=KEY):
    """Tell whether a host serves a read of a database under a key."""
    caller = site.open_session(host, database, key)
    try:
        return succeeded(caller.greeting[-1:]) or succeeded(caller.query("READ item"))
    except OSError:
        return False
    finally:
        caller.close()


def add_route(site, database):
    """Publish a configuration that adds a route to a database."""
    site.databases[database] = "read_your_writes"
    site.configure()


def wait_until_served(site, database):
    """Wait until every host serves a database."""
    for host in site.hosts:
        wait_until(lambda h=host: serves(site, h, database), 5.0, f"{host}: {database} not served")


def restore(site, store_copy):
    """Bring the store back from a copy after an outage."""
    site.store.down = True
    with site.store.changed:
        site.store.changed.notify_all()
    time.sleep(OUTAGE_S)
    site.store.restore(store_copy)
    site.store.down = False


@when(
    "the store comes back from a copy that lacks two configurations, "
    "and the operator writes the last one again"
)
def step_restore_configurations(context):
    site = context.site
    add_route(site, "kept")
    wait_until_served(site, "kept")
    before = site.store.calls["GET"]
    time.sleep(OBSERVE_S)
    context.usual_calls = site.store.calls["GET"] - before
    store_copy = site.store.copy()
    for database in ("lost1", "lost2"):
        add_route(site, database)
        wait_until_served(site, database)
    restore(site, store_copy)
    site.store.put("config", "main", site._config())
    context.calls_at_restore, context.restored_at = site.store.calls["GET"], time.monotonic()


@then("the routes of the lost configurations are still served at every host")
def step_lost_routes_served(context):
    for database in ("kept", "lost1", "lost2"):
        wait_until_served(context.site, database)


@then("a route added after the restore is served within 3 s at every host")
def step_new_route_served(context):
    time.sleep(max(0.0, context.restored_at + OBSERVE_S - time.monotonic()))
    context.calls_after = context.site.store.calls["GET"] - context.calls_at_restore
    add_route(context.site, "added")
    time.sleep(CONFIG_APPLY_S)
    served = {h: serves(context.site, h, "added") for h in context.site.hosts}
    assert all(served.values()), served


@then("the hosts call the store at most 1.5 times as often as before, beside one list a topic")
def step_few_calls(context):
    lists = len(context.site.hosts) * TOPICS
    # A watch of the earlier era is refused before its topic is listed.
    most = context.usual_calls * MAX_CALL_RATIO + 2 * lists
    assert context.calls_after <= most, (context.calls_after, context.usual_calls)


@when("a key is withdrawn, the store comes back from a copy that has it, and a host is restarted")
def step_restore_withdrawn_key(context):
    site = context.site
    store_copy = site.store.copy()
    site.keys["two"] = ["another-key"]
    site.configure()
    for host in site.hosts:
        wait_until(
            lambda h=host: not serves(site, h, "accounts", SECOND_KEY), 5.0, "the key is served"
        )
    site.hosts["edge-2"].kill()
    restore(site, store_copy)
    site.start_host("edge-2")


@then("no host serves the withdrawn key while the operator writes the configuration again")
def step_withdrawn_key_refused(context):
    site = context.site
    started, written = time.monotonic(), False
    while time.monotonic() - started < OBSERVE_S:
        if not written and time.monotonic() - started > CONFIG_APPLY_S / 2:
            site.store.put("config", "main", site._config())
            written = True
        for host in site.hosts:
            try:
                caller = site.open_session(host, "accounts", SECOND_KEY)
            except OSError:
                continue
            with_key = caller.query("READ item") if error_code(caller.greeting) == "" else []
            caller.close()
            assert not succeeded(with_key), (host, with_key, time.monotonic() - started)
        time.sleep(0.02)
    wait_until(lambda: serves(site, "edge-2", "accounts"), 5.0, "edge-2 serves nobody")


@when("the platform comes back from a copy that lacks a key, which is then added again")
def step_restore_platform(context):
    fleet = context.test_fleet.fleet
    fleet.save_platform()
    for number in range(5):
        context.test_fleet.set_level("defaults", deadline=f"{number + 2}s")
    context.second_key = context.test_fleet.add_key(TEAM)
    step_second_key_served(context)
    context.test_fleet.withdraw_key(context.second_key)
    fleet.restore_platform()
    context.second_key = context.test_fleet.add_key(TEAM)


@then("within 3 s every daemon serves the second key")
def step_second_key_served(context):
    for number in live_daemon_numbers(context):
        wait_until(
            lambda n=number: refusal_kind(context, n, context.second_key) is None,
            CONFIG_APPLY_S,
            f"daemon {number} does not serve the key",
        )


@when("the second key is withdrawn, and the platform comes back from a copy that has it")
def step_restore_platform_with_key(context):
    withdraw_and_restore(context)


@when(
    "the second key is withdrawn, the platform comes back from a copy that has it, "
    "and daemon {number:d} is restarted"
)
def step_restore_and_restart(context, number):
    withdraw_and_restore(context)
    daemon = context.test_fleet.fleet.hosts[f"host-{number}"]
    daemon.process.kill()
    daemon.process.start()


def withdraw_and_restore(context):
    """Withdraw the second key, and restore the platform from a copy that has it."""
    fleet = context.test_fleet.fleet
    fleet.save_platform()
    context.test_fleet.withdraw_key(context.second_key)
    time.sleep(CONFIG_APPLY_S)
    step_second_key_refused(context)
    fleet.restore_platform()


@then("no daemon serves the second key, and the platform loses it again within 3 s")
def step_stays_withdrawn(context):
    started, digest = time.monotonic(), key_digest(context.second_key)
    while time.monotonic() - started < OBSERVE_S:
        for number in live_daemon_numbers(context):
            kind = refusal_kind(context, number, context.second_key)
            assert kind is not None, (number, time.monotonic() - started)
        if time.monotonic() - started > CONFIG_APPLY_S:
            assert context.test_fleet.fleet.api("host-1").find("key", digest) is None


@then("daemon {number:d} serves the first key")
def step_daemon_serves(context, number):
    wait_until(
        lambda: refusal_kind(context, number, context.test_fleet.key) is None,
        OBSERVE_S,
        f"daemon {number} serves nobody",
    )


@when("the platform comes back from a copy that lacks a key and has an older deadline")
def step_restore_platform_without_key(context):
    fleet = context.test_fleet.fleet
    context.test_fleet.set_level("defaults", deadline="7s")
    fleet.save_platform()
    context.test_fleet.set_level("defaults", deadline="9s")
    context.second_key = context.test_fleet.add_key(TEAM)
    step_second_key_served(context)
    fleet.restore_platform()


@then("the key and the newer deadline stay in force, and the platform has both again within 3 s")
def step_stay_in_force(context):
    started, api = time.monotonic(), context.test_fleet.fleet.api()
    while time.monotonic() - started < OBSERVE_S:
        for number in live_daemon_numbers(context):
            kind = refusal_kind(context, number, context.second_key)
            assert kind is None, (number, kind, time.monotonic() - started)
            options = context.test_fleet.fleet.api(f"host-{number}").call("GET", "settings")
            values = {o["option"]: o["value"] for o in options}
            assert values["deadline"] == "9s", (number, values)
        if time.monotonic() - started > CONFIG_APPLY_S:
            assert api.find("key", key_digest(context.second_key)) is not None
            level = api.find("level", "defaults")
            assert level["value"]["options"]["deadline"] == "9s", level


@when(
    "the store comes back from a copy of before the promotion, the host that ordered it is"
    " restarted, and the new primary stops responding"
)
def step_restore_before_promotion(context):
    site = context.site
    restore(site, context.store_copy)
    _, holder = site.promotion_api.tokens[-1]
    host = holder.partition("/")[0]
    site.hosts[host].kill()
    site.start_host(host)
    for member in site.group.members.values():
        site.register_member(member)
    context.old_primary.unresponsive = False
    context.old_primary = site.group.primary
    context.old_primary.unresponsive = True
    context.fault_time = time.monotonic()


@when("the store is copied")
def step_copy_store(context):
    context.store_copy = context.site.store.copy()


@then("the second promotion was ordered with a higher fencing token")
def step_tokens_in_order(context):
    tokens = [token for token, _ in context.site.promotion_api.tokens]
    assert len(tokens) > 1 and tokens[0] < tokens[-1] and tokens == sorted(tokens), tokens


@given("{models:d} models of {count:d} daemons")
def step_models_of_daemons(context, models, count):
    context.models = [(seed, count) for seed in range(models)]
    context.refused, context.wrong = set(), []


def observe(context, fleet, seconds):
    """Let time pass in a model, and record the daemons that refuse requests as stale."""
    until = fleet.now + seconds
    while fleet.now < until:
        fleet.advance(STEP_S)
        stale = [d for d in fleet.daemons if d.gossip.settings_state() is SettingsState.STALE]
        context.refused |= {(d.name, round(fleet.now, 2)) for d in stale}


def start_model(context, seed, count):
    """Start a model, and let it run for a time that differs by seed."""
    fleet = ModelDaemons(seed=seed, count=count)
    context.stack.callback(fleet.close)
    fleet.advance(2.0 + seed * STEP_S)
    return fleet


@when(
    "the platform comes back without a change, and the threads that repair it are late by"
    " {late:g} s"
)
def step_late_repair(context, late):
    for seed, count in context.models:
        fleet = start_model(context, seed, count)
        fleet.change_level(0)
        fleet.restore(age=2 * STEP_S, outage=0.0, restarted=())
        fleet.advance(STEP_S)
        assert ("level", LEVEL) not in fleet.platform.objects, seed
        for daemon in fleet.daemons:
            daemon._due["repair"] += late
        observe(context, fleet, late + OBSERVE_S)
        context.wrong += fleet.converge() + fleet.violations
        fleet.close()


@when("the platform is unavailable for {seconds:g} s")
def step_platform_unavailable(context, seconds):
    for seed, count in context.models:
        fleet = start_model(context, seed, count)
        fleet.platform_down = True
        observe(context, fleet, seconds)
        fleet.platform_down = False
        observe(context, fleet, OBSERVE_S)
        context.wrong += fleet.converge() + fleet.violations
        fleet.close()


@when("the platform and two daemons become silent")
def step_all_silent(context):
    context.fleet = fleet = start_model(context, *context.models[0])
    fleet.platform_down = True
    fleet.advance(REPORTED_FRESH_AGE_S - 4 * STEP_S)
    for number in (1, 2):
        fleet.pause(number, OBSERVE_S)


@then("the third awaits at most one answer of each when their reports become doubtful")
def step_one_answer_awaited(context):
    fleet, daemon = context.fleet, context.fleet.daemons[0]
    while not daemon.freshness.doubtful_peers(fleet.now):
        fleet.advance(STEP_S)
    daemon.queue.run()
    for _ in range(5):
        daemon.gossip.ask_doubtful_peers()
    assert len(daemon.queue._calls) == 2, daemon.queue._calls


@then("no daemon refused requests as stale, and all agree in the end")
def step_none_refused(context):
    assert not context.wrong, context.wrong[:3]
    assert not context.refused, sorted(context.refused)[:9]


class InterruptedTracker(FreshnessTracker):
    """A tracker in which another thread records a report while the state is determined."""

    report = None

    def recent_peers(self, now):
        """Record the report first."""
        report, self.report = self.report, None
        if report is not None:
            self.record_peer_report("h02", report, 1)
        return super().recent_peers(now)


def peer_report(*, at, age, fresh):
    """Return a report of a peer at revision 1."""
    return PeerReport(requested_at=at, answered_at=at, revision=1, platform_age=age, fresh=fresh)


@given("a daemon in an outage that hears from two others")
def step_daemon_in_outage(context):
    context.tracker = InterruptedTracker()
    context.now, context.names = 100.0, frozenset({"h00", "h01", "h02"})
    for name in ("h01", "h02"):
        old = peer_report(at=context.now, age=2 * SETTINGS_MAX_AGE_S, fresh=False)
        context.tracker.record_peer_report(name, old, 1)
    assert context.tracker.state(context.names, context.now) is SettingsState.OUTAGE


@when("one of them reports fresh settings while the state of the daemon's settings is determined")
def step_report_meanwhile(context):
    context.tracker.report = peer_report(at=context.now, age=0.0, fresh=True)
    context.state = context.tracker.state(context.names, context.now)


@then("the daemon's settings are fresh, not stale")
def step_fresh(context):
    assert context.state is SettingsState.FRESH, context.state

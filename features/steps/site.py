"""Steps for a site: host processes with a fake store and members on the platform's protocols."""

import re
import signal
import socket
import threading
import time

from behave import given, then, when

from standins.fleet import wait_until
from standins.site import KEY, SECOND_KEY, Site
from wagtailloft.controllers.ownership import score
from wagtailloft.groups.failover import COORDINATOR_KEY

READY_TIMEOUT_S = 3.0


def start_site(context, **options):
    """Start a site for the scenario."""
    context.site = context.stack.enter_context(Site(**options))


def succeeded(lines):
    """Return whether a response is a success."""
    return any(line.startswith("DONE") for line in lines)


def error_code(lines):
    """Return the error code of a response; empty if it is not an error."""
    return next((line.split()[1] for line in lines if line.startswith("ERR")), "")


class Writer(threading.Thread):
    """Write numbered items continuously and record the outcome of each.

    Each result is (start time, end time, item number, response lines); no lines mean no response.
    """

    def __init__(self, site, host, prefix):
        """Create a writer that connects to one host."""
        super().__init__(daemon=True)
        self.site, self.host, self.prefix = site, host, prefix
        self.results, self.stop_requested = [], threading.Event()

    def run(self):
        """Write until a stop is requested."""
        caller = None
        number = 0
        while not self.stop_requested.is_set():
            number += 1
            began = time.monotonic()
            try:
                caller = caller or self.site.open_session(self.host, "orders")
                lines = caller.query(f"WRITE {self.prefix}{number} {number}")
            except OSError:
                lines = []
            if not lines:
                caller = None
            self.results.append((began, time.monotonic(), number, lines))
            time.sleep(0.01)

    def finish(self):
        """Stop the thread and return its results."""
        self.stop_requested.set()
        self.join(10.0)
        return self.results


def start_writers(context):
    """Start a writer at each host and let them run for 0.5 s."""
    site = context.site
    context.writers = [Writer(site, h, f"{h}.") for h in site.hosts]
    for writer in context.writers:
        writer.start()
    time.sleep(0.5)


@given("a site with {count:d} hosts")
def step_start_site(context, count):
    start_site(context, hosts=count)


@given("a site with {count:d} hosts and a rate of {rate:d} a second and a burst of {burst:d}")
def step_start_rate_limited_site(context, count, rate, burst):
    start_site(context, hosts=count, rate=rate, burst=burst)


@then("a session reads what it wrote, in and outside transactions")
def step_read_own_writes(context):
    for host in context.site.hosts:
        caller = context.site.open_session(host, "accounts")
        caller.query_ok(f"WRITE {host} one")
        assert caller.query_ok(f"READ {host}")[0] == "ROW one"
        caller.query_ok("BEGIN")
        caller.query_ok(f"WRITE {host} two")
        assert caller.query_ok(f"READ {host}")[0] == "ROW two"
        assert caller.query_ok("ROLLBACK")[-1].startswith("READY I")
        assert caller.query_ok(f"READ {host}")[0] == "ROW one"
        caller.query_ok("BEGIN")
        caller.query_ok(f"WRITE {host} three")
        caller.query_ok("COMMIT")
        assert caller.query_ok(f"READ {host}")[0] == "ROW three"
        caller.query_ok("BEGIN READ")
        caller.query_ok(f"READ {host}")
        caller.query_ok("COMMIT")


@then("names of prepared statements are separate for each session")
def step_prepared_names_separate(context):
    first, second = (context.site.open_session("edge-0", "orders") for _ in range(2))
    first.query_ok("PREPARE s READ shape-a")
    second.query_ok("PREPARE s WRITE shape-b")
    second.query_ok("EXEC s item value")
    assert first.query_ok("EXEC s item")[0] == "ROW value"
    first.query_ok("DEALLOC s")
    assert error_code(first.query("EXEC s item")) == "NOSTMT"
    second.query_ok("EXEC s item value")


@then("session variables are sent to the member before each statement")
def step_session_variables_sent(context):
    first, second = (context.site.open_session("edge-0", "orders") for _ in range(2))
    first.query_ok("SET region north")
    for caller, expected in ((first, (("region", "north"),)), (second, ()), (first, None)):
        caller.query_ok("READ item")
        statement = next(
            s for s in context.site.group.executed if s.request_id == caller.last_request_id
        )
        assert expected is None or statement.session_variables == expected, statement


@then("malformed, unknown and oversized requests are refused with the matching error code")
def step_invalid_requests_refused(context):
    site = context.site
    caller = site.open_session("edge-0", "orders")
    for text, expected in (
        ("SELECT 1", "BADMSG"),
        ("READ", "BADMSG"),
        ("COMMIT", "BADMSG"),
        ("EXEC none x", "NOSTMT"),
        ("WRITE a " + "x" * (1 << 20), "TOOBIG"),
    ):
        assert error_code(caller.query(text)) == expected, text[:20]
    caller.query_ok("READ a")
    assert error_code(site.open_session("edge-0", "nowhere").greeting) == "NODB"
    assert error_code(site.open_session("edge-0", "orders", "no-key").greeting) == "NOAUTH"
    assert error_code(site.open_session("edge-0", "orders").send("QUERY")) == "BADMSG"


@when("callers of two teams write at every host")
def step_write_as_two_teams(context):
    for host in context.site.hosts:
        for key in (KEY, SECOND_KEY):
            caller = context.site.open_session(host, "orders", key)
            caller.query_ok(f"WRITE {host} {key[-3:]}")
            caller.query_ok("READ x")


@then("members received each team's own writes under the team's name")
def step_writes_received_under_team_name(context):
    statements = context.site.group.executed
    assert {s.team for s in statements} == {"one", "two"}
    # The keys end in the team's name: the last 3 letters identify the sender.
    for statement in statements:
        if statement.text.startswith("WRITE"):
            assert statement.text.endswith(statement.team), statement


@when("callers write while the primary stops responding")
def step_primary_unresponsive(context):
    start_writers(context)
    context.old_primary = context.site.group.primary
    context.old_primary.unresponsive = True
    context.fault_time = time.monotonic()


@given("a site with {count:d} hosts whose commits wait for 1 replica")
def step_start_synchronous_site(context, count):
    start_site(context, hosts=count, sync_replicas=1)


@given("a site with {count:d} hosts and {groups:d} groups")
def step_start_site_with_groups(context, count, groups):
    start_site(context, hosts=count, groups=groups)


@when("callers write, the primary stops responding permanently and the up-to-date replica for 5 s")
def step_primary_and_replica_unresponsive(context):
    group = context.site.group
    context.old_primary, synced_replica, lagging_replica = group.members.values()
    lagging_replica.lag_s = 60.0
    start_writers(context)
    context.old_primary.unresponsive = synced_replica.unresponsive = True
    context.synced_replica = synced_replica

    def recover_replicas():
        lagging_replica.lag_s = synced_replica.lag_s
        synced_replica.unresponsive = False

    threading.Timer(5.0, recover_replicas).start()


@when("all hosts are killed and restarted with empty caches")
def step_restart_all_hosts(context):
    for name, process in list(context.site.hosts.items()):
        process.kill()
        context.site.start_host(name)


@when(
    "the first coordinator is down, all members stop responding, and all hosts are killed during"
    " the promotion"
)
def step_kill_hosts_during_promotion(context):
    site = context.site
    first, *others = sorted(site.hosts, key=lambda h: score(COORDINATOR_KEY, h), reverse=True)
    site.hosts[first].kill()
    context.writers = [Writer(site, h, f"{h}.") for h in others]
    for writer in context.writers:
        writer.start()
    wait_until(
        lambda: any(succeeded(r[3]) for r in context.writers[0].results), 5.0, "no write was served"
    )
    context.old_primary = site.group.primary
    for member in site.group.members.values():
        member.unresponsive = True
    wait_until(lambda: "event=promotion_began" in site.log(others[0]), 5.0, "no promotion began")
    time.sleep(0.2)
    for name in others:
        site.hosts[name].kill()


@when("the replicas respond again and all hosts are restarted")
def step_recover_replicas_and_hosts(context):
    site = context.site
    for member in site.group.members.values():
        member.unresponsive = member is context.old_primary
    for name in list(site.hosts):
        site.start_host(name)
    for name in site.hosts:
        wait_until(
            lambda name=name: site.is_ready(name), READY_TIMEOUT_S * 2, f"{name} is not ready"
        )
    context.fault_time = time.monotonic()


@then("no member is promoted while the up-to-date replica does not respond")
def step_no_promotion_meanwhile(context):
    while context.synced_replica.unresponsive:
        assert context.site.group.primary is context.old_primary
        time.sleep(0.02)
    context.fault_time = time.monotonic()


@when("the addresses of a group are reassigned to the other group while it is still listed")
def step_reassign_addresses(context):
    first, second = context.site.groups.values()
    for member, other in zip(first.members.values(), second.members.values(), strict=True):
        context.site.reassign_address(member, other)
    context.listed_group, context.address_holder_group = first, second


@then("no host serves a statement, and the other group's members executed none")
def step_reassigned_members_unused(context):
    for host in context.site.hosts:
        for database, text in (("stock", "READ a"), ("orders", "WRITE a b")):
            assert error_code(context.site.open_session(host, database).query(text)) == "BUSY"
    assert not context.address_holder_group.executed, context.address_holder_group.executed[:3]


@then("statements are served after the members get their addresses back")
def step_addresses_restored(context):
    for member, other in zip(
        context.listed_group.members.values(),
        context.address_holder_group.members.values(),
        strict=True,
    ):
        context.site.reassign_address(other, member)
    for host in context.site.hosts:
        context.site.open_session(host, "orders").query_ok("WRITE a b")
    assert {r.team for r in context.listed_group.executed} == {
        "one"
    } and not context.address_holder_group.executed


@when("callers write while the primary is registered as draining")
def step_primary_draining(context):
    start_writers(context)
    context.old_primary = context.site.group.primary
    context.fault_time = time.monotonic()
    context.site.register_member(context.old_primary, state="draining")


def assert_no_stale_promotion(context):
    """Check that no promotion was ordered under an older lease, or under another's token."""
    assert not context.site.promotion_api.rejected, context.site.promotion_api.rejected


@then("writes are served again within {limit:d} s")
def step_writes_recover(context, limit):
    group = context.site.group
    wait_until(
        lambda: group.primary is not context.old_primary, limit, "no other member was promoted"
    )
    promoted_at = time.monotonic()
    remaining = context.fault_time + limit - promoted_at
    wait_until(
        lambda: all(
            any(succeeded(r[3]) and r[0] > promoted_at for r in w.results) for w in context.writers
        ),
        max(0.5, remaining),
        "writes are not served again",
    )
    assert_no_stale_promotion(context)


@then("no write was applied twice, and no refused write was applied")
def step_no_wrongly_applied_writes(context):
    results = {w.prefix: w.finish() for w in context.writers}
    group = context.site.group
    logged = [i for _, writes in group.primary.log for i in writes]
    assert len(logged) == len(set(logged))
    not_applied_codes = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY")
    for prefix, writes in results.items():
        for _, _, number, lines in writes:
            if error_code(lines) in not_applied_codes:
                assert f"{prefix}{number}" not in logged, lines


@then("the old primary becomes a replica once it responds again")
def step_old_primary_is_replica(context):
    context.old_primary.unresponsive = False
    wait_until(
        lambda: context.old_primary.role == "replica", 5.0, "the old primary is still primary"
    )


@then("no acknowledged write is missing at the new primary")
def step_acknowledged_writes_kept(context):
    acknowledged = {}
    for writer in context.writers:
        for _, _, number, lines in writer.finish():
            if succeeded(lines):
                acknowledged[f"{writer.prefix}{number}"] = str(number)
    data = context.site.group.primary.values_by_item()
    missing = [k for k, v in acknowledged.items() if data.get(k) != v]
    assert not missing, missing


@when("other clients hold all connections of the primary for 2 s")
def step_exhaust_primary_connections(context):
    site = context.site
    member = site.group.primary
    ip, _, port = site._member_address(member).partition(":")
    connections = [socket.create_connection((ip, int(port))) for _ in range(member.max_connections)]
    wait_until(
        lambda: len(member.connections) >= member.max_connections,
        2.0,
        "the member still accepts connections",
    )
    caller = site.open_session("edge-1", "orders")
    began = time.monotonic()
    while time.monotonic() - began < 2.0:
        assert error_code(caller.query("WRITE a b")) == "BUSY"
    for connection in connections:
        connection.close()


@then("no member was promoted, and writes are served afterwards")
def step_no_promotion(context):
    assert context.site.group.primary.term == 1
    caller = context.site.open_session("edge-0", "orders")
    wait_until(lambda: succeeded(caller.query("WRITE a b")), 3.0, "writes are not served again")


@when("a key that an open session uses is withdrawn")
def step_withdraw_key(context):
    site = context.site
    context.sessions = [site.open_session(h, "orders", SECOND_KEY) for h in site.hosts]
    for session in context.sessions:
        session.query_ok("READ a")
    site.keys["two"] = []
    site.configure()


@then("the session is refused within {limit:d} s and the other team is served")
def step_withdrawn_key_refused(context, limit):
    for session in context.sessions:
        wait_until(
            lambda s=session: error_code(s.query("READ a")) == "NOAUTH",
            limit,
            "the withdrawn key is still accepted",
        )
    context.site.open_session("edge-0", "orders").query_ok("READ a")


@when("the store is down for 5 s")
def step_store_down(context):
    site = context.site
    context.sessions = [site.open_session(h, "orders") for h in site.hosts]
    site.store.down = True
    with site.store.changed:
        site.store.changed.notify_all()
    context.responses = []
    began = time.monotonic()
    while time.monotonic() - began < 5.0:
        for session in context.sessions:
            context.responses.append((time.monotonic() - began, session.query("READ a")))
        time.sleep(0.05)
    site.store.down = False


@then(
    "statements are served for 2 s, refused from 4 s on, and served again after the store recovers"
)
def step_refused_while_store_down(context):
    early = [lines for at, lines in context.responses if at < 2.0]
    late = [lines for at, lines in context.responses if at > 4.0]
    assert early and all(succeeded(lines) for lines in early), [
        x for x in early if not succeeded(x)
    ]
    assert late and all(error_code(lines) == "BUSY" for lines in late), late[:3]
    for session in context.sessions:
        wait_until(lambda s=session: succeeded(s.query("READ a")), 3.0, "not served again")


@when("the store compacts its history and loses half of its responses to writes")
def step_store_loses_history(context):
    context.site.store.dropped_reply_ratio = 0.5
    context.site.store.compact_history()


@then("a new configuration is in force within {limit:d} s at every host")
def step_configuration_in_force(context, limit):
    site = context.site
    site.keys["two"] = ["another-key"]
    site.configure()
    for host in site.hosts:
        wait_until(
            lambda h=host: site.open_session(h, "orders", "another-key").greeting == ["READY I -"],
            limit,
            f"not in force at {host}",
        )


@when("a host gets SIGTERM while callers use it")
def step_terminate_host(context):
    start_writers(context)
    context.stopped_host = "edge-0"
    context.stopped_process = context.site.hosts["edge-0"]
    context.fault_time = time.monotonic()
    context.stopped_process.handle.send_signal(signal.SIGTERM)


@then("it reports not ready, finishes the requests it has read, and exits in time")
def step_host_exits(context):
    wait_until(lambda: not context.site.is_ready("edge-0"), 1.0, "still ready")
    assert context.stopped_process.handle.wait(7.0) == 0
    context.writers[0].stop_requested.set()
    for _, _, number, lines in context.writers[0].results:
        assert not lines or succeeded(lines) or error_code(lines) == "BUSY", (number, lines)


@then("callers at the other hosts get no errors")
def step_other_hosts_unaffected(context):
    time.sleep(0.5)
    for writer in context.writers[1:]:
        failures = [r for r in writer.finish() if not succeeded(r[3])]
        assert not failures, failures[:3]


@when("a host gets SIGHUP with a valid and with an invalid settings file")
def step_reload_settings(context):
    site = context.site
    process = site.hosts["edge-0"]
    process.handle.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=reloaded" in site.log("edge-0"), 2.0, "not reloaded")
    (site.folder / "edge-0.toml").write_text("node_name = 7\n")
    process.handle.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=reload_refused" in site.log("edge-0"), 2.0, "not refused")


@then("it keeps serving")
def step_still_serving(context):
    context.site.open_session("edge-0", "orders").query_ok("WRITE a b")


@given("a site with 1 host whose file descriptors allow 5 callers")
def step_start_site_with_few_descriptors(context):
    start_site(context, hosts=1, max_fds=208)


@when("5 callers open a session")
def step_open_five_sessions(context):
    context.sessions = [context.site.open_session("edge-0", "orders") for _ in range(5)]
    for session in context.sessions:
        session.query_ok("READ a")


@then("another caller is rejected and the host reports not ready")
def step_caller_rejected(context):
    try:
        assert context.site.open_session("edge-0", "orders").greeting == []
    except ConnectionError:
        pass
    wait_until(lambda: not context.site.is_ready("edge-0"), 1.0, "still ready")
    context.sessions[0].query_ok("READ a")


@then("a new caller is served after another one disconnects")
def step_caller_accepted_again(context):
    context.sessions[0].close()
    wait_until(lambda: context.site.is_ready("edge-0"), 1.0, "not ready again")
    context.site.open_session("edge-0", "orders").query_ok("READ a")


@when("a team sends reads without pause at every host for {seconds:d} s")
def step_exceed_rate(context, seconds):
    site = context.site
    context.admitted = []
    end = time.monotonic() + seconds

    def send_reads(host):
        caller = site.open_session(host, "orders")
        while time.monotonic() < end:
            if succeeded(caller.query("READ a")):
                context.admitted.append(time.monotonic())

    threads = [threading.Thread(target=send_reads, args=(h,)) for h in site.hosts]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("no 5 s window admits more than rate and burst allow, and most of the rate is admitted")
def step_admitted_within_rate(context):
    times = sorted(context.admitted)
    allowed = (context.site.rate * 5 + context.site.burst) * 1.1 + 20
    for index, at in enumerate(times):
        inside = sum(1 for t in times[index:] if t < at + 5.0)
        assert inside <= allowed, (inside, allowed)
    assert len(times) > 0.7 * context.site.rate * 6, len(times)


@when("a transaction is idle for longer than the configuration allows")
def step_leave_transaction_idle(context):
    context.caller = context.site.open_session("edge-0", "orders")
    context.caller.query_ok("BEGIN")
    context.caller.query_ok("WRITE idle 1")
    time.sleep(1.6)


@then("its next statement is refused, it is rolled back, and the session stays usable")
def step_idle_transaction_refused(context):
    assert error_code(context.caller.query("READ idle")) == "BADMSG"
    assert context.caller.query_ok("ROLLBACK")[-1].startswith("READY I")
    assert context.caller.query_ok("READ idle")[0] == "ROW none"


@when("the host that owns the primary's links is killed during a transaction")
def step_kill_link_owner(context):
    site = context.site
    callers = {h: site.open_session(h, "orders") for h in site.hosts}
    for caller in callers.values():
        caller.query_ok("WRITE a b")
    link_owner = re.findall(r"verb=write .*?holder=(\S+)", site.log("edge-0"))[-1]
    other = next(h for h in site.hosts if h != link_owner)
    context.caller = callers[other]
    context.caller.query_ok("BEGIN")
    context.caller.query_ok("WRITE lost 1")
    site.hosts[link_owner].kill()
    context.fault_time = time.monotonic()


@then("the commit is refused or its outcome unknown, and writes are served again within 3 s")
def step_commit_refused_or_unknown(context):
    assert error_code(context.caller.query("COMMIT")) in ("ABORTED", "INDOUBT")
    wait_until(
        lambda: succeeded(context.caller.query("WRITE a c")), 3.0, "writes are not served again"
    )
    assert "lost" not in context.site.group.primary.values_by_item()

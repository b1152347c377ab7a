"""Steps over real hosts, a store and members that speak the platform's protocols."""

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

SERVED_S = 3.0


def put(context, **options):
    """Start a site for the scenario."""
    context.site = context.stack.enter_context(Site(**options))


def served(lines):
    """Tell whether an answer is a success."""
    return any(line.startswith("DONE") for line in lines)


def code(lines):
    """Return the code of an answer that is an error."""
    return next((line.split()[1] for line in lines if line.startswith("ERR")), "")


class Writer(threading.Thread):
    """Write numbered items without a pause, and note what came of each."""

    def __init__(self, site, host, prefix):
        """Prepare a writer at one host."""
        super().__init__(daemon=True)
        self.site, self.host, self.prefix = site, host, prefix
        self.results, self.done = [], threading.Event()

    def run(self):
        """Write until told to end."""
        caller = None
        number = 0
        while not self.done.is_set():
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
        """Stop and return the results."""
        self.done.set()
        self.join(10.0)
        return self.results


def start_writers(context):
    """Start a writer at each host and let them run for a moment."""
    site = context.site
    context.writers = [Writer(site, h, f"{h}.") for h in site.hosts]
    for writer in context.writers:
        writer.start()
    time.sleep(0.5)


@given("a site with {count:d} hosts")
def step_site(context, count):
    put(context, hosts=count)


@given("a site with {count:d} hosts and a rate of {rate:d} a second and a burst of {burst:d}")
def step_rated(context, count, rate, burst):
    put(context, hosts=count, rate=rate, burst=burst)


@then("a session reads what it wrote, in and outside transactions")
def step_reads(context):
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


@then("prepared names of two sessions do not mix")
def step_prepared(context):
    first, second = (context.site.open_session("edge-0", "orders") for _ in range(2))
    first.query_ok("PREPARE s READ shape-a")
    second.query_ok("PREPARE s WRITE shape-b")
    second.query_ok("EXEC s item value")
    assert first.query_ok("EXEC s item")[0] == "ROW value"
    first.query_ok("DEALLOC s")
    assert code(first.query("EXEC s item")) == "NOSTMT"
    second.query_ok("EXEC s item value")


@then("session values reach the member before each statement")
def step_values(context):
    first, second = (context.site.open_session("edge-0", "orders") for _ in range(2))
    first.query_ok("SET region north")
    for caller, wanted in ((first, (("region", "north"),)), (second, ()), (first, None)):
        caller.query_ok("READ item")
        run = next(r for r in context.site.group.executed if r.request_id == caller.last_request_id)
        assert wanted is None or run.session_variables == wanted, run


@then("what can't be understood, is unknown or too long is refused by its kind")
def step_refused(context):
    site = context.site
    caller = site.open_session("edge-0", "orders")
    for text, wanted in (
        ("SELECT 1", "BADMSG"),
        ("READ", "BADMSG"),
        ("COMMIT", "BADMSG"),
        ("EXEC none x", "NOSTMT"),
        ("WRITE a " + "x" * (1 << 20), "TOOBIG"),
    ):
        assert code(caller.query(text)) == wanted, text[:20]
    caller.query_ok("READ a")
    assert code(site.open_session("edge-0", "nowhere").greeting) == "NODB"
    assert code(site.open_session("edge-0", "orders", "no-key").greeting) == "NOAUTH"
    assert code(site.open_session("edge-0", "orders").send("QUERY")) == "BADMSG"


@when("callers of two teams write at every host")
def step_teams(context):
    for host in context.site.hosts:
        for key in (KEY, SECOND_KEY):
            caller = context.site.open_session(host, "orders", key)
            caller.query_ok(f"WRITE {host} {key[-3:]}")
            caller.query_ok("READ x")


@then("members saw each team under its name and no key")
def step_names(context):
    runs = context.site.group.executed
    assert {r.team for r in runs} == {"one", "two"}
    for run in runs:
        if run.text.startswith("WRITE"):
            assert run.text.endswith(run.team), run


@when("callers write while the primary goes dark")
def step_dark(context):
    start_writers(context)
    context.old = context.site.group.primary
    context.old.unresponsive = True
    context.since = time.monotonic()


@given("a site with {count:d} hosts whose commits wait for 1 replica")
def step_sync(context, count):
    put(context, hosts=count, sync_replicas=1)


@given("a site with {count:d} hosts and {groups:d} groups")
def step_groups(context, count, groups):
    put(context, hosts=count, groups=groups)


@when("callers write, and the primary goes dark for good and the level replica for 5 s")
def step_sync_dark(context):
    group = context.site.group
    context.old, level, behind = group.members.values()
    behind.lag_s = 60.0
    start_writers(context)
    context.old.unresponsive = level.unresponsive = True
    context.level = level

    def come_back():
        behind.lag_s = level.lag_s
        level.unresponsive = False

    threading.Timer(5.0, come_back).start()


@when("all hosts are killed and started again, so that they know nothing")
def step_restart(context):
    for name, process in list(context.site.hosts.items()):
        process.kill()
        context.site.start_host(name)


@when(
    "the first promoter is down, all members go dark, and all hosts are killed during the promotion"
)
def step_killed_promotion(context):
    site = context.site
    first, *others = sorted(site.hosts, key=lambda h: score(COORDINATOR_KEY, h), reverse=True)
    site.hosts[first].kill()
    context.writers = [Writer(site, h, f"{h}.") for h in others]
    for writer in context.writers:
        writer.start()
    wait_until(
        lambda: any(served(r[3]) for r in context.writers[0].results), 5.0, "no write is served"
    )
    context.old = site.group.primary
    for member in site.group.members.values():
        member.unresponsive = True
    wait_until(lambda: "event=promotion_began" in site.log(others[0]), 5.0, "no promotion began")
    time.sleep(0.2)
    for name in others:
        site.hosts[name].kill()


@when("the replicas and all hosts are back")
def step_killed_back(context):
    site = context.site
    for member in site.group.members.values():
        member.unresponsive = member is context.old
    for name in list(site.hosts):
        site.start_host(name)
    for name in site.hosts:
        wait_until(lambda name=name: site.is_ready(name), SERVED_S * 2, f"{name} is not ready")
    context.since = time.monotonic()


@then("nobody leads while the level replica is dark")
def step_sync_nobody(context):
    while context.level.unresponsive:
        assert context.site.group.primary is context.old
        time.sleep(0.02)
    context.since = time.monotonic()


@when("the addresses of a group go to members of the other group while it is still listed")
def step_address(context):
    first, second = context.site.groups.values()
    for member, other in zip(first.members.values(), second.members.values(), strict=True):
        context.site.reassign_address(member, other)
    context.own, context.other = first, second


@then("nothing is served at any host, and the other group's members ran nothing")
def step_address_none(context):
    for host in context.site.hosts:
        for database, text in (("stock", "READ a"), ("orders", "WRITE a b")):
            assert code(context.site.open_session(host, database).query(text)) == "BUSY"
    assert not context.other.executed, context.other.executed[:3]


@then("statements are served once the members have their addresses again")
def step_address_back(context):
    for member, other in zip(
        context.own.members.values(), context.other.members.values(), strict=True
    ):
        context.site.reassign_address(other, member)
    for host in context.site.hosts:
        context.site.open_session(host, "orders").query_ok("WRITE a b")
    assert {r.team for r in context.own.executed} == {"one"} and not context.other.executed


@when("callers write while the primary reports that it leaves")
def step_leaves(context):
    start_writers(context)
    context.old = context.site.group.primary
    context.since = time.monotonic()
    context.site.register_member(context.old, state="draining")


@then("writes are served again within {limit:d} s")
def step_again(context, limit):
    group = context.site.group
    wait_until(lambda: group.primary is not context.old, limit, "nobody else leads")
    since = time.monotonic()
    late = context.since + limit - since
    wait_until(
        lambda: all(any(served(r[3]) and r[0] > since for r in w.results) for w in context.writers),
        max(0.5, late),
        "writes are not served",
    )


@then("no write was kept twice, and none that was refused was kept")
def step_once(context):
    results = {w.prefix: w.finish() for w in context.writers}
    group = context.site.group
    kept = [i for _, writes in group.primary.log for i in writes]
    assert len(kept) == len(set(kept))
    promised = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY")
    for prefix, told in results.items():
        for _, _, number, lines in told:
            if code(lines) in promised:
                assert f"{prefix}{number}" not in kept, lines


@then("the old primary follows once it is back")
def step_follows(context):
    context.old.unresponsive = False
    wait_until(lambda: context.old.role == "replica", 5.0, "the old primary still leads")


@then("no acknowledged write is missing at the new primary")
def step_complete(context):
    kept = {}
    for writer in context.writers:
        for _, _, number, lines in writer.finish():
            if served(lines):
                kept[f"{writer.prefix}{number}"] = str(number)
    data = context.site.group.primary.values_by_item()
    missing = [k for k, v in kept.items() if data.get(k) != v]
    assert not missing, missing


@when("strangers take all connections of the primary for 2 s")
def step_strangers(context):
    site = context.site
    member = site.group.primary
    ip, _, port = site._member_address(member).partition(":")
    links = [socket.create_connection((ip, int(port))) for _ in range(member.max_connections)]
    wait_until(
        lambda: len(member.connections) >= member.max_connections, 2.0, "the member has room"
    )
    caller = site.open_session("edge-1", "orders")
    began = time.monotonic()
    while time.monotonic() - began < 2.0:
        assert code(caller.query("WRITE a b")) == "BUSY"
    for link in links:
        link.close()


@then("nobody was promoted, and writes are served afterwards")
def step_nobody(context):
    assert context.site.group.primary.term == 1
    caller = context.site.open_session("edge-0", "orders")
    wait_until(lambda: served(caller.query("WRITE a b")), 3.0, "writes are not served")


@when("a key is withdrawn that an open session uses")
def step_withdraw(context):
    site = context.site
    context.sessions = [site.open_session(h, "orders", SECOND_KEY) for h in site.hosts]
    for session in context.sessions:
        session.query_ok("READ a")
    site.keys["two"] = []
    site.configure()


@then("the session is refused within {limit:d} s and the other team is served")
def step_withdrawn(context, limit):
    for session in context.sessions:
        wait_until(lambda s=session: code(s.query("READ a")) == "NOAUTH", limit, "still served")
    context.site.open_session("edge-0", "orders").query_ok("READ a")


@when("the store is down for 5 s")
def step_down(context):
    site = context.site
    context.sessions = [site.open_session(h, "orders") for h in site.hosts]
    site.store.down = True
    with site.store.changed:
        site.store.changed.notify_all()
    context.down = []
    began = time.monotonic()
    while time.monotonic() - began < 5.0:
        for session in context.sessions:
            context.down.append((time.monotonic() - began, session.query("READ a")))
        time.sleep(0.05)
    site.store.down = False


@then("keyed statements are refused from 4 s on, and served again after its return")
def step_refused_down(context):
    early = [lines for at, lines in context.down if at < 2.0]
    late = [lines for at, lines in context.down if at > 4.0]
    assert early and all(served(lines) for lines in early), [x for x in early if not served(x)]
    assert late and all(code(lines) == "BUSY" for lines in late), late[:3]
    for session in context.sessions:
        wait_until(lambda s=session: served(s.query("READ a")), 3.0, "not served again")


@when("the store forgets its history and loses half of the answers to writes")
def step_forgets(context):
    context.site.store.dropped_reply_ratio = 0.5
    context.site.store.compact_history()


@then("a new configuration is in force within {limit:d} s at every host")
def step_in_force(context, limit):
    site = context.site
    site.keys["two"] = ["another-key"]
    site.configure()
    for host in site.hosts:
        wait_until(
            lambda h=host: site.open_session(h, "orders", "another-key").greeting == ["READY I -"],
            limit,
            f"not in force at {host}",
        )


@when("a host is told to stop while callers use it")
def step_stop(context):
    start_writers(context)
    context.stopped = "edge-0"
    context.process = context.site.hosts["edge-0"]
    context.since = time.monotonic()
    context.process.handle.send_signal(signal.SIGTERM)


@then("it is not ready, finishes what it has read, and ends in time")
def step_stopped(context):
    wait_until(lambda: not context.site.is_ready("edge-0"), 1.0, "still ready")
    assert context.process.handle.wait(7.0) == 0
    context.writers[0].done.set()
    for _, _, number, lines in context.writers[0].results:
        assert not lines or served(lines) or code(lines) == "BUSY", (number, lines)


@then("callers at the other hosts noticed nothing")
def step_nothing(context):
    time.sleep(0.5)
    for writer in context.writers[1:]:
        bad = [r for r in writer.finish() if not served(r[3])]
        assert not bad, bad[:3]


@when("a host gets SIGHUP, also with a broken file")
def step_hangup(context):
    site = context.site
    process = site.hosts["edge-0"]
    process.handle.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=reloaded" in site.log("edge-0"), 2.0, "not reloaded")
    (site.folder / "edge-0.toml").write_text("node_name = 7\n")
    process.handle.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=reload_refused" in site.log("edge-0"), 2.0, "not refused")


@then("it goes on serving")
def step_goes_on(context):
    context.site.open_session("edge-0", "orders").query_ok("WRITE a b")


@given("a site with 1 host whose descriptors allow 5 callers")
def step_descriptors(context):
    put(context, hosts=1, max_fds=208)


@when("5 callers have a session")
def step_five(context):
    context.sessions = [context.site.open_session("edge-0", "orders") for _ in range(5)]
    for session in context.sessions:
        session.query_ok("READ a")


@then("another caller is turned away and the host is not ready")
def step_turned_away(context):
    try:
        assert context.site.open_session("edge-0", "orders").greeting == []
    except ConnectionError:
        pass
    wait_until(lambda: not context.site.is_ready("edge-0"), 1.0, "still ready")
    context.sessions[0].query_ok("READ a")


@then("a caller that comes after one has left is served")
def step_room(context):
    context.sessions[0].close()
    wait_until(lambda: context.site.is_ready("edge-0"), 1.0, "not ready again")
    context.site.open_session("edge-0", "orders").query_ok("READ a")


@when("a team presses at every host for {seconds:d} s")
def step_press(context, seconds):
    site = context.site
    context.admitted = []
    end = time.monotonic() + seconds

    def press(host):
        caller = site.open_session(host, "orders")
        while time.monotonic() < end:
            if served(caller.query("READ a")):
                context.admitted.append(time.monotonic())

    threads = [threading.Thread(target=press, args=(h,)) for h in site.hosts]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("no 5 s hold more than its rate and burst allow, and it got most of them")
def step_window(context):
    times = sorted(context.admitted)
    allowed = (context.site.rate * 5 + context.site.burst) * 1.1 + 20
    for index, at in enumerate(times):
        inside = sum(1 for t in times[index:] if t < at + 5.0)
        assert inside <= allowed, (inside, allowed)
    assert len(times) > 0.7 * context.site.rate * 6, len(times)


@when("a transaction rests longer than the configuration allows")
def step_rests(context):
    context.caller = context.site.open_session("edge-0", "orders")
    context.caller.query_ok("BEGIN")
    context.caller.query_ok("WRITE rested 1")
    time.sleep(1.6)


@then("its next statement is refused, it is rolled back, and the session goes on")
def step_rested(context):
    assert code(context.caller.query("READ rested")) == "BADMSG"
    assert context.caller.query_ok("ROLLBACK")[-1].startswith("READY I")
    assert context.caller.query_ok("READ rested")[0] == "ROW none"


@when("the host that holds the primary's links is killed during a transaction")
def step_kill_holder(context):
    site = context.site
    callers = {h: site.open_session(h, "orders") for h in site.hosts}
    for caller in callers.values():
        caller.query_ok("WRITE a b")
    holder = re.findall(r"verb=write .*?holder=(\S+)", site.log("edge-0"))[-1]
    other = next(h for h in site.hosts if h != holder)
    context.caller = callers[other]
    context.caller.query_ok("BEGIN")
    context.caller.query_ok("WRITE lost 1")
    site.hosts[holder].kill()
    context.since = time.monotonic()


@then("the transaction's end is refused or unknown, and writes are served again within 3 s")
def step_killed(context):
    assert code(context.caller.query("COMMIT")) in ("ABORTED", "INDOUBT")
    wait_until(lambda: served(context.caller.query("WRITE a c")), 3.0, "writes are not served")
    assert "lost" not in context.site.group.primary.values_by_item()

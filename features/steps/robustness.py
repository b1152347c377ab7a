"""Steps for odd inputs, lost answers and late messages, against single parts in this process."""

import asyncio
import random
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
from behave import given, then, when
from urllib3.connection import HTTPConnection

from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from wagtailloft import host_process, options
from wagtailloft.adapters import http_pool
from wagtailloft.clock import now
from wagtailloft.controllers.membership import Membership
from wagtailloft.digits import is_decimal
from wagtailloft.errors import Kind, NoResponse, NotSent
from wagtailloft.fleet import mesh as mesh_module
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh
from wagtailloft.fleet.messages import (
    Ack,
    Hello,
    HelloReply,
    RollbackRequest,
    StatementRequest,
    SuspectReport,
)
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import (
    Changes,
    Configuration,
    Entry,
    GroupRule,
    PrimaryAssignment,
    PromotionLeaseRecord,
    Target,
    Topic,
)
from wagtailloft.fleet.store_era import StoreEra
from wagtailloft.fleet.topic_cache import MAX_REMOVALS, TopicCache
from wagtailloft.groups import failover, promotion_lease
from wagtailloft.groups.failover import FailoverCoordinator
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.member_promotion import Promotion
from wagtailloft.groups.ports import BoundStatement, LinkSpec, TargetStatus
from wagtailloft.models import (
    Host,
    HostState,
    Position,
    Role,
)
from wagtailloft.operators import OperatorService
from wagtailloft.sessions.statements import Statement, StatementResult, TransactionState, Verb

PLATFORM = Path(__file__).resolve().parents[2] / "platform"
sys.path.append(str(PLATFORM))

import front  # noqa: E402
import links  # noqa: E402
import records  # noqa: E402
import settings_file  # noqa: E402
import store as platform_store  # noqa: E402
import wire  # noqa: E402

READ = Statement(verb=Verb.READ, text="READ 1")
LOOPBACK = "127.0.0.1"


# The promotion lease.


class SharedLease:
    """The stored lease, which every host's cache shows at once; writes are conditional."""

    def __init__(self):
        """Start without a lease."""
        self.entry = None
        self.era = StoreEra(assignment_expiry=2.7)

    def revision(self, topic):
        """Return the revision of the store."""
        return self.entry.revision if self.entry else 0

    def get(self, topic, name):
        """Return the lease's entry."""
        return self.entry

    async def write(self, topic, name, value):
        """Store the lease at the next revision."""
        self.entry = Entry(
            name=name, revision=self.entry.revision + 1 if self.entry else 1, value=value
        )
        return self.entry


async def never_ends(process_name):
    """Return False: no process is known to have ended."""
    return False


def make_leases(store, *names):
    """Return the leases of hosts; each tells who holds the lease and with which token."""
    return [
        promotion_lease.PromotionLease(
            own=Host(name=n, ip="", caller_port=1, peer_port=1, operator_port=1, incarnation=1),
            cache=store,
            has_ended=never_ends,
        )
        for n in names
    ]


@given("a host that waits for the promotion lease of another")
def step_waiting_for_lease(context):
    context.leases = make_leases(SharedLease(), "a", "b", "c")


def run_leases(context, disturb):
    """Run until b holds the lease; record every set of holders, and their tokens."""
    first, second, third = context.leases
    context.holders, context.tokens = [], {}

    async def watch():
        while True:
            held = [x for x in context.leases if x.is_held()]
            context.holders.append(len(held))
            for lease in held:
                context.tokens.setdefault(lease.fencing_token, set()).add(lease.host_name)
            await asyncio.sleep(0.005)

    async def run():
        await first.acquire()
        watcher = asyncio.create_task(watch())
        await asyncio.gather(second.acquire(), disturb(first, third))
        await asyncio.sleep(0.02)
        watcher.cancel()

    asyncio.run(run())


@when("the holder renews the lease before the wait ends")
def step_lease_renewed(context):
    async def renew(first, third):
        await asyncio.sleep(promotion_lease.TAKEOVER_WAIT_S - 0.4)
        await first.acquire()

    run_leases(context, renew)


@when("a third host takes the lease just before the wait ends")
def step_third_takes_lease(context):
    async def take(first, third):
        await asyncio.sleep(promotion_lease.TAKEOVER_WAIT_S - 0.4)
        record = PromotionLeaseRecord(holder="c/1", taken=9)
        written = await third._cache.write(Topic.FLEET, "duty", record)
        third._valid_until = now() + promotion_lease.LEASE_S
        third.fencing_token = written.revision

    run_leases(context, take)


@then("the two hosts never hold the lease at the same time")
def step_one_holder(context):
    assert context.leases[1].is_held() and max(context.holders) == 1, max(context.holders)


@then("no two hosts hold the lease at the same time, and no fencing token is used twice")
def step_one_holder_per_token(context):
    assert context.leases[1].is_held() and max(context.holders) == 1, max(context.holders)
    assert all(len(names) == 1 for names in context.tokens.values()), context.tokens


# Caches of the store.


def lease_entry(name, revision, removed=False):
    """Return an entry of a cache."""
    value = None if removed else PromotionLeaseRecord(holder="h", taken=revision)
    return Entry(name=name, revision=revision, value=value)


def changes(revision, *entries, is_snapshot=False):
    """Return changes of the fleet topic."""
    return Changes(
        topic=Topic.FLEET, revision=revision, is_snapshot=is_snapshot, entries=tuple(entries)
    )


@then(
    "a cache that began with a snapshot at revision {newer:d} sends a snapshot to one at "
    "revision {older:d}"
)
def step_snapshot_sent(context, newer, older):
    context.behind, context.ahead = TopicCache(topic=Topic.FLEET), TopicCache(topic=Topic.FLEET)
    context.behind.apply(changes(older, lease_entry("a", 1), lease_entry("b", 2)), 0.0)
    context.ahead.apply(changes(newer, lease_entry("b", 2), is_snapshot=True), 0.0)
    sent = context.ahead.since(older)
    assert sent.is_snapshot, sent
    context.behind.apply(sent, 0.0)


@then("a removed object does not stay at a host that pulls from it")
def step_removed_object_gone(context):
    assert context.behind.get("a") is None and context.behind.get("b") is not None


@then(
    "a cache that saw {count:d} removals keeps at most {kept:d}, and none reappears at a host "
    "that pulls"
)
def step_removals_bounded(context, count, kept):
    ahead, behind = TopicCache(topic=Topic.FLEET), TopicCache(topic=Topic.FLEET)
    created = [lease_entry(f"o{n}", n) for n in range(1, count + 1)]
    for cache in (ahead, behind):
        cache.apply(changes(count, *created), 0.0)
    for number in range(1, count + 1):
        at = count + number
        ahead.apply(changes(at, lease_entry(f"o{number}", at, removed=True)), 0.0)
    assert len(ahead._entries) <= kept == MAX_REMOVALS, len(ahead._entries)
    behind.apply(ahead.since(behind.revision), 0.0)
    assert not [n for n in range(1, count + 1) if behind.get(f"o{n}")]


# Links to targets.


class SlowLink:
    """A link whose statements outside BEGIN take until it is closed."""

    def __init__(self, spec):
        """Create an open link."""
        self.spec, self.closed, self.session_variables = spec, False, {}

    async def run(self, bound, timeout):
        """Answer BEGIN at once; other statements fail once the link is closed."""
        if bound.statement.verb is Verb.BEGIN:
            return StatementResult(state=TransactionState.OPEN)
        while not self.closed:
            await asyncio.sleep(0.005)
        raise NoResponse("connection lost")

    def close(self):
        """Close the link."""
        self.closed = True


@then("the link of a transaction that is rolled back while busy is released")
def step_busy_rollback(context):
    target = Target(name="m", group="g", address="1.1.1.1:1", slots=2)
    directory = SimpleNamespace(
        target=lambda group, name: target,
        rule=lambda group: SimpleNamespace(max_links=16),
        may_use_as_primary=lambda group, name: True,
        samples=lambda group: SimpleNamespace(
            statement_sent=lambda: None, statement_returned=lambda: None, add=lambda *_: None
        ),
    )

    async def open_link(spec):
        return SlowLink(spec)

    async def check():
        executor = LocalExecutor(directory=directory, link_factory=SimpleNamespace(open=open_link))
        begin = BoundStatement(request_id="-", statement=Statement(verb=Verb.BEGIN, text="BEGIN"))
        opened = await executor.run(
            StatementRequest(
                group="g", target="m", team="t", bound=begin, budget=1.0, opens_transaction=True
            )
        )
        request = StatementRequest(
            group="g",
            target="m",
            team="t",
            bound=BoundStatement(request_id="r", statement=READ),
            budget=1.0,
            transaction_id=opened.transaction_id,
        )
        running = asyncio.create_task(executor.run(request))
        await asyncio.sleep(0.02)
        executor.rollback(opened.transaction_id)
        await running
        (pool,) = executor._pools.values()
        assert executor.active == 0 and pool.link_count == 0, (executor.active, pool.link_count)

    asyncio.run(check())


@then("the text {text} is no number to targets, callers, operators and settings")
def step_not_a_number(context, text):
    assert not is_decimal(text)
    assert wire.decode_position(f"{text}.1") is None and wire.decode_position(f"1.{text}") is None
    row = StatementResult(rows=(f"replica {text} 1.1 0 0 0 0",))
    assert links.decode_target_status("m", row) is None
    server = {"service": "g", "addr": f"1.1.1.1:{text}", "zone": "z", "version": "1", "slots": 2}
    server |= {"state": "ready", "cold_left_ms": 0, "seq": 1, "db_role": "primary"}
    meta = {"name": "m", "revision": 1}
    stored = msgspec.json.decode(
        msgspec.json.encode({"meta": meta, "spec": server}), type=records.StoredObject
    )
    assert records.decode_entry(Topic.TARGETS, stored, 1).value is None
    assert not settings_file._is_address(f"1.1.1.1:{text}")
    assert options.parse("max_age", f"{text}s").is_err()


class ScriptedTransport:
    """A transport that records what is written."""

    def __init__(self):
        """Create an open transport."""
        self.data, self.aborted = b"", False

    def write(self, data):
        """Record the data."""
        self.data += data

    def is_closing(self):
        """Tell whether it was aborted."""
        return self.aborted

    def abort(self):
        """Record the abort."""
        self.aborted = True


def make_target_link():
    """Return a link to a target over a scripted transport."""
    link = links.TargetLink(spec=LinkSpec(group="g", target="m", address="1.1.1.1:1", team="t"))
    link._transport = ScriptedTransport()
    return link


@then("the statement's outcome counts as unknown, and the link is closed")
def step_refused_variable(context):
    async def check():
        link = make_target_link()
        bound = BoundStatement(request_id="r", statement=READ, session_variables={"a": "1"})
        running = asyncio.create_task(link.run(bound, 1.0))
        await asyncio.sleep(0)
        assert link._transport.data.startswith(b"QUERY - SET a 1\r\n")
        link.data_received(b"ERR BADMSG a\r\nREADY I 1.1\r\nROW x\r\nDONE s\r\nREADY I 1.1\r\n")
        try:
            await running
        except NoResponse as exc:
            assert "SET" in str(exc), exc
        else:
            raise AssertionError("the statement succeeded without its session variable")
        assert link.closed

    asyncio.run(check())


@then("the statement is refused as not executed, and the target got nothing of it")
def step_unencodable(context):
    async def check():
        link = make_target_link()
        statement = Statement(verb=Verb.READ, text="READ \u0142")
        outcome = await link.run(BoundStatement(request_id="r", statement=statement), 1.0)
        assert outcome.kind is Kind.BAD_REQUEST and not outcome.sent, outcome
        assert not link._transport.data and not link._pending and link.closed

    asyncio.run(check())


# Failovers.


def make_coordinator(**parts):
    """Return a failover coordinator of a host, with stand-ins for its parts."""
    cache = SimpleNamespace(
        assignment=lambda group: None,
        on_change=lambda *_: None,
        accept_assignment=lambda assignment: True,
        is_fresh=lambda: True,
        era=StoreEra(assignment_expiry=2.7),
        age=lambda: 0.1,
        max_age=3.3,
        assignments=tuple,
        get=lambda topic, name: None,
    )
    arguments = dict(
        hosts=Hosts(own=make_host(0, 1), mesh=FakeMesh()),
        mesh=FakeMesh(),
        cache=cache,
        directory=SimpleNamespace(),
        local_executor=SimpleNamespace(),
        store=None,
        link_factory=None,
        promotion_api=None,
        lease=SimpleNamespace(observe=None),
        count_failover=lambda group, why: None,
    )
    return FailoverCoordinator(**(arguments | parts))


@given("a failover whose last write to the store fails")
def step_failing_last_write(context):
    async def acquire():
        return True

    targets = tuple(Target(name=n, group="g", address="1.1.1.1:1") for n in ("old", "b", "c"))
    coordinator = make_coordinator(
        directory=SimpleNamespace(
            rule=lambda group: GroupRule(name=group),
            targets=lambda group: targets,
            other_targets=lambda group, name: tuple(t for t in targets if t.name != name),
            target=lambda group, name: next(t for t in targets if t.name == name),
            assignment_or_initial=lambda group: PrimaryAssignment(
                group="g", epoch=1, settled=True, primary="old", term=1
            ),
        ),
        lease=SimpleNamespace(acquire=acquire, observe=None, fencing_token=1),
    )
    context.queried = []
    status = TargetStatus(target="b", role=Role.PRIMARY, term=2, received=Position(term=2))

    async def store_assignment(assignment):
        if assignment.settled:
            raise StoreDown("refused")
        return True

    async def answer(*args, **kwargs):
        return status

    async def promote(claim, candidate):
        return Promotion(claim=claim, status=candidate)

    async def fence(assignment, planned):
        return None

    class RecordingLink:
        async def demote(self, term, timeout):
            return TargetStatus(
                target="old", role=Role.REPLICA, term=term, received=Position(term=2)
            )

        async def resume(self, timeout):
            return None

    async def query(target, action):
        context.queried.append(target.name)
        return await action(RecordingLink())

    coordinator._store_assignment = store_assignment
    coordinator._fence_service = SimpleNamespace(fence=fence)
    promotion = coordinator._promotion
    promotion.wait_for_candidate, promotion.promote_and_wait = answer, promote
    coordinator._queries = promotion._queries = SimpleNamespace(query=query)
    context.coordinator = coordinator


@when("it runs")
def step_run_failover(context):
    async def run():
        try:
            await context.coordinator._run_failover("g", "old", "silent", False)
        except StoreDown:
            pass
        await asyncio.sleep(0.05)

    asyncio.run(run())


@then("the old primary is demoted and the replicas are resumed")
def step_old_primary_demoted(context):
    # The old primary is queried twice: to demote it, and to resume it as a replica.
    assert context.queried.count("old") >= 2 and "c" in context.queried, context.queried


@then("the time that the primary is missing counts from when the host became coordinator")
def step_missing_since(context):
    coordinator = make_coordinator(
        directory=SimpleNamespace(
            groups=lambda: ("g",),
            primary=lambda group: None,
            targets=lambda group: (Target(name="b", group="g", address="1.1.1.1:1"),),
            other_targets=lambda group, name: (),
        )
    )
    started = []
    coordinator._start_failover = lambda *args, **kwargs: started.append(args)
    roles = iter([True, False, True])
    coordinator._is_coordinator = lambda: next(roles)

    async def run():
        watching = asyncio.create_task(coordinator.watch())
        await asyncio.sleep(failover.CHECK_INTERVAL_S * 1.5)
        coordinator._primary_missing_since["g"] = now() - failover.PRIMARY_MISSING_S - 1
        await asyncio.sleep(failover.CHECK_INTERVAL_S * 2)
        watching.cancel()

    asyncio.run(run())
    assert not started and now() - coordinator._primary_missing_since["g"] < 1.0, started


# Calls between hosts.


@then("a call with a time-out of {timeout:g} s fails within {limit:g} s")
def step_connect_bounded(context, timeout, limit):
    async def check():
        mesh = Mesh(ip=LOOPBACK, port=0)

        async def connect(address):
            await asyncio.sleep(mesh_module.CONNECT_TIMEOUT_S)
            raise NotSent("connect timed out")

        mesh._connect = connect
        started = time.monotonic()
        try:
            await mesh.call((LOOPBACK, 1), Ack(), timeout)
        except NotSent:
            pass
        else:
            raise AssertionError("a call without a connection was answered")
        assert time.monotonic() - started < limit

    asyncio.run(check())


@given("two connected hosts")
def step_two_hosts(context):
    context.run_calls = run_calls


def run_calls(calls, handlers=None):
    """Run a function with a call to a host; its handlers fail on demand."""

    async def roll_back(conn, message):
        if message.transaction_id == 1:
            raise RuntimeError("unexpected")
        return Ack()

    async def suspect(conn, message):
        return SuspectReport(group="g", target="t", why="x" * int(message.group))

    async def run():
        server, client = Mesh(ip=LOOPBACK, port=0), Mesh(ip=LOOPBACK, port=0)
        server.register_handler(RollbackRequest, roll_back)
        server.register_handler(SuspectReport, suspect)
        for message_type, handler in (handlers or {}).items():
            server.register_handler(message_type, handler)
        await server.start()
        address = server._server.sockets[0].getsockname()
        try:
            await calls(lambda message: client.call(address, message, 2.0))
        finally:
            client.stop()
            server.stop()

    asyncio.run(run())


async def expect_failure(call, message, error):
    """Check that a call fails at once; return nothing."""
    started = time.monotonic()
    try:
        await call(message)
    except error:
        assert time.monotonic() - started < 1.0
    else:
        raise AssertionError(f"{message} was answered")


@then("the hosts that called it keep nothing of the connection")
def step_connection_forgotten(context):
    async def run():
        server, client = Mesh(ip=LOOPBACK, port=0), Mesh(ip=LOOPBACK, port=0)
        await server.start()
        address = server._server.sockets[0].getsockname()
        with suppress(NoResponse):
            await client.call(address, Ack(), 2.0)
        assert client.connected(address)
        server.stop()
        until = time.monotonic() + 5.0
        while client._conns and time.monotonic() < until:
            await asyncio.sleep(0.01)
        assert not client._conns and not client.connected(address)

    asyncio.run(run())


@when("one calls a handler that raises")
def step_handler_raises(context):
    async def calls(call):
        await expect_failure(call, RollbackRequest(transaction_id=1), NoResponse)
        context.answer = await call(RollbackRequest(transaction_id=2))

    context.run_calls(calls)


@when("a request and a response are larger than a frame may be")
def step_frames_too_large(context):
    size = mesh_module.MAX_FRAME_BYTES

    async def calls(call):
        too_large = SuspectReport(group="1", target="t", why="x" * size)
        await expect_failure(call, too_large, NotSent)
        large_response = SuspectReport(group=str(size), target="t", why="")
        await expect_failure(call, large_response, NoResponse)
        context.answer = await call(RollbackRequest(transaction_id=2))

    context.run_calls(calls)


@then("the call fails at once, and other calls on the connection are answered")
@then("both calls fail at once, and other calls on the connection are answered")
def step_other_calls_answered(context):
    assert context.answer == Ack(), context.answer


# Hosts.


@given("a host that knows a restarted host")
def step_knows_restarted(context):
    context.meshes = {}
    context.restarted = msgspec.structs.replace(make_host(1, 1), incarnation=20)
    own = make_host(0, 1)
    meshes = context.meshes
    meshes[own.ip], meshes[context.restarted.ip] = InProcessMesh(meshes), InProcessMesh(meshes)
    context.hosts = Hosts(own=own, mesh=meshes[own.ip])
    context.hosts._put(context.restarted)

    async def answer(conn, message):
        return HelloReply(host=context.restarted)

    meshes[context.restarted.ip].register_handler(Hello, answer)


@when("a hello that the earlier process sent when it stopped arrives")
def step_late_hello(context):
    late = msgspec.structs.replace(context.restarted, incarnation=10, state=HostState.LEAVING)

    async def run():
        await context.hosts._handle_hello(None, Hello(host=late))
        await asyncio.sleep(0.02)

    asyncio.run(run())


@then("the restarted host stays known with its own process and state")
def step_restarted_known(context):
    known = context.hosts.get(context.restarted.name)
    assert known == context.restarted, known


@then(
    "the earlier process has ended, also if its clock was ahead, and the one that answers has not"
)
def step_has_ended(context):
    def has_ended(incarnation):
        return asyncio.run(context.hosts.has_ended(f"{context.restarted.name}/{incarnation}"))

    assert has_ended(10) and has_ended(30) and not has_ended(20)


@then("a process of a host that does not answer, or of an unknown host, has not")
def step_not_ended(context):
    meshes = context.hosts._mesh.meshes

    async def fail(conn, message):
        raise NotSent("[Errno 111] Connect call failed")

    meshes[context.restarted.ip].register_handler(Hello, fail)
    assert not asyncio.run(context.hosts.has_ended(f"{context.restarted.name}/10"))
    assert not asyncio.run(context.hosts.has_ended("unknown/10"))


@then("a host keeps its own entry")
def step_own_entry_kept(context):
    own = make_host(0, 1)
    hosts = Hosts(own=own, mesh=FakeMesh())
    hosts.add(msgspec.structs.replace(own, ip="10.9.9.9", incarnation=0))
    assert hosts.get(own.name) == own


@then("processes that start at the same reading of the clock have different incarnations")
def step_incarnations_differ(context):
    clock = host_process.time
    try:
        host_process.time = SimpleNamespace(time=lambda: 1_780_000_000.0)
        made = {host_process.new_incarnation() for _ in range(20)}
    finally:
        host_process.time = clock
    assert len(made) > 10, made
    assert all(is_decimal(str(number)) for number in made)


# The platform's answers and callers.


@then("the other routes and teams of the configuration are in force")
def step_partial_configuration(context):
    spec = {
        "version": 3,
        "routes": [
            {"host": "d1", "type": "primary", "service": "g"},
            {"host": "d2", "type": 7, "service": "g"},
        ],
        "services": [{"name": "g", "max_conns": 9}, {"max_conns": "many"}],
        "tenants": [{"name": "t", "api_keys": ["k"]}, {"api_keys": 1}],
    }
    stored = msgspec.json.decode(
        msgspec.json.encode({"meta": {"name": "main", "revision": 1}, "spec": spec}),
        type=records.StoredObject,
    )
    value = records.decode_entry(Topic.SETTINGS, stored, 1).value
    assert isinstance(value, Configuration) and value.version == 3
    assert [r.database for r in value.routes] == ["d1"], value.routes
    assert [t.name for t in value.teams] == ["t"] and [g.max_links for g in value.groups] == [9]


@then("a promotion order that is answered with 500 or 502 counts as unanswered")
def step_promotion_server_error(context):
    api = platform_store.CloudPromotionApi(address="127.0.0.1:1", source=LOOPBACK)

    async def order(status):
        async def call(*args, **kwargs):
            return SimpleNamespace(status=status, body=b"", era=1)

        api._http = SimpleNamespace(call=call)
        return await api.promote(group="g", target="m", holder="h", fencing_token=1)

    for status, accepted in ((500, None), (502, None), (409, False), (200, True)):
        assert asyncio.run(order(status)) is accepted, status


@given("a promotion API that reads an order and does not answer")
def step_silent_promotion_api(context):
    context.listener = context.stack.enter_context(socket.create_server((LOOPBACK, 0)))
    context.received, context.ending = [], []

    def serve():
        conn, _ = context.listener.accept()
        with conn:
            conn.settimeout(5.0)
            try:
                while data := conn.recv(1 << 16):
                    context.received.append(data)
                context.ending.append("closed")
            except OSError as exc:
                context.ending.append(exc)

    context.server = threading.Thread(target=serve, daemon=True)
    context.server.start()


@when("a promotion is ordered")
def step_order_promotion(context):
    ip, port = context.listener.getsockname()
    api = platform_store.CloudPromotionApi(address=f"{ip}:{port}", source=LOOPBACK)
    order = api.promote(group="g", target="m", holder="h", fencing_token=1)
    context.accepted = asyncio.run(order)


@when("a promotion is ordered by a process that freezes for {seconds:d} s as it connects")
def step_order_frozen(context, seconds):
    connect, frozen = HTTPConnection.connect, []

    def freeze(conn):
        connect(conn)
        frozen.append(seconds)

    time_now = http_pool.now
    context.stack.enter_context(patch.object(HTTPConnection, "connect", freeze))
    context.stack.enter_context(patch.object(http_pool, "now", lambda: time_now() + sum(frozen)))
    step_order_promotion(context)


@then("the order counts as unanswered, and nothing of it was sent")
def step_nothing_sent(context):
    context.server.join(5.0)
    assert context.accepted is None and not context.received, context.received


ORDERING_PROCESS = """
import asyncio, sys
sys.path.append(sys.argv[1])
import store
api = store.CloudPromotionApi(address=sys.argv[2], source="127.0.0.1")
asyncio.run(api.promote(group="g", target="m", holder="h", fencing_token=1))
"""


@when("a process orders a promotion and is killed")
def step_kill_ordering_process(context):
    ip, port = context.listener.getsockname()
    command = [sys.executable, "-c", ORDERING_PROCESS, str(PLATFORM), f"{ip}:{port}"]
    process = subprocess.Popen(command)
    while not context.received:
        assert process.poll() is None
        time.sleep(0.005)
    process.kill()
    process.wait()


@then("its connection is reset, so that the order is not sent again")
def step_killed_order_reset(context):
    context.server.join(5.0)
    assert isinstance(context.ending[0], ConnectionResetError), context.ending


@then("the order counts as unanswered, and its connection is reset, so that it is not sent again")
def step_order_reset(context):
    context.server.join(5.0)
    assert context.accepted is None and b"/promote" in b"".join(context.received)
    assert isinstance(context.ending[0], ConnectionResetError), context.ending


@then("a drain of at most {longest:g} s ends within {limit:g} s")
def step_drain_with_silent_caller(context, longest, limit):
    async def check():
        server = front.LineProtocolServer(ip=LOOPBACK, port=0, open_session=None, max_connections=9)
        await server.start()
        address = server._listener.sockets[0].getsockname()
        started = now()
        busy = front.CallerConnection(server=server, name="busy")
        busy._messages.append(None)
        server.connections.add(busy)
        draining = asyncio.create_task(server.drain(started + longest))
        _, writer = await asyncio.open_connection(*address)
        await asyncio.sleep(0.1)
        server.connections.discard(busy)
        await draining
        elapsed = now() - started
        writer.close()
        await server.stop(now(), now())
        assert elapsed < limit, elapsed

    asyncio.run(check())


# The SQL front.


@given("a host that knows another one as leaving")
def step_knows_leaving(context):
    context.membership = Membership(own=make_host(0, 1), rng=random.Random(1))
    leaving = msgspec.structs.replace(make_host(1, 1), state=HostState.LEAVING)
    context.membership.merge(leaving, 1.0)


@when("it suspects the other host and then hears from it")
def step_suspect_and_hear(context):
    context.membership.mark_suspect("h01", 2.0)
    assert context.membership.find("h01").state is HostState.SUSPECT
    context.membership.mark_alive("h01", 2.5)


@then("the other host is still known as leaving")
def step_still_leaving(context):
    assert context.membership.find("h01").state is HostState.LEAVING


@then("a team that calls itself {own} is not accepted under the name {name}")
def step_name_mismatch(context, own, name):
    operators = OperatorService.__new__(OperatorService)
    raw = msgspec.json.encode({"name": own})
    refusal = operators._decode_valid("team", name, raw)
    assert refusal.is_err() and refusal.err_value.kind is Kind.BAD_REQUEST, refusal
    assert operators._decode_valid("team", own, raw).is_ok()

"""Steps for evacuated zones and cold members, without processes."""

import asyncio
import json
import sys
from pathlib import Path
from types import SimpleNamespace

import msgspec
from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from features.steps.late_answers import SlowLink
from features.steps.robustness import make_coordinator
from features.virtual_time import run_virtual
from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import KnownRevision, PullRequest, StatementRequest
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import (
    Changes,
    Configuration,
    Entry,
    EvacuationRecord,
    Freshness,
    GroupRule,
    HostRecord,
    PrimaryAssignment,
    RouteRule,
    Target,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.candidates import best_candidate
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.dispatch import Dispatcher, StatementContext
from wagtailloft.groups.evacuation import ColdPace, Evacuations
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.member_gate import MemberGate
from wagtailloft.groups.member_promotion import MemberPromotion
from wagtailloft.groups.ports import BoundStatement, TargetStatus
from wagtailloft.metrics import Metrics
from wagtailloft.models import Position, Role
from wagtailloft.revisions import make_revision
from wagtailloft.sessions.statements import (
    Statement,
    StatementResult,
    TransactionState,
    Verb,
)

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform"))
import records  # noqa: E402
import settings_file  # noqa: E402

BOUND_S = 5.0
RULE = GroupRule(name="g", cold_start=8.0, cold_rate=10.0)
ANSWER_S = 0.01


def member(name, zone="a", **fields):
    """Return a member of the group g in a zone."""
    return Target(name=name, group="g", address="1.1.1.1:1", zone=zone, **fields)


def evacuated(*zones, bound=BOUND_S, at=100.0, absent_at=99.5):
    """Return the state of a host that learned of evacuations at a time."""
    evacuations = Evacuations(bound=bound)
    for zone in zones:
        evacuations.begin(zone, at=at, absent_at=absent_at)
    return evacuations


def limits(evacuations, *, as_primary):
    """Return the times after 100 up to which work may begin and go on at a member in zone a."""
    times = [100 + n / 100 for n in range(1000)]
    checks = (evacuations.may_begin, evacuations.may_continue)
    return [
        sum(check(member("m"), as_primary=as_primary, at=t) for t in times) / 100
        for check in checks
    ]


@then("replicas get nothing new at once, and open transactions 1 s")
def step_replicas(context):
    assert limits(evacuated("a"), as_primary=False) == [0.0, 1.0]
    assert limits(evacuated("b"), as_primary=False) == [10.0, 10.0]


@then("a primary gets work until 3 s before the bound ends, as counted from when the host learned")
def step_primary(context):
    assert limits(evacuated("a"), as_primary=True) == [2.0, 2.0]


@then("a host that may have learned late stops sooner, and one that has just started sends nothing")
def step_late(context):
    # The evacuation may have been stored 2.5 s before the host learned of it.
    assert limits(evacuated("a", absent_at=97.5), as_primary=True) == [1.0, 1.0]
    assert limits(evacuated("a", absent_at=90.0), as_primary=False) == [0.0, 0.0]
    assert limits(evacuated("a", absent_at=float("-inf")), as_primary=True) == [0.0, 0.0]


@then("with a bound below 3 s the primary gets nothing new at once")
def step_short_bound(context):
    assert limits(evacuated("a", bound=2.9), as_primary=True) == [0.0, 0.9]


@then("it is refused if all members are evacuated, or the primary's time is over, else it waits")
def step_group(context):
    targets = (member("m", "a"), member("n", "b"))
    refuses = evacuated("a").refuses_group
    assert not refuses(targets, targets[0], at=101.9) and refuses(targets, targets[0], at=102.1)
    assert not refuses(targets, None, at=102.1) and not refuses((), None, at=102.1)
    assert evacuated("a", "b").refuses_group(targets, None, at=100.0)
    assert not evacuated("a", "b", bound=0.0).refuses_group(targets, None, at=100.0)


@then("two owners together send no more in any second than the group allows")
def step_any_second(context):
    @for_all(
        st.lists(st.tuples(st.floats(0, 0.3), st.booleans(), st.booleans()), max_size=120),
        st.floats(0.1, 40),
        st.floats(0, 9),
    )
    def check(asked, rate, slack):
        rule = msgspec.structs.replace(RULE, cold_rate=rate)
        owners = [ColdPace(excess=1.5, slack=slack) for _ in range(2)]
        sent, at = [], 0.0
        for passed, which, waits in asked:
            at += passed
            wait = owners[which].reserve("m", rule, at=at, max_wait=3.0 if waits else 0.0)
            sent += [] if wait is None else [at + wait]
        # A host sends at least one a second, so that a slow rate does not stop its work for good.
        allowed = max(2, rate * 1.5 + slack)
        assert all(sum(t <= x < t + 0.999 for x in sent) <= allowed for t in sent), sent

    check()


@then("a statement that must not wait is refused, and counts for nothing")
def step_no_wait(context):
    pace = ColdPace(excess=1.5, slack=5)
    sent = [pace.reserve("m", RULE, at=0.0, max_wait=0.0) for _ in range(30)]
    assert sent == [0.0] * 10 + [None] * 20, sent
    assert pace.reserve("m", RULE, at=1.0, max_wait=0.0) == 0.0


@then("a member that leaves the list and returns within a second gets no more for it")
def step_relisted(context):
    pace = ColdPace(excess=1.5, slack=5)
    sent = []
    for at in (0.0, 0.5):
        sent += [pace.reserve("m", RULE, at=at, max_wait=0.0) for _ in range(10)]
        pace.forget("m", at=at)
    assert sent == [0.0] * 10 + [None] * 10, sent
    pace.forget("n", at=1.0)
    assert not pace._sent


@then("members are paced only while they are cold, or just back, and the group has a rate")
def step_when_paced(context):
    pace, evacuations = ColdPace(excess=1.5, slack=5), evacuated("a")
    evacuations.end("a", at=110.0)
    assert [evacuations.ended_lately("a", at=t) for t in (110.0, 112.9, 113.1)] == [1, 1, 0]
    pace.observe("m", cold_left=4.0, at=100.0)
    no_rate = GroupRule(name="g", cold_start=8.0)
    always_warm = GroupRule(name="g", cold_rate=10.0)
    for rule, returned, at, expected in (
        (RULE, False, 103.9, True),
        (RULE, False, 104.1, False),
        (RULE, True, 104.1, True),
        (no_rate, True, 103.9, False),
        (always_warm, True, 104.1, False),
    ):
        assert pace.is_cold(member("m"), rule, returned=returned, at=at) is expected
    pace.observe("m", cold_left=0.0, at=102.0)
    assert not pace.is_cold(member("m"), RULE, returned=False, at=103.0)


@then("they come last, but with synchronous replicas never before a longer log elsewhere")
def step_candidates(context):
    def best(longest_log, **indexes):
        statuses = [
            TargetStatus(target=n, role=Role.REPLICA, term=1, received=Position(term=1, index=i))
            for n, i in indexes.items()
        ]
        targets = tuple(member(n) for n in indexes)
        gone = frozenset({"z"})
        return best_candidate(
            statuses, targets, Position(term=1, index=5), longest_log=longest_log, evacuated=gone
        ).target

    assert best(False, b=4, z=9) == "b" and best(False, z=9) == "z"
    assert best(True, b=9, z=9) == "b" and best(True, b=8, z=9) == "z"


def decode(topic, name, spec):
    """Return the entry of an object of the platform's store."""
    raw = json.dumps({"meta": {"name": name, "revision": 7}, "spec": spec}).encode()
    return records.decode_entry(topic, records.decode_object(raw), 1)


@then("any object of the kind counts as an evacuation, whatever it holds")
def step_any_object(context):
    for spec in ({}, {"x": 1}, None, 7, "zone", [{}]):
        host = Host()
        host.read(Topic.EVACUATIONS)
        host.read(Topic.EVACUATIONS, decode(Topic.EVACUATIONS, "a", spec))
        assert host.gate.is_evacuated("a"), spec
        host.read(Topic.EVACUATIONS, Entry(name="a", revision=make_revision(1, 9)))
        assert not host.gate.is_evacuated("a"), spec


@then("a member's time to warm up, a group's rate and the settings are decoded, odd ones limited")
def step_decoded(context):
    server = {"service": "g", "addr": "1.1.1.1:1", "zone": "z", "version": "1", "slots": 2}
    server |= {"state": "ready", "seq": 1, "db_role": "primary"}
    for cold_ms, expected in ((1500, 1.5), (0, 0.0), (-5, 0.0), (1e300, 3600.0)):
        entry = decode(Topic.TARGETS, "m", {**server, "cold_left_ms": cold_ms})
        assert entry.value.cold_left == expected, entry
    services = [{"name": "g", "cold_start_s": 8, "cold_per_s": 10}, {"name": "h"}]
    groups = decode(Topic.SETTINGS, "main", {"version": 1, "services": services}).value.groups
    assert groups == (RULE, GroupRule(name="h")), groups
    bounds = settings_file._Bounds
    assert bounds().evacuate_ms == 0 and (bounds().cold_excess, bounds().cold_slack) == (1.5, 5)
    for field in ("evacuate_ms", "cold_excess", "cold_slack"):
        try:
            msgspec.convert({field: -1}, bounds)
        except msgspec.ValidationError:
            continue
        raise AssertionError(f"{field} may be negative")


class BeginLink(SlowLink):
    """A link that answers BEGIN with an open transaction."""

    async def run(self, bound, timeout):
        """Answer after a while."""
        await super().run(bound, timeout)
        opens = bound.statement.verb is Verb.BEGIN_READ or bound.request_id == "t"
        state = TransactionState.OPEN if opens else TransactionState.IDLE
        return StatementResult(state=state, position=Position(term=1, index=1))


class Host:
    """One host with the real cache, gate and executor, and members that answer at once."""

    def __init__(self, *, bound=BOUND_S, store=None):
        """Know the members m (primary, zone a), n (zone b) and o (zone c)."""
        own = make_host(0, 1)
        self.sent, self.revisions = [], {}
        evacuations = Evacuations(bound=bound)
        self.cache = StoreCache(
            store=store,
            hosts=Hosts(own=own, mesh=FakeMesh()),
            mesh=FakeMesh(),
            max_age=3.3,
            assignment_max_age=2.4,
            starts_fleet=True,
            topics=tuple(Topic) if bound else (Topic.SETTINGS, Topic.TARGETS, Topic.FLEET),
        )
        self.directory = GroupDirectory(cache=self.cache)
        self.gate = MemberGate(
            cache=self.cache,
            directory=self.directory,
            evacuations=evacuations,
            pace=ColdPace(excess=1.5, slack=5),
            metrics=Metrics(),
        )
        self.executor = LocalExecutor(
            directory=self.directory,
            link_factory=SimpleNamespace(open=self._open_link),
            gate=self.gate,
        )
        self.read(
            Topic.FLEET,
            Entry(name=host_record_name(own.name), revision=1, value=HostRecord(host=own)),
        )
        self.read(
            Topic.SETTINGS,
            Entry(name="main", revision=1, value=Configuration(version=1, groups=(RULE,))),
        )
        self.list_members()

    def list_members(self, **cold):
        """List the members, some of them cold for some seconds."""
        zones = {"m": "a", "n": "b", "o": "c"}
        for name, zone in zones.items():
            role = Role.PRIMARY if name == "m" else Role.REPLICA
            value = member(name, zone, role=role, cold_left=cold.get(name, 0.0))
            self.read(Topic.TARGETS, Entry(name=name, revision=1, value=value))

    def read(self, topic, *entries, era=1, is_snapshot=False):
        """Read changes of a topic, which get the next revision of an era."""
        number = self.revisions[topic] = self.revisions.get(topic, 10) + 1
        revision = make_revision(era, number)
        entries = tuple(msgspec.structs.replace(e, revision=revision) for e in entries)
        changes = Changes(topic=topic, revision=revision, is_snapshot=is_snapshot, entries=entries)
        self.cache.apply(changes, now())

    async def stay_current(self):
        """Read the assignments again and again, and end what evacuations forbid."""
        ending = asyncio.create_task(self.gate.run(self.executor.end_refused))
        try:
            while True:
                self.read(Topic.FLEET)
                await asyncio.sleep(0.5)
        finally:
            ending.cancel()
            await asyncio.gather(ending, return_exceptions=True)

    def evacuate(self, *zones):
        """Learn of the evacuation of zones."""
        value = EvacuationRecord()
        self.read(Topic.EVACUATIONS, *(Entry(name=z, revision=1, value=value) for z in zones))

    async def run(self, target, verb=Verb.READ, request_id="r", budget=1.0, **fields):
        """Run a statement at a member; return its outcome and transaction."""
        bound = BoundStatement(
            request_id=request_id, statement=Statement(verb=verb, text=verb.value)
        )
        request = StatementRequest(
            group="g",
            target=target,
            team="t",
            bound=bound,
            budget=budget,
            require_primary=target == "m",
            **fields,
        )
        return await self.executor.run(request)

    async def _open_link(self, spec):
        link = BeginLink(spec, ANSWER_S)
        run = link.run

        async def record(bound, timeout):
            self.sent.append((now(), spec.target))
            return await run(bound, timeout)

        link.run = record
        return link


@then("it asks the store for everything but evacuations, and is ready without them")
def step_without_setting(context):
    asked = set()

    async def changes(topic, after, wait):
        asked.add(topic)
        await asyncio.sleep(wait + 0.01)
        return Changes(topic=topic, revision=make_revision(1, 20), is_snapshot=not after)

    async def play():
        host = Host(bound=0.0, store=SimpleNamespace(changes=changes))
        tasks = [asyncio.create_task(host.cache.watch_store(t)) for t in Topic]
        await asyncio.sleep(5.0)
        for task in tasks:
            task.cancel()
        assert host.gate.is_known and asked == set(Topic) - {Topic.EVACUATIONS}, asked
        assert (await host.run("m")).outcome.ok

    run_virtual(play())


@then("a host pulls them from another one, and an earlier version can decode its request")
def step_pulled(context):
    async def play():
        meshes, hosts = {}, []
        for own, other in ((make_host(0, 1), make_host(1, 1)), (make_host(1, 1), make_host(0, 1))):
            meshes[own.ip] = InProcessMesh(meshes)
            known = Hosts(own=own, mesh=meshes[own.ip])
            known._put(other)
            hosts.append(
                StoreCache(
                    store=None,
                    hosts=known,
                    mesh=meshes[own.ip],
                    max_age=3.3,
                    assignment_max_age=2.4,
                    topics=tuple(Topic),
                )
            )
        entry = Entry(name="a", revision=7, value=EvacuationRecord())
        changes = Changes(topic=Topic.EVACUATIONS, revision=7, is_snapshot=True, entries=(entry,))
        hosts[0].apply(changes, now() - 1.0)
        await hosts[1]._pulls.pull("h00", tuple(Topic))
        assert hosts[1].get(Topic.EVACUATIONS, "a") == entry
        assert 0.9 < hosts[1].topic_age(Topic.EVACUATIONS) < 1.5

    asyncio.run(play())
    known = (KnownRevision(topic=Topic.FLEET, revision=1),)
    request = PullRequest(host="h", known_revisions=known, evacuations_revision=3)
    fields = msgspec.to_builtins(request)
    assert [topic for topic, _ in fields[2]] == ["fleet"] and fields[-1] == 3, fields
    assert request.known[-1] == KnownRevision(topic=Topic.EVACUATIONS, revision=3)


@then("the keys and assignments stay fresh, and nothing begins at members")
def step_kind_refused(context):
    async def changes(topic, after, wait):
        await asyncio.sleep(wait + 0.01)
        if topic is Topic.EVACUATIONS:
            raise StoreDown("the store responded with status 404")
        return Changes(topic=topic, revision=max(after, make_revision(1, 1)), is_snapshot=False)

    async def play():
        host = Host(store=SimpleNamespace(changes=changes))
        tasks = [asyncio.create_task(host.cache.watch_store(t)) for t in Topic]
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert host.cache.age() < 1.9 and not host.cache.store_unreachable
        for task in tasks:
            task.cancel()
        assert not host.gate.is_known and not host.gate.may_begin(member("n"), as_primary=False)
        # The caller's host then asks the next host that may own the links.
        assert (await host.run("n")).outcome.kind is Kind.NO_OWNER and not host.sent

    run_virtual(play())


@then("the zone stays evacuated until what the copy lacks could have been written again")
def step_restored(context):
    async def play():
        host = Host()
        host.read(Topic.EVACUATIONS)
        host.evacuate("a", "b")
        for topic in Topic:
            host.read(topic, era=2, is_snapshot=True)
        assert host.gate.is_evacuated("a") and host.gate.is_evacuated("b")
        await asyncio.sleep(1.0)
        unreadable = Entry(name="b", revision=1, is_readable=False)
        host.read(Topic.EVACUATIONS, unreadable, era=2)
        assert host.gate.is_evacuated("a")
        await asyncio.sleep(1.5)
        assert not host.gate.is_evacuated("a") and host.gate.is_evacuated("b")

    run_virtual(play())


@then("open transactions there end within 1 s as lost, and new statements are refused as not sent")
def step_owner_of_replica(context):
    async def play():
        host = Host()
        host.read(Topic.EVACUATIONS)
        idle, used = [
            (await host.run("n", Verb.BEGIN_READ, opens_transaction=True)).transaction_id
            for _ in range(2)
        ]
        current = asyncio.create_task(host.stay_current())
        host.evacuate("b")
        began = now()
        refused = (await host.run("n")).outcome
        assert refused.kind is Kind.ZONE_EVACUATED and not refused.sent, refused
        assert (await host.run("o")).outcome.ok and (await host.run("m")).outcome.ok
        while (outcome := (await host.run("n", request_id="t", transaction_id=used)).outcome).ok:
            await asyncio.sleep(0.05)
        assert outcome.kind is Kind.TRANSACTION_LOST and 0.9 < now() - began < 1.1, outcome
        await asyncio.sleep(0.2)
        assert idle not in host.executor._transactions and host.executor.active == 0
        assert all(at - began < 1.1 for at, name in host.sent if name == "n"), host.sent
        current.cancel()
        await asyncio.gather(current, return_exceptions=True)

    run_virtual(play())


@then("what waits for a link is refused once its time is over, as is the open transaction")
def step_owner_of_primary(context):
    async def play():
        host = Host()
        host.read(Topic.EVACUATIONS)
        opened = await host.run("m", Verb.BEGIN_READ, opens_transaction=True)
        (pool,) = host.executor._pools.values()
        current = asyncio.create_task(host.stay_current())
        host.evacuate("a")
        learned = now()
        assert (await host.run("m", Verb.WRITE)).outcome.ok
        await asyncio.sleep(1.7)
        pool.close_idle()
        pool.limit = 1  # taken by the open transaction, in which a statement runs for 3 s
        pool.in_use.copy().pop().seconds = 3.0
        running = asyncio.create_task(
            host.run("m", request_id="t", budget=9.0, transaction_id=opened.transaction_id)
        )
        waiting = (await host.run("m", Verb.WRITE, budget=2.0)).outcome
        assert waiting.kind is Kind.ZONE_EVACUATED and 1.9 < now() - learned < 2.3, waiting
        await running
        late = [await host.run("m", transaction_id=opened.transaction_id), await host.run("m")]
        kinds = [response.outcome.kind for response in late]
        assert kinds == [Kind.TRANSACTION_LOST, Kind.ZONE_EVACUATED], kinds
        current.cancel()
        await asyncio.gather(current, return_exceptions=True)

    run_virtual(play())


@then("its writes wait for their turn, and are not sent if it is replaced meanwhile")
def step_cold_primary(context):
    async def play():
        host = Host(bound=0.0)
        host.list_members(m=60.0)
        current = asyncio.create_task(host.stay_current())
        writes = [host.run("m", Verb.WRITE, budget=2.5) for _ in range(40)]
        outcomes = [r.outcome for r in await asyncio.gather(*writes)]
        times = [at for at, _ in host.sent]
        assert all(sum(t <= x < t + 0.99 for x in times) <= 10 for t in times), times
        # 10 at once and after 1 s and 2 s; no turn comes in time for the others.
        assert sum(o.ok for o in outcomes) == 30, outcomes
        assert {o.kind for o in outcomes} == {None, Kind.TARGET_BUSY}, outcomes
        count = len(host.sent)
        waiting = [asyncio.create_task(host.run("m", Verb.WRITE, budget=2.5)) for _ in range(12)]
        await asyncio.sleep(0.2)
        claim = PrimaryAssignment(
            group="g", epoch=1, settled=False, primary="", replaced="m", era=1
        )
        host.cache.accept_assignment(claim)
        kinds = {(await w).outcome.kind for w in waiting}
        # The queue refuses those at once whose turn would come too late.
        assert Kind.NO_PRIMARY in kinds and kinds <= {Kind.NO_PRIMARY, Kind.DEADLINE}, kinds
        assert len(host.sent) == count, (len(host.sent), count)
        current.cancel()
        await asyncio.gather(current, return_exceptions=True)

    run_virtual(play())


@then("it goes to another member, or waits for this one without asking it all the time")
def step_read_meets_cold(context):
    async def play(**cold):
        host = Host(bound=0.0)
        host.list_members(**cold)
        asked = []

        async def run(owner, request):
            asked.append(request.target)
            assert len(asked) < 1000, "members are asked all the time"
            return await host.executor.run(request)

        relay = SimpleNamespace(
            owners=lambda target: (SimpleNamespace(name="h00"),), run=run, fetch=None
        )
        dispatcher = Dispatcher(
            directory=host.directory,
            relay=relay,
            sample_exchange=None,
            zone="b",
            metrics=Metrics(),
            gate=host.gate,
        )
        rule = RouteRule(
            database="d", group="g", freshness=Freshness.BOUNDED, max_age=9.0, timeout=2.5
        )
        context = StatementContext(rule=rule, team="t")
        read = BoundStatement(request_id="r", statement=Statement(verb=Verb.READ, text="READ x"))
        host.directory.samples("g").add(now(), Position(term=1, index=1))
        results = [dispatcher.run_single(context, read) for _ in range(40)]
        results = await asyncio.gather(*results)
        return results, asked

    results, asked = run_virtual(play(n=60.0))
    assert all(r.ok for r in results) and set(asked) >= {"n", "o"}, (results, asked)
    results, asked = run_virtual(play(m=60.0, n=60.0, o=60.0))
    assert all(r.ok for r in results) and set(asked) == {"m", "n", "o"}, (results, asked)


@then("it replaces it as planned unless all others are leaving or evacuated too")
def step_coordinator(context):
    def replaces(gone, others, **primary):
        members = (member("m", "a", **primary), *others)
        coordinator = make_coordinator(
            directory=SimpleNamespace(
                primary=lambda group: members[0],
                other_targets=lambda group, excluded: members[1:],
            ),
            is_evacuated=gone.__contains__,
        )
        started = []
        coordinator._start_failover = lambda *args, planned: started.append(planned)
        coordinator._check_group("g")
        return started

    here, away, leaving = member("n", "b"), member("o", "c"), member("p", "b", leaving=True)
    assert replaces({"a"}, (here,)) == [True] and replaces({"b"}, (here,)) == []
    assert replaces({"a", "c"}, (away, leaving)) == [] and replaces({"a"}, ()) == []
    assert replaces({"c"}, (away,), leaving=True) == [] and replaces({"c"}, (here,), leaving=True)


@then("no member in an evacuated zone is ordered to lead, and no commit is given up for it")
def step_no_order_there(context):
    ordered = []

    async def choose(**indexes):
        targets = {"m": member("m", "a"), "n": member("n", "b"), "o": member("o", "c")}

        async def query(target, action):
            role = Role.PRIMARY if target.name == "m" else Role.REPLICA
            position = Position(term=1, index=indexes[target.name])
            return TargetStatus(target=target.name, role=role, term=1, received=position)

        promotion = MemberPromotion(
            directory=SimpleNamespace(
                rule=lambda group: GroupRule(name=group),
                target=lambda group, name: targets[name],
                other_targets=lambda group, name: tuple(
                    t for t in targets.values() if t.name != name
                ),
            ),
            queries=SimpleNamespace(query=query),
            promotion_api=SimpleNamespace(promote=lambda **order: ordered.append(order)),
            lease=None,
            is_evacuated={"a", "c"}.__contains__,
        )
        promotion.orders = SimpleNamespace(is_pending=lambda claim: False)
        claim = PrimaryAssignment(group="g", epoch=1, settled=False, primary="", replaced="m")
        acknowledged = Position(term=1, index=5)
        chosen = await promotion.wait_for_candidate(claim, acknowledged, planned=True)
        there = TargetStatus(target="o", role=Role.REPLICA, term=1, received=acknowledged)
        assert await promotion.promote_and_wait(claim, there) is None and not ordered
        return chosen.target

    assert run_virtual(choose(m=5, n=5, o=9)) == "n"
    # The only other member lacks acknowledged commits, which the running primary has.
    assert run_virtual(choose(m=5, n=4, o=9)) == "m"

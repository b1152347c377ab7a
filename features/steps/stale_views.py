"""Steps for hosts that a coordinator does not ask, and for members that are not listed."""

import asyncio
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
from behave import given, then, when

from features import restored_store
from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from features.restored_store import (
    GROUP,
    MEMBERS,
    ZONES,
    ModelFleet,
    ModelHost,
    ModelMesh,
    StoreClient,
)
from features.virtual_time import run_virtual
from wagtailloft import clock
from wagtailloft.errors import Kind, NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.records import (
    Changes,
    Configuration,
    Entry,
    GroupRule,
    HostRecord,
    PrimaryAssignment,
    Target,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.counted_hosts import COUNTED_HOSTS_OBJECT
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.failover import HOST_REMOVAL_S
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.member_promotion import MemberPromotion
from wagtailloft.groups.ports import BoundStatement, TargetStatus
from wagtailloft.models import Position, Role
from wagtailloft.sessions.statements import Statement, Verb


class PartlyCutMesh(ModelMesh):
    """A mesh whose hosts may be cut off from each other pair by pair."""

    async def call(self, address, message, limit):
        """Call another host; raise NotSent if the pair is cut off."""
        pair = frozenset((self.host.number, self.meshes[address[0]].host.number))
        if pair in self.host.fleet.cut_pairs:
            raise NotSent("[Errno 111] Connect call failed")
        return await super().call(address, message, limit)


class RegisteredHost(ModelHost):
    """A host that tells whether it would use a target."""

    def uses(self, target):
        """Tell whether this host would send statements to a target as primary."""
        return self.directory.may_use_as_primary(GROUP, target)


class EarlyAnswers(StoreClient):
    """One host's access to a store that answers some watches at once, over a slow connection."""

    early_host, answered_at = None, None

    async def changes(self, topic, after, wait):
        """Return the changes of a watch; of the fleet's, as they were when it was sent."""
        if self._host.number != self.early_host or topic is not Topic.FLEET or not wait:
            return await super().changes(topic, after, wait)
        sent_at = clock.now()
        changes = await super().changes(topic, after, 0.0)
        type(self).answered_at = clock.now()
        await asyncio.sleep(sent_at + wait - clock.now())
        return changes


class RegisteredFleet(ModelFleet):
    """A fleet whose register changes, with cuts between pairs of hosts."""

    def __init__(self, *, seed):
        """Start the fleet."""
        self.cut_pairs = set()
        super().__init__(seed=seed)
        assert all(h.uses(MEMBERS[0]) for h in self.hosts)

    def register(self, host):
        """Store a host's registration."""
        record = HostRecord(host=make_host(host.number, ZONES, incarnation=0))
        self.store.write(Topic.FLEET, host_record_name(host.hosts.own.name), record)

    def unregister(self, number):
        """Withdraw and later delete a registration, as coordinators do for an unreachable host."""
        host = self.hosts[number]
        record = HostRecord(host=make_host(number, ZONES, incarnation=0), withdrawn=True)
        self.store.write(Topic.FLEET, host_record_name(host.hosts.own.name), record)
        self._loop.call_later(host.cache.assignment_use_limit, self._delete, number)

    def _delete(self, number):
        key = (Topic.FLEET, host_record_name(self.hosts[number].hosts.own.name))
        self.store.objects = {k: e for k, e in self.store.objects.items() if k != key}
        # The model's store tells of a change only if the newest object's number grows.
        live = next(h for h in self.hosts if h.number != number and not h.refused)
        self.register(live)

    def part(self, first, second, *, cut):
        """Cut two hosts off from each other, or connect them again."""
        pair = frozenset((first, second))
        self.cut_pairs = self.cut_pairs | {pair} if cut else self.cut_pairs - {pair}

    def isolate(self, number, *, cut, but=()):
        """Cut a host off from the store and from all others but some, or end that."""
        self.hosts[number].refused = cut
        for other in self.hosts:
            if other.number != number and other.number not in but:
                self.part(number, other.number, cut=cut)

    def _check(self, host):
        super()._check(host)
        name = host.hosts.own.process_name
        self.violations = [v for v in self.violations if " uses " not in v or "may use" in v]
        for member in MEMBERS:
            if member != self.primary and host.uses(member):
                at = round(clock.now() - self.promoted_at, 3)
                self.violations.append(f"{name} may use {member} {at} s after its replacement")

    def promote(self, host):
        """Take a promotion order."""
        self.promoted_at, old = clock.now(), self.primary
        users = [h.hosts.own.process_name for h in self.hosts if h.uses(old)]
        if users:
            self.violations.append(f"{users} may use {old} as it is replaced")
        return super().promote(host)


@given("a model of {number:d} hosts that may be cut off from each other in part")
def step_model(context, number):
    context.stack.enter_context(patch.object(restored_store, "HOSTS", number))
    context.stack.enter_context(patch.object(restored_store, "ModelMesh", PartlyCutMesh))
    context.stack.enter_context(patch.object(restored_store, "ModelHost", RegisteredHost))
    context.stack.enter_context(patch.object(restored_store, "StoreClient", EarlyAnswers))
    context.fleet = RegisteredFleet(seed=1)
    context.stack.callback(context.fleet.close)


@when("host 3 is cut off and host 0 replaces the primary, which hosts 1 and 2 confirm")
def step_cut_and_replace(context):
    fleet = context.fleet
    fleet.isolate(3, cut=True)
    fleet.advance(0.05)
    fleet.fail_over(0)
    fleet.advance(0.3)
    epochs = [h.cache.assignment(GROUP) for h in fleet.hosts]
    assert epochs[1] == epochs[2] == epochs[0] is not None and epochs[3] is None, epochs


@when("host 1 restarts, hears host 3 alone for a while, and host 3 confirms the fence then")
def step_restart_and_hear(context):
    fleet = context.fleet
    fleet.isolate(1, cut=True, but=(3,))
    fleet.part(1, 3, cut=False)
    fleet.restart(1)
    fleet.advance(0.5)
    fleet.isolate(1, cut=True)
    fleet.isolate(3, cut=False)
    fleet.part(1, 3, cut=True)


@when("hosts 0 and 1 are cut off for {seconds:g} s, and the register no longer has them")
def step_unregistered(context, seconds):
    fleet = context.fleet
    for number, other in ((0, 1), (1, 0)):
        fleet.isolate(number, cut=True, but=(other,))
    fleet.advance(7.0)
    for number in (0, 1):
        fleet.unregister(number)
        fleet.advance(0.5)
    fleet.advance(seconds - 8.0)
    for number in (2, 3, 4):
        known = {h.name for h in fleet.hosts[number].hosts.all()}
        assert known == {"h02", "h03", "h04"}, known


@when("host 2 is cut off from all but them, and host 3 replaces the primary")
def step_cut_second(context):
    fleet = context.fleet
    fleet.isolate(2, cut=True)
    for number in (0, 1):
        fleet.part(2, number, cut=False)
    fleet.advance(0.6)  # the hosts that were cut off first say hello to the second
    fleet.fail_over(3)


@when("they return as hosts 2 and 3 are cut off, and host 4 restarts and replaces the primary")
def step_return_and_restart(context):
    step_return(context, restarts=True)


@when("they return as hosts 2 and 3 are cut off, and host 4 replaces the primary")
def step_return(context, restarts=False):
    fleet = context.fleet
    for number, other in ((2, 3), (3, 2)):
        fleet.isolate(number, cut=True, but=(other,))
    for number in (0, 1):
        fleet.hosts[number].refused = False
        for other in (0, 1, 4):
            fleet.part(number, other, cut=False)
        fleet.register(fleet.hosts[number])
    fleet.advance(0.2)
    if restarts:
        fleet.restart(4)
    fleet.advance(0.4)
    fleet.fail_over(4)


@when("they read of their new registrations, and hosts 2 and 3 are cut off")
def step_read_registrations(context):
    fleet = context.fleet
    for number in (0, 1):
        fleet.register(fleet.hosts[number])
    for number, other in ((2, 3), (3, 2)):
        fleet.isolate(number, cut=True, but=(other,))
    for number in (0, 1):
        fleet.hosts[number].refused = False


@then("their confirmations count {earliest:g} s later at the earliest, and {latest:g} s later")
def step_count_later(context, earliest, latest):
    fleet, seconds = context.fleet, 0.0
    while seconds < latest:
        entry = fleet.store.objects[(Topic.FLEET, COUNTED_HOSTS_OBJECT)]
        counted = {"h00", "h01"} & set(entry.value.hosts)
        assert not counted or seconds >= earliest, (counted, seconds)
        fleet.advance(0.1)
        seconds = round(seconds + 0.1, 1)
    assert counted == {"h00", "h01"}, counted


@when("host 3 is not registered, and is cut off from the other hosts")
def step_not_registered(context):
    fleet = context.fleet
    fleet.isolate(3, cut=True)
    fleet.unregister(3)
    fleet.advance(16.0)
    fleet.hosts[3].refused = False  # it reaches the store again
    fleet.advance(2.0)
    own = fleet.hosts[3]
    assert own.cache.assignments_valid() and not own.cache.is_registered()
    assert "h03" not in {h.name for h in fleet.hosts[0].hosts.all()}


@when("host 0 replaces the primary, and host 3's registration is stored before it reads that")
def step_register_late(context):
    fleet, late = context.fleet, context.fleet.hosts[3]
    for task in late.tasks[:4]:  # its next reads of the store are answered late
        task.cancel()
    fleet.fail_over(0)
    fleet.advance(0.1)
    record = HostRecord(host=make_host(3, ZONES, incarnation=0))
    name = host_record_name(late.hosts.own.name)
    assert fleet.run(late.cache.write(Topic.FLEET, name, record))


@when("host 0 can't reach host 3 and removes it, and the others lose it at that moment")
def step_removed(context):
    fleet = context.fleet
    fleet.part(0, 3, cut=True)
    own = fleet.hosts[3].hosts.own
    fleet.run(fleet.hosts[0].hosts._send_hello((own.ip, own.peer_port), own.name))
    fleet.advance(7.0)
    assert fleet.hosts[3].uses(MEMBERS[0])
    assert fleet.hosts[0].hosts.suspected_for(HOST_REMOVAL_S)[0].name == "h03"
    fleet.isolate(3, cut=True)
    fleet.unregister(3)
    fleet.advance(0.2)


@when("host 0 restarts and replaces the primary")
def step_restart_coordinator(context):
    fleet = context.fleet
    fleet.restart(0)
    own = fleet.hosts[0]
    own.hosts._hosts.pop("h03")  # the model names all hosts to a new process
    fleet.advance(0.4)
    assert own.hosts.withdrawn_for("h03") > 0.0
    fleet.fail_over(0)


@when("hosts 2 and 3 reach no other host, and host 1 begins to replace the primary")
def step_begin(context):
    fleet = context.fleet
    fleet.advance(2.0)
    for number in (2, 3):
        for other in range(4):
            fleet.part(number, other, cut=True)
    fleet.advance(0.2)
    fleet.fail_over(1)
    fleet.advance(0.02)
    assert fleet.hosts[1].cache.assignment(GROUP) is not None


@when("the store comes back {outage:g} s later from a copy that is older than the claim")
def step_lose_claim(context, outage):
    context.fleet.restore(age=1.0, outage=outage, restarted=())


@when(
    "a watch of host 1 is answered without changes at once, and its answer comes as its wait ends"
)
def step_early_answer(context):
    fleet = context.fleet
    context.stack.enter_context(patch.object(EarlyAnswers, "early_host", 1))
    context.stack.enter_context(patch.object(EarlyAnswers, "answered_at", None))
    fleet.advance(fleet.hosts[0].cache.assignment_use_limit)  # until all hosts count
    EarlyAnswers.answered_at = None
    while EarlyAnswers.answered_at is None:
        fleet.advance(0.001)


@when("host 1 is cut off behind that answer, and host 0 replaces the primary")
def step_cut_behind_answer(context):
    fleet = context.fleet
    fleet.isolate(1, cut=True)
    fleet.fail_over(0)
    fleet.advance(0.05)
    claim = fleet.hosts[0].cache.assignment(GROUP)
    assert claim is not None and fleet.hosts[1].cache.assignment(GROUP) is None, claim


@then("no host may use a replaced primary in the next {seconds:g} s")
def step_none_uses(context, seconds):
    context.fleet.advance(seconds)
    assert context.fleet.primary != MEMBERS[0], "the primary was not replaced"
    violations = context.fleet.violations
    assert not violations, (violations[:2], violations[-1], len(violations))


@given("a group of a primary and 2 replicas in which a commit waits for 1 replica")
def step_group(context):
    hosts = Hosts(own=make_host(0, 1), mesh=FakeMesh())
    context.cache = StoreCache(
        store=None, hosts=hosts, mesh=FakeMesh(), max_age=3.3, assignment_max_age=2.4
    )
    context.directory = GroupDirectory(cache=context.cache)
    value = Configuration(version=1, groups=(GroupRule(name=GROUP, sync_replicas=1),))
    settings = Entry(name="main", revision=1, value=value)
    context.cache.apply(
        Changes(topic=Topic.SETTINGS, revision=1, is_snapshot=True, entries=(settings,)), 1.0
    )
    members = tuple(
        Entry(
            name=name,
            revision=2,
            value=Target(name="", group=GROUP, address="1.1.1.1:1", role=role),
        )
        for name, role in zip(MEMBERS, (Role.PRIMARY, Role.REPLICA, Role.REPLICA), strict=True)
    )
    context.cache.apply(
        Changes(topic=Topic.TARGETS, revision=2, is_snapshot=True, entries=members), 1.0
    )


@when("the entry of the replica that has the last commit is removed, and its link's host is lost")
def step_entry_removed(context):
    gone = Entry(name=MEMBERS[1], revision=3, value=None)
    context.cache.apply(
        Changes(topic=Topic.TARGETS, revision=3, is_snapshot=False, entries=(gone,)), 2.0
    )
    assert context.directory.target(GROUP, MEMBERS[1]) is None


@then("the other replica is not promoted")
def step_not_promoted(context):
    candidate = choose_candidate(context, {MEMBERS[2]: 7}, None)
    assert candidate is None, f"{candidate.target} at {candidate.received} would be promoted"


@when("the replica that has the last commit is leaving, and hosts report an earlier position")
def step_leaving(context):
    member = context.directory.target(GROUP, MEMBERS[1])
    leaving = Entry(
        name=MEMBERS[1], revision=3, value=msgspec.structs.replace(member, leaving=True)
    )
    context.cache.apply(
        Changes(topic=Topic.TARGETS, revision=3, is_snapshot=False, entries=(leaving,)), 2.0
    )


@then("the leaving replica is promoted")
def step_leaving_promoted(context):
    candidate = choose_candidate(context, {MEMBERS[1]: 9, MEMBERS[2]: 8}, Position(term=1, index=8))
    assert candidate.target == MEMBERS[1], f"{candidate.target} at {candidate.received}"


def choose_candidate(context, positions, last_acknowledged):
    """Return the member that would be promoted, of replicas at positions of term 1."""
    statuses = {
        name: TargetStatus(
            target=name, role=Role.REPLICA, term=1, received=Position(term=1, index=index)
        )
        for name, index in positions.items()
    }

    async def query(target, action):
        return statuses.get(target.name)

    promotion = MemberPromotion(
        directory=context.directory,
        queries=SimpleNamespace(query=query),
        promotion_api=None,
        lease=None,
    )
    claim = PrimaryAssignment(group=GROUP, epoch=1, settled=False, primary="", replaced=MEMBERS[0])

    async def choose():
        return await promotion.wait_for_candidate(claim, last_acknowledged, planned=False)

    return run_virtual(choose())


@when("a transaction is opened through the host, and another through its next process")
def step_two_processes(context):
    first = context.executor
    request = msgspec.structs.replace(
        context.request,
        bound=BoundStatement(
            request_id="-", statement=Statement(verb=Verb.BEGIN_READ, text="BEGIN READ")
        ),
        opens_transaction=True,
    )
    context.request = msgspec.structs.replace(context.request, require_primary=False)
    following = LocalExecutor(directory=context.directory, link_factory=first._link_factory)

    async def run():
        opened = await first.run(request)
        await following.run(msgspec.structs.replace(request, team="u"))
        return await following.run(
            msgspec.structs.replace(context.request, transaction_id=opened.transaction_id)
        )

    context.response = run_virtual(run())


@then("the next process runs no statement of the first transaction")
def step_not_run(context):
    assert context.response.outcome.kind is Kind.TRANSACTION_LOST, context.response


@given("a host of a fleet of 3, of which another two are known at one address")
def step_one_address(context):
    mesh = FakeMesh()
    hosts = Hosts(own=make_host(0, 1), mesh=mesh)
    answering = make_host(1, 1)
    mesh.hosts[answering.ip] = answering
    for host in (answering, msgspec.structs.replace(make_host(2, 1), ip=answering.ip)):
        hosts._put(host)
    context.cache = StoreCache(
        store=None, hosts=hosts, mesh=mesh, max_age=3.3, assignment_max_age=2.4
    )


@when("it pulls from both while one process answers")
def step_pull_both(context):
    async def pull():
        for name in ("h01", "h02"):
            await context.cache._pulls.pull(name, (Topic.FLEET,), names_only=True)

    asyncio.run(pull())


@then("it has not heard from a majority")
def step_no_majority(context):
    assert not context.cache.heard_from_majority()


@given("two hosts of a fleet of {size:d}, of which one also knows {new:d} hosts {how}")
def step_two_hosts(context, size, new, how):
    # The other hosts answer no hello.
    context.stack.enter_context(patch.object(Hosts, "_schedule_hello", lambda self, host: None))
    meshes, context.caches = {}, []
    records = [
        Entry(name=host_record_name(h.name), revision=1 + (n >= size), value=HostRecord(host=h))
        for n, h in enumerate(make_host(n, 1) for n in range(size + new))
    ]
    context.new_hosts = [r.value.host for r in records[size:]]
    for number in (0, 1):
        own = make_host(number, 1)
        mesh = meshes[own.ip] = InProcessMesh(meshes)
        cache = StoreCache(
            store=None,
            hosts=Hosts(own=own, mesh=mesh),
            mesh=mesh,
            max_age=3.3,
            assignment_max_age=2.4,
        )
        cache._started -= 10.0
        context.caches.append(cache)
        read_registrations(cache, 1, records[:size])
    if how == "by their hello":
        for host in context.new_hosts:
            context.caches[1]._hosts._put(host)
    else:
        read_registrations(context.caches[1], 2, records[size:])


def read_registrations(cache, revision, records):
    """Let a host's cache have registrations, and nothing else."""
    for topic in Topic:
        entries = tuple(records) if topic is Topic.FLEET else ()
        cache.apply(
            Changes(topic=topic, revision=revision, is_snapshot=False, entries=entries),
            clock.now(),
        )


@when("the other asks it which hosts it hears from, and it hears from the 2 and from the other")
def step_ask_reporter(context):
    asking, reporter = context.caches
    for host in (asking._hosts.own, *context.new_hosts):
        reporter._reports.add_host(host.name, clock.now())
    context.majorities = []

    async def ask():
        for names_only in (True, False):
            await asking._pulls.pull("h01", (Topic.FLEET,), names_only=names_only, collect=True)
            context.majorities.append(asking.heard_from_majority())

    asyncio.run(ask())


@then("the other has not heard from a majority, also after it has read of the 2")
def step_no_majority_by_report(context):
    assert context.majorities == [False, False], context.majorities

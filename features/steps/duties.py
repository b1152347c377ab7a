"""Steps for fleets whose hosts call nobody but for the watch of hosts, in virtual time."""

import asyncio
import time
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from msgspec.structs import replace

from features.fake_mesh import InProcessMesh, make_host
from features.steps.robustness import make_coordinator
from features.virtual_time import run_virtual
from standins.fleet import wait_until
from wagtailloft.controllers import ownership
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.host_watch import HostWatch
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import ENCODER, StatementRequest
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import Entry, Target, Topic
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.failover import COORDINATOR_KEY
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.models import HostState, Role
from wagtailloft.sessions.statements import (
    Statement,
    StatementResult,
    TransactionState,
    Verb,
)

ZONES = 3
ROUND_TRIP_S = 0.01
SETTLE_S = 3.0
POLL_S = 0.01


class IdleFleet:
    """Hosts that know each other, with networks between them that can lose hosts."""

    def __init__(self, count):
        """Create the hosts; call it within a running loop."""
        self.ended, self.frozen, self.cut = set(), set(), set()
        self.sent, self.received, self.largest = Counter(), Counter(), 0
        meshes, known = {}, [make_host(n, ZONES) for n in range(count)]
        self.hosts = {}
        for host in known:
            mesh = meshes[host.ip] = WatchedMesh(meshes, fleet=self, own=host)
            hosts = self.hosts[host.name] = Hosts(own=host, mesh=mesh)
            hosts._hosts.update({h.name: h for h in known})
        self._names = {h.ip: h.name for h in known}
        self.tasks = [
            asyncio.create_task(task)
            for hosts in self.hosts.values()
            for task in (
                HostWatch(hosts=hosts, key=COORDINATOR_KEY).run(),
                hosts.retry_suspected(),
            )
        ]
        self.ranked = [h.name for h in ownership.owners(COORDINATOR_KEY, tuple(known))]

    def name_at(self, ip):
        """Return the name of the host at an address."""
        return self._names[ip]

    def coordinator(self, name):
        """Return the coordinator as one host sees it."""
        return self.hosts[name].rank_owners(COORDINATOR_KEY)[0].name

    def suspected(self, name):
        """Return the hosts that a host suspects."""
        return {h.name for h in self.hosts[name].all() if h.state is HostState.SUSPECT}

    async def wait(self, condition, seconds):
        """Wait for a condition; return whether it came about in time."""
        for _ in range(round(seconds / POLL_S)):
            if condition():
                return True
            await asyncio.sleep(POLL_S)
        return condition()

    def lose(self, names, how):
        """End, freeze or cut off hosts."""
        {"end": self.ended, "freeze": self.frozen, "are cut off": self.cut}[how].update(names)


class WatchedMesh(InProcessMesh):
    """A mesh whose calls take a round trip, and fail as those to lost hosts do."""

    def __init__(self, meshes, *, fleet, own):
        """Take the fleet and the own host."""
        super().__init__(meshes)
        self._fleet, self._own = fleet, own.name

    def connected(self, address):
        """Tell that connections stay open, as those to a frozen host do."""
        return True

    async def call(self, address, message, limit):
        """Call a host, or fail as the way to it does."""
        fleet, other = self._fleet, self._fleet.name_at(address[0])
        while self._own in fleet.frozen or self._own in fleet.ended:
            await asyncio.sleep(POLL_S)
        fleet.sent[self._own] += 1
        fleet.largest = max(fleet.largest, len(ENCODER.encode(message)))
        if other in fleet.ended:
            await asyncio.sleep(ROUND_TRIP_S)
            raise NotSent("refused")
        if other in fleet.frozen or {other, self._own} & fleet.cut:
            await asyncio.sleep(limit)
            raise NoResponse("silence")
        await asyncio.sleep(ROUND_TRIP_S)
        fleet.received[other] += 1
        return await super().call(address, message, limit)


def play(context, check):
    """Run a check of a settled fleet in virtual time."""

    async def run():
        fleet = IdleFleet(context.host_count)
        try:
            await asyncio.sleep(SETTLE_S)
            await check(fleet)
        finally:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(run())


@given("a fleet of {count:d} idle hosts")
def step_fleet(context, count):
    context.host_count = count


@when("the first {lost:d} hosts in the coordinator's ranking freeze for {seconds:g} s")
def step_freeze_for_a_while(context, lost, seconds):
    context.lost_count, context.frozen_s = lost, seconds


@when("the first {lost:d} hosts in the coordinator's ranking {how}")
def step_lose_first(context, lost, how):
    context.lost_count, context.how = lost, how


@then("the next one is the coordinator within {seconds:g} s, and each host lost is suspected there")
def step_next_coordinator(context, seconds):
    async def check(fleet):
        lost, heir = fleet.ranked[: context.lost_count], fleet.ranked[context.lost_count]
        assert fleet.coordinator(heir) == fleet.ranked[0]
        fleet.lose(lost, context.how)
        found = await fleet.wait(lambda: fleet.coordinator(heir) == heir, seconds)
        assert found, (fleet.coordinator(heir), heir)
        assert fleet.suspected(heir) == set(lost), fleet.suspected(heir)

    play(context, check)


@when("the host that is last in the coordinator's ranking freezes")
def step_lose_last(context):
    """Leave the loss to the check, which needs the fleet."""


@then("the coordinator suspects it within {seconds:g} s")
def step_coordinator_suspects(context, seconds):
    async def check(fleet):
        first, last = fleet.ranked[0], fleet.ranked[-1]
        fleet.lose([last], "freeze")
        assert await fleet.wait(lambda: last in fleet.suspected(first), seconds)

    play(context, check)


@then("when the coordinator freezes as well, the next one suspects both within {seconds:g} s")
def step_next_suspects_both(context, seconds):
    async def check(fleet):
        first, second, middle = fleet.ranked[0], fleet.ranked[1], fleet.ranked[-2]
        fleet.lose([middle], "freeze")
        await asyncio.sleep(SETTLE_S)
        fleet.lose([first], "freeze")
        both = {first, middle}
        assert await fleet.wait(lambda: both <= fleet.suspected(second), seconds), fleet.suspected(
            second
        )

    play(context, check)


@then("the first one is the coordinator at all hosts {seconds:g} s later")
def step_back_again(context, seconds):
    async def check(fleet):
        first = fleet.ranked[0]
        fleet.lose([first], "freeze")
        await asyncio.sleep(context.frozen_s)
        assert fleet.coordinator(fleet.ranked[1]) == fleet.ranked[1]
        fleet.frozen.clear()
        assert await fleet.wait(
            lambda: all(fleet.coordinator(n) == first for n in fleet.ranked), seconds
        )

    play(context, check)


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.seconds = seconds


@then("each host sent and received at most {rate:g} hellos a second, of at most {size:d} bytes")
def step_cost(context, rate, size):
    async def check(fleet):
        fleet.sent.clear()
        fleet.received.clear()
        await asyncio.sleep(context.seconds)
        for counts in (fleet.sent, fleet.received):
            assert max(counts.values()) <= rate * context.seconds, counts.most_common(3)
        assert 0 < fleet.largest <= size, fleet.largest

    play(context, check)


@given("its hosts have been registered for long enough to count towards majorities")
def step_counted(context):
    site = context.site
    counted = f"event=counted_hosts_changed hosts={len(site.hosts)} "
    wait_until(lambda: any(counted in site.log(n) for n in site.hosts), 15.0, "not counted")


@when(
    "the coordinator is killed for good, and {seconds:g} s later the primary is registered as"
    " draining"
)
def step_kill_coordinator(context, seconds):
    site = context.site
    ranked = sorted(site.hosts, key=lambda n: -ownership.score(COORDINATOR_KEY, n))
    site.hosts[ranked[0]].kill()
    time.sleep(seconds)
    context.leaving = site.group.primary
    site.register_member(context.leaving, state="draining")


@then("another member is primary within {seconds:g} s")
def step_replaced(context, seconds):
    group = context.site.group
    wait_until(lambda: group.primary is not context.leaving, seconds, "not replaced")


@given("a coordinator that the store refuses, and a group whose primary is leaving")
def step_refused_coordinator(context):
    context.members = {
        "m0": Target(name="m0", group="g", address="1.1.1.1:1", role=Role.PRIMARY, leaving=True),
        "m1": Target(name="m1", group="g", address="1.1.1.1:2", role=Role.REPLICA),
    }
    context.started = []

    def make(name):
        coordinator = make_coordinator(
            directory=SimpleNamespace(
                groups=lambda: ("g",),
                primary=lambda group: context.members["m0"],
                other_targets=lambda group, excluded: (context.members["m1"],),
            )
        )

        async def run_failover(group, replaced, reason, planned):
            context.started.append((name, replaced, planned))
            if name == "refused":
                raise StoreDown("refused")

        async def is_still_primary(group, replaced):
            return True

        coordinator._run_failover = run_failover
        coordinator._is_still_primary = is_still_primary
        coordinator._promotion.orders.is_pending = lambda assignment: False
        return coordinator

    context.refused, context.other = make("refused"), make("other")


def hand_over(context):
    """Let the refused coordinator find the primary leaving; return the failovers that were run."""
    context.started.clear()

    async def run():
        async def take_over(message):
            context.other._handle_suspicion(message)

        context.refused._delegate_failover = take_over
        context.refused._start_failover("g", "m0", "the primary is leaving", planned=True)
        await asyncio.sleep(1.0)

    run_virtual(run())
    return list(context.started)


@when("it finds the primary leaving, and another host takes over")
def step_hand_over(context):
    context.runs = hand_over(context)


@then("the other host replaces the primary as planned, although the primary answers")
def step_replaced_as_planned(context):
    assert context.runs == [("refused", "m0", True), ("other", "m0", True)], context.runs


@then("it does not if it knows the primary as staying, or no other member that stays")
def step_not_replaced(context):
    for name, leaving in (("m0", False), ("m1", True)):
        members = dict(context.members)
        context.members[name] = replace(members[name], leaving=leaving)
        assert hand_over(context) == [("refused", "m0", True)], (name, context.started)
        context.members.update(members)


class GroupView:
    """A directory of one host, and an executor over links that answer at once."""

    def __init__(self, drain):
        """Take the seconds for which leaving members go on."""
        self._listeners = {}
        cache = SimpleNamespace(
            on_change=self._listeners.__setitem__,
            assignment=lambda group: None,
            assignments_valid=lambda: True,
            assignments_age=lambda: 0.1,
            is_registered=lambda: True,
            configuration=lambda: None,
            era=SimpleNamespace(era=1),
        )
        self.directory = GroupDirectory(cache=cache, member_drain=drain)
        self._revision = 0

        async def open_link(spec):
            return AnsweringLink(spec)

        links = SimpleNamespace(open=open_link)
        self.executor = LocalExecutor(directory=self.directory, link_factory=links)

    def report(self, name, **fields):
        """Let a member report."""
        self._revision += 1
        defaults = dict(name="", group="g", address="1.1.1.1:1", slots=2)
        value = Target(**{**defaults, **fields})
        entry = Entry(name=name, revision=self._revision, value=value)
        self._listeners[Topic.TARGETS](entry)

    async def run(self, verb, **fields):
        """Run a statement at the primary; return the response."""
        bound = BoundStatement(request_id="r", statement=Statement(verb=verb, text=verb.value))
        request = StatementRequest(
            group="g",
            target="m0",
            team="t",
            bound=bound,
            budget=1.0,
            require_primary=True,
            **fields,
        )
        return await self.executor.run(request)

    async def begins(self):
        """Tell whether a write, a read and a transaction begin at the primary."""
        responses = [
            await self.run(Verb.WRITE),
            await self.run(Verb.READ),
            await self.run(Verb.BEGIN, opens_transaction=True),
        ]
        self.executor.rollback(responses[-1].transaction_id)
        kinds = {r.outcome.kind for r in responses}
        assert len(kinds) == 1, kinds
        return kinds == {None}


class AnsweringLink:
    """A link whose statements succeed at once."""

    def __init__(self, spec):
        """Create an open link."""
        self.spec, self.closed = spec, False

    async def run(self, bound, timeout):
        """Succeed."""
        begins = bound.statement.verb is Verb.BEGIN
        in_transaction = begins or bound.request_id == "in transaction"
        state = TransactionState.OPEN if in_transaction else TransactionState.IDLE
        return StatementResult(signature="7.a", state=state)

    def close(self):
        """Close the link."""
        self.closed = True


@given(
    "a view of a group whose members go on for {drain:g} s after they report that they are leaving"
)
def step_group_view(context, drain):
    context.drain = drain


@when("the primary reports that it is leaving, and is not replaced")
def step_leaving_and_not_replaced(context):
    async def play():
        view = GroupView(context.drain)
        view.report("m0", role=Role.PRIMARY)
        view.report("m1", role=Role.REPLICA)
        begun = await view.run(Verb.BEGIN, opens_transaction=True)
        view.report("m0", role=Role.PRIMARY, leaving=True)
        context.began = []
        for second in range(20):
            if second == 9:
                view.report("m0", role=Role.PRIMARY, leaving=True, sequence=9)
            context.began.append((second / 2, await view.begins()))
            await asyncio.sleep(0.5)
        context.commit = await view.run(Verb.COMMIT, transaction_id=begun.transaction_id)
        later = GroupView(context.drain)
        later.report("m0", role=Role.PRIMARY, leaving=True)
        context.later = []
        for second in range(8):
            context.later.append((second / 2, await later.begins()))
            await asyncio.sleep(0.5)
        context.again = []
        for leaving, started in ((False, 0), (True, 0), (False, 5)):
            view.report("m0", role=Role.PRIMARY, leaving=leaving, started=started)
            context.again.append(await view.begins())

    run_virtual(play())


@then(
    "statements and transactions begin there in the next {first:g} s, and none from {last:g} s on"
)
def step_begins(context, first, last):
    assert all(begins for at, begins in context.began if at <= first), context.began
    assert not any(begins for at, begins in context.began if at >= last), context.began


@then("open transactions go on, and their answers are passed on")
def step_open_goes_on(context):
    assert context.commit.outcome.ok, context.commit


@then("a host that never saw it staying begins none after half of that time")
def step_half(context):
    half = context.drain / 2
    assert context.later[0][1], context.later
    assert not any(begins for at, begins in context.later if at >= half), context.later


@then("one that reports that it is staying, or starts again, gets statements again")
def step_again(context):
    assert all(context.again), context.again

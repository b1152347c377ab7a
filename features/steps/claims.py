"""Steps for taking over a claimed promotion, judged by a host's view of the other hosts."""

import asyncio
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from wagtailloft.clock import now
from wagtailloft.controllers.ownership import score
from wagtailloft.errors import NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import SuspectReport
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import PrimaryAssignment, Target
from wagtailloft.groups.claims import CLAIM_TIMEOUT_S, is_claim_abandoned
from wagtailloft.groups.failover import COORDINATOR_KEY, FailoverCoordinator
from wagtailloft.groups.member_promotion import MemberPromotion
from wagtailloft.groups.ports import TargetStatus
from wagtailloft.models import HostState, Position, Role


def may_take_over(context, claim_age=0.0, running_here=False):
    """Return whether the host may take over the claim, first seen `claim_age` seconds ago."""
    return is_claim_abandoned(
        context.hosts, context.claimant, running_here=running_here, claim_age=claim_age
    )


@given("a host that knows of a promotion claimed by another host")
def step_claimed_by_other(context):
    context.hosts = Hosts(own=make_host(0, 2), mesh=FakeMesh())
    context.other = make_host(1, 2)
    context.hosts._put(context.other)
    context.claimant = context.other.process_name
    assert not may_take_over(context)


class RefusingPromotionLease:
    """A promotion lease for which the store serves one host and refuses all others.

    The name of the served host is appended to `attempts`; the lease itself is never granted.
    """

    def __init__(self, *, name, served, attempts):
        """Create the lease of the host `name`; `served` is the name of the host that is served."""
        self.name, self.served, self.attempts = name, served, attempts

    async def acquire(self):
        """Record the attempt and return False if the host is served, else raise StoreDown."""
        if self.name != self.served:
            raise StoreDown("refused")
        self.attempts.append(self.name)
        return False

    def observe(self, entry):
        """Ignore the stored lease record."""


class UnreachableLinkFactory:
    """A link factory whose targets are all unreachable."""

    async def open(self, spec):
        """Raise NotSent."""
        raise NotSent("connect timed out")


def make_coordinator(own, fleet, meshes, lease):
    """Return the failover coordinator of one host that knows all others of the fleet."""
    mesh = meshes[own.ip] = InProcessMesh(meshes)
    hosts = Hosts(own=own, mesh=mesh)
    for other in fleet:
        if other is not own:
            hosts._put(other)
    primary = Target(name="m", group="g", address="1.1.1.1:1", role=Role.PRIMARY)
    cache = SimpleNamespace(assignment=lambda group: None, on_change=lambda *_: None)
    directory = SimpleNamespace(
        primary=lambda group: primary, target=lambda group, name: primary, cache=cache
    )
    return FailoverCoordinator(
        hosts=hosts,
        mesh=mesh,
        cache=cache,
        directory=directory,
        local_executor=SimpleNamespace(),
        store=None,
        link_factory=UnreachableLinkFactory(),
        promotion_api=None,
        lease=lease,
        count_failover=lambda group, why: None,
    )


@given("3 hosts, of which the store serves only the last in the order of coordinators")
def step_store_serves_last(context):
    context.fleet = sorted(
        (make_host(n, 1) for n in range(3)),
        key=lambda h: score(COORDINATOR_KEY, h.name),
        reverse=True,
    )


@when("the first coordinator receives a report that a primary does not respond")
def step_suspect_reported(context):
    async def run():
        context.attempts, meshes = [], {}
        served = context.fleet[-1].name
        coordinators = [
            make_coordinator(
                h,
                context.fleet,
                meshes,
                RefusingPromotionLease(name=h.name, served=served, attempts=context.attempts),
            )
            for h in context.fleet
        ]
        coordinators[0]._handle_suspicion(SuspectReport(group="g", target="m", why="silent"))
        deadline = now() + 2.0
        while now() < deadline and not context.attempts:
            await asyncio.sleep(0.02)

    asyncio.run(run())


@then("the host that the store serves tries to replace the primary within 2 s")
def step_last_tries_failover(context):
    assert context.attempts == [context.fleet[-1].name], context.attempts


@given("a host that has claimed a promotion itself")
def step_claimed_by_self(context):
    context.hosts = Hosts(own=make_host(0, 2), mesh=FakeMesh())
    context.claimant = context.hosts.own.process_name


@when("that host is restarted as a new process")
def step_restarted(context):
    context.hosts._put(msgspec.structs.replace(context.other, incarnation=2))


@when("that host is suspected")
def step_suspected(context):
    context.hosts._put(msgspec.structs.replace(context.other, state=HostState.SUSPECT))


@then("the promotion may be taken over at once")
def step_take_over_now(context):
    assert may_take_over(context)


@then("the promotion may be taken over only after 8 s")
def step_take_over_later(context):
    assert CLAIM_TIMEOUT_S == 8.0
    assert not may_take_over(context, claim_age=7.9) and may_take_over(context, claim_age=8.1)


@given("a host that waits for the promotion lease to replace a primary")
def step_waits_for_lease(context):
    context.assignment = PrimaryAssignment(group="g", epoch=1, settled=True, primary="old", term=1)
    context.writes = []

    async def write(topic, name, value):
        context.writes.append(value)

    context.cache = SimpleNamespace(
        assignment=lambda group: context.assignment, on_change=lambda *_: None, write=write
    )


@when("another host replaces the primary in the meantime")
def step_replaced_by_other(context):
    async def acquire():
        context.assignment = PrimaryAssignment(
            group="g", epoch=2, settled=True, primary="new", term=2
        )
        return True

    coordinator = FailoverCoordinator(
        hosts=Hosts(own=make_host(0, 2), mesh=FakeMesh()),
        mesh=FakeMesh(),
        cache=context.cache,
        directory=SimpleNamespace(assignment_or_initial=lambda group: context.assignment),
        local_executor=SimpleNamespace(),
        store=None,
        link_factory=None,
        promotion_api=None,
        lease=SimpleNamespace(acquire=acquire, observe=None),
        count_failover=lambda group, why: None,
    )
    asyncio.run(coordinator._run_failover("g", "old", "silent", False))


@then("this host does not start a failover")
def step_no_failover(context):
    assert context.writes == []


@then("the host may take it over unless it is already running it")
def step_take_over_unless_running(context):
    assert may_take_over(context) and not may_take_over(context, running_here=True)


class ExpiredPromotionLease:
    """A promotion lease that has expired and can be taken again."""

    host_name, fencing_token = "h00", 7
    held = False

    def is_held(self):
        """Return whether the lease was taken again."""
        return self.held

    async def acquire(self):
        """Return True: no other host holds the lease now."""
        self.held = True
        return True


@given("a coordinator whose promotion lease expires while it fences")
def step_lease_expires(context):
    claim = PrimaryAssignment(
        group="g", epoch=1, settled=False, primary="", replaced="m", claimant="h00/1"
    )
    context.cached = context.claim = claim
    context.orders = []

    async def read_now(topic):
        context.cached = context.stored

    async def promote(**order):
        context.orders.append(order)
        return False

    cache = SimpleNamespace(
        assignment=lambda group: context.cached, read_now=read_now, era=SimpleNamespace(era=0)
    )
    target = Target(name="n", group="g", address="1.1.1.1:1", role=Role.REPLICA)
    context.promotion = MemberPromotion(
        directory=SimpleNamespace(target=lambda group, name: target, cache=cache),
        queries=None,
        promotion_api=SimpleNamespace(promote=promote),
        lease=ExpiredPromotionLease(),
    )


@when("another host claims the failover, and this one takes the lease back before it hears of that")
def step_claim_replaced(context):
    context.stored = msgspec.structs.replace(context.claim, epoch=2, claimant="h01/1")
    candidate = TargetStatus(target="n", role=Role.REPLICA, term=1, received=Position())
    asyncio.run(context.promotion.promote_and_wait(context.claim, candidate))


@then("this host orders no promotion")
def step_no_order(context):
    assert context.orders == [], context.orders

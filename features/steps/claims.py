"""Steps for claims on promotions, from what a host knows of the others."""

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
from wagtailloft.models import HostState, Role


def abandoned(context, waited=0.0, at_work=False):
    """Tell whether the claim may be taken over."""
    return is_claim_abandoned(
        context.hosts, context.claimant, running_here=at_work, claim_age=waited
    )


@given("a host that knows of a promotion begun by another host")
def step_other(context):
    context.hosts = Hosts(own=make_host(0, 2), mesh=FakeMesh())
    context.other = make_host(1, 2)
    context.hosts._put(context.other)
    context.claimant = context.other.process
    assert not abandoned(context)


class RefusedLease:
    """Raise for a host that the store refuses; note that another one began."""

    def __init__(self, *, name, served, began):
        """Belong to a host."""
        self.name, self.served, self.began = name, served, began

    async def acquire(self):
        """Take the duty if the store serves the host."""
        if self.name != self.served:
            raise StoreDown("refused")
        self.began.append(self.name)
        return False

    def observe(self, entry):
        """Ignore the duty's object."""


class Unreachable:
    """Reach no member."""

    async def open(self, spec):
        """Raise."""
        raise NotSent("connect timed out")


def coordinator(own, fleet, meshes, lease):
    """Return the promotion of one host of a fleet that knows all others."""
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
        link_factory=Unreachable(),
        promotion_api=None,
        lease=lease,
        count_failover=lambda group, why: None,
    )


@given("3 hosts, of which the store serves the one that is the last choice as a promoter")
def step_three(context):
    context.fleet = sorted(
        (make_host(n, 1) for n in range(3)),
        key=lambda h: score(COORDINATOR_KEY, h.name),
        reverse=True,
    )


@when("the first promoter hears that a primary is silent")
def step_hears(context):
    async def check():
        context.began, meshes = [], {}
        served = context.fleet[-1].name
        parts = [
            coordinator(
                h,
                context.fleet,
                meshes,
                RefusedLease(name=h.name, served=served, began=context.began),
            )
            for h in context.fleet
        ]
        parts[0]._handle_suspicion(SuspectReport(group="g", target="m", why="silent"))
        until = now() + 2.0
        while now() < until and not context.began:
            await asyncio.sleep(0.02)

    asyncio.run(check())


@then("the host that the store serves begins to replace it within 2 s")
def step_third_begins(context):
    assert context.began == [context.fleet[-1].name], context.began


@given("a host that has begun a promotion itself")
def step_own(context):
    context.hosts = Hosts(own=make_host(0, 2), mesh=FakeMesh())
    context.claimant = context.hosts.own.process


@when("that host starts again as another process")
def step_again(context):
    context.hosts._put(msgspec.structs.replace(context.other, incarnation=2))


@when("that host is suspected")
def step_suspected(context):
    context.hosts._put(msgspec.structs.replace(context.other, state=HostState.SUSPECT))


@then("the promotion may be taken over at once")
def step_at_once(context):
    assert abandoned(context)


@then("the promotion may only be taken over after 8 s")
def step_after(context):
    assert CLAIM_TIMEOUT_S == 8.0
    assert not abandoned(context, waited=7.9) and abandoned(context, waited=8.1)


@given("a host that waits for the duty to replace a primary")
def step_waits(context):
    context.assignment = PrimaryAssignment(group="g", epoch=1, settled=True, primary="old", term=1)
    context.writes = []

    async def write(topic, name, value):
        context.writes.append(value)

    context.cache = SimpleNamespace(
        assignment=lambda group: context.assignment, on_change=lambda *_: None, write=write
    )


@when("another host has replaced it meanwhile")
def step_meanwhile(context):
    async def take():
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
        lease=SimpleNamespace(acquire=take, observe=None),
        count_failover=lambda group, why: None,
    )
    asyncio.run(coordinator._run_failover("g", "old", "silent", False))


@then("this host begins nothing")
def step_nothing_begun(context):
    assert context.writes == []


@then("it goes on with it unless it is at work on it")
def step_goes_on_with(context):
    assert abandoned(context) and not abandoned(context, at_work=True)

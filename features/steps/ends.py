"""Steps for hosts that can't be reached although their processes run."""

import asyncio
import socket
import time
from types import SimpleNamespace

from behave import given, then, when

from features.fake_mesh import FakeMesh, make_host
from features.restored_store import MEMBERS, ModelFleet
from wagtailloft import clock
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh
from wagtailloft.fleet.records import Changes, PrimaryAssignment, Topic
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.fencing import FenceService
from wagtailloft.models import Host

LOOPBACK = "127.0.0.{}"


@given("a model of hosts")
def step_model(context):
    context.fleet = ModelFleet(seed=1)
    context.stack.callback(context.fleet.close)


@when("the connections of host {cut:d} are refused and host {coordinator:d} replaces the primary")
def step_replace_primary(context, cut, coordinator):
    context.fleet.reset(cut, 5.0)
    context.fleet.advance(0.05)
    context.fleet.fail_over(coordinator)


@then("no host uses a replaced primary in the next {seconds:g} s")
def step_no_replaced_primary(context, seconds):
    context.fleet.advance(seconds)
    assert context.fleet.primary != MEMBERS[0], "the primary was not replaced"
    assert not context.fleet.violations, context.fleet.violations[:3]


@when(
    "host {first:d} takes the promotion lease, its connections are refused, "
    "and host {second:d} takes the lease"
)
def step_take_lease(context, first, second):
    holders = [context.fleet.hosts[n] for n in (first, second)]
    assert context.fleet.run(holders[0].lease.acquire())
    context.fleet.advance(0.3)  # for the other host to learn of the holder
    context.fleet.reset(first, 5.0)
    context.fleet.run(_say_hello(holders[1], holders[0]))
    assert context.fleet.run(holders[1].lease.acquire())
    context.fleet.advance(1.0)


async def _say_hello(caller, host):
    own = host.hosts.own
    await caller.hosts._send_hello((own.ip, own.peer_port), own.name)


@then("no two hosts held the lease at once")
def step_one_holder(context):
    assert not context.fleet.violations, context.fleet.violations[:3]


@given("a coordinator, a host that answers, and one at whose address no socket listens")
def step_unreachable_host(context):
    with socket.create_server((LOOPBACK.format(3), 0)) as closed:
        port = closed.getsockname()[1]
    context.members = [
        Host(name=f"h{n}", ip=LOOPBACK.format(n), caller_port=1, peer_port=port, operator_port=1)
        for n in (1, 2, 3)
    ]


@when("the coordinator fences a primary whose assignment expires after {max_age:g} s")
def step_fence(context, max_age):
    async def run():
        (service, mesh), (_, other) = (_fence_service(context.members, n, max_age) for n in (0, 1))
        await other.start()
        started_at = time.monotonic()
        assignment = PrimaryAssignment(group="g", epoch=1, settled=False, primary="", replaced="m")
        await service.fence(assignment, planned=False)
        context.seconds = time.monotonic() - started_at
        mesh.stop()
        other.stop()

    asyncio.run(run())


def _fence_service(members, number, max_age):
    async def return_at_once(*_):
        return None

    own = members[number]
    mesh = Mesh(ip=own.ip, port=own.peer_port)
    hosts = Hosts(own=own, mesh=mesh)
    for member in members:
        hosts._put(member)
    cache = SimpleNamespace(
        assignment_max_age=max_age, read_now=return_at_once, accept_assignment=lambda _: True
    )
    executor = SimpleNamespace(fence=return_at_once)
    return FenceService(hosts=hosts, mesh=mesh, cache=cache, local_executor=executor), mesh


@then("the fence took at least {seconds:g} s")
def step_fence_took(context, seconds):
    assert context.seconds >= seconds, context.seconds


@given(
    "a host of a fleet of 5 that has just started, and hears an assignment 3 s old from 2 others"
)
def step_just_started(context):
    hosts = Hosts(own=make_host(0, 1), mesh=FakeMesh())
    for number in range(1, 5):
        hosts._put(make_host(number, 1))
    context.cache = StoreCache(
        store=None, hosts=hosts, mesh=FakeMesh(), max_age=3.3, assignment_max_age=2.4
    )
    for topic in Topic:
        changes = Changes(topic=topic, revision=1, is_snapshot=True)
        context.cache.apply(changes, clock.now() - 3.0)
    for name in ("h01", "h02"):
        context.cache._reports.add_host(name, clock.now())


@then("it may not use the assignment, because only 2 of 5 hosts vouch for it")
def step_no_majority(context):
    assert not context.cache.assignments_valid()


@then("it may use the assignment once a third host vouches for it")
def step_majority(context):
    context.cache._reports.add_host("h03", clock.now())
    assert context.cache.assignments_valid()

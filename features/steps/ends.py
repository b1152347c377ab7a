"""Steps for hosts that can't be reached although their processes run."""

import asyncio
import socket
import time
from types import SimpleNamespace

from behave import given, then, when

from features.fake_mesh import FakeMesh, make_host
from features.restored_store import MEMBERS, ModelFleet
from features.virtual_time import VirtualTimeLoop
from wagtailloft import clock
from wagtailloft.errors import NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh
from wagtailloft.fleet.records import (
    Changes,
    Entry,
    HostRecord,
    PrimaryAssignment,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.failover import FailoverCoordinator
from wagtailloft.groups.fencing import FenceService
from wagtailloft.models import Host
from wagtailloft.revisions import NO_ERA, make_revision

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
        record = HostRecord(host=member)
        hosts.follow_register(Entry(name=host_record_name(member.name), revision=1, value=record))
    cache = SimpleNamespace(
        assignment_max_age=max_age,
        assignment_use_limit=max_age,
        era=SimpleNamespace(era=NO_ERA),
        read_now=return_at_once,
        accept_assignment=lambda _: True,
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


class Register:
    """A store that has the registrations of hosts."""

    def __init__(self, *hosts):
        """Register hosts."""
        self.number, self.records = 0, {}
        for host in hosts:
            self._store(host_record_name(host.name), HostRecord(host=host))

    def _store(self, name, value):
        self.number += 1
        self.records[name] = Entry(name=name, revision=make_revision(1, self.number), value=value)
        return self.records[name]

    def snapshot(self):
        """Return all registrations."""
        return Changes(
            topic=Topic.FLEET,
            revision=make_revision(1, self.number),
            is_snapshot=True,
            entries=tuple(self.records.values()),
        )

    async def put(self, topic, name, value, revision):
        """Write a registration."""
        return self._store(name, value)

    async def remove(self, topic, name, revision):
        """Delete a registration."""
        self.number += 1
        del self.records[name]


@given("a coordinator whose register has a host that has been suspected for {seconds:g} s")
def step_suspected_host(context, seconds):
    own, context.lost, third = (make_host(n, 1) for n in range(3))
    context.loop = VirtualTimeLoop()
    real_time = clock.time
    context.stack.callback(setattr, clock, "time", real_time)
    context.stack.callback(context.loop.close)
    clock.time = SimpleNamespace(clock_gettime=lambda _: context.loop.time(), CLOCK_BOOTTIME=None)
    context.register = Register(own, context.lost, third)
    context.hosts = Hosts(own=own, mesh=FakeMesh())
    for host in (context.lost, third):
        context.hosts._put(host)
    context.cache = StoreCache(
        store=context.register,
        hosts=context.hosts,
        mesh=FakeMesh(),
        max_age=3.3,
        assignment_max_age=2.4,
    )
    context.cache.on_change(Topic.FLEET, context.hosts.follow_register)
    context.cache.apply(context.register.snapshot(), clock.now())
    context.coordinator = FailoverCoordinator(
        hosts=context.hosts,
        mesh=FakeMesh(),
        cache=context.cache,
        directory=None,
        local_executor=SimpleNamespace(),
        store=context.register,
        link_factory=None,
        promotion_api=None,
        lease=SimpleNamespace(observe=lambda entry: None),
        count_failover=None,
    )
    context.hosts._record_failure(context.lost, NotSent("connect timed out"), certain=True)
    pass_time(context, seconds)


def pass_time(context, seconds, work=None):
    """Let virtual time pass, and do some work every 0.2 s."""

    async def run():
        until = clock.now() + seconds
        while clock.now() < until:
            await asyncio.sleep(0.2)
            if work:
                await work()
                context.cache.apply(context.register.snapshot(), clock.now())

    context.loop.run_until_complete(run())


@when("it looks after its register for {seconds:g} s")
def step_look_after(context, seconds):
    pass_time(context, seconds, context.coordinator._unregister_lost_host)


@when("the registration vanishes and {seconds:g} s pass")
def step_vanishes(context, seconds):
    context.register.number += 1
    del context.register.records[host_record_name(context.lost.name)]
    context.cache.apply(context.register.snapshot(), clock.now())
    pass_time(context, seconds)


@then("the host's registration is withdrawn, but a failover still fences the host")
def step_withdrawn(context):
    entry = context.register.records[host_record_name(context.lost.name)]
    assert entry.value.withdrawn, entry
    step_still_fenced(context)


@then("a failover still fences the host")
def step_still_fenced(context):
    fenced = context.coordinator._fence_service.hosts_to_fence()
    assert context.lost.name in {h.name for h in fenced}, fenced


@then("a failover does not fence the host any more")
def step_not_fenced(context):
    fenced = context.coordinator._fence_service.hosts_to_fence()
    assert context.lost.name not in {h.name for h in fenced}, fenced


@then("the registration is deleted")
def step_deleted(context):
    assert host_record_name(context.lost.name) not in context.register.records
    step_not_fenced(context)

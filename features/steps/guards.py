"""Steps for answers of other hosts than the one called, and for when waits start."""

import asyncio
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.fake_mesh import FakeMesh, make_host
from features.virtual_time import run_virtual
from wagtailloft import clock
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import FenceResponse
from wagtailloft.fleet.records import Entry, PrimaryAssignment, PromotionLeaseRecord
from wagtailloft.groups.fencing import FenceService
from wagtailloft.groups.promotion_lease import PromotionLease
from wagtailloft.revisions import NO_ERA, make_revision

MAX_AGE_S = 2.4


class AnsweringMesh(FakeMesh):
    """A mesh on which one host answers all fences."""

    def __init__(self, name):
        """Let a host answer."""
        super().__init__()
        self.name, self.asked = name, []

    async def call(self, address, message, limit):
        """Confirm a fence in the name of the host that answers."""
        self.asked.append(address)
        return FenceResponse(host=self.name)


async def no_position(*_):
    """Return None: nothing was acknowledged."""
    return None


def make_fence(hosts, mesh, read_now):
    """Return the fence service of a host that reads the register by read_now."""
    cache = SimpleNamespace(
        assignment_max_age=MAX_AGE_S,
        assignment_use_limit=12.7,
        read_now=read_now,
        era=SimpleNamespace(era=NO_ERA),
    )
    executor = SimpleNamespace(fence=no_position)
    return FenceService(hosts=hosts, mesh=mesh, cache=cache, local_executor=executor)


@given("a coordinator and a host at whose address another host answers")
def step_other_answers(context):
    context.mesh = AnsweringMesh("h02")
    hosts = Hosts(own=make_host(0, 1), mesh=context.mesh)
    hosts._put(make_host(1, 1))
    context.fence = make_fence(hosts, context.mesh, no_position)


@given("a coordinator that reads of another host when the fence begins")
def step_reads_of_host(context):
    context.mesh = AnsweringMesh("h01")
    hosts = Hosts(own=make_host(0, 1), mesh=context.mesh)

    async def read_now(topic):
        hosts._put(make_host(1, 1))

    context.fence = make_fence(hosts, context.mesh, read_now)


@when("the coordinator fences a primary in virtual time")
def step_fence(context):
    claim = PrimaryAssignment(group="g", epoch=1, settled=False, primary="", replaced="m")

    async def run():
        started_at = clock.now()
        await context.fence.fence(claim, planned=False)
        context.seconds = clock.now() - started_at

    run_virtual(run())


@then("the fence has waited for the host's assignment to expire")
def step_waited(context):
    assert context.seconds > MAX_AGE_S, context.seconds


@then("the fence has asked the other host")
def step_asked(context):
    assert context.mesh.asked == [(make_host(1, 1).ip, 2)], context.mesh.asked


@given("a host that knows another at an address at which a third answers")
def step_third_answers(context):
    mesh = FakeMesh()
    context.hosts = Hosts(own=make_host(0, 1), mesh=mesh)
    known, third = make_host(1, 1), make_host(2, 1, incarnation=9)
    context.hosts._put(known)
    mesh.hosts[known.ip] = msgspec.structs.replace(third, ip=known.ip)


@then("the process that ran there has not ended")
def step_not_ended(context):
    assert not asyncio.run(context.hosts.has_ended("h01/1"))


@given("a promotion lease whose holder ends {seconds:g} s after another host saw it taken")
def step_holder_ends(context, seconds):
    record = PromotionLeaseRecord(holder="h01/1", era=1, taken=1)
    entry = Entry(name="duty", revision=make_revision(1, 5), value=record)

    async def run():
        taken_at = clock.now()

        async def write(topic, name, value):
            return Entry(name=name, revision=make_revision(1, 6), value=value)

        async def has_ended(process_name):
            return clock.now() >= taken_at + seconds

        cache = SimpleNamespace(
            era=SimpleNamespace(earlier_beliefs_expired=lambda: True),
            get=lambda topic, name: entry,
            revision=lambda topic: entry.revision,
            write=write,
        )
        lease = PromotionLease(own=make_host(0, 1), cache=cache, has_ended=has_ended)
        lease.observe(entry)
        assert await lease.acquire()
        context.held_after = clock.now() - taken_at

    run_virtual(run())


@then("the other host holds the lease {seconds:g} s after it was taken, and not before")
def step_held_after(context, seconds):
    assert seconds - 1e-6 <= context.held_after < seconds + 0.2, context.held_after


@given("the links and position samples of the host are recorded")
def step_record(context):
    context.links, context.samples = [], []
    factory = context.executor._link_factory
    open_link = factory.open

    async def open_and_record(spec):
        context.links.append(await open_link(spec))
        return context.links[-1]

    factory.open = open_and_record
    log = SimpleNamespace(
        statement_sent=lambda: None,
        statement_returned=lambda: None,
        add=lambda *sample: context.samples.append(sample),
    )
    context.directory.samples = lambda group: log


@then("the link is closed, and no position was sampled")
def step_nothing_left(context):
    assert [link.closed for link in context.links] == [True], context.links
    assert context.samples == [], context.samples


def run_beside_planned(context, change):
    """Run the statement, begin a planned replacement, and change something before it answers."""

    async def run():
        running = asyncio.create_task(context.executor.run(context.request))
        await asyncio.sleep(0.05)
        claim = PrimaryAssignment(group="g", epoch=2, settled=False, primary="", replaced="m")
        context.directory.current = claim
        fencing = asyncio.create_task(context.executor.fence(claim, False))
        await asyncio.sleep(0.05)
        change(claim)
        context.outcome = (await running).outcome
        await fencing

    run_virtual(run())


@when("a planned replacement begins, and another failover replaces it in the meantime")
def step_taken_over(context):
    def take_over(claim):
        context.directory.current = msgspec.structs.replace(claim, epoch=3, claimant="h01/1")

    run_beside_planned(context, take_over)


@when("a planned replacement begins, and the cache gets old in the meantime")
def step_cache_old(context):
    def expire(claim):
        context.directory.valid = False

    run_beside_planned(context, expire)

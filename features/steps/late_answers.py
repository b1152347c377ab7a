"""Steps for answers of a primary that arrive when it may have been replaced."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from features.fake_mesh import FakeMesh, make_host
from features.virtual_time import run_virtual
from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import StatementRequest
from wagtailloft.fleet.records import (
    Changes,
    Entry,
    HostRecord,
    PrimaryAssignment,
    Target,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.fencing import FenceProgress
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.models import Position, Role
from wagtailloft.sessions.statements import Statement, StatementResult, Verb

POSITION = Position(term=1, index=8)
PAUSE_S = 0.05
MAX_AGE_S = 2.4


class SlowLink:
    """A link whose target answers after a time."""

    closed = False

    def __init__(self, spec, seconds):
        """Answer after so many seconds."""
        self.spec, self.seconds, self.session_variables = spec, seconds, {}

    async def run(self, bound, timeout):
        """Report success after a while."""
        await asyncio.sleep(self.seconds)
        return StatementResult(position=POSITION)

    def close(self):
        """Close the connection."""
        self.closed = True


class FakeDirectory:
    """A directory of one primary, m, under an assignment that a scenario changes."""

    def __init__(self):
        """Start with a valid assignment."""
        self.current = PrimaryAssignment(group="g", epoch=1, settled=True, primary="m", term=1)
        self.valid = True
        self.cache = SimpleNamespace(
            assignment=lambda group: self.current,
            assignments_valid=lambda: self.valid,
            may_finish_at_replaced=lambda group: self.valid,
            assignments_age=lambda: 0.1,
        )

    def target(self, group, name):
        """Return the member."""
        return Target(name=name, group=group, address="1.1.1.1:1", role=Role.PRIMARY)

    def rule(self, group):
        """Return the group's limits."""
        return SimpleNamespace(max_links=16)

    def samples(self, group):
        """Return a log of position samples that keeps nothing."""
        return SimpleNamespace(
            statement_sent=lambda: None, statement_returned=lambda: None, add=lambda *_: None
        )

    def accepts_new_work(self, target):
        """Tell that no target is leaving."""
        return True

    def may_use_as_primary(self, group, target):
        """Tell whether the target is the primary under a valid assignment."""
        return self.valid and self.current.settled and self.current.primary == target

    def basis(self, group):
        """Return the assignment."""
        return self.current, 0

    def was_primary_throughout(self, group, target, basis):
        """Tell whether the listed target is still the primary."""
        return self.may_use_as_primary(group, target)


@given("a host with a primary that answers a {verb} after {seconds:g} s")
def step_slow_primary(context, verb, seconds):
    async def open_link(spec):
        return SlowLink(spec, seconds)

    context.directory = FakeDirectory()
    context.executor = LocalExecutor(
        directory=context.directory, link_factory=SimpleNamespace(open=open_link)
    )
    context.request = make_request(verb, budget=1.0)


def make_request(verb, budget):
    """Return a request to the primary m."""
    statement = Statement(verb=Verb(verb), text=f"{verb.upper()} 1")
    return StatementRequest(
        group="g",
        target="m",
        team="t",
        bound=BoundStatement(request_id="r", statement=statement),
        budget=budget,
        require_primary=True,
    )


class CachingHost:
    """A host whose cache of the store is current whenever it is told so."""

    def __init__(self, *, seconds):
        """Know a primary that answers after so many seconds."""

        async def open_link(spec):
            return SlowLink(spec, seconds)

        own = make_host(0, 1)
        self.cache = StoreCache(
            store=None,
            hosts=Hosts(own=own, mesh=FakeMesh()),
            mesh=FakeMesh(),
            max_age=3.3,
            assignment_max_age=MAX_AGE_S,
        )
        self.executor = LocalExecutor(
            directory=GroupDirectory(cache=self.cache),
            link_factory=SimpleNamespace(open=open_link),
        )
        primary = Target(name="", group="g", address="1.1.1.1:1", role=Role.PRIMARY)
        self.read(Topic.TARGETS, 1, Entry(name="m", revision=1, value=primary))
        record = HostRecord(host=own)
        self.read(Topic.FLEET, 1, Entry(name=host_record_name(own.name), revision=1, value=record))

    def read(self, topic, revision, *entries):
        """Read the changes of a topic."""
        changes = Changes(topic=topic, revision=revision, is_snapshot=False, entries=entries)
        self.cache.apply(changes, now())


@given("a host with a cache of the store and a primary that answers a write after {seconds:g} s")
def step_caching_host(context, seconds):
    context.answer_s = seconds


@when(
    "a planned replacement begins {begin:g} s later, and its fence reaches the host after"
    " {delay:g} s more"
)
def step_planned_fence(context, begin, delay):
    claim = PrimaryAssignment(group="g", epoch=1, settled=False, primary="", replaced="m")

    async def run():
        host = CachingHost(seconds=context.answer_s)
        running = asyncio.create_task(host.executor.run(make_request("write", budget=4.0)))
        await asyncio.sleep(begin)
        progress = FenceProgress(assignment=claim, planned=True, host_count=3, started_at=now())
        for _ in range(2):  # the other hosts answer at once
            progress.confirm(counts=True)
        reached_at = now() + delay
        while now() + PAUSE_S < reached_at:
            await asyncio.sleep(PAUSE_S)
            host.read(Topic.FLEET, 2, Entry(name="lead-g", revision=2, value=claim))
        await asyncio.sleep(reached_at - now())
        host.cache.accept_assignment(claim)
        fencing = asyncio.create_task(host.executor.fence(claim, False))
        context.outcome = (await running).outcome
        context.was_given_up = now() > progress.deadline(MAX_AGE_S)
        await fencing

    run_virtual(run())


@then("the primary answered after the fence gave the host up, and the outcome is unknown")
def step_given_up(context):
    assert context.was_given_up
    assert context.outcome.kind is Kind.OUTCOME_UNKNOWN, context.outcome


@then("the primary answered while the fence waited, and the write is done")
def step_waited_for(context):
    assert not context.was_given_up
    assert context.outcome.ok, context.outcome


def run_beside(context, change):
    """Run the statement, and a change while its answer is awaited; keep the outcome."""

    async def run():
        running = asyncio.create_task(context.executor.run(context.request))
        await asyncio.sleep(PAUSE_S)
        context.fenced = await change()
        context.outcome = (await running).outcome

    run_virtual(run())


@when("the host's primary assignment expires in the meantime")
def step_expires(context):
    async def expire():
        context.directory.valid = False

    run_beside(context, expire)


@when("the host learns of another primary in the meantime")
def step_replaced(context):
    async def replace():
        context.directory.current = PrimaryAssignment(
            group="g", epoch=2, settled=True, primary="n", term=2, replaced="m"
        )

    run_beside(context, replace)


@when("a planned replacement of the primary begins in the meantime")
def step_planned(context):
    async def fence():
        context.directory.current = PrimaryAssignment(
            group="g", epoch=2, settled=False, primary="", term=1, replaced="m"
        )
        return await context.executor.fence(context.directory.current, False)

    run_beside(context, fence)


@then("the outcome of the write is unknown")
def step_unknown(context):
    assert context.outcome.kind is Kind.OUTCOME_UNKNOWN, context.outcome


@then("the read counts as unanswered")
def step_unanswered(context):
    assert context.outcome.kind is Kind.NO_ANSWER, context.outcome


@then("the write is done, and the fence reports its position")
def step_done(context):
    assert context.outcome.ok, context.outcome
    assert context.fenced == POSITION, context.fenced


@when("the entry of the primary vanishes in the meantime, and {event}")
def step_entry_vanishes(context, event):
    claim = PrimaryAssignment(group="g", epoch=1, settled=False, primary="", replaced="m")
    other = Target(name="", group="g", address="1.1.1.1:2", role=Role.PRIMARY)

    async def run():
        host = CachingHost(seconds=context.answer_s)
        running = asyncio.create_task(host.executor.run(make_request("write", budget=4.0)))
        await asyncio.sleep(PAUSE_S)
        host.read(Topic.TARGETS, 2, Entry(name="m", revision=2, value=None))
        if event == "another member reports that it is primary":
            host.read(Topic.TARGETS, 3, Entry(name="n", revision=3, value=other))
        elif event == "a failover begins":
            host.cache.accept_assignment(claim)
        elif event == "the store comes back in a new era":
            host.cache.era.observe(host.cache.era.era + 1)
        else:
            assert event == "no member reports that it is primary", event
        context.outcome = (await running).outcome

    run_virtual(run())


@then("the write is done")
def step_write_done(context):
    assert context.outcome.ok, context.outcome

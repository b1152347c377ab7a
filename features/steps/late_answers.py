"""Steps for answers of a primary that arrive when it may have been replaced."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from features.virtual_time import run_virtual
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementRequest
from wagtailloft.fleet.records import PrimaryAssignment, Target
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.models import Position, Role
from wagtailloft.sessions.statements import Statement, StatementResult, Verb

POSITION = Position(term=1, index=8)
PAUSE_S = 0.05


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

    def may_use_as_primary(self, group, target):
        """Tell whether the target is the primary under a valid assignment."""
        return self.valid and self.current.settled and self.current.primary == target


@given("a host with a primary that answers a {verb} after {seconds:g} s")
def step_slow_primary(context, verb, seconds):
    async def open_link(spec):
        return SlowLink(spec, seconds)

    context.directory = FakeDirectory()
    context.executor = LocalExecutor(
        directory=context.directory, link_factory=SimpleNamespace(open=open_link)
    )
    statement = Statement(verb=Verb(verb), text=f"{verb.upper()} 1")
    context.request = StatementRequest(
        group="g",
        target="m",
        team="t",
        bound=BoundStatement(request_id="r", statement=statement),
        budget=1.0,
        require_primary=True,
    )


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

"""Steps for single statements on a fake of a member's connection."""

import random
import time

import msgspec
from behave import given, then

from wagtailloft.adapters.members import MemberRejected, MemberResponse
from wagtailloft.board import Blackboard
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.controllers.views import GroupView, MemberView, TimedPosition
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse
from wagtailloft.group_monitor import GroupMonitor
from wagtailloft.member_endpoint import MemberEndpoint
from wagtailloft.metrics import Metrics
from wagtailloft.models import (
    Call,
    Group,
    Member,
    Mode,
    Position,
    Progress,
    Role,
    Rows,
    SqlStatement,
)
from wagtailloft.options import Options
from wagtailloft.statement_executor import CallState, StatementExecutor
from wagtailloft.supervision import Supervisor
from wagtailloft.transactions import Transactions

MEMBER = Member(name="m0", ip="127.0.0.1", port=1, control_port=2)
REPLICA = Member(name="m1", ip="127.0.0.1", port=3, control_port=4)
GROUP = Group(name="g", members=(MEMBER,))


class BehindLink:
    """A link to a replica that lacks the required position."""

    usable = True

    def call(self, action, request, timeout):
        """Reject the request."""
        raise MemberRejected("behind", "the position was not applied")

    def close(self):
        """Ignore the call; there is no connection to close."""


class AnsweringLink(BehindLink):
    """A link to a member that answers every request."""

    def call(self, action, request, timeout):
        """Return one row."""
        position = Position(term=1, index=1)
        return MemberResponse(term=1, results=(Rows(rows=((1,),)),), position=position)


class FakeLink:
    """A link that loses the first responses, then refuses every attempt."""

    usable = True

    def __init__(self, *, lost_responses):
        """Lose the given number of responses."""
        self.lost_responses = lost_responses

    def call(self, action, request, timeout):
        """Raise NoResponse for a lost response, then MemberRejected."""
        if self.lost_responses:
            self.lost_responses -= 1
            raise NoResponse("the response was lost")
        raise MemberRejected("lock_busy", "locked by another transaction")

    def close(self):
        """Ignore the call; there is no connection to close."""


def make_executor(lost_responses):
    """Return an executor for a group of one member that loses responses."""
    position = Position(term=1, index=1)
    progress = Progress(name="m0", term=1, role=Role.PRIMARY, received=position, applied=position)
    view = MemberView(member=MEMBER, progress=progress, last_seen=time.monotonic())
    link = FakeLink(lost_responses=lost_responses)
    return make_executor_for(GroupView(group=GROUP, members=(view,)), {"m0": link})


def make_executor_for(view, links=(), *, connect=None):
    """Return an executor for a group as observed, with a link to each member by name."""
    board = Blackboard()
    monitor = GroupMonitor(
        group=view.group,
        board=board,
        controls=None,
        heartbeat_interval=lambda: 1.0,
        supervisor=Supervisor(),
    )
    board.write("g", view)
    endpoints = {
        m.name: MemberEndpoint(
            group=view.group,
            member=m,
            connect=connect or (lambda m: links[m.name]),
            clock=time.monotonic,
        )
        for m in view.group.members
    }
    return StatementExecutor(
        monitor=monitor,
        endpoints=endpoints,
        catalog=Catalog(objects=ObjectCache(), region="r", zone="z"),
        metrics=Metrics(),
        decisions=Decisions(host="h"),
        rng=random.Random(1),
    )


def make_state(mode, max_age=None):
    """Return the state of a new idempotent call without a request table."""
    call = Call(
        request_id="r",
        team="t",
        route="r",
        group="g",
        statement=SqlStatement(sql="SELECT 1"),
        mode=mode,
        budget=0.3,
        idempotent=True,
        max_age=max_age,
    )
    return CallState(
        call=call,
        options=Options(request_table=False),
        deadline=time.monotonic() + 0.3,
        weight=1.0,
    )


def run_and_return_kind(lost_responses, mode):
    """Run one statement; return the kind of its refusal."""
    return make_executor(lost_responses).run(make_state(mode)).err_value.kind


@given("a group whose member loses its first response and refuses every later attempt")
def step_group_losing_response(context):
    context.lost_responses = 1


@then("an idempotent write without request table gets an unknown outcome")
def step_write_outcome_unknown(context):
    assert run_and_return_kind(context.lost_responses, Mode.WRITE) is Kind.OUTCOME_UNKNOWN


@then("a read gets an unknown outcome")
def step_read_outcome_unknown(context):
    assert run_and_return_kind(context.lost_responses, Mode.READ) is Kind.OUTCOME_UNKNOWN


@then("a write whose every attempt was refused is reported as not run")
def step_write_not_run(context):
    assert run_and_return_kind(0, Mode.WRITE) is Kind.LOCK_BUSY


@given("a replica that is behind, and a primary that was replaced without knowing")
def step_replaced_primary(context):
    position, at = Position(term=1, index=1), time.monotonic()
    views = []
    for member, role in ((MEMBER, Role.PRIMARY), (REPLICA, Role.REPLICA)):
        progress = Progress(
            name=member.name, term=1, role=role, received=position, applied=position
        )
        views.append(MemberView(member=member, progress=progress, last_seen=at))
    group = Group(name="g", members=(MEMBER, REPLICA))
    samples = (TimedPosition(time=at, position=position),)
    links = {MEMBER.name: AnsweringLink(), REPLICA.name: BehindLink()}
    context.executor = make_executor_for(
        GroupView(group=group, members=tuple(views), samples=samples), links
    )
    context.executor._monitor.confirm_term = lambda term, timeout: False


@then("a read of data up to 5 s old is refused, and one of data of any age is served")
def step_bounded_read_refused(context):
    for max_age, kind in ((5.0, Kind.NO_PRIMARY), (None, None)):
        state = make_state(Mode.READ, max_age=max_age)
        result = context.executor.run(state)
        assert (result.err_value.kind if result.is_err() else None) is kind, (max_age, result)


def make_transactions(connect):
    """Return the transactions of a group of one member; connect opens a link to it."""
    position = Position(term=1, index=1)
    progress = Progress(name="m0", term=1, role=Role.PRIMARY, received=position, applied=position)
    view = MemberView(member=MEMBER, progress=progress, last_seen=time.monotonic())
    executor = make_executor_for(GroupView(group=GROUP, members=(view,)), connect=connect)
    return Transactions(
        host="h",
        monitor=executor._monitor,
        endpoints=executor._endpoints,
        statement_executor=executor,
        decisions=Decisions(host="h"),
        rng=random.Random(1),
    )


@given("an open transaction at a member all of whose slots are in use")
def step_transaction_without_slots(context):
    context.transactions = make_transactions(lambda member: AnsweringLink())
    executor = context.transactions._statement_executor
    begun = context.transactions.begin(make_state(Mode.WRITE))
    context.transaction = begun.ok_value.transaction
    for _ in range(GROUP.slots):
        slot = executor._endpoints["m0"].gate.slot(make_state(Mode.WRITE).slot_request())
        context.stack.enter_context(slot)


@then("a commit is reported as lost with its transaction, and the transaction is closed")
def step_commit_lost(context):
    state = make_state(Mode.WRITE)
    state.call = msgspec.structs.replace(state.call, transaction=context.transaction)
    committed = context.transactions.commit(state)
    assert committed.err_value.kind is Kind.TRANSACTION_LOST, committed
    assert context.transactions.count == 0


class SlowControl:
    """A member's control interface whose answers take a time on a clock of its own."""

    def __init__(self, *, seconds):
        """Take the given time for each answer."""
        self.now, self._seconds = 100.0, seconds

    def current_progress(self):
        """Return the progress that the member had when it was asked."""
        self.now += self._seconds
        position = Position(term=1, index=1)
        return Progress(
            name=MEMBER.name, term=1, role=Role.PRIMARY, received=position, applied=position
        )


@given("a primary that takes {seconds:g} s to report its progress")
def step_slow_report(context, seconds):
    context.control = SlowControl(seconds=seconds)


@then("a position sample from its report is as old as the request")
def step_sample_time(context):
    control = context.control
    monitor = GroupMonitor(
        group=GROUP,
        board=Blackboard(),
        controls=lambda member: control,
        heartbeat_interval=lambda: 1.0,
        clock=lambda: control.now,
        supervisor=Supervisor(),
    )
    requested_at = control.now
    monitor.fetch_progress(MEMBER.name)
    (sample,) = monitor.view().samples
    assert sample.time <= requested_at < control.now, (sample, requested_at)

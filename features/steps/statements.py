"""Steps for single statements on a fake of a member's connection."""

import random
import time

from behave import given, then

from wagtailloft.adapters.members import MemberRejected
from wagtailloft.board import Blackboard
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.controllers.views import GroupView, MemberView
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse
from wagtailloft.group_monitor import GroupMonitor
from wagtailloft.member_endpoint import MemberEndpoint
from wagtailloft.metrics import Metrics
from wagtailloft.models import Call, Group, Member, Mode, Position, Progress, Role, SqlStatement
from wagtailloft.options import Options
from wagtailloft.statement_executor import CallState, StatementExecutor

MEMBER = Member(name="m0", ip="127.0.0.1", port=1, control_port=2)
GROUP = Group(name="g", members=(MEMBER,))


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
    board = Blackboard()
    monitor = GroupMonitor(group=GROUP, board=board, controls=None, heartbeat_interval=lambda: 1.0)
    position = Position(term=1, index=1)
    progress = Progress(name="m0", term=1, role=Role.PRIMARY, received=position, applied=position)
    view = MemberView(member=MEMBER, progress=progress, last_seen=time.monotonic())
    board.write("g", GroupView(group=GROUP, members=(view,)))
    link = FakeLink(lost_responses=lost_responses)
    endpoint = MemberEndpoint(
        group=GROUP, member=MEMBER, connect=lambda m: link, clock=time.monotonic
    )
    return StatementExecutor(
        monitor=monitor,
        endpoints={"m0": endpoint},
        catalog=Catalog(objects=ObjectCache(), region="r", zone="z"),
        metrics=Metrics(),
        decisions=Decisions(host="h"),
        rng=random.Random(1),
    )


def run_and_return_kind(lost_responses, mode):
    """Run one idempotent statement without a request table; return the kind of its refusal."""
    call = Call(
        request_id="r",
        team="t",
        route="r",
        group="g",
        statement=SqlStatement(sql="SELECT 1"),
        mode=mode,
        budget=0.3,
        idempotent=True,
    )
    state = CallState(
        call=call,
        options=Options(request_table=False),
        deadline=time.monotonic() + 0.3,
        weight=1.0,
    )
    return make_executor(lost_responses).run(state).err_value.kind


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

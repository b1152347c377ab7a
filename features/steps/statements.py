"""Steps of single statements over fakes of a member's connection."""

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
    """Lose so many answers, then refuse every try."""

    usable = True

    def __init__(self, *, lost):
        """Take how many answers to lose."""
        self.lost = lost

    def call(self, action, work, timeout):
        """Lose the answer or refuse the try."""
        if self.lost:
            self.lost -= 1
            raise NoResponse("the answer was lost")
        raise MemberRejected("lock_busy", "another transaction")

    def close(self):
        """Do nothing."""


def statements(lost):
    """Return statements over one member that loses answers."""
    board = Blackboard()
    monitor = GroupMonitor(group=GROUP, board=board, controls=None, heartbeat_interval=lambda: 1.0)
    place = Position(term=1, index=1)
    progress = Progress(name="m0", term=1, role=Role.PRIMARY, received=place, applied=place)
    view = MemberView(member=MEMBER, progress=progress, last_seen=time.monotonic())
    board.write("g", GroupView(group=GROUP, members=(view,)))
    link = FakeLink(lost=lost)
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


def run(lost, mode):
    """Run one idempotent statement without a request table; return the kind of refusal."""
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
    return statements(lost).run(state).err_value.kind


@given("a group whose member loses its first answer and refuses every later try")
def step_group(context):
    context.lost = 1


@then("an idempotent write without request table is told its outcome is unknown")
def step_write(context):
    assert run(context.lost, Mode.WRITE) is Kind.OUTCOME_UNKNOWN


@then("a read is told its outcome is unknown")
def step_read(context):
    assert run(context.lost, Mode.READ) is Kind.OUTCOME_UNKNOWN


@then("a write whose every try was refused is told that it was not run")
def step_refused(context):
    assert run(0, Mode.WRITE) is Kind.LOCK_BUSY

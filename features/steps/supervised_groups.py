"""Steps for unexpected errors in the work of a daemon for a group of members."""

import time
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from result import Err

from features.captured_log import captured_log, failures_of
from wagtailloft.board import Blackboard
from wagtailloft.controllers.views import MemberView
from wagtailloft.decisions import Decisions
from wagtailloft.election import Election
from wagtailloft.errors import Kind, Refusal
from wagtailloft.group_monitor import GroupMonitor
from wagtailloft.group_service import GroupService, GroupServiceContext
from wagtailloft.models import Group, Member, Position, Progress, Role
from wagtailloft.supervision import Supervisor

HEARTBEAT_S = 0.05


def make_group(size=3):
    """Return a group of members without addresses."""
    return Group(
        name="g",
        members=tuple(
            Member(name=f"m{n}", ip="127.0.0.1", port=1, control_port=2) for n in range(size)
        ),
    )


def report_of(name, term=1):
    """Return a member's report in a term; m0 is primary and has the longest log."""
    position = Position(term=1, index=2 if name == "m0" else 1)
    role = Role.PRIMARY if name == "m0" else Role.REPLICA
    return Progress(name=name, term=term, role=role, received=position, applied=position)


class FakeControl:
    """A connection to a member, which raises an error while one is pending."""

    def __init__(self, name, errors):
        """Raise and remove the first of the errors, if there is one."""
        self.name, self.errors = name, errors

    def progress(self, received, applied, wait):
        """Return the member's report."""
        time.sleep(HEARTBEAT_S)
        return self.current_progress()

    def current_progress(self):
        """Return the member's report at once."""
        if self.errors:
            raise self.errors.pop()
        return report_of(self.name)

    def command(self, action, body):
        """Return the member's report in the term of the command."""
        if self.errors:
            raise self.errors.pop()
        return report_of(self.name, body.term)


@given('a group whose member "{odd}" is heard from after an unexpected error')
def step_group_with_odd_member(context, odd):
    context.lines = context.stack.enter_context(captured_log())
    errors = {odd: [LookupError("odd report")]}
    context.controls = []

    def connect(member):
        context.controls.append(FakeControl(member.name, errors.get(member.name, [])))
        return context.controls[-1]

    context.monitor = GroupMonitor(
        group=make_group(),
        board=Blackboard(),
        controls=connect,
        heartbeat_interval=lambda: HEARTBEAT_S,
        supervisor=Supervisor(),
    )


@when("the group's members are monitored for {seconds:g} s")
def step_monitor(context, seconds):
    context.stack.callback(context.monitor.stop)
    context.monitor.start()
    time.sleep(seconds)


@then(
    '"{name}" was missed, is heard from again on a new connection,'
    ' and the error is in the log as "{task}"'
)
def step_heard_again(context, name, task):
    view = next(m for m in context.monitor.view().members if m.member.name == name)
    assert view.progress is not None and not view.missed_heartbeats, view
    assert [c.name for c in context.controls].count(name) == 2
    failures = failures_of(context.lines, task)
    assert [f["member"] for f in failures] == [name], context.lines


@given("a group service whose maintenance raises an unexpected error")
def step_odd_maintenance(context):
    context.lines = context.stack.enter_context(captured_log())
    shared = dict.fromkeys(GroupServiceContext.__dataclass_fields__)
    shared |= {"board": Blackboard(), "supervisor": Supervisor(), "host": "h0"}
    context.service = GroupService(group=make_group(), context=GroupServiceContext(**shared))

    def fail():
        raise LookupError("odd view")

    context.service.monitor = SimpleNamespace(view=fail)


@when("the maintenance is due twice")
def step_tick_twice(context):
    context.service.tick()
    context.service.tick()


@then('both errors are in the log as "{task}"')
def step_both_logged(context, task):
    failures = failures_of(context.lines, task)
    assert [f["group"] for f in failures] == ["g", "g"], context.lines


@given('an election in which the call to member "{odd}" raises an unexpected error')
def step_election(context, odd):
    context.lines = context.stack.enter_context(captured_log())
    group = make_group()
    views = tuple(MemberView(member=m, progress=report_of(m.name)) for m in group.members)
    monitor = GroupMonitor(
        group=group,
        board=Blackboard(),
        controls=None,
        heartbeat_interval=lambda: HEARTBEAT_S,
        supervisor=Supervisor(),
    )
    monitor._update(lambda view: msgspec.structs.replace(view, members=views))
    errors = {odd: [LookupError("odd report") for _ in range(9)]}
    context.election = Election(
        host="h0",
        monitor=monitor,
        controls=lambda member: FakeControl(member.name, errors.get(member.name, [])),
        object_api=SimpleNamespace(get=lambda *_: Err(Refusal(kind=Kind.PLATFORM_DOWN))),
        decisions=Decisions(host="h0"),
        supervisor=Supervisor(),
    )


@then(
    'the election promotes "{name}" with the reports of "{first}" and "{second}",'
    " and the error is in the log"
)
def step_election_promotes(context, name, first, second):
    assert sorted(r.name for r in context.election._fence(2)) == [first, second]
    assert context.election.run("test", without_platform=True)
    promoted = [f["why"] for e, f in context.lines if f.get("what") == "promoted"]
    assert len(promoted) == 1 and promoted[0].startswith(f"{name} is primary"), context.lines
    assert [f["member"] for f in failures_of(context.lines, "order_fence")] == ["m1", "m1"]


@then('the term is confirmed by the others, and the error is in the log as "{task}"')
def step_term_confirmed(context, task):
    assert context.monitor.confirm_term(1, timeout=1.0)
    assert [f["member"] for f in failures_of(context.lines, task)] == ["m1"], context.lines

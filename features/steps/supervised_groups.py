"""Steps for unexpected errors in the work of a daemon for a group of members."""

import time
from types import SimpleNamespace

from behave import given, then, when

from features.captured_log import captured_log, failures_of
from wagtailloft.board import Blackboard
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
    """Return a member's report in a term."""
    position = Position(term=term, index=1)
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

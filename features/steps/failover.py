"""Steps that kill, isolate, freeze and restore members, hosts and the platform."""

import time

from behave import given, then, when

from features.test_fleet import GROUP, start_test_fleet
from features.write_checker import WriteChecker
from standins.fleet import wait_until

RECOVERY_TIMEOUT_S = 30.0


@given("a fleet of {count:d} daemons behind the fault proxy")
def step_fleet_with_faults(context, count):
    start_test_fleet(context, count, faults=True)


@given("replicas apply {seconds:f} s late")
def step_lag(context, seconds):
    for member in context.test_fleet.fleet.members[GROUP]:
        member.control("tune", {"lag_s": seconds})


@when("callers write and read")
def step_callers(context):
    context.checker = context.stack.enter_context(WriteChecker(test_fleet=context.test_fleet))
    context.checker.wait_acknowledged(20)


@when("the primary is isolated from its replicas")
def step_isolate(context):
    fleet = context.test_fleet.fleet
    context.isolated_primary = fleet.primary(GROUP)
    for member in fleet.members[GROUP]:
        if member is not context.isolated_primary:
            fleet.set_proxy_fault([f"{context.isolated_primary.name}/control"], "hold", member.ip)
    context.affected_member = context.isolated_primary


@when("the primary is reconnected to its replicas")
def step_reconnect(context):
    for member in context.test_fleet.fleet.members[GROUP]:
        context.test_fleet.fleet.set_proxy_fault(
            [f"{context.isolated_primary.name}/control"], "pass", member.ip
        )


@when("the primary is frozen")
def step_freeze_primary(context):
    context.affected_member = context.test_fleet.fleet.primary(GROUP)
    context.affected_member.process.suspend()


@when("the frozen member resumes")
def step_resume_member(context):
    context.affected_member.process.resume()


@when("the primary is killed and the group's owner freezes {seconds:f} s later")
def step_freeze_owner(context, seconds):
    fleet = context.test_fleet.fleet
    context.group_owner = fleet.hosts[context.test_fleet.last_promoting_host()]
    context.affected_member = fleet.primary(GROUP)
    context.affected_member.process.kill()
    time.sleep(seconds)
    context.group_owner.process.suspend()


@when("the group's frozen owner resumes")
def step_resume_owner(context):
    context.group_owner.process.resume()


@when("the group's owner is killed")
def step_kill_owner(context):
    context.test_fleet.fleet.hosts[context.test_fleet.last_promoting_host()].process.kill()


@when("the group's owner and the primary are killed together")
def step_kill_both(context):
    fleet = context.test_fleet.fleet
    owners = [h["name"] for h in fleet.status()["hosts"] if h["groups"]]
    fleet.primary(GROUP).process.kill()
    fleet.hosts[owners[0]].process.kill()


@when("the platform loses its next {count:d} responses to writes")
def step_lose_responses(context, count):
    context.test_fleet.fleet.set_platform_faults(drop_answers=count)


@when("the platform goes down")
def step_platform_down(context):
    context.test_fleet.fleet.set_platform_faults(down=True)


@when("the platform recovers")
def step_platform_up(context):
    context.test_fleet.fleet.set_platform_faults(down=False)


@then("another member becomes primary")
def step_other_primary(context):
    wait_until(
        lambda: _has_other_primary(context),
        RECOVERY_TIMEOUT_S,
        "no other member of the group became primary",
    )


def _has_other_primary(context):
    members = [
        m for m in context.test_fleet.fleet.members[GROUP] if m is not context.affected_member
    ]
    return any(m.control("progress")["role"] == "primary" for m in members)


@then("writes are acknowledged again")
def step_acknowledged(context):
    context.checker.wait_acknowledged(20, RECOVERY_TIMEOUT_S)


@then("all members have the same log")
def step_same_log(context):
    context.checker.__exit__()
    context.test_fleet.wait_until_logs_match(RECOVERY_TIMEOUT_S)


@then("the surviving log matches the reported outcomes")
def step_outcomes(context):
    context.checker.__exit__()
    print(context.checker.summary())
    context.checker.check()


@then("the platform shows the new primary")
def step_platform_updated(context):
    primary = context.test_fleet.fleet.primary(GROUP).name

    def is_published():
        found = context.test_fleet.fleet.api("host-2").find("leadership", GROUP)
        return found is not None and found["value"]["primary"] == primary

    wait_until(is_published, RECOVERY_TIMEOUT_S, "the platform does not show the new primary")

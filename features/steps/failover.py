"""Steps that kill, cut, freeze and heal."""

import time

from behave import given, then, when

from features.ledger import WriteChecker
from features.world import GROUP, start_test_fleet
from standins.fleet import wait_until

LIMIT_S = 30.0


@given("a fleet of {count:d} daemons behind the fault proxy")
def step_fleet_with_faults(context, count):
    start_test_fleet(context, count, faults=True)


@given("replicas apply {seconds:f} s late")
def step_lag(context, seconds):
    for member in context.world.fleet.members[GROUP]:
        member.control("tune", {"lag_s": seconds})


@when("callers write and read")
def step_load(context):
    context.checker = context.stack.enter_context(WriteChecker(world=context.world))
    context.checker.wait_acknowledged(20)


@when("the primary is cut off from its replicas")
def step_cut_off(context):
    fleet = context.world.fleet
    context.cut = fleet.primary(GROUP)
    for member in fleet.members[GROUP]:
        if member is not context.cut:
            fleet.set_link_fault([f"{context.cut.name}/control"], "hold", member.ip)
    context.affected_member = context.cut


@when("the cut heals")
def step_heal(context):
    for member in context.world.fleet.members[GROUP]:
        context.world.fleet.set_link_fault([f"{context.cut.name}/control"], "pass", member.ip)


@when("the primary is frozen")
def step_freeze(context):
    context.affected_member = context.world.fleet.primary(GROUP)
    context.affected_member.process.freeze()


@when("the frozen member wakes")
def step_thaw(context):
    context.affected_member.process.thaw()


@when("the primary is killed and the owner freezes {seconds:f} s later")
def step_freeze_owner(context, seconds):
    fleet = context.world.fleet
    context.owner = fleet.hosts[context.world.last_promoting_host()]
    context.affected_member = fleet.primary(GROUP)
    context.affected_member.process.kill()
    time.sleep(seconds)
    context.owner.process.freeze()


@when("the frozen owner wakes")
def step_thaw_owner(context):
    context.owner.process.thaw()


@when("the owner is killed")
def step_kill_owner(context):
    context.world.fleet.hosts[context.world.last_promoting_host()].process.kill()


@when("the owner and the primary are killed together")
def step_kill_both(context):
    fleet = context.world.fleet
    owners = [h["name"] for h in fleet.status()["hosts"] if h["groups"]]
    fleet.primary(GROUP).process.kill()
    fleet.hosts[owners[0]].process.kill()


@when("the platform loses its next {count:d} answers to writes")
def step_drop_answers(context, count):
    context.world.fleet.set_platform_faults(drop_answers=count)


@when("the platform goes down")
def step_platform_down(context):
    context.world.fleet.set_platform_faults(down=True)


@when("the platform comes back")
def step_platform_up(context):
    context.world.fleet.set_platform_faults(down=False)


@then("another member leads")
def step_other_leads(context):
    wait_until(lambda: _other_leads(context), LIMIT_S, "no other member leads")


def _other_leads(context):
    members = [m for m in context.world.fleet.members[GROUP] if m is not context.affected_member]
    return any(m.control("progress")["role"] == "primary" for m in members)


@then("writes are acknowledged again")
def step_acknowledged(context):
    context.checker.wait_acknowledged(20, LIMIT_S)


@then("all members hold the same log")
def step_same_log(context):
    context.checker.__exit__()
    context.world.wait_until_logs_match(LIMIT_S)


@then("the surviving log agrees with what callers were told")
def step_check(context):
    context.checker.__exit__()
    print(context.checker.summary())
    context.checker.check()


@then("the platform shows the new primary")
def step_published(context):
    leader = context.world.fleet.primary(GROUP).name

    def shown():
        found = context.world.fleet.api("host-2").find("leadership", GROUP)
        return found is not None and found["value"]["primary"] == leader

    wait_until(shown, LIMIT_S, "the platform shows an old primary")

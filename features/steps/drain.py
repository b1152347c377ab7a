"""Steps of planned stops and leaving targets."""

import time

from behave import then, when

from features.ledger import WriteChecker, WriteOutcome
from features.world import GROUP
from standins.fleet import STANDIN_IP, request_json

BALANCER_S = 0.2


class Balancer:
    """Follow the platform's lagging list of hosts, as the platform's balancer does."""

    def __init__(self, *, fleet):
        """Start with the hosts that are listed now."""
        self.fleet = fleet
        self.read = 0.0
        self.names = list(fleet.hosts)

    def __call__(self):
        """Return the hosts that may get requests."""
        if time.monotonic() - self.read > BALANCER_S:
            self.read = time.monotonic()
            listed = request_json(f"http://{STANDIN_IP}:{self.fleet.platform_port}/hosts")["hosts"]
            alive = sorted(h["name"] for h in listed if h["state"] == "alive")
            self.names = alive or self.names
        return self.names


@when("callers write and read behind a balancer")
def step_balanced(context):
    balancer = Balancer(fleet=context.world.fleet)
    checker = WriteChecker(world=context.world, hosts=balancer)
    context.checker = context.stack.enter_context(checker)
    context.checker.wait_acknowledged(20)


@when("every daemon is stopped gracefully and started again, one after another")
def step_rolling(context):
    fleet = context.world.fleet
    for host in fleet.hosts.values():
        assert host.process.stop() == 0, host.name
        time.sleep(1.5)
        host.process.start()
        fleet.wait_hosts()
        time.sleep(2.5)


@when("the primary is marked as leaving")
def step_leaving_primary(context):
    context.affected_member = context.world.fleet.primary(GROUP)
    mark(context, context.affected_member)


@when("a replica is marked as leaving")
def step_leaving_replica(context):
    fleet = context.world.fleet
    primary = fleet.primary(GROUP)
    context.affected_member = next(m for m in fleet.members[GROUP] if m is not primary)
    mark(context, context.affected_member)


def mark(context, member):
    """Mark a member as leaving with the command-line tool."""
    context.world.fleet.run_cli_json("group", "leave", GROUP, member.name)


@then("callers saw no error at all")
def step_no_error(context):
    failed = [r for r in context.checker.records if r.outcome is not WriteOutcome.ACKNOWLEDGED]
    print(context.checker.summary())
    assert not failed, failed[:3]
    assert not context.checker.read_refusals, context.checker.read_refusals


@then("the leaving member got no work in the last second")
def step_no_work(context):
    before = context.affected_member.control("tune", {})["served"]
    time.sleep(1.0)
    after = context.affected_member.control("tune", {})["served"]
    assert after == before, (before, after)

"""Steps for planned restarts and leaving members."""

import random
import time

from behave import then, when

from features.test_fleet import GROUP
from features.write_checker import WriteChecker, WriteOutcome
from standins.fleet import STANDIN_IP, request_json

POLL_INTERVAL_S = 0.2
STALL_PROBABILITY = 0.6  # of a request, when callers stall


class LoadBalancer:
    """Choose hosts from the platform's list, polled at an interval as its load balancer does.

    The fake platform's list lags `host_lag_s` (1 s by default) behind and is polled every
    POLL_INTERVAL_S, so a host that leaves gets requests for up to the sum of both.
    """

    def __init__(self, *, fleet, stall=0.0):
        """Start with all hosts; callers stall for up to some seconds after they chose one."""
        self.fleet, self.stall = fleet, stall
        self.rng = random.Random(1)
        self.polled_at = 0.0
        self.names = list(fleet.hosts)

    def __call__(self):
        """Return the names of the hosts that may receive requests."""
        if time.monotonic() - self.polled_at > POLL_INTERVAL_S:
            self.polled_at = time.monotonic()
            listed = request_json(f"http://{STANDIN_IP}:{self.fleet.platform_port}/hosts")["hosts"]
            alive = sorted(h["name"] for h in listed if h["state"] == "alive")
            self.names = alive or self.names
        names = self.names
        if self.rng.random() < STALL_PROBABILITY:
            time.sleep(self.rng.uniform(0, self.stall))
        return names


@when("callers write and read behind a load balancer")
def step_load_balanced_callers(context):
    start_callers(context, stall=0.0)


@when("callers that stall for up to {stall:g} s write and read behind a load balancer")
def step_stalling_callers(context, stall):
    start_callers(context, stall)


def start_callers(context, stall):
    """Start callers that write, read and check what they read."""
    load_balancer = LoadBalancer(fleet=context.test_fleet.fleet, stall=stall)
    checker = WriteChecker(test_fleet=context.test_fleet, hosts=load_balancer)
    context.checker = context.stack.enter_context(checker)
    context.checker.wait_acknowledged(20)


@when("every daemon is stopped gracefully and started again, one after another")
def step_rolling_restart(context):
    fleet = context.test_fleet.fleet
    for host in fleet.hosts.values():
        assert host.process.stop() == 0, host.name
        time.sleep(1.5)
        host.process.start()
        fleet.wait_hosts()
        time.sleep(2.5)


@when("the primary is marked as leaving")
def step_leaving_primary(context):
    context.affected_member = context.test_fleet.fleet.primary(GROUP)
    mark_leaving(context, context.affected_member)


@when("a replica is marked as leaving")
def step_leaving_replica(context):
    fleet = context.test_fleet.fleet
    primary = fleet.primary(GROUP)
    context.affected_member = next(m for m in fleet.members[GROUP] if m is not primary)
    mark_leaving(context, context.affected_member)


def mark_leaving(context, member):
    """Mark a member as leaving with the command-line tool."""
    context.test_fleet.fleet.run_cli_json("group", "leave", GROUP, member.name)


@then("no caller saw an error")
def step_no_caller_error(context):
    failed = [r for r in context.checker.records if r.outcome is not WriteOutcome.ACKNOWLEDGED]
    print(context.checker.summary())
    assert not failed, failed[:3]
    assert not context.checker.read_refusals, context.checker.read_refusals


@then("the leaving member gets no requests for a second")
def step_no_requests(context):
    before = context.affected_member.control("tune", {})["served"]
    time.sleep(1.0)
    after = context.affected_member.control("tune", {})["served"]
    assert after == before, (before, after)

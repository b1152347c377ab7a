"""Steps for the rate limit of a team across all hosts."""

import threading
import time

from behave import given, then, when

from features.test_fleet import TEAM, start_test_fleet
from wagtailloft import CheckOutcome, Kind, TryAgain
from wagtailloft.controllers.ownership import rate_shard

CALLERS = 12


class ExcessLoad:
    """Send reads at more than a team's rate from several threads.

    `admitted` has the (start, end) times of requests that may have run, `refused` the time and
    kind of each refusal.
    """

    def __init__(self, *, test_fleet, skew=0.7):
        """Start the callers; the share `skew` of them only uses the first daemon that runs."""
        self.test_fleet = test_fleet
        self.admitted = []
        self.refused = []
        self.stop_requested = threading.Event()
        pinned_count = round(CALLERS * skew)
        self.threads = [
            threading.Thread(target=self.send_reads, args=(n, n < pinned_count), daemon=True)
            for n in range(CALLERS)
        ]
        for thread in self.threads:
            thread.start()

    def send_reads(self, number, pinned):
        """Send cheap reads without pause until stopped."""
        hosts = list(self.test_fleet.fleet.hosts)
        while not self.stop_requested.is_set():
            live = [h for h in hosts if self.test_fleet.fleet.hosts[h].process.alive]
            host = live[0] if pinned else live[number % len(live)]
            number += 1
            began = time.monotonic()
            try:
                url = self.test_fleet.fleet.hosts[host].url
                self.test_fleet.session().read("SELECT 1", host=url, deadline=2.0)
            except TryAgain as exc:
                self.refused.append((time.monotonic(), exc.kind))
                time.sleep(0.005)
            except CheckOutcome:
                self.admitted.append((began, time.monotonic()))
            else:
                self.admitted.append((began, time.monotonic()))

    def close(self):
        """Stop the callers and wait for them."""
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()


@given("a fleet of {count:d} daemons with a team of {rate:d} a second and burst {burst:d}")
def step_rate_limited_fleet(context, count, rate, burst):
    test_fleet = start_test_fleet(context, count, faults=True)
    stored = test_fleet.fleet.api().find("team", TEAM)
    value = {"name": TEAM, "rate": rate, "burst": burst, "weight": 1.0}
    test_fleet.fleet.api().put("team", TEAM, value, stored["revision"])
    context.rate, context.burst = rate, burst
    time.sleep(3)


def start_excess_load(context, seconds):
    """Start a load above the team's rate, let it run for some seconds and return it."""
    context.excess_load = ExcessLoad(test_fleet=context.test_fleet)
    context.stack.callback(context.excess_load.close)
    time.sleep(seconds)
    return context.excess_load


def rate_lease_holder(test_fleet):
    """Return the host that holds the lease of the team's rate shard, or None."""
    hosts = test_fleet.fleet.status()["hosts"]
    holders = [h["name"] for h in hosts if rate_shard(TEAM) in h["shards"]]
    return test_fleet.fleet.hosts[holders[0]] if holders else None


@when("callers exceed the rate for {seconds:d} s, most of them on daemon 1")
def step_exceed_rate(context, seconds):
    start_excess_load(context, seconds).close()


@when("callers exceed the rate while the rate lease's holder is killed and its successor frozen")
def step_exceed_rate_during_holder_loss(context):
    start_excess_load(context, 2)
    rate_lease_holder(context.test_fleet).process.kill()
    time.sleep(10)
    successor = rate_lease_holder(context.test_fleet)
    assert successor is not None, "no successor acquired the lease"
    successor.process.suspend()
    time.sleep(9)
    successor.process.resume()
    context.recovery_deadline = time.monotonic() + 3
    time.sleep(7)
    context.excess_load.close()


@when("callers exceed the rate for {seconds:d} s while the platform is down")
def step_exceed_rate_during_outage(context, seconds):
    start_excess_load(context, 1)
    context.test_fleet.fleet.set_platform_faults(down=True)
    context.recovery_deadline = time.monotonic() + 4
    time.sleep(seconds)
    context.excess_load.close()


def isolate_daemon(test_fleet, number):
    """Hold back all traffic of a daemon with the others and the platform, in both directions."""
    fleet = test_fleet.fleet
    host = fleet.hosts[f"host-{number}"]
    fleet.set_proxy_fault([host.name], "hold")
    fleet.set_proxy_fault(
        [h for h in fleet.hosts if h != host.name] + ["platform"], "hold", host.ip
    )


@when("callers exceed the rate for {seconds:d} s while daemon {number:d} is isolated")
def step_exceed_rate_during_isolation(context, seconds, number):
    start_excess_load(context, 1)
    isolate_daemon(context.test_fleet, number)
    context.recovery_deadline = time.monotonic() + 3
    time.sleep(seconds + 6)
    context.excess_load.close()


@then("no window admits more than rate and burst allow")
def step_admitted_within_rate(context):
    admitted = sorted(context.excess_load.admitted)
    print(f"admitted {len(admitted)} refused {len(context.excess_load.refused)}")
    ends = sorted(end for _, end in admitted)
    for first in range(0, len(admitted), 3):
        start = admitted[first][0]
        inside = sorted(end for begin, end in admitted[first:] if begin >= start)
        for count, end in enumerate(inside, start=1):
            allowed = context.rate * (end - start) + context.burst
            assert count <= allowed, (count, allowed, end - start, ends[0])


@then("requests are admitted at the end")
def step_admitted_at_end(context):
    late = [1 for began, _ in context.excess_load.admitted if began >= context.recovery_deadline]
    kinds = {
        k.value for t, k in context.excess_load.refused if t >= context.recovery_deadline and k
    }
    assert len(late) > 20, (len(late), kinds, Kind.OVER_RATE)


@when("{count:d} statements are run in one transaction without pause")
def step_statements_in_transaction(context, count):
    context.tx = context.test_fleet.session().begin()
    context.outcomes = []
    context.began = time.monotonic()
    for _ in range(count):
        try:
            context.tx.run("SELECT 1")
        except TryAgain as exc:
            context.outcomes.append(exc.kind)
        else:
            context.outcomes.append(None)
    context.duration = time.monotonic() - context.began


@then("no more statements ran than rate and burst allow, and the commit succeeds")
def step_statements_within_rate(context):
    allowed = context.rate * context.duration + context.burst
    ran = context.outcomes.count(None)
    assert ran <= allowed, (ran, allowed)
    assert ran > 0, context.outcomes
    context.tx.commit()

"""Steps of rates over all hosts together."""

import threading
import time

from behave import given, then, when

from features.world import TEAM, world_of
from wagtailloft import CheckOutcome, Kind, TryAgain
from wagtailloft.controllers.ownership import rate_shard

CALLERS = 12


class Pressure:
    """Send more than a team's rate, and note when each request began and ended."""

    def __init__(self, *, world, skew=0.7):
        """Start the callers; a share of them stays on the first daemon."""
        self.world = world
        self.admitted = []
        self.refused = []
        self.stop = threading.Event()
        stay = round(CALLERS * skew)
        self.threads = [
            threading.Thread(target=self.press, args=(n, n < stay), daemon=True)
            for n in range(CALLERS)
        ]
        for thread in self.threads:
            thread.start()

    def press(self, number, stays):
        """Send cheap reads without pause."""
        hosts = list(self.world.fleet.hosts)
        while not self.stop.is_set():
            live = [h for h in hosts if self.world.fleet.hosts[h].process.alive]
            host = live[0] if stays else live[number % len(live)]
            number += 1
            began = time.monotonic()
            try:
                url = self.world.fleet.hosts[host].url
                self.world.session().read("SELECT 1", host=url, deadline=2.0)
            except TryAgain as exc:
                self.refused.append((time.monotonic(), exc.kind))
                time.sleep(0.005)
            except CheckOutcome:
                self.admitted.append((began, time.monotonic()))
            else:
                self.admitted.append((began, time.monotonic()))

    def close(self):
        """Stop."""
        self.stop.set()
        for thread in self.threads:
            thread.join()


@given("a fleet of {count:d} daemons with a team of {rate:d} a second and burst {burst:d}")
def step_rated(context, count, rate, burst):
    world = world_of(context, count, faults=True)
    found = world.fleet.api().find("team", TEAM)
    value = {"name": TEAM, "rate": rate, "burst": burst, "weight": 1.0}
    world.fleet.api().put("team", TEAM, value, found["revision"])
    context.rate, context.burst = rate, burst
    time.sleep(3)


def press(context, seconds):
    """Start the pressure, let it run and return it."""
    context.pressure = Pressure(world=context.world)
    context.stack.callback(context.pressure.close)
    time.sleep(seconds)
    return context.pressure


def limit_owner(world):
    """Return the host that holds the team's lease."""
    hosts = world.fleet.status()["hosts"]
    holders = [h["name"] for h in hosts if rate_shard(TEAM) in h["shards"]]
    return world.fleet.hosts[holders[0]] if holders else None


@when("callers press for {seconds:d} s, most of them on daemon 1")
def step_press(context, seconds):
    press(context, seconds).close()


@when("callers press while the limit owner is killed and the next one is frozen")
def step_press_owner(context):
    press(context, 2)
    limit_owner(context.world).process.kill()
    time.sleep(10)
    owner = limit_owner(context.world)
    assert owner is not None, "no successor took the lease"
    owner.process.freeze()
    time.sleep(9)
    owner.process.thaw()
    context.end_from = time.monotonic() + 3
    time.sleep(7)
    context.pressure.close()


@when("callers press for {seconds:d} s while the platform is down")
def step_press_outage(context, seconds):
    press(context, 1)
    context.world.fleet.set_platform_faults(down=True)
    context.end_from = time.monotonic() + 4
    time.sleep(seconds)
    context.pressure.close()


def isolate_daemon(world, number):
    """Cut a daemon off from all others and the platform, both ways."""
    fleet = world.fleet
    host = fleet.hosts[f"host-{number}"]
    fleet.set_link_fault([host.name], "hold")
    fleet.set_link_fault([h for h in fleet.hosts if h != host.name] + ["platform"], "hold", host.ip)


@when("callers press for {seconds:d} s while daemon {number:d} is cut off")
def step_press_cut(context, seconds, number):
    press(context, 1)
    isolate_daemon(context.world, number)
    context.end_from = time.monotonic() + 3
    time.sleep(seconds + 6)
    context.pressure.close()


@then("no window holds more than rate and burst allow")
def step_windows(context):
    admitted = sorted(context.pressure.admitted)
    print(f"admitted {len(admitted)} refused {len(context.pressure.refused)}")
    ends = sorted(end for _, end in admitted)
    for first in range(0, len(admitted), 3):
        start = admitted[first][0]
        inside = sorted(end for begin, end in admitted[first:] if begin >= start)
        for count, end in enumerate(inside, start=1):
            allowed = context.rate * (end - start) + context.burst
            assert count <= allowed, (count, allowed, end - start, ends[0])


@then("requests are admitted at the end")
def step_end(context):
    late = [1 for began, _ in context.pressure.admitted if began >= context.end_from]
    kinds = {k.value for t, k in context.pressure.refused if t >= context.end_from and k}
    assert len(late) > 20, (len(late), kinds, Kind.OVER_RATE)


@when("{count:d} statements are run in one transaction as fast as they go")
def step_in_transaction(context, count):
    context.tx = context.world.session().begin()
    context.told = []
    context.began = time.monotonic()
    for _ in range(count):
        try:
            context.tx.run("SELECT 1")
        except TryAgain as exc:
            context.told.append(exc.kind)
        else:
            context.told.append(None)
    context.took = time.monotonic() - context.began


@then("no more ran than rate and burst allow, and the commit goes through")
def step_refused(context):
    allowed = context.rate * context.took + context.burst
    ran = context.told.count(None)
    assert ran <= allowed, (ran, allowed)
    assert ran > 0, context.told
    context.tx.commit()

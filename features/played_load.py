"""Play the load of many hosts on one group, with a queue for each member, without a network."""

import heapq
import random
from collections import Counter

from features.steps.placement import RULE
from wagtailloft.controllers.target_loads import AttemptResult, TargetLoads
from wagtailloft.fleet.messages import TargetLoad
from wagtailloft.fleet.records import Target
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.groups.target_choice import (
    EarlyRefusal,
    GroupSnapshot,
    StatementNeeds,
    choose,
)
from wagtailloft.models import Position

SLOTS = 4
ROUND_TRIP_S = 0.002


class PlayedLoad:
    """Hosts that send reads at random times to two replicas, r and s, and a primary p.

    Members run SLOTS statements at a time in order of arrival, and their owners refuse what they
    expect to be late. service has the average time of a statement at each member.
    """

    def __init__(self, *, hosts, seed=5, **service):
        """Take the number of hosts, and the service time of each member."""
        self.rng = random.Random(seed)
        self.service = service
        targets = tuple(
            Target(name=n, group="g", address="1.1.1.1:1", zone="z0", slots=SLOTS) for n in service
        )
        self.samples = PositionSamples()
        self.snapshots = [
            GroupSnapshot(targets=targets, primary=targets[0], zone="z0", loads=TargetLoads())
            for _ in range(hosts)
        ]
        self.free_at = {n: [0.0] * SLOTS for n in service}
        self.mean = dict(service)
        self.fail_share = Counter()
        self.results = Counter()  # by member, "-" if none was chosen, and outcome
        self.waits = []  # pairs of the waits at r and s over time

    def play(self, seconds, rate, began=10.0):
        """Play reads of all hosts for a while at a rate a second."""
        at, events = began, []
        while at < began + seconds or events:
            if at < began + seconds and (not events or at < events[0][0]):
                self._arrive(at, events)
                at += self.rng.expovariate(rate)
            elif events:
                self._answer(*heapq.heappop(events))
        return self.results

    def _wait(self, name, at):
        return max(0.0, min(self.free_at[name]) - at)

    def _arrive(self, at, events):
        self.samples.add(at - 1.0, Position(term=1, index=int(at * 100)))
        number = self.rng.randrange(len(self.snapshots))
        snapshot = self.snapshots[number]
        needs = StatementNeeds(rule=RULE, writes=False, time_left=RULE.timeout)
        choice = choose(needs, snapshot, self.samples, at, self.rng)
        self.waits.append((at, self._wait("r", at), self._wait("s", at)))
        if isinstance(choice, EarlyRefusal):
            self.results["-", "refused"] += 1
            return
        name = choice.target
        snapshot.loads.sent(name, "h", at)
        arrived = at + ROUND_TRIP_S / 2
        wait = self._wait(name, arrived)
        failed = self.rng.random() < self.fail_share[name]
        work = 0.001 if failed else self.rng.expovariate(1 / self.service[name])
        slots = self.free_at[name]
        if wait + self.mean[name] > RULE.timeout:
            outcome, done = "refused", arrived
        else:
            index = slots.index(min(slots))
            slots[index] = done = max(arrived, slots[index]) + work
            self.mean[name] += 0.05 * (work - self.mean[name])
            is_late = done - at > RULE.timeout
            outcome = "failed" if failed else "late" if is_late else "ok"
        heapq.heappush(events, (done + ROUND_TRIP_S / 2, number, name, outcome, at))

    def _answer(self, at, number, name, outcome, sent_at):
        loads = self.snapshots[number].loads
        loads.returned(name)
        wait = int(1000 * self._wait(name, at))
        load = TargetLoad(waits_ms=(wait,) * 3, service_ms=int(1000 * self.mean[name]))
        results = {"ok": AttemptResult.OK, "failed": AttemptResult.FAILED}
        loads.observe(name, result=results.get(outcome, AttemptResult.NEUTRAL), load=load, at=at)
        if outcome == "ok":
            loads.observe_answer_time(name, priority=1, seconds=at - sent_at, at=at)
        loads.review(tuple(self.service), at)
        self.results[name, outcome] += 1

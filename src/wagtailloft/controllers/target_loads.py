"""What this host knows of the load, speed and failures of targets, to choose among them.

Times are arguments, in seconds of one clock.
"""

import math
import statistics
from collections import deque
from enum import Enum

from wagtailloft.fleet.messages import TargetLoad
from wagtailloft.fleet.records import Target
from wagtailloft.models import Record

ZONE_ROUND_TRIP_S = 0.0005  # prior, until a round trip to the target is known
CROSS_ZONE_ROUND_TRIP_S = 0.010  # prior
TYPICAL_SERVICE_S = 0.015  # prior of the time of a statement at a target
PRIORITY_CLASSES = 3  # as in TargetLoad.waits_ms
WAIT_LIFETIME_S = 1.0  # a reported wait decays to 0 over this time
FRESH_REPORT_S = 0.3  # only a younger report may refuse a statement
SHORTEST_WINDOW_S = 30.0
MAX_RECENT_ANSWERS = 32
MIN_RECENT_ANSWERS = 5  # fewer may all be of slow statements
FAILURE_GAIN = 0.25  # two failures in a row exceed the limit, one does not
FAILURE_HALF_LIFE_S = 5.0
FAILURE_COST_S = 0.025  # of one failed attempt, which a retry repeats
MAX_COUNTED_SCORE = 0.98  # bounds the expected number of attempts
MAX_FAILURE_SCORE = 0.3
SLOW_FACTOR = 3.0  # times the median service time of the group
# Members with different statements differ by SLOW_FACTOR at short times; below this, the expected
# delay alone decides.
MIN_SLOW_SERVICE_S = 0.04
SERVICE_LIFETIME_S = 10.0  # an older service time is not compared with those of other members
PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 4.0  # a host with few reads would send most of them as probes otherwise
# Without an answer for this long, an ejected member that no longer counts as failing or slow is
# readmitted. Only reads at replicas are probes, so a primary, or a replica that gets transactions
# only, would stay ejected.
EJECTION_LIFETIME_S = 10.0
UNKNOWN_ATTEMPT_TIMEOUT_S = 0.35  # covers a slow statement that is queued behind others
MIN_ATTEMPT_TIMEOUT_S = 0.15
MIN_ANSWERS = 8  # from which on answer times are taken as known
ANSWER_GAIN = 0.125  # of moving averages, as usual for round trips
DEVIATIONS = 4  # over the average answer time that an attempt may take
# A statement may be several times longer than the average without being seen often; the slowest
# answer is therefore covered too, and forgotten slowly.
SLOWEST_FACTOR = 1.5
SLOWEST_DECAY = 0.98
# Times the service time after which a target that sends nothing is checked: each needless check
# uses two of its slots, one to connect and one for the status query.
UNRESPONSIVE_FACTOR = 4
MIN_UNRESPONSIVE_S = 0.18  # above the longest typical statement
MAX_UNRESPONSIVE_S = 0.6  # a failover begins that much later
IDLE_LIFETIME_S = 60.0  # targets that were not used for this long are forgotten


class AttemptResult(Enum):
    """What an attempt tells about its target; NEUTRAL is not caused by the target."""

    OK = "ok"
    FAILED = "failed"
    NEUTRAL = "neutral"


class Ejection(Record):
    """Report that a target was ejected, or readmitted if not is_ejected."""

    target: str
    is_ejected: bool
    reason: str
    score: float
    service: float


class _Answers:
    """The times of a target's answers to statements of one priority."""

    def __init__(self) -> None:
        self.count = 0
        self.average = 0.0
        self.deviation = 0.0
        self.slowest = 0.0
        self.recent: deque[tuple[float, float]] = deque(maxlen=MAX_RECENT_ANSWERS)

    def add(self, seconds: float) -> None:
        gain = max(ANSWER_GAIN, 1 / (self.count + 1))
        error = seconds - self.average
        self.average += gain * error
        self.deviation += gain * (abs(error) * bool(self.count) - self.deviation)
        self.count += 1
        self.slowest = max(seconds, self.slowest * SLOWEST_DECAY)

    def shortest(self, at: float) -> float | None:
        """Return the shortest recent time, or None while too few are known."""
        recent = [s for when, s in self.recent if at - when <= SHORTEST_WINDOW_S]
        return min(recent) if len(recent) >= MIN_RECENT_ANSWERS else None

    def add_timeout(self, limit: float) -> None:
        """Count an answer that did not come in time as one that took that long at least."""
        bound = UNKNOWN_ATTEMPT_TIMEOUT_S / SLOWEST_FACTOR
        self.slowest = max(self.slowest, min(limit, bound))


class _Target:
    """The state of one target."""

    def __init__(self) -> None:
        self.owner = ""
        self.in_flight = 0
        self.sent_since_report = 0
        self.waits = (0.0,) * PRIORITY_CLASSES
        self.reported_at = -math.inf
        self.service = TYPICAL_SERVICE_S
        self.answers = [_Answers() for _ in range(PRIORITY_CLASSES)]
        self.score = 0.0
        self.used_at = -math.inf
        self.last_result = AttemptResult.NEUTRAL
        self.ejected_for = ""
        self.probe_interval = PROBE_INTERVAL_S
        self.next_probe_at = -math.inf

    def score_at(self, at: float) -> float:
        return self.score * 0.5 ** (max(0.0, at - self.used_at) / FAILURE_HALF_LIFE_S)

    def wait_at(self, priority: int, at: float) -> float:
        share = 1 - (at - self.reported_at) / WAIT_LIFETIME_S
        return self.waits[_class_of(priority)] * max(0.0, share)

    def drop_reports(self) -> None:
        self.reported_at = -math.inf
        self.sent_since_report = 0
        for answers in self.answers:
            answers.recent.clear()


class TargetLoads:
    """Keep the load, speed and failures of targets as this host's attempts show them."""

    def __init__(self) -> None:
        self._targets: dict[str, _Target] = {}

    def sent(self, target: str, owner: str, at: float) -> None:
        """Count a statement that is sent; another owner than before drops the reports."""
        state = self._targets.get(target)
        if state is None:
            self._forget_idle(at)
            state = self._targets[target] = _Target()
        if state.owner != owner:
            state.drop_reports()
            state.owner = owner
        state.in_flight += 1
        state.sent_since_report += 1
        if state.ejected_for:
            state.next_probe_at = at + state.probe_interval

    def returned(self, target: str) -> None:
        """Count a statement as finished, with or without an answer."""
        self._targets[target].in_flight -= 1

    def observe(
        self,
        target: str,
        *,
        result: AttemptResult,
        load: TargetLoad | None,
        at: float,
        owner: str = "",
    ) -> None:
        """Take the result of a statement, and the load that was reported with it.

        The queue of an earlier owner, which still runs its transactions, tells nothing about that
        of the owner to which statements are sent now.
        """
        state = self._targets.setdefault(target, _Target())
        if owner and state.owner and owner != state.owner:
            load = None
        if load is not None:
            state.waits = tuple(w / 1000 for w in load.waits_ms)
            state.service = max(1, load.service_ms) / 1000
            state.reported_at = at
            state.sent_since_report = 0
        state.score = state.score_at(at)
        if result is not AttemptResult.NEUTRAL:
            has_failed = result is AttemptResult.FAILED
            state.score += FAILURE_GAIN * (has_failed - state.score)
            state.last_result = result
            if state.ejected_for:
                state.probe_interval = (
                    min(MAX_PROBE_INTERVAL_S, 2 * state.probe_interval)
                    if has_failed
                    else PROBE_INTERVAL_S
                )
                state.next_probe_at = at + state.probe_interval
        state.used_at = at

    def observe_answer_time(self, target: str, *, priority: int, seconds: float, at: float) -> None:
        """Learn the spread and the shortest time of answers to single statements.

        The shortest are learned at an owner without a queue only.
        """
        state = self._targets[target]
        answers = state.answers[_class_of(priority)]
        answers.add(seconds)
        if state.reported_at == at and state.wait_at(priority, at) == 0:
            answers.recent.append((at, seconds))

    def round_trips(
        self, members: tuple[Target, ...], *, zone: str, priority: int, at: float
    ) -> dict[str, float]:
        """Return the time of a round trip to each member of a group.

        It is the prior of its zone, corrected by how its shortest answers differ from those of the
        nearest member. These include the time of the cheapest statements, which is about the same
        at all members for a priority. Subtracting the average service time instead would be of no
        use: service times vary by more than round trips.
        """
        priors = {m.name: _round_trip_prior(m, zone) for m in members}
        excess = {}  # of the shortest answers over the prior
        for member in members:
            state = self._targets.get(member.name)
            shortest = state.answers[_class_of(priority)].shortest(at) if state else None
            if shortest is not None:
                excess[member.name] = shortest - priors[member.name]
        nearest = min((priors[n] for n in excess), default=0.0)
        common = min((e for n, e in excess.items() if priors[n] == nearest), default=0.0)
        return {n: max(0.0, p + excess.get(n, common) - common) for n, p in priors.items()}

    def expected_wait(
        self,
        target: Target,
        *,
        priority: int,
        at: float,
        decays: bool = True,
    ) -> float:
        """Return the expected wait of a statement or transaction at a target.

        Unless decays is set, the owner's part is taken as it was reported.
        """
        state = self._targets.get(target.name)
        if state is None:
            return 0.0
        slots = max(1, target.slots)
        wait = state.wait_at(priority, at) if decays else state.waits[_class_of(priority)]
        # With a wait the slots are in use already, so all that was sent since queues up.
        queued = state.sent_since_report if wait else max(0, state.in_flight + 1 - slots)
        return wait + state.service * queued / slots

    def failure_cost(self, target: str, at: float) -> float:
        """Return the expected time that failed attempts take before one succeeds."""
        state = self._targets.get(target)
        score = min(MAX_COUNTED_SCORE, state.score_at(at)) if state else 0.0
        return FAILURE_COST_S * score / (1 - score)

    def observe_timeout(self, target: str, *, priority: int, limit: float) -> None:
        """Learn that a read was not answered within a limit."""
        self._targets[target].answers[_class_of(priority)].add_timeout(limit)

    def attempt_timeout(self, target: str, *, priority: int, expected_delay: float) -> float:
        """Return how long to wait for the answer to a read before it is tried elsewhere."""
        state = self._targets.get(target)
        answers = state.answers[_class_of(priority)] if state else None
        if answers is None or answers.count < MIN_ANSWERS:
            return max(UNKNOWN_ATTEMPT_TIMEOUT_S, expected_delay)
        spread = answers.average + DEVIATIONS * answers.deviation
        return max(MIN_ATTEMPT_TIMEOUT_S, expected_delay + spread, SLOWEST_FACTOR * answers.slowest)

    def service(self, target: str) -> float:
        """Return the last reported time of a statement at a target, or the prior."""
        state = self._targets.get(target)
        return state.service if state else TYPICAL_SERVICE_S

    def unresponsive_after(self, target: str) -> float:
        """Return after which time without anything from a target it is checked."""
        limit = UNRESPONSIVE_FACTOR * self.service(target)
        return min(MAX_UNRESPONSIVE_S, max(MIN_UNRESPONSIVE_S, limit))

    def is_reported(self, target: str, at: float) -> bool:
        """Tell whether the last report of a target is fresh enough to refuse a statement by."""
        state = self._targets.get(target)
        return state is not None and at - state.reported_at < FRESH_REPORT_S

    def in_flight(self, target: str) -> int:
        """Return how many statements of this host are in flight at a target."""
        state = self._targets.get(target)
        return state.in_flight if state else 0

    def reported(self, target: str) -> TargetLoad | None:
        """Return the last load that the owner of a target's links reported, None without one."""
        state = self._targets.get(target)
        if state is None or state.reported_at == -math.inf:
            return None
        first, second, third = (round(w * 1000) for w in state.waits)
        return TargetLoad(waits_ms=(first, second, third), service_ms=round(state.service * 1000))

    def is_ejected(self, target: str) -> bool:
        """Tell whether a target gets only probes while others are eligible."""
        state = self._targets.get(target)
        return state is not None and bool(state.ejected_for)

    def is_probe_due(self, target: str, at: float) -> bool:
        """Tell whether an ejected target is to get a statement as a probe."""
        state = self._targets.get(target)
        return state is not None and bool(state.ejected_for) and at >= state.next_probe_at

    def review(self, members: tuple[str, ...], at: float) -> tuple[Ejection, ...]:
        """Eject and readmit members of a group by their failures and service times."""
        known = {n: self._targets[n] for n in members if n in self._targets}
        services = [s.service for s in known.values() if at - s.reported_at <= SERVICE_LIFETIME_S]
        limit = math.inf
        if services:
            limit = max(MIN_SLOW_SERVICE_S, SLOW_FACTOR * statistics.median(services))
        changes = []
        for name, state in known.items():
            score = state.score_at(at)
            is_slow = at - state.reported_at <= SERVICE_LIFETIME_S and state.service > limit
            reason = "failures" if score > MAX_FAILURE_SCORE else "slow" if is_slow else ""
            if bool(reason) == bool(state.ejected_for):
                continue
            is_unproven = state.last_result is not AttemptResult.OK
            if not reason and is_unproven and at - state.used_at < EJECTION_LIFETIME_S:
                continue
            change = Ejection(
                target=name,
                is_ejected=bool(reason),
                reason=reason or state.ejected_for,
                score=score,
                service=state.service,
            )
            changes.append(change)
            state.ejected_for = reason
            state.probe_interval = PROBE_INTERVAL_S
            state.next_probe_at = at + PROBE_INTERVAL_S
        return tuple(changes)

    def _forget_idle(self, at: float) -> None:
        for name, state in list(self._targets.items()):
            if not state.in_flight and at - state.used_at > IDLE_LIFETIME_S:
                del self._targets[name]


def _round_trip_prior(target: Target, zone: str) -> float:
    return ZONE_ROUND_TRIP_S if target.zone == zone else CROSS_ZONE_ROUND_TRIP_S


def _class_of(priority: int) -> int:
    return min(priority, PRIORITY_CLASSES - 1)

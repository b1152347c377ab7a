"""Choose the member that runs a statement, from this host's view of the group, without I/O."""

import math
import random

import msgspec

from wagtailloft.controllers.target_loads import TargetLoads
from wagtailloft.fleet.records import Freshness, RouteRule, Target
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.models import Position, Record

NO_SAMPLE = "no position sample is recent enough"
PRIMARY = "primary"
REPLICA = "replica"
PROBE = "probe of an ejected replica"
SAMPLE_MARGIN_S = 0.45  # covers LINK_WAIT_LIMIT_S and a round trip across zones
STATEMENTS_PER_TRANSACTION = 5  # about half of the largest number that callers send
# Moves reads to replicas so that the primary's slots stay free for writes. It is below the time of
# a round trip across zones, so that a primary in this zone is preferred to a replica in another.
PRIMARY_PENALTY_S = 0.005
# Of the difference in distance between a primary in this zone and a replica in another, for zones
# that are nearer to each other than PRIMARY_PENALTY_S.
PRIMARY_PENALTY_SHARE = 0.5
DELAY_RESOLUTION_S = 0.001  # members whose expected delays differ by less are chosen at random
# Hosts that have the same report of a queue spread their next statements by this share of it.
WAIT_SPREAD = 0.25
# Times the average service time for which there has to be room: with 1, every sixth statement of an
# overload that a member ran ended after its deadline.
ADMITTED_SERVICE_FACTOR = 2
MIN_RETRY_S = 0.02  # callers that retry sooner find about the same queue


class TargetChoice(Record):
    """Describe the chosen member, the role it must have and the position it must have reached.

    expected_delay is in seconds; has_alternative tells that another member could run it as well.
    """

    target: str
    is_primary: bool
    min_position: Position | None = None
    reason: str = ""
    expected_delay: float = 0.0
    has_alternative: bool = False


class Deferral(Record):
    """Tell that a read waits for a replica that lags, and until when it is not to be tried."""

    until: float


class EarlyRefusal(Record):
    """Tell that no member can run the statement in time, and in how many seconds one may."""

    retry_in: float


Placement = TargetChoice | Deferral | EarlyRefusal


class StatementNeeds(Record):
    """Describe what a statement or transaction requires of a member.

    avoid lists the members at which it failed, and shed the replicas that refused it as busy.
    has_lagged tells that a replica lacked the position, so that another one that may lag as well
    is not tried in vain. time_left is until the deadline, in seconds. may_fetch_sample tells that
    other hosts have not been asked for a position sample yet.
    """

    rule: RouteRule
    writes: bool
    session_position: Position | None = None
    avoid: tuple[str, ...] = ()
    shed: tuple[str, ...] = ()
    has_lagged: bool = False
    opens_transaction: bool = False
    time_left: float = math.inf
    may_fetch_sample: bool = True

    @property
    def round_trips(self) -> int:
        """Return the expected number of round trips to the member."""
        return STATEMENTS_PER_TRANSACTION if self.opens_transaction else 1


class GroupSnapshot(Record):
    """Describe a group as this host sees it, with what is known of its targets' loads."""

    targets: tuple[Target, ...]
    primary: Target | None
    zone: str
    loads: TargetLoads = msgspec.field(default_factory=TargetLoads)


def choose(
    needs: StatementNeeds,
    snapshot: GroupSnapshot,
    samples: PositionSamples,
    at: float,
    rng: random.Random | None = None,
) -> Placement | None:
    """Return where to send the statement, or None if it has to wait for a primary.

    rng decides among members that are about equal; without it, the first by name is chosen.
    """
    return _Placement(needs, snapshot, samples, at, rng).choose()


def usable_sample_age(rule: RouteRule) -> float:
    """Return up to which age in seconds a position sample serves a route's reads."""
    return rule.max_age - SAMPLE_MARGIN_S


class _Placement:
    """One choice of a member."""

    def __init__(
        self,
        needs: StatementNeeds,
        snapshot: GroupSnapshot,
        samples: PositionSamples,
        at: float,
        rng: random.Random | None,
    ) -> None:
        self._needs = needs
        self._snapshot = snapshot
        self._primary = snapshot.primary
        self._loads = snapshot.loads
        self._samples = samples
        self._at = at
        self._rng = rng
        members = (*snapshot.targets, *([snapshot.primary] if snapshot.primary else []))
        priority = needs.rule.priority
        round_trips = self._loads.round_trips(members, zone=snapshot.zone, priority=priority, at=at)
        # The time of all round trips to each member, and the delay with the wait there.
        self._distances = {n: s * needs.round_trips for n, s in round_trips.items()}
        self._delays = {t.name: self._expected_delay(t) for t in members}

    def choose(self) -> Placement | None:
        needs = self._needs
        if needs.writes or needs.rule.freshness is Freshness.LATEST:
            return self._at_primary_in_time()
        min_position = self._samples.position_as_of(self._at - usable_sample_age(needs.rule))
        if min_position is None:
            return self._at_primary_in_time(NO_SAMPLE)
        if needs.session_position and needs.session_position.term >= min_position.term:
            min_position = max(min_position, needs.session_position)
        replicas = self._replicas()
        lagging = [t for t in replicas if self._is_behind(t, min_position)]
        eligible = [t for t in replicas if t not in lagging]
        if self._primary is None and not eligible:
            return None
        has_alternative = len(eligible) > 1 or self._primary is not None
        probed = [t for t in eligible if self._loads.is_probe_due(t.name, self._at)]
        if probed and not needs.opens_transaction and not needs.avoid:
            return self._at_replica(probed[0], min_position, PROBE, has_alternative)
        healthy = [t for t in eligible if not self._loads.is_ejected(t.name)]
        in_time = self._in_time(healthy) or self._in_time(eligible)
        candidates = self._not_shed(in_time) or in_time
        best = self._least_delayed(self._without_laggards(candidates, min_position, healthy))
        if self._is_primary_preferred(best, healthy):
            return self._at_primary(has_alternative=bool(eligible))
        if best is not None:
            return self._at_replica(best, min_position, REPLICA, has_alternative)
        return self._without_known_time(eligible, lagging, min_position)

    def _without_known_time(
        self, eligible: list[Target], lagging: list[Target], min_position: Position
    ) -> Placement:
        """Return where a read goes if no member is expected to run it in time."""
        caught_up = [
            max(self._samples.backoff_end(t.name), self._at)
            for t in lagging
            if self._samples.backoff_end(t.name) + self._duration(t)
            <= self._at + self._needs.time_left
        ]
        if caught_up:
            return Deferral(until=min(caught_up))
        members = [*eligible, *([self._primary] if self._primary else [])]
        unknown = self._least_delayed([t for t in members if not self._is_refused(t)])
        if unknown is None:
            return self._refusal(members)
        if unknown is self._primary:
            return self._at_primary()
        return self._at_replica(unknown, min_position, REPLICA, has_alternative=False)

    def _duration(self, target: Target) -> float:
        return self._delays[target.name] + self._loads.service(target.name)

    def _in_time(self, targets: list[Target]) -> list[Target]:
        left = self._needs.time_left
        return [t for t in targets if self._duration(t) <= left and not self._is_refused(t)]

    def _is_refused(self, target: Target) -> bool:
        """Tell whether a member certainly can't run the statement in time."""
        is_reported = self._loads.is_reported(target.name, self._at)
        return is_reported and self._reported_duration(target) > self._needs.time_left

    def _reported_duration(self, target: Target) -> float:
        """Return the expected duration by the last report alone.

        The decay of waits prefers members of which little is known. While a group is overloaded,
        others take the room that becomes free meanwhile.
        """
        service = ADMITTED_SERVICE_FACTOR * self._loads.service(target.name)
        return self._expected_delay(target, decays=False) + service

    def _refusal(self, targets: list[Target]) -> EarlyRefusal:
        """Refuse until the first queue has room for a statement with its whole time."""
        least = min(self._reported_duration(t) for t in targets)
        return EarlyRefusal(retry_in=max(MIN_RETRY_S, least - self._needs.rule.timeout))

    def _at_primary_in_time(self, reason: str = PRIMARY) -> Placement | None:
        may_fetch = reason == NO_SAMPLE and self._needs.may_fetch_sample
        if self._primary and not may_fetch and self._is_refused(self._primary):
            return self._refusal([self._primary])
        return self._at_primary(reason)

    def _expected_delay(self, target: Target, *, decays: bool = True) -> float:
        wait = self._loads.expected_wait(
            target, priority=self._needs.rule.priority, at=self._at, decays=decays
        )
        return self._distances[target.name] + wait

    def _at_primary(
        self, reason: str = PRIMARY, *, has_alternative: bool = False
    ) -> TargetChoice | None:
        if self._primary is None:
            return None
        return TargetChoice(
            target=self._primary.name,
            is_primary=True,
            reason=reason,
            expected_delay=self._delays[self._primary.name],
            has_alternative=has_alternative,
        )

    def _at_replica(
        self, target: Target, min_position: Position, reason: str, has_alternative: bool
    ) -> TargetChoice:
        return TargetChoice(
            target=target.name,
            is_primary=False,
            min_position=min_position,
            reason=reason,
            expected_delay=self._delays[target.name],
            has_alternative=has_alternative,
        )

    def _replicas(self) -> list[Target]:
        excluded = {self._primary.name if self._primary else "", *self._needs.avoid}
        return [t for t in self._snapshot.targets if not t.leaving and t.name not in excluded]

    def _not_shed(self, targets: list[Target]) -> list[Target]:
        return [t for t in targets if t.name not in self._needs.shed]

    def _is_behind(self, target: Target, min_position: Position) -> bool:
        """Tell whether a replica is not to be tried because it probably lacks the position."""
        if self._samples.in_backoff(target.name, self._at, min_position):
            return True
        return self._needs.has_lagged and self._samples.may_lag(target.name, self._at, min_position)

    def _without_laggards(
        self, targets: list[Target], min_position: Position, healthy: list[Target]
    ) -> list[Target]:
        """Leave out all replicas that may lag, except the one that was not tried for longest.

        Each that is found to lag holds the others back too, so a near one that lags for long would
        always be tried first, and others not after they have caught up.
        """
        suspects = [t for t in targets if self._samples.may_lag(t.name, self._at, min_position)]
        useful = [t for t in suspects if not self._is_primary_preferred(t, healthy)]
        tried = min(useful or suspects, key=lambda t: self._samples.lagged_at(t.name), default=None)
        return [t for t in targets if t not in suspects or t is tried]

    def _least_delayed(self, targets: list[Target]) -> Target | None:
        """Return the least delayed of two random members and the best known one.

        Their delays are varied at random by about what is not known of them: hosts that have the
        same report would all send their next statements to the same member otherwise.
        """
        ranked = sorted(targets, key=lambda t: (self._cost(t), t.name))
        if not ranked or self._rng is None:
            return ranked[0] if ranked else None
        candidates = ranked[:1] + self._rng.sample(ranked[1:], min(2, len(ranked) - 1))
        return min(candidates, key=self._varied_cost)

    def _cost(self, target: Target) -> float:
        """Return the expected delay of a member, with that of attempts that fail."""
        return self._delays[target.name] + self._loads.failure_cost(target.name, self._at)

    def _varied_cost(self, target: Target) -> float:
        wait = self._delays[target.name] - self._distances[target.name]
        return self._cost(target) + self._rng.uniform(0, DELAY_RESOLUTION_S + WAIT_SPREAD * wait)

    def _is_primary_preferred(self, replica: Target | None, healthy: list[Target]) -> bool:
        """Tell whether a read goes to the primary rather than to the best replica.

        Without a healthy replica the primary competes with the ejected ones by its expected delay:
        replicas that shed an overload would otherwise move all reads to the primary.
        """
        if self._primary is None or not self._in_time([self._primary]):
            return False
        if replica is None:
            return True
        has_failed = self._primary.name in self._needs.avoid
        if has_failed or (replica in healthy and self._loads.is_ejected(self._primary.name)):
            return False
        penalty = PRIMARY_PENALTY_S
        if self._primary.zone == self._snapshot.zone != replica.zone:
            nearer = self._distances[replica.name] - self._distances[self._primary.name]
            penalty = min(penalty, PRIMARY_PENALTY_SHARE * max(0.0, nearer))
        return self._cost(self._primary) + penalty < self._cost(replica)

"""Choose the member that runs a statement, from this host's view of the group, without I/O."""

import random

import msgspec

from wagtailloft.controllers.target_loads import TargetLoads
from wagtailloft.fleet.records import Freshness, RouteRule, Target
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.models import Position, Record

NO_SAMPLE = "no position sample is recent enough"
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


class TargetChoice(Record):
    """Describe the chosen member, the role it must have and the position it must have reached."""

    target: str
    is_primary: bool
    min_position: Position | None = None
    reason: str = ""


class StatementNeeds(Record):
    """Describe what a statement or transaction requires of a member.

    avoid lists the members at which it failed, and shed the replicas that refused it as busy.
    has_lagged tells that a replica lacked the position, so that another one that may lag as well
    is not tried in vain.
    """

    rule: RouteRule
    writes: bool
    session_position: Position | None = None
    avoid: tuple[str, ...] = ()
    shed: tuple[str, ...] = ()
    has_lagged: bool = False
    opens_transaction: bool = False

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
) -> TargetChoice | None:
    """Return the member to send the statement to, or None if none can run it at present.

    rng decides among members that are about equal; without it, the first by name is chosen.
    """
    primary_choice = _primary_choice(snapshot)
    if needs.writes or needs.rule.freshness is Freshness.LATEST:
        return primary_choice
    min_position = samples.position_as_of(at - usable_sample_age(needs.rule))
    if min_position is None:
        return primary_choice and msgspec.structs.replace(primary_choice, reason=NO_SAMPLE)
    if needs.session_position and needs.session_position.term >= min_position.term:
        min_position = max(min_position, needs.session_position)
    eligible = [
        t for t in _replicas(needs, snapshot) if not _is_behind(t, min_position, needs, samples, at)
    ]
    if not eligible:
        return primary_choice
    loads = snapshot.loads
    probed = [t for t in eligible if loads.is_probe_due(t.name, at)]
    if probed and not needs.opens_transaction and not needs.avoid:
        return _replica_choice(probed[0], min_position, PROBE)
    healthy = [t for t in eligible if not loads.is_ejected(t.name)]
    candidates = healthy or eligible
    untried = [t for t in candidates if t.name not in needs.shed]
    best = _least_delayed(untried or candidates, needs, snapshot, at, rng)
    # Without a healthy replica the primary competes with the ejected ones by its expected delay:
    # replicas that shed an overload would otherwise move all reads to the primary.
    may_use_primary = primary_choice and not (healthy and loads.is_ejected(snapshot.primary.name))
    if may_use_primary and _is_primary_preferred(best, needs, snapshot, at):
        return primary_choice
    return _replica_choice(best, min_position, REPLICA)


def usable_sample_age(rule: RouteRule) -> float:
    """Return up to which age in seconds a position sample serves a route's reads."""
    return rule.max_age - SAMPLE_MARGIN_S


def expected_delay(
    target: Target, needs: StatementNeeds, snapshot: GroupSnapshot, at: float
) -> float:
    """Return the expected delay of a statement or transaction at a member, in seconds."""
    return snapshot.loads.expected_delay(
        target,
        zone=snapshot.zone,
        priority=needs.rule.priority,
        round_trips=needs.round_trips,
        at=at,
    )


def _primary_choice(snapshot: GroupSnapshot) -> TargetChoice | None:
    if snapshot.primary is None:
        return None
    return TargetChoice(target=snapshot.primary.name, is_primary=True, reason="primary")


def _replica_choice(target: Target, min_position: Position, reason: str) -> TargetChoice:
    return TargetChoice(
        target=target.name, is_primary=False, min_position=min_position, reason=reason
    )


def _replicas(needs: StatementNeeds, snapshot: GroupSnapshot) -> list[Target]:
    primary = snapshot.primary.name if snapshot.primary else ""
    excluded = {primary, *needs.avoid}
    return [t for t in snapshot.targets if not t.leaving and t.name not in excluded]


def _is_behind(
    target: Target,
    min_position: Position,
    needs: StatementNeeds,
    samples: PositionSamples,
    at: float,
) -> bool:
    """Tell whether a replica is not to be tried because it probably lacks the position."""
    if samples.in_backoff(target.name, at, min_position):
        return True
    return needs.has_lagged and samples.may_lag(target.name, at, min_position)


def _least_delayed(
    targets: list[Target],
    needs: StatementNeeds,
    snapshot: GroupSnapshot,
    at: float,
    rng: random.Random | None,
) -> Target:
    """Return the least delayed of two random members and the best known one.

    Their delays are varied at random by about what is not known of them: hosts that have the same
    report would all send their next statements to the same member otherwise.
    """
    delays = {t.name: expected_delay(t, needs, snapshot, at) for t in targets}
    ranked = sorted(targets, key=lambda t: (delays[t.name], t.name))
    if rng is None:
        return ranked[0]
    candidates = ranked[:1] + rng.sample(ranked[1:], min(2, len(ranked) - 1))

    def varied_delay(target: Target) -> float:
        near = snapshot.loads.round_trip(target, snapshot.zone, at) * needs.round_trips
        queue = max(0.0, delays[target.name] - near)
        return delays[target.name] + rng.uniform(0, DELAY_RESOLUTION_S + WAIT_SPREAD * queue)

    return min(candidates, key=varied_delay)


def _is_primary_preferred(
    replica: Target, needs: StatementNeeds, snapshot: GroupSnapshot, at: float
) -> bool:
    """Tell whether a read goes to the primary rather than to the best replica."""
    primary, loads = snapshot.primary, snapshot.loads
    penalty = PRIMARY_PENALTY_S
    if primary.zone == snapshot.zone != replica.zone:
        nearer = loads.round_trip(replica, snapshot.zone, at) - loads.round_trip(
            primary, snapshot.zone, at
        )
        penalty = min(penalty, PRIMARY_PENALTY_SHARE * max(0.0, nearer) * needs.round_trips)
    return expected_delay(primary, needs, snapshot, at) + penalty < expected_delay(
        replica, needs, snapshot, at
    )

"""Choose the member that runs a statement, from this host's view of the group, without I/O."""

import msgspec

from wagtailloft.fleet.records import Freshness, RouteRule, Target
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.models import Position, Record

NO_SAMPLE = "no position sample is recent enough"
SAMPLE_MARGIN_S = 0.45  # covers LINK_WAIT_LIMIT_S and a round trip across zones
CROSS_ZONE_COST_S = 0.012  # a round trip across zones with jitter
STATEMENTS_PER_TRANSACTION = 5  # about half of the largest number that callers send
# Moves reads to replicas so that the primary's slots stay free for writes. It is below
# CROSS_ZONE_COST_S, so that a primary in this zone is preferred to a replica in another.
PRIMARY_PENALTY_S = 0.005
TYPICAL_STATEMENT_S = 0.015  # execution time at a member


class TargetChoice(Record):
    """Describe the chosen member, the role it must have and the position it must have reached."""

    target: str
    is_primary: bool
    min_position: Position | None = None
    reason: str = ""


class StatementNeeds(Record):
    """Describe what a statement or transaction requires of a member.

    avoid lists the replicas at which it failed for another reason than TARGET_BUSY.
    """

    rule: RouteRule
    writes: bool
    session_position: Position | None = None
    avoid: tuple[str, ...] = ()
    opens_transaction: bool = False


class GroupSnapshot(Record):
    """Describe a group as this host sees it, with its statements in flight by target."""

    targets: tuple[Target, ...]
    primary: Target | None
    zone: str
    in_flight: dict[str, int] = {}


def choose(
    needs: StatementNeeds, snapshot: GroupSnapshot, samples: PositionSamples, at: float
) -> TargetChoice | None:
    """Return the member to send the statement to, or None if none can run it at present."""
    primary_choice = _primary_choice(snapshot)
    if needs.writes or needs.rule.freshness is Freshness.LATEST:
        return primary_choice
    min_position = samples.position_as_of(at - usable_sample_age(needs.rule))
    if min_position is None:
        return primary_choice and msgspec.structs.replace(primary_choice, reason=NO_SAMPLE)
    if needs.session_position and needs.session_position.term >= min_position.term:
        min_position = max(min_position, needs.session_position)
    eligible = [
        t for t in snapshot.targets if _is_eligible_replica(t, needs, snapshot, samples, at)
    ]
    if not eligible:
        return primary_choice
    round_trips = STATEMENTS_PER_TRANSACTION if needs.opens_transaction else 1
    best = min(eligible, key=lambda t: (_cost(t, snapshot, round_trips), t.name))
    if primary_choice and _cost(snapshot.primary, snapshot, round_trips) < _cost(
        best, snapshot, round_trips
    ):
        return primary_choice
    return TargetChoice(
        target=best.name, is_primary=False, min_position=min_position, reason="replica"
    )


def usable_sample_age(rule: RouteRule) -> float:
    """Return up to which age in seconds a position sample serves a route's reads."""
    return rule.max_age - SAMPLE_MARGIN_S


def _primary_choice(snapshot: GroupSnapshot) -> TargetChoice | None:
    if snapshot.primary is None:
        return None
    return TargetChoice(target=snapshot.primary.name, is_primary=True, reason="primary")


def _is_eligible_replica(
    target: Target,
    needs: StatementNeeds,
    snapshot: GroupSnapshot,
    samples: PositionSamples,
    at: float,
) -> bool:
    if target.leaving or target.name in needs.avoid:
        return False
    if snapshot.primary and target.name == snapshot.primary.name:
        return False
    return not samples.in_backoff(target.name, at)


def _cost(target: Target, snapshot: GroupSnapshot, round_trips: int) -> float:
    """Return the expected delay of a statement or transaction at a member, in seconds."""
    queued = max(0, snapshot.in_flight.get(target.name, 0) + 1 - target.slots)
    cost = TYPICAL_STATEMENT_S * queued / target.slots
    if target.zone != snapshot.zone:
        cost += CROSS_ZONE_COST_S * round_trips
    if snapshot.primary and target.name == snapshot.primary.name:
        cost += PRIMARY_PENALTY_S
    return cost

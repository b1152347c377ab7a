"""Choose the member for a statement: pure, from what this host believes."""

import msgspec

from wagtailloft.fleet.records import Freshness, RouteRule, Target
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.models import Position, Record

NO_SAMPLE = "no position is young enough"
SAMPLE_MARGIN_S = 0.45  # a wait for a link (WAIT_LIMIT_S) and two ways across zones
REMOTE_COST_S = 0.012  # a round trip across zones with jitter; MEASUREMENTS.md
STATEMENTS = 5  # of a transaction, about half of the most that callers send; PROTOCOL.md
PRIMARY_COST_S = 0.005  # keeps reads off the slots that writes need, unless that costs a hop
WORK_S = 0.015  # a usual statement at a member; SYSTEM.md


class TargetChoice(Record):
    """Hold a member, the position that it must have, and whether it must be the primary."""

    target: str
    is_primary: bool
    min_position: Position | None = None
    reason: str = ""


class StatementNeeds(Record):
    """Hold what a statement or transaction needs."""

    rule: RouteRule
    writes: bool
    session_position: Position | None = None
    avoid: tuple[str, ...] = ()
    opens_transaction: bool = False


class GroupSnapshot(Record):
    """Hold what decides: members, the primary, running work here, and this host's zone."""

    targets: tuple[Target, ...]
    primary: Target | None
    zone: str
    in_flight: dict[str, int] = {}


def choose(
    needs: StatementNeeds, snapshot: GroupSnapshot, samples: PositionSamples, at: float
) -> TargetChoice | None:
    """Return the member to ask, or None if none may serve now."""
    primary = _primary_choice(snapshot)
    if needs.writes or needs.rule.freshness is Freshness.LATEST:
        return primary
    needed = samples.at_least(at - needs.rule.max_age + SAMPLE_MARGIN_S)
    if needed is None:
        return primary and msgspec.structs.replace(primary, reason=NO_SAMPLE)
    if needs.session_position and needs.session_position.term >= needed.term:
        needed = max(needed, needs.session_position)
    ready = [t for t in snapshot.targets if _may_read(t, needs, snapshot, samples, at)]
    if not ready:
        return primary
    hops = STATEMENTS if needs.opens_transaction else 1
    best = min(ready, key=lambda t: (_cost(t, snapshot, hops), t.name))
    if primary and _cost(snapshot.primary, snapshot, hops) < _cost(best, snapshot, hops):
        return primary
    return TargetChoice(target=best.name, is_primary=False, min_position=needed, reason="replica")


def _primary_choice(snapshot: GroupSnapshot) -> TargetChoice | None:
    if snapshot.primary is None:
        return None
    return TargetChoice(target=snapshot.primary.name, is_primary=True, reason="primary")


def _may_read(
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
    return not samples.is_behind(target.name, at)


def _cost(target: Target, snapshot: GroupSnapshot, hops: int) -> float:
    """Return the seconds that a statement or transaction is expected to lose at a member."""
    waiting = max(0, snapshot.in_flight.get(target.name, 0) + 1 - target.slots)
    cost = WORK_S * waiting / target.slots
    if target.zone != snapshot.zone:
        cost += REMOTE_COST_S * hops
    if snapshot.primary and target.name == snapshot.primary.name:
        cost += PRIMARY_COST_S
    return cost

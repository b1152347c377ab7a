"""Choose the member for a statement: pure, from what this host believes."""

import msgspec

from wagtailloft.fleet.records import Freshness, RouteRule, Target
from wagtailloft.groups.samples import Samples
from wagtailloft.models import Position, Record

NO_SAMPLE = "no position is young enough"
SAMPLE_MARGIN_S = 0.45  # a wait for a link (WAIT_LIMIT_S) and two ways across zones
REMOTE_COST_S = 0.012  # a round trip across zones with jitter; MEASUREMENTS.md
STATEMENTS = 5  # of a transaction, about half of the most that callers send; PROTOCOL.md
PRIMARY_COST_S = 0.005  # keeps reads off the slots that writes need, unless that costs a hop
WORK_S = 0.015  # a usual statement at a member; SYSTEM.md


class Choice(Record):
    """Hold a member, the position that it must have, and whether it must be the primary."""

    target: str
    leading: bool
    after: Position | None = None
    why: str = ""


class Asked(Record):
    """Hold what a statement or transaction needs."""

    rule: RouteRule
    writes: bool
    seen: Position | None = None
    avoid: tuple[str, ...] = ()
    begins: bool = False


class Scene(Record):
    """Hold what decides: members, the primary, running work here, and this host's zone."""

    targets: tuple[Target, ...]
    primary: Target | None
    zone: str
    running: dict[str, int] = {}


def choose(asked: Asked, scene: Scene, samples: Samples, at: float) -> Choice | None:
    """Return the member to ask, or None if none may serve now."""
    leader = _leader(scene)
    if asked.writes or asked.rule.freshness is Freshness.LATEST:
        return leader
    needed = samples.at_least(at - asked.rule.max_age + SAMPLE_MARGIN_S)
    if needed is None:
        return leader and msgspec.structs.replace(leader, why=NO_SAMPLE)
    if asked.seen and asked.seen.term >= needed.term:
        needed = max(needed, asked.seen)
    ready = [t for t in scene.targets if _may_read(t, asked, scene, samples, at)]
    if not ready:
        return leader
    hops = STATEMENTS if asked.begins else 1
    best = min(ready, key=lambda t: (_cost(t, scene, hops), t.name))
    if leader and _cost(scene.primary, scene, hops) < _cost(best, scene, hops):
        return leader
    return Choice(target=best.name, leading=False, after=needed, why="replica")


def _leader(scene: Scene) -> Choice | None:
    if scene.primary is None:
        return None
    return Choice(target=scene.primary.name, leading=True, why="primary")


def _may_read(target: Target, asked: Asked, scene: Scene, samples: Samples, at: float) -> bool:
    if target.leaving or target.name in asked.avoid:
        return False
    if scene.primary and target.name == scene.primary.name:
        return False
    return not samples.is_behind(target.name, at)


def _cost(target: Target, scene: Scene, hops: int) -> float:
    """Return the seconds that a statement or transaction is expected to lose at a member."""
    waiting = max(0, scene.running.get(target.name, 0) + 1 - target.slots)
    cost = WORK_S * waiting / target.slots
    if target.zone != scene.zone:
        cost += REMOTE_COST_S * hops
    if scene.primary and target.name == scene.primary.name:
        cost += PRIMARY_COST_S
    return cost

"""Choose the member for a statement: pure, from what this host believes."""

from wagtailloft.fleet.records import Freshness, RouteRule, Target
from wagtailloft.groups.samples import Samples
from wagtailloft.models import Position, Record

SAMPLE_MARGIN_S = 0.45  # a wait for a link (WAIT_LIMIT_S) and two ways across zones
REMOTE_COST_S = 0.009  # a round trip across zones; SYSTEM.md, "Places"
PRIMARY_COST_S = 0.012  # keeps replicas' reads off the slots that writes need
RUNNING_COST_S = 0.010  # about half of a statement's work, with two slots a member


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
        return leader
    if asked.seen and asked.seen.term >= needed.term:
        needed = max(needed, asked.seen)
    ready = [t for t in scene.targets if _may_read(t, asked, scene, samples, at)]
    if not ready:
        return leader
    best = min(ready, key=lambda t: (_cost(t, scene), t.name))
    if leader and scene.primary and _cost(scene.primary, scene) < _cost(best, scene):
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


def _cost(target: Target, scene: Scene) -> float:
    cost = RUNNING_COST_S * scene.running.get(target.name, 0)
    if target.zone != scene.zone:
        cost += REMOTE_COST_S
    if scene.primary and target.name == scene.primary.name:
        cost += PRIMARY_COST_S
    return cost

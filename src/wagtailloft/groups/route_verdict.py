"""What the dispatcher decides about a statement, for explanations."""

from collections.abc import Callable

from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import TargetLoad
from wagtailloft.fleet.records import Target
from wagtailloft.groups.target_choice import Deferral, EarlyRefusal, Placement, TargetChoice
from wagtailloft.models import Record
from wagtailloft.sessions.statements import StatementResult, not_executed

PlaceWithout = Callable[[tuple[str, ...]], Placement | None]


class MemberVerdict(Record):
    """A listed member, the host that would send to it, and this host's statements there.

    choice is set if the statement or one of its retries would go there, as the rank-th attempt.
    load is the last one that the target's owner reported, and why the dispatcher's own reason
    against the member, if it has one.
    """

    target: Target
    host: str
    in_flight: int
    choice: TargetChoice | None = None
    rank: int = 0
    load: TargetLoad | None = None
    why: str = ""


class RouteVerdict(Record):
    """The choice for a statement, None if it would wait for a primary, and that on each member.

    refusal is set if the dispatcher would refuse the statement without sending it.
    """

    choice: TargetChoice | None
    members: tuple[MemberVerdict, ...]
    refusal: StatementResult | None = None


def rank_placements(place_without: PlaceWithout) -> tuple[Placement, ...]:
    """Return the placements of a statement and of its retries, each time a replica fails it.

    place_without returns the placement without some members. A primary ends the order, since
    retries stay there; so does a member that is chosen again, and what is no choice of a member.
    """
    placements: list[Placement] = []
    failed: tuple[str, ...] = ()
    while (placement := place_without(failed)) is not None:
        if not isinstance(placement, TargetChoice):
            return (*placements, placement)
        if placement.target in failed:
            break
        placements.append(placement)
        if placement.is_primary:
            break
        failed = (*failed, placement.target)
    return tuple(placements)


def refusal_of(placements: tuple[Placement, ...]) -> StatementResult | None:
    """Return the refusal if the first placement is no member, None if it is one."""
    first = placements[0] if placements else None
    if isinstance(first, EarlyRefusal):
        return not_executed(Kind.DEADLINE, f"retry in {max(1.0, first.retry_in * 1000):.0f} ms")
    if isinstance(first, Deferral):
        return not_executed(Kind.TARGET_BEHIND, "waits for a replica that lags")
    return None

"""Choose the replica to promote: pure, from what the members say of their logs."""

from wagtailloft.fleet.records import Lead, Target
from wagtailloft.groups.ports import Standing
from wagtailloft.models import Position, Role


def leads_anew(standing: Standing, lead: Lead) -> bool:
    """Tell whether a member leads a later term than the primary that is being replaced."""
    if standing.role is not Role.PRIMARY or standing.target == lead.replaced:
        return False
    return standing.term > lead.term


def holds_all(replies: int, others: int, sync_replicas: int) -> bool:
    """Tell whether so many replicas' logs are sure to hold every acknowledged commit.

    A commit that waited for sync_replicas of the others is missing in the rest, so that one more
    than these have to reply.
    """
    return replies >= max(1, others - sync_replicas + 1)


def longest(
    standings: list[Standing], targets: tuple[Target, ...], acknowledged: Position | None
) -> Standing | None:
    """Return the replica to prefer: level, staying, with the longest log."""
    listed = {t.name: t for t in targets}

    def rank(standing: Standing) -> tuple[bool, bool, Position, str]:
        target = listed.get(standing.target)
        level = acknowledged is None or standing.received >= acknowledged
        staying = target is not None and not target.leaving
        return level, staying, standing.received, standing.target

    replicas = [s for s in standings if s.role is Role.REPLICA]
    return max(replicas, key=rank, default=None)

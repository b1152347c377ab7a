"""Choose the replica to promote: pure, from what the members say of their logs."""

from wagtailloft.fleet.records import PrimaryAssignment, Target
from wagtailloft.groups.ports import TargetStatus
from wagtailloft.models import Position, Role


def is_newer_primary(status: TargetStatus, assignment: PrimaryAssignment) -> bool:
    """Tell whether a member leads a later term than the primary that is being replaced."""
    if status.role is not Role.PRIMARY or status.target == assignment.replaced:
        return False
    return status.term > assignment.term


def covers_all_commits(replies: int, others: int, sync_replicas: int) -> bool:
    """Tell whether so many replicas' logs are sure to hold every acknowledged commit.

    A commit that waited for sync_replicas of the others is missing in the rest, so that one more
    than these have to reply.
    """
    return replies >= max(1, others - sync_replicas + 1)


def best_candidate(
    statuses: list[TargetStatus], targets: tuple[Target, ...], acknowledged: Position | None
) -> TargetStatus | None:
    """Return the replica to prefer: level, staying, with the longest log."""
    listed = {t.name: t for t in targets}

    def rank(status: TargetStatus) -> tuple[bool, bool, Position, str]:
        target = listed.get(status.target)
        level = acknowledged is None or status.received >= acknowledged
        staying = target is not None and not target.leaving
        return level, staying, status.received, status.target

    replicas = [s for s in statuses if s.role is Role.REPLICA]
    return max(replicas, key=rank, default=None)

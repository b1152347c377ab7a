"""Choose the member to promote from the log positions that members report; pure functions."""

from wagtailloft.fleet.records import PrimaryAssignment, Target
from wagtailloft.groups.ports import TargetStatus
from wagtailloft.models import Position, Role


def is_newer_primary(status: TargetStatus, assignment: PrimaryAssignment) -> bool:
    """Tell whether a member is primary in a later term than the primary that is being replaced."""
    if status.role is not Role.PRIMARY or status.target == assignment.replaced:
        return False
    return status.term > assignment.term


def another_was_ordered(claim: PrimaryAssignment) -> bool:
    """Tell whether a member other than the replaced one was ordered since that one was settled."""
    return any(name != claim.replaced for name in claim.ordered)


def may_lead_unseen(claim: PrimaryAssignment) -> bool:
    """Tell whether a member other than the replaced one may have been promoted unseen."""
    return claim.may_lack_orders or another_was_ordered(claim)


def has_taken_over(status: TargetStatus, claim: PrimaryAssignment) -> bool:
    """Tell whether a member leads in place of the primary that is being replaced.

    Of several that were ordered, only the latest does: one that leads by an earlier order may have
    been replaced since. If only one was, whoever leads does so by its order: a member that crashed
    comes back under another name.
    """
    others = {name for name in claim.ordered if name != claim.replaced}
    if not others or (others == {claim.ordered[-1]} and not claim.may_lack_orders):
        return is_newer_primary(status, claim)
    is_latest = status.target == claim.ordered[-1]
    return is_latest and status.role is Role.PRIMARY and status.term > claim.term


def still_leads(status: TargetStatus, claim: PrimaryAssignment) -> bool:
    """Tell whether the replaced primary is primary and nobody can have been promoted since."""
    is_primary = status.role is Role.PRIMARY and status.target == claim.replaced
    return is_primary and not may_lead_unseen(claim)


def may_be_ordered(status: TargetStatus, claim: PrimaryAssignment) -> bool:
    """Tell whether a member is a replica, or leads by an order that may not be the latest."""
    if status.role is Role.REPLICA or status.target == claim.replaced:
        return True
    return status.target in claim.ordered or status.term > claim.term


def covers_all_commits(replies: int, other_members: int, sync_replicas: int) -> bool:
    """Tell whether every acknowledged commit is in the log of at least one replica that replied.

    replies counts the replicas that replied, and other_members the group's members without its
    primary. A commit is acknowledged once sync_replicas of these have it, so at most
    other_members - sync_replicas lack it, and one more than that has to reply.
    """
    return replies >= max(1, other_members - sync_replicas + 1)


def have_all_commits(
    statuses: list[TargetStatus], claim: PrimaryAssignment, other_members: int, sync_replicas: int
) -> bool:
    """Tell whether every acknowledged commit is in the log of at least one member that replied.

    The replaced primary has them all, unless it has become a replica of a member that took over
    unseen: then it is one of the members that had each commit.
    """
    replies = sum(s.role is Role.REPLICA for s in statuses)
    roles = [s.role for s in statuses if s.target == claim.replaced]
    if Role.REPLICA in roles:
        return covers_all_commits(replies, other_members + 1, sync_replicas + 1)
    return Role.PRIMARY in roles or covers_all_commits(replies, other_members, sync_replicas)


def best_candidate(
    statuses: list[TargetStatus],
    targets: tuple[Target, ...],
    last_acknowledged: Position | None,
    *,
    longest_log: bool,
    evacuated: frozenset[str] = frozenset(),
) -> TargetStatus | None:
    """Return the best member to promote, or None if there is none.

    Members that have the last acknowledged position come first, then those that are not leaving,
    then those with the longest log. With longest_log, only the log counts: that position is a lower
    bound, since a host that is lost does not report its own. Members in evacuated zones come last,
    with longest_log of those with the same log.
    """
    targets_by_name = {t.name: t for t in targets}

    def rank(status: TargetStatus) -> tuple[bool, bool, bool, Position, bool, str]:
        target = targets_by_name.get(status.target)
        caught_up = last_acknowledged is None or status.received >= last_acknowledged
        staying = longest_log or (target is not None and not target.leaving)
        remains = status.target not in evacuated
        first = longest_log or remains
        return first, caught_up, staying, status.received, remains, status.target

    return max(statuses, key=rank, default=None)

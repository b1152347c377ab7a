"""Choose the member to promote, order its promotion and demote the old primary."""

import asyncio

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.records import PrimaryAssignment, Target, Topic
from wagtailloft.groups.candidates import best_candidate, covers_all_commits, is_newer_primary
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.ports import Link, PromotionApi, TargetStatus
from wagtailloft.groups.promotion_lease import PromotionLease
from wagtailloft.groups.target_queries import QUERY_TIMEOUT_S, TargetQueries, wait_until_primary
from wagtailloft.models import Position, Role

CATCH_UP_LIMIT_S = 1.0  # longest wait for a replica in a planned or synchronous failover
POLL_INTERVAL_S = 0.04  # between checks for a candidate and for the new primary
PROMOTION_TIMEOUT_S = 4.0  # the slowest promotion in any deployment takes 1 s
# With pauses from POLL_INTERVAL_S to 0.5 s, reaches an old primary that returns within 10 s.
DEMOTE_ATTEMPTS = 20


class MemberPromotion:
    """Promote a member of a group whose old primary has been fenced."""

    def __init__(
        self,
        *,
        directory: GroupDirectory,
        queries: TargetQueries,
        promotion_api: PromotionApi,
        lease: PromotionLease,
    ) -> None:
        self._directory = directory
        self._queries = queries
        self._promotion_api = promotion_api
        self._lease = lease

    async def wait_for_candidate(
        self, assignment: PrimaryAssignment, last_acknowledged: Position | None, planned: bool
    ) -> TargetStatus | None:
        """Return the member to promote, or None if no member is eligible.

        Wait for one that is caught up in a planned failover or a group with synchronous replicas.
        After CATCH_UP_LIMIT_S, return the best replica as it is or, with synchronous replicas or
        without an eligible replica, the old primary if it still is primary. A member that is
        already primary in a newer term is returned as it is.
        """
        sync = self._directory.rule(assignment.group).sync_replicas
        deadline = now() + CATCH_UP_LIMIT_S
        while True:
            targets = self._directory.other_targets(assignment.group, assignment.replaced)
            statuses = await self._query_statuses(
                assignment, targets, pause=sync > 0 and not planned
            )
            newer_primaries = [s for s in statuses if is_newer_primary(s, assignment)]
            if newer_primaries:
                return max(newer_primaries, key=lambda s: s.term)
            candidate = best_candidate(statuses, targets, last_acknowledged, longest_log=sync > 0)
            caught_up = candidate and (
                last_acknowledged is None or candidate.received >= last_acknowledged
            )
            if sync:
                # The position that hosts report is a lower bound: a killed host lost its own.
                replies = sum(s.role is Role.REPLICA for s in statuses)
                lost = self._directory.lately_unlisted(assignment.group)
                others = len(targets) + sum(n != assignment.replaced for n in lost)
                caught_up = caught_up and covers_all_commits(replies, others, sync)
            if candidate and (caught_up or not (sync or planned)):
                return candidate
            if now() > deadline:
                return (
                    candidate
                    if candidate and not sync
                    else await self._fallback_to_old_primary(assignment)
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _fallback_to_old_primary(self, assignment: PrimaryAssignment) -> TargetStatus | None:
        """Return the replaced primary if it still is primary; used if no replica is eligible."""
        target = self._directory.target(assignment.group, assignment.replaced)
        if target is None:
            return None
        status = await self._queries.query(target, lambda link: link.status(QUERY_TIMEOUT_S))
        return status if status and status.role is Role.PRIMARY else None

    async def _query_statuses(
        self, assignment: PrimaryAssignment, targets: tuple[Target, ...], *, pause: bool
    ) -> list[TargetStatus]:
        async def query_status(link: Link) -> TargetStatus | None:
            status = await link.status(QUERY_TIMEOUT_S)
            if status is None:
                return None
            if pause and status.role is Role.REPLICA:
                return await link.pause(status.term + 1, QUERY_TIMEOUT_S) or status
            if status.role is Role.PRIMARY and status.term < assignment.term:
                return await link.demote(assignment.term, QUERY_TIMEOUT_S) or status
            return status

        statuses = await asyncio.gather(*(self._queries.query(t, query_status) for t in targets))
        return [s for s in statuses if s]

    async def promote_and_wait(
        self, assignment: PrimaryAssignment, candidate: TargetStatus
    ) -> TargetStatus | None:
        """Order the promotion; return the status once the member is primary, None if it is not."""
        if candidate.role is Role.PRIMARY:
            return candidate
        target = self._directory.target(assignment.group, candidate.target)
        if target is None:
            return None
        deadline = now() + PROMOTION_TIMEOUT_S
        accepted: bool | None = None
        while now() < deadline:
            if not accepted:
                if not await self._may_order(assignment):
                    return None
                accepted = await self._promotion_api.promote(
                    group=assignment.group,
                    target=candidate.target,
                    holder=self._lease.host_name,
                    fencing_token=self._lease.fencing_token,
                )
                logs.event(
                    "promotion_ordered",
                    group=assignment.group,
                    target=candidate.target,
                    accepted=accepted,
                    epoch=assignment.epoch,
                    fence=self._lease.fencing_token,
                )
                if accepted is False:
                    return None
            status = await self._queries.query(
                target, lambda link: wait_until_primary(link, deadline)
            )
            if status and status.role is Role.PRIMARY:
                return status
            await asyncio.sleep(POLL_INTERVAL_S)
        logs.warn(
            "promotion_unfinished",
            group=assignment.group,
            target=candidate.target,
            accepted=accepted,
            epoch=assignment.epoch,
        )
        return None

    async def _may_order(self, assignment: PrimaryAssignment) -> bool:
        """Tell whether this process holds the lease, and its claim is still in force everywhere.

        While it did not hold the lease, another may have taken it and replaced the claim. A store
        that came back from an older copy may have lost the claim, and hosts that did not hear of it
        go on with the earlier assignment in the new era.
        """
        cache = self._directory.cache
        if not self._lease.is_held():
            if not await self._lease.acquire():
                return False
            await cache.read_now(Topic.FLEET)
        if assignment.era != cache.era.era:
            logs.warn("claim_outdated", group=assignment.group, era=assignment.era)
            return False
        return self._lease.is_held() and cache.assignment(assignment.group) == assignment

    async def demote_old_primary(self, group: str, name: str, term: int) -> None:
        """Turn the old primary into a replica as soon as it can be reached."""
        pause = POLL_INTERVAL_S
        for _ in range(DEMOTE_ATTEMPTS):
            target = self._directory.target(group, name)
            if target is None:
                return
            status = await self._queries.query(
                target, lambda link: link.demote(term, QUERY_TIMEOUT_S)
            )
            if status and status.role is Role.REPLICA:
                logs.event("demoted", group=group, target=name, term=term)
                return
            await asyncio.sleep(pause)
            pause = min(0.5, pause * 2)

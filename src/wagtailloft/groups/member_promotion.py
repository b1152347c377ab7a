"""Choose the member to promote, order its promotion and demote the old primary."""

import asyncio
from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.records import PrimaryAssignment, Target, Topic
from wagtailloft.groups.candidates import (
    another_was_ordered,
    best_candidate,
    has_taken_over,
    have_all_commits,
    may_be_ordered,
    may_lead_unseen,
    still_leads,
)
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.ports import Link, PromotionApi, TargetStatus
from wagtailloft.groups.promotion_lease import PromotionLease
from wagtailloft.groups.promotion_orders import ORDER_EFFECT_S, PromotionOrders
from wagtailloft.groups.target_queries import QUERY_TIMEOUT_S, TargetQueries, wait_for_status
from wagtailloft.models import Position, Record, Role

CATCH_UP_LIMIT_S = 1.0  # longest wait for a replica in a planned or synchronous failover
POLL_INTERVAL_S = 0.04  # between checks for a candidate and for the new primary
PROMOTION_TIMEOUT_S = 4.0  # of a run; the next one asks all members again
ORDER_RETRY_S = 1.0  # an order that was lost is repeated; one that was not changes nothing
# With pauses from POLL_INTERVAL_S to 0.5 s, reaches an old primary that returns within 10 s.
DEMOTE_ATTEMPTS = 20


class Promotion(Record):
    """A member that leads, and the claim under which it was promoted."""

    claim: PrimaryAssignment
    status: TargetStatus


class MemberPromotion:
    """Promote a member of a group whose old primary has been fenced."""

    def __init__(
        self,
        *,
        directory: GroupDirectory,
        queries: TargetQueries,
        promotion_api: PromotionApi,
        lease: PromotionLease,
        is_evacuated: Callable[[str], bool] = lambda zone: False,
    ) -> None:
        self._is_evacuated = is_evacuated
        self._directory = directory
        self._queries = queries
        self._lease = lease
        self.orders = PromotionOrders(directory=directory, lease=lease, promotion_api=promotion_api)

    async def wait_for_candidate(
        self, claim: PrimaryAssignment, last_acknowledged: Position | None, planned: bool
    ) -> TargetStatus | None:
        """Return the member to promote, or None if no member is eligible.

        While an order may still take effect, only its member is eligible. Wait for one that is
        caught up in a planned failover or a group with synchronous replicas. After
        CATCH_UP_LIMIT_S, return the best replica as it is or, with synchronous replicas or without
        an eligible replica, the old primary if it still is primary. The same holds for one that is
        replaced as planned because its zone is evacuated: it keeps running, so no commit needs to
        be lost. A member that has already taken over is returned as it is.
        """
        sync = self._directory.rule(claim.group).sync_replicas
        deadline = now() + CATCH_UP_LIMIT_S
        while True:
            pending = claim.ordered[-1] if self.orders.is_pending(claim) else ""
            if pending and self._directory.cache.assignment(claim.group) != claim:
                return None
            targets = self._directory.other_targets(claim.group, claim.replaced)
            statuses = await self._query_statuses(claim, targets, pause=sync > 0 and not planned)
            if pending == claim.replaced or (may_lead_unseen(claim) and not planned):
                statuses.extend(await self._query_replaced(claim))
            eligible = [s for s in statuses if not pending or s.target == pending]
            by_order = statuses if another_was_ordered(claim) else eligible
            leading = [s for s in by_order if has_taken_over(s, claim)]
            leading += [s for s in eligible if still_leads(s, claim)]
            if leading:
                return max(leading, key=lambda s: s.term)
            evacuated = frozenset(t.name for t in targets if self._is_evacuated(t.zone))
            candidate = best_candidate(
                [s for s in (statuses if sync else eligible) if may_be_ordered(s, claim)],
                targets,
                last_acknowledged,
                longest_log=sync > 0,
                evacuated=evacuated,
            )
            if candidate not in eligible:
                candidate = None  # with synchronous replicas, only the longest log will do
            if candidate and candidate.target in evacuated:
                candidate = None
            caught_up = candidate and (
                last_acknowledged is None or candidate.received >= last_acknowledged
            )
            if sync:
                # The position that hosts report is a lower bound: a killed host lost its own.
                lost = self._directory.lately_unlisted(claim.group)
                others = len(targets) + sum(n != claim.replaced for n in lost)
                caught_up = caught_up and have_all_commits(statuses, claim, others, sync)
            if candidate and (caught_up or not (sync or planned)):
                return candidate
            if now() > deadline and not pending:
                if candidate and not sync and not (planned and self._keeps_running(claim)):
                    return candidate
                return await self._fall_back(claim, last_acknowledged, sync)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _keeps_running(self, claim: PrimaryAssignment) -> bool:
        """Tell whether the replaced primary is only replaced because its zone is evacuated."""
        replaced = self._directory.target(claim.group, claim.replaced)
        if replaced is None or replaced.leaving:
            return False
        return self._is_evacuated(replaced.zone)

    async def _fall_back(
        self, claim: PrimaryAssignment, last_acknowledged: Position | None, sync: int
    ) -> TargetStatus | None:
        """Return the replaced primary if it may lead again; used if no replica is eligible.

        It may have become a replica of a member that took over unseen. With synchronous replicas,
        it is not known to have every acknowledged commit then.
        """
        for status in await self._query_replaced(claim):
            has_all = last_acknowledged is None or status.received >= last_acknowledged
            if status.role is Role.PRIMARY and (has_all or not sync):
                return status
            if may_lead_unseen(claim) and not sync:
                return status
        return None

    async def _query_replaced(self, claim: PrimaryAssignment) -> list[TargetStatus]:
        target = self._directory.target(claim.group, claim.replaced)
        if target is None:
            return []
        status = await self._queries.query(target, lambda link: link.status(QUERY_TIMEOUT_S))
        return [status] if status else []

    async def _query_statuses(
        self, claim: PrimaryAssignment, targets: tuple[Target, ...], *, pause: bool
    ) -> list[TargetStatus]:
        async def query_status(link: Link) -> TargetStatus | None:
            status = await link.status(QUERY_TIMEOUT_S)
            if status is None:
                return None
            if pause and status.role is Role.REPLICA:
                return await link.pause(status.term + 1, QUERY_TIMEOUT_S) or status
            if status.role is Role.PRIMARY and status.term < claim.term:
                return await link.demote(claim.term, QUERY_TIMEOUT_S) or status
            return status

        statuses = await asyncio.gather(*(self._queries.query(t, query_status) for t in targets))
        return [s for s in statuses if s]

    async def promote_and_wait(
        self, claim: PrimaryAssignment, candidate: TargetStatus
    ) -> Promotion | None:
        """Order the promotion unless the member leads; return None if it does not lead then."""
        if has_taken_over(candidate, claim) or still_leads(candidate, claim):
            return Promotion(claim=claim, status=candidate)
        target = self._directory.target(claim.group, candidate.target)
        if target is None:
            return None
        deadline = now() + PROMOTION_TIMEOUT_S
        while now() < deadline:
            ready = await self._prepare_order(claim, candidate, target)
            if ready is None:
                return None
            claim = ready
            accepted = await self.orders.send(claim)
            if accepted is False:
                return None
            status = await self._wait_for_effect(claim, target, accepted=bool(accepted))
            if status and has_taken_over(status, claim):
                return Promotion(claim=claim, status=status)
            if status is None:
                break
            if accepted and status.role is Role.PRIMARY:
                # The platform changed nothing: the member is the primary that it knows.
                return Promotion(claim=claim, status=status)
        logs.warn(
            "promotion_unfinished",
            group=claim.group,
            target=candidate.target,
            accepted=accepted,
            epoch=claim.epoch,
        )
        return None

    async def _prepare_order(
        self, claim: PrimaryAssignment, candidate: TargetStatus, target: Target
    ) -> PrimaryAssignment | None:
        """Store a record of the order; return None unless this process may send the order now.

        The zone may have been evacuated while this process waited for its lease or the store.
        """
        while not self._is_withheld(claim, target) and await self._may_order(claim):
            if self._is_withheld(claim, target):
                return None
            if self.orders.is_recorded(claim, candidate.target):
                return claim
            recorded = await self.orders.record(claim, candidate)
            if recorded is None:
                return None
            claim = recorded
        return None

    def _is_withheld(self, claim: PrimaryAssignment, target: Target) -> bool:
        """Tell whether a member must not be ordered to lead, as its zone is evacuated."""
        if not self._is_evacuated(target.zone):
            return False
        logs.warn("promotion_withheld", group=claim.group, target=target.name, zone=target.zone)
        return True

    async def _wait_for_effect(
        self, claim: PrimaryAssignment, target: Target, *, accepted: bool
    ) -> TargetStatus | None:
        """Return the member's status once it leads, or when the order should have taken effect.

        That of an accepted order is then asked for after the order can still take effect.
        """
        until = now() + (ORDER_EFFECT_S if accepted else ORDER_RETRY_S)
        while True:
            is_last = now() >= until
            status = await self._queries.query(
                target,
                lambda link: wait_for_status(link, lambda s: has_taken_over(s, claim), until),
            )
            if is_last or (status and has_taken_over(status, claim)):
                return status
            await asyncio.sleep(POLL_INTERVAL_S)

    def settle(self, promotion: Promotion) -> PrimaryAssignment:
        """Return the assignment that makes the promoted member the group's primary."""
        claim, status = promotion.claim, promotion.status
        return PrimaryAssignment(
            group=claim.group,
            epoch=claim.epoch,
            settled=True,
            primary=status.target,
            term=status.term,
            replaced=claim.replaced,
            era=claim.era,
            ordered=self.orders.remaining(claim, status.term),
            order_epoch=claim.order_epoch,
        )

    async def _may_order(self, claim: PrimaryAssignment) -> bool:
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
        if claim.era != cache.era.era:
            logs.warn("claim_outdated", group=claim.group, era=claim.era)
            return False
        return self._lease.is_held() and cache.assignment(claim.group) == claim

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

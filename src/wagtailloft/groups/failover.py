"""Fail over a group: fence the old primary, then promote the best replica."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import Kind, NoResponse, NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, PeerConnection, ignore_failure
from wagtailloft.fleet.messages import Ack, Message, PrimaryAnnouncement, SuspectReport
from wagtailloft.fleet.ports import Conflict, Store, StoreDown
from wagtailloft.fleet.records import (
    Entry,
    HostRecord,
    PrimaryAssignment,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.claims import is_claim_abandoned
from wagtailloft.groups.counted_hosts import CountedHosts
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.fencing import PEER_CALL_TIMEOUT_S, FenceService
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.member_promotion import MemberPromotion
from wagtailloft.groups.ports import LinkFactory, PromotionApi
from wagtailloft.groups.promotion_lease import PromotionLease
from wagtailloft.groups.record_repair import ASSIGNMENT_PREFIX, RecordRepair
from wagtailloft.groups.target_queries import QUERY_TIMEOUT_S, TargetQueries
from wagtailloft.models import HostState, Role
from wagtailloft.revisions import FIRST_ERA

COORDINATOR_KEY = "promoter"  # hashed with the host names; must be the same on all hosts
CHECK_INTERVAL_S = 0.2  # checks read the cached member entries, which show a change at once
REPORT_INTERVAL_S = 0.3  # least time between two reports of a suspicion in one group
# Longer than a restart or a usual network cut; a removed host that is alive registers itself again.
HOST_REMOVAL_S = 6.0
ROLE_REPORT_S = 2.2  # until the store lists a demoted member as replica
PRIMARY_MISSING_S = 2.2  # entries that expired during a store outage are back within 2 s


class FailoverCoordinator:
    """Run on every host: report suspected primaries and, on the coordinator, fail them over.

    The coordinator also replaces primaries that are leaving or missing, or whose zone is evacuated.
    A host that is no longer the coordinator completes the failovers that it has started.
    """

    def __init__(
        self,
        *,
        hosts: Hosts,
        mesh: Mesh,
        cache: StoreCache,
        directory: GroupDirectory,
        local_executor: LocalExecutor,
        store: Store,
        link_factory: LinkFactory,
        promotion_api: PromotionApi,
        lease: PromotionLease,
        count_failover: Callable[[str, str], None],
        is_evacuated: Callable[[str], bool] = lambda zone: False,
    ) -> None:
        self._hosts = hosts
        self._cache = cache
        self._directory = directory
        self._store = store
        self._queries = TargetQueries(link_factory=link_factory)
        self._fence_service = FenceService(
            hosts=hosts, mesh=mesh, cache=cache, local_executor=local_executor
        )
        self._lease = lease
        self._repair = RecordRepair(cache=cache)
        self._counted_hosts = CountedHosts(hosts=hosts, cache=cache)
        self._is_evacuated = is_evacuated
        self._promotion = MemberPromotion(
            directory=directory,
            queries=self._queries,
            promotion_api=promotion_api,
            lease=lease,
            is_evacuated=is_evacuated,
        )
        self._count_failover = count_failover
        self._failovers: dict[str, asyncio.Task] = {}
        self._demotions: set[tuple[str, str]] = set()  # group and member
        self._reported_at: dict[str, float] = {}
        self._primary_missing_since: dict[str, float] = {}
        self._claim_seen_at: dict[str, tuple[int, float]] = {}  # epoch and time, by group
        self._rng = random.Random()
        mesh.register_handler(SuspectReport, self._handle_suspect_report)
        cache.on_change(Topic.FLEET, lease.observe)
        cache.on_change(Topic.FLEET, self._promotion.orders.observe)
        local_executor.on_unresponsive = self.report

    def report(self, group: str, target: str, reason: str) -> None:
        """Report to the coordinator that a primary does not answer this host."""
        primary = self._directory.primary(group)
        if primary is None or primary.name != target:
            return
        reported_at = now()
        if reported_at - self._reported_at.get(group, 0.0) < REPORT_INTERVAL_S:
            return
        self._reported_at[group] = reported_at
        logs.warn("primary_suspected", group=group, target=target, why=reason)
        _spawn(self._send_report(SuspectReport(group=group, target=target, why=reason)))

    async def watch(self) -> None:
        """Fail over groups whose primary is leaving or missing, and resume unfinished failovers."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            is_coordinator = self._is_coordinator()
            if is_coordinator and self._cache.age() <= self._cache.max_age:
                await self._repair.run_once()
            if not self._cache.is_fresh():
                continue
            if not is_coordinator:
                # The time counts from when this host could have acted on it.
                self._primary_missing_since.clear()
                self._repair.stop()
            for group in self._directory.groups():
                if is_coordinator or self._has_unfinished_failover(group):
                    self._check_group(group)
            if is_coordinator:
                await self._counted_hosts.update()
                await self._unregister_lost_host()

    def _is_coordinator(self) -> bool:
        ranked = self._hosts.rank_owners(COORDINATOR_KEY)
        return bool(ranked) and ranked[0].name == self._hosts.own.name

    def _has_unfinished_failover(self, group: str) -> bool:
        """Tell whether this process has started a failover of the group and not completed it."""
        assignment = self._cache.assignment(group)
        return (
            assignment is not None
            and not assignment.settled
            and assignment.claimant == self._hosts.own.process_name
        )

    def _check_group(self, group: str) -> None:
        assignment = self._cache.assignment(group)
        if assignment and not assignment.settled:
            if self._is_claim_abandoned(assignment):
                self._start_failover(
                    group, assignment.replaced, "failover was left unfinished", planned=False
                )
            return
        primary = self._directory.primary(group)
        if primary is None:
            missing_since = self._primary_missing_since.setdefault(group, now())
            if now() - missing_since > PRIMARY_MISSING_S and self._directory.targets(group):
                old_primary = assignment.primary if assignment else ""
                self._start_failover(
                    group, old_primary, "the group lists no primary", planned=False
                )
            return
        self._primary_missing_since.pop(group, None)
        if assignment:
            self._demote_others(group, primary.name, assignment.term)
        if self._is_replaceable(group):
            reason = "is leaving" if primary.leaving else "is in an evacuated zone"
            self._start_failover(group, primary.name, f"the primary {reason}", planned=True)

    def _is_replaceable(self, group: str) -> bool:
        """Tell whether a planned replacement of a group's primary may begin.

        The primary is leaving or its zone is evacuated, and another member stays.
        """
        assignment = self._cache.assignment(group)
        if assignment and self._promotion.orders.is_pending(assignment):
            return False  # it would wait with the primary fenced
        primary = self._directory.primary(group)
        if primary is None or not (primary.leaving or self._is_evacuated(primary.zone)):
            return False
        others = self._directory.other_targets(group, primary.name)
        return any(not t.leaving and not self._is_evacuated(t.zone) for t in others)

    async def _unregister_lost_host(self) -> None:
        """Unregister one host that has long been unreachable, if most hosts are live.

        It may be alive and reach callers and targets. Its registration is withdrawn first, which
        it learns of wherever it learns of assignments, and deleted once it can't use an assignment
        that it knew before.
        """
        if 2 * len(self._hosts.live()) <= len(self._hosts.all()):
            return
        for host in self._hosts.suspected_for(HOST_REMOVAL_S):
            entry = self._cache.get(Topic.FLEET, host_record_name(host.name))
            if entry is None or not isinstance(entry.value, HostRecord):
                self._hosts.remove(host.name)
                return
            if not entry.value.withdrawn:
                await self._withdraw_registration(entry)
                return
            is_forgotten = self._hosts.withdrawn_for(host.name) > self._cache.assignment_use_limit
            if is_forgotten and host.name not in self._counted_hosts:
                await self._delete_registration(entry)
                return

    async def _withdraw_registration(self, entry: Entry) -> None:
        host = entry.value.host
        try:
            record = HostRecord(host=host, withdrawn=True)
            if await self._cache.write(Topic.FLEET, entry.name, record) is not None:
                logs.warn("host_withdrawn", host=host.name)
        except StoreDown as exc:
            logs.event("unlisting_failed", host=host.name, why=str(exc))

    async def _delete_registration(self, entry: Entry) -> None:
        host = entry.value.host
        try:
            await self._store.remove(Topic.FLEET, entry.name, entry.revision)
            logs.warn("host_unlisted", host=host.name)
        except (Conflict, StoreDown) as exc:
            logs.event("unlisting_failed", host=host.name, why=str(exc))

    def _is_claim_abandoned(self, assignment: PrimaryAssignment) -> bool:
        """Tell whether no process is working on an unsettled assignment any more."""
        epoch, seen_at = self._claim_seen_at.get(assignment.group, (-1, 0.0))
        if epoch != assignment.epoch:
            seen_at = now()
            self._claim_seen_at[assignment.group] = (assignment.epoch, seen_at)
        return is_claim_abandoned(
            self._hosts,
            assignment.claimant,
            running_here=assignment.group in self._failovers,
            claim_age=now() - seen_at,
        )

    async def _send_report(self, message: SuspectReport) -> None:
        for host in self._hosts.rank_owners(COORDINATOR_KEY)[:2]:
            if host.name == self._hosts.own.name:
                self._handle_suspicion(message)
                return
            try:
                await self._hosts.call(host.name, message, PEER_CALL_TIMEOUT_S)
                return
            except (NotSent, NoResponse) as exc:
                logs.event("report_failed", host=host.name, why=str(exc))

    async def _handle_suspect_report(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, SuspectReport)
        self._handle_suspicion(message)
        return Ack()

    def _handle_suspicion(self, message: SuspectReport) -> None:
        assignment = self._cache.assignment(message.group)
        if assignment and not assignment.settled:
            if message.abandoned_by and assignment.claimant == message.abandoned_by:
                self._start_failover(
                    message.group,
                    assignment.replaced,
                    "taken over from another host",
                    planned=False,
                    delegation=message,
                )
            return
        primary = self._directory.primary(message.group)
        if primary and primary.name == message.target:
            self._start_failover(
                message.group,
                message.target,
                message.why,
                planned=False,
                delegation=message,
                verify_first=True,
            )

    def _start_failover(
        self,
        group: str,
        replaced: str,
        reason: str,
        *,
        planned: bool,
        delegation: SuspectReport | None = None,
        verify_first: bool = False,
    ) -> None:
        if group in self._failovers:
            return
        delegation = delegation or SuspectReport(group=group, target=replaced, why=reason)
        task = _spawn(
            self._failover_task(group, replaced, reason, planned, delegation, verify_first)
        )
        self._failovers[group] = task
        task.add_done_callback(lambda _: self._failovers.pop(group, None))

    async def _failover_task(
        self,
        group: str,
        replaced: str,
        reason: str,
        planned: bool,
        delegation: SuspectReport,
        verify_first: bool,
    ) -> None:
        try:
            if verify_first and await self._is_still_primary(group, replaced):
                logs.event("primary_answers", group=group, target=replaced, reported=reason)
                # The coordinator may have handed it over without a store to record a claim in.
                if not self._is_replaceable(group):
                    return
                planned = True
            await self._run_failover(group, replaced, reason, planned)
        except StoreDown as exc:
            logs.warn("promotion_stopped", group=group, why=str(exc), tried=len(delegation.tried))
            await self._delegate_failover(
                msgspec.structs.replace(
                    delegation,
                    target=replaced,
                    abandoned_by=self._abandoned_claimant(group, delegation.abandoned_by),
                    tried=(*delegation.tried, self._hosts.own.name),
                )
            )
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.uniform(1.0, 2.0))

    def _abandoned_claimant(self, group: str, taken_over_from: str) -> str:
        """Return the process whose claim stays behind when this host can't go on."""
        own = self._hosts.own.process_name
        assignment = self._cache.assignment(group)
        if assignment and not assignment.settled and assignment.claimant == taken_over_from:
            return taken_over_from
        return own

    async def _delegate_failover(self, message: SuspectReport) -> None:
        """Ask the first host that has not tried yet to take over.

        It may reach the store that this host can't.
        """
        for host in self._hosts.rank_owners(COORDINATOR_KEY):
            if host.name in message.tried:
                continue
            try:
                await self._hosts.call(host.name, message, PEER_CALL_TIMEOUT_S)
                return
            except (NotSent, NoResponse) as exc:
                logs.event("delegation_failed", host=host.name, why=str(exc))

    async def _is_still_primary(self, group: str, name: str) -> bool:
        target = self._directory.target(group, name)
        if target is None:
            return False
        try:
            status = await self._queries.query_or_raise(
                target, lambda link: link.status(QUERY_TIMEOUT_S)
            )
        except NotSent as exc:
            return exc.kind is Kind.TOO_MANY_LINKS
        except NoResponse:
            return False
        return status is not None and status.role is Role.PRIMARY

    async def _run_failover(self, group: str, replaced: str, reason: str, planned: bool) -> None:
        started = now()
        previous = self._cache.assignment(group)
        if not await self._lease.acquire():
            return
        if self._cache.assignment(group) != previous:
            # Acquiring the lease may take seconds, in which another host may have failed over.
            logs.event("promotion_skipped", group=group, replaced=replaced, why=reason)
            return
        assignment = await self._record_failover(group, replaced)
        if assignment is None:
            return
        self._count_failover(group, "planned" if planned else "failed")
        logs.warn(
            "promotion_began", group=group, replaced=replaced, why=reason, epoch=assignment.epoch
        )
        last_acknowledged = await self._fence_service.fence(assignment, planned)
        fenced_at = now()
        candidate = await self._promotion.wait_for_candidate(assignment, last_acknowledged, planned)
        if candidate is None:
            logs.warn("promotion_failed", group=group, why="no replica is eligible")
            await asyncio.sleep(CHECK_INTERVAL_S)
            return
        promotion = await self._promotion.promote_and_wait(assignment, candidate)
        if promotion is None:
            return
        settled = self._promotion.settle(promotion)
        # What a synchronous replica has acknowledged must not depend on who heard of its primary.
        stored_first = self._directory.rule(group).sync_replicas > 0
        if stored_first and not await self._store_assignment(settled):
            return
        if not stored_first and not self._cache.accept_assignment(settled):
            logs.warn("claim_replaced", group=group, epoch=settled.epoch)
            return
        self._announce(settled)
        logs.event(
            "promotion_done",
            group=group,
            primary=settled.primary,
            term=settled.term,
            replaced=replaced,
            ordered=",".join(promotion.claim.ordered),
            fence=self._lease.fencing_token,
            fence_ms=round((fenced_at - started) * 1000),
            total_ms=round((now() - started) * 1000),
        )
        for name in {replaced, *promotion.claim.ordered} - {settled.primary}:
            self._demote(group, name, settled.term)
        for target in self._directory.other_targets(group, settled.primary):
            _spawn(self._queries.query(target, lambda link: link.resume(QUERY_TIMEOUT_S)))
        if not stored_first:
            await self._store_assignment(settled)

    def _demote_others(self, group: str, primary: str, term: int) -> None:
        """Demote members that lead in an earlier term, whoever should have done so before."""
        for target in self._directory.other_targets(group, primary):
            if target.role is Role.PRIMARY:
                self._demote(group, target.name, term)

    def _demote(self, group: str, name: str, term: int) -> None:
        if (group, name) in self._demotions:
            return
        self._demotions.add((group, name))
        task = _spawn(self._promotion.demote_old_primary(group, name, term))
        loop = asyncio.get_running_loop()
        task.add_done_callback(
            lambda _: loop.call_later(ROLE_REPORT_S, self._demotions.discard, (group, name))
        )

    async def _record_failover(self, group: str, replaced: str) -> PrimaryAssignment | None:
        """Store an unsettled assignment; return None if another host has changed the record."""
        previous = self._directory.assignment_or_initial(group)
        assignment = PrimaryAssignment(
            group=group,
            epoch=previous.epoch + 1,
            settled=False,
            primary="",
            term=previous.term,
            replaced=replaced,
            claimant=self._hosts.own.process_name,
            era=self._cache.era.era,
            ordered=previous.ordered,
            order_epoch=previous.order_epoch,
            may_lack_orders=previous.may_lack_orders or self._is_from_earlier_era(previous),
            single_order=previous.single_order,
        )
        return assignment if await self._store_assignment(assignment) else None

    def _is_from_earlier_era(self, assignment: PrimaryAssignment) -> bool:
        return assignment.era < self._cache.era.era and self._cache.era.era > FIRST_ERA

    async def _store_assignment(self, assignment: PrimaryAssignment) -> bool:
        """Store an assignment; return False if a later one is known, or the store has another."""
        known = self._cache.assignment(assignment.group)
        if known is not None and known.sort_key > assignment.sort_key:
            logs.warn("claim_replaced", group=assignment.group, epoch=assignment.epoch)
            return False
        entry = await self._cache.write(
            Topic.FLEET, ASSIGNMENT_PREFIX + assignment.group, assignment
        )
        return entry is not None

    def _announce(self, assignment: PrimaryAssignment) -> None:
        for host in self._hosts.all():
            if host.name != self._hosts.own.name and host.state is not HostState.DEAD:
                call = self._hosts.call(
                    host.name, PrimaryAnnouncement(assignment=assignment), PEER_CALL_TIMEOUT_S
                )
                _spawn(ignore_failure(call))


# The event loop holds only weak references to tasks.
_TASKS: set[asyncio.Task] = set()


def _spawn(coro) -> asyncio.Task:
    task = asyncio.get_running_loop().create_task(coro)
    _TASKS.add(task)
    task.add_done_callback(_TASKS.discard)
    return task

"""Check right before statements are sent whether evacuations and the pace of members allow it."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementRequest
from wagtailloft.fleet.records import Entry, Target, Topic
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.evacuation import ColdPace, Evacuations
from wagtailloft.metrics import Metrics
from wagtailloft.sessions.statements import StatementResult, not_executed

LOG_INTERVAL_S = 1.0  # between two log lines about refusals of one kind at one member or group
CHECK_INTERVAL_S = 0.1  # between checks for transactions at evacuated members
EVACUATED, COLD = "evacuated", "cold"  # reasons in log lines and metrics
MIN_SEND_BUDGET_S = 0.1  # as for writes: with less, a statement would time out after it was sent


class Gate(Protocol):
    """Decide whether members may get statements."""

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether a zone is evacuated."""

    def may_begin(self, target: Target, *, as_primary: bool) -> bool:
        """Tell whether new work may be sent to a member."""

    def refuse_group(
        self, targets: tuple[Target, ...], primary: Target | None
    ) -> StatementResult | None:
        """Return why a group's work is refused at once, None if it may wait for a member."""

    def refuse_all(self, targets: tuple[Target, ...]) -> StatementResult | None:
        """Return why no member of a group may get new work, None if one may."""

    def refuse_new(self, target: Target, request: StatementRequest) -> StatementResult | None:
        """Return why a new statement is refused before it waits for a link, None if it is not."""

    async def admit(
        self, target: Target, request: StatementRequest, *, as_primary: bool, budget: float
    ) -> StatementResult | None:
        """Wait until a statement may be sent; return why it is refused, None if it is not."""


class OpenGate:
    """Allow every statement: the gate of a deployment without evacuations and cold members."""

    def is_evacuated(self, zone: str) -> bool:
        """Return that no zone is evacuated."""
        return False

    def may_begin(self, target: Target, *, as_primary: bool) -> bool:
        """Allow new work."""
        return True

    def refuse_group(
        self, targets: tuple[Target, ...], primary: Target | None
    ) -> StatementResult | None:
        """Refuse nothing."""
        return None

    def refuse_all(self, targets: tuple[Target, ...]) -> StatementResult | None:
        """Refuse nothing."""
        return None

    def refuse_new(self, target: Target, request: StatementRequest) -> StatementResult | None:
        """Refuse nothing."""
        return None

    async def admit(
        self, target: Target, request: StatementRequest, *, as_primary: bool, budget: float
    ) -> StatementResult | None:
        """Refuse nothing, without waiting."""
        return None


class MemberGate:
    """Follow evacuations and cold members in the store's cache, and apply them to statements."""

    def __init__(
        self,
        *,
        cache: StoreCache,
        directory: GroupDirectory,
        evacuations: Evacuations,
        pace: ColdPace,
        metrics: Metrics,
    ) -> None:
        self._cache = cache
        self._directory = directory
        self._evacuations = evacuations
        self._pace = pace
        self._metrics = metrics
        self._logged_at: dict[tuple[str, str], float] = {}
        cache.on_change(Topic.EVACUATIONS, self._handle_evacuation)
        cache.on_change(Topic.TARGETS, self._handle_target)

    @property
    def is_known(self) -> bool:
        """Tell whether this process has read the evacuations, or there can be none."""
        return not self._evacuations.is_enabled or self._cache.revision(Topic.EVACUATIONS) > 0

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether a zone is evacuated, or may be as far as this process knows."""
        return not self.is_known or self._evacuations.is_evacuated(zone)

    def may_begin(self, target: Target, *, as_primary: bool) -> bool:
        """Tell whether new work may be sent to a member."""
        return self.is_known and self._evacuations.may_begin(
            target, as_primary=as_primary, at=now()
        )

    def refuse_group(
        self, targets: tuple[Target, ...], primary: Target | None
    ) -> StatementResult | None:
        """Return why a group's work is refused at once, None if it may wait for a member."""
        if not self._evacuations.refuses_group(targets, primary, at=now()):
            return None
        group = targets[0].group if targets else primary.group
        return self._refuse_evacuated(group, primary.name if primary else "")

    def refuse_all(self, targets: tuple[Target, ...]) -> StatementResult | None:
        """Return why no member of a group may get new work, None if one may."""
        if not self._evacuations.has_no_member_left(targets):
            return None
        return self._refuse_evacuated(targets[0].group, "")

    def refuse_new(self, target: Target, request: StatementRequest) -> StatementResult | None:
        """Return why a new statement is refused before it waits for a link, None if it is not.

        A replica that would not get it in time is not connected to for it either.
        """
        refused = self._refuse_evacuation(target, request, as_primary=request.require_primary)
        if refused is not None or request.require_primary or not self._is_cold(target):
            return refused
        wait = self._pace.wait(target.name, self._directory.rule(target.group), at=now())
        return self._refuse_cold(target, request) if wait else None

    async def admit(
        self, target: Target, request: StatementRequest, *, as_primary: bool, budget: float
    ) -> StatementResult | None:
        """Wait until a statement may be sent; return why it is refused, None if it is not.

        Only what no other member can run waits for the pace of a cold member.
        """
        refused = self._refuse_evacuation(target, request, as_primary=as_primary)
        if refused is not None or not self._is_cold(target):
            return refused
        may_wait = as_primary or request.transaction_id > 0
        wait = self._pace.reserve(
            target.name,
            self._directory.rule(target.group),
            at=now(),
            max_wait=max(0.0, budget - MIN_SEND_BUDGET_S) if may_wait else 0.0,
        )
        if wait is None:
            return self._refuse_cold(target, request)
        if not wait:
            return None
        await asyncio.sleep(wait)
        if as_primary and not self._may_use_as_primary(target, request):
            return self._refuse(request, Kind.NO_PRIMARY, "the primary is being replaced")
        return self._refuse_evacuation(target, request, as_primary=as_primary)

    async def run(self, end_refused: Callable[[Callable[[Target, bool], bool]], int]) -> None:
        """End what is open at evacuated members once its time is over, until cancelled.

        end_refused ends the work for which the function that it is given returns False, and
        returns how many transactions it ended.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._evacuations.zones:
                count = end_refused(self._may_continue)
                if count:
                    logs.event("evacuated_transactions_ended", count=count)

    def _handle_evacuation(self, entry: Entry) -> None:
        zone, at = entry.name, now()
        if entry.exists:
            absent_at = self._cache.current_before_change(Topic.EVACUATIONS)
            if not self._evacuations.begin(zone, at=at, absent_at=absent_at):
                return
            logs.warn(
                "zone_evacuated",
                zone=zone,
                revision=entry.revision,
                primary_for=round(self._evacuations.primary_until(zone) - at, 3),
                unseen_for=round(at - absent_at, 3),
            )
        elif self._evacuations.end(zone, at=at):
            logs.warn("zone_returned", zone=zone, revision=entry.revision)
        self._metrics.evacuated.labels(zone).set(self.is_evacuated(zone))

    def _handle_target(self, entry: Entry) -> None:
        if not isinstance(entry.value, Target):
            self._pace.forget(entry.name, at=now())
            for reason in (EVACUATED, COLD):
                self._logged_at.pop((entry.name, reason), None)
            return
        self._pace.observe(entry.name, cold_left=entry.value.cold_left, at=now())

    def _is_cold(self, target: Target) -> bool:
        at = now()
        returned = self._evacuations.ended_lately(target.zone, at=at)
        rule = self._directory.rule(target.group)
        return self._pace.is_cold(target, rule, returned=returned, at=at)

    def _may_use_as_primary(self, target: Target, request: StatementRequest) -> bool:
        if not self._directory.may_use_as_primary(target.group, target.name):
            return False
        return request.transaction_id > 0 or self._directory.accepts_new_work(target)

    def _may_continue(self, target: Target, as_primary: bool) -> bool:
        return self._evacuations.may_continue(target, as_primary=as_primary, at=now())

    def _refuse_evacuation(
        self, target: Target, request: StatementRequest, *, as_primary: bool
    ) -> StatementResult | None:
        if not self.is_known:
            detail = "this host has not read the evacuations yet"
            return self._refuse(request, Kind.NO_OWNER, detail)
        if request.transaction_id:
            allowed = self._may_continue(target, as_primary)
        else:
            allowed = self.may_begin(target, as_primary=as_primary)
        if allowed:
            return None
        refused = self._refuse_evacuated(target.group, target.name)
        return self._refuse(request, Kind.ZONE_EVACUATED, refused.detail)

    def _refuse_evacuated(self, group: str, member: str) -> StatementResult:
        self._report(group, member, EVACUATED)
        subject = f"the zone of {member} is" if member else "the zones of all members are"
        return not_executed(Kind.ZONE_EVACUATED, f"{subject} evacuated")

    def _refuse_cold(self, target: Target, request: StatementRequest) -> StatementResult:
        self._report(target.group, target.name, COLD)
        detail = "the target is cold and has its share of statements"
        return self._refuse(request, Kind.TARGET_BUSY, detail)

    def _refuse(self, request: StatementRequest, kind: Kind, detail: str) -> StatementResult:
        """Return a refusal; the transaction of one that is refused in it can't go on."""
        return not_executed(Kind.TRANSACTION_LOST if request.transaction_id else kind, detail)

    def _report(self, group: str, member: str, reason: str) -> None:
        self._metrics.member_refusals.labels(group, member, reason).inc()
        at, key = now(), (member or group, reason)
        if at - self._logged_at.get(key, 0.0) >= LOG_INTERVAL_S:
            self._logged_at[key] = at
            logs.event("member_refused", group=group, target=member, why=reason)

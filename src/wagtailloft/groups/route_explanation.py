"""Explain where a statement would go now, by the code that admits and dispatches statements."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future

from wagtailloft.clock import now
from wagtailloft.errors import Kind, Refusal
from wagtailloft.fleet.messages import TargetLoad
from wagtailloft.fleet.records import Freshness, RouteRule, Target
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.dispatch import Dispatcher, StatementContext
from wagtailloft.groups.link_pool import LinkPool
from wagtailloft.groups.route_verdict import MemberVerdict, RouteVerdict
from wagtailloft.models import Role
from wagtailloft.route_report import (
    MemberReport,
    RefusalReport,
    RouteQuestion,
    RouteReport,
    TeamReport,
    format_position,
    refusal_report,
)
from wagtailloft.sessions.admission import PUBLIC_TEAM, Admission, AdmissionForecast
from wagtailloft.sessions.statements import StatementResult, Verb

# Well above a turn of a busy event loop, and well below the time-out of the command.
ANSWER_LIMIT_S = 2.0


class RouteExplainer:
    """Answer where statements would go; it reads this host's view and sends nothing."""

    def __init__(
        self,
        *,
        host: str,
        admission: Admission,
        directory: GroupDirectory,
        dispatcher: Dispatcher,
        local_pools: Callable[[], tuple[LinkPool, ...]] = lambda: (),
    ) -> None:
        """Take the pools of the targets whose links this host owns, whose limits it knows."""
        self._local_pools = local_pools
        self._host = host
        self._admission = admission
        self._directory = directory
        self._dispatcher = dispatcher

    def explain(self, question: RouteQuestion) -> RouteReport | Refusal:
        """Return where a statement would go, or a refusal if its route or team is unknown."""
        forecast = self._admission.forecast(question.route, question.team)
        if isinstance(forecast, StatementResult):
            return Refusal(kind=forecast.kind or Kind.INTERNAL, detail=forecast.detail)
        rule, limit = forecast.rule, forecast.limit
        context = StatementContext(rule=rule, team=limit.name if limit else PUBLIC_TEAM)
        verdict = self._dispatcher.explain(context, question.statement)
        choice = verdict.choice
        chosen = next((m for m in verdict.members if m.rank == 1), None)
        return RouteReport(
            asked=self._host,
            route=rule.database,
            group=rule.group,
            statement=question.verb.value,
            team=limit and TeamReport(name=limit.name, rate=limit.rate, burst=limit.burst),
            priority=rule.priority,
            freshness=rule.freshness.value,
            max_age_s=rule.max_age if rule.freshness is not Freshness.LATEST else None,
            timeout_s=rule.timeout,
            position=format_position(choice.min_position) if choice else "",
            member=choice.target if choice else "",
            host=chosen.host if chosen else "",
            why=choice.reason if choice else self._wait_reason(rule.group),
            refusal=self._refusal(forecast, verdict),
            members=tuple(self._member(m, rule, verdict, question) for m in verdict.members),
        )

    def _refusal(self, forecast: AdmissionForecast, verdict: RouteVerdict) -> RefusalReport | None:
        refusal = forecast.refusal or verdict.refusal
        if refusal is not None:
            retry_ms = forecast.retry_after and round(forecast.retry_after * 1000)
            return refusal_report(refusal.kind or Kind.INTERNAL, refusal.detail, retry_ms)
        rule, choice = forecast.rule, verdict.choice
        if choice is None:
            return refusal_report(Kind.NO_PRIMARY, f"waits up to {rule.timeout:g} s for a primary")
        if choice.is_primary:
            owner = next((m.host for m in verdict.members if m.rank == 1), "")
            # Another owner decides by its own cache, which this host does not know.
            may_use = self._directory.may_use_as_primary(rule.group, choice.target)
            if owner == self._host and not may_use:
                detail = "this host may not use the member as primary now"
                return refusal_report(Kind.NO_PRIMARY, detail)
        return None

    def _wait_reason(self, group: str) -> str:
        assignment = self._directory.assignment_or_initial(group)
        if not assignment.settled:
            return "a failover is in progress"
        if not assignment.primary:
            return "no member reports that it is primary"
        return f"the primary '{assignment.primary}' takes no new work"

    def _member(
        self, member: MemberVerdict, rule: RouteRule, verdict: RouteVerdict, question: RouteQuestion
    ) -> MemberReport:
        target = member.target
        primary = self._directory.primary(rule.group)
        is_primary = primary is not None and primary.name == target.name
        return MemberReport(
            name=target.name,
            zone=target.zone,
            role=Role.PRIMARY.value if is_primary else Role.REPLICA.value,
            state="leaving" if target.leaving else "listed",
            slots=target.slots,
            in_flight=member.in_flight,
            limit=self._limit(target),
            queue_ms=_expected_queue_ms(member.load, rule.priority),
            rank=member.rank,
            why=self._member_reason(member, rule, verdict, question, is_primary=is_primary),
        )

    def _limit(self, target: Target) -> int | None:
        for pool in self._local_pools():
            if pool.target.name == target.name:
                return pool.scheduler.limit.limit
        return None

    def _member_reason(
        self,
        member: MemberVerdict,
        rule: RouteRule,
        verdict: RouteVerdict,
        question: RouteQuestion,
        *,
        is_primary: bool,
    ) -> str:
        """Return why a member is chosen, or the known fact that speaks against it."""
        if member.rank == 1 and member.choice:
            return f"chosen: {member.choice.reason}"
        if member.rank:
            return "used if the members ranked before it fail"
        if member.why:
            return member.why
        target = member.target
        if is_primary and not self._directory.accepts_new_work(target):
            return "is leaving and takes no new work"
        if question.verb in (Verb.WRITE, Verb.BEGIN):
            return "only the primary takes writes"
        if rule.freshness is Freshness.LATEST:
            return "only the primary has the latest data"
        if target.leaving:
            return "is leaving"
        if self._directory.samples(rule.group).in_backoff(target.name, now()):
            return "lately lacked the position that a read needed"
        if verdict.choice and verdict.choice.is_primary:
            # The dispatcher's own reason, unless it only names the role.
            reason = verdict.choice.reason
            return "the primary is preferred" + (f": {reason}" if reason != "primary" else "")
        return "not eligible"


def _expected_queue_ms(load: TargetLoad | None, priority: int) -> int | None:
    """Return the expected wait of a route's statement, of which the last one is for the rest."""
    return load.waits_ms[min(priority, len(load.waits_ms) - 1)] if load else None


def call_on_loop(
    loop: asyncio.AbstractEventLoop,
    explain: Callable[[RouteQuestion], RouteReport | Refusal],
    question: RouteQuestion,
    limit: float = ANSWER_LIMIT_S,
) -> RouteReport | Refusal:
    """Explain on an event loop from another thread, for at most limit seconds."""
    answer: Future[RouteReport | Refusal] = Future()

    def run() -> None:
        if not answer.set_running_or_notify_cancel():
            return
        try:
            answer.set_result(explain(question))
        except Exception as exc:
            answer.set_exception(exc)

    try:
        loop.call_soon_threadsafe(run)
    except RuntimeError:  # the loop is closed
        return Refusal(kind=Kind.STOPPING)
    try:
        return answer.result(limit)
    except TimeoutError:
        answer.cancel()
        return Refusal(kind=Kind.DEADLINE, detail=f"the host did not answer within {limit:g} s")

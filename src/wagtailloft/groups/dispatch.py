"""Dispatch statements to group members, and retry those that are safe to retry."""

import asyncio
import random

from wagtailloft.clock import now
from wagtailloft.controllers.promotion_times import GroupPhase, PromotionTimes
from wagtailloft.controllers.retries import retry_delay
from wagtailloft.controllers.target_loads import UNKNOWN_ATTEMPT_TIMEOUT_S, TargetLoads
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementRequest, StatementResponse
from wagtailloft.fleet.records import Freshness, Target
from wagtailloft.groups.attempts import (
    Attempts,
    EventLimit,
    OpenTransaction,
    StatementContext,
    attempt_result,
)
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.member_gate import Gate, OpenGate
from wagtailloft.groups.placement_log import (
    log_ejection,
    log_refusal,
    log_statement,
    log_wait_for_primary,
    log_wait_for_replica,
)
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.groups.relay import Relay
from wagtailloft.groups.route_verdict import (
    MemberVerdict,
    RouteVerdict,
    rank_placements,
    refusal_of,
)
from wagtailloft.groups.sample_exchange import SampleExchange
from wagtailloft.groups.target_choice import (
    NO_SAMPLE,
    Deferral,
    EarlyRefusal,
    GroupSnapshot,
    Placement,
    StatementNeeds,
    TargetChoice,
    choose,
    usable_sample_age,
)
from wagtailloft.metrics import Metrics
from wagtailloft.sessions.statements import Statement, StatementResult, Verb, not_executed

MIN_DEFERRAL_S = 0.005
RETRY_JITTER = 0.25  # share by which the retry times that callers are told differ at most
REFUSED_EARLY_EVENTS = 5  # log events a second; the counts by kind are in the metrics
FAILOVER_POLL_S = 0.03  # between checks for a primary while a failover is in progress

# Errors of statements that did not run, with causes that may pass before the statement times out.
RETRYABLE = frozenset(
    {
        Kind.TARGET_BUSY,
        Kind.TARGET_BEHIND,
        Kind.NOT_PRIMARY,
        Kind.NO_PRIMARY,
        Kind.WRONG_TARGET,
        Kind.TOO_MANY_LINKS,
        Kind.TARGET_UNREACHABLE,
        Kind.NO_OWNER,
        Kind.QUEUE_FULL,
        Kind.STOPPING,
        Kind.ZONE_EVACUATED,
    }
)
# Errors after which the next host in the target's owner ranking is tried.
OWNER_FAULTS = frozenset({Kind.NO_OWNER, Kind.TARGET_UNREACHABLE, Kind.STOPPING})


class Dispatcher:
    """Send statements to members of a group and sample the primary's position from responses."""

    def __init__(
        self,
        *,
        directory: GroupDirectory,
        relay: Relay,
        sample_exchange: SampleExchange,
        zone: str,
        metrics: Metrics,
        gate: Gate | None = None,
    ) -> None:
        self._gate = gate or OpenGate()
        self._directory = directory
        self._relay = relay
        self._sample_exchange = sample_exchange
        self._zone = zone
        self._metrics = metrics
        self._loads = TargetLoads()
        self._promotion_times = PromotionTimes()
        self._rng = random.Random()
        self._refusal_events = EventLimit(REFUSED_EARLY_EVENTS)

    def unresponsive_after(self, target: str) -> float:
        """Return after which time without anything from a target its owner checks it."""
        return self._loads.unresponsive_after(target)

    def snapshot(self, group: str) -> GroupSnapshot:
        """Return a group as the next choice of a member will see it."""
        primary = self._directory.primary(group)
        if primary is not None and not self._directory.accepts_new_work(primary):
            primary = None
        if primary is not None and not self._gate.may_begin(primary, as_primary=True):
            primary = None
        targets = self._directory.targets(group)
        return GroupSnapshot(
            targets=tuple(t for t in targets if self._gate.may_begin(t, as_primary=False)),
            primary=primary,
            zone=self._zone,
            loads=self._loads,
        )

    async def run_single(self, context: StatementContext, bound: BoundStatement) -> StatementResult:
        """Run one statement outside a transaction, with retries."""
        outcome, _ = await self._run_with_retries(context, bound, opens_transaction=False)
        return outcome

    async def begin(
        self, context: StatementContext, bound: BoundStatement
    ) -> tuple[StatementResult, OpenTransaction | None]:
        """Open a transaction; return None in its place if it could not be opened."""
        return await self._run_with_retries(context, bound, opens_transaction=True)

    async def run(
        self, transaction: OpenTransaction, context: StatementContext, bound: BoundStatement
    ) -> StatementResult:
        """Run a statement of an open transaction."""
        sent_at = now()
        request = StatementRequest(
            group=transaction.group,
            target=transaction.target,
            team=context.team,
            bound=bound,
            budget=context.rule.timeout,
            require_primary=transaction.is_primary,
            transaction_id=transaction.transaction_id,
            priority=context.rule.priority,
        )
        response = await self._relay.run(transaction.owner, request)
        self._observe(transaction.owner, request, response, now())
        self._record_position(transaction.group, transaction.is_primary, response.outcome, sent_at)
        choice = TargetChoice(
            target=transaction.target, is_primary=transaction.is_primary, reason="transaction"
        )
        log_statement(
            context, bound, choice, transaction.owner, response, now() - sent_at, transaction
        )
        return response.outcome

    async def rollback(self, transaction: OpenTransaction) -> None:
        """Roll back an open transaction without waiting for its target."""
        await self._relay.rollback(transaction.owner, transaction.transaction_id)

    def explain(self, context: StatementContext, statement: Statement) -> RouteVerdict:
        """Return where a statement and its retries would go now, without sending it."""
        opens_transaction = statement.verb in (Verb.BEGIN, Verb.BEGIN_READ)
        writes = statement.writes or statement.verb is Verb.BEGIN
        placements = rank_placements(
            lambda avoid: self._choose(
                context, writes, self._fresh_attempts(context, avoid), opens_transaction
            )
        )
        group = context.rule.group
        choices = [p for p in placements if isinstance(p, TargetChoice)]
        ranks = {c.target: (rank, c) for rank, c in enumerate(choices, 1)}
        members = []
        for target in self._directory.targets(group):
            rank, choice = ranks.get(target.name, (0, None))
            members.append(
                MemberVerdict(
                    target=target,
                    host=self._owner(group, target.name, 0) or "",
                    in_flight=self._loads.in_flight(target.name),
                    choice=choice,
                    rank=rank,
                    load=self._loads.reported(target.name),
                    why=self._reason_against(target),
                )
            )
        return RouteVerdict(
            choice=choices[0] if choices else None,
            members=tuple(members),
            refusal=self._gate.refuse_all(self._directory.targets(group)) or refusal_of(placements),
        )

    def _fresh_attempts(self, context: StatementContext, avoid: tuple[str, ...]) -> Attempts:
        attempts = Attempts(now() + context.rule.timeout)
        attempts.avoid = avoid
        attempts.sample_fetched = True
        return attempts

    def _reason_against(self, target: Target) -> str:
        if not self._gate.may_begin(target, as_primary=False):
            return "its zone is evacuated"
        return "ejected for failures or slowness" if self._loads.is_ejected(target.name) else ""

    async def _run_with_retries(
        self, context: StatementContext, bound: BoundStatement, *, opens_transaction: bool
    ) -> tuple[StatementResult, OpenTransaction | None]:
        group = context.rule.group
        attempts = Attempts(now() + context.rule.timeout)
        writes = bound.statement.writes or bound.statement.verb is Verb.BEGIN
        outcome = not_executed(Kind.NO_PRIMARY, "the group has no primary")
        while now() < attempts.deadline:
            refused = self._gate.refuse_all(self._directory.targets(group))
            if refused is not None:
                return refused, None
            choice = self._choose(context, writes, attempts, opens_transaction)
            if choice is None:
                refused = self._refusal_without_choice(group)
                if refused is not None:
                    return refused, None
                least_wait = self._least_wait_for_primary(group, writes, context)
                if now() + least_wait > attempts.deadline:
                    return self._refuse_early(context, bound, Kind.NO_PRIMARY, least_wait), None
                if not attempts.wait_logged:
                    attempts.wait_logged = True
                    log_wait_for_primary(context, bound, self._directory)
                await asyncio.sleep(min(FAILOVER_POLL_S, max(0.0, attempts.deadline - now())))
                attempts.avoid = ()  # without a primary, no other member can serve a read
                continue
            if isinstance(choice, Deferral):
                if not attempts.deferral_logged:
                    attempts.deferral_logged = True
                    log_wait_for_replica(context, bound, choice.until - now())
                attempts.has_lagged = attempts.has_lagged and now() < choice.until
                pause = min(FAILOVER_POLL_S, max(MIN_DEFERRAL_S, choice.until - now()))
                await asyncio.sleep(min(pause, max(0.0, attempts.deadline - now())))
                continue
            if isinstance(choice, EarlyRefusal):
                if attempts.unanswered:
                    return outcome, None
                return self._refuse_early(context, bound, Kind.DEADLINE, choice.retry_in), None
            if choice.reason == NO_SAMPLE and not attempts.sample_fetched:
                attempts.sample_fetched = True
                await self._sample_exchange.fetch(group, usable_sample_age(context.rule))
                continue
            owner = self._owner(group, choice.target, attempts.owner_faults[choice.target])
            if owner is None:
                await asyncio.sleep(FAILOVER_POLL_S)
                continue
            outcome, transaction = await self._attempt(
                context, bound, choice, owner, attempts, opens_transaction
            )
            if outcome.ok:
                return outcome, transaction
            if self._goes_elsewhere(context, choice, outcome, writes, attempts, opens_transaction):
                self._metrics.retries.labels(outcome.kind.value).inc()
                continue
            safe_to_repeat = outcome.kind is Kind.NO_ANSWER or (
                opens_transaction and outcome.kind is Kind.TRANSACTION_LOST
            )
            if outcome.kind not in RETRYABLE and not safe_to_repeat:
                return outcome, None
            if choice.is_primary and outcome.kind is Kind.ZONE_EVACUATED:
                return outcome, None
            self._metrics.retries.labels(outcome.kind.value).inc()
            if outcome.kind in OWNER_FAULTS:
                attempts.owner_faults[choice.target] += 1
            is_repeatedly_shed = choice.target in attempts.shed
            if outcome.kind is Kind.TARGET_BEHIND:
                attempts.has_lagged = True
            elif not choice.is_primary and outcome.kind is Kind.TARGET_BUSY:
                attempts.shed = (*attempts.shed, choice.target)
            elif not choice.is_primary:
                attempts.avoid = (*attempts.avoid, choice.target)
            if choice.is_primary or safe_to_repeat or is_repeatedly_shed:
                pause = retry_delay(attempts.count, self._rng)
                await asyncio.sleep(min(pause, max(0.0, attempts.deadline - now())))
            attempts.count += 1
        return outcome, None

    def _goes_elsewhere(
        self,
        context: StatementContext,
        choice: TargetChoice,
        outcome: StatementResult,
        writes: bool,
        attempts: Attempts,
        opens_transaction: bool,
    ) -> bool:
        """Tell whether a read goes to another member after an error that is final at this one.

        A member may fail a read that it ran, or its owner refuse one that it can't run in time.
        """
        if writes or opens_transaction or outcome.kind not in (Kind.TARGET_FAILED, Kind.DEADLINE):
            return False
        attempts.avoid = (*attempts.avoid, choice.target)
        other = self._choose(context, writes, attempts, opens_transaction)
        return isinstance(other, TargetChoice) and other.target not in attempts.avoid

    def _refuse_early(
        self, context: StatementContext, bound: BoundStatement, kind: Kind, retry_in: float
    ) -> StatementResult:
        """Refuse an operation that can't be served by its deadline, with a time to retry."""
        retry_in *= self._rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        suppressed = self._refusal_events.take(now())
        if suppressed is not None:
            log_refusal(context, bound, kind, retry_in, suppressed)
        return not_executed(kind, f"retry in {max(1.0, retry_in * 1000):.0f} ms")

    async def _attempt(
        self,
        context: StatementContext,
        bound: BoundStatement,
        choice: TargetChoice,
        owner: str,
        attempts: Attempts,
        opens_transaction: bool,
    ) -> tuple[StatementResult, OpenTransaction | None]:
        sent_at = now()
        budget = attempts.deadline - sent_at
        attempt_timeout = 0.0
        if not bound.statement.writes:
            attempt_timeout = self._attempt_timeout(context, choice, attempts, budget)
        if attempt_timeout and choice.has_alternative:
            budget = min(budget, attempt_timeout)
        request = StatementRequest(
            group=context.rule.group,
            target=choice.target,
            team=context.team,
            bound=BoundStatement(
                request_id=bound.request_id,
                statement=bound.statement,
                session_variables=bound.session_variables,
                min_position=choice.min_position,
            ),
            budget=budget,
            require_primary=choice.is_primary,
            opens_transaction=opens_transaction,
            priority=context.rule.priority,
            attempt_timeout=attempt_timeout,
        )
        samples = self._directory.samples(context.rule.group)
        self._metrics.target_delay.labels(request.group, request.target).set(choice.expected_delay)
        self._loads.sent(choice.target, owner, sent_at)
        try:
            response = await self._relay.run(owner, request)
        finally:
            self._loads.returned(choice.target)
        answered_at = now()
        self._observe(owner, request, response, answered_at)
        if response.outcome.kind is Kind.NO_ANSWER:
            attempts.unanswered += 1
            self._loads.observe_timeout(
                choice.target, priority=context.rule.priority, limit=answered_at - sent_at
            )
        if response.outcome.ok and not opens_transaction:
            self._loads.observe_answer_time(
                choice.target,
                priority=context.rule.priority,
                seconds=answered_at - sent_at,
                at=answered_at,
            )
        self._record_position(context.rule.group, choice.is_primary, response.outcome, sent_at)
        if response.outcome.kind is Kind.TARGET_BEHIND:
            samples.mark_behind(choice.target, answered_at, choice.min_position)
        elif response.outcome.ok and not choice.is_primary:
            samples.mark_caught_up(choice.target, choice.min_position)
        transaction = None
        if response.transaction_id:
            transaction = OpenTransaction(
                group=context.rule.group,
                target=choice.target,
                owner=owner,
                transaction_id=response.transaction_id,
                is_primary=choice.is_primary,
            )
        log_statement(context, bound, choice, owner, response, now() - sent_at, transaction)
        return response.outcome, transaction

    def _attempt_timeout(
        self, context: StatementContext, choice: TargetChoice, attempts: Attempts, left: float
    ) -> float:
        """Return after which time a read is tried elsewhere; longer with each that was in vain."""
        limit = self._loads.attempt_timeout(
            choice.target,
            priority=context.rule.priority,
            expected_delay=choice.expected_delay,
        )
        if choice.is_primary and not choice.has_alternative:
            # A repeated attempt would only wait again, behind the first one.
            limit = max(limit, UNKNOWN_ATTEMPT_TIMEOUT_S)
        limit *= 2**attempts.unanswered
        if choice.has_alternative and limit > UNKNOWN_ATTEMPT_TIMEOUT_S:
            limit = max(UNKNOWN_ATTEMPT_TIMEOUT_S, min(limit, left / 2))
        return limit

    def _refusal_without_choice(self, group: str) -> StatementResult | None:
        return self._gate.refuse_group(
            self._directory.targets(group), self._directory.primary(group)
        )

    def _choose(
        self,
        context: StatementContext,
        writes: bool,
        attempts: Attempts,
        opens_transaction: bool,
    ) -> Placement | None:
        at = now()
        group = context.rule.group
        snapshot = self.snapshot(group)
        self._promotion_times.observe(group, self._phase(group, snapshot.primary), at)
        needs = StatementNeeds(
            rule=context.rule,
            writes=writes,
            session_position=context.session_position,
            avoid=attempts.avoid,
            shed=attempts.shed,
            has_lagged=attempts.has_lagged,
            time_left=attempts.deadline - at,
            may_fetch_sample=not attempts.sample_fetched,
            opens_transaction=opens_transaction,
        )
        return choose(needs, snapshot, self._directory.samples(group), at, self._rng)

    def _phase(self, group: str, primary: Target | None) -> GroupPhase:
        if primary is not None:
            return GroupPhase.HAS_PRIMARY
        assignment = self._directory.assignment_or_initial(group)
        if assignment.settled:
            return GroupPhase.OTHER
        return GroupPhase.ORDERED if assignment.ordered else GroupPhase.UNORDERED

    def _least_wait_for_primary(self, group: str, writes: bool, context: StatementContext) -> float:
        """Return how long an operation that only a primary can run still has to wait at least."""
        if not writes and context.rule.freshness is not Freshness.LATEST:
            return 0.0
        least = self._promotion_times.least_wait(self._phase(group, self._directory.primary(group)))
        # The promotion may have been ordered since this host last heard of the assignments.
        return max(0.0, least - self._directory.cache.assignments_age())

    def _observe(
        self, owner: str, request: StatementRequest, response: StatementResponse, at: float
    ) -> None:
        """Learn from a response how loaded its target is, and whether it fails."""
        self._loads.observe(
            request.target,
            result=attempt_result(response),
            load=response.load,
            at=at,
            owner=owner,
        )
        members = tuple(t.name for t in self._directory.targets(request.group))
        for change in self._loads.review(members, at):
            log_ejection(request.group, change)
            if change.is_ejected:
                labels = (request.group, change.target, change.reason)
                self._metrics.ejections.labels(*labels).inc()

    def _owner(self, group: str, name: str, fault_count: int) -> str | None:
        target = self._directory.target(group, name)
        if target is None:
            return None
        ranked = self._relay.owners(target)
        return ranked[fault_count % len(ranked)].name

    def _record_position(
        self, group: str, is_primary: bool, outcome: StatementResult, sent_at: float
    ) -> None:
        if is_primary and outcome.ok and outcome.position:
            self._directory.samples(group).add(sent_at, outcome.position)

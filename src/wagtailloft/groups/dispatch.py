"""Dispatch statements to group members, and retry those that are safe to retry."""

import asyncio
import random
from collections import Counter

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.retries import retry_delay
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementRequest, StatementResponse
from wagtailloft.fleet.records import RouteRule
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.member_gate import Gate, OpenGate
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.groups.relay import Relay
from wagtailloft.groups.sample_exchange import SampleExchange
from wagtailloft.groups.target_choice import (
    NO_SAMPLE,
    GroupSnapshot,
    StatementNeeds,
    TargetChoice,
    choose,
    usable_sample_age,
)
from wagtailloft.metrics import Metrics
from wagtailloft.models import Position, Record
from wagtailloft.sessions.statements import StatementResult, Verb, not_executed

# Covers a slow statement that is queued behind others; after it, another member is tried.
READ_ATTEMPT_TIMEOUT_S = 0.35
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


class StatementContext(Record):
    """Describe the caller of a statement: its route, its team and its session's position.

    session_position is set only if reads must see the session's own writes.
    """

    rule: RouteRule
    team: str
    session_position: Position | None = None


class OpenTransaction(Record):
    """Identify an open transaction and the host and target that hold it."""

    group: str
    target: str
    owner: str
    transaction_id: int
    is_primary: bool


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
        self._in_flight: Counter[str] = Counter()
        self._rng = random.Random()

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
        )
        response = await self._relay.run(transaction.owner, request)
        self._record_position(transaction.group, transaction.is_primary, response.outcome, sent_at)
        choice = TargetChoice(
            target=transaction.target, is_primary=transaction.is_primary, reason="transaction"
        )
        _log_statement(
            context, bound, choice, transaction.owner, response, now() - sent_at, transaction
        )
        return response.outcome

    async def rollback(self, transaction: OpenTransaction) -> None:
        """Roll back an open transaction without waiting for its target."""
        await self._relay.rollback(transaction.owner, transaction.transaction_id)

    async def _run_with_retries(
        self, context: StatementContext, bound: BoundStatement, *, opens_transaction: bool
    ) -> tuple[StatementResult, OpenTransaction | None]:
        group = context.rule.group
        deadline = now() + context.rule.timeout
        writes = bound.statement.writes or bound.statement.verb is Verb.BEGIN
        avoid: tuple[str, ...] = ()
        paced: tuple[str, ...] = ()  # cold members that had their share when they were asked
        owner_faults: Counter[str] = Counter()
        outcome = not_executed(Kind.NO_PRIMARY, "the group has no primary")
        attempt = 0
        wait_logged = sample_fetched = False
        while now() < deadline:
            refused = self._gate.refuse_all(self._directory.targets(group))
            if refused is not None:
                return refused, None
            choice = self._choose(context, writes, avoid + paced, opens_transaction)
            if choice is None:
                refused = self._refusal_without_choice(group)
                if refused is not None:
                    return refused, None
                paced = ()
                if not wait_logged:
                    wait_logged = True
                    self._log_wait(context, bound)
                await asyncio.sleep(min(FAILOVER_POLL_S, max(0.0, deadline - now())))
                continue
            if choice.reason == NO_SAMPLE and not sample_fetched:
                sample_fetched = True
                if await self._sample_exchange.fetch(group, usable_sample_age(context.rule)):
                    continue
            owner = self._owner(group, choice.target, owner_faults[choice.target])
            if owner is None:
                await asyncio.sleep(FAILOVER_POLL_S)
                continue
            outcome, transaction = await self._attempt(
                context, bound, choice, owner, deadline, opens_transaction
            )
            if outcome.ok:
                return outcome, transaction
            safe_to_repeat = outcome.kind is Kind.NO_ANSWER or (
                opens_transaction and outcome.kind is Kind.TRANSACTION_LOST
            )
            if outcome.kind not in RETRYABLE and not safe_to_repeat:
                return outcome, None
            if choice.is_primary and outcome.kind is Kind.ZONE_EVACUATED:
                return outcome, None
            self._metrics.retries.labels(outcome.kind.value).inc()
            if outcome.kind in OWNER_FAULTS:
                owner_faults[choice.target] += 1
            if not choice.is_primary and outcome.kind is not Kind.TARGET_BUSY:
                avoid = (*avoid, choice.target)
            elif not choice.is_primary and not outcome.sent:
                paced = (*paced, choice.target)
            if choice.is_primary or safe_to_repeat:
                paced = ()
                await asyncio.sleep(
                    min(retry_delay(attempt, self._rng), max(0.0, deadline - now()))
                )
            attempt += 1
        return outcome, None

    async def _attempt(
        self,
        context: StatementContext,
        bound: BoundStatement,
        choice: TargetChoice,
        owner: str,
        deadline: float,
        opens_transaction: bool,
    ) -> tuple[StatementResult, OpenTransaction | None]:
        sent_at = now()
        budget = deadline - sent_at
        if not bound.statement.writes:
            budget = min(budget, READ_ATTEMPT_TIMEOUT_S)
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
        )
        samples = self._directory.samples(context.rule.group)
        self._in_flight[choice.target] += 1
        try:
            response = await self._relay.run(owner, request)
        finally:
            self._in_flight[choice.target] -= 1
        self._record_position(context.rule.group, choice.is_primary, response.outcome, sent_at)
        if response.outcome.kind is Kind.TARGET_BEHIND:
            samples.mark_behind(choice.target, now())
        elif response.outcome.ok and not choice.is_primary:
            samples.mark_caught_up(choice.target)
        transaction = None
        if response.transaction_id:
            transaction = OpenTransaction(
                group=context.rule.group,
                target=choice.target,
                owner=owner,
                transaction_id=response.transaction_id,
                is_primary=choice.is_primary,
            )
        _log_statement(context, bound, choice, owner, response, now() - sent_at, transaction)
        return response.outcome, transaction

    def _log_wait(self, context: StatementContext, bound: BoundStatement) -> None:
        assignment = self._directory.assignment_or_initial(context.rule.group)
        logs.event(
            "waiting_for_primary",
            request=bound.request_id,
            team=context.team,
            group=context.rule.group,
            epoch=assignment.epoch,
            settled=assignment.settled,
            replaced=assignment.replaced,
            age=round(self._directory.cache.assignments_age(), 3),
        )

    def _refusal_without_choice(self, group: str) -> StatementResult | None:
        return self._gate.refuse_group(
            self._directory.targets(group), self._directory.primary(group)
        )

    def _choose(
        self,
        context: StatementContext,
        writes: bool,
        avoid: tuple[str, ...],
        opens_transaction: bool,
    ) -> TargetChoice | None:
        group = context.rule.group
        primary = self._directory.primary(group)
        if primary is not None and not self._directory.accepts_new_work(primary):
            primary = None
        if primary is not None and not self._gate.may_begin(primary, as_primary=True):
            primary = None
        targets = self._directory.targets(group)
        snapshot = GroupSnapshot(
            targets=tuple(t for t in targets if self._gate.may_begin(t, as_primary=False)),
            primary=primary,
            zone=self._zone,
            in_flight=dict(self._in_flight),
        )
        needs = StatementNeeds(
            rule=context.rule,
            writes=writes,
            session_position=context.session_position,
            avoid=avoid,
            opens_transaction=opens_transaction,
        )
        return choose(needs, snapshot, self._directory.samples(group), now())

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


def _log_statement(
    context: StatementContext,
    bound: BoundStatement,
    choice: TargetChoice,
    owner: str,
    response: StatementResponse,
    seconds: float,
    transaction: OpenTransaction | None,
) -> None:
    outcome = response.outcome
    logs.event(
        "statement",
        request=bound.request_id,
        team=context.team,
        verb=bound.statement.verb.value,
        target=choice.target,
        holder=owner,  # The log key keeps its earlier name.
        why=choice.reason,
        after=_format_position(choice.min_position),
        outcome=outcome.kind.value if outcome.kind else "ok",
        detail=outcome.detail,
        # Transaction ids are unique at their owner.
        transaction=f"{owner}/{transaction.transaction_id}" if transaction else "",
        ms=round(seconds * 1000, 1),
    )


def _format_position(position: Position | None) -> str:
    return f"{position.term}.{position.index}" if position else ""

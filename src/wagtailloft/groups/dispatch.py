"""Serve an operation's statements: choose members, retry what may be retried."""

import asyncio
import random
from collections import Counter

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.retries import retry_delay
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementRequest
from wagtailloft.fleet.records import RouteRule
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.groups.relay import Relay
from wagtailloft.groups.target_choice import (
    NO_SAMPLE,
    GroupSnapshot,
    StatementNeeds,
    TargetChoice,
    choose,
)
from wagtailloft.metrics import Metrics
from wagtailloft.models import Position, Record
from wagtailloft.sessions.statements import Outcome, Verb, refused

READ_LIMIT_S = 0.35  # a slow statement behind others; then another member is asked
SAMPLE_WAIT_S = 0.06  # a statement at the primary across zones; spares it a burst of reads
SETTLE_WAIT_S = 0.03  # between looks for a primary that is being settled

# What did not run for a reason that may pass within the statement's time.
RETRIED = frozenset(
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
    }
)
# What makes another holder of the same target's links worth a try.
OWNER_FAULTS = frozenset({Kind.NO_OWNER, Kind.TARGET_UNREACHABLE})


class StatementContext(Record):
    """Hold who asks, under which rule, and what the session has seen."""

    rule: RouteRule
    team: str
    seen: Position | None = None


class OpenTransaction(Record):
    """Hold where a transaction is open."""

    group: str
    target: str
    owner: str
    number: int
    is_primary: bool


class Dispatch:
    """Bring statements to members and learn from their answers."""

    def __init__(
        self, *, directory: GroupDirectory, relay: Relay, zone: str, metrics: Metrics
    ) -> None:
        self._directory = directory
        self._relay = relay
        self._zone = zone
        self._metrics = metrics
        self._running: Counter[str] = Counter()
        self._rng = random.Random()

    async def single(self, context: StatementContext, bound: BoundStatement) -> Outcome:
        """Run one statement outside a transaction."""
        outcome, _ = await self._try(context, bound, begins=False)
        return outcome

    async def begin(
        self, context: StatementContext, bound: BoundStatement
    ) -> tuple[Outcome, OpenTransaction | None]:
        """Open a transaction; the place is None if none could be opened."""
        return await self._try(context, bound, begins=True)

    async def run(
        self, transaction: OpenTransaction, context: StatementContext, bound: BoundStatement
    ) -> Outcome:
        """Run a statement of an open transaction."""
        asked = now()
        request = StatementRequest(
            group=transaction.group,
            target=transaction.target,
            team=context.team,
            bound=bound,
            budget=context.rule.timeout,
            require_primary=transaction.is_primary,
            transaction=transaction.number,
        )
        done = await self._relay.run(transaction.owner, request)
        self._learn(transaction.group, transaction.is_primary, done.outcome, asked)
        choice = TargetChoice(
            target=transaction.target, is_primary=transaction.is_primary, why="transaction"
        )
        _log(context, bound, choice, transaction.owner, done.outcome, now() - asked)
        return done.outcome

    async def rollback(self, transaction: OpenTransaction) -> None:
        """Roll back an open transaction without waiting for its target."""
        await self._relay.rollback(transaction.owner, transaction.number)

    async def _try(
        self, context: StatementContext, bound: BoundStatement, *, begins: bool
    ) -> tuple[Outcome, OpenTransaction | None]:
        group = context.rule.group
        until = now() + context.rule.timeout
        writes = bound.statement.writes or bound.statement.verb is Verb.BEGIN
        avoid: tuple[str, ...] = ()
        faults: Counter[str] = Counter()
        last = refused(Kind.NO_PRIMARY, "no member leads the group")
        attempt = 0
        waited = False
        while now() < until:
            choice = self._choose(context, writes, avoid, begins)
            if choice is None:
                if not waited:
                    waited = True
                    self._log_wait(context, bound)
                await asyncio.sleep(min(SETTLE_WAIT_S, max(0.0, until - now())))
                continue
            if choice.why == NO_SAMPLE and await self._sampled(group):
                continue
            owner = self._owner(group, choice.target, faults[choice.target])
            if owner is None:
                await asyncio.sleep(SETTLE_WAIT_S)
                continue
            last, transaction = await self._once(context, bound, choice, owner, until, begins)
            if last.ok:
                return last, transaction
            reads_again = last.kind is Kind.NO_ANSWER or (
                begins and last.kind is Kind.TRANSACTION_LOST
            )
            if last.kind not in RETRIED and not reads_again:
                return last, None
            self._metrics.retries.labels(last.kind.value).inc()
            if last.kind in OWNER_FAULTS:
                faults[choice.target] += 1
            if not choice.is_primary and last.kind is not Kind.TARGET_BUSY:
                avoid = (*avoid, choice.target)
            if choice.is_primary or reads_again:
                await asyncio.sleep(min(retry_delay(attempt, self._rng), max(0.0, until - now())))
            attempt += 1
        return last, None

    async def _once(
        self,
        context: StatementContext,
        bound: BoundStatement,
        choice: TargetChoice,
        owner: str,
        until: float,
        begins: bool,
    ) -> tuple[Outcome, OpenTransaction | None]:
        asked = now()
        budget = until - asked
        if not bound.statement.writes:
            budget = min(budget, READ_LIMIT_S)
        request = StatementRequest(
            group=context.rule.group,
            target=choice.target,
            team=context.team,
            bound=BoundStatement(
                request_id=bound.request_id,
                statement=bound.statement,
                values=bound.values,
                after=choice.after,
            ),
            budget=budget,
            require_primary=choice.is_primary,
            begins=begins,
        )
        samples = self._directory.samples(context.rule.group)
        self._running[choice.target] += 1
        if choice.is_primary:
            samples.ask()
        try:
            done = await self._relay.run(owner, request)
        finally:
            self._running[choice.target] -= 1
            if choice.is_primary:
                samples.answered()
        self._learn(context.rule.group, choice.is_primary, done.outcome, asked)
        if done.outcome.kind is Kind.TARGET_BEHIND:
            samples.behind(choice.target, now())
        elif done.outcome.ok and not choice.is_primary:
            samples.level(choice.target)
        _log(context, bound, choice, owner, done.outcome, now() - asked)
        transaction = None
        if done.transaction:
            transaction = OpenTransaction(
                group=context.rule.group,
                target=choice.target,
                owner=owner,
                number=done.transaction,
                is_primary=choice.is_primary,
            )
        return done.outcome, transaction

    async def _sampled(self, group: str) -> bool:
        """Wait for a position that another statement is about to bring; tell whether it came."""
        samples = self._directory.samples(group)
        if not samples.asked:
            return False
        taken = samples.taken
        until = now() + SAMPLE_WAIT_S
        while samples.asked and samples.taken == taken and now() < until:
            await asyncio.sleep(SAMPLE_WAIT_S / 10)
        return samples.taken != taken

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
            age=round(self._directory.cache.age(), 3),
        )

    def _choose(
        self, context: StatementContext, writes: bool, avoid: tuple[str, ...], begins: bool
    ) -> TargetChoice | None:
        group = context.rule.group
        snapshot = GroupSnapshot(
            targets=self._directory.targets(group),
            primary=self._directory.primary(group),
            zone=self._zone,
            running=dict(self._running),
        )
        needs = StatementNeeds(
            rule=context.rule, writes=writes, seen=context.seen, avoid=avoid, begins=begins
        )
        return choose(needs, snapshot, self._directory.samples(group), now())

    def _owner(self, group: str, name: str, faults: int) -> str | None:
        target = self._directory.target(group, name)
        if target is None:
            return None
        ranked = self._relay.owners(target)
        return ranked[faults % len(ranked)].name

    def _learn(self, group: str, is_primary: bool, outcome: Outcome, asked: float) -> None:
        if is_primary and outcome.ok and outcome.position:
            self._directory.samples(group).add(asked, outcome.position)


def _log(
    context: StatementContext,
    bound: BoundStatement,
    choice: TargetChoice,
    owner: str,
    outcome: Outcome,
    seconds: float,
) -> None:
    logs.event(
        "statement",
        request=bound.request_id,
        team=context.team,
        verb=bound.statement.verb.value,
        target=choice.target,
        holder=owner,
        why=choice.why,
        after=_text(choice.after),
        outcome=outcome.kind.value if outcome.kind else "ok",
        detail=outcome.detail,
        ms=round(seconds * 1000, 1),
    )


def _text(position: Position | None) -> str:
    return f"{position.term}.{position.index}" if position else ""

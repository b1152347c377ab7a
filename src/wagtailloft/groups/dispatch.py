"""Serve an operation's statements: choose members, retry what may be retried."""

import asyncio
import random
from collections import Counter

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.retries import pause
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import Work
from wagtailloft.fleet.records import RouteRule
from wagtailloft.groups.directory import Directory
from wagtailloft.groups.ports import Step
from wagtailloft.groups.relay import Relay
from wagtailloft.groups.target_choice import NO_SAMPLE, Asked, Choice, Scene, choose
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
HOLDER_FAULTS = frozenset({Kind.NO_OWNER, Kind.TARGET_UNREACHABLE})


class Wanted(Record):
    """Hold who asks, under which rule, and what the session has seen."""

    rule: RouteRule
    team: str
    seen: Position | None = None


class Place(Record):
    """Hold where a transaction is open."""

    group: str
    target: str
    holder: str
    number: int
    leading: bool


class Dispatch:
    """Bring statements to members and learn from their answers."""

    def __init__(self, *, directory: Directory, relay: Relay, zone: str, metrics: Metrics) -> None:
        self._directory = directory
        self._relay = relay
        self._zone = zone
        self._metrics = metrics
        self._running: Counter[str] = Counter()
        self._rng = random.Random()

    async def single(self, wanted: Wanted, step: Step) -> Outcome:
        """Run one statement outside a transaction."""
        outcome, _ = await self._try(wanted, step, begins=False)
        return outcome

    async def begin(self, wanted: Wanted, step: Step) -> tuple[Outcome, Place | None]:
        """Open a transaction; the place is None if none could be opened."""
        return await self._try(wanted, step, begins=True)

    async def run(self, place: Place, wanted: Wanted, step: Step) -> Outcome:
        """Run a statement of an open transaction."""
        asked = now()
        work = Work(
            group=place.group,
            target=place.target,
            team=wanted.team,
            step=step,
            budget=wanted.rule.timeout,
            leading=place.leading,
            transaction=place.number,
        )
        done = await self._relay.run(place.holder, work)
        self._learn(place.group, place.leading, done.outcome, asked)
        choice = Choice(target=place.target, leading=place.leading, why="transaction")
        _log(wanted, step, choice, place.holder, done.outcome, now() - asked)
        return done.outcome

    async def forget(self, place: Place) -> None:
        """Roll back an open transaction without waiting for its target."""
        await self._relay.forget(place.holder, place.number)

    async def _try(
        self, wanted: Wanted, step: Step, *, begins: bool
    ) -> tuple[Outcome, Place | None]:
        group = wanted.rule.group
        until = now() + wanted.rule.timeout
        writes = step.statement.writes or step.statement.verb is Verb.BEGIN
        avoid: tuple[str, ...] = ()
        faults: Counter[str] = Counter()
        last = refused(Kind.NO_PRIMARY, "no member leads the group")
        attempt = 0
        waited = False
        while now() < until:
            choice = self._choose(wanted, writes, avoid, begins)
            if choice is None:
                if not waited:
                    waited = True
                    self._log_wait(wanted, step)
                await asyncio.sleep(min(SETTLE_WAIT_S, max(0.0, until - now())))
                continue
            if choice.why == NO_SAMPLE and await self._sampled(group):
                continue
            holder = self._holder(group, choice.target, faults[choice.target])
            if holder is None:
                await asyncio.sleep(SETTLE_WAIT_S)
                continue
            last, place = await self._once(wanted, step, choice, holder, until, begins)
            if last.ok:
                return last, place
            reads_again = last.kind is Kind.NO_ANSWER or (
                begins and last.kind is Kind.TRANSACTION_LOST
            )
            if last.kind not in RETRIED and not reads_again:
                return last, None
            self._metrics.retries.labels(last.kind.value).inc()
            if last.kind in HOLDER_FAULTS:
                faults[choice.target] += 1
            if not choice.leading and last.kind is not Kind.TARGET_BUSY:
                avoid = (*avoid, choice.target)
            if choice.leading or reads_again:
                await asyncio.sleep(min(pause(attempt, self._rng), max(0.0, until - now())))
            attempt += 1
        return last, None

    async def _once(
        self,
        wanted: Wanted,
        step: Step,
        choice: Choice,
        holder: str,
        until: float,
        begins: bool,
    ) -> tuple[Outcome, Place | None]:
        asked = now()
        budget = until - asked
        if not step.statement.writes:
            budget = min(budget, READ_LIMIT_S)
        work = Work(
            group=wanted.rule.group,
            target=choice.target,
            team=wanted.team,
            step=Step(
                request_id=step.request_id,
                statement=step.statement,
                values=step.values,
                after=choice.after,
            ),
            budget=budget,
            leading=choice.leading,
            begins=begins,
        )
        samples = self._directory.samples(wanted.rule.group)
        self._running[choice.target] += 1
        if choice.leading:
            samples.ask()
        try:
            done = await self._relay.run(holder, work)
        finally:
            self._running[choice.target] -= 1
            if choice.leading:
                samples.answered()
        self._learn(wanted.rule.group, choice.leading, done.outcome, asked)
        if done.outcome.kind is Kind.TARGET_BEHIND:
            samples.behind(choice.target, now())
        elif done.outcome.ok and not choice.leading:
            samples.level(choice.target)
        _log(wanted, step, choice, holder, done.outcome, now() - asked)
        place = None
        if done.transaction:
            place = Place(
                group=wanted.rule.group,
                target=choice.target,
                holder=holder,
                number=done.transaction,
                leading=choice.leading,
            )
        return done.outcome, place

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

    def _log_wait(self, wanted: Wanted, step: Step) -> None:
        lead = self._directory.lead_or_first(wanted.rule.group)
        logs.event(
            "waits_for_primary",
            request=step.request_id,
            team=wanted.team,
            group=wanted.rule.group,
            epoch=lead.epoch,
            settled=lead.settled,
            replaced=lead.replaced,
            age=round(self._directory.spread.age(), 3),
        )

    def _choose(
        self, wanted: Wanted, writes: bool, avoid: tuple[str, ...], begins: bool
    ) -> Choice | None:
        group = wanted.rule.group
        scene = Scene(
            targets=self._directory.targets(group),
            primary=self._directory.primary(group),
            zone=self._zone,
            running=dict(self._running),
        )
        asked = Asked(rule=wanted.rule, writes=writes, seen=wanted.seen, avoid=avoid, begins=begins)
        return choose(asked, scene, self._directory.samples(group), now())

    def _holder(self, group: str, name: str, faults: int) -> str | None:
        target = self._directory.target(group, name)
        if target is None:
            return None
        ranked = self._relay.holders(target)
        return ranked[faults % len(ranked)].name

    def _learn(self, group: str, leading: bool, outcome: Outcome, asked: float) -> None:
        if leading and outcome.ok and outcome.position:
            self._directory.samples(group).add(asked, outcome.position)


def _log(
    wanted: Wanted, step: Step, choice: Choice, holder: str, outcome: Outcome, seconds: float
) -> None:
    logs.event(
        "statement",
        request=step.request_id,
        team=wanted.team,
        verb=step.statement.verb.value,
        target=choice.target,
        holder=holder,
        why=choice.why,
        after=_text(choice.after),
        outcome=outcome.kind.value if outcome.kind else "ok",
        detail=outcome.detail,
        ms=round(seconds * 1000, 1),
    )


def _text(position: Position | None) -> str:
    return f"{position.term}.{position.index}" if position else ""

"""Run single statements and transactions over this host's links to targets."""

import asyncio
import itertools
import secrets
from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.concurrency import TurnOutcome
from wagtailloft.controllers.target_loads import MIN_UNRESPONSIVE_S
from wagtailloft.errors import Kind, NoResponse, NotSent
from wagtailloft.fleet.messages import StatementRequest, StatementResponse
from wagtailloft.fleet.records import PrimaryAssignment, Target
from wagtailloft.fleet.store_cache import OLD_CACHE_AGE_S
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.link_pool import LinkPool
from wagtailloft.groups.link_use import (
    LinkUse,
    confirms_commit,
    kind_without_response,
    turn_outcome_of,
    turn_request_for,
)
from wagtailloft.groups.member_gate import Gate, OpenGate
from wagtailloft.groups.pace_control import PaceControl
from wagtailloft.groups.ports import LinkFactory
from wagtailloft.groups.target_scheduler import Turn
from wagtailloft.models import Position
from wagtailloft.sessions.statements import (
    STOPPING,
    StatementResult,
    TransactionState,
    Verb,
    not_executed,
)

MIN_WRITE_BUDGET_S = (
    0.1  # above a typical write, since a write that times out has an unknown outcome
)
LINK_WAIT_LIMIT_S = 0.25  # must fit into SAMPLE_MARGIN_S, so that reads stay within their max_age
FIRST_ID_RANGE = 1 << 62  # transaction IDs of two processes of a host differ, and fit 64 bits
BEGIN_VERBS = (Verb.BEGIN, Verb.BEGIN_READ)
DRAIN_LIMIT_S = 1.0  # time for running statements to end in a planned change of primary


class LocalExecutor:
    """Run statements over this host's links and keep its open transactions."""

    def __init__(
        self,
        *,
        directory: GroupDirectory,
        link_factory: LinkFactory,
        adaptive_pace: bool = False,
        gate: Gate | None = None,
    ) -> None:
        self._gate = gate or OpenGate()
        self.unresponsive_after: Callable[[str], float] = lambda target: MIN_UNRESPONSIVE_S
        self.on_unresponsive: Callable[[str, str, str], None] = lambda group, target, reason: None
        self.on_turn: Callable[[int, float], None] = lambda priority_class, waited: None
        self._directory = directory
        self._link_factory = link_factory
        self._pace = PaceControl(directory=directory, adaptive=adaptive_pace)
        self._pools: dict[tuple[str, str, int], LinkPool] = {}
        self._transactions: dict[int, LinkUse] = {}
        # Other hosts call an earlier process's transactions at this one.
        self._transaction_ids = itertools.count(secrets.randbelow(FIRST_ID_RANGE) + 1)
        self._acquiring = 0  # statements that wait for a link
        self._is_stopping = False
        self._acknowledged_positions: dict[str, Position] = {}
        self._draining: dict[str, PrimaryAssignment] = {}  # by the target that is replaced

    @property
    def active(self) -> int:
        """Return how many statements and transactions hold a link or wait for one."""
        return self._acquiring + sum(len(p.in_use) for p in self._pools.values())

    @property
    def pools(self) -> tuple[LinkPool, ...]:
        """Return the pools of links to the targets that this host has used."""
        return tuple(self._pools.values())

    async def run(self, request: StatementRequest) -> StatementResponse:
        """Run one statement, in the open transaction that the request names, if any."""
        if request.transaction_id:
            return await self._run_in_transaction(request)
        return await self._run_new(request)

    def rollback(self, transaction_id: int) -> None:
        """Roll back an open transaction by closing its link."""
        transaction = self._transactions.get(transaction_id)
        if transaction is None:
            return
        transaction.link.close()
        if not transaction.busy:  # else its running statement fails and releases the link
            del self._transactions[transaction_id]
            transaction.release()

    def end_refused(self, may_continue: Callable[[Target, bool], bool]) -> int:
        """Roll back idle transactions at members that may not go on; return their number.

        may_continue takes a member and whether it is used as primary. What waits for a turn at a
        member that may not go on is refused.
        """
        evacuated = _not_sent(Kind.ZONE_EVACUATED, "the zone is evacuated")
        for pool, as_primary in itertools.product(self._pools.values(), (True, False)):
            if not may_continue(pool.target, as_primary):
                pool.scheduler.reject_waiters(evacuated, as_primary=as_primary)
        ended = [
            transaction_id
            for transaction_id, use in self._transactions.items()
            if not use.busy and not may_continue(use.pool.target, use.request.require_primary)
        ]
        for transaction_id in ended:
            self.rollback(transaction_id)
        return len(ended)

    async def fence(self, assignment: PrimaryAssignment, immediate: bool) -> Position | None:
        """Stop the work that uses the replaced target as primary.

        Return the last acknowledged position. Unless immediate, running work gets DRAIN_LIMIT_S to
        end before its links are closed.
        """
        pools = [p for p in self._pools.values() if p.target.name == assignment.replaced]
        replaced = _not_sent(Kind.NO_PRIMARY, "the primary is being replaced")
        for pool in pools:
            pool.scheduler.reject_waiters(replaced, as_primary=True)
        if not immediate:
            await self._drain(assignment, pools)
        for pool in pools:
            pool.abort(pool.primary_links)
        for transaction_id, transaction in list(self._transactions.items()):
            if transaction.link.closed and not transaction.busy:
                self.rollback(transaction_id)
        return self._acknowledged_positions.get(assignment.group)

    async def _drain(self, assignment: PrimaryAssignment, pools: list[LinkPool]) -> None:
        """Wait until no work uses the replaced target as primary, for DRAIN_LIMIT_S at most."""
        deadline = now() + DRAIN_LIMIT_S
        self._draining[assignment.replaced] = assignment
        try:
            while now() < deadline and any(p.primary_links for p in pools):
                await asyncio.sleep(0.005)
        finally:
            if self._draining.get(assignment.replaced) is assignment:
                del self._draining[assignment.replaced]

    def close_stale(self) -> None:
        """Close links to targets that were removed or restarted, and surplus idle links."""
        for key, pool in list(self._pools.items()):
            listed = self._directory.target(key[0], key[1])
            if listed is None or listed.started != key[2]:
                pool.close_idle()
                if pool.is_unused:
                    del self._pools[key]
            pool.close_surplus()

    async def stop(self, until: float) -> None:
        """Begin nothing new, roll back transactions as they become idle, and wait for statements.

        Return once nothing uses a link, or at the given time of clock.now().
        """
        self._is_stopping = True
        for pool in self._pools.values():
            pool.scheduler.reject_waiters(_not_sent(STOPPING.kind, STOPPING.detail))
        while self.active and now() < until:
            for transaction_id, transaction in list(self._transactions.items()):
                if not transaction.busy:
                    self.rollback(transaction_id)
            await asyncio.sleep(0.005)

    def close(self) -> None:
        """Close all links."""
        for pool in self._pools.values():
            pool.close_idle()
            pool.abort(pool.in_use)

    def close_unowned(self, is_owned: Callable[[Target], bool]) -> None:
        """Close idle links to targets that other hosts own now."""
        for pool in self._pools.values():
            if not is_owned(pool.target):
                pool.close_idle()

    def _pool(self, target: Target) -> LinkPool:
        key = (target.group, target.name, target.started)
        if key not in self._pools:
            limit = self._directory.rule(target.group).max_links
            self._pools[key] = LinkPool(
                target=target,
                limit=limit,
                link_factory=self._link_factory,
                concurrency=self._pace.limit_for(target),
            )
        return self._pools[key]

    async def _run_new(self, request: StatementRequest) -> StatementResponse:
        if self._is_stopping:
            return StatementResponse(outcome=STOPPING)
        target = self._directory.target(request.group, request.target)
        if target is None:
            return StatementResponse(
                outcome=not_executed(Kind.TARGET_UNREACHABLE, "the target is not listed")
            )
        refused = self._gate.refuse_new(target, request)
        if refused is not None:
            return StatementResponse(outcome=refused)
        pool = self._pool(target)
        self._pace.note_use(pool, as_primary=request.require_primary)
        started_at = now()
        link_wait = (
            request.budget if request.require_primary else min(request.budget, LINK_WAIT_LIMIT_S)
        )
        self._acquiring += 1
        turn_request = turn_request_for(
            request, started_at + link_wait, as_primary=request.require_primary
        )
        try:
            link, turn = await pool.acquire(turn_request)
        except NotSent as exc:
            kind = exc.kind or Kind.TARGET_UNREACHABLE
            if kind is Kind.TARGET_UNREACHABLE:
                self.on_unresponsive(request.group, request.target, str(exc))
            return StatementResponse(
                outcome=not_executed(kind, str(exc)), load=pool.scheduler.load()
            )
        finally:
            self._acquiring -= 1
        pool.in_use.add(link)
        self.on_turn(turn_request.priority_class, turn.waited)
        refusal = self._refusal_of_new(request, target, now() - started_at)
        if refusal is not None:
            turn.end(TurnOutcome.ABANDONED)
            pool.release(link)
            return StatementResponse(outcome=refusal, load=pool.scheduler.load())
        if request.require_primary:
            pool.primary_links.add(link)
            self._log_aged_assignment(request)
        link_use = LinkUse(pool=pool, link=link, request=request)
        try:
            remaining = request.budget - (now() - started_at)
            limit = min(remaining, request.attempt_timeout or remaining)
            outcome = await self._send(link_use, turn, request, limit)
        except BaseException:
            link.close()
            link_use.release()
            raise
        load = pool.scheduler.load()
        if request.opens_transaction and outcome.ok and not link.closed:
            transaction_id = next(self._transaction_ids)
            self._transactions[transaction_id] = link_use
            return StatementResponse(outcome=outcome, transaction_id=transaction_id, load=load)
        if outcome.state is not TransactionState.IDLE:
            link.close()
        link_use.release()
        return StatementResponse(outcome=outcome, load=load)

    def _refusal_of_new(
        self, request: StatementRequest, target: Target, waited: float
    ) -> StatementResult | None:
        """Return why a statement that got its turn after so many seconds may not begin."""
        if self._is_stopping:
            return STOPPING
        if request.require_primary:
            may_use = self._directory.may_use_as_primary(request.group, request.target)
            if not may_use or not self._directory.accepts_new_work(target):
                return not_executed(Kind.NO_PRIMARY, "this host may not use the target as primary")
        remaining = request.budget - waited
        if request.bound.statement.writes and remaining < MIN_WRITE_BUDGET_S:
            return not_executed(Kind.DEADLINE, f"{remaining:.3f} s left are too few for a write")
        return None

    async def _run_in_transaction(self, request: StatementRequest) -> StatementResponse:
        transaction = self._transactions.get(request.transaction_id)
        if transaction is None or transaction.busy:
            return StatementResponse(
                outcome=not_executed(
                    Kind.TRANSACTION_LOST, "the transaction is not open or is busy"
                )
            )
        require_primary = transaction.request.require_primary
        if require_primary and not self._directory.may_use_as_primary(
            request.group, request.target
        ):
            self.rollback(request.transaction_id)
            return StatementResponse(
                outcome=not_executed(Kind.TRANSACTION_LOST, "the primary is being replaced")
            )
        if require_primary:
            self._log_aged_assignment(request)
        transaction.busy = True
        try:
            outcome = await self._send_in_turn(transaction, request)
        except BaseException:
            transaction.link.close()
            raise
        finally:
            transaction.busy = False
            if transaction.link.closed and self._transactions.pop(request.transaction_id, None):
                transaction.release()
        load = transaction.pool.scheduler.load()
        if outcome.state is TransactionState.OPEN and not transaction.link.closed:
            return StatementResponse(
                outcome=outcome, transaction_id=request.transaction_id, load=load
            )
        if self._transactions.pop(request.transaction_id, None):
            if outcome.state is not TransactionState.IDLE:
                transaction.link.close()
            transaction.release()
        return StatementResponse(outcome=outcome, load=load)

    async def _send_in_turn(
        self, transaction: LinkUse, request: StatementRequest
    ) -> StatementResult:
        """Wait for the turn of a statement of an open transaction, and run it."""
        if request.bound.statement.verb is Verb.ROLLBACK:  # takes no slot at the target
            return await self._send(transaction, None, request, request.budget)
        started_at = now()
        as_primary = transaction.request.require_primary
        deadline = started_at + request.budget
        try:
            turn = await transaction.pool.scheduler.begin(
                turn_request_for(request, deadline, as_primary=as_primary)
            )
        except NotSent as exc:
            transaction.link.close()
            return not_executed(Kind.TRANSACTION_LOST, str(exc))
        if transaction.link.closed:
            turn.end(TurnOutcome.ABANDONED)
            return not_executed(Kind.TRANSACTION_LOST, "the transaction ended while it waited")
        if as_primary and not self._directory.may_use_as_primary(request.group, request.target):
            turn.end(TurnOutcome.ABANDONED)
            transaction.link.close()
            return not_executed(Kind.TRANSACTION_LOST, "the primary is being replaced")
        remaining = request.budget - (now() - started_at)
        least = min(MIN_WRITE_BUDGET_S, request.budget / 2)
        if request.bound.statement.verb is Verb.COMMIT and remaining < least:
            turn.end(TurnOutcome.ABANDONED)
            transaction.link.close()
            detail = f"{remaining:.3f} s left are too few for a commit"
            return not_executed(Kind.TRANSACTION_LOST, detail)
        return await self._send(transaction, turn, request, remaining)

    async def _send(
        self, link_use: LinkUse, turn: Turn | None, request: StatementRequest, budget: float
    ) -> StatementResult:
        """Send a statement when the gate admits it, and end its turn once it is answered or lost.

        The wait for the gate is no part of the answer time, nor its refusal one by the target.
        """
        began, sent_at = now(), None
        turn_outcome = TurnOutcome.ABANDONED
        at_primary = link_use.request.require_primary
        try:
            refused = await self._gate.admit(
                link_use.pool.target, request, as_primary=at_primary, budget=budget
            )
            if refused is not None:
                if request.transaction_id:
                    link_use.link.close()
                return refused
            sent_at = now()
            budget -= sent_at - began
            outcome = await self._send_on_link(link_use, request, budget)
            if request.bound.statement.verb not in BEGIN_VERBS:  # these take no slot at the target
                turn_outcome = turn_outcome_of(outcome)
            if turn_outcome is TurnOutcome.FAILED and budget < MIN_UNRESPONSIVE_S:
                turn_outcome = TurnOutcome.ABANDONED  # cut off by its deadline
            return outcome
        finally:
            if turn is not None:
                turn.end(turn_outcome, 0.0 if sent_at is None else now() - sent_at)

    async def _send_on_link(
        self, link_use: LinkUse, request: StatementRequest, budget: float
    ) -> StatementResult:
        link = link_use.link
        at_primary = link_use.request.require_primary
        sent_at = now()
        limit = self.unresponsive_after(request.target)
        timer = asyncio.get_running_loop().call_later(
            limit, self._report_if_unresponsive, link_use.pool, limit, sent_at
        )
        samples = self._directory.samples(request.group)
        basis = self._directory.basis(request.group) if at_primary else None
        if at_primary:
            samples.statement_sent()
        try:
            outcome = await link.run(request.bound, max(0.001, budget))
        except NotSent as exc:
            link.close()
            return not_executed(Kind.TARGET_UNREACHABLE, str(exc))
        except NoResponse as exc:
            link.close()
            return StatementResult(
                kind=kind_without_response(request), detail=str(exc), state=TransactionState.FAILED
            )
        finally:
            timer.cancel()
            if at_primary:
                samples.statement_returned()
        if at_primary and outcome.ok and not self._may_pass_on(request, basis):
            link.close()
            detail = "the primary may have been replaced before it answered"
            logs.event(
                "late_answer_dropped",
                request=request.bound.request_id,
                group=request.group,
                target=request.target,
                ms=round((now() - sent_at) * 1000, 1),
            )
            return StatementResult(
                kind=kind_without_response(request), detail=detail, state=TransactionState.FAILED
            )
        if at_primary and outcome.ok and outcome.position:
            samples.add(sent_at, outcome.position)
        if outcome.ok and outcome.position and confirms_commit(request):
            known = self._acknowledged_positions.get(request.group)
            if known is None or outcome.position > known:
                self._acknowledged_positions[request.group] = outcome.position
        return outcome

    def _may_pass_on(
        self, request: StatementRequest, basis: tuple[PrimaryAssignment | None, int] | None
    ) -> bool:
        """Tell whether no other member can have been promoted before the primary answered.

        basis is what its use rested on when the request was sent.

        A planned replacement waits for statements that run when it begins, though not longer for
        a host that does not answer than until its assignment has expired.
        """
        if self._directory.was_primary_throughout(request.group, request.target, basis):
            return True
        fence = self._draining.get(request.target)
        cache = self._directory.cache
        return (
            fence is not None
            and cache.assignment(request.group) == fence
            and cache.may_finish_at_replaced(request.group)
        )

    def _log_aged_assignment(self, request: StatementRequest) -> None:
        """Log the use of a primary whose assignment may have changed without this host knowing.

        Without a cut or an outage, the cache is younger than OLD_CACHE_AGE_S.
        """
        cache = self._directory.cache
        age = cache.assignments_age()
        if age > OLD_CACHE_AGE_S:
            logs.event(
                "aged_assignment_used",
                request=request.bound.request_id,
                group=request.group,
                target=request.target,
                epoch=self._directory.assignment_or_initial(request.group).epoch,
                age=round(age, 3),
                limit=cache.assignment_max_age,
            )

    def _report_if_unresponsive(self, pool: LinkPool, limit: float, sent_at: float) -> None:
        """Report a target that has sent nothing on any link since a statement was sent."""
        last_heard = max(
            (getattr(other, "last_received_at", 0.0) for other in pool.in_use), default=0.0
        )
        if asyncio.get_running_loop().time() - last_heard < limit:
            return
        group, target = pool.target.group, pool.target.name
        self.on_unresponsive(group, target, f"no response for {now() - sent_at:.3f} s")


def _not_sent(kind: Kind, detail: str) -> NotSent:
    exc = NotSent(detail)
    exc.kind = kind
    return exc

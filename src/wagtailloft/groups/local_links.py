"""Work over this host's links to targets: single statements and open transactions."""

import asyncio
import itertools
from collections.abc import Callable

from wagtailloft.clock import now
from wagtailloft.controllers.fairness import Ticket
from wagtailloft.errors import Kind, NoResponse, NotSent
from wagtailloft.fleet.messages import StatementRequest, StatementResponse
from wagtailloft.fleet.records import PrimaryAssignment, Target
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.link_pool import LinkPool
from wagtailloft.groups.ports import Link, LinkFactory
from wagtailloft.models import Position
from wagtailloft.sessions.statements import Outcome, State, Verb, refused

WRITE_LEAST_S = 0.1  # above a usual write; one cut short has an unknown outcome
SILENCE_S = 0.18  # above the longest usual statement; asking in vain costs two slots' use
WAIT_LIMIT_S = 0.25  # within the margin that is left when a position is chosen for a read
SETTLE_LIMIT_S = 1.0  # how long a planned change of primary lets running work end


class _Transaction:
    """Hold the link that a transaction is bound to."""

    def __init__(
        self, *, pool: LinkPool, link: Link, ticket: Ticket, request: StatementRequest, began: float
    ) -> None:
        self.pool = pool
        self.link = link
        self.ticket = ticket
        self.request = request
        self.began = began
        self.busy = False

    def end(self) -> None:
        """Give the link back; one inside a transaction is closed, which rolls back."""
        self.pool.give_back(self.link, self.ticket, now() - self.began)


class LocalLinks:
    """Run work over this host's links."""

    def __init__(self, *, directory: GroupDirectory, link_factory: LinkFactory) -> None:
        self.on_unresponsive: Callable[[str, str, str], None] = lambda group, target, why: None
        self._directory = directory
        self._link_factory = link_factory
        self._pools: dict[tuple[str, str, int], LinkPool] = {}
        self._transactions: dict[int, _Transaction] = {}
        self._numbers = itertools.count(1)
        self._acknowledged: dict[str, Position] = {}

    @property
    def active(self) -> int:
        """Return how many statements and transactions hold a link."""
        return sum(len(p.running) for p in self._pools.values())

    async def run(self, request: StatementRequest) -> StatementResponse:
        """Run one piece of work."""
        if request.transaction_id:
            return await self._step(request)
        return await self._first(request)

    def rollback(self, number: int) -> None:
        """Roll back an open transaction by closing its link."""
        transaction = self._transactions.pop(number, None)
        if transaction:
            transaction.link.close()
            if not transaction.busy:
                transaction.end()

    async def fence(self, assignment: PrimaryAssignment, immediate: bool) -> Position | None:
        """Let no work on the replaced primary run on; return the last confirmed position."""
        until = now() + (0.0 if immediate else SETTLE_LIMIT_S)
        pools = [p for p in self._pools.values() if p.target.name == assignment.replaced]
        while now() < until and any(p.primary_links for p in pools):
            await asyncio.sleep(0.005)
        for pool in pools:
            pool.cut(pool.primary_links)
        for number, transaction in list(self._transactions.items()):
            if transaction.link.closed and not transaction.busy:
                self.rollback(number)
        return self._acknowledged.get(assignment.group)

    def close_stale(self) -> None:
        """Close links to targets that are gone."""
        for key, pool in list(self._pools.items()):
            listed = self._directory.target(key[0], key[1])
            if listed is None or listed.started != key[2]:
                pool.close()
                if not pool.running:
                    del self._pools[key]
            pool.trim()

    def close(self) -> None:
        """Close every link."""
        for pool in self._pools.values():
            pool.close()
            pool.cut(pool.running)

    def release(self, keep: Callable[[Target], bool]) -> None:
        """Close idle links to targets whose links other hosts hold now."""
        for pool in self._pools.values():
            if not keep(pool.target):
                pool.close()

    def _pool(self, target: Target) -> LinkPool:
        key = (target.group, target.name, target.started)
        if key not in self._pools:
            limit = self._directory.rule(target.group).max_links
            self._pools[key] = LinkPool(target=target, limit=limit, link_factory=self._link_factory)
        return self._pools[key]

    async def _first(self, request: StatementRequest) -> StatementResponse:
        target = self._directory.target(request.group, request.target)
        if target is None:
            return StatementResponse(
                outcome=refused(Kind.TARGET_UNREACHABLE, "the target is not listed")
            )
        pool = self._pool(target)
        began = now()
        patience = request.budget if request.require_primary else min(request.budget, WAIT_LIMIT_S)
        try:
            link, ticket = await pool.take(request.team, began + patience)
        except NotSent as exc:
            kind = exc.kind or Kind.TARGET_UNREACHABLE
            if kind is Kind.TARGET_UNREACHABLE:
                self.on_unresponsive(request.group, request.target, str(exc))
            return StatementResponse(outcome=refused(kind, str(exc)))
        pool.running.add(link)
        if request.require_primary:
            pool.primary_links.add(link)
            if not self._directory.may_use_as_primary(request.group, request.target):
                pool.give_back(link, ticket, 0.0)
                return StatementResponse(
                    outcome=refused(Kind.NO_PRIMARY, "the primary is not settled")
                )
        left = request.budget - (now() - began)
        if request.bound.statement.writes and left < WRITE_LEAST_S:
            pool.give_back(link, ticket, 0.0)
            return StatementResponse(
                outcome=refused(Kind.DEADLINE, f"{left:.3f} s are too short to write")
            )
        transaction = _Transaction(
            pool=pool, link=link, ticket=ticket, request=request, began=began
        )
        try:
            outcome = await self._send(transaction, request, left)
        except BaseException:
            link.close()
            transaction.end()
            raise
        if request.opens_transaction and outcome.ok and not link.closed:
            number = next(self._numbers)
            self._transactions[number] = transaction
            return StatementResponse(outcome=outcome, transaction_id=number)
        if outcome.state is not State.IDLE:
            link.close()
        transaction.end()
        return StatementResponse(outcome=outcome)

    async def _step(self, request: StatementRequest) -> StatementResponse:
        transaction = self._transactions.get(request.transaction_id)
        if transaction is None or transaction.busy:
            return StatementResponse(
                outcome=refused(Kind.TRANSACTION_LOST, "its connection is gone")
            )
        require_primary = transaction.request.require_primary
        if require_primary and not self._directory.may_use_as_primary(
            request.group, request.target
        ):
            self.rollback(request.transaction_id)
            return StatementResponse(
                outcome=refused(Kind.TRANSACTION_LOST, "the primary is being replaced")
            )
        transaction.busy = True
        try:
            outcome = await self._send(transaction, request, request.budget)
        except BaseException:
            transaction.link.close()
            raise
        finally:
            transaction.busy = False
            if transaction.link.closed and self._transactions.pop(request.transaction_id, None):
                transaction.end()
        if outcome.state is State.OPEN and not transaction.link.closed:
            return StatementResponse(outcome=outcome, transaction_id=request.transaction_id)
        if self._transactions.pop(request.transaction_id, None):
            if outcome.state is not State.IDLE:
                transaction.link.close()
            transaction.end()
        return StatementResponse(outcome=outcome)

    async def _send(
        self, transaction: _Transaction, request: StatementRequest, budget: float
    ) -> Outcome:
        link = transaction.link
        watch = asyncio.get_running_loop().call_later(
            SILENCE_S, self._check_silence, transaction.pool, link, now()
        )
        try:
            outcome = await link.run(request.bound, max(0.001, budget))
        except NotSent as exc:
            link.close()
            return refused(Kind.TARGET_UNREACHABLE, str(exc))
        except NoResponse as exc:
            link.close()
            return Outcome(kind=unanswered(request), detail=str(exc), state=State.FAILED)
        finally:
            watch.cancel()
        if outcome.ok and outcome.position and _acknowledges(request):
            known = self._acknowledged.get(request.group)
            if known is None or outcome.position > known:
                self._acknowledged[request.group] = outcome.position
        return outcome

    def _check_silence(self, pool: LinkPool, link: Link, since: float) -> None:
        """Report a target that has sent nothing on any link since a statement went out."""
        last = max((getattr(other, "heard", 0.0) for other in pool.running), default=0.0)
        if asyncio.get_running_loop().time() - last < SILENCE_S:
            return
        group, target = pool.target.group, pool.target.name
        self.on_unresponsive(group, target, f"silent for {now() - since:.3f} s")


def _acknowledges(request: StatementRequest) -> bool:
    """Tell whether a success says that something was committed."""
    statement = request.bound.statement
    if statement.verb is Verb.COMMIT:
        return True
    return statement.writes and not request.transaction_id


def unanswered(request: StatementRequest) -> Kind:
    """Return what is known of work whose answer never came."""
    statement = request.bound.statement
    if request.transaction_id or request.opens_transaction:
        commits = statement.verb is Verb.COMMIT
        return Kind.OUTCOME_UNKNOWN if commits else Kind.TRANSACTION_LOST
    return Kind.OUTCOME_UNKNOWN if statement.writes else Kind.NO_ANSWER

"""This host's links to targets: shared fairly by teams, one link a statement or transaction."""

import asyncio
import itertools
from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.fairness import FairQueue, Ticket
from wagtailloft.errors import Kind, NotSent, Silent
from wagtailloft.fleet.messages import Work, Worked
from wagtailloft.fleet.records import Lead, Target
from wagtailloft.groups.directory import Directory
from wagtailloft.groups.ports import Connect, Link, Opening
from wagtailloft.models import Position
from wagtailloft.sessions.statements import Outcome, State, Verb, refused

QUEUE_LIMIT = 200  # statements of one team that may wait for a link of one target
USUAL_SHARE = 0.5  # of a target's connections; the rest is free at once after a power loss
SPARE_LINKS = 1  # left for a promoter's questions, which count at the target too
FULL_S = 0.04  # between two attempts at a target that has no connection left for this host
CAPPED_S = 1.0  # how long a target's refusal of a connection bounds the pool
WRITE_LEAST_S = 0.1  # above a usual write; one cut short has an unknown outcome
SILENCE_S = 0.18  # above the longest usual statement; asking in vain costs two slots' use
CHARGE_LIMIT_S = (
    0.03  # two usual statements; a pause or a lost answer says nothing of the next statement's cost
)
WAIT_LIMIT_S = 0.25  # within the margin that is left when a position is chosen for a read
SETTLE_LIMIT_S = 1.0  # how long a planned change of primary lets running work end
BUSY_PAUSE_S = 0.02  # about one statement's work at a target
UNREACHABLE_S = 0.3  # between two attempts to connect to a target that could not be reached


class Pool:
    """Hold the links of one target."""

    def __init__(self, *, target: Target, limit: int, connect: Connect) -> None:
        self.target = target
        self.limit = max(1, limit - SPARE_LINKS)
        self.usual = max(1, int(limit * USUAL_SHARE))
        self.running: set[Link] = set()
        self.leading: set[Link] = set()
        self._connect = connect
        self._idle: list[Link] = []
        self._open = 0
        self._capped_until = 0.0
        self._ceiling = self.limit
        self._queue = FairQueue(slots=target.slots)
        self._waiting: dict[int, asyncio.Future] = {}
        self._unreachable: tuple[float, NotSent] | None = None

    @property
    def links(self) -> int:
        """Return how many links are open or opening."""
        return self._open

    async def take(self, team: str, until: float) -> tuple[Link, Ticket]:
        """Return a link for a team; raise NotSent with a kind if none is to be had in time."""
        ticket = await self._turn(team, until)
        idle = self._pick(team)
        if idle is not None:
            return idle, ticket
        try:
            return await self._open_link(team), ticket
        except BaseException:
            self._queue.finish(ticket, 0.0)
            self._pump()
            raise

    def give_back(self, link: Link, ticket: Ticket, used: float) -> None:
        """Return a link that may serve another statement, or that is closed."""
        self.running.discard(link)
        self.leading.discard(link)
        self._queue.finish(ticket, min(used, CHARGE_LIMIT_S))
        if link.closed:
            self._open -= 1
        else:
            self._idle.append(link)
        self._pump()

    def close(self) -> None:
        """Close idle links; running ones end first."""
        for link in self._idle:
            link.close()
            self._open -= 1
        self._idle.clear()

    def trim(self) -> None:
        """Close the links that only a burst needed."""
        while self._idle and self._open > self.usual:
            self._idle.pop(0).close()
            self._open -= 1

    def cut(self, links: set[Link]) -> None:
        """Close running links at once."""
        for link in list(links):
            link.close()

    async def _turn(self, team: str, until: float) -> Ticket:
        at = now()
        pushed = self._queue.push(team=team, weight=1.0, deadline=until, limit=QUEUE_LIMIT, now=at)
        if pushed.is_err():
            raise _no_link(pushed.err_value.kind, pushed.err_value.detail)
        ticket = pushed.ok_value
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket.number] = future
        self._pump()
        try:
            async with asyncio.timeout(max(0.0, until - at)):
                await future
        except (TimeoutError, asyncio.CancelledError) as exc:
            granted = not self._queue.remove(ticket)
            self._waiting.pop(ticket.number, None)
            if granted:
                self._reserved -= 1
                self._queue.finish(ticket, 0.0)
                self._pump()
            if isinstance(exc, asyncio.CancelledError):
                raise
            raise _no_link(Kind.QUEUE_FULL, "no link came free in time") from exc
        self._reserved -= 1
        return ticket

    _reserved = 0

    def _pump(self) -> None:
        """Let as many waiting statements go on as there are links for."""
        self._drop_closed()
        while self._free() > 0:
            ticket = self._queue.pop()
            if ticket is None:
                return
            future = self._waiting.pop(ticket.number, None)
            if future is None or future.done():
                continue
            self._reserved += 1
            future.set_result(None)

    def _free(self) -> int:
        return len(self._idle) + max(0, self._room(self.limit) - self._open) - self._reserved

    def _room(self, limit: int) -> int:
        return min(limit, self._ceiling) if now() < self._capped_until else limit

    def _drop_closed(self) -> None:
        closed = [link for link in self._idle if link.closed]
        for link in closed:
            self._idle.remove(link)
            self._open -= 1

    def _pick(self, team: str) -> Link | None:
        self._drop_closed()
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].opening.team == team:
                return self._idle.pop(index)
        return None

    async def _open_link(self, team: str) -> Link:
        if self._unreachable and now() < self._unreachable[0]:
            raise self._unreachable[1]
        if self._open >= self._room(self.usual) and self._idle:
            self._idle.pop(0).close()
            self._open -= 1
        opening = Opening(
            group=self.target.group,
            target=self.target.name,
            address=self.target.address,
            team=team,
        )
        self._open += 1
        try:
            return await self._connect.open(opening)
        except NotSent as exc:
            self._open -= 1
            if exc.kind is Kind.TOO_MANY_LINKS:
                self._capped_until = now() + CAPPED_S
                self._ceiling = max(1, self._open)
                if self._open == 0:
                    self._unreachable = (now() + FULL_S, exc)
            elif exc.kind is None:
                self._unreachable = (now() + UNREACHABLE_S, exc)
            logs.warn("link_refused", target=self.target.name, team=team, why=str(exc))
            raise
        except BaseException:
            self._open -= 1
            raise


class _Transaction:
    """Hold the link that a transaction is bound to."""

    def __init__(self, *, pool: Pool, link: Link, ticket: Ticket, work: Work, began: float) -> None:
        self.pool = pool
        self.link = link
        self.ticket = ticket
        self.work = work
        self.began = began
        self.busy = False

    def end(self) -> None:
        """Give the link back; one inside a transaction is closed, which rolls back."""
        self.pool.give_back(self.link, self.ticket, now() - self.began)


class Pools:
    """Run work over this host's links."""

    def __init__(self, *, directory: Directory, connect: Connect) -> None:
        self.on_silence: Callable[[str, str, str], None] = lambda group, target, why: None
        self._directory = directory
        self._connect = connect
        self._pools: dict[tuple[str, str, int], Pool] = {}
        self._transactions: dict[int, _Transaction] = {}
        self._numbers = itertools.count(1)
        self._acknowledged: dict[str, Position] = {}

    @property
    def active(self) -> int:
        """Return how many statements and transactions hold a link."""
        return sum(len(p.running) for p in self._pools.values())

    def acknowledged(self, group: str) -> Position | None:
        """Return the last position of a group that this host saw a commit acknowledged at."""
        return self._acknowledged.get(group)

    async def run(self, work: Work) -> Worked:
        """Run one piece of work."""
        if work.transaction:
            return await self._step(work)
        return await self._first(work)

    def forget(self, number: int) -> None:
        """Roll back an open transaction by closing its link."""
        transaction = self._transactions.pop(number, None)
        if transaction:
            transaction.link.close()
            if not transaction.busy:
                transaction.end()

    async def fence(self, lead: Lead, cut: bool) -> Position | None:
        """Let no work on the replaced primary run on; return the last confirmed position."""
        until = now() + (0.0 if cut else SETTLE_LIMIT_S)
        pools = [p for p in self._pools.values() if p.target.name == lead.replaced]
        while now() < until and any(p.leading for p in pools):
            await asyncio.sleep(0.005)
        for pool in pools:
            pool.cut(pool.leading)
        for number, transaction in list(self._transactions.items()):
            if transaction.link.closed and not transaction.busy:
                self.forget(number)
        return self._acknowledged.get(lead.group)

    def tidy(self) -> None:
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

    def _pool(self, target: Target) -> Pool:
        key = (target.group, target.name, target.started)
        if key not in self._pools:
            limit = self._directory.rule(target.group).max_links
            self._pools[key] = Pool(target=target, limit=limit, connect=self._connect)
        return self._pools[key]

    async def _first(self, work: Work) -> Worked:
        target = self._directory.target(work.group, work.target)
        if target is None:
            return Worked(outcome=refused(Kind.TARGET_UNREACHABLE, "the target is not listed"))
        pool = self._pool(target)
        began = now()
        patience = work.budget if work.leading else min(work.budget, WAIT_LIMIT_S)
        try:
            link, ticket = await pool.take(work.team, began + patience)
        except NotSent as exc:
            kind = exc.kind or Kind.TARGET_UNREACHABLE
            if kind is Kind.TARGET_UNREACHABLE:
                self.on_silence(work.group, work.target, str(exc))
            return Worked(outcome=refused(kind, str(exc)))
        pool.running.add(link)
        if work.leading:
            pool.leading.add(link)
            if not self._directory.may_lead(work.group, work.target):
                pool.give_back(link, ticket, 0.0)
                return Worked(outcome=refused(Kind.NO_PRIMARY, "the primary is not settled"))
        left = work.budget - (now() - began)
        if work.step.statement.writes and left < WRITE_LEAST_S:
            pool.give_back(link, ticket, 0.0)
            return Worked(outcome=refused(Kind.DEADLINE, f"{left:.3f} s are too short to write"))
        transaction = _Transaction(pool=pool, link=link, ticket=ticket, work=work, began=began)
        try:
            outcome = await self._send(transaction, work, left)
        except BaseException:
            link.close()
            transaction.end()
            raise
        if work.begins and outcome.ok and not link.closed:
            number = next(self._numbers)
            self._transactions[number] = transaction
            return Worked(outcome=outcome, transaction=number)
        if outcome.state is not State.IDLE:
            link.close()
        transaction.end()
        return Worked(outcome=outcome)

    async def _step(self, work: Work) -> Worked:
        transaction = self._transactions.get(work.transaction)
        if transaction is None or transaction.busy:
            return Worked(outcome=refused(Kind.TRANSACTION_LOST, "its connection is gone"))
        leading = transaction.work.leading
        if leading and not self._directory.may_lead(work.group, work.target):
            self.forget(work.transaction)
            return Worked(outcome=refused(Kind.TRANSACTION_LOST, "the primary is being replaced"))
        transaction.busy = True
        try:
            outcome = await self._send(transaction, work, work.budget)
        except BaseException:
            transaction.link.close()
            raise
        finally:
            transaction.busy = False
            if transaction.link.closed and self._transactions.pop(work.transaction, None):
                transaction.end()
        if outcome.state is State.OPEN and not transaction.link.closed:
            return Worked(outcome=outcome, transaction=work.transaction)
        if self._transactions.pop(work.transaction, None):
            if outcome.state is not State.IDLE:
                transaction.link.close()
            transaction.end()
        return Worked(outcome=outcome)

    async def _send(self, transaction: _Transaction, work: Work, budget: float) -> Outcome:
        link = transaction.link
        watch = asyncio.get_running_loop().call_later(
            SILENCE_S, self._check_silence, transaction.pool, link, now()
        )
        try:
            outcome = await link.run(work.step, max(0.001, budget))
        except NotSent as exc:
            link.close()
            return refused(Kind.TARGET_UNREACHABLE, str(exc))
        except Silent as exc:
            link.close()
            return Outcome(kind=unanswered(work), detail=str(exc), state=State.FAILED)
        finally:
            watch.cancel()
        if outcome.ok and outcome.position and _acknowledges(work):
            known = self._acknowledged.get(work.group)
            if known is None or outcome.position > known:
                self._acknowledged[work.group] = outcome.position
        return outcome

    def _check_silence(self, pool: Pool, link: Link, since: float) -> None:
        """Report a target that has sent nothing on any link since a statement went out."""
        last = max((getattr(other, "heard", 0.0) for other in pool.running), default=0.0)
        if asyncio.get_running_loop().time() - last < SILENCE_S:
            return
        group, target = pool.target.group, pool.target.name
        self.on_silence(group, target, f"silent for {now() - since:.3f} s")


def _acknowledges(work: Work) -> bool:
    """Tell whether a success says that something was committed."""
    statement = work.step.statement
    if statement.verb is Verb.COMMIT:
        return True
    return statement.writes and not work.transaction


def _no_link(kind: Kind, detail: str) -> NotSent:
    exc = NotSent(detail)
    exc.kind = kind
    return exc


def unanswered(work: Work) -> Kind:
    """Return what is known of work whose answer never came."""
    statement = work.step.statement
    if work.transaction or work.begins:
        commits = statement.verb is Verb.COMMIT
        return Kind.OUTCOME_UNKNOWN if commits else Kind.TRANSACTION_LOST
    return Kind.OUTCOME_UNKNOWN if statement.writes else Kind.NO_ANSWER

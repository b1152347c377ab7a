"""The links of one target: shared fairly by teams, one link a statement or transaction."""

import asyncio
import math

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.fairness import FairQueue, Ticket
from wagtailloft.errors import Kind, NotSent
from wagtailloft.fleet.records import Target
from wagtailloft.groups.ports import Link, LinkFactory, LinkSpec

QUEUE_LIMIT = 200  # statements of one team that may wait for a link of one target
FREE_SHARE = 0.5  # of a target's connections, free at once after a power loss
FREE_PER_SLOT = 4  # more free connections than this would only wait for a slot
SPARE_LINKS = 1  # left for a promoter's questions, which count at the target too
FULL_S = 0.04  # between two attempts at a target that has no connection left for this host
CAPPED_S = 1.0  # how long a target's refusal of a connection bounds the pool
CHARGE_LIMIT_S = 0.03  # two usual statements; a pause or a lost answer tells no cost
UNREACHABLE_S = 0.3  # between two attempts to connect to a target that could not be reached


class LinkPool:
    """Hold the links of one target."""

    def __init__(self, *, target: Target, limit: int, link_factory: LinkFactory) -> None:
        self.target = target
        self.limit = max(1, limit - SPARE_LINKS)
        free = min(math.ceil(limit * FREE_SHARE), FREE_PER_SLOT * target.slots)
        self.usual = max(1, limit - free)
        self.running: set[Link] = set()
        self.primary_links: set[Link] = set()
        self._link_factory = link_factory
        self._idle: list[Link] = []
        self._open = 0
        self._reserved = 0
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
            self._queue.charge(ticket, 0.0)
            self._pump()
            raise

    def give_back(self, link: Link, ticket: Ticket, used: float) -> None:
        """Return a link that may serve another statement, or that is closed."""
        self.running.discard(link)
        self.primary_links.discard(link)
        self._queue.charge(ticket, min(used, CHARGE_LIMIT_S))
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
                self._queue.charge(ticket, 0.0)
                self._pump()
            if isinstance(exc, asyncio.CancelledError):
                raise
            raise _no_link(Kind.QUEUE_FULL, "no link came free in time") from exc
        self._reserved -= 1
        return ticket

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
            if self._idle[index].spec.team == team:
                return self._idle.pop(index)
        return None

    async def _open_link(self, team: str) -> Link:
        if self._unreachable and now() < self._unreachable[0]:
            raise self._unreachable[1]
        if self._open >= self._room(self.usual) and self._idle:
            self._idle.pop(0).close()
            self._open -= 1
        spec = LinkSpec(
            group=self.target.group,
            target=self.target.name,
            address=self.target.address,
            team=team,
        )
        self._open += 1
        began = now()
        try:
            link = await self._link_factory.open(spec)
            logs.event(
                "link_opened",
                target=self.target.name,
                team=team,
                links=self._open,
                ms=round((now() - began) * 1000, 1),
            )
            return link
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


def _no_link(kind: Kind, detail: str) -> NotSent:
    exc = NotSent(detail)
    exc.kind = kind
    return exc

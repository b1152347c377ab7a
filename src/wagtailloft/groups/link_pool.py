"""Pool of links to one target; a statement or transaction uses one, in its turn."""

import asyncio
import math

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.concurrency import ConcurrencyLimit, FixedLimit, TurnOutcome
from wagtailloft.controllers.scheduling import TurnRequest
from wagtailloft.errors import Kind, NotSent
from wagtailloft.fleet.records import Target
from wagtailloft.groups.ports import Link, LinkFactory, LinkSpec
from wagtailloft.groups.target_scheduler import TargetScheduler, Turn

# Statements that are on their way to a target or back while all of its slots are busy.
TURNS_IN_TRANSIT = 1
# Share of a target's connections that is kept free, so that another host can connect at once after
# a power loss of this one, while the connections of this one still count at the target.
HEADROOM_SHARE = 0.5
HEADROOM_PER_SLOT = 4  # more free connections would only wait for a slot
CONTROL_LINKS = 1  # reserved for the coordinator's status queries, which count at the target too
FULL_RETRY_S = 0.04  # between attempts to connect to a target with no connection left for this host
CAP_DURATION_S = 1.0  # how long the pool stays capped after a target refused a connection
WAKE_MARGIN_S = 0.001  # timers may fire early by the resolution of the clock
UNREACHABLE_RETRY_S = 0.3  # between attempts to connect to an unreachable target


class LinkPool:
    """Pool the links to one target; limit is the target's connection limit.

    concurrency limits the statements in progress; by default as many as the target has slots, and
    TURNS_IN_TRANSIT more.
    """

    def __init__(
        self,
        *,
        target: Target,
        limit: int,
        link_factory: LinkFactory,
        concurrency: ConcurrencyLimit | None = None,
    ) -> None:
        self.target = target
        self.limit = max(1, limit - CONTROL_LINKS)
        headroom = min(math.ceil(limit * HEADROOM_SHARE), HEADROOM_PER_SLOT * target.slots)
        self.steady_limit = max(1, limit - headroom)
        self.in_use: set[Link] = set()
        self.primary_links: set[Link] = set()
        self._link_factory = link_factory
        self._idle: list[Link] = []
        self._open_count = 0
        self._granted = 0
        self._capped_until = 0.0
        self._refused_count = self.limit  # links open when the target last refused one
        self.scheduler = TargetScheduler(
            target=target.name,
            slots=target.slots,
            limit=concurrency or FixedLimit(limit=target.slots + TURNS_IN_TRANSIT),
            reserve_link=self._reserve_link,
            return_link=self._return_link,
        )
        self._backoff: tuple[float, NotSent] | None = None

    @property
    def link_count(self) -> int:
        """Return the number of links that are open or being opened."""
        return self._open_count

    @property
    def is_unused(self) -> bool:
        """Tell whether no link is open or being opened, and no statement waits or has a turn."""
        return not (self._open_count or self.scheduler.queued or self.scheduler.in_progress)

    async def acquire(self, request: TurnRequest) -> tuple[Link, Turn]:
        """Return a link for a statement's team and its turn; raise NotSent with a kind."""
        turn = await self.scheduler.begin(request)
        self._granted -= 1
        idle = self._take_idle(request.team)
        if idle is not None:
            return idle, turn
        try:
            return await self._open_link(request.team), turn
        except BaseException as exc:
            is_unreachable = isinstance(exc, NotSent) and exc.kind is None
            turn.end(TurnOutcome.FAILED if is_unreachable else TurnOutcome.ABANDONED)
            raise

    def release(self, link: Link) -> None:
        """Return a link, open or closed, to the pool."""
        self.in_use.discard(link)
        self.primary_links.discard(link)
        if link.closed:
            self._open_count -= 1
        else:
            self._idle.append(link)
        self.scheduler.wake()

    def close_idle(self) -> None:
        """Close idle links; links in use stay open until they are released."""
        for link in self._idle:
            link.close()
            self._open_count -= 1
        self._idle.clear()

    def close_surplus(self) -> None:
        """Close idle links above the steady limit."""
        while self._idle and self._open_count > self.steady_limit:
            self._idle.pop(0).close()
            self._open_count -= 1

    def abort(self, links: set[Link]) -> None:
        """Close links at once, also those in use."""
        for link in list(links):
            link.close()

    def _reserve_link(self) -> bool:
        """Reserve a link that is idle or may be opened; return False if there is none."""
        self._discard_closed()
        if self._available() <= 0:
            return False
        self._granted += 1
        return True

    def _return_link(self) -> None:
        self._granted -= 1

    def _available(self) -> int:
        return (
            len(self._idle)
            + max(0, self._effective_limit(self.limit) - self._open_count)
            - self._granted
        )

    def _effective_limit(self, limit: int) -> int:
        return min(limit, self._refused_count) if now() < self._capped_until else limit

    def _discard_closed(self) -> None:
        closed = [link for link in self._idle if link.closed]
        for link in closed:
            self._idle.remove(link)
            self._open_count -= 1

    def _take_idle(self, team: str) -> Link | None:
        self._discard_closed()
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].spec.team == team:
                return self._idle.pop(index)
        return None

    async def _open_link(self, team: str) -> Link:
        if self._backoff and now() < self._backoff[0]:
            raise self._backoff[1]
        if self._open_count >= self._effective_limit(self.steady_limit) and self._idle:
            self._idle.pop(0).close()
            self._open_count -= 1
        spec = LinkSpec(
            group=self.target.group,
            target=self.target.name,
            address=self.target.address,
            team=team,
        )
        self._open_count += 1
        began = now()
        try:
            link = await self._link_factory.open(spec)
            logs.event(
                "link_opened",
                target=self.target.name,
                team=team,
                links=self._open_count,
                ms=round((now() - began) * 1000, 1),
            )
            return link
        except NotSent as exc:
            self._open_count -= 1
            if exc.kind is Kind.TOO_MANY_LINKS:
                self._capped_until = now() + CAP_DURATION_S
                self._refused_count = max(1, self._open_count)
                loop = asyncio.get_running_loop()
                loop.call_later(CAP_DURATION_S + WAKE_MARGIN_S, self.scheduler.wake)
                if self._open_count == 0:
                    self._backoff = (now() + FULL_RETRY_S, exc)
            elif exc.kind is None:
                self._backoff = (now() + UNREACHABLE_RETRY_S, exc)
            logs.warn("link_refused", target=self.target.name, team=team, why=str(exc))
            raise
        except BaseException:
            self._open_count -= 1
            raise


def _not_sent(kind: Kind, detail: str) -> NotSent:
    exc = NotSent(detail)
    exc.kind = kind
    return exc

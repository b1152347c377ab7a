"""Status queries and orders to group members, each over a link of its own."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.records import Target
from wagtailloft.groups.ports import Link, LinkFactory, LinkSpec, TargetStatus

QUERY_TIMEOUT_S = 0.35  # covers a connect (12 ms), a wait for a slot and a round trip across zones
PROMOTION_POLL_S = 0.04  # between checks whether a member has become primary
NO_TEAM = "-"

TargetQuery = Callable[[Link], Awaitable[TargetStatus | None]]


class TargetQueries:
    """Query the status of members, and send them orders."""

    def __init__(self, *, link_factory: LinkFactory) -> None:
        self._link_factory = link_factory

    async def query(self, target: Target, query: TargetQuery) -> TargetStatus | None:
        """Query a member; log the failure and return None if there is no answer."""
        try:
            return await self.query_or_raise(target, query)
        except (NotSent, NoResponse) as exc:
            logs.event("member_unreachable", target=target.name, why=str(exc))
            return None

    async def query_or_raise(self, target: Target, query: TargetQuery) -> TargetStatus | None:
        """Query a member over a new link; raise NotSent or NoResponse."""
        spec = LinkSpec(
            group=target.group, target=target.name, address=target.address, team=NO_TEAM
        )
        link = await self._link_factory.open(spec)
        try:
            return await query(link)
        finally:
            link.close()


async def wait_for_status(
    link: Link, is_awaited: Callable[[TargetStatus], bool], deadline: float
) -> TargetStatus | None:
    """Poll a member until its status is the awaited one; return the last, None if it gives none."""
    while True:
        status = await link.status(QUERY_TIMEOUT_S)
        done = status is None or is_awaited(status)
        if done or now() > deadline:
            return status
        await asyncio.sleep(PROMOTION_POLL_S)

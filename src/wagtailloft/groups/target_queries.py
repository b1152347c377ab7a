"""Questions to members, each over a connection of its own."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.records import Target
from wagtailloft.groups.ports import Link, LinkFactory, LinkSpec, TargetStatus
from wagtailloft.models import Role

ASK_LIMIT_S = 0.35  # a connection (12 ms), a wait for a slot, and a round trip across zones
LOOK_S = 0.04  # between looks whether a member leads
TEAM = "-"

TargetQuery = Callable[[Link], Awaitable[TargetStatus | None]]


class TargetQueries:
    """Ask members for their standing, and give them orders."""

    def __init__(self, *, link_factory: LinkFactory) -> None:
        self._link_factory = link_factory

    async def query(self, target: Target, query: TargetQuery) -> TargetStatus | None:
        """Ask a member; return None, with a log line, if there is no answer."""
        try:
            return await self.query_or_raise(target, query)
        except (NotSent, NoResponse) as exc:
            logs.event("member_unreachable", target=target.name, why=str(exc))
            return None

    async def query_or_raise(self, target: Target, query: TargetQuery) -> TargetStatus | None:
        """Ask over a connection of its own; raise NotSent or NoResponse."""
        spec = LinkSpec(group=target.group, target=target.name, address=target.address, team=TEAM)
        link = await self._link_factory.open(spec)
        try:
            return await query(link)
        finally:
            link.close()


async def wait_until_primary(link: Link, until: float) -> TargetStatus | None:
    """Look over one link until its target leads."""
    while True:
        status = await link.status(ASK_LIMIT_S)
        done = status is None or status.role is Role.PRIMARY
        if done or now() > until:
            return status
        await asyncio.sleep(LOOK_S)

"""Questions to members, each over a connection of its own."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import NotSent, Silent
from wagtailloft.fleet.records import Target
from wagtailloft.groups.ports import Connect, Link, Opening, Standing
from wagtailloft.models import Role

ASK_LIMIT_S = 0.35  # a connection (12 ms), a wait for a slot, and a round trip across zones
LOOK_S = 0.04  # between looks whether a member leads
TEAM = "-"

Question = Callable[[Link], Awaitable[Standing | None]]


class Questions:
    """Ask members for their standing, and give them orders."""

    def __init__(self, *, connect: Connect) -> None:
        self._connect = connect

    async def ask(self, target: Target, question: Question) -> Standing | None:
        """Ask a member; return None, with a log line, if there is no answer."""
        try:
            return await self.ask_surely(target, question)
        except (NotSent, Silent) as exc:
            logs.event("member_unreachable", target=target.name, why=str(exc))
            return None

    async def ask_surely(self, target: Target, question: Question) -> Standing | None:
        """Ask over a connection of its own; raise NotSent or Silent."""
        opening = Opening(group=target.group, target=target.name, address=target.address, team=TEAM)
        link = await self._connect.open(opening)
        try:
            return await question(link)
        finally:
            link.close()


async def until_leading(link: Link, until: float) -> Standing | None:
    """Look over one link until its target leads."""
    while True:
        standing = await link.status(ASK_LIMIT_S)
        leads = standing is None or standing.role is Role.PRIMARY
        if leads or now() > until:
            return standing
        await asyncio.sleep(LOOK_S)

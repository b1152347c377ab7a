"""Notice within a bounded time that a host has ended, is frozen or is cut off.

A host is suspected only if a call to it fails, and a host that holds a duty may be called by
nobody. So each host checks the one before it in the ranking by which the coordinator's duty goes:
whoever is next in rank notices the loss by itself. All others report a loss to the coordinator,
which checks it and keeps the register of hosts. Each host checks one, and is checked by one.
"""

import asyncio

from wagtailloft import logs
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.models import Host, HostState

# With the time-out of a hello, the bound within which a loss is noticed. If several hosts in a row
# are lost, their number is found by doubling, each step within a hello's time-out.
WATCH_INTERVAL_S = 0.5


class HostWatch:
    """Check the host before this one in the ranking for a key, which must be that of all hosts."""

    def __init__(self, *, hosts: Hosts, key: str) -> None:
        self._hosts = hosts
        self._key = key
        self._lost: dict[str, str] = {}  # the host that each was reported to, or nothing

    async def run(self) -> None:
        """Check at regular intervals."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Check the host before this one, and those before it as long as all are lost."""
        count = 1
        while watched := self._hosts_before(count):
            answered = await asyncio.gather(*(self._hosts.greet(h.name) for h in watched))
            lost = [h.name for h, ok in zip(watched, answered, strict=True) if not ok]
            self._lost |= {name: "" for name in lost}
            if len(lost) < len(watched) or len(watched) < count:
                break
            count *= 2
        await self._report_lost()

    def _hosts_before(self, count: int) -> list[Host]:
        """Return up to count hosts before this one, the nearest first; the last precede the first.

        Return none if this host is stopping, or alone.
        """
        ranked = self._hosts.rank_owners(self._key)
        names = [h.name for h in ranked]
        if self._hosts.own.name not in names:
            return []
        position = names.index(self._hosts.own.name)
        before = [*reversed(ranked[:position]), *reversed(ranked[position + 1 :])]
        return before[:count]

    async def _report_lost(self) -> None:
        """Tell the coordinator, whoever that is by now, of each host that this one found lost."""
        ranked = self._hosts.rank_owners(self._key)
        coordinator = ranked[0].name if ranked else self._hosts.own.name
        for name, reported_to in list(self._lost.items()):
            host = self._hosts.get(name)
            if host is None or host.state is not HostState.SUSPECT:
                del self._lost[name]
            elif reported_to != coordinator != self._hosts.own.name:
                if not await self._hosts.greet(coordinator, suspected=name):
                    return
                logs.event("host_loss_reported", host=name, to=coordinator)
                self._lost[name] = coordinator

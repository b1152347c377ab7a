"""Void every belief in a primary that is to be replaced: told to all, waited out for the rest."""

import asyncio

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, PeerConnection
from wagtailloft.fleet.messages import FenceRequest, FenceResponse, Message
from wagtailloft.fleet.records import PrimaryAssignment, Topic
from wagtailloft.fleet.store_cache import OUTAGE_ASSIGNMENT_MAX_AGE_S, StoreCache
from wagtailloft.groups.local_links import LocalLinks
from wagtailloft.models import Host, Position

FENCE_LIMIT_S = 1.3  # a planned change lets running work end for 1 s
CUT_LIMIT_S = 0.4  # a connect and a round trip across zones
LEASE_SLACK_S = 0.3  # timers' lateness and the time that sent bytes travel
RETRY_S = 0.04  # between two tries at a host that may come back at any time


class FenceProgress:
    """Count the hosts that stopped using a primary, and tell how long to wait for the others."""

    def __init__(
        self, *, assignment: PrimaryAssignment, planned: bool, count: int, began: float
    ) -> None:
        self.assignment = assignment
        self.planned = planned
        self._count = count
        self._began = began
        self._told = 1
        self._last = began

    def note(self) -> None:
        """Count one more host."""
        self._told += 1
        self._last = now()

    def wait_until(self, limit: float) -> float:
        """Return when a host that does not answer can't rely on the old lead any more."""
        if 2 * self._told > self._count:
            return self._last + limit + LEASE_SLACK_S
        return self._began + OUTAGE_ASSIGNMENT_MAX_AGE_S + limit + LEASE_SLACK_S


class FenceService:
    """Have hosts stop using a primary, and stop using it here when told."""

    def __init__(
        self, *, hosts: Hosts, mesh: Mesh, cache: StoreCache, local_links: LocalLinks
    ) -> None:
        self._hosts = hosts
        self._cache = cache
        self._local_links = local_links
        mesh.register_handler(FenceRequest, self._fenced)

    async def fence(self, assignment: PrimaryAssignment, planned: bool) -> Position | None:
        """Make every host stop using the old primary; return the last confirmed position.

        A host that does not answer has stopped when its copy of the lead is too old to use.
        """
        await self._cache.read_now(Topic.FLEET)
        known = (*self._hosts.all(), *self._hosts.recently_removed(self._cache.assignment_max_age))
        others = [h for h in known if h.name != self._hosts.own.name]
        progress = FenceProgress(
            assignment=assignment, planned=planned, count=len(others) + 1, began=now()
        )
        own = self._local_links.fence(assignment, not planned)
        calls = [self._fence_host(h, progress) for h in others]
        positions = await asyncio.gather(own, *calls)
        return max((p for p in positions if p), default=None)

    async def _fence_host(self, host: Host, progress: FenceProgress) -> Position | None:
        message = FenceRequest(assignment=progress.assignment, immediate=not progress.planned)
        limit = FENCE_LIMIT_S if progress.planned else CUT_LIMIT_S
        while now() < progress.wait_until(self._cache.assignment_max_age):
            try:
                answer = await self._hosts.call(host.name, message, limit)
            except (NotSent, NoResponse) as exc:
                if self._hosts.refuses_connections(host.name):
                    logs.event("fence_skipped", host=host.name, why=str(exc))
                    progress.note()
                    return None
                await asyncio.sleep(RETRY_S)
                continue
            progress.note()
            return answer.acknowledged if isinstance(answer, FenceResponse) else None
        logs.warn("fence_expired", host=host.name, group=progress.assignment.group)
        return None

    async def _fenced(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, FenceRequest)
        self._cache.accept_assignment(message.assignment)
        return FenceResponse(
            acknowledged=await self._local_links.fence(message.assignment, message.immediate)
        )

"""One member as its owner uses it: connections and slots."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from result import Err, Ok, Result

from wagtailloft.adapters.members import HttpMemberLink, MemberLink
from wagtailloft.errors import Refusal
from wagtailloft.gate import Gate, SlotRequest
from wagtailloft.member_link_pool import MemberLinkPool
from wagtailloft.models import Group, Member
from wagtailloft.timers import Clock

LINK_LIMIT_DIVISOR = 2

MemberLinkFactory = Callable[[Member], MemberLink]


def http_link(member: Member, source: str) -> MemberLink:
    """Return a new open connection to a member from a local IP number; raise NotSent."""
    link = HttpMemberLink(member=member, source=source)
    link.connect()
    return link


class MemberEndpoint:
    """Hold one member's connections, at most half of what it accepts, and its slots."""

    def __init__(
        self, *, group: Group, member: Member, connect: MemberLinkFactory, clock: Clock
    ) -> None:
        limit = max(1, group.connections // LINK_LIMIT_DIVISOR)
        self.member = member
        self.pool = MemberLinkPool(connect=lambda: connect(member), limit=limit)
        self.gate = Gate(slots=group.slots, clock=clock)
        self.slots = group.slots
        self._clock = clock

    def preconnect(self) -> None:
        """Connect ahead of need, one connection a slot."""
        self.pool.preconnect(self.slots)

    @contextmanager
    def acquire_link(self, request: SlotRequest) -> Iterator[Result[MemberLink, Refusal]]:
        """Wait for a slot, take a connection, and give both back; raise NotSent."""
        with self.gate.slot(request) as admitted:
            if isinstance(admitted, Err):
                yield admitted
                return
            link = self.pool.acquire(max(0.0, request.deadline - self._clock()))
            reusable = False
            try:
                yield Ok(link)
                reusable = True
            finally:
                self.pool.release(link, reusable or link.usable)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()

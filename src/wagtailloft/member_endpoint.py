"""The slots and links of one member at one owner."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

from result import Err, Ok, Result

from wagtailloft.adapters.members import HttpMemberLink, MemberLink
from wagtailloft.controllers.routing import SlotWait
from wagtailloft.errors import Refusal
from wagtailloft.gate import Gate, SlotRequest
from wagtailloft.member_link_pool import MemberLinkPool
from wagtailloft.models import Group, Member
from wagtailloft.timers import Clock

LINK_LIMIT_DIVISOR = 2  # an owner opens at most half of the connections a member accepts

MemberLinkFactory = Callable[[Member], MemberLink]


def http_link(member: Member, source: str) -> MemberLink:
    """Open a link to a member from a local IP address; raise NotSent."""
    link = HttpMemberLink(member=member, source=source)
    link.connect()
    return link


class MemberEndpoint:
    """One member of a group at its owner: a gate with the member's slots, and a pool of links.

    The pool opens at most half of the connections that the member accepts.
    """

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
        """Open links ahead of need until one per slot is idle."""
        self.pool.preconnect(self.slots)

    @contextmanager
    def acquire_link(self, request: SlotRequest) -> Iterator[Result[MemberLink, Refusal]]:
        """Wait for a slot, then acquire a link; release both at the end of the context.

        Yield a refusal if no slot was granted; raise NotSent if no link could be acquired.
        """
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
        """Close the idle links and provide no more."""
        self.pool.close()


def slot_waits(endpoints: Mapping[str, MemberEndpoint]) -> tuple[SlotWait, ...]:
    """Return the expected wait for a slot of each member."""
    return tuple(SlotWait(member=n, wait=e.gate.expected_wait()) for n, e in endpoints.items())

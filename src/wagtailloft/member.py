"""One member as its owner uses it: connections and slots."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from result import Err, Ok, Result

from wagtailloft.adapters.members import HttpMemberLink, MemberLink
from wagtailloft.connection_pool import ConnectionPool
from wagtailloft.errors import Refusal
from wagtailloft.gate import Gate, SlotRequest
from wagtailloft.models import Group, Member
from wagtailloft.timers import Clock

OWN_SHARE = 2

MakeLink = Callable[[Member], MemberLink]


def http_link(member: Member, source: str) -> MemberLink:
    """Return a new open connection to a member from a local IP number; raise NotSent."""
    link = HttpMemberLink(member=member, source=source)
    link.connect()
    return link


class MemberAccess:
    """Hold one member's connections, at most half of what it accepts, and its slots."""

    def __init__(self, *, group: Group, member: Member, connect: MakeLink, clock: Clock) -> None:
        limit = max(1, group.connections // OWN_SHARE)
        self.member = member
        self.pool = ConnectionPool(connect=lambda: connect(member), limit=limit)
        self.gate = Gate(slots=group.slots, clock=clock)
        self.slots = group.slots
        self._clock = clock

    def warm(self) -> None:
        """Connect ahead of need, one connection a slot."""
        self.pool.warm(self.slots)

    @contextmanager
    def session(self, request: SlotRequest) -> Iterator[Result[MemberLink, Refusal]]:
        """Wait for a slot, take a connection, and give both back; raise NotSent."""
        with self.gate.slot(request) as admitted:
            if isinstance(admitted, Err):
                yield admitted
                return
            link = self.pool.take(max(0.0, request.deadline - self._clock()))
            clean = False
            try:
                yield Ok(link)
                clean = True
            finally:
                self.pool.give_back(link, clean or link.usable)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()

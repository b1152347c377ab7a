"""The connections of one owner to one member."""

import threading
from collections import deque
from collections.abc import Callable

from wagtailloft.adapters.members import MemberLink
from wagtailloft.errors import NoResponse, NotSent

LinkFactory = Callable[[], MemberLink]


class MemberLinkPool:
    """Lend connections, at most so many at once, and connect ahead of need."""

    def __init__(self, *, connect: LinkFactory, limit: int) -> None:
        self._connect = connect
        self._limit = limit
        self._changed = threading.Condition()
        self._idle: deque[MemberLink] = deque()
        self._lent: set[MemberLink] = set()
        self._open_count = 0
        self._closed = False

    @property
    def limit(self) -> int:
        """Return how many connections may be open at once."""
        return self._limit

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return self._open_count

    def preconnect(self, count: int) -> None:
        """Connect until so many connections are idle or the limit is reached."""
        while True:
            with self._changed:
                if self._closed or len(self._idle) >= count or self._open_count >= self._limit:
                    return
                self._open_count += 1
            try:
                self._add_idle(self._connect_reserved())
            except (NotSent, NoResponse):
                return

    def acquire(self, timeout: float) -> MemberLink:
        """Return a connection, waiting for one so many seconds; raise NotSent if none comes."""
        with self._changed:
            ready = self._changed.wait_for(self._can_acquire, timeout=timeout)
            if not ready or self._closed:
                raise NotSent("no connection is free")
            link = self._pop_usable()
            if link is not None:
                self._lent.add(link)
                return link
            self._open_count += 1
        link = self._connect_reserved()
        with self._changed:
            self._lent.add(link)
        return link

    def release(self, link: MemberLink, reusable: bool) -> None:
        """Take a connection back; one that may not be reusable is closed."""
        with self._changed:
            self._lent.discard(link)
        if reusable and link.usable and not self._closed:
            self._add_idle(link)
            return
        with self._changed:
            self._discard(link)
            self._changed.notify()

    def abort_lent(self) -> None:
        """Break the connections that are lent, since nothing good can come over them."""
        with self._changed:
            lent = tuple(self._lent)
        for link in lent:
            link.interrupt()

    def close(self) -> None:
        """Close all idle connections and lend no more."""
        with self._changed:
            self._closed = True
            while self._idle:
                self._discard(self._idle.pop())
            self._changed.notify_all()

    def _can_acquire(self) -> bool:
        return self._closed or bool(self._idle) or self._open_count < self._limit

    def _pop_usable(self) -> MemberLink | None:
        while self._idle:
            link = self._idle.pop()
            if link.usable:
                return link
            self._discard(link)
        return None

    def _add_idle(self, link: MemberLink) -> None:
        with self._changed:
            self._idle.append(link)
            self._changed.notify()

    def _discard(self, link: MemberLink) -> None:
        self._open_count -= 1
        link.close()

    def _connect_reserved(self) -> MemberLink:
        try:
            return self._connect()
        except (NotSent, NoResponse):
            with self._changed:
                self._open_count -= 1
                self._changed.notify()
            raise

"""Pool of the links from one owner to one member."""

import threading
from collections import deque
from collections.abc import Callable

from wagtailloft.adapters.members import MemberLink
from wagtailloft.errors import NoResponse, NotSent

LinkFactory = Callable[[], MemberLink]


class MemberLinkPool:
    """Provides links to one member up to a limit of open links; can open them ahead of need."""

    def __init__(self, *, connect: LinkFactory, limit: int) -> None:
        self._connect = connect
        self._limit = limit
        self._changed = threading.Condition()
        self._idle: deque[MemberLink] = deque()
        self._acquired: set[MemberLink] = set()
        self._open_count = 0
        self._closed = False

    @property
    def limit(self) -> int:
        """Return how many links may be open at once."""
        return self._limit

    @property
    def open_count(self) -> int:
        """Return how many links are open or being opened."""
        return self._open_count

    def preconnect(self, count: int) -> None:
        """Open links until count of them are idle or the limit is reached."""
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
        """Acquire a link, waiting up to timeout seconds for a free one.

        Raise NotSent if none came free or a new one could not be opened.
        """
        with self._changed:
            ready = self._changed.wait_for(self._can_acquire, timeout=timeout)
            if not ready or self._closed:
                raise NotSent("no link to the member is free")
            link = self._pop_usable()
            if link is not None:
                self._acquired.add(link)
                return link
            self._open_count += 1
        link = self._connect_reserved()
        with self._changed:
            self._acquired.add(link)
        return link

    def release(self, link: MemberLink, reusable: bool) -> None:
        """Return an acquired link to the pool; close it unless it is reusable.

        A link that may still hold an open transaction or part of a response is not reusable.
        """
        with self._changed:
            self._acquired.discard(link)
        if reusable and link.usable and not self._closed:
            self._add_idle(link)
            return
        with self._changed:
            self._discard(link)
            self._changed.notify()

    def abort_acquired(self) -> None:
        """Interrupt the acquired links, so that calls blocked on them fail at once.

        It is used when the member was replaced as primary, since no valid response can arrive.
        """
        with self._changed:
            acquired = tuple(self._acquired)
        for link in acquired:
            link.interrupt()

    def close(self) -> None:
        """Close the idle links and provide no more."""
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

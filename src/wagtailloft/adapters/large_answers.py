"""Limit how many links receive a large answer at the same time."""

from collections import deque
from typing import Protocol


class AnswerReader(Protocol):
    """A link that waits until it may receive the rest of a large answer."""

    def resume_reading(self) -> None:
        """Receive the rest."""


class LargeAnswers:
    """Let some links receive large answers; the others wait in order.

    A link that was admitted keeps its place until it is released, so that its answer ends.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._admitted: set[AnswerReader] = set()
        self._waiting: deque[AnswerReader] = deque()

    def admit(self, link: AnswerReader) -> bool:
        """Tell whether a link may go on; if not, it is resumed when it may."""
        if link in self._admitted:
            return True
        if len(self._admitted) < self._limit and not self._waiting:
            self._admitted.add(link)
            return True
        if link not in self._waiting:
            self._waiting.append(link)
        return False

    def release(self, link: AnswerReader) -> None:
        """Give up a link's place, and resume those that may go on."""
        if link in self._waiting:
            self._waiting.remove(link)
        self._admitted.discard(link)
        while self._waiting and len(self._admitted) < self._limit:
            resumed = self._waiting.popleft()
            self._admitted.add(resumed)
            resumed.resume_reading()

"""Recent log positions of a group, to find the one that a read of bounded age must include."""

import math
from collections import deque

from wagtailloft.models import Position

RETENTION_S = 4.0  # more than the largest read age that a deployment allows, 2.5 s
MIN_SPACING_S = 0.05  # age bounds are seconds long, so closer samples add nothing
INITIAL_BACKOFF_S = 0.05  # about the usual lag of a replica
MAX_BACKOFF_S = 0.8  # a replica is tried again soon after a lag of seconds ends


class PositionSamples:
    """Position samples of a group's primary, and backoffs of replicas that lagged behind.

    Times are readings of clock.now(). in_flight counts the statements that wait for the primary's
    answer.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, Position]] = deque()
        self._backoffs: dict[str, tuple[float, float]] = {}
        self.in_flight = 0

    def statement_sent(self) -> None:
        """Count a statement that is sent to the primary."""
        self.in_flight += 1

    def statement_returned(self) -> None:
        """Count a statement to the primary as finished."""
        self.in_flight -= 1

    def add(self, requested_at: float, position: Position) -> None:
        """Add a position that the primary reported in answer to a request sent at requested_at.

        A position of a later term discards the samples of earlier terms, and one of an earlier
        term is ignored.
        """
        if self._samples and position.term < self._samples[-1][1].term:
            return
        if self._samples and position.term > self._samples[-1][1].term:
            self._samples.clear()
        if self._samples and requested_at - self._samples[-1][0] < MIN_SPACING_S:
            return
        self._samples.append((requested_at, position))
        while self._samples and requested_at - self._samples[0][0] > RETENTION_S:
            self._samples.popleft()

    def position_as_of(self, since: float) -> Position | None:
        """Return a position that includes every commit acknowledged by a time, or None.

        Of the positions that do, the oldest is returned, since more replicas have it.
        """
        for requested_at, position in self._samples:
            if requested_at >= since:
                return position
        return None

    def newest_age(self, at: float) -> float:
        """Return the age in seconds of the newest sample, infinite if there is none."""
        return at - self._samples[-1][0] if self._samples else math.inf

    def taken_after(self, after: float, spacing: float) -> list[tuple[float, Position]]:
        """Return the samples taken after a time, leaving out those closer than spacing seconds.

        The newest is always among them.
        """
        chosen: list[tuple[float, Position]] = []
        for sample in reversed(self._samples):
            if sample[0] <= after:
                break
            if not chosen or chosen[-1][0] - sample[0] >= spacing:
                chosen.append(sample)
        return chosen[::-1]

    def term(self) -> int:
        """Return the term of the latest sample, 0 if there is none."""
        return self._samples[-1][1].term if self._samples else 0

    def mark_behind(self, target: str, at: float) -> None:
        """Back off from a target that lacked a position; the pause doubles while it lags."""
        until, pause = self._backoffs.get(target, (0.0, 0.0))
        recent = at - until < 2 * MAX_BACKOFF_S
        pause = min(MAX_BACKOFF_S, pause * 2) if recent and pause else INITIAL_BACKOFF_S
        self._backoffs[target] = (at + pause, pause)

    def mark_caught_up(self, target: str) -> None:
        """End the backoff of a target that had the required position."""
        self._backoffs.pop(target, None)

    def in_backoff(self, target: str, at: float) -> bool:
        """Tell whether reads should not be sent to a target yet."""
        return target in self._backoffs and at < self._backoffs[target][0]

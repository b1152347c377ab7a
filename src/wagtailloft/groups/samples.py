"""Recent log positions of a group, to find the one that a read of bounded age must include."""

import math
from collections import deque

from wagtailloft.models import Position

RETENTION_S = 4.0  # more than the largest read age that a deployment allows, 2.5 s
MIN_SPACING_S = 0.05  # age bounds are seconds long, so closer samples add nothing
INITIAL_BACKOFF_S = 0.05  # about the usual lag of a replica
# A replica is tried again soon after a lag of seconds ends, but not by every read of a host that
# has one a second for its group.
MAX_BACKOFF_S = 1.6


class PositionSamples:
    """Position samples of a group's primary, and backoffs of replicas that lagged behind.

    Times are readings of clock.now(). in_flight counts the statements that wait for the primary's
    answer.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, Position]] = deque()
        self._backoffs: dict[str, tuple[float, float]] = {}
        self._lagged_at: dict[str, float] = {}  # by replica in _backoffs, when it was last tried
        self._lacked: dict[str, Position] = {}  # by replica in _backoffs
        self._applied: dict[str, Position] = {}  # by replica, known from reads that it served
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

    def mark_behind(self, target: str, at: float, position: Position | None = None) -> None:
        """Back off from a target that lacked a position; the pause doubles while it lags.

        It lags by the age of the position at least, and is not expected to make up for it sooner.
        Other targets that may lag are not tried sooner either: what makes one replica lag for long
        mostly makes all of them lag, and each try in vain costs a read a round trip.
        """
        until, pause = self._backoffs.get(target, (0.0, 0.0))
        recent = at - until < 2 * MAX_BACKOFF_S
        pause = pause * 2 if recent and pause else INITIAL_BACKOFF_S
        if position is not None:
            pause = max(pause, min(MAX_BACKOFF_S / 2, self._age_of(position, at)))
            self._lacked[target] = position
            if self._has(target, position):  # it was restarted from an older copy
                del self._applied[target]
        else:
            self._lacked.pop(target, None)
        pause = min(MAX_BACKOFF_S, pause)
        self._backoffs[target] = (at + pause, pause)
        self._lagged_at[target] = at
        for other, (other_until, other_pause) in list(self._backoffs.items()):
            if other != target and self.may_lag(other, at, position):
                self._backoffs[other] = (max(other_until, at + pause), other_pause)

    def mark_caught_up(self, target: str, position: Position | None = None) -> None:
        """End the backoff of a target that had the required position.

        It goes on if the target lacked a later position than this one.
        """
        if position is not None and not self._has(target, position):
            self._applied[target] = position
        lacked = self._lacked.get(target)
        if position is None or lacked is None or position >= lacked:
            self._backoffs.pop(target, None)
            self._lagged_at.pop(target, None)
            self._lacked.pop(target, None)

    def in_backoff(self, target: str, at: float, needed: Position | None = None) -> bool:
        """Tell whether reads that need a position should not be sent to a target yet."""
        return self._is_suspect(target, needed) and at < self._backoffs[target][0]

    def may_lag(self, target: str, at: float, needed: Position | None = None) -> bool:
        """Tell whether a target lagged lately and has not served such a read since."""
        if not self._is_suspect(target, needed):
            return False
        return at - self._backoffs[target][0] < 2 * MAX_BACKOFF_S

    def lagged_at(self, target: str) -> float:
        """Return when a target that may lag was last seen to lag."""
        return self._lagged_at.get(target, 0.0)

    def backoff_end(self, target: str) -> float:
        """Return when reads may be sent to a target again."""
        return self._backoffs.get(target, (0.0, 0.0))[0]

    def _is_suspect(self, target: str, needed: Position | None) -> bool:
        if target not in self._backoffs:
            return False
        lacked = self._lacked.get(target)
        if needed is None or lacked is None:
            return True
        return needed >= lacked and not self._has(target, needed)

    def _has(self, target: str, position: Position) -> bool:
        applied = self._applied.get(target)
        return applied is not None and applied >= position

    def _age_of(self, position: Position, at: float) -> float:
        """Return for how many seconds the primary has had a position at least, 0 if unknown."""
        for requested_at, sampled in self._samples:
            if sampled >= position:
                return max(0.0, at - requested_at)
        return 0.0

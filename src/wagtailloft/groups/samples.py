"""Log positions of a group over time: what a read of a stated age has to contain."""

from collections import deque

from wagtailloft.models import Position

KEPT_S = 4.0  # above the largest age that a deployment's reads allow, 2.5 s
STEP_S = 0.05  # samples closer together than this add nothing to a bound of seconds
BEHIND_FIRST_S = 0.05  # about a replica's usual lag
BEHIND_LIMIT_S = 0.8  # tries again soon after a lag of seconds ends


class PositionSamples:
    """Remember a primary's positions with the times at which they were asked for."""

    def __init__(self) -> None:
        self._taken: deque[tuple[float, Position]] = deque()
        self._behind: dict[str, tuple[float, float]] = {}
        self.asked = 0
        self.taken = 0

    def ask(self) -> None:
        """Note that a statement is on its way to the primary."""
        self.asked += 1

    def answered(self) -> None:
        """Note that a statement came back from the primary."""
        self.asked -= 1

    def add(self, asked: float, position: Position) -> None:
        """Note that a primary had a position at some time after it was asked."""
        if self._taken and position.term < self._taken[-1][1].term:
            return
        if self._taken and position.term > self._taken[-1][1].term:
            self._taken.clear()
        if self._taken and asked - self._taken[-1][0] < STEP_S:
            return
        self._taken.append((asked, position))
        self.taken += 1
        while self._taken and asked - self._taken[0][0] > KEPT_S:
            self._taken.popleft()

    def at_least(self, since: float) -> Position | None:
        """Return a position that holds all that was acknowledged until a time.

        The oldest one that does is returned, since more replicas have it.
        """
        for asked, position in self._taken:
            if asked >= since:
                return position
        return None

    def term(self) -> int:
        """Return the term of the latest sample, 0 if there is none."""
        return self._taken[-1][1].term if self._taken else 0

    def behind(self, target: str, at: float) -> None:
        """Note that a target lacked a position; pauses grow while it goes on."""
        until, pause = self._behind.get(target, (0.0, 0.0))
        recent = at - until < 2 * BEHIND_LIMIT_S
        pause = min(BEHIND_LIMIT_S, pause * 2) if recent and pause else BEHIND_FIRST_S
        self._behind[target] = (at + pause, pause)

    def level(self, target: str) -> None:
        """Note that a target had the position that was asked of it."""
        self._behind.pop(target, None)

    def is_behind(self, target: str, at: float) -> bool:
        """Tell whether a target is not worth asking yet."""
        return target in self._behind and at < self._behind[target][0]

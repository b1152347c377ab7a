"""How long promotions took, as statements that waited for them saw it.

Times are arguments, in seconds of one clock.
"""

from collections import deque
from enum import Enum

MAX_KEPT_TIMES = 8
# A promotion counts only if it was looked at this often from its order to its end. A gap before the
# order makes its time shorter, which is safe; one before the end would make it longer.
MAX_GAP_S = 0.1


class GroupPhase(Enum):
    """What a group's statements wait for."""

    HAS_PRIMARY = "has_primary"
    UNORDERED = "unordered"  # a failover has begun, and no promotion was ordered yet
    OTHER = "other"  # nothing is known about how long the group still has no primary
    ORDERED = "ordered"


class PromotionTimes:
    """Learn the times of promotions, to tell how long a group still has no primary at least."""

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=MAX_KEPT_TIMES)
        self._ordered: dict[str, tuple[float, float]] = {}  # by group: first and last seen

    def observe(self, group: str, phase: GroupPhase, at: float) -> None:
        """Take the phase of a group; call it whenever a statement looks for the primary."""
        if phase is GroupPhase.ORDERED:
            first, last = self._ordered.get(group, (at, at))
            self._ordered[group] = (first if at - last <= MAX_GAP_S else at, at)
            return
        seen = self._ordered.pop(group, None)
        if phase is GroupPhase.HAS_PRIMARY and seen and at - seen[1] <= MAX_GAP_S:
            self._times.append(at - seen[0])

    def least_wait(self, phase: GroupPhase) -> float:
        """Return for how many seconds a group in a phase has no primary at least."""
        return min(self._times, default=0.0) if phase is GroupPhase.UNORDERED else 0.0

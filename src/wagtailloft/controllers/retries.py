"""Decide whether and when a request is tried again."""

import random
from dataclasses import dataclass

PAUSE_FIRST_S = 0.005
PAUSE_LIMIT_S = 0.1
RESERVE = 10.0

FREE_REASONS = frozenset({"lock_busy", "replaced", "stale_term", "not_primary", "behind"})


@dataclass(kw_only=True)
class RetryBudget:
    """Allow retries up to a share of the traffic."""

    share: float = 0.1
    _left: float = RESERVE

    def record_request(self) -> None:
        """Count one request."""
        self._left = min(RESERVE, self._left + self.share)

    def spend(self, reason: str) -> bool:
        """Use one retry; return False if the budget is empty.

        What a member refused before starting costs it next to nothing and is not counted.
        """
        if reason in FREE_REASONS:
            return True
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def retry_delay(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before a further attempt, jittered and growing."""
    return min(PAUSE_LIMIT_S, PAUSE_FIRST_S * 2**attempt) * rng.uniform(0.5, 1.0)

"""Decide whether and when a request is retried."""

import random
from dataclasses import dataclass

INITIAL_RETRY_DELAY_S = 0.005
MAX_RETRY_DELAY_S = 0.1
MAX_BUDGET = 10.0  # retries

UNCOUNTED_REASONS = frozenset({"lock_busy", "replaced", "stale_term", "not_primary", "behind"})


@dataclass(kw_only=True)
class RetryBudget:
    """Limit retries to a share of the requests."""

    share: float = 0.1
    _remaining: float = MAX_BUDGET

    def record_request(self) -> None:
        """Count a request, which adds `share` of a retry to the budget."""
        self._remaining = min(MAX_BUDGET, self._remaining + self.share)

    def spend(self, reason: str) -> bool:
        """Take one retry from the budget; return False if less than one is left.

        A request that a member refused before it started is not counted, because the refusal costs
        the member next to nothing.
        """
        if reason in UNCOUNTED_REASONS:
            return True
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True


def retry_delay(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before the next attempt, by exponential backoff with jitter."""
    return min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2**attempt) * rng.uniform(0.5, 1.0)

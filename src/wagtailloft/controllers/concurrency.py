"""Limits on the statements in progress at a target."""

from enum import Enum
from typing import Protocol


class TurnOutcome(Enum):
    """How a turn at a target ended.

    A turn lasts from when a statement is sent to when its answer has come or its link is closed.
    """

    OK = "ok"
    SHED = "shed"  # the target refused the statement as busy
    FAILED = "failed"  # an error of the target, or no answer
    ABANDONED = "abandoned"  # ended by this side, which tells nothing about the target


class ConcurrencyLimit(Protocol):
    """Limit the turns at one target; times are readings of a monotonic clock in seconds."""

    @property
    def limit(self) -> int:
        """Return how many turns may be in progress at once, at least 1."""

    def started(self, at: float) -> None:
        """Record that a turn began."""

    def finished(self, at: float, seconds: float, outcome: TurnOutcome) -> None:
        """Record that a turn ended after so many seconds."""


class FixedLimit:
    """Allow a constant number of turns."""

    def __init__(self, *, limit: int) -> None:
        self._limit = max(1, limit)

    @property
    def limit(self) -> int:
        """Return how many turns may be in progress at once."""
        return self._limit

    def started(self, at: float) -> None:
        """Ignore the begin of a turn."""

    def finished(self, at: float, seconds: float, outcome: TurnOutcome) -> None:
        """Ignore the end of a turn."""

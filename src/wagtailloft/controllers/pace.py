"""Adaptive limit on the statements in progress at a target; docs/design/pace.md has the reasons."""

import math
from collections import deque
from enum import Enum

from wagtailloft.controllers.concurrency import TurnOutcome
from wagtailloft.models import Record

FAILURE_FACTOR = 0.5  # of the limit after shed or failed statements
# Failures among the last WINDOW_ANSWERS turns that lower the limit. Single ones say nothing about
# the pace: answers are lost on the network, and statements that take long are cut off. Once the
# limit is below the slots, each failure counts until it has risen again.
FAILURES_IN_WINDOW = 3
SLOW_FACTOR = 0.8  # of the limit after slow answers
WINDOW_ANSWERS = 10  # answers whose average is compared with the reference
# Windows in one average that may become the reference. The averages of 10 answers scatter so much
# that the least of them is a third of the mean; those of 100 answers stay within a quarter of it.
REFERENCE_WINDOWS = 10
REFERENCE_DOUBLING_S = 10.0  # time in which the reference may double
# Most that the reference rises between updates, so that slowness is noticed after an idle time.
MAX_REFERENCE_RISE = 4.0
SLOW_RATIO = 2.0  # of an average to the reference, above which it counts as slow
# Sum of the logarithms of ratio / SLOW_RATIO at which answers count as lastingly slow. A member
# that is five times slower reaches it in 3 to 4 windows.
SLOW_SUM = 3.0
MAX_WINDOW_LOG = 1.25  # most that one window adds, so that 3 windows in a row are needed
MIN_WORK_SHARE = 0.25  # of the answer time, should the round trip be overestimated
# Covers the time until every host has heard of a change. A slow start that was not needed costs
# only a few rounds of answers.
RECENT_S = 5.0
# Answers in a round of the slow start that is compared with a reference. The average of one or two
# is below twice the reference too often while a member is several times slower.
MIN_ROUND_ANSWERS = 4
REPORT_INTERVAL_S = 1.0  # between two changes of one target that are logged


class TargetStart(Enum):
    """How a target begins at an owner."""

    COLD = "cold"  # slow for a while after its start
    NEW = "new"  # started a short time ago
    PROMOTED = "promoted"  # became the primary a short time ago
    RETURNED = "returned"  # failed a short time ago
    WARM = "warm"


def choose_start(
    *,
    cold_left: float,
    age: float = math.inf,
    since_promotion: float = math.inf,
    since_failure: float = math.inf,
) -> TargetStart:
    """Return how a target begins; times are in seconds, infinite where nothing is known.

    A target that another host owned before begins as it would at its earlier owner.
    """
    if cold_left > 0:
        return TargetStart.COLD
    if since_failure < RECENT_S:
        return TargetStart.RETURNED
    if since_promotion < RECENT_S:
        return TargetStart.PROMOTED
    return TargetStart.NEW if age < RECENT_S else TargetStart.WARM


class PaceChange(Record):
    """A changed limit, to be logged; lowest is the least one since the last report.

    reason tells why the limit fell, or if it did not, why it rose.
    """

    limit: int
    lowest: int
    reason: str


class PaceLimit:
    """Raise the limit while answers are good; lower it when they are shed, fail or slow down.

    upper is the fixed limit that it never exceeds, round_trip the part of an answer's time that is
    spent on the network, and reference the usual work time of a statement, if it is known. While
    is_only_choice is set, the limit stays at half of the slots or above.
    """

    def __init__(
        self,
        *,
        upper: int,
        slots: int,
        start: TargetStart,
        round_trip: float = 0.0,
        reference: float | None = None,
        is_only_choice: bool = False,
    ) -> None:
        self.is_only_choice = is_only_choice
        self._upper = max(1, upper)
        self._slots = max(1, slots)
        self._half_of_slots = min(self._upper, math.ceil(self._slots / 2))
        self._in_slow_start = start is not TargetStart.WARM
        self._limit = 1.0 if self._in_slow_start else float(min(self._upper, self._slots))
        self._reason = start.value
        self._in_progress = 0
        self._finished = 0
        self._failures: deque[bool] = deque(maxlen=WINDOW_ANSWERS)
        self._round_end = 0  # number of finished turns after which the limit may fall again
        self._window = _Window()  # answers since the last comparison with the reference
        self._round = _Window()  # answers of the present round of the slow start
        self._slow = _SlowDetector(reference=reference)
        self._round_trip = round_trip
        self._reported_limit = 0
        self._reported_at = -math.inf
        self._lowest = self.limit  # since the last report
        self._reason_of_lowest = self._reason

    @property
    def limit(self) -> int:
        """Return how many turns may be in progress at once."""
        least = self._half_of_slots if self.is_only_choice else 1
        return max(least, int(self._limit))

    @property
    def reason(self) -> str:
        """Return why the limit last moved."""
        return self._reason

    @property
    def reference(self) -> float | None:
        """Return the usual work time of a statement in seconds, None until it is known."""
        return self._slow.reference

    def started(self, at: float) -> None:
        """Record that a turn began."""
        self._in_progress += 1

    def finished(self, at: float, seconds: float, outcome: TurnOutcome) -> None:
        """Record that a turn ended after so many seconds."""
        in_progress = max(1, self._in_progress)
        self._in_progress = in_progress - 1
        self._finished += 1
        if outcome in (TurnOutcome.SHED, TurnOutcome.FAILED):
            self._in_slow_start = False
            self._failures.append(True)
            is_below_slots = self._limit < min(self._slots, self._upper)
            if is_below_slots or sum(self._failures) >= FAILURES_IN_WINDOW:
                self._failures.clear()
                self._lower(FAILURE_FACTOR, 1, outcome.value)
        elif outcome is TurnOutcome.OK:
            self._failures.append(False)
            self._window.add(seconds, in_progress)
            if self._window.answers == WINDOW_ANSWERS:
                self._judge_window(at)
            self._raise(at, seconds, in_progress)

    def take_change(self, at: float) -> PaceChange | None:
        """Return the limit if it differs from the last one returned, at most once a second."""
        limit, lowest = self.limit, min(self.limit, self._lowest)
        fell = lowest < self._reported_limit
        if at < self._reported_at + REPORT_INTERVAL_S:
            return None
        if limit == self._reported_limit and not fell:
            return None
        reason = self._reason_of_lowest if fell else self._reason
        self._reported_limit, self._reported_at, self._lowest = limit, at, limit
        return PaceChange(limit=limit, lowest=lowest, reason=reason)

    def _judge_window(self, at: float) -> None:
        self._slow.add(at, self._window.work(self._slots, self._round_trip))
        self._window = _Window()
        if self._slow.is_slow:
            self._lower(SLOW_FACTOR, self._half_of_slots, "slow")

    def _lower(self, factor: float, least: int, reason: str) -> None:
        """Lower the limit, unless it fell after the turns that now end had begun."""
        if self._finished <= self._round_end:
            return
        self._round_end = self._finished + self._in_progress
        self._round = _Window()
        if self._limit > least:
            self._move(max(float(least), self._limit * factor), reason)

    def _raise(self, at: float, seconds: float, in_progress: int) -> None:
        most = self._half_of_slots if self._slow.is_slow else self._upper
        if self._finished <= self._round_end or self._limit >= most:
            return
        if not self._in_slow_start:
            raised = self._limit + 1 / self._limit
        else:
            self._round.add(seconds, in_progress)
            least = 1 if self._slow.reference is None else MIN_ROUND_ANSWERS
            if self._round.answers < max(least, int(self._limit)):
                return
            work = self._round.work(self._slots, self._round_trip)
            self._round = _Window()
            if self._slow.exceeds_reference(at, work):
                return
            raised = 2 * self._limit
        self._move(min(float(most), raised), "good_answers")
        self._in_slow_start = self._in_slow_start and self._limit < self._upper

    def _move(self, limit: float, reason: str) -> None:
        before = self.limit
        self._limit = limit
        if self.limit != before:
            self._reason = reason
        if self.limit < self._lowest:
            self._lowest, self._reason_of_lowest = self.limit, reason


class _Window:
    """Sum up consecutive answers."""

    def __init__(self) -> None:
        self.answers = 0
        self._seconds = 0.0
        self._in_progress = 0

    def add(self, seconds: float, in_progress: int) -> None:
        """Add an answer that came while so many turns were in progress."""
        self.answers += 1
        self._seconds += seconds
        self._in_progress += in_progress

    def work(self, slots: int, round_trip: float) -> float:
        """Return the average time in a slot, without the network and the wait for a slot.

        By Little's law, the statements at the target are the share of those in progress that the
        time at the target has in the whole time.
        """
        seconds = self._seconds / self.answers
        at_target = max(seconds - round_trip, seconds * MIN_WORK_SHARE)
        if seconds <= 0:
            return 0.0
        number = self._in_progress / self.answers * at_target / seconds
        return at_target / max(1.0, number / slots)


class _SlowDetector:
    """Tell lastingly slow answers from random ones, by a cumulative sum of windows' averages.

    The reference falls to a lower average at once, and rises slowly towards higher ones.
    """

    def __init__(self, *, reference: float | None) -> None:
        self.reference = reference
        self.is_slow = False
        self._sum = 0.0
        self._works: list[float] = []
        self._updated_at: float | None = None

    def exceeds_reference(self, at: float, work: float) -> bool:
        """Tell whether an average is slow beside the reference."""
        return self.reference is not None and work > SLOW_RATIO * self._risen_reference(at)

    def add(self, at: float, work: float) -> None:
        """Add a window's average."""
        if self.reference and work > 0:
            excess = math.log(work / (SLOW_RATIO * self._risen_reference(at)))
            self._sum = min(SLOW_SUM, max(0.0, self._sum + min(MAX_WINDOW_LOG, excess)))
            if self._sum >= SLOW_SUM:
                self.is_slow = True
            elif self.is_slow and excess <= 0:
                self.is_slow, self._sum = False, 0.0
        self._works.append(work)
        if len(self._works) == REFERENCE_WINDOWS:
            average = sum(self._works) / REFERENCE_WINDOWS
            known = self.reference is not None
            self.reference = min(average, self._risen_reference(at)) if known else average
            self._updated_at = at
            self._works.clear()

    def _risen_reference(self, at: float) -> float:
        if self._updated_at is None:
            self._updated_at = at
        doublings = max(0.0, at - self._updated_at) / REFERENCE_DOUBLING_S
        return self.reference * min(MAX_REFERENCE_RISE, 2.0 ** min(doublings, 60.0))

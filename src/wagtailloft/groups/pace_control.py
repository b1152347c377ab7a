"""Choose the limit on the statements in progress at each target that this host owns."""

import math

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.concurrency import ConcurrencyLimit, FixedLimit
from wagtailloft.controllers.pace import PaceLimit, choose_start
from wagtailloft.fleet.records import Target
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.link_pool import TURNS_IN_TRANSIT, LinkPool
from wagtailloft.metrics import Metrics


class PaceControl:
    """Create the limit of each target, and begin it anew when the target is promoted.

    Unless adaptive, each target has a constant limit.
    """

    def __init__(self, *, directory: GroupDirectory, adaptive: bool) -> None:
        self._directory = directory
        self._adaptive = adaptive
        # By group and member, the latest promotion when its limit began.
        self._promotions: dict[tuple[str, str], float] = {}

    def limit_for(self, target: Target) -> ConcurrencyLimit:
        """Return the limit of a target that this host begins to use."""
        upper = target.slots + TURNS_IN_TRANSIT
        if not self._adaptive:
            return FixedLimit(limit=upper)
        promoted_at = self._directory.promoted_at(target.group, target.name)
        self._promotions[(target.group, target.name)] = promoted_at
        start = choose_start(
            cold_left=target.cold_left,
            age=self._directory.listed_for(target.name),
            since_promotion=now() - promoted_at,
        )
        return PaceLimit(upper=upper, slots=target.slots, start=start)

    def note_use(self, pool: LinkPool, *, as_primary: bool) -> None:
        """Note a use of a target; the primary is the only member that can run writes."""
        if not self._adaptive:
            return
        target = pool.target
        if as_primary:
            promoted_at = self._directory.promoted_at(target.group, target.name)
            if promoted_at > self._promotions.get((target.group, target.name), -math.inf):
                pool.scheduler.replace_limit(self.limit_for(target))
            pool.scheduler.limit.is_only_choice = True
        elif pool.scheduler.limit.is_only_choice:
            primary = self._directory.primary(target.group)
            pool.scheduler.limit.is_only_choice = primary is None or primary.name == target.name


def report_pools(pools: tuple[LinkPool, ...], metrics: Metrics) -> None:
    """Set the gauges of the targets that this host owns, and log limits that moved."""
    gauges = (metrics.queued, metrics.busy, metrics.links, metrics.pace_limit)
    for gauge in gauges:
        gauge.clear()  # of targets that are gone
    for pool in pools:
        scheduler = pool.scheduler
        values = (
            scheduler.queued,
            scheduler.in_progress,
            pool.link_count,
            scheduler.limit.limit,
        )
        for gauge, value in zip(gauges, values, strict=True):
            gauge.labels(pool.target.group, pool.target.name).set(value)
        _log_pace_change(pool)


def _log_pace_change(pool: LinkPool) -> None:
    """Log the limit of a pool's target if it moved since the last call."""
    limit = pool.scheduler.limit
    change = limit.take_change(now()) if isinstance(limit, PaceLimit) else None
    if change is not None:
        logs.event(
            "pace_changed",
            group=pool.target.group,
            target=pool.target.name,
            limit=change.limit,
            lowest=change.lowest,
            why=change.reason,
        )

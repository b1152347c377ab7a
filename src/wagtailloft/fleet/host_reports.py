"""Count the hosts that have lately reported their primary assignments.

During an outage of the store, a host may use its assignments while a majority of the hosts has just
reported theirs. A host of each zone hears from its zone's hosts and passes on how old their reports
are, so that nobody has to ask every host of the fleet.
"""

import itertools
import math
from collections.abc import Callable

from wagtailloft.clock import now
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import AGE_UNIT_S, ZoneReport
from wagtailloft.fleet.topic_cache import NEVER

MAX_AGE_UNITS = 255
READER_TTL_S = 3.0  # how long a zone's reader that a report named is used


class HostReports:
    """Track reports of hosts, made to this host or counted by another host of their zone.

    A zone's report has no names. So it only has hosts that are registered at its revision, and
    counts from when this host knows the register as of then.
    """

    def __init__(self, *, hosts: Hosts, is_registered: Callable[[str], bool]) -> None:
        self._hosts = hosts
        self._is_registered = is_registered
        self._heard_at: dict[str, float] = {}
        self._zone_heard_at: dict[str, tuple[int, tuple[float, ...]]] = {}  # with its revision
        self._readers: dict[str, tuple[str, float]] = {}

    def add_host(self, name: str, at: float) -> None:
        """Record that a host reported its assignments as of a time."""
        self._heard_at[name] = at

    def add_zone(self, report: ZoneReport, asked_at: float) -> None:
        """Record a zone's report, which answers a request sent at asked_at.

        Hosts of a zone may have heard from more or fewer of its hosts. If one report names n hosts
        since a time, the zone has as many, whatever another says.
        """
        times = sorted((asked_at - a * AGE_UNIT_S for a in report.ages), reverse=True)
        revision, known = self._zone_heard_at.get(report.zone, (0, ()))
        latest = (max(pair) for pair in itertools.zip_longest(times, known, fillvalue=NEVER))
        since = now() - MAX_AGE_UNITS * AGE_UNIT_S
        self._zone_heard_at[report.zone] = (
            max(revision, report.revision),
            tuple(t for t in latest if t >= since),
        )
        self._readers[report.zone] = (report.reader, asked_at)

    def reader(self, zone: str) -> str:
        """Return the store reader of a zone by a recent report, empty if none names one."""
        name, at = self._readers.get(zone, ("", 0.0))
        return name if at >= now() - READER_TTL_S and self._hosts.get(name) else ""

    def zone_report(self, *, reader: str, own_counts: bool, revision: int) -> ZoneReport:
        """Return the report of this host's zone, with the name of the zone's store reader.

        revision is the one up to which this host knows the register.
        """
        at, own = now(), self._hosts.own
        names = [h.name for h in self._hosts.all() if h.zone == own.zone]
        times = [self._heard_at.get(n, 0.0) for n in names if self._is_registered(n)]
        if own_counts:
            times.append(at)
        # Rounded up, so that a report never appears younger than it is.
        units = (math.ceil((at - t) / AGE_UNIT_S) for t in times)
        return ZoneReport(
            zone=own.zone,
            ages=bytes(u for u in units if u <= MAX_AGE_UNITS),
            reader=reader,
            revision=revision,
        )

    def from_majority(self, max_age: float, *, own_counts: bool, revision: int) -> bool:
        """Tell whether a majority of hosts reported within max_age seconds.

        own_counts tells whether this host's own assignments count, revision up to which one it
        knows the register.
        """
        since = now() - max_age
        known: dict[str, int] = {}
        heard: dict[str, int] = {}
        for host in self._hosts.all():
            known[host.zone] = known.get(host.zone, 0) + 1
            reported = self._heard_at.get(host.name, 0.0) >= since
            if host.name == self._hosts.own.name:
                reported = own_counts
            if reported:
                heard[host.zone] = heard.get(host.zone, 0) + 1
        for zone, (reported_revision, times) in self._zone_heard_at.items():
            if reported_revision > revision:
                continue
            count = sum(t >= since for t in times)
            # Both may count the same hosts, and the other host may know more of them.
            heard[zone] = min(known.get(zone, 0), max(heard.get(zone, 0), count))
        return 2 * sum(heard.values()) > sum(known.values())

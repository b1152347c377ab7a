"""Cache each subject's first owners; a change of hosts updates only the rankings it affects."""

import heapq
from collections import defaultdict

from wagtailloft.controllers.ownership import Preference, is_live, preference
from wagtailloft.models import Host, HostState, Record

OWNERS_KEPT = 4  # per subject


class _Ranking(Record):
    zone: str
    entries: tuple[tuple[Preference, str], ...]  # sort key and name of each host, best first


class OwnerCache:
    """Return the owners of a subject without ranking all hosts at each call."""

    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}
        self._by_zone: dict[str, list[Host]] = {}
        self._last_hosts: tuple[Host, ...] = ()
        self._rankings: dict[str, _Ranking] = {}

    def update(self, hosts: tuple[Host, ...]) -> None:
        """Replace the known hosts.

        The call returns at once if it gets the same tuple as the last time.
        """
        if hosts is self._last_hosts:
            return
        self._last_hosts = hosts
        live = {h.name: h for h in hosts if is_live(h)}
        changed = [h for n, h in live.items() if not _is_unchanged(h, self._hosts.get(n))]
        gone = {n for n, h in self._hosts.items() if not _is_unchanged(h, live.get(n))}
        self._hosts = live
        self._by_zone = _alive_by_zone(live)
        if not changed and not gone:
            return
        for subject, ranking in list(self._rankings.items()):
            self._update_ranking(subject, ranking, gone, changed)

    def owners(self, subject: str, zone: str = "") -> tuple[Host, ...]:
        """Return the first OWNERS_KEPT live hosts of a subject, in order of preference."""
        ranking = self._rankings.get(subject)
        if ranking is None or ranking.zone != zone:
            ranking = self._rank(subject, zone)
            self._rankings[subject] = ranking
        return tuple(self._hosts[name] for _, name in ranking.entries)

    def _rank(self, subject: str, zone: str) -> _Ranking:
        # Alive hosts of the zone rank before all others, so enough of them fill the ranking.
        in_zone = self._by_zone.get(zone, ())
        hosts = in_zone if len(in_zone) >= OWNERS_KEPT else self._hosts.values()
        scored = ((preference(subject, zone, h), h.name) for h in hosts)
        return _Ranking(zone=zone, entries=tuple(heapq.nsmallest(OWNERS_KEPT, scored)))

    def _update_ranking(
        self, subject: str, ranking: _Ranking, gone: set[str], changed: list[Host]
    ) -> None:
        kept = [pair for pair in ranking.entries if pair[1] not in gone]
        if len(kept) < len(ranking.entries):
            del self._rankings[subject]
            return
        added = [(preference(subject, ranking.zone, h), h.name) for h in changed]
        worst = kept[-1] if len(kept) == OWNERS_KEPT else None
        if worst is not None and all(pair > worst for pair in added):
            return
        entries = tuple(heapq.nsmallest(OWNERS_KEPT, [*kept, *added]))
        self._rankings[subject] = _Ranking(zone=ranking.zone, entries=entries)


def _alive_by_zone(hosts: dict[str, Host]) -> dict[str, list[Host]]:
    zones: dict[str, list[Host]] = defaultdict(list)
    for host in hosts.values():
        if host.state is HostState.ALIVE:
            zones[host.zone].append(host)
    return zones


def _is_unchanged(host: Host, other: Host | None) -> bool:
    return other is not None and host == other

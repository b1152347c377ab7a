"""Remember each subject's first owners, and change only what a host's coming or going moves."""

import heapq
from collections import defaultdict

from wagtailloft.controllers.ownership import Preference, is_live, preference
from wagtailloft.models import Host, HostState, Record

OWNERS_KEPT = 4


class _Ranked(Record):
    zone: str
    best: tuple[tuple[Preference, str], ...]


class OwnerCache:
    """Answer who owns a subject without ranking all hosts anew."""

    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}
        self._by_zone: dict[str, list[Host]] = {}
        self._known: tuple[Host, ...] = ()
        self._ranked: dict[str, _Ranked] = {}

    def update(self, hosts: tuple[Host, ...]) -> None:
        """Take the hosts as they are now."""
        if hosts is self._known:
            return
        self._known = hosts
        live = {h.name: h for h in hosts if is_live(h)}
        changed = [h for n, h in live.items() if not _same(h, self._hosts.get(n))]
        gone = {n for n, h in self._hosts.items() if not _same(h, live.get(n))}
        self._hosts = live
        self._by_zone = _alive_by_zone(live)
        if not changed and not gone:
            return
        for subject, ranked in list(self._ranked.items()):
            self._change(subject, ranked, gone, changed)

    def owners(self, subject: str, zone: str = "") -> tuple[Host, ...]:
        """Return the first few live hosts of a subject in order of preference."""
        ranked = self._ranked.get(subject)
        if ranked is None or ranked.zone != zone:
            ranked = self._rank(subject, zone)
            self._ranked[subject] = ranked
        return tuple(self._hosts[name] for _, name in ranked.best)

    def _rank(self, subject: str, zone: str) -> _Ranked:
        near = self._by_zone.get(zone, ())
        hosts = near if len(near) >= OWNERS_KEPT else self._hosts.values()
        scored = ((preference(subject, zone, h), h.name) for h in hosts)
        return _Ranked(zone=zone, best=tuple(heapq.nsmallest(OWNERS_KEPT, scored)))

    def _change(self, subject: str, ranked: _Ranked, gone: set[str], changed: list[Host]) -> None:
        kept = [pair for pair in ranked.best if pair[1] not in gone]
        if len(kept) < len(ranked.best):
            del self._ranked[subject]
            return
        added = [(preference(subject, ranked.zone, h), h.name) for h in changed]
        worst = kept[-1] if len(kept) == OWNERS_KEPT else None
        if worst is not None and all(pair > worst for pair in added):
            return
        best = tuple(heapq.nsmallest(OWNERS_KEPT, [*kept, *added]))
        self._ranked[subject] = _Ranked(zone=ranked.zone, best=best)


def _alive_by_zone(hosts: dict[str, Host]) -> dict[str, list[Host]]:
    zones: dict[str, list[Host]] = defaultdict(list)
    for host in hosts.values():
        if host.state is HostState.ALIVE:
            zones[host.zone].append(host)
    return zones


def _same(host: Host, other: Host | None) -> bool:
    return other is not None and host == other

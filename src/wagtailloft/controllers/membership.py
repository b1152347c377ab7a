"""Learn from peers which hosts live: probes, suspicion, incarnations, and news that wears off."""

import math
import random
from dataclasses import dataclass

import msgspec

from wagtailloft.models import Host, HostState

SUSPECT_S = 1.5
REAP_S = 5.0
NEWS_LIMIT = 10
SENDS_FACTOR = 3

RANK = {
    HostState.ALIVE: 0,
    HostState.SUSPECT: 1,
    HostState.LEAVING: 2,
    HostState.DEAD: 3,
}


@dataclass(kw_only=True)
class _Peer:
    host: Host
    since: float
    sends: int = 0


class Membership:
    """Keep this host's belief about every host."""

    def __init__(self, *, own: Host, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._peers: dict[str, _Peer] = {own.name: _Peer(host=own, since=0.0)}
        self._round: list[str] = []
        self._listed: tuple[Host, ...] | None = None

    @property
    def own(self) -> Host:
        """Return this host as it describes itself."""
        return self._own

    def hosts(self) -> tuple[Host, ...]:
        """Return every known host, by name; the same tuple until something changes."""
        if self._listed is None:
            self._listed = tuple(p.host for _, p in sorted(self._peers.items()))
        return self._listed

    def find(self, name: str) -> Host | None:
        """Return a host by name."""
        peer = self._peers.get(name)
        return peer.host if peer else None

    def leave(self, now: float) -> None:
        """Tell that this host is stopping."""
        self._own = msgspec.structs.replace(self._own, state=HostState.LEAVING)
        self._put(self._own, now)

    def merge(self, host: Host, now: float) -> bool:
        """Take news of a host if it is newer; return whether it was."""
        if host.name == self._own.name:
            return self._refute(host, now)
        known = self._peers.get(host.name)
        if known is not None and not _newer(host, known.host):
            return False
        self._put(host, now)
        return True

    def mark_alive(self, name: str, now: float) -> None:
        """Note that a host answered; a suspicion of ours ends."""
        peer = self._peers.get(name)
        if peer is not None and peer.host.state is HostState.SUSPECT:
            self._put(msgspec.structs.replace(peer.host, state=HostState.ALIVE), now)

    def mark_suspect(self, name: str, now: float) -> None:
        """Note that a host answered neither us nor those we asked to probe it."""
        peer = self._peers.get(name)
        if peer is not None and peer.host.state in (HostState.ALIVE, HostState.LEAVING):
            self._put(msgspec.structs.replace(peer.host, state=HostState.SUSPECT), now)

    def expire_suspects(self, now: float) -> tuple[Host, ...]:
        """Return the hosts whose suspicion has just become death."""
        died = []
        for peer in list(self._peers.values()):
            if peer.host.state is HostState.SUSPECT and now - peer.since >= SUSPECT_S:
                self._put(msgspec.structs.replace(peer.host, state=HostState.DEAD), now)
                died.append(peer.host)
        return tuple(died)

    def removable(self, now: float) -> tuple[Host, ...]:
        """Return the hosts that have been dead for a while."""
        return tuple(
            p.host
            for p in self._peers.values()
            if p.host.state is HostState.DEAD and now - p.since >= REAP_S
        )

    def forget(self, name: str) -> None:
        """Forget a host that the platform no longer lists."""
        if name != self._own.name:
            self._peers.pop(name, None)
            self._listed = None

    def next_probes(self, count: int) -> tuple[Host, ...]:
        """Return the next hosts to probe, so that each comes once a round."""
        others = {p.host.name for p in self._peers.values() if self._probed(p.host)}
        chosen: list[Host] = []
        for _ in range(min(count, len(others))):
            if not self._round:
                self._round = sorted(others)
                self._rng.shuffle(self._round)
            name = self._round.pop()
            if name in others:
                chosen.append(self._peers[name].host)
        return tuple(chosen)

    def indirect_probers(self, name: str, count: int) -> tuple[Host, ...]:
        """Return hosts that may probe another one for us."""
        live = [
            p.host
            for p in self._peers.values()
            if p.host.state is HostState.ALIVE and p.host.name not in (name, self._own.name)
        ]
        return tuple(self._rng.sample(live, min(count, len(live))))

    def next_updates(self) -> tuple[Host, ...]:
        """Return the news sent least often, until each was sent often enough."""
        enough = SENDS_FACTOR * math.ceil(math.log2(len(self._peers) + 1))
        fresh = [p for p in self._peers.values() if p.sends < enough]
        fresh.sort(key=lambda p: p.sends)
        chosen = fresh[:NEWS_LIMIT]
        for peer in chosen:
            peer.sends += 1
        return tuple(p.host for p in chosen)

    def _probed(self, host: Host) -> bool:
        return host.name != self._own.name and host.state is not HostState.DEAD

    def _put(self, host: Host, now: float) -> None:
        self._listed = None
        peer = self._peers.get(host.name)
        if peer is None or peer.host.state is not host.state:
            self._peers[host.name] = _Peer(host=host, since=now)
            return
        peer.host = host
        peer.sends = 0

    def _refute(self, host: Host, now: float) -> bool:
        if host.incarnation < self._own.incarnation or host.state is self._own.state:
            return False
        if host.incarnation == self._own.incarnation and host.state is HostState.ALIVE:
            return False
        self._own = msgspec.structs.replace(self._own, incarnation=host.incarnation + 1)
        self._put(self._own, now)
        return True


def _newer(host: Host, known: Host) -> bool:
    if host.incarnation != known.incarnation:
        return host.incarnation > known.incarnation
    return RANK[host.state] > RANK[known.state]

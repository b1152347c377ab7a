"""Track which hosts are alive, with probes, suspicion, incarnations and gossiped updates.

The update of a host is sent a limited number of times, which grows with the number of hosts.
"""

import math
import random
from dataclasses import dataclass

import msgspec

from wagtailloft.models import Host, HostState

SUSPICION_TIMEOUT_S = 1.5
DEAD_RETENTION_S = 5.0
MAX_UPDATES_PER_DIGEST = 10
RETRANSMIT_FACTOR = 3  # an update is sent at most this factor times log2(hosts)

# Within one incarnation, a state replaces those with a lower value.
STATE_PRECEDENCE = {
    HostState.ALIVE: 0,
    HostState.SUSPECT: 1,
    HostState.LEAVING: 2,
    HostState.DEAD: 3,
}


@dataclass(kw_only=True)
class _Peer:
    host: Host
    state_since: float
    transmissions: int = 0
    was_leaving: bool = False  # before it was suspected


class Membership:
    """Track the state of every host as this host knows it."""

    def __init__(self, *, own: Host, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._peers: dict[str, _Peer] = {own.name: _Peer(host=own, state_since=0.0)}
        self._probe_order: list[str] = []
        self._hosts_cache: tuple[Host, ...] | None = None

    @property
    def own(self) -> Host:
        """Return this host's description of itself."""
        return self._own

    def hosts(self) -> tuple[Host, ...]:
        """Return every known host, sorted by name; the same tuple until something changes."""
        if self._hosts_cache is None:
            self._hosts_cache = tuple(p.host for _, p in sorted(self._peers.items()))
        return self._hosts_cache

    def find(self, name: str) -> Host | None:
        """Return a host by name, or None if it is unknown."""
        peer = self._peers.get(name)
        return peer.host if peer else None

    def leave(self, now: float) -> None:
        """Mark this host as leaving."""
        self._own = msgspec.structs.replace(self._own, state=HostState.LEAVING)
        self._put(self._own, now)

    def merge(self, host: Host, now: float) -> bool:
        """Apply an update about a host if it is newer; return whether it changed anything.

        An update that gives this host a wrong state is refuted by a higher incarnation, as is one
        of an earlier process with a higher incarnation, after which the clock was set back.
        """
        if host.name == self._own.name:
            return self._refute(host, now)
        known = self._peers.get(host.name)
        if known is not None and not _is_newer(host, known.host):
            return False
        self._put(host, now)
        return True

    def mark_alive(self, name: str, now: float) -> None:
        """Return a suspected host to the state that it had before, because it answered."""
        peer = self._peers.get(name)
        if peer is not None and peer.host.state is HostState.SUSPECT:
            state = HostState.LEAVING if peer.was_leaving else HostState.ALIVE
            self._put(msgspec.structs.replace(peer.host, state=state), now)

    def mark_suspect(self, name: str, now: float) -> None:
        """Suspect a host that answered neither this host nor the indirect probers."""
        peer = self._peers.get(name)
        if peer is not None and peer.host.state in (HostState.ALIVE, HostState.LEAVING):
            was_leaving = peer.host.state is HostState.LEAVING
            self._put(msgspec.structs.replace(peer.host, state=HostState.SUSPECT), now)
            self._peers[name].was_leaving = was_leaving

    def expire_suspects(self, now: float) -> tuple[Host, ...]:
        """Mark hosts as dead after SUSPICION_TIMEOUT_S of suspicion, and return them."""
        dead = []
        for peer in list(self._peers.values()):
            if (
                peer.host.state is HostState.SUSPECT
                and now - peer.state_since >= SUSPICION_TIMEOUT_S
            ):
                self._put(msgspec.structs.replace(peer.host, state=HostState.DEAD), now)
                dead.append(peer.host)
        return tuple(dead)

    def removable_hosts(self, now: float) -> tuple[Host, ...]:
        """Return the hosts that have been dead for at least DEAD_RETENTION_S."""
        return tuple(
            p.host
            for p in self._peers.values()
            if p.host.state is HostState.DEAD and now - p.state_since >= DEAD_RETENTION_S
        )

    def forget(self, name: str) -> None:
        """Forget a host that the platform no longer lists."""
        if name != self._own.name:
            self._peers.pop(name, None)
            self._hosts_cache = None

    def next_probes(self, count: int) -> tuple[Host, ...]:
        """Return the next hosts to probe, in an order that visits each host once per round."""
        others = {p.host.name for p in self._peers.values() if self._is_probed(p.host)}
        chosen: list[Host] = []
        for _ in range(min(count, len(others))):
            if not self._probe_order:
                self._probe_order = sorted(others)
                self._rng.shuffle(self._probe_order)
            name = self._probe_order.pop()
            if name in others:
                chosen.append(self._peers[name].host)
        return tuple(chosen)

    def pick_dead(self) -> Host | None:
        """Return a random dead host, which may only have been cut off, or None if none is dead."""
        dead = [p.host for p in self._peers.values() if p.host.state is HostState.DEAD]
        return self._rng.choice(dead) if dead else None

    def indirect_probers(self, name: str, count: int) -> tuple[Host, ...]:
        """Return random hosts that are alive and can probe another host on behalf of this one."""
        alive = [
            p.host
            for p in self._peers.values()
            if p.host.state is HostState.ALIVE and p.host.name not in (name, self._own.name)
        ]
        return tuple(self._rng.sample(alive, min(count, len(alive))))

    def next_updates(self) -> tuple[Host, ...]:
        """Return the least often sent updates that are still below the transmission limit."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._peers) + 1))
        pending = [p for p in self._peers.values() if p.transmissions < limit]
        pending.sort(key=lambda p: p.transmissions)
        chosen = pending[:MAX_UPDATES_PER_DIGEST]
        for peer in chosen:
            peer.transmissions += 1
        return tuple(p.host for p in chosen)

    def _is_probed(self, host: Host) -> bool:
        return host.name != self._own.name and host.state is not HostState.DEAD

    def _put(self, host: Host, now: float) -> None:
        self._hosts_cache = None
        peer = self._peers.get(host.name)
        if peer is None or peer.host.state is not host.state:
            self._peers[host.name] = _Peer(host=host, state_since=now)
            return
        peer.host = host
        peer.transmissions = 0

    def _refute(self, host: Host, now: float) -> bool:
        if host.incarnation < self._own.incarnation:
            return False
        is_own = msgspec.structs.replace(host, state=self._own.state) == self._own
        if is_own and host.state in (self._own.state, HostState.ALIVE):
            return False
        self._own = msgspec.structs.replace(self._own, incarnation=host.incarnation + 1)
        self._put(self._own, now)
        return True


def _is_newer(host: Host, known: Host) -> bool:
    if host.incarnation != known.incarnation:
        return host.incarnation > known.incarnation
    return STATE_PRECEDENCE[host.state] > STATE_PRECEDENCE[known.state]

"""The hosts of the fleet as this host sees them, and calls to them."""

import asyncio
from collections.abc import Callable

import msgspec

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers import ownership
from wagtailloft.errors import NoResponse, NotSent, WagtailError
from wagtailloft.fleet.mesh import ConnectionRefused, Mesh, PeerConnection
from wagtailloft.fleet.messages import Hello, HelloReply, Message
from wagtailloft.models import Host, HostState

GREET_LIMIT_S = 0.6  # a connect and a round trip across zones
RETRY_S = 0.5  # a restarted process greets by itself; this finds healed cuts


class Hosts:
    """Know the hosts, greet them, and call them by name."""

    def __init__(self, *, own: Host, mesh: Mesh) -> None:
        self.own = own
        self._mesh = mesh
        self._cards: dict[str, Host] = {own.name: own}
        self._ranks: dict[tuple[str, str], tuple[Host, ...]] = {}
        self._refused: set[str] = set()
        self._greeting: set[str] = set()
        self._suspected: dict[str, float] = {}
        self._gone: dict[str, tuple[Host, float]] = {}
        self.on_change: list[Callable[[], None]] = []
        mesh.register_handler(Hello, self._greeted)

    def all(self) -> tuple[Host, ...]:
        """Return every known host."""
        return tuple(self._cards.values())

    def get(self, name: str) -> Host | None:
        """Return a host by name."""
        return self._cards.get(name)

    def live(self) -> tuple[Host, ...]:
        """Return the hosts that are not suspected and not stopping."""
        return tuple(h for h in self._cards.values() if h.state is HostState.ALIVE)

    def refuses_connections(self, name: str) -> bool:
        """Tell whether the host's machine said last that no process listens there."""
        return name in self._refused

    def has_ended(self, name: str, process: int) -> bool:
        """Tell whether a process is known to have ended: another runs there, or none does."""
        if self.refuses_connections(name):
            return True
        host = self._cards.get(name)
        return host is not None and host.incarnation not in (0, process)

    def rank_owners(self, key: str, zone: str = "") -> tuple[Host, ...]:
        """Return live hosts in order of preference for a subject, those of a zone first."""
        cache_key = (key, zone)
        if cache_key not in self._ranks:
            self._ranks[cache_key] = ownership.owners(key, self.live(), zone)
        return self._ranks[cache_key]

    def in_zone(self, zone: str) -> tuple[Host, ...]:
        """Return the live hosts of an availability zone, by name."""
        near = (h for h in self.live() if h.zone == zone)
        return tuple(sorted(near, key=lambda h: h.name))

    def zones(self) -> tuple[str, ...]:
        """Return the availability zones that have live hosts."""
        return tuple(sorted({h.zone for h in self.live()}))

    def add(self, host: Host) -> None:
        """Take a host that another source names; what this host knows first-hand stays."""
        known = self._cards.get(host.name)
        if known is None or (known.ip, known.peer_port) != (host.ip, host.peer_port):
            self._put(host)
            if host.name != self.own.name:
                self._greet_soon(host)

    def remove(self, name: str) -> None:
        """Drop a host that is gone for good."""
        host = self._cards.get(name)
        if host is None or name == self.own.name:
            return
        del self._cards[name]
        self._gone[name] = (host, now())
        self._changed()

    def recently_removed(self, seconds: float) -> tuple[Host, ...]:
        """Return the hosts that were dropped within so many seconds and did not come back."""
        since = now() - seconds
        gone = [h for h, at in self._gone.values() if at >= since]
        return tuple(h for h in gone if h.name not in self._cards)

    def suspected_for(self, seconds: float) -> tuple[Host, ...]:
        """Return the hosts that have been suspected for so many seconds."""
        until = now() - seconds
        return tuple(
            h
            for h in self._cards.values()
            if h.state is HostState.SUSPECT and self._suspected.get(h.name, now()) <= until
        )

    def leave(self) -> None:
        """Tell every live host that this one is stopping."""
        self.own = msgspec.structs.replace(self.own, state=HostState.LEAVING)
        self._put(self.own)
        for host in self.live():
            self._greet_soon(host)

    async def call(self, name: str, message: Message, limit: float) -> Message:
        """Call a host; raise NotSent or NoResponse, and suspect it if its connection failed."""
        host = self._cards.get(name)
        if host is None:
            raise NotSent(f"no host {name!r}")
        address = (host.ip, host.peer_port)
        try:
            answer = await self._mesh.call(address, message, limit)
        except (NotSent, NoResponse) as exc:
            self._failed(host, exc)
            raise
        self._answered(name)
        return answer

    async def join_through_seed(self, ip: str) -> None:
        """Greet a host of which only the address is known; all use one port for each other."""
        await self._greet_at((ip, self.own.peer_port), joins=True)

    async def retry_suspected(self) -> None:
        """Greet suspected hosts again and again."""
        while True:
            await asyncio.sleep(RETRY_S)
            for host in self.all():
                if host.state is HostState.SUSPECT:
                    self._greet_soon(host)

    async def _greeted(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, Hello)
        host = message.host
        known = self._cards.get(host.name)
        self._refused.discard(host.name)
        if known != host:
            logs.event("host_seen", host=host.name, state=host.state.value, ip=host.ip)
            self._put(host)
        return HelloReply(host=self.own, known_hosts=self.all() if message.is_joining else ())

    def _greet_soon(self, host: Host) -> None:
        if host.name in self._greeting or host.name == self.own.name:
            return
        self._greeting.add(host.name)
        task = asyncio.get_running_loop().create_task(
            self._greet_at((host.ip, host.peer_port), host.name)
        )
        task.add_done_callback(lambda _: self._greeting.discard(host.name))

    async def _greet_at(
        self, address: tuple[str, int], name: str = "", joins: bool = False
    ) -> None:
        message = Hello(host=self.own, is_joining=joins)
        try:
            answer = await self._mesh.call(address, message, GREET_LIMIT_S)
        except (NotSent, NoResponse) as exc:
            host = self._cards.get(name)
            if host:
                self._failed(host, exc, sure=True)
            return
        if not isinstance(answer, HelloReply):
            return
        self._refused.discard(answer.host.name)
        if self._cards.get(answer.host.name) != answer.host:
            self._put(answer.host)
        for host in answer.known_hosts:
            if host.name not in self._cards:
                self.add(host)

    def _failed(self, host: Host, exc: WagtailError, sure: bool = False) -> None:
        if isinstance(exc, ConnectionRefused):
            self._refused.add(host.name)
        elif isinstance(exc, NotSent):
            self._refused.discard(host.name)
        known = self._cards.get(host.name)
        if known is None or known.state is HostState.SUSPECT:
            return
        if sure or not self._mesh.connected((known.ip, known.peer_port)):
            self._suspected[host.name] = now()
            logs.warn("host_suspected", host=host.name, why=str(exc))
            self._put(msgspec.structs.replace(known, state=HostState.SUSPECT))

    def _answered(self, name: str) -> None:
        self._refused.discard(name)
        host = self._cards.get(name)
        if host and host.state is HostState.SUSPECT:
            logs.event("host_recovered", host=name)
            self._put(msgspec.structs.replace(host, state=HostState.ALIVE))

    def _put(self, host: Host) -> None:
        self._cards[host.name] = host
        self._changed()

    def _changed(self) -> None:
        self._ranks.clear()
        for hook in self.on_change:
            hook()

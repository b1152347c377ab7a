"""The fleet's hosts as this host sees them, and calls to them."""

import asyncio
from collections.abc import Callable

import msgspec

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers import ownership
from wagtailloft.errors import NoResponse, NotSent, WagtailError
from wagtailloft.fleet.mesh import Mesh, PeerConnection
from wagtailloft.fleet.messages import Hello, HelloReply, Message
from wagtailloft.fleet.records import HOST_RECORD_PREFIX, Entry, HostRecord
from wagtailloft.models import Host, HostState

HELLO_TIMEOUT_S = 0.6  # covers a connect and a round trip across zones
# Finds hosts reachable again after a network partition; a restarted process says hello itself.
HELLO_RETRY_S = 0.5


class Hosts:
    """Track the hosts of the fleet, exchange hellos with them, and call them by name."""

    def __init__(self, *, own: Host, mesh: Mesh) -> None:
        self.own = own
        self._mesh = mesh
        self._hosts: dict[str, Host] = {own.name: own}
        self._rankings: dict[tuple[str, str], tuple[Host, ...]] = {}
        self._hello_tasks: dict[str, asyncio.Task[None]] = {}
        self._suspected_since: dict[str, float] = {}
        self._registered_since: dict[str, float] = {}
        self._withdrawn_since: dict[str, float] = {}
        self._removed: dict[str, tuple[Host, float]] = {}
        self.on_change: list[Callable[[], None]] = []
        mesh.register_handler(Hello, self._handle_hello)

    def all(self) -> tuple[Host, ...]:
        """Return every known host."""
        return tuple(self._hosts.values())

    def get(self, name: str) -> Host | None:
        """Return a host by name."""
        return self._hosts.get(name)

    def live(self) -> tuple[Host, ...]:
        """Return the hosts that are not suspected and not stopping."""
        return tuple(h for h in self._hosts.values() if h.state is HostState.ALIVE)

    async def has_ended(self, process_name: str) -> bool:
        """Ask a process's host which process runs there; tell whether that proves an end.

        The process must have acted before the call. It has ended if another one answers at its
        address, where only one can listen. A refused or reset connection, silence, or a host that
        is not known proves nothing.
        """
        name = process_name.rpartition("/")[0]
        host = self._hosts.get(name)
        if host is None:
            return False
        if name != self.own.name:
            reply = await self._exchange_hello((host.ip, host.peer_port), name)
            if reply is None or reply.host.name != name:
                return False
            host = reply.host
        return host.process_name != process_name

    def rank_owners(self, key: str, zone: str = "") -> tuple[Host, ...]:
        """Return the live hosts in order of preference as owner of a key, a zone's hosts first."""
        cache_key = (key, zone)
        if cache_key not in self._rankings:
            self._rankings[cache_key] = ownership.owners(key, self.live(), zone)
        return self._rankings[cache_key]

    def in_zone(self, zone: str) -> tuple[Host, ...]:
        """Return the live hosts of an availability zone, by name."""
        zone_hosts = (h for h in self.live() if h.zone == zone)
        return tuple(sorted(zone_hosts, key=lambda h: h.name))

    def zones(self) -> tuple[str, ...]:
        """Return the availability zones that have live hosts."""
        return tuple(sorted({h.zone for h in self.live()}))

    def add(self, host: Host) -> None:
        """Add a host that the store or another host names, and say hello to it.

        This host's own entry never comes from others, which may know an earlier process. A host
        already known at this address stays as it is: its state comes from its own hellos and from
        calls to it.
        """
        if host.name == self.own.name:
            return
        known = self._hosts.get(host.name)
        if known is None or (known.ip, known.peer_port) != (host.ip, host.peer_port):
            self._put(host)
            self._schedule_hello(host)

    def follow_register(self, entry: Entry) -> None:
        """Follow a change of a host's registration: withdrawn, renewed or deleted."""
        if not entry.name.startswith(HOST_RECORD_PREFIX):
            return
        name = entry.name.removeprefix(HOST_RECORD_PREFIX)
        if isinstance(entry.value, HostRecord) and not entry.value.withdrawn:
            self._withdrawn_since.pop(name, None)
            # Between two records, a registration may have been deleted without this host knowing.
            self._registered_since[name] = now()
            return
        self._registered_since.pop(name, None)
        if entry.value is None:
            self.remove(name)
        else:
            self._withdrawn_since.setdefault(name, now())

    def is_registered(self, name: str) -> bool:
        """Tell whether a host is registered, and its registration is not withdrawn."""
        return name in self._registered_since

    def registered_for(self, name: str) -> float:
        """Return for how many seconds this process has known a host's present registration."""
        return now() - self._registered_since.get(name, now())

    def withdrawn_for(self, name: str) -> float:
        """Return for how many seconds a host's registration has been known to be withdrawn."""
        return now() - self._withdrawn_since.get(name, now())

    def remove(self, name: str) -> None:
        """Remove a host that has left the fleet."""
        host = self._hosts.get(name)
        if host is None or name == self.own.name:
            return
        del self._hosts[name]
        self._removed[name] = (host, self._withdrawn_since.pop(name, now()))
        self._notify_change()

    def recently_removed(self, seconds: float) -> tuple[Host, ...]:
        """Return the removed hosts that were still registered within so many seconds.

        A registration may also vanish without its host's doing, with a store that came back from an
        older copy.
        """
        since = now() - seconds
        self._removed = {
            n: (h, at)
            for n, (h, at) in self._removed.items()
            if at >= since and n not in self._hosts
        }
        return tuple(h for h, _ in self._removed.values())

    def suspected_for(self, seconds: float) -> tuple[Host, ...]:
        """Return the hosts that have been suspected for so many seconds."""
        until = now() - seconds
        return tuple(
            h
            for h in self._hosts.values()
            if h.state is HostState.SUSPECT and self._suspected_since.get(h.name, now()) <= until
        )

    def leave(self) -> None:
        """Tell every live host that this one is stopping."""
        self.own = msgspec.structs.replace(self.own, state=HostState.LEAVING)
        self._put(self.own)
        for host in self.live():
            self._schedule_hello(host)

    async def call(self, name: str, message: Message, timeout: float) -> Message:
        """Call a host and return its response; raise NotSent or NoResponse.

        A host whose connection failed is suspected from then on.
        """
        host = self._hosts.get(name)
        if host is None:
            raise NotSent(f"no host {name!r}")
        address = (host.ip, host.peer_port)
        try:
            response = await self._mesh.call(address, message, timeout)
        except (NotSent, NoResponse) as exc:
            self._record_failure(host, exc)
            raise
        self._record_success(name)
        return response

    async def join_through_seed(self, ip: str) -> None:
        """Learn the fleet's hosts from one of which only the IP is known; all share a peer port."""
        await self._send_hello((ip, self.own.peer_port), is_joining=True)

    async def greet(self, name: str, *, suspected: str = "") -> bool:
        """Say hello to a host, and return whether it answered; one that did not is suspected.

        suspected names a host that the other one is to check.
        """
        host = self._hosts.get(name)
        if host is None:
            return False
        reply = await self._exchange_hello((host.ip, host.peer_port), name, suspected=suspected)
        if reply is not None and reply.host.name != name:
            why = NoResponse(f"{reply.host.name} answers at its address")
            self._record_failure(host, why, certain=True)
            return False
        return reply is not None

    async def retry_suspected(self) -> None:
        """Say hello to suspected hosts at regular intervals."""
        while True:
            await asyncio.sleep(HELLO_RETRY_S)
            for host in self.all():
                if host.state is HostState.SUSPECT:
                    self._schedule_hello(host)

    async def _handle_hello(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, Hello)
        suspected = self._hosts.get(message.suspected)
        if suspected is not None and suspected.state is HostState.ALIVE:
            self._schedule_hello(suspected)
        host = message.host
        known = self._hosts.get(host.name)
        if known is not None and host.incarnation < known.incarnation:
            # A hello that was under way while its process was replaced, unless the host's clock
            # was set back; the process that runs there now answers.
            logs.event("host_unverified", host=host.name, incarnation=host.incarnation)
            self._schedule_hello(host)
            return HelloReply(host=self.own, known_hosts=self.all() if message.is_joining else ())
        if known != host:
            logs.event("host_seen", host=host.name, state=host.state.value, ip=host.ip)
            self._put(host)
        return HelloReply(host=self.own, known_hosts=self.all() if message.is_joining else ())

    def _schedule_hello(self, host: Host) -> None:
        if host.name in self._hello_tasks or host.name == self.own.name:
            return
        task = asyncio.get_running_loop().create_task(
            self._send_hello((host.ip, host.peer_port), host.name)
        )
        self._hello_tasks[host.name] = task
        task.add_done_callback(lambda _: self._hello_tasks.pop(host.name, None))

    async def _send_hello(
        self, address: tuple[str, int], name: str = "", is_joining: bool = False
    ) -> None:
        await self._exchange_hello(address, name, is_joining)

    async def _exchange_hello(
        self,
        address: tuple[str, int],
        name: str = "",
        is_joining: bool = False,
        suspected: str = "",
    ) -> HelloReply | None:
        """Say hello to an address and learn who answers; return None if nobody does."""
        message = Hello(host=self.own, is_joining=is_joining, suspected=suspected)
        try:
            response = await self._mesh.call(address, message, HELLO_TIMEOUT_S)
        except (NotSent, NoResponse) as exc:
            host = self._hosts.get(name)
            if host:
                self._record_failure(host, exc, certain=True)
            return None
        if not isinstance(response, HelloReply):
            return None
        if self._hosts.get(response.host.name) != response.host:
            self._put(response.host)
        for host in response.known_hosts:
            if host.name not in self._hosts:
                self.add(host)
        return response

    def _record_failure(self, host: Host, exc: WagtailError, certain: bool = False) -> None:
        """Suspect a host after a failed call; if not certain, only without an open connection."""
        known = self._hosts.get(host.name)
        if known is None or known.state is HostState.SUSPECT:
            return
        if certain or not self._mesh.connected((known.ip, known.peer_port)):
            self._suspected_since[host.name] = now()
            logs.warn("host_suspected", host=host.name, why=str(exc))
            self._put(msgspec.structs.replace(known, state=HostState.SUSPECT))

    def _record_success(self, name: str) -> None:
        host = self._hosts.get(name)
        if host and host.state is HostState.SUSPECT:
            logs.event("host_recovered", host=name)
            self._put(msgspec.structs.replace(host, state=HostState.ALIVE))

    def _put(self, host: Host) -> None:
        self._hosts[host.name] = host
        self._notify_change()

    def _notify_change(self) -> None:
        self._rankings.clear()
        for hook in self.on_change:
            hook()

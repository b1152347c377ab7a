"""Calls between hosts: many at once over one connection, each with its own timeout."""

import asyncio
import itertools
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress

from wagtailloft import logs
from wagtailloft.adapters.client_guard import ClientGuard
from wagtailloft.adapters.sockets import set_tcp_options, start_listening
from wagtailloft.clock import now
from wagtailloft.closed_clients import ClosedClients
from wagtailloft.controllers.client_budget import ClientLimits, ClientUse
from wagtailloft.errors import NoResponse, NotSent, Unreadable, Unsendable
from wagtailloft.fleet.frames import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    PING,
    PONG,
    decode_frame,
    encode_frame,
)
from wagtailloft.fleet.messages import CallFailed, Frame, Message

CONNECT_TIMEOUT_S = 0.4  # covers four round trips across zones, with one retransmission
PING_AFTER_S = 0.25  # above the slowest usual response; a frozen host is silent for seconds
PONG_TIMEOUT_S = 0.25  # covers a round trip across zones with one retransmission
SWEEP_INTERVAL_S = 0.25  # between checks for hosts that do not finish a frame, or do not read
# Above this amount not taken by the other host, reading from it pauses: an answer's largest size.
MAX_UNSENT_BYTES = 4 << 20
RESUME_UNSENT_BYTES = 1 << 20
LARGE_RESPONSE_BYTES = 64 << 10  # is refused while memory is scarce and the host does not read
DEFAULT_MAX_ACCEPTED = 1000

Handler = Callable[["PeerConnection", Message], Awaitable[Message]]


class PeerConnection(asyncio.Protocol):
    """A connection between two hosts that carries calls in both directions."""

    def __init__(
        self,
        *,
        handler: Handler,
        on_lost: Callable[["PeerConnection"], None],
        guard: ClientGuard | None = None,
    ) -> None:
        self.closed = False
        self.name = ""
        self.ip = ""
        self.use = ClientUse(owner=self)
        self.opened_at = now()
        self.frame_began_at = 0.0  # of a frame that has not arrived completely
        self.carried_frame = False
        self._guard = guard  # of a connection that the other host opened
        self.on_close: list[Callable[[], None]] = []
        self._handler = handler
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._calls: dict[int, asyncio.Future] = {}
        self._call_ids = itertools.count(1)
        self._last_received = 0.0
        self._last_ping = 0.0
        self._liveness_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def last_received(self) -> float:
        """Return when the last bytes arrived, by the clock of the event loop; 0 before any."""
        return self._last_received

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a message and return its response; raise NotSent or NoResponse."""
        if self.closed or self._transport is None:
            raise NotSent("the connection to the host is closed")
        call_id = next(self._call_ids)
        try:
            data = encode_frame(Frame(call_id=call_id, is_response=False, body=message))
        except Unsendable as exc:
            logs.warn("message_unsendable", why=str(exc))
            raise NotSent(str(exc)) from exc
        future = self._loop.create_future()
        self._calls[call_id] = future
        self._transport.write(data)
        self._start_liveness_check()
        try:
            async with asyncio.timeout(timeout):
                response = await future
        except TimeoutError as exc:
            raise NoResponse(f"no response from the host within {timeout:.3f} s") from exc
        finally:
            self._calls.pop(call_id, None)
        if isinstance(response, CallFailed):
            raise NoResponse(f"the host failed to respond: {response.why}")
        return response

    def close(self) -> None:
        """Abort the connection; its pending calls fail."""
        if self._transport:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start using an established transport."""
        self._transport = transport
        set_tcp_options(transport.get_extra_info("socket"))
        if self._guard:
            self.ip, port = transport.get_extra_info("peername")[:2]
            self.name = f"{self.ip}:{port}"
            transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES, low=RESUME_UNSENT_BYTES)
            self._guard.opened(self)
        if self.closed:  # given up for another one before it was established
            transport.abort()

    def pause_writing(self) -> None:
        """Handle nothing more from a host that does not take the responses."""
        if self._guard:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Handle requests again."""
        if self._guard:
            self.frame_began_at = now() if self._buffer else 0.0
            self._transport.resume_reading()

    def unsent_bytes(self) -> int:
        """Return how much of what was written the other host has not taken."""
        return self._transport.get_write_buffer_size()

    def drop(self) -> None:
        """Abort the connection, and forget what has arrived."""
        self.closed = True
        self._buffer.clear()
        self.close()

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and handle complete frames."""
        if self.closed:
            return
        self._last_received = self._loop.time()
        buffered = len(self._buffer)
        self._buffer += data
        self._handle_frames()
        if self._guard and not self.closed:
            if not self._buffer:
                self.frame_began_at = 0.0
            elif len(self._buffer) < buffered + len(data) or not buffered:
                self.frame_began_at = now()
            self._guard.charge(self, received=len(self._buffer))

    def _handle_frames(self) -> None:
        while len(self._buffer) >= HEADER_BYTES:
            size = int.from_bytes(self._buffer[:HEADER_BYTES])
            if size > MAX_FRAME_BYTES:
                logs.warn("frame_refused", bytes=size)
                self._refuse()
                return
            if len(self._buffer) < HEADER_BYTES + size:
                return
            body = bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + size])
            del self._buffer[: HEADER_BYTES + size]
            if not self._handle_frame(body):
                self._refuse()
                return
            self.carried_frame = True

    def _refuse(self) -> None:
        """Close the connection, on which no frame can follow."""
        if self._guard:
            self._guard.close(self, "frame")
        else:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail pending calls, and run the hooks that end work received over the connection."""
        self.closed = True
        if self._guard:
            self._guard.lost(self)
        if self._liveness_timer:
            self._liveness_timer.cancel()
        for future in self._calls.values():
            if not future.done():
                future.set_exception(NoResponse(f"connection to the host lost: {exc or 'closed'}"))
        for hook in self.on_close:
            hook()
        self._on_lost(self)

    def _handle_frame(self, body: bytes) -> bool:
        """Handle a frame; return whether it could be decoded."""
        try:
            frame = decode_frame(body)
        except Unreadable as exc:
            logs.warn("frame_unreadable", why=str(exc))
            return False
        if frame.body is None:
            if not frame.is_response:
                self._write(PONG)
            return True
        if not frame.is_response:
            task = self._loop.create_task(self._handle_request(frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return True
        future = self._calls.get(frame.call_id)
        if future and not future.done():
            future.set_result(frame.body)
        return True

    async def _handle_request(self, frame: Frame) -> None:
        name = type(frame.body).__name__
        try:
            response = await self._handler(self, frame.body)
        except Exception as exc:  # one bad message must end neither the connection nor the process
            logs.warn("call_failed", message=name, why=repr(exc))
            response = CallFailed(why=f"{name}: {exc!r}")
        try:
            data = encode_frame(Frame(call_id=frame.call_id, is_response=True, body=response))
        except Unsendable as exc:
            logs.warn("response_unsendable", message=name, why=str(exc))
            response = CallFailed(why=f"the response to {name} can't be sent")
            data = encode_frame(Frame(call_id=frame.call_id, is_response=True, body=response))
        if self._guard and self._guard.scarce and self.use.unsent:
            if len(data) > LARGE_RESPONSE_BYTES:
                response = CallFailed(why=f"the response to {name} is too large at the moment")
                data = encode_frame(Frame(call_id=frame.call_id, is_response=True, body=response))
        self._write(data)

    def _write(self, data: bytes) -> None:
        if self.closed or self._transport is None:
            return
        self._transport.write(data)
        if self._guard:
            unsent = self.unsent_bytes()
            if unsent or self.use.unsent:
                self._guard.charge(self, unsent=unsent, added=len(data))

    def _start_liveness_check(self) -> None:
        """Check that the peer still sends while calls are pending; ping it if it is silent."""
        if self._liveness_timer is None:
            self._last_ping = 0.0
            self._last_received = max(self._last_received, self._loop.time())
            self._liveness_timer = self._loop.call_later(PING_AFTER_S, self._check_liveness)

    def _check_liveness(self) -> None:
        self._liveness_timer = None
        if not self._calls or self.closed:
            return
        now = self._loop.time()
        if self._last_ping and self._last_received < self._last_ping:
            if now - self._last_ping >= PONG_TIMEOUT_S:
                self.close()
                return
        elif now - self._last_received >= PING_AFTER_S:
            self._last_ping = now
            self._write(PING)
        self._liveness_timer = self._loop.call_later(PONG_TIMEOUT_S / 2, self._check_liveness)


class Mesh:
    """Call other hosts by address over one connection each, and accept their calls."""

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        limits: ClientLimits | None = None,
        max_accepted: int = DEFAULT_MAX_ACCEPTED,
        closed_clients: ClosedClients | None = None,
    ) -> None:
        self._ip = ip
        self._port = port
        self._limits = limits or ClientLimits()
        self._max_accepted = max_accepted
        self._guard = ClientGuard(
            port="hosts",
            budget_bytes=self._limits.peers_bytes,
            closed=closed_clients or ClosedClients(),
        )
        self._conns: dict[tuple[str, int], PeerConnection] = {}
        self._connecting: dict[tuple[str, int], asyncio.Task] = {}
        self._handlers: dict[type, Handler] = {}
        self._server: asyncio.Server | None = None
        self._accepted: set[PeerConnection] = set()

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Register the handler for messages of one type."""
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Listen for connections from other hosts."""
        self._server = await start_listening(self._accept, self._ip, self._port)

    async def close_overdue(self) -> None:
        """Close connections of hosts that owe a frame or do not read for long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            at = now()
            for conn in list(self._accepted):
                if not conn.carried_frame and at - conn.opened_at > self._limits.startup:
                    self._guard.close(conn, "startup")
                elif conn.frame_began_at and at - conn.frame_began_at > self._limits.message:
                    self._guard.close(conn, "message")
            self._guard.close_unread(self._limits.unread)

    def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server:
            self._server.close()
        for conn in [*self._conns.values(), *self._accepted]:
            conn.close()

    def connected(self, address: tuple[str, int]) -> bool:
        """Tell whether a connection to an address is open."""
        conn = self._conns.get(address)
        return conn is not None and not conn.closed

    async def call(self, address: tuple[str, int], message: Message, timeout: float) -> Message:
        """Call a host; raise NotSent if it can't be reached, NoResponse if it does not respond."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        conn = self._conns.get(address)
        if conn is None or conn.closed:
            try:
                async with asyncio.timeout(timeout):
                    conn = await self._connect_shared(address)
            except TimeoutError as exc:
                raise NotSent(f"no connection within {timeout:.3f} s") from exc
        return await conn.call(message, max(0.001, deadline - loop.time()))

    async def _connect_shared(self, address: tuple[str, int]) -> PeerConnection:
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(address))
            self._connecting[address] = task
            task.add_done_callback(lambda t: self._connect_done(address, t))
        return await asyncio.shield(task)

    def _connect_done(self, address: tuple[str, int], task: asyncio.Task) -> None:
        self._connecting.pop(address, None)
        if not task.cancelled():
            task.exception()

    async def _connect(self, address: tuple[str, int]) -> PeerConnection:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                sock.bind((self._ip, 0))
                await loop.sock_connect(sock, address)
        except (OSError, TimeoutError) as exc:
            sock.close()
            raise NotSent(str(exc) or "connect timed out") from exc
        _, conn = await loop.create_connection(
            lambda: PeerConnection(
                handler=self._dispatch, on_lost=lambda conn: self._forget(address, conn)
            ),
            sock=sock,
        )
        self._conns[address] = conn
        return conn

    def _forget(self, address: tuple[str, int], conn: PeerConnection) -> None:
        if self._conns.get(address) is conn:
            del self._conns[address]

    def _accept(self) -> PeerConnection:
        if len(self._accepted) >= self._max_accepted:
            self._close_surplus()
        conn = PeerConnection(
            handler=self._dispatch, on_lost=self._accepted.discard, guard=self._guard
        )
        self._accepted.add(conn)
        return conn

    def _close_surplus(self) -> None:
        """Close the connection that was silent for longest, of the address with the most.

        A host opens one connection, so an address with many is none or goes wrong.
        """
        counts = Counter(conn.ip for conn in self._accepted)
        surplus = max(self._accepted, key=lambda c: (counts[c.ip], -c.last_received))
        self._accepted.discard(surplus)
        self._guard.close(surplus, "replaced")

    async def _dispatch(self, conn: PeerConnection, message: Message) -> Message:
        return await self._handlers[type(message)](conn, message)


async def ignore_failure(awaitable: Awaitable) -> None:
    """Await a call whose failure needs no action, as the caller learns of it in another way."""
    with suppress(NotSent, NoResponse):
        await awaitable

"""Calls between hosts: many at once over one connection, each with its own time limit."""

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import msgspec

from wagtailloft import logs
from wagtailloft.adapters.sockets import tune
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.messages import DECODER, ENCODER, Frame, Message

HEADER_BYTES = 4
FRAME_LIMIT_BYTES = 8 << 20  # a store object is at most 1 MiB; a pull may carry several
CONNECT_LIMIT_S = 0.4  # four round trips across zones, with one lost packet sent again
STALL_S = 0.25  # above the slowest usual answer; DEPLOY.md's freezes last seconds
PROBE_LIMIT_S = 0.25  # a round trip across zones with one lost packet sent again
PING = Frame(call_id=0, is_response=False)
PONG = Frame(call_id=0, is_response=True)

Handler = Callable[["PeerConnection", Message], Awaitable[Message]]


class PeerConnection(asyncio.Protocol):
    """Carry frames of one connection between two hosts."""

    def __init__(self, *, handler: Handler, on_lost: Callable[["PeerConnection"], None]) -> None:
        self.closed = False
        self.on_close: list[Callable[[], None]] = []
        self._handler = handler
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._calls: dict[int, asyncio.Future] = {}
        self._numbers = itertools.count(1)
        self._heard = 0.0
        self._pinged = 0.0
        self._watch: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()

    async def call(self, message: Message, limit: float) -> Message:
        """Send a message and return its answer; raise NotSent or NoResponse."""
        if self.closed or self._transport is None:
            raise NotSent("the connection between hosts is closed")
        number = next(self._numbers)
        future = self._loop.create_future()
        self._calls[number] = future
        self._send(Frame(call_id=number, is_response=False, body=message))
        self._guard()
        try:
            async with asyncio.timeout(limit):
                return await future
        except TimeoutError as exc:
            raise NoResponse(f"no answer from a host in {limit:.3f} s") from exc
        finally:
            self._calls.pop(number, None)

    def close(self) -> None:
        """Drop the connection and all that runs over it."""
        if self._transport:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection."""
        self._transport = transport
        tune(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take bytes and handle whole frames."""
        self._heard = self._loop.time()
        self._buffer += data
        while len(self._buffer) >= HEADER_BYTES:
            size = int.from_bytes(self._buffer[:HEADER_BYTES])
            if size > FRAME_LIMIT_BYTES:
                logs.warn("frame_refused", bytes=size)
                self.close()
                return
            if len(self._buffer) < HEADER_BYTES + size:
                return
            body = bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + size])
            del self._buffer[: HEADER_BYTES + size]
            self._take(body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all open calls and drop all work that came over the connection."""
        self.closed = True
        if self._watch:
            self._watch.cancel()
        for future in self._calls.values():
            if not future.done():
                future.set_exception(
                    NoResponse(f"connection between hosts lost: {exc or 'closed'}")
                )
        for hook in self.on_close:
            hook()
        self._on_lost(self)

    def _take(self, body: bytes) -> None:
        try:
            frame = DECODER.decode(body)
        except msgspec.MsgspecError as exc:
            logs.warn("frame_unreadable", why=str(exc))
            self.close()
            return
        if frame.body is None:
            if not frame.is_response:
                self._send(PONG)
            return
        if not frame.is_response:
            task = self._loop.create_task(self._serve(frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        future = self._calls.get(frame.call_id)
        if future and not future.done():
            future.set_result(frame.body)

    async def _serve(self, frame: Frame) -> None:
        try:
            answer = await self._handler(self, frame.body)
        except Exception as exc:
            logs.warn("call_failed", message=type(frame.body).__name__, why=repr(exc))
            raise
        self._send(Frame(call_id=frame.call_id, is_response=True, body=answer))

    def _send(self, frame: Frame) -> None:
        if self.closed or self._transport is None:
            return
        body = ENCODER.encode(frame)
        self._transport.write(len(body).to_bytes(HEADER_BYTES) + body)

    def _guard(self) -> None:
        """Look whether the peer still answers while calls are open."""
        if self._watch is None:
            self._pinged = 0.0
            self._heard = max(self._heard, self._loop.time())
            self._watch = self._loop.call_later(STALL_S, self._check)

    def _check(self) -> None:
        self._watch = None
        if not self._calls or self.closed:
            return
        now = self._loop.time()
        if self._pinged and self._heard < self._pinged:
            if now - self._pinged >= PROBE_LIMIT_S:
                self.close()
                return
        elif now - self._heard >= STALL_S:
            self._pinged = now
            self._send(PING)
        self._watch = self._loop.call_later(PROBE_LIMIT_S / 2, self._check)


class Mesh:
    """Hold this host's connections to other hosts, by address."""

    def __init__(self, *, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._conns: dict[tuple[str, int], PeerConnection] = {}
        self._opening: dict[tuple[str, int], asyncio.Task] = {}
        self._handlers: dict[type, Handler] = {}
        self._server: asyncio.Server | None = None
        self._accepted: set[PeerConnection] = set()

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Handle messages of one type."""
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Accept connections of other hosts."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, self._ip, self._port)

    def stop(self) -> None:
        """Close every connection."""
        if self._server:
            self._server.close()
        for conn in [*self._conns.values(), *self._accepted]:
            conn.close()

    def connected(self, address: tuple[str, int]) -> bool:
        """Tell whether a connection to an address is open."""
        conn = self._conns.get(address)
        return conn is not None and not conn.closed

    async def call(self, address: tuple[str, int], message: Message, limit: float) -> Message:
        """Call a host; raise NotSent if it can't be reached, NoResponse if it does not answer."""
        loop = asyncio.get_running_loop()
        until = loop.time() + limit
        conn = self._conns.get(address)
        if conn is None or conn.closed:
            conn = await self._open(address)
        return await conn.call(message, max(0.001, until - loop.time()))

    async def _open(self, address: tuple[str, int]) -> PeerConnection:
        task = self._opening.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(address))
            self._opening[address] = task
            task.add_done_callback(lambda t: self._opened(address, t))
        return await asyncio.shield(task)

    def _opened(self, address: tuple[str, int], task: asyncio.Task) -> None:
        self._opening.pop(address, None)
        if not task.cancelled():
            task.exception()

    async def _connect(self, address: tuple[str, int]) -> PeerConnection:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                sock.bind((self._ip, 0))
                await loop.sock_connect(sock, address)
        except (OSError, TimeoutError) as exc:
            sock.close()
            refused = isinstance(exc, ConnectionRefusedError)
            raise (
                ConnectionRefused(str(exc)) if refused else NotSent(str(exc) or "connect timed out")
            ) from exc
        _, conn = await loop.create_connection(
            lambda: PeerConnection(handler=self._handle, on_lost=lambda _: None), sock=sock
        )
        self._conns[address] = conn
        return conn

    def _accept(self) -> PeerConnection:
        conn = PeerConnection(handler=self._handle, on_lost=self._accepted.discard)
        self._accepted.add(conn)
        return conn

    async def _handle(self, conn: PeerConnection, message: Message) -> Message:
        return await self._handlers[type(message)](conn, message)


class ConnectionRefused(NotSent):
    """Raised when a host's machine answers that no process listens there."""


async def ignore_failure(awaitable: Awaitable) -> None:
    """Wait for a call whose failure needs no action, since the caller will learn otherwise."""
    with suppress(NotSent, NoResponse):
        await awaitable

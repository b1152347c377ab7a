"""Calls between hosts: many at once over one connection, each with its own timeout."""

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import msgspec

from wagtailloft import logs
from wagtailloft.adapters.sockets import set_tcp_options
from wagtailloft.errors import NoResponse, NotSent, Unsendable
from wagtailloft.fleet.messages import DECODER, ENCODER, CallFailed, Frame, Message

HEADER_BYTES = 4
MAX_FRAME_BYTES = 8 << 20  # a store object has at most 1 MiB; a pull may carry several
CONNECT_TIMEOUT_S = 0.4  # covers four round trips across zones, with one retransmission
PING_AFTER_S = 0.25  # above the slowest usual response; a frozen host is silent for seconds
PONG_TIMEOUT_S = 0.25  # covers a round trip across zones with one retransmission

Handler = Callable[["PeerConnection", Message], Awaitable[Message]]


# What encoding raises for numbers over 64 bits, text that is no Unicode and unknown types.
ENCODE_ERRORS = (OverflowError, ValueError, TypeError, RecursionError)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length; raise Unsendable."""
    name = type(frame.body).__name__
    try:
        body = ENCODER.encode(frame)
    except ENCODE_ERRORS as exc:
        raise Unsendable(f"the {name} can't be encoded: {exc!r}") from exc
    if len(body) > MAX_FRAME_BYTES:
        raise Unsendable(f"the {name} is larger than {MAX_FRAME_BYTES} bytes")
    return len(body).to_bytes(HEADER_BYTES) + body


PING = encode_frame(Frame(call_id=0, is_response=False))
PONG = encode_frame(Frame(call_id=0, is_response=True))


class PeerConnection(asyncio.Protocol):
    """A connection between two hosts that carries calls in both directions."""

    def __init__(self, *, handler: Handler, on_lost: Callable[["PeerConnection"], None]) -> None:
        self.closed = False
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

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and handle complete frames."""
        self._last_received = self._loop.time()
        self._buffer += data
        while len(self._buffer) >= HEADER_BYTES:
            size = int.from_bytes(self._buffer[:HEADER_BYTES])
            if size > MAX_FRAME_BYTES:
                logs.warn("frame_refused", bytes=size)
                self.close()
                return
            if len(self._buffer) < HEADER_BYTES + size:
                return
            body = bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + size])
            del self._buffer[: HEADER_BYTES + size]
            if not self._handle_frame(body):
                self.close()
                return

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail pending calls, and run the hooks that end work received over the connection."""
        self.closed = True
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
            frame = DECODER.decode(body)
        except (msgspec.MsgspecError, RecursionError) as exc:
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
        self._write(data)

    def _write(self, data: bytes) -> None:
        if not self.closed and self._transport is not None:
            self._transport.write(data)

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

    def __init__(self, *, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
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
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, self._ip, self._port)

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
            lambda: PeerConnection(handler=self._dispatch, on_lost=lambda _: None), sock=sock
        )
        self._conns[address] = conn
        return conn

    def _accept(self) -> PeerConnection:
        conn = PeerConnection(handler=self._dispatch, on_lost=self._accepted.discard)
        self._accepted.add(conn)
        return conn

    async def _dispatch(self, conn: PeerConnection, message: Message) -> Message:
        return await self._handlers[type(message)](conn, message)


async def ignore_failure(awaitable: Awaitable) -> None:
    """Await a call whose failure needs no action, as the caller learns of it in another way."""
    with suppress(NotSent, NoResponse):
        await awaitable

"""An HTTP/1.1 server: one thread reads and parses, a pool of threads answers."""

import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field

import httptools
from absl import logging

from wagtailloft.adapters.sockets import set_tcp_options
from wagtailloft.errors import Kind

HEAD_LIMIT_BYTES = 32 * 1024
BODY_LIMIT_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 65_536
BACKLOG = 512
PARTIAL_LIMIT_S = 10.0
SEND_LIMIT_S = 10.0
SWEEP_S = 1.0
READ_ONCE = select.EPOLLIN | select.EPOLLONESHOT
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """Hold one whole request; a fault says why it could not be read."""

    method: str = ""
    path: str = ""
    query: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    parse_error: Kind | None = None


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """Hold one answer."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


Handler = Callable[[HttpRequest], HttpResponse]


class _Connection:
    """Parse the requests of one connection."""

    def __init__(self, *, sock: socket.socket) -> None:
        self.sock = sock
        self.ready: deque[HttpRequest] = deque()
        self.busy = False
        self.last = False
        self.began = 0.0
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parse what came; whole requests are ready after it."""
        self.began = self.began or time.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(Kind.BAD_REQUEST)
        except httptools.HttpParserError:
            self._fail(self._fault or Kind.BAD_REQUEST)

    def on_url(self, url: bytes) -> None:
        """Take a part of the address."""
        self._url += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._count(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Let the caller send the body if it asks first."""
        if self._headers.get("expect", "").lower() == "100-continue":
            with suppress(OSError):
                self.sock.send(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body
        if len(self._body) > BODY_LIMIT_BYTES:
            self._fault = Kind.TOO_LARGE
            raise ValueError("body over the limit")

    def on_message_complete(self) -> None:
        """Make the request ready."""
        if not self._parser.should_keep_alive():
            self.last = True
        path, _, query = self._url.decode("latin-1").partition("?")
        self.ready.append(
            HttpRequest(
                method=self._parser.get_method().decode(),
                path=path,
                query=query,
                headers=self._headers,
                body=bytes(self._body),
            )
        )
        self._reset()

    def _count(self, size: int) -> None:
        self._head += size
        if self._head > HEAD_LIMIT_BYTES:
            self._fault = Kind.TOO_LARGE
            raise ValueError("headers over the limit")

    def _fail(self, kind: Kind) -> None:
        self.last = True
        self.ready.append(HttpRequest(parse_error=kind))

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._head = 0
        self._fault: Kind | None = None
        self.began = 0.0


class HttpServer:
    """Serve one handler on a port."""

    def __init__(self, *, ip: str, port: int, handler: Handler, threads: int, name: str) -> None:
        self._handler = handler
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix=name)
        self._epoll = select.epoll()
        self._listener = socket.create_server((ip, port), backlog=BACKLOG)
        self._listener.setblocking(False)
        self._connections: dict[int, _Connection] = {}
        self._stopped = False
        self._thread = threading.Thread(target=self._loop, name=name, daemon=True)
        self.closing = False

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    def start(self) -> None:
        """Serve in the background."""
        self._epoll.register(self._listener, select.EPOLLIN)
        self._thread.start()

    def stop(self) -> None:
        """Close all connections and accept no more."""
        self._stopped = True
        self._thread.join()
        self._executor.shutdown(wait=False)

    def _loop(self) -> None:
        swept = time.monotonic()
        while not self._stopped:
            for number, _ in self._epoll.poll(SWEEP_S / 4):
                self._serve(number)
            if time.monotonic() - swept > SWEEP_S:
                swept = time.monotonic()
                self._sweep(swept)
        self._listener.close()
        for connection in list(self._connections.values()):
            self._drop(connection)

    def _serve(self, number: int) -> None:
        if number == self._listener.fileno():
            with suppress(OSError):
                self._accept()
            return
        connection = self._connections.get(number)
        if connection is None:
            return
        try:
            self._read(connection)
        except OSError:
            self._drop(connection)

    def _accept(self) -> None:
        sock, _ = self._listener.accept()
        set_tcp_options(sock)
        sock.setblocking(False)
        self._connections[sock.fileno()] = _Connection(sock=sock)
        self._epoll.register(sock, READ_ONCE)

    def _read(self, connection: _Connection) -> None:
        try:
            data = connection.sock.recv(CHUNK_BYTES)
        except BlockingIOError:
            self._epoll.modify(connection.sock, READ_ONCE)
            return
        if not data:
            self._drop(connection)
            return
        connection.feed(data)
        if not connection.ready:
            self._epoll.modify(connection.sock, READ_ONCE)
            return
        connection.busy = True
        self._executor.submit(self._answer, connection)

    def _answer(self, connection: _Connection) -> None:
        try:
            connection.sock.settimeout(SEND_LIMIT_S)
            while connection.ready:
                response = self._handler(connection.ready.popleft())
                connection.last = connection.last or self.closing
                last = connection.last and not connection.ready
                connection.sock.sendall(_encode(response, last))
            if not connection.last:
                connection.sock.setblocking(False)
                connection.busy = False
                self._epoll.modify(connection.sock, READ_ONCE)
                return
        except OSError:
            pass
        except Exception:
            logging.exception("event=request_failed")
        self._drop(connection)

    def _sweep(self, now: float) -> None:
        for connection in list(self._connections.values()):
            partial = connection.began and now - connection.began > PARTIAL_LIMIT_S
            if partial and not connection.busy:
                self._drop(connection)

    def _drop(self, connection: _Connection) -> None:
        number = connection.sock.fileno()
        if number >= 0 and self._connections.get(number) is connection:
            del self._connections[number]
        connection.sock.close()


def _encode(response: HttpResponse, last: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {response.status} -",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
    ]
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    if last:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + response.body

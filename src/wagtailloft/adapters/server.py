"""HTTP/1.1 server: one thread reads and parses requests, a thread pool runs the handler."""

import errno
import select
import socket
import sys
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field

import httptools
from absl import logging

from wagtailloft.adapters.sockets import CLIENT_SEND_BUFFER, set_tcp_options
from wagtailloft.closed_clients import ClosedClients
from wagtailloft.errors import Kind
from wagtailloft.supervision import Supervisor

MAX_HEAD_BYTES = 32 * 1024  # the URL and all headers together
MAX_BODY_BYTES = 16 * 1024 * 1024
RECV_BYTES = 16_384  # holds up to 500 pipelined requests
LISTEN_BACKLOG = 512
REQUEST_TIMEOUT_S = 10.0  # from the first byte of a request to its last
SEND_TIMEOUT_S = 10.0  # that a client may take nothing of a response
# Times max_connections that may be open while all of them wait for the handler: a probe is still
# served behind a few slow requests.
BUSY_FACTOR = 2
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# After one of them: the listener stays readable, so the thread would try again at once.
ACCEPT_PAUSE_S = 0.05
SWEEP_INTERVAL_S = 1.0  # between checks for requests over REQUEST_TIMEOUT_S
# One-shot, so that a connection is not polled while its requests are handled.
READABLE_ONESHOT = select.EPOLLIN | select.EPOLLONESHOT
WRITABLE_ONESHOT = select.EPOLLOUT | select.EPOLLONESHOT
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A complete request, or parse_error if the received bytes could not be parsed."""

    method: str = ""
    path: str = ""
    query: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    parse_error: Kind | None = None


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """Status, body and headers of a response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


Handler = Callable[[HttpRequest], HttpResponse]


class _Connection:
    """State and parser of one connection; ready holds the parsed requests not yet handled."""

    def __init__(self, *, sock: socket.socket, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.sock = sock
        self.unsent = memoryview(b"")  # of the present response
        self.waits_to_send = False  # the reading thread sends the rest of the response
        self.used_at = time.monotonic()  # when a request or a part of a response was last passed
        self._max_body_bytes = max_body_bytes
        self.ready: deque[HttpRequest] = deque()
        self.busy = False
        self.running: HttpRequest | None = None
        self.send_lock = threading.Lock()  # for the response to running
        self.given_up = False
        self.close_after_response = False
        self.request_started_at = 0.0
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parse received bytes and append each complete request to ready."""
        self.request_started_at = self.request_started_at or time.monotonic()
        self._unpassed += len(data)
        try:
            self._parser.feed_data(data)
            # The parser keeps an incomplete header or trailer, of any length, to itself.
            if self._unpassed > MAX_HEAD_BYTES + 2 * RECV_BYTES:
                self._reject(Kind.TOO_LARGE)
        except httptools.HttpParserUpgrade:
            self._reject(Kind.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(self._parse_error or Kind.BAD_REQUEST)

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._count_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Send 100 Continue if the client waits for it before sending the body."""
        self._unpassed = 0
        if self._headers.get("expect", "").lower() == "100-continue":
            with suppress(OSError):
                self.sock.send(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; raise ValueError over the limit."""
        self._unpassed = 0
        self._body += body
        if len(self._body) > self._max_body_bytes:
            self._parse_error = Kind.TOO_LARGE
            raise ValueError("the body exceeds the size limit")

    def on_message_complete(self) -> None:
        """Append the complete request to ready."""
        if not self._parser.should_keep_alive():
            self.close_after_response = True
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
        self.used_at = time.monotonic()
        self._reset()

    def send_unsent(self) -> bool:
        """Send what the socket takes of the response at once; return whether that was all."""
        while self.unsent:
            try:
                sent = self.sock.send(self.unsent)
            except BlockingIOError:
                return False
            self.unsent = self.unsent[sent:]
            self.used_at = time.monotonic()
        return True

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._parse_error = Kind.TOO_LARGE
            raise ValueError("the URL and headers exceed the size limit")

    def _reject(self, kind: Kind) -> None:
        self.close_after_response = True
        self.ready.append(HttpRequest(parse_error=kind))

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._head_bytes = 0
        self._unpassed = 0  # bytes of the head, or since the last part of the body
        self._parse_error: Kind | None = None
        self.request_started_at = 0.0


class HttpServer:
    """Serve a handler on a port; while closing is set, a connection closes after its response.

    The handler's threads never wait for a client. With max_connections, the connection that was not
    used for longest is closed for a new one above it.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        handler: Handler,
        threads: int,
        name: str,
        supervisor: Supervisor,
        max_connections: int = sys.maxsize,
        max_body_bytes: int = MAX_BODY_BYTES,
        closed_clients: ClosedClients | None = None,
    ) -> None:
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._closed_clients = closed_clients or ClosedClients()
        self._handler = handler
        self._name = name
        self._supervisor = supervisor
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix=name)
        self._epoll = select.epoll()
        self._listener = socket.create_server((ip, port), backlog=LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self._connections: dict[int, _Connection] = {}
        self._stopped = False
        self._thread: threading.Thread | None = None
        self.closing = False

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def start(self) -> None:
        """Start to serve in a background thread."""
        self._epoll.register(self._listener, select.EPOLLIN)
        self._thread = self._supervisor.start_thread(
            f"serve_{self._name}", self._run, is_stopped=lambda: self._stopped
        )

    def give_up(self, respond: Handler) -> None:
        """Answer the requests that still run, whose own responses are dropped from then on."""
        for connection in list(self._connections.values()):
            with connection.send_lock:
                connection.given_up = True
                if connection.running is not None:
                    with suppress(OSError):  # the caller has left
                        response = respond(connection.running)
                        connection.sock.sendall(_encode_response(response, close_connection=True))

    def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._stopped = True
        if self._thread is not None:
            self._thread.join()
        self._executor.shutdown(wait=False)

    def _run(self) -> None:
        last_sweep = time.monotonic()
        while not self._stopped:
            for fd, _ in self._epoll.poll(SWEEP_INTERVAL_S / 4):
                self._handle_event(fd)
            if time.monotonic() - last_sweep > SWEEP_INTERVAL_S:
                last_sweep = time.monotonic()
                self._close_overdue(last_sweep)
        self._listener.close()
        for connection in list(self._connections.values()):
            self._close(connection)

    def _handle_event(self, fd: int) -> None:
        if fd == self._listener.fileno():
            try:
                self._accept()
            except OSError as exc:
                if exc.errno in NO_DESCRIPTORS:
                    time.sleep(ACCEPT_PAUSE_S)
            return
        connection = self._connections.get(fd)
        if connection is None:
            return
        try:
            if connection.waits_to_send:
                self._continue_response(connection)
            else:
                self._receive(connection)
        except OSError:
            self._close(connection)
        except Exception as exc:  # one connection must not end the service of the others
            self._supervisor.report(f"serve_{self._name}", exc)
            self._close(connection)

    def _accept(self) -> None:
        sock, _ = self._listener.accept()
        set_tcp_options(sock)
        sock.setsockopt(*CLIENT_SEND_BUFFER)
        sock.setblocking(False)
        if len(self._connections) >= self._max_connections:
            self._close_surplus()
        if len(self._connections) >= BUSY_FACTOR * self._max_connections:
            self._closed_clients.record(self._name, "full")
            sock.close()
            return
        self._connections[sock.fileno()] = _Connection(
            sock=sock, max_body_bytes=self._max_body_bytes
        )
        self._epoll.register(sock, READABLE_ONESHOT)

    def _receive(self, connection: _Connection) -> None:
        try:
            data = connection.sock.recv(RECV_BYTES)
        except BlockingIOError:
            self._watch(connection, READABLE_ONESHOT)
            return
        if not data:
            self._close(connection)
            return
        connection.feed(data)
        if not connection.ready:
            self._watch(connection, READABLE_ONESHOT)
            return
        connection.busy = True
        self._executor.submit(self._respond, connection)

    def _respond(self, connection: _Connection) -> None:
        try:
            while connection.ready:
                connection.running = connection.ready.popleft()
                response = self._handler(connection.running)
                connection.close_after_response = connection.close_after_response or self.closing
                close_connection = connection.close_after_response and not connection.ready
                with connection.send_lock:
                    if connection.given_up:
                        break
                    connection.running = None
                    connection.unsent = memoryview(_encode_response(response, close_connection))
                    if not connection.send_unsent():
                        self._await_writable(connection)
                        return
            if self._await_request(connection):
                return
        except OSError:
            pass
        except Exception:
            logging.exception("event=request_failed")
        self._close(connection)

    def _continue_response(self, connection: _Connection) -> None:
        """Send more of a response, and go on with the next request after its end."""
        connection.waits_to_send = False
        if not connection.send_unsent():
            self._await_writable(connection)
        elif connection.ready and not connection.given_up:
            self._executor.submit(self._respond, connection)
        elif not self._await_request(connection):
            self._close(connection)

    def _await_writable(self, connection: _Connection) -> None:
        connection.waits_to_send = True
        self._watch(connection, WRITABLE_ONESHOT)

    def _await_request(self, connection: _Connection) -> bool:
        """Wait for the next request, unless the connection is to be closed."""
        if connection.close_after_response or connection.given_up:
            return False
        connection.busy = False
        self._watch(connection, READABLE_ONESHOT)
        return True

    def _watch(self, connection: _Connection, events: int) -> None:
        with suppress(ValueError):  # the reading thread may have closed it just now
            self._epoll.modify(connection.sock, events)

    def _close_surplus(self) -> None:
        """Close the connection that was not used for longest, except those with a running one."""
        waiting = [c for c in self._connections.values() if not c.busy or c.waits_to_send]
        surplus = min(waiting, key=lambda c: c.used_at, default=None)
        if surplus is not None:
            self._closed_clients.record(self._name, "replaced")
            self._close(surplus)

    def _close_overdue(self, now: float) -> None:
        for connection in list(self._connections.values()):
            overdue = (
                connection.request_started_at
                and now - connection.request_started_at > REQUEST_TIMEOUT_S
            )
            if overdue and not connection.busy:
                self._closed_clients.record(self._name, "message")
                self._close(connection)
            elif connection.waits_to_send and now - connection.used_at > SEND_TIMEOUT_S:
                self._closed_clients.record(self._name, "unread")
                self._close(connection)

    def _close(self, connection: _Connection) -> None:
        fd = connection.sock.fileno()
        if fd >= 0 and self._connections.get(fd) is connection:
            del self._connections[fd]
        connection.sock.close()


def _encode_response(response: HttpResponse, close_connection: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {response.status} -",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
    ]
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    if close_connection:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + response.body

"""HTTP/1.1 client connection that is not reused after an error."""

import socket
import time
from contextlib import suppress

import httptools
from urllib3.util.wait import wait_for_read

from wagtailloft.adapters.http_pool import MAX_RESPONSE_BYTES
from wagtailloft.adapters.sockets import set_tcp_options
from wagtailloft.errors import NoResponse, NotSent

RECV_BYTES = 65_536


class Response:
    """Collect one response from the parser's callbacks."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.complete = False

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; raise ValueError over the limit."""
        self.body += body
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise ValueError("the response exceeds the size limit")

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.complete = True


class HttpConnection:
    """A connection that carries requests one after another."""

    def __init__(self, *, ip: str, port: int, source: str) -> None:
        self._address = (ip, port)
        self._source = (source, 0)
        self._host = f"{ip}:{port}"
        self._sock: socket.socket | None = None
        self._broken = False

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and has no unread data.

        Without a request in flight, readable data means a close or an unexpected response.
        """
        if self._broken or self._sock is None:
            return False
        return not wait_for_read(self._sock, timeout=0)

    def open(self, timeout: float) -> None:
        """Connect within a timeout in seconds; raise NotSent if that fails."""
        try:
            self._sock = socket.create_connection(self._address, timeout, self._source)
        except OSError as exc:
            raise NotSent(f"connect: {type(exc).__name__}") from exc
        set_tcp_options(self._sock)

    def exchange(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request and return the response's status and body.

        Raise NoResponse, with the connection closed, if no complete response arrives in time.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        deadline = time.monotonic() + timeout
        try:
            return self._send_and_receive(head.encode() + body, deadline)
        except (OSError, httptools.HttpParserError) as exc:
            self.close()
            raise NoResponse(f"no complete response: {type(exc).__name__}") from exc

    def interrupt(self) -> None:
        """Shut the connection down so that a call blocked on it in another thread fails."""
        self._broken = True
        if self._sock is not None:
            with suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._broken = True
        if self._sock is not None:
            self._sock.close()

    def _send_and_receive(self, request: bytes, deadline: float) -> tuple[int, bytes]:
        response = Response()
        parser = httptools.HttpResponseParser(response)
        self._set_timeout(deadline)
        self._sock.sendall(request)
        while not response.complete:
            self._set_timeout(deadline)
            data = self._sock.recv(RECV_BYTES)
            if not data:
                raise ConnectionResetError("connection closed before the response was complete")
            parser.feed_data(data)
        return parser.get_status_code(), bytes(response.body)

    def _set_timeout(self, deadline: float) -> None:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out waiting for the response")
        self._sock.settimeout(remaining)

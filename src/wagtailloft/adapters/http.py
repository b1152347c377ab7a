"""One HTTP/1.1 connection that is never reused after a fault."""

import socket
import time
from contextlib import suppress

import httptools
from urllib3.util.wait import wait_for_read

from wagtailloft.adapters.sockets import set_tcp_options
from wagtailloft.errors import NoResponse, NotSent

CHUNK_BYTES = 65_536


class Response:
    """Collect one answer from a parser."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.whole = False

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        self.whole = True


class HttpConnection:
    """Send requests one after another over one connection."""

    def __init__(self, *, ip: str, port: int, source: str) -> None:
        self._address = (ip, port)
        self._source = (source, 0)
        self._host = f"{ip}:{port}"
        self._sock: socket.socket | None = None
        self._broken = False

    @property
    def usable(self) -> bool:
        """Tell whether the other side has kept the connection open and quiet."""
        if self._broken or self._sock is None:
            return False
        return not wait_for_read(self._sock, timeout=0)

    def open(self, timeout: float) -> None:
        """Connect; raise NotSent if the other side does not accept within the seconds."""
        try:
            self._sock = socket.create_connection(self._address, timeout, self._source)
        except OSError as exc:
            raise NotSent(f"connect: {type(exc).__name__}") from exc
        set_tcp_options(self._sock)

    def exchange(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Return status and body of the whole answer; raise NoResponse if it does not come."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        until = time.monotonic() + timeout
        try:
            return self._exchange(head.encode() + body, until)
        except (OSError, httptools.HttpParserError) as exc:
            self.close()
            raise NoResponse(f"no whole answer: {type(exc).__name__}") from exc

    def interrupt(self) -> None:
        """Break the connection under a call that waits on it."""
        self._broken = True
        if self._sock is not None:
            with suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._broken = True
        if self._sock is not None:
            self._sock.close()

    def _exchange(self, request: bytes, until: float) -> tuple[int, bytes]:
        response = Response()
        parser = httptools.HttpResponseParser(response)
        self._limit(until)
        self._sock.sendall(request)
        while not response.whole:
            self._limit(until)
            data = self._sock.recv(CHUNK_BYTES)
            if not data:
                raise ConnectionResetError("closed before the answer was whole")
            parser.feed_data(data)
        return parser.get_status_code(), bytes(response.body)

    def _limit(self, until: float) -> None:
        left = until - time.monotonic()
        if left <= 0:
            raise TimeoutError("the time for the answer is over")
        self._sock.settimeout(left)

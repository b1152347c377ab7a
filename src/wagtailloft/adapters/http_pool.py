"""Pooled HTTP client connections that read responses up to a size."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from wagtailloft.adapters.sockets import DISCARD_UNSENT, TCP_OPTIONS
from wagtailloft.clock import now

MAX_RESPONSE_BYTES = 32 << 20  # several times the largest list or batch of changes


@dataclass(frozen=True, kw_only=True)
class HttpReply:
    """A complete response."""

    status: int
    data: bytes
    headers: Mapping[str, str]


class _Sending(threading.local):
    """Until when a thread may send its present request."""

    until = float("inf")


_SENDING = _Sending()


class _BoundedConnection(HTTPConnection):
    """Look at the time right before sending: a process may have been frozen while it connected."""

    def send(self, data: Any) -> None:
        """Send data; raise TimeoutError after the time until which it may be sent."""
        if self.sock is None:
            self.connect()
        if now() > _SENDING.until:
            raise TimeoutError("the request was not sent in time")
        super().send(data)


class _BoundedConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _BoundedConnection


class HttpPool:
    """Send requests over pooled connections from a local IP address.

    With discard_unsent, a request that was given up, or whose process has ended, is not sent again.
    """

    def __init__(self, *, source: str, maxsize: int, discard_unsent: bool = False) -> None:
        options = (*TCP_OPTIONS, DISCARD_UNSENT) if discard_unsent else TCP_OPTIONS
        self._pool = urllib3.PoolManager(
            maxsize=maxsize,
            retries=False,
            socket_options=list(options),
            source_address=(source, 0),
        )
        self._pool.pool_classes_by_scheme = {"http": _BoundedConnectionPool}

    def request(
        self, method: str, url: str, *, send_until: float = float("inf"), **options: Any
    ) -> HttpReply:
        """Send a request and return the response; raise OSError or an HTTPError of urllib3.

        After send_until, in seconds of the clock, nothing is sent any more. The other options are
        those of urllib3. A response over MAX_RESPONSE_BYTES closes the connection.
        """
        _SENDING.until = send_until
        response = self._pool.request(method, url, preload_content=False, **options)
        try:
            data = response.read(MAX_RESPONSE_BYTES + 1)
        except BaseException:
            response.close()
            raise
        if len(data) > MAX_RESPONSE_BYTES:
            response.close()
            raise urllib3.exceptions.ProtocolError(
                f"the response is over {MAX_RESPONSE_BYTES >> 20} MiB"
            )
        response.release_conn()
        return HttpReply(status=response.status, data=data, headers=response.headers)

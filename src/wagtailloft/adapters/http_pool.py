"""Pooled HTTP client connections that read responses up to a size."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import urllib3

from wagtailloft.adapters.sockets import DISCARD_UNSENT, TCP_OPTIONS

MAX_RESPONSE_BYTES = 32 << 20  # several times the largest list or batch of changes


@dataclass(frozen=True, kw_only=True)
class HttpReply:
    """A complete response."""

    status: int
    data: bytes
    headers: Mapping[str, str]


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

    def request(self, method: str, url: str, **options: Any) -> HttpReply:
        """Send a request and return the response; raise OSError or an HTTPError of urllib3.

        The options are those of urllib3. A response over MAX_RESPONSE_BYTES closes the connection.
        """
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

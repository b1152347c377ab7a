"""TCP options that detect dead connections, and listening sockets.

Keepalive probes cover idle connections; TCP_USER_TIMEOUT limits how long sent data may stay
unacknowledged.
"""

import asyncio
import socket
import struct
from collections.abc import Callable

USER_TIMEOUT_MS = 5_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_COUNT = 3
LISTEN_BACKLOG = 512
ACCEPT_BATCH = 16  # connections that may be over a limit on descriptors for a moment

# Of what was sent to a client, the kernel keeps this much, twice, outside the process's own budget;
# it would keep up to 4 MB. Enough for 80 Mbit/s at a round trip of 6 ms.
CLIENT_SEND_BUFFER = (socket.SOL_SOCKET, socket.SO_SNDBUF, 64 << 10)

TCP_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)

# Resets the connection when it is closed, also by the end of the process: what was not received by
# then is never sent again.
DISCARD_UNSENT = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def set_tcp_options(sock: socket.socket) -> None:
    """Apply TCP_OPTIONS to a connected socket."""
    for option in TCP_OPTIONS:
        sock.setsockopt(*option)


async def start_listening(
    factory: Callable[[], asyncio.Protocol], ip: str, port: int
) -> asyncio.Server:
    """Listen for connections that use protocols of a factory.

    asyncio accepts as many connections at once as the backlog that it is given, before any of them
    can be refused, so it gets a small one; the socket then gets the full one.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.create_server((ip, port), family=family)
    server = await asyncio.get_running_loop().create_server(
        factory, sock=sock, backlog=ACCEPT_BATCH
    )
    sock.listen(LISTEN_BACKLOG)
    return server

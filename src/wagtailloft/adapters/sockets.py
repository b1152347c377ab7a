"""TCP options that detect dead connections.

Keepalive probes cover idle connections; TCP_USER_TIMEOUT limits how long sent data may stay
unacknowledged.
"""

import socket
import struct

USER_TIMEOUT_MS = 5_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_COUNT = 3

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

"""TCP socket options."""

import asyncio
import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""A dead idle connection is detected within 3 s: one second before the first probe and
one for each of two probes."""

USER_TIMEOUT_MS = 2_000
"""Time after which unacknowledged data closes a connection; round trips between data
centres take a few milliseconds."""


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and detect dead peers early."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)

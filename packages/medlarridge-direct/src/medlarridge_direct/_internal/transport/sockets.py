"""TCP socket options."""

import asyncio
import fcntl
import socket
import sys

from ..coordination.memory_account import FLOOR_BYTES, READ_BYTES, WRITE_LIMIT_BYTES
from .read_pacer import SPENT_READ_BYTES

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""A dead idle connection is detected within 3 s: one second before the first probe and
one for each of two probes."""

USER_TIMEOUT_MS = 2_000
"""Time after which unacknowledged data closes a connection; round trips between data
centres take a few milliseconds."""


SIOCOUTQ = 0x5411
"""Request of Linux for the bytes of a TCP socket that are not acknowledged."""

INT_BYTES = 4

READ_BUFFER = memoryview(bytearray(READ_BYTES))
READ_VIEWS = {
    size: READ_BUFFER[:size] for size in (FLOOR_BYTES, SPENT_READ_BYTES, READ_BYTES)
}
"""The buffer into which all connections read, by the size of a read. There is one event
loop, and what was read is parsed before the next read."""


def set_socket_options(transport: asyncio.Transport) -> None:
    """Disable Nagle's algorithm, detect dead peers early, bound the unsent bytes."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    transport.set_write_buffer_limits(high=WRITE_LIMIT_BYTES)
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


def is_acknowledged(transport: asyncio.Transport) -> bool:
    """Return whether the peer has acknowledged all bytes, False if that is unknown."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing() or transport.get_write_buffer_size():
        return False
    try:
        queued = fcntl.ioctl(sock.fileno(), SIOCOUTQ, bytes(INT_BYTES))
    except OSError:
        return False
    return int.from_bytes(queued, sys.byteorder) == 0

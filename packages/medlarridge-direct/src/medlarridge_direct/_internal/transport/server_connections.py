"""Kept connections to backend servers."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from ..protocol.servers import BackendServer
from .exchange import HttpConnection, open_connection

CONNECT_TIMEOUT_MS = 200
"""A server answers in a few milliseconds; a lost opening packet is sent again after a
second, by when another server has long been tried."""

KEEP_ALIVE_MARGIN_MS = 400
"""Kept connections are closed this much before the server would, so that a request
does not cross the server's close."""

DEFAULT_KEEP_ALIVE_MS = 4_000
"""Time for which a connection is kept where the server does not state it."""

MIN_CONNECTIONS = 2


class ConnectionLimitReached(TransportError):
    """This router has used its share of the server's connections."""


@dataclass(slots=True)
class ServerConnections:
    """Connections to one start of a server.

    The one that is idle for longest is used first, so that none reaches the end of its
    idle time while there is work; a new one costs the server a handshake.
    """

    idle: deque[HttpConnection] = field(default_factory=deque)
    idle_timers: dict[HttpConnection, asyncio.TimerHandle] = field(default_factory=dict)
    open_count: int = 0


class ConnectionPools:
    """Connections to all servers, by the server's instance."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerConnections] = {}
        self.connections_opened = 0

    async def acquire(self, server: BackendServer, limit: int) -> HttpConnection:
        """Return a kept connection, or a new one."""
        entry = self.servers.setdefault(server.instance, ServerConnections())
        while entry.idle:
            connection = entry.idle.popleft()
            self.cancel_idle_timer(entry, connection)
            if not connection.closed:
                return connection
        if entry.open_count >= max(limit, MIN_CONNECTIONS):
            raise ConnectionLimitReached(
                "no connection left", step="connect", peer=server.address
            )
        entry.open_count += 1
        self.connections_opened += 1
        try:
            connection = await open_connection(
                server.host, server.port, CONNECT_TIMEOUT_MS
            )
        except BaseException:
            entry.open_count -= 1
            raise
        connection.on_closed = lambda closed: self.remove_closed(
            server.instance, closed
        )
        return connection

    def release(
        self,
        server: BackendServer,
        connection: HttpConnection,
        keep_alive_ms: int | None,
    ) -> None:
        """Keep the connection for another request if it can take one."""
        entry = self.servers.get(server.instance)
        reusable = connection.release()
        idle_timeout_ms = (
            DEFAULT_KEEP_ALIVE_MS
            if keep_alive_ms is None
            else keep_alive_ms - KEEP_ALIVE_MARGIN_MS
        )
        if not reusable or entry is None or idle_timeout_ms <= 0:
            connection.close()
            return
        entry.idle.append(connection)
        entry.idle_timers[connection] = asyncio.get_running_loop().call_later(
            idle_timeout_ms / MS_PER_S, connection.close
        )

    def cancel_idle_timer(
        self, entry: ServerConnections, connection: HttpConnection
    ) -> None:
        """Stop the idle timer of a connection."""
        timer = entry.idle_timers.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def remove_closed(self, instance: str, connection: HttpConnection) -> None:
        """Drop a connection that was closed."""
        entry = self.servers.get(instance)
        if entry is None:
            return
        entry.open_count -= 1
        self.cancel_idle_timer(entry, connection)
        if connection in entry.idle:
            entry.idle.remove(connection)
        if entry.open_count <= 0:
            del self.servers[instance]

    def close_idle(self, instance: str) -> None:
        """Close the kept connections of a server that left or crashed."""
        entry = self.servers.get(instance)
        if entry is not None:
            for connection in list(entry.idle):
                connection.close()

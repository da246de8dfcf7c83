"""Persistent connections to backend servers."""

import asyncio
from collections import deque
from collections.abc import Callable

from msgspec import Struct, field

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from ..coordination.memory_account import MemoryAccount
from ..protocol.servers import BackendServer
from .http_connection import (
    Broken,
    ConnectionRefused,
    Data,
    End,
    Exchange,
    HttpConnection,
    RawResponseHead,
    open_connection,
)

CONNECT_TIMEOUT_MS = 200
"""A server accepts in a few milliseconds. A lost SYN is sent again only after a second,
so trying another server is faster."""

KEEP_ALIVE_MARGIN_MS = 400
"""Time by which idle connections are closed before the server would close them, so that
no request races with the server's close."""

DEFAULT_KEEP_ALIVE_MS = 4_000
"""Time for which idle connections are kept if the server does not state a limit."""

MIN_CONNECTIONS = 2

RESET_WAIT_MS = 10
"""Time in which a proxy in front of a server that has ended resets a connection."""

PROBE_TIMEOUT_MS = 2_000
"""Time in which a server that is running answers a request that needs no slot. A sound one
may be silent for a second."""

MAX_REPORT_BYTES = 65_536

MISDIRECTED_REQUEST = 421
"""Status of a server that is not the expected one."""


class ConnectionLimitReached(TransportError):
    """Raised when the router's share of the server's connections is in use."""


class ServerConnections(Struct):
    """Connections to one server instance.

    The connection that has been idle for longest is reused first, so that none reaches
    its idle timeout under load; a new one costs the server a handshake.
    """

    idle: deque[HttpConnection] = field(default_factory=deque)
    idle_timers: dict[HttpConnection, asyncio.TimerHandle] = field(default_factory=dict)
    open_count: int = 0


def ignore_idle_closed(instance: str) -> None:
    """Do nothing about an idle connection that its server has closed."""


class ConnectionPools:
    """Connections to all servers by instance, ``max_connections`` at most.

    ``on_idle_closed`` is called when a server has closed an idle connection.
    """

    def __init__(
        self, memory: MemoryAccount | None = None, max_connections: int | None = None
    ) -> None:
        self.memory = memory
        self.max_connections = max_connections
        self.open_count = 0
        self.servers: dict[str, ServerConnections] = {}
        self.connections_opened = 0
        self.on_idle_closed: Callable[[str], None] = ignore_idle_closed

    async def acquire(self, server: BackendServer, limit: int) -> HttpConnection:
        """Return an idle connection or a new one."""
        entry = self.servers.setdefault(server.instance, ServerConnections())
        while entry.idle:
            connection = entry.idle.popleft()
            self.cancel_idle_timer(entry, connection)
            if not connection.closed:
                return connection
        return await self.open(server, limit)

    async def open(self, server: BackendServer, limit: int) -> HttpConnection:
        """Return a new connection."""
        entry = self.servers.setdefault(server.instance, ServerConnections())
        if entry.open_count >= max(limit, MIN_CONNECTIONS):
            raise ConnectionLimitReached(
                "connection limit reached", step="connect", peer=server.address
            )
        if not self.make_room():
            raise ConnectionLimitReached(
                "too many connections", step="connect", peer=server.address
            )
        entry.open_count += 1
        self.open_count += 1
        self.connections_opened += 1
        try:
            connection = await open_connection(
                server.host, server.port, CONNECT_TIMEOUT_MS, self.memory
            )
        except BaseException:
            entry.open_count -= 1
            self.open_count -= 1
            raise
        connection.on_closed = lambda closed: self.remove_closed(
            server.instance, closed
        )
        return connection

    def make_room(self) -> bool:
        """Return whether another connection may be opened, in place of an idle one."""
        if self.max_connections is None or self.open_count < self.max_connections:
            return True
        entry = max(self.servers.values(), key=lambda each: len(each.idle))
        if not entry.idle:
            return False
        connection = entry.idle.popleft()
        self.cancel_idle_timer(entry, connection)
        connection.close()
        return True

    async def open_another(self, server: BackendServer, limit: int) -> HttpConnection:
        """Return a new connection in place of one that the server is closing.

        The old one counts until the event loop has handled its end.
        """
        return await self.open(server, max(limit, MIN_CONNECTIONS) + 1)

    async def is_refused(
        self, server: BackendServer, limit: int, or_reset: bool = True
    ) -> bool:
        """Return whether a server that closed a connection refuses another one.

        An accepted connection is kept idle in place of the closed one. With ``or_reset``
        one that is reset at once counts as refused, though the server may only have too
        many connections. A server that does not respond may still be running.
        """
        try:
            connection = await self.open_another(server, limit)
        except ConnectionRefused:
            return True
        except TransportError:
            return False
        try:
            await asyncio.sleep(RESET_WAIT_MS / MS_PER_S)
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.closed:
            return or_reset
        self.keep_idle(server, connection, DEFAULT_KEEP_ALIVE_MS)
        return False

    async def is_serving(
        self,
        server: BackendServer,
        limit: int,
        path: bytes,
        headers: bytes = b"",
        parse_start: Callable[[bytes], int | None] = lambda body: None,
    ) -> bool:
        """Return whether a server that closed a connection answers on another one.

        A proxy may accept connections for a server that has ended, so only an answer
        shows that it is running. One that names another start is from a server that has
        taken its place. Without a connection left to ask, it counts as running.
        """
        try:
            connection = await self.open_another(server, limit)
        except ConnectionLimitReached:
            return True
        except TransportError:
            return False
        report = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / MS_PER_S):
                exchange = connection.start(
                    b"GET %b HTTP/1.1\r\nHost: %b\r\n%b\r\n"
                    % (path, server.address.encode(), headers)
                )
                report = await read_report(exchange)
        except (TimeoutError, TransportError):
            return False
        finally:
            if report is None:
                connection.release()
                connection.abort()
        if report is None:
            return False
        self.release(server, connection, DEFAULT_KEEP_ALIVE_MS)
        status, body = report
        started_at = parse_start(body)
        return status != MISDIRECTED_REQUEST and started_at in (
            None,
            server.started_at or started_at,
        )

    def release(
        self,
        server: BackendServer,
        connection: HttpConnection,
        keep_alive_ms: int | None,
    ) -> None:
        """Keep the connection idle for reuse, or close it if it cannot be reused."""
        reusable = connection.release()
        idle_timeout_ms = (
            DEFAULT_KEEP_ALIVE_MS
            if keep_alive_ms is None
            else keep_alive_ms - KEEP_ALIVE_MARGIN_MS
        )
        if not reusable or idle_timeout_ms <= 0:
            connection.close()
            return
        self.keep_idle(server, connection, idle_timeout_ms)

    def keep_idle(
        self, server: BackendServer, connection: HttpConnection, idle_timeout_ms: int
    ) -> None:
        """Keep a connection idle for a time, or close it if its server has left."""
        entry = self.servers.get(server.instance)
        if entry is None:
            connection.close()
            return
        entry.idle.append(connection)
        entry.idle_timers[connection] = asyncio.get_running_loop().call_later(
            idle_timeout_ms / MS_PER_S, connection.close
        )

    def cancel_idle_timer(
        self, entry: ServerConnections, connection: HttpConnection
    ) -> None:
        """Cancel the idle timer of a connection."""
        timer = entry.idle_timers.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def remove_closed(self, instance: str, connection: HttpConnection) -> None:
        """Remove a connection that was closed."""
        self.open_count -= 1
        entry = self.servers.get(instance)
        if entry is None:
            return
        entry.open_count -= 1
        self.cancel_idle_timer(entry, connection)
        if connection in entry.idle:
            entry.idle.remove(connection)
            if connection.closed_by_peer:
                self.on_idle_closed(instance)
        if entry.open_count <= 0:
            del self.servers[instance]

    def close_idle(self, instance: str) -> None:
        """Close the idle connections to a server that left or is down."""
        entry = self.servers.get(instance)
        if entry is not None:
            for connection in list(entry.idle):
                connection.close()


async def read_report(exchange: Exchange) -> tuple[int, bytes] | None:
    """Return status and body of a report, None if it is broken or too long."""
    status = 0
    body = bytearray()
    while not isinstance(event := await exchange.next_event(), End):
        if isinstance(event, RawResponseHead):
            status = event.status
        elif isinstance(event, Data):
            body += event.data
        if isinstance(event, Broken) or len(body) > MAX_REPORT_BYTES:
            return None
    return status, bytes(body)

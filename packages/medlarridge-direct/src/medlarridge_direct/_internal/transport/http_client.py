"""HTTP client for the platform's store and other routers."""

import asyncio

from msgspec import Struct

from medlarridge._internal.clock import MS_PER_S, Clock, SystemClock
from medlarridge._internal.errors import TransportError

from ..coordination.memory_account import HeldControl, MemoryAccount
from ..protocol.requests import Headers
from .http_connection import (
    STATUS_OK,
    Broken,
    Data,
    HttpConnection,
    RawResponseHead,
    open_connection,
)

CONNECT_TIMEOUT_MS = 400
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Larger than any page of the store, whose objects have up to one megabyte."""

MAX_CALL_MS = 60_000
"""Time after which a call fails although its response still arrives. A response of the
largest size takes about 30 s over a link of 5 Mbit/s, and a watch waits up to 30 s."""


class HttpResponse(Struct, frozen=True):
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header given in lower case, or None."""
        for each, value in self.headers:
            if each.lower() == name:
                return value.strip()
        return None


class HttpClient:
    """Client of one HTTP service with persistent connections.

    A failed call closes its connection.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.clock = clock or SystemClock()
        self.memory = memory or MemoryAccount()
        self.idle: list[HttpConnection] = []
        self.calls = 0
        self.failures = 0

    async def get(
        self,
        path: bytes,
        read_timeout_ms: int,
        other_status: int = STATUS_OK,
    ) -> HttpResponse:
        """Return a response whose status is 200 or ``other_status``.

        Raise ``TransportError`` on any other status and on any failure.
        """
        response = await self.call(b"GET", path, b"", read_timeout_ms)
        if response.status in (STATUS_OK, other_status):
            return response
        self.failures += 1
        raise self.error(f"status {response.status}", path)

    async def call(
        self, method: bytes, path: bytes, body: bytes, read_timeout_ms: int
    ) -> HttpResponse:
        """Make one call and return its response.

        The call fails when nothing arrives for ``read_timeout_ms``, and after a long
        time, since a large response takes long over a slow link.
        """
        self.calls += 1
        try:
            return await self.send(method, path, body, read_timeout_ms)
        except TimeoutError:
            self.failures += 1
            raise self.error(f"no data for {read_timeout_ms} ms", path) from None
        except TransportError:
            self.failures += 1
            raise

    async def send(
        self, method: bytes, path: bytes, content: bytes, read_timeout_ms: int
    ) -> HttpResponse:
        """Send a request and return its response."""
        connection = await self.acquire_connection()
        lines = [
            b"%b %b HTTP/1.1" % (method, path),
            b"Host: %b:%d" % (self.host.encode(), self.port),
        ]
        if content:
            lines += [
                b"Content-Type: application/json",
                b"Content-Length: %d" % len(content),
            ]
        payload = b"\r\n".join([*lines, b"", content])
        head: RawResponseHead | None = None
        body = bytearray()
        held = HeldControl(self.memory)
        end_ms = self.clock.now_ms() + MAX_CALL_MS
        try:
            exchange = connection.start(payload)
            while True:
                async with asyncio.timeout(read_timeout_ms / MS_PER_S):
                    event = await exchange.next_event()
                if isinstance(event, RawResponseHead):
                    head = event
                elif isinstance(event, Data):
                    body += event.data
                    if self.clock.now_ms() > end_ms:
                        raise self.error("response takes too long", path)
                    if len(body) > MAX_RESPONSE_BYTES or not held.grow_to(len(body)):
                        raise self.error("response is too large", path)
                elif isinstance(event, Broken):
                    raise self.error(event.detail, path)
                else:
                    break
        except BaseException:
            connection.release()
            connection.abort()
            raise
        finally:
            held.release()
        if connection.release():
            self.idle.append(connection)
        else:
            connection.close()
        if head is None:
            raise self.error("response has no head", path)
        return HttpResponse(head.status, head.headers, bytes(body))

    async def acquire_connection(self) -> HttpConnection:
        """Return an idle connection or a new one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed:
                return connection
        return await open_connection(
            self.host, self.port, CONNECT_TIMEOUT_MS, self.memory
        )

    def error(self, message: str, path: bytes) -> TransportError:
        """Return the error of a failed call."""
        return TransportError(
            message, step=path.decode(), peer=f"{self.host}:{self.port}"
        )

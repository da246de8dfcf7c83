"""Calls to the platform's store over kept connections."""

import asyncio

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .exchange import (
    STATUS_OK,
    Broken,
    Data,
    HttpConnection,
    RawResponseHead,
    open_connection,
)

CONNECT_TIMEOUT_MS = 400
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Larger than any page of the store, which holds values up to a megabyte."""


class HttpClient:
    """Client of one HTTP service; a failed call closes its connection."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.idle: list[HttpConnection] = []
        self.calls = 0
        self.failures = 0

    async def get(
        self,
        path: bytes,
        read_timeout_ms: int,
        gone_status: int | None = None,
    ) -> bytes | None:
        """Return the body of an answer, or None if its status is ``gone_status``.

        Any other status and any failure raise ``TransportError``.
        """
        status, body = await self.call(b"GET", path, b"", read_timeout_ms)
        if status == STATUS_OK:
            return body
        if status == gone_status:
            return None
        self.failures += 1
        raise self.error(f"status {status}", path)

    async def call(
        self, method: bytes, path: bytes, body: bytes, read_timeout_ms: int
    ) -> tuple[int, bytes]:
        """Make one call; return status and body.

        The call fails when nothing arrives for ``silence_ms``; a large answer over a
        slow link takes as long as it needs.
        """
        self.calls += 1
        try:
            return await self.exchange(method, path, body, read_timeout_ms)
        except TimeoutError:
            self.failures += 1
            raise self.error(f"silent for {read_timeout_ms} ms", path) from None
        except TransportError:
            self.failures += 1
            raise

    async def exchange(
        self, method: bytes, path: bytes, content: bytes, read_timeout_ms: int
    ) -> tuple[int, bytes]:
        """Send a call and collect its answer."""
        connection = await self.connection()
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
        try:
            exchange = connection.start(payload)
            while True:
                async with asyncio.timeout(read_timeout_ms / MS_PER_S):
                    event = await exchange.next_event()
                if isinstance(event, RawResponseHead):
                    head = event
                elif isinstance(event, Data):
                    body += event.data
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise self.error("answer is too large", path)
                elif isinstance(event, Broken):
                    raise self.error(event.detail, path)
                else:
                    break
        except BaseException:
            connection.abort()
            raise
        if connection.release():
            self.idle.append(connection)
        else:
            connection.close()
        if head is None:
            raise self.error("answer without a head", path)
        return head.status, bytes(body)

    async def connection(self) -> HttpConnection:
        """Return a kept connection or a new one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed:
                return connection
        return await open_connection(self.host, self.port, CONNECT_TIMEOUT_MS)

    def error(self, message: str, path: bytes) -> TransportError:
        """Return the error of a failed call."""
        return TransportError(
            message, step=path.decode(), peer=f"{self.host}:{self.port}"
        )

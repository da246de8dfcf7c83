"""Responses to the requests of clients."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ..protocol.requests import ClientRequest

if TYPE_CHECKING:
    from .client_connection import ClientConnection

SEPARATE_CHUNK_BYTES = 16_384
"""Size from which a chunk is written without a copy."""

LAST_CHUNK = b"0\r\n\r\n"
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of responses that have neither a body nor a length."""


class ClientDisconnected(Exception):
    """Raised when the client has closed its connection."""


Handler = Callable[[ClientRequest, "ResponseWriter"], Awaitable[None]]


class ResponseWriter:
    """Writes the response to one request."""

    def __init__(self, connection: "ClientConnection", request: ClientRequest) -> None:
        self.connection = connection
        self.request = request
        self.started = False
        self.ended = False
        self.chunked = False
        self.has_body = request.method != b"HEAD"
        self.keep_alive = request.keep_alive

    @property
    def client_left(self) -> bool:
        """Return whether the client has closed its connection or its half of it."""
        return self.connection.client_left

    def begin(
        self, status: int, reason: bytes, headers: bytes, content_length: int | None
    ) -> None:
        """Write the head.

        Without a length, the body has chunks, or ends with the connection if the client
        does not accept them. A response that is cut is reset in either case. Responses
        to HEAD have no body, and those with some statuses have no length either.
        """
        self.started = True
        if status in BODILESS_STATUSES:
            self.has_body = False
            content_length = None
        if (
            self.connection.must_close_for_stop()
            or self.connection.must_close_for_rejection()
        ):
            self.keep_alive = False
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason), headers]
        if content_length is not None:
            lines.append(b"Content-Length: %d\r\n" % content_length)
        elif self.has_body and not self.request.accepts_chunks:
            self.keep_alive = False
        elif self.has_body:
            self.chunked = True
            lines.append(b"Transfer-Encoding: chunked\r\n")
        if not self.keep_alive:
            lines.append(b"Connection: close\r\n")
            self.connection.announces_close = True
        lines.append(b"\r\n")
        self.connection.write(b"".join(lines))

    async def write(self, data: bytes) -> None:
        """Write the next part of the body; wait while the client reads slowly."""
        if self.write_part(data):
            await self.connection.drain()

    async def write_last(self, data: bytes) -> None:
        """Write the last part of the body, complete the response, and wait likewise."""
        self.write_part(data)
        self.end()
        await self.connection.drain()

    def write_part(self, data: bytes) -> bool:
        """Write a part of the body; return whether it has any bytes."""
        if not data or not self.has_body:
            return False
        if not self.chunked:
            self.connection.write(data)
        elif len(data) < SEPARATE_CHUNK_BYTES:
            self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.connection.write(b"%x\r\n" % len(data))
            self.connection.write(data)
            self.connection.write(b"\r\n")
        return True

    def end(self) -> None:
        """Complete the response."""
        self.ended = True
        if self.chunked:
            self.connection.write(LAST_CHUNK)

    def send(self, status: int, headers: bytes, body: bytes) -> None:
        """Write a complete response."""
        self.begin(status, REASON_PHRASES.get(status, b"Error"), headers, len(body))
        if self.has_body:
            self.connection.write(body)
        self.ended = True

"""HTTP/1.1 connections of the soak's clients and stand-ins, based on h11.

The routers use another parser, so that its faults cannot cancel out here.
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

READ_BYTES = 65_536
NO_CONTENT = 204
NO_LINGER = struct.pack("ii", 1, 0)


class ConnectionClosed(Exception):
    """The peer closed the connection, or the connection was lost."""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A received request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class HttpConnection:
    """One HTTP/1.1 connection, as a client or as a server."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        role: type,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(role)
        self.eof_received = False
        self.is_head_request = False
        self.request_count = 0

    @property
    def closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    async def next_event(self) -> h11.Event:
        """Return the next h11 event received from the peer."""
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                if self.eof_received:
                    raise ConnectionClosed(str(error)) from error
                raise
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError as error:
                raise ConnectionClosed(str(error)) from error
            self.eof_received = not data
            self.protocol.receive_data(data)

    async def send(self, *events: h11.Event) -> None:
        """Send h11 events."""
        await self.send_bytes(b"".join(self.protocol.send(event) for event in events))

    async def send_bytes(self, data: bytes) -> None:
        """Send raw bytes, which may violate the protocol."""
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError as error:
            raise ConnectionClosed(str(error)) from error

    async def read_request(self) -> ReceivedRequest | None:
        """Return the next request, or None if the connection ends first."""
        head = await self.next_event()
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise ConnectionClosed("connection closed within a request body")
            body += event.data
        return ReceivedRequest(
            head.method, head.target, dict(head.headers), bytes(body)
        )

    async def respond(self, status: int, headers: list, body: bytes) -> None:
        """Send a complete response, without its body to a HEAD request."""
        if status != NO_CONTENT:
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        head = h11.Response(status_code=status, headers=headers)
        sent_body = b"" if self.is_head_request else body
        await self.send(head, h11.Data(sent_body), h11.EndOfMessage())

    def abort(self) -> None:
        """Drop the connection at once."""
        self.writer.transport.abort()

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without the option, dropping it may look like a close."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


async def serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handle: Callable[[HttpConnection, ReceivedRequest], Awaitable[None]],
) -> None:
    """Handle the requests of one connection in sequence."""
    connection = HttpConnection(reader, writer, h11.SERVER)
    try:
        while (request := await connection.read_request()) is not None:
            connection.request_count += 1
            connection.is_head_request = request.method == b"HEAD"
            await handle(connection, request)
            if connection.protocol.our_state is not h11.DONE:
                return
            connection.protocol.start_next_cycle()
    except (ConnectionClosed, h11.ProtocolError):
        connection.abort()
    finally:
        writer.close()

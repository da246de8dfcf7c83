"""HTTP/1.1 for the stand-ins and clients of the soak, by a parser of its own.

The routers parse with another library, so a mistake there does not hide itself here.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

READ_BYTES = 65_536


class PeerClosed(Exception):
    """The other side closed the connection, or it was lost."""


@dataclass(frozen=True, slots=True)
class Received:
    """A request as it arrived; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class HttpPeer:
    """One connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        role: type,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(role)
        self.ended = False

    @property
    def left(self) -> bool:
        """Whether the other side has closed."""
        return self.reader.at_eof() or self.writer.is_closing()

    async def next_event(self) -> h11.Event:
        """Return the next event of the other side."""
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as error:
                if self.ended:
                    raise PeerClosed(str(error)) from error
                raise
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError as error:
                raise PeerClosed(str(error)) from error
            self.ended = not data
            self.state.receive_data(data)

    async def send(self, *events: h11.Event) -> None:
        """Send events."""
        await self.send_bytes(b"".join(self.state.send(event) for event in events))

    async def send_bytes(self, data: bytes) -> None:
        """Send bytes that need not follow the protocol."""
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError as error:
            raise PeerClosed(str(error)) from error

    async def read_request(self) -> Received | None:
        """Return the next request, or None if the connection ends before it."""
        event = await self.next_event()
        if not isinstance(event, h11.Request):
            return None
        body = bytearray()
        while not isinstance(part := await self.next_event(), h11.EndOfMessage):
            if not isinstance(part, h11.Data):
                raise PeerClosed("request is not whole")
            body += part.data
        return Received(event.method, event.target, dict(event.headers), bytes(body))

    async def answer(self, status: int, headers: list, body: bytes) -> None:
        """Send a whole answer."""
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        head = h11.Response(status_code=status, headers=headers)
        await self.send(head, h11.Data(body), h11.EndOfMessage())

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


async def serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handle: Callable[[HttpPeer, Received], Awaitable[None]],
) -> None:
    """Handle the requests of one connection, one after the other."""
    peer = HttpPeer(reader, writer, h11.SERVER)
    try:
        while (request := await peer.read_request()) is not None:
            await handle(peer, request)
            if peer.state.our_state is not h11.DONE:
                return
            peer.state.start_next_cycle()
    except (PeerClosed, h11.ProtocolError):
        peer.abort()
    finally:
        writer.close()

"""Client side of HTTP/1.1: connections that carry one exchange at a time."""

import asyncio
from collections import deque
from collections.abc import Callable

import httptools
from msgspec import Struct

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError
from medlarridge._internal.protocol.server_sent_events import (
    EVENT_STREAM_TYPE,
    ID_FIELD,
)

from ..coordination.memory_account import FLOOR_BYTES, HeldAnswer, MemoryAccount
from ..protocol.requests import Framing, Headers
from .read_pacer import MESSAGE_PIECES, READ_PACER, ReadPace
from .sockets import READ_BUFFER, READ_VIEWS, is_acknowledged, set_socket_options

MAX_BUFFERED_BYTES = 1_048_576
"""Buffered response bytes above which reading pauses, as the consumer is slow. A server cuts
off a response that remains unread for some seconds; 64 KiB of one whose client gets
60 KB/s left it unread for 16 s."""

MIN_QUEUED_BYTES = 4_096
"""Size up to which queued bytes are joined with the next ones: an object for each byte
would cost fifty times the byte."""

MAX_FRAMING_BYTES = 65_536
FRAMING_PER_BODY_BYTE = 8
"""Bytes of heads, chunk sizes and trailers that are read for one request: a fixed number,
and more in proportion to the body, which may come in chunks of one byte."""

MAX_DISCARDED_BYTES = 1_048_576
"""Bytes of responses to earlier requests that are read for one request."""

TINY_PIECE_BYTES = 8
MAX_TINY_BYTES = 262_144
"""Bytes of chunks of one or two bytes, framing included, that may come as fast as they are
read. A server that sends them as it makes them fills no read with them."""

MAX_HEADERS = 256
"""Headers of one response; each costs some hundred bytes of memory."""

TURNS_AFTER_TIMEOUT = 6
"""Turns of the event loop in which a connection may still be opened. The loop runs its
timers before it looks at its sockets, so after a stall a timeout comes first."""

JOINED_BYTES = 16_384
"""Size up to which the body of a request is sent in one piece with its head."""

EVENT_STREAM = EVENT_STREAM_TYPE.encode()

STATUS_OK = 200
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class RawResponseHead(Struct, frozen=True):
    """Status line and headers of a response."""

    status: int
    reason: bytes
    headers: Headers
    framing: Framing


class Data(Struct):
    """Next bytes of the response body, which grow until they are taken."""

    data: bytes | bytearray

    def append(self, data: bytes) -> None:
        """Add bytes that have come since."""
        if isinstance(self.data, bytes):
            self.data = bytearray(self.data)
        self.data += data


class End(Struct, frozen=True):
    """The end of a complete response."""


class Broken(Struct, frozen=True):
    """A connection failure before the response was complete.

    ``ended_by_server`` tells that the server's side ended the connection, as its
    operating system does when the process ends, and ``malformed`` that it sent what no
    sound server sends.
    """

    detail: str
    ended_by_server: bool = False
    malformed: bool = False


ExchangeEvent = RawResponseHead | Data | End | Broken


class Exchange:
    """One request on a connection and the queued events of its response."""

    def __init__(self, connection: "HttpConnection") -> None:
        self.connection = connection
        self.events: deque[ExchangeEvent] = deque()
        self.waiter: asyncio.Future[None] | None = None
        self.held = HeldAnswer(connection.memory)
        self.finished = False

    def push(self, event: RawResponseHead | End | Broken) -> None:
        """Queue an event and wake the consumer."""
        self.events.append(event)
        if isinstance(event, End | Broken):
            self.finished = True
        self.wake()

    def push_data(self, data: bytes) -> None:
        """Queue bytes of the body, joined with those that were not taken yet."""
        last = self.events[-1] if self.events else None
        if isinstance(last, Data) and len(last.data) < MIN_QUEUED_BYTES:
            last.append(data)
        else:
            self.events.append(Data(data))
        self.held.set(self.held.size + len(data))
        if self.held.size > self.held.account.answer_limit(MAX_BUFFERED_BYTES):
            self.connection.pause()
        self.wake()

    def wake(self) -> None:
        """Wake the consumer."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(self) -> None:
        """Wait until there is an event."""
        while not self.events:
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None

    async def next_event(self) -> ExchangeEvent:
        """Wait for the next event and return it."""
        await self.wait()
        event = self.events.popleft()
        if isinstance(event, Data):
            self.held.set(self.held.size - len(event.data))
            if self.held.size <= self.held.account.answer_limit(MAX_BUFFERED_BYTES):
                self.connection.resume()
        return event

    def close(self) -> None:
        """Drop what was not taken of the response."""
        self.events.clear()
        self.held.release()


class HttpConnection(asyncio.BufferedProtocol):
    """Connection to one server.

    What is read goes into a buffer that all connections share, and is taken out of it at
    once. The parser appends the body's ``pieces`` of one read, which are joined after it.
    A connection that is ``paused`` waits for the consumer of the response, one that
    ``waits_turn`` for other connections.

    Bytes that arrive while no exchange is open belong to no request and close the
    connection. A response that ``matches_request`` rejects is a late response to an
    earlier request; it is discarded, and the connection is not reused. ``responses``
    counts the heads of final responses. ``closed_by_peer`` tells that the other side
    ended the connection.
    """

    def __init__(self, peer: str, memory: MemoryAccount | None = None) -> None:
        self.peer = peer
        self.memory = memory or MemoryAccount()
        self.transport: asyncio.Transport | None = None
        self.pieces: list[bytes] = []
        self.on_body = self.pieces.append
        self.parser = httptools.HttpResponseParser(self)
        self.pace = ReadPace(READ_PACER)
        self.waits_turn = False
        self.exchange: Exchange | None = None
        self.matches_request: Callable[[Headers], bool] | None = None
        self.on_closed: Callable[[HttpConnection], None] | None = None
        self.closed = False
        self.closed_by_peer = False
        self.must_close = False
        self.paused = False
        self.keep_alive = True
        self.is_head_request = False
        self.discarding = False
        self.in_message = False
        self.head_complete = False
        self.ends_at_close = False
        self.is_event_stream = False
        self.responses = 0
        self.reason = b""
        self.headers: Headers = []
        self.received_bytes = 0
        self.body_bytes = 0
        self.discarded_bytes = 0
        self.tiny_bytes = 0

    def has_arrived(self) -> bool:
        """Return whether the peer has acknowledged all bytes that were sent."""
        return self.transport is not None and is_acknowledged(self.transport)

    # Connection lifecycle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        set_socket_options(self.transport)

    def eof_received(self) -> bool:
        if self.exchange is not None and not self.exchange.finished:
            if self.in_message and self.head_complete and self.ends_at_close:
                self.finish_message()
            else:
                self.fail("connection closed by the server", ended_by_server=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed_by_peer = not self.closed
        self.closed = True
        self.fail(
            f"connection lost: {exc or 'closed'}",
            ended_by_server=isinstance(exc, ConnectionError),
        )
        if self.on_closed is not None:
            self.on_closed(self)

    def close(self) -> None:
        """Close; what is unsent of a request is dropped, as its exchange is over."""
        self.closed = True
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()

    def abort(self) -> None:
        """Close at once and drop buffered bytes."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Pause reading until the consumer of the response has caught up."""
        if not self.paused and self.transport is not None and not self.closed:
            self.paused = True
            if not self.waits_turn:
                self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading, in its turn if the last read cost too much."""
        if self.paused and self.transport is not None and not self.closed:
            self.paused = False
            if self.waits_turn:
                return
            if self.pace.must_wait or self.pace.pacer.is_spent:
                self.waits_turn = True
                self.pace.pacer.wait(self)
            else:
                self.transport.resume_reading()

    def wait_turn(self) -> None:
        """Pause reading until the turn of this connection."""
        if self.waits_turn or self.paused or self.transport is None or self.closed:
            return
        self.waits_turn = True
        self.transport.pause_reading()
        self.pace.pacer.wait(self)

    def begin_turn(self) -> int:
        """Read on, unless the consumer of the response must catch up first."""
        self.waits_turn = False
        if self.paused or self.closed or self.transport is None:
            return 0
        if self.transport.is_closing():
            return 0
        self.transport.resume_reading()
        return self.pace.units

    def start(
        self,
        head: bytes,
        matches_request: Callable[[Headers], bool] | None = None,
        is_head_request: bool = False,
        body: bytes = b"",
    ) -> Exchange:
        """Send a request and return its exchange."""
        if self.transport is None or self.closed:
            raise TransportError("connection is closed", step="send", peer=self.peer)
        self.exchange = Exchange(self)
        self.matches_request = matches_request
        self.is_head_request = is_head_request
        self.received_bytes = self.body_bytes = self.discarded_bytes = 0
        self.tiny_bytes = 0
        if len(body) <= JOINED_BYTES:
            self.transport.write(head + body)
        else:
            # A large body is sent without a copy.
            self.transport.write(head)
            self.transport.write(body)
        return self.exchange

    def release(self) -> bool:
        """Detach the exchange; return whether the connection can be reused."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.close()
        self.reason, self.headers = b"", []
        # What was not taken of the response may have paused reading.
        self.resume()
        return (
            exchange is not None
            and exchange.finished
            and not self.closed
            and not self.must_close
            and self.keep_alive
            and not self.in_message
            and self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
        )

    def fail(
        self, detail: str, ended_by_server: bool = False, malformed: bool = False
    ) -> None:
        """End the open exchange with a ``Broken`` event."""
        self.must_close = True
        if self.exchange is not None and not self.exchange.finished:
            self.exchange.push(Broken(detail, ended_by_server, malformed))

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ_VIEWS[self.pace.read_size(self.memory.read_size())]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(READ_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse bytes of responses."""
        if self.exchange is None or self.exchange.finished:
            self.must_close = True
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.push_body()
            detail = f"invalid HTTP response: {type(error).__name__}"
            self.fail(detail, malformed=True)
            self.abort()
            return
        self.push_body()
        self.received_bytes += len(data)
        if len(data) >= FLOOR_BYTES and self.pace.pieces * TINY_PIECE_BYTES > len(data):
            self.tiny_bytes += len(data)
        if self.exceeds_limits():
            self.fail("too many bytes that belong to no response body", malformed=True)
            self.abort()
        elif self.pace.end_read(len(data)):
            self.wait_turn()

    def exceeds_limits(self) -> bool:
        """Return whether the server has sent too much that is no part of the body."""
        content_bytes = self.body_bytes + self.discarded_bytes
        framing_bytes = self.received_bytes - content_bytes
        return (
            framing_bytes > MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * content_bytes
            or self.discarded_bytes > MAX_DISCARDED_BYTES
            or self.tiny_bytes > MAX_TINY_BYTES
            or len(self.headers) > MAX_HEADERS
        )

    # Parser callbacks

    def on_message_begin(self) -> None:
        if self.exchange is None or self.exchange.finished:
            self.must_close = True
        self.pace.pieces += MESSAGE_PIECES
        self.in_message = True
        self.head_complete = False
        self.discarding = False
        self.reason = b""
        self.headers = []

    def on_status(self, status: bytes) -> None:
        self.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        self.pace.pieces += 1
        # One header more than is allowed marks a head that has too many.
        if not self.head_complete and len(self.headers) <= MAX_HEADERS:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.head_complete = True
        status = self.parser.get_status_code()
        if self.exchange is None or self.exchange.finished:
            return
        if status < STATUS_OK:
            self.discarding = True
            return
        framing = self.response_framing(status)
        self.ends_at_close = framing is Framing.CLOSE
        self.is_event_stream = any(
            EVENT_STREAM in value
            for name, value in self.headers
            if name.lower() == b"content-type"
        )
        matches = self.matches_request is None or self.matches_request(self.headers)
        self.responses += 1
        if not matches:
            self.discarding = True
            self.must_close = True
            return
        self.exchange.push(RawResponseHead(status, self.reason, self.headers, framing))
        if self.is_head_request:
            self.must_close = True
            self.exchange.push(End())

    def response_framing(self, status: int) -> Framing:
        """Return what marks the end of the body."""
        if self.is_head_request or status in STATUSES_WITHOUT_BODY:
            return Framing.NO_BODY
        values = {name.lower(): value for name, value in self.headers}
        coding = values.get(b"transfer-encoding")
        if coding is not None:
            last_coding = coding.rpartition(b",")[2].strip().lower()
            # With any other last coding the body ends with its connection.
            return Framing.CHUNKED if last_coding == b"chunked" else Framing.CLOSE
        return Framing.LENGTH if b"content-length" in values else Framing.CLOSE

    def push_body(self) -> None:
        """Queue the pieces of the body that were parsed."""
        if not self.pieces:
            return
        self.pace.pieces += len(self.pieces)
        data = b"".join(self.pieces)
        self.pieces.clear()
        if self.exchange is None or self.exchange.finished:
            return
        if self.discarding:
            self.discarded_bytes += len(data)
            return
        self.body_bytes += len(data)
        if self.is_event_stream:
            # Each event with an ID is looked at.
            self.pace.pieces += data.count(ID_FIELD)
        self.exchange.push_data(data)

    def on_message_complete(self) -> None:
        self.push_body()
        self.keep_alive = self.parser.should_keep_alive()
        self.finish_message()

    def finish_message(self) -> None:
        """Handle the end of a message that was framed or ended with the connection."""
        self.in_message = False
        if self.discarding:
            self.discarding = False
            return
        if self.ends_at_close:
            self.must_close = True
        if self.exchange is not None and not self.exchange.finished:
            self.exchange.push(End())


class ConnectionRefused(TransportError):
    """Raised when nothing listens at the address of a server."""


async def open_connection(
    host: str, port: int, timeout_ms: int, memory: MemoryAccount | None = None
) -> HttpConnection:
    """Connect to a server; raise ``TransportError`` if that fails or takes too long."""
    peer = f"{host}:{port}"
    loop = asyncio.get_running_loop()
    timer: asyncio.Handle

    def expire(turns: int) -> None:
        """End the attempt after some more turns of the event loop."""
        nonlocal timer
        if turns:
            timer = loop.call_soon(expire, turns - 1)
        else:
            timeout.reschedule(loop.time())

    timer = loop.call_later(timeout_ms / MS_PER_S, expire, TURNS_AFTER_TIMEOUT)
    try:
        async with asyncio.timeout(None) as timeout:
            _, connection = await loop.create_connection(
                lambda: HttpConnection(peer, memory), host, port
            )
    except TimeoutError:
        raise TransportError(
            "no connection in time", step="connect", peer=peer
        ) from None
    except ConnectionRefusedError as error:
        raise ConnectionRefused(str(error), step="connect", peer=peer) from error
    except OSError as error:
        raise TransportError(str(error), step="connect", peer=peer) from error
    finally:
        timer.cancel()
    return connection

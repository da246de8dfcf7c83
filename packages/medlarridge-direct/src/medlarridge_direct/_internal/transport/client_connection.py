"""Server side of HTTP/1.1: connections from clients."""

import asyncio
from collections import deque
from collections.abc import Callable

import httptools

from medlarridge._internal.clock import MS_PER_S, Clock

from ..coordination.descriptor_shares import find_longest_idle
from ..coordination.memory_account import (
    FLOOR_BYTES,
    HEADER_BYTES,
    READ_BYTES,
    SMALL_REQUEST_BYTES,
    HeldRequest,
    MemoryAccount,
)
from ..protocol.configuration import ClientLimits
from ..protocol.requests import ClientRequest, Headers
from .read_pacer import CLIENT_READ_PACER, MESSAGE_PIECES, ReadPace
from .response_writer import (
    REASON_PHRASES,
    ClientDisconnected,
    Handler,
    ResponseWriter,
)
from .sockets import READ_BUFFER, READ_VIEWS, set_socket_options

MAX_PIPELINED_REQUESTS = 4
"""Requests that are read ahead on one connection; others stay in the socket buffer."""

PARSED_BYTES = 512
"""Bytes that are parsed before it is looked whether enough requests are read ahead. The
objects of the smallest request cost twenty times its bytes."""

MAX_TARGET_BYTES = 8_192

FRAMING_PER_BODY_BYTE = 8
"""Bytes of chunk sizes that are read for each byte of a body, which may come in chunks
of one byte."""

MAX_BODY_MS = 60_000
"""Time after which the body of a request must have come. One that does not arrive for the
idle timeout ends sooner."""

LINGER_MS = 1_000
MAX_LINGER_MS = 10_000
MAX_DROPPED_BODY_BYTES = 8_388_608
MAX_DROPPED_FRAMING_BYTES = 65_536
"""How the rest of a message is dropped after its early response: until nothing has come
for some time, for a longer time at most, and up to a size for bodies and other bytes."""

INTERNAL_ERROR_STATUS = 502

BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
NO_CONTENT = (b"content-length", b"0")


class ClientConnection(asyncio.BufferedProtocol):
    """Connection from a client, whose requests are handled one after the other.

    The first request of a connection from the accept queue counts as received at
    ``queued_since_ms``. The client's time for sending its head begins when it is read.
    A request whose body finds no room in ``memory`` is handled at once, without it, and
    the rest of the body is read and dropped. The parser appends the ``pieces`` of a body
    of one read, which are joined after it.

    Beyond ``max_connections``, the connection that has been idle for longest is closed.
    If none is, ``max_refused`` more are told that there is no room, others are closed.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        clock: Clock,
        connections: set["ClientConnection"],
        is_stopping: Callable[[], bool],
        queued_since_ms: int | None = None,
        memory: MemoryAccount | None = None,
        max_connections: int | None = None,
        max_refused: int = 0,
    ) -> None:
        self.memory = memory or MemoryAccount()
        self.max_connections = max_connections
        self.max_refused = max_refused
        self.came_late = False
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.connections = connections
        self.is_stopping = is_stopping
        self.queued_since_ms = queued_since_ms
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.pieces: list[bytes] = []
        self.on_body = self.pieces.append
        self.parser = httptools.HttpRequestParser(self)
        self.pace = ReadPace(CLIENT_READ_PACER)
        self.waits_turn = False
        self.pending: deque[tuple[ClientRequest, HeldRequest]] = deque()
        self.unparsed = b""
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.drain_waiter: asyncio.Future[None] | None = None
        self.write_paused = False
        self.disconnected = False
        self.client_left = False
        self.rejected_status: int | None = None
        self.rejected_has_response = False
        self.announces_close = False
        self.idle_since_ms = clock.now_ms()
        self.message_started_ms: int | None = None
        self.last_read_ms = self.idle_since_ms
        self.received_bytes = 0
        self.body_bytes = 0
        self.droppable_bytes: int | None = None
        self.reset_message()

    def reset_message(self) -> None:
        """Clear the state of the message that is being read."""
        self.target = b""
        self.headers: Headers = []
        self.body = bytearray()
        self.declared_bytes = 0
        self.message_body_bytes = 0
        self.header_bytes = 0
        self.head_complete = False
        self.body_omitted = False
        self.awaits_continue = False
        # One that is read ahead is not in flight, so all of it is counted.
        small_bytes = 0 if self.is_handling else SMALL_REQUEST_BYTES
        self.held = HeldRequest(self.memory, small_bytes)

    # Connection lifecycle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        set_socket_options(self.transport)
        self.make_room()
        self.connections.add(self)
        self.check_timeouts()

    def is_refused(self) -> bool:
        """Return whether this connection came late and there is still no room for it."""
        self.came_late = (
            self.came_late
            and self.max_connections is not None
            and len(self.connections) > self.max_connections
        )
        return self.came_late

    def make_room(self) -> None:
        """Close the connection that has been idle for longest, or this one."""
        if self.max_connections is None or self.max_connections > len(self.connections):
            return
        idle = find_longest_idle(self.connections, self.clock.now_ms())
        if idle is not None:
            self.connections.discard(idle)
            idle.close()
            return
        self.came_late = True
        if len(self.connections) >= self.max_connections + self.max_refused:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.disconnected = self.client_left = True
        self.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_exception(ClientDisconnected())
        if self.task is not None:
            self.task.cancel()
        self.drop_unhandled()

    def drop_unhandled(self) -> None:
        """Drop the requests that are not handled, as the client has disconnected.

        The parser refers to the connection, so the interpreter frees it late.
        """
        self.body = bytearray()
        self.held.release()
        for _, held in self.pending:
            held.release()
        self.pending.clear()
        self.unparsed = b""

    def eof_received(self) -> bool:
        self.client_left = True
        if self.task is not None:
            self.task.cancel()
        return False

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_result(None)

    async def drain(self) -> None:
        """Wait until the write buffer has drained below its low-water mark."""
        if self.disconnected:
            raise ClientDisconnected
        if self.write_paused:
            self.drain_waiter = self.loop.create_future()
            try:
                await self.drain_waiter
            finally:
                self.drain_waiter = None

    def write(self, data: bytes) -> None:
        """Write bytes unless the client has disconnected."""
        if self.transport is not None and not self.disconnected:
            self.transport.write(data)

    def close(self) -> None:
        """Close once the buffered bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, so that a truncated response does not look complete."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def idle(self) -> bool:
        """Return whether no request is being read, pending or being handled."""
        return (
            not self.is_handling
            and self.message_started_ms is None
            and not self.waits_turn
        )

    @property
    def is_handling(self) -> bool:
        """Return whether a request that was read whole has no answer yet."""
        return self.task is not None or bool(self.pending)

    def must_close_for_stop(self) -> bool:
        """Return whether the response that begins must announce the connection's end.

        That is so while the router stops, unless a pipelined request is pending.
        """
        return self.is_stopping() and not self.pending

    def must_close_for_rejection(self) -> bool:
        """Return whether this is the last response, to a message that is not read on."""
        return self.rejected_has_response and not self.pending

    # Timeouts

    def check_timeouts(self) -> None:
        """Enforce the idle and header timeouts and schedule the next check."""
        limits = self.limits()
        now_ms = self.clock.now_ms()
        if self.task is not None:
            remaining_ms = limits.header_timeout_ms
        elif self.message_started_ms is not None and not self.head_complete:
            remaining_ms = self.message_started_ms + limits.header_timeout_ms - now_ms
            if remaining_ms <= 0:
                self.reject_message(408)
                return
        elif self.message_started_ms is not None:
            remaining_ms = self.body_time_left_ms(now_ms)
            if remaining_ms <= 0:
                self.reject_message(408)
                return
        else:
            remaining_ms = self.idle_since_ms + limits.idle_timeout_ms - now_ms
            if remaining_ms <= 0:
                self.close()
                return
        self.timer = self.loop.call_later(
            max(remaining_ms, 1) / MS_PER_S, self.check_timeouts
        )

    def body_time_left_ms(self, now_ms: int) -> int:
        """Return the time in which more of a body, or all of it, must come."""
        assert self.message_started_ms is not None
        return (
            min(
                self.last_read_ms + self.limits().idle_timeout_ms,
                self.message_started_ms + MAX_BODY_MS,
            )
            - now_ms
        )

    # Reading

    @property
    def is_dropping(self) -> bool:
        """Return whether what comes is dropped, as the last response was determined."""
        return self.rejected_status is not None or self.announces_close

    def get_buffer(self, sizehint: int) -> memoryview:
        body_left = self.declared_bytes - self.message_body_bytes
        is_large = body_left >= READ_BYTES or self.is_dropping
        return READ_VIEWS[self.pace.read_size(READ_BYTES if is_large else FLOOR_BYTES)]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(READ_BUFFER[:nbytes])
        if self.pace.end_read(nbytes):
            self.wait_turn()

    def wait_turn(self) -> None:
        """Pause reading until the turn of this connection."""
        if self.waits_turn or not self.may_read:
            return
        self.waits_turn = True
        self.transport.pause_reading()
        self.pace.pacer.wait(self)

    def begin_turn(self) -> int:
        """Read on, unless too many requests are read ahead."""
        self.waits_turn = False
        if not self.may_read:
            return 0
        self.transport.resume_reading()
        return self.pace.units

    @property
    def may_read(self) -> bool:
        """Return whether the connection is open and what comes can be taken."""
        return (
            (len(self.pending) < MAX_PIPELINED_REQUESTS or self.is_dropping)
            and self.transport is not None
            and not self.disconnected
            and not self.transport.is_closing()
        )

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse bytes of requests, and keep those that follow enough requests."""
        self.last_read_ms = self.clock.now_ms()
        if self.unparsed:
            self.unparsed += data
            return
        while data:
            if self.is_dropping:
                self.drop(len(data))
                return
            if len(self.pending) >= MAX_PIPELINED_REQUESTS:
                self.unparsed = bytes(data)
                break
            body_left = self.declared_bytes - self.message_body_bytes
            size = max(PARSED_BYTES, body_left)
            self.parse_part(data[:size])
            data = data[size:]
        if len(self.pending) >= MAX_PIPELINED_REQUESTS and self.transport is not None:
            self.transport.pause_reading()

    def parse_part(self, data: bytes | memoryview) -> None:
        """Parse bytes and reject a message that is invalid or exceeds the limits."""
        self.received_bytes += len(data)
        try:
            self.parse(data)
        except httptools.HttpParserError:
            self.add_body()
            self.reject_message(400)
        self.add_body()
        if self.exceeds_limits():
            self.reject_message(431)

    def parse(self, data: bytes | memoryview) -> None:
        """Parse requests; an offer to change the protocol is not taken.

        What follows it is the next request.
        """
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
                self.parser = httptools.HttpRequestParser(self)

    def exceeds_limits(self) -> bool:
        """Return whether too much was read since the last request beside its body.

        What is read at once may hold several requests, so each may be this large.
        """
        limits = self.limits()
        head_bytes = limits.max_header_bytes + MAX_TARGET_BYTES
        framing_bytes = self.received_bytes - self.body_bytes
        return framing_bytes > (
            MAX_PIPELINED_REQUESTS * head_bytes
            + FRAMING_PER_BODY_BYTE * self.body_bytes
        )

    def on_message_begin(self) -> None:
        self.pace.pieces += MESSAGE_PIECES
        self.reset_message()
        self.message_started_ms = self.clock.now_ms()
        if self.task is None and self.timer is not None:
            self.timer.cancel()
            self.check_timeouts()

    def on_url(self, url: bytes) -> None:
        self.target += url
        if len(self.target) > MAX_TARGET_BYTES:
            self.reject_message(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.pace.pieces += 1
        if self.head_complete or self.rejected_status is not None:
            return
        self.headers.append((name, value))
        self.header_bytes += len(name) + len(value) + 4
        if self.header_bytes > self.limits().max_header_bytes:
            self.reject_message(431)
        elif not self.held.grow_to(self.head_cost):
            self.memory.refused += 1
            self.reject_message(503)

    def on_headers_complete(self) -> None:
        self.head_complete = True
        # The parser leaves out the body of a request that offers another protocol.
        omits_body = self.parser.should_upgrade()
        for name, value in self.headers:
            lowered = name.lower()
            if (
                omits_body
                and (lowered, value) != NO_CONTENT
                and lowered in BODY_HEADERS
            ):
                self.reject_message(400)
            elif lowered == b"content-length":
                if value.isdigit() and int(value) > self.limits().max_body_bytes:
                    self.reject_message(413)
                elif value.isdigit():
                    self.declared_bytes = int(value)
            elif lowered == b"expect" and value.lower() == b"100-continue":
                self.awaits_continue = True
        self.hold_body(self.declared_bytes)
        self.invite_body()

    def invite_body(self) -> None:
        """Ask a client that awaits it for its body, after the earlier responses."""
        is_read = self.rejected_status is None and not self.body_omitted
        if self.awaits_continue and is_read and not self.is_handling:
            self.awaits_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def head_cost(self) -> int:
        """Return what the head of the message costs, its objects included."""
        return self.header_bytes + HEADER_BYTES * len(self.headers)

    def hold_body(self, size: int) -> None:
        """Hold memory for a body of this size, or have the request refused at once."""
        is_read = self.rejected_status is None and not self.body_omitted
        if is_read and not self.held.grow_to(self.head_cost + size):
            self.body_omitted = True
            self.body = bytearray()
            self.queue_request()

    def add_body(self) -> None:
        """Add the pieces of the body that were parsed."""
        if not self.pieces:
            return
        self.pace.pieces += len(self.pieces)
        data = b"".join(self.pieces)
        self.pieces.clear()
        self.body_bytes += len(data)
        self.message_body_bytes += len(data)
        if self.rejected_status is not None:
            return
        if self.message_body_bytes > self.limits().max_body_bytes:
            self.reject_message(413)
            return
        self.hold_body(self.message_body_bytes)
        if not self.body_omitted:
            self.body += data

    def on_message_complete(self) -> None:
        self.add_body()
        if self.rejected_status is not None or self.announces_close:
            return
        self.received_bytes = self.body_bytes = 0
        self.idle_since_ms = self.clock.now_ms()
        if not self.body_omitted:
            self.queue_request()
        self.reset_message()
        self.message_started_ms = None

    def queue_request(self) -> None:
        """Queue the request that was read, and handle it if none is being handled."""
        queued_since_ms, self.queued_since_ms = self.queued_since_ms, None
        is_crowded = self.is_refused()
        request = ClientRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=self.headers,
            body=self.body,
            received_ms=queued_since_ms
            or self.message_started_ms
            or self.clock.now_ms(),
            # A client that awaited a go-ahead may send its next request in place of
            # the body that is not wanted.
            keep_alive=self.parser.should_keep_alive()
            and not (self.body_omitted and self.awaits_continue)
            and not is_crowded,
            accepts_chunks=self.parser.get_http_version() != "1.0",
            body_omitted=self.body_omitted,
            is_crowded=is_crowded,
        )
        held, self.held = self.held, HeldRequest(self.memory)
        self.pending.append((request, held))
        self.start_next_request()

    def reject_message(self, status: int) -> None:
        """Reject a message that violates the limits or HTTP, and close.

        Requests that were read before it are answered first. A message that has its
        response already, as its body is not kept, gets no second one.
        """
        if self.rejected_status is not None:
            return
        self.rejected_status = status
        self.rejected_has_response = self.body_omitted
        self.body = bytearray()
        self.held.release()
        if not self.is_handling:
            self.send_rejection(status)

    def send_rejection(self, status: int) -> None:
        """Answer a message that was rejected, unless it was answered, and close."""
        if not self.rejected_has_response:
            body = b'{"error": "%s"}' % REASON_PHRASES[status].lower()
            self.write(
                b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\nConnection: close\r\n\r\n%s"
                % (status, REASON_PHRASES[status], len(body), body)
            )
        if status == 400:
            # What follows a message that is no HTTP may belong to another request.
            self.close()
        else:
            self.linger()

    # Handling

    def start_next_request(self) -> None:
        """Handle the next request if none is being handled."""
        if self.task is not None or not self.pending or self.disconnected:
            return
        request, held = self.pending.popleft()
        self.task = self.loop.create_task(self.handle(request))
        # A task that is cancelled before its first step runs no code of its own.
        self.task.add_done_callback(lambda task: held.release())

    async def handle(self, request: ClientRequest) -> None:
        """Handle one request, then start the next one."""
        response = ResponseWriter(self, request)
        try:
            # Let the event loop read once more: if a client gave up while this process
            # was stalled, its close follows the request directly.
            await asyncio.sleep(0)
            await self.handler(request, response)
            if response.ended:
                # Further requests wait until their client reads.
                await self.drain()
        except (asyncio.CancelledError, ClientDisconnected):
            self.abort()
            return
        except Exception as error:
            self.loop.call_exception_handler(
                {"message": "error while handling a request", "exception": error}
            )
            if not response.started:
                response.keep_alive = False
                response.send(INTERNAL_ERROR_STATUS, b"", b"")
        finally:
            self.task = None
        self.idle_since_ms = self.clock.now_ms()
        if not response.ended:
            self.abort()
        elif not response.keep_alive and request.body_omitted:
            self.linger()
        elif not response.keep_alive:
            self.close()
        elif self.pending:
            self.resume_reading()
            self.start_next_request()
        elif self.rejected_status is not None:
            self.send_rejection(self.rejected_status)
        else:
            # If the response began before the stop, it announced no close, and the next
            # request may be on its way; its response does.
            self.resume_reading()
            self.invite_body()

    def linger(self) -> None:
        """Read and drop the rest of a message for a while, then close.

        A close while bytes are unread would reset the connection, and the client might
        not read the response that it has been sent.
        """
        is_body = self.head_complete and self.rejected_status != 431
        self.droppable_bytes = (
            MAX_DROPPED_BODY_BYTES if is_body else MAX_DROPPED_FRAMING_BYTES
        )
        if self.transport is not None and not self.waits_turn:
            self.transport.resume_reading()
        self.check_linger(self.clock.now_ms() + MAX_LINGER_MS)

    def check_linger(self, end_ms: int) -> None:
        """Close if nothing has come for some time, or at the end; look again else."""
        quiet_ms = self.last_read_ms + LINGER_MS
        left_ms = min(quiet_ms, end_ms) - self.clock.now_ms()
        if left_ms <= 0:
            self.close()
        else:
            self.loop.call_later(left_ms / MS_PER_S, self.check_linger, end_ms)

    def drop(self, size: int) -> None:
        """Drop bytes that came after a response which closes the connection."""
        if self.droppable_bytes is not None:
            self.droppable_bytes -= size
            if self.droppable_bytes < 0:
                self.close()

    def resume_reading(self) -> None:
        """Parse and read on, unless too many requests are read ahead.

        Others may have their turn to be read first.
        """
        if self.unparsed and len(self.pending) < MAX_PIPELINED_REQUESTS:
            data, self.unparsed = self.unparsed, b""
            self.data_received(data)
        if (
            len(self.pending) < MAX_PIPELINED_REQUESTS
            and self.transport is not None
            and not self.waits_turn
        ):
            self.transport.resume_reading()

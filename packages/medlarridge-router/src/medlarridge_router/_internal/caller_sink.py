"""Writes the response to the caller: buffers small bodies, forwards streams."""

from collections.abc import Callable

from medlarridge._internal.clock import Clock
from medlarridge._internal.protocol.caller import (
    HOP_BY_HOP_HEADERS,
    OUTCOME_AT_END,
    OUTCOME_HEADER,
    REQUEST_HEADER,
)
from medlarridge._internal.protocol.messages import Outcome, ResponseHead
from medlarridge._internal.protocol.server_sent_events import (
    EVENT_STREAM_TYPE,
    EventSplitter,
    StreamEvent,
)
from medlarridge._internal.transport.asgi import HttpResponse, ResponseAborted

from .event_stream import EventDigest, end_marker, outcome_event

MAX_BUFFERED_BYTES = 1024 * 1024
"""Maximum size of a buffered body. While a body is buffered, another attempt can
replace it, and its outcome can still be sent in a header."""


class ResponseMismatch(ResponseAborted):
    """A later attempt produced a different response, so the stream cannot continue."""


class CallerSink:
    """Writes one response to the caller, possibly from several attempts."""

    def __init__(
        self,
        response: HttpResponse,
        request_id: str,
        clock: Clock,
        on_piece: Callable[[int | None], None],
    ) -> None:
        self.response = response
        self.request_id = request_id
        self.clock = clock
        self.on_piece = on_piece
        self.head: ResponseHead | None = None
        self.buffered = bytearray()
        self.splitter: EventSplitter | None = None
        self.end_marker_received = False
        self.committed = False
        self.last_piece_ms: int | None = None
        self.sent_events = EventDigest()
        self.replayed_events: EventDigest | None = None

    @property
    def can_restart(self) -> bool:
        """Return whether another attempt can still complete the response.

        An event stream can be continued if the next attempt first repeats the events
        that were already sent.
        """
        return not self.committed or self.sent_events.count > 0

    def start_next_attempt(self) -> None:
        """Discard what an earlier attempt produced and the caller has not received."""
        if not self.can_restart:
            raise ValueError("part of the response has already been sent to the caller")
        self.head = None
        self.buffered.clear()
        self.splitter = None
        self.end_marker_received = False
        self.replayed_events = EventDigest() if self.sent_events.count else None

    async def write_head(self, head: ResponseHead) -> None:
        """Store the status and headers of the response."""
        self.head = head
        content_type = dict(head.headers).get("content-type", "")
        if content_type.startswith(EVENT_STREAM_TYPE):
            self.splitter = EventSplitter()
        elif self.committed:
            raise ResponseMismatch(f"another run of the request gave {head.status}")

    async def write_data(self, data: bytes) -> None:
        """Buffer or forward the next piece of the body."""
        if self.splitter is not None:
            data = self.unseen_events(self.splitter.feed(data))
            if not data:
                return
            await self.commit()
        elif not self.committed:
            self.buffered += data
            if len(self.buffered) <= MAX_BUFFERED_BYTES:
                return
            await self.commit()
            data = bytes(self.buffered)
            self.buffered.clear()
        self.record_piece()
        await self.response.write(data)

    def unseen_events(self, events: list[StreamEvent]) -> bytes:
        """Return the events that the caller has not received.

        The end marker is withheld: only a complete response gets one.
        """
        unseen = []
        for stream_event in events:
            event = stream_event.data
            if stream_event.is_end_marker:
                self.end_marker_received = True
            elif self.replayed_events is not None:
                self.skip_replayed(event, self.replayed_events)
            else:
                self.sent_events.add(event)
                unseen.append(event)
        return b"".join(unseen)

    def skip_replayed(self, event: bytes, replayed_events: EventDigest) -> None:
        """Skip an event that repeats one of an earlier attempt.

        Raise ``ResponseMismatch`` if the repeated events differ from those sent.
        """
        replayed_events.add(event)
        if replayed_events.count < self.sent_events.count:
            return
        if not replayed_events.matches(self.sent_events):
            raise ResponseMismatch("another run of the request gave another answer")
        self.replayed_events = None

    def record_piece(self) -> None:
        """Report the time since the previous piece, ``None`` for the first one."""
        now_ms = self.clock.now_ms()
        last_ms = self.last_piece_ms
        self.on_piece(None if last_ms is None else now_ms - last_ms)
        self.last_piece_ms = now_ms

    async def commit(self) -> None:
        """Start the response to the caller; it cannot be replaced afterwards."""
        if self.committed or self.head is None:
            return
        self.committed = True
        await self.response.start(
            self.head.status, self.response_headers(self.head, OUTCOME_AT_END)
        )

    def response_headers(
        self, head: ResponseHead, outcome: str
    ) -> list[tuple[str, str]]:
        """Return the headers of the response to the caller."""
        excluded = {OUTCOME_HEADER, REQUEST_HEADER, *HOP_BY_HOP_HEADERS}
        return [
            *((name, value) for name, value in head.headers if name not in excluded),
            (OUTCOME_HEADER, outcome),
            (REQUEST_HEADER, self.request_id),
        ]

    async def finish(self) -> Outcome:
        """End a complete response and return its outcome.

        An event stream without its end marker, or one that ended before it repeated
        all events already sent, is incomplete even if the server closed the
        connection cleanly. Its outcome is unknown.
        """
        if self.head is None:
            raise ValueError("a response without status and headers cannot be complete")
        if self.splitter is not None and not self.end_marker_received:
            return Outcome.UNKNOWN
        if self.replayed_events is not None:
            return Outcome.UNKNOWN
        if not self.committed and self.splitter is None:
            self.record_piece()
            await self.response.reply(
                self.head.status,
                bytes(self.buffered),
                self.response_headers(self.head, Outcome.COMPLETE),
            )
            return Outcome.COMPLETE
        await self.commit()
        if self.splitter is not None:
            await self.response.write(
                outcome_event(Outcome.COMPLETE, self.request_id) + end_marker()
            )
        await self.response.end()
        return Outcome.COMPLETE

    async def fail_stream(self, detail: str) -> None:
        """Write the outcome of an interrupted stream, without an end marker."""
        if self.sent_events.count:
            await self.response.write(
                outcome_event(Outcome.UNKNOWN, self.request_id, detail)
            )

"""Receivers of an answer: whole answers are held, streams are passed on."""

from collections.abc import Callable

from medlarridge._internal.clock import Clock
from medlarridge._internal.protocol.caller import (
    HOP_BY_HOP_HEADERS,
    OUTCOME_AT_END,
    OUTCOME_HEADER,
    REQUEST_HEADER,
)
from medlarridge._internal.protocol.messages import Outcome, ResponseHead
from medlarridge._internal.transport.asgi import HttpResponse, ResponseAborted

from .event_stream import EventDigest, EventSplitter, end_mark, outcome_event

HELD_BYTES = 1024 * 1024
"""Size up to which an answer is held, so that its outcome goes in a header and
another attempt can still replace it."""


class ResponseMismatch(ResponseAborted):
    """Another run of the request gave another answer, so the stream cannot go on."""


class CallerSink:
    """Passes one answer to the caller, possibly from several attempts."""

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
        self.held = bytearray()
        self.splitter: EventSplitter | None = None
        self.committed = False
        self.last_piece_ms: int | None = None
        self.sent = EventDigest()
        self.repeated: EventDigest | None = None

    @property
    def can_restart(self) -> bool:
        """Return whether another attempt can still give the whole answer.

        A stream of events can go on where it broke off if the next run says the
        same up to there.
        """
        return not self.committed or self.sent.count > 0

    def next_attempt(self) -> None:
        """Forget what an earlier attempt gave and the caller has not seen."""
        if not self.can_restart:
            raise ValueError("the caller has already seen a part of the answer")
        self.head = None
        self.held.clear()
        self.splitter = None
        self.repeated = EventDigest() if self.sent.count else None

    async def write_head(self, head: ResponseHead) -> None:
        """Take status and headers of the answer."""
        self.head = head
        kind = dict(head.headers).get("content-type", "")
        if kind.startswith("text/event-stream"):
            self.splitter = EventSplitter()
        elif self.committed:
            raise ResponseMismatch(f"another run of the request gave {head.status}")

    async def write_data(self, data: bytes) -> None:
        """Take the next piece of the body."""
        if self.splitter is not None:
            data = self.new_events(self.splitter.feed(data))
            if not data:
                return
            await self.commit()
        elif not self.committed:
            self.held += data
            if len(self.held) <= HELD_BYTES:
                return
            await self.commit()
            data = bytes(self.held)
            self.held.clear()
        self.note_piece()
        await self.response.write(data)

    def new_events(self, events: list[bytes]) -> bytes:
        """Return the events that the caller has not seen."""
        new = []
        for event in events:
            if self.repeated is not None:
                self.repeat(event, self.repeated)
            else:
                self.sent.add(event)
                new.append(event)
        return b"".join(new)

    def repeat(self, event: bytes, repeated: EventDigest) -> None:
        """Pass over an event that an earlier attempt gave."""
        repeated.add(event)
        if repeated.count < self.sent.count:
            return
        if not repeated.equals(self.sent):
            raise ResponseMismatch("another run of the request gave another answer")
        self.repeated = None

    def note_piece(self) -> None:
        """Report the time since the last piece; nothing for the first."""
        now_ms = self.clock.now_ms()
        last_ms = self.last_piece_ms
        self.on_piece(None if last_ms is None else now_ms - last_ms)
        self.last_piece_ms = now_ms

    async def commit(self) -> None:
        """Start the answer to the caller; from now on it cannot be replaced."""
        if self.committed or self.head is None:
            return
        self.committed = True
        await self.response.start(
            self.head.status, self.headers(self.head, OUTCOME_AT_END)
        )

    def headers(self, head: ResponseHead, outcome: str) -> list[tuple[str, str]]:
        """Return the headers of the answer to the caller."""
        own = {OUTCOME_HEADER, REQUEST_HEADER, *HOP_BY_HOP_HEADERS}
        return [
            *((name, value) for name, value in head.headers if name not in own),
            (OUTCOME_HEADER, outcome),
            (REQUEST_HEADER, self.request_id),
        ]

    async def finish(self) -> Outcome:
        """End a whole answer.

        An event stream whose server closed it without the end mark is cut, even
        if its connection ended in order.
        """
        if self.head is None:
            raise ValueError("an answer without a head cannot be complete")
        if self.splitter is not None and not self.splitter.done:
            return Outcome.UNKNOWN
        if self.repeated is not None:
            return Outcome.UNKNOWN
        if not self.committed and self.splitter is None:
            self.note_piece()
            await self.response.reply(
                self.head.status,
                bytes(self.held),
                self.headers(self.head, Outcome.COMPLETE),
            )
            return Outcome.COMPLETE
        await self.commit()
        if self.splitter is not None:
            await self.response.write(
                outcome_event(Outcome.COMPLETE, self.request_id) + end_mark()
            )
        await self.response.end()
        return Outcome.COMPLETE

    async def fail_stream(self, detail: str) -> None:
        """State the outcome of a stream that was cut; it gets no end mark."""
        if self.sent.count:
            await self.response.write(
                outcome_event(Outcome.UNKNOWN, self.request_id, detail)
            )

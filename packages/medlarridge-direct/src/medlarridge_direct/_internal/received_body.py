"""What an attempt has received of a response body."""

from msgspec import Struct

from medlarridge._internal.protocol.server_sent_events import (
    LINE_END_BYTES,
    EventSplitter,
    count_events,
)

from .protocol.requests import Framing

MAX_BLANK_BYTES = 65_536
"""Bytes of blank lines alone above which a stream counts as broken. A server that keeps its
connection alive with one a second sends less in hours."""

MAX_EVENT_BYTES = 1_048_576
"""Bytes of one event above which a stream counts as broken."""


class BodyPart(Struct, frozen=True):
    """Next bytes of a body and those of the events of a stream that they complete."""

    data: bytes | bytearray
    events: bytes


class ReceivedBody(Struct):
    """What was received of a response body.

    ``splitter`` is None if the body is not an event stream. ``blank_bytes`` are those of
    parts of a stream that were blank lines alone.
    """

    framing: Framing | None = None
    splitter: EventSplitter | None = None
    size: int = 0
    events: int = 0
    blank_bytes: int = 0

    def add(self, data: bytes | bytearray) -> BodyPart:
        """Add bytes; return them with the events that they complete."""
        self.size += len(data)
        if self.splitter is None:
            return BodyPart(data, b"")
        if not data.strip(LINE_END_BYTES):
            self.blank_bytes += len(data)
        events = self.splitter.take(data)
        self.events += count_events(events)
        return BodyPart(data, events)

    @property
    def is_stream(self) -> bool:
        """Return whether the body is an event stream."""
        return self.splitter is not None

    @property
    def incomplete_bytes(self) -> int:
        """Return how much has come of the event that is being received."""
        return 0 if self.splitter is None else self.splitter.size

    def excess(self) -> str | None:
        """Return what has come that no sound server sends, or None."""
        if self.incomplete_bytes > MAX_EVENT_BYTES:
            return "event is too long"
        if self.blank_bytes > MAX_BLANK_BYTES:
            return "too many blank lines"
        return None

    def truncation(self) -> str | None:
        """Return why the body is incomplete although its framing has ended, or None."""
        if self.splitter is None:
            return None
        if self.splitter.inside_event:
            return "stream ended inside an event"
        if self.framing is Framing.CLOSE and not self.events:
            return "stream was closed before its first event"
        return None

    def rest(self) -> bytes:
        """Return the bytes after the last event, as blank lines and comments."""
        return b"" if self.splitter is None else self.splitter.buffer

    def drop(self) -> None:
        """Keep no bytes any more; sizes and counts stay."""
        if self.splitter is not None:
            self.splitter.pieces = []

    def log_fields(self) -> dict[str, object]:
        """Return the fields of log lines on the end of the response."""
        return {
            "framing": self.framing,
            "body_bytes": self.size,
            "events": self.events,
            "open_bytes": self.incomplete_bytes,
        }

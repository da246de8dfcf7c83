"""Parser of server-sent events (text/event-stream) that keeps their bytes unchanged."""

import re

from msgspec import Struct, field

EVENT_STREAM_TYPE = "text/event-stream"

LINE_END = rb"(?:\r\n|\r(?!\n)|\n)"
EVENT_END = re.compile(LINE_END + LINE_END)
MAX_EVENT_END_BYTES = 4
LINE_END_BYTES = b"\r\n"
COMMENT = b":"
DONE_EVENT = b"data: [DONE]"
ID_FIELD = b"id:"


class StreamEvent(Struct, frozen=True):
    """One complete event; ``event_id`` is None if the event has no ID."""

    data: bytes
    event_id: str | None

    @property
    def is_end_marker(self) -> bool:
        """Return whether the event marks the end of a chat response."""
        return self.data.strip() == DONE_EVENT


class EventSplitter(Struct):
    """Splits a byte stream into complete events and buffers an incomplete one.

    A CR at the end of the received bytes ends a line at once. If an LF of the same line
    end follows, it is passed on at the start of the next event.
    """

    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that are now complete."""
        search_from = max(len(self.buffer) - MAX_EVENT_END_BYTES, 0)
        self.buffer += data
        events = []
        start = 0
        for match in EVENT_END.finditer(self.buffer, search_from):
            events.append(parse_event(bytes(self.buffer[start : match.end()])))
            start = match.end()
        del self.buffer[:start]
        return events

    @property
    def inside_event(self) -> bool:
        """Return whether an event has begun that is not complete.

        Blank lines and complete comment lines belong to no event.
        """
        if self.buffer and self.buffer[-1] not in LINE_END_BYTES:
            return True
        lines = bytes(self.buffer).splitlines()
        return any(line and not line.startswith(COMMENT) for line in lines)


def parse_event(data: bytes) -> StreamEvent:
    """Parse the ID of an event."""
    for line in data.splitlines():
        if line.startswith(ID_FIELD):
            return StreamEvent(data, line[len(ID_FIELD) :].strip().decode("latin-1"))
    return StreamEvent(data, None)


def is_after(event_id: str | None, last_id: str | None) -> bool:
    """Return whether an event comes after the last one that was delivered.

    IDs are compared as numbers if they consist of digits.
    """
    if event_id is None or last_id is None:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id

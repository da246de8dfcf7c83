"""Parser of server-sent events (text/event-stream) that keeps their bytes unchanged."""

from dataclasses import dataclass, field

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event; ``event_id`` is None if the event has no ID."""

    data: bytes
    event_id: str | None


@dataclass(slots=True)
class EventSplitter:
    """Splits a byte stream into complete events and buffers an incomplete one."""

    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that are now complete."""
        self.buffer += data
        events = []
        start = 0
        while True:
            end = self.buffer.find(EVENT_END, start)
            if end < 0:
                break
            end += len(EVENT_END)
            events.append(parse_event(bytes(self.buffer[start:end])))
            start = end
        del self.buffer[:start]
        return events

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        remainder = bytes(self.buffer)
        self.buffer.clear()
        return remainder


def parse_event(data: bytes) -> StreamEvent:
    """Parse the ID of an event."""
    for line in data.split(b"\n"):
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

"""Events of a stream (text/event-stream), split without changing their bytes."""

from dataclasses import dataclass, field

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event; ``event_id`` is None where it has none."""

    data: bytes
    event_id: str | None


@dataclass(slots=True)
class EventSplitter:
    """Cuts a byte stream into whole events and keeps the incomplete rest."""

    rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that are now complete."""
        self.rest += data
        events = []
        start = 0
        while True:
            end = self.rest.find(EVENT_END, start)
            if end < 0:
                break
            end += len(EVENT_END)
            events.append(read_event(bytes(self.rest[start:end])))
            start = end
        del self.rest[:start]
        return events

    def take_remainder(self) -> bytes:
        """Return and forget the bytes after the last whole event."""
        rest = bytes(self.rest)
        self.rest.clear()
        return rest


def read_event(data: bytes) -> StreamEvent:
    """Return an event with its id."""
    for line in data.split(b"\n"):
        if line.startswith(ID_FIELD):
            return StreamEvent(data, line[len(ID_FIELD) :].strip().decode("latin-1"))
    return StreamEvent(data, None)


def is_after(event_id: str | None, last: str | None) -> bool:
    """Whether an event comes after the last one that was delivered."""
    if event_id is None or last is None:
        return True
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return event_id != last

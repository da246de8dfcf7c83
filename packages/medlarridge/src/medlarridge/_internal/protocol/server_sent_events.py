"""Parser of server-sent events (text/event-stream) that keeps their bytes unchanged."""

import re
from collections.abc import Iterator
from operator import lt

from msgspec import Struct, field

EVENT_STREAM_TYPE = "text/event-stream"

LINE_END = rb"(?:\r\n|\r(?!\n)|\n)"
EVENT_END = re.compile(LINE_END + LINE_END)
EVENT_AND_BLANK_LINES_END = re.compile(rb"(?:\r\n?+|\n){2,}+")
BLANK_LINES = (b"\n\n", b"\n\r", b"\r\r")
"""Pairs of bytes that end a line and begin the end of a blank one."""
LINE_END_BYTES = b"\r\n"
EVENT_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
"""Begin of a line that is neither blank nor a comment."""
DONE_EVENT = b"data: [DONE]"
ID_FIELD = b"id:"
ID_LINE = re.compile(rb"(?:\A|[\r\n])id:[ \t]*([^\r\n]*)")
MAX_DIGITS = 18
"""Digits of an ID up to which those of many events are compared at once."""

PIECE_BYTES = 4_096
"""Size up to which kept pieces are joined, so that small ones cost no object each and
large ones are not copied as they come."""


class StreamEvent(Struct, frozen=True):
    """One complete event; ``event_id`` is None if the event has no ID."""

    data: bytes
    event_id: str | None

    @property
    def is_end_marker(self) -> bool:
        """Return whether the event marks the end of a chat response."""
        return self.data.strip() == DONE_EVENT


class EventSplitter(Struct):
    """Splits a byte stream into complete events and keeps an incomplete one.

    A CR at the end of the received bytes ends a line at once. If an LF of the same line
    end follows, it is passed on at the start of the next event.

    ``size`` is the size of the incomplete event, which is kept in pieces.
    """

    pieces: list[bytes] = field(default_factory=list)
    size: int = 0

    def take(self, data: bytes | bytearray) -> bytes:
        """Add bytes; return those of all events that are now complete.

        Blank lines after an event belong to it.
        """
        data = bytes(data)
        if self.pieces:
            end = find_last_end(self.pieces[-1][-1:] + data) - 1
        else:
            end = find_last_end(data)
        if end < 0:
            self.keep(data)
            return b""
        complete, rest = data[:end], data[end:]
        if self.pieces:
            complete = b"".join((*self.pieces, complete))
        self.pieces = [rest] if rest else []
        self.size = len(rest)
        return complete

    def keep(self, data: bytes) -> None:
        """Keep bytes of an incomplete event."""
        self.size += len(data)
        if self.pieces and len(self.pieces[-1]) + len(data) <= PIECE_BYTES:
            self.pieces[-1] += data
        elif data:
            self.pieces.append(data)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that are now complete."""
        complete = self.take(data)
        events = []
        start = 0
        for match in EVENT_END.finditer(complete):
            events.append(parse_event(complete[start : match.end()]))
            start = match.end()
        if start < len(complete):
            # A line end that belongs to the next event.
            self.pieces.insert(0, complete[start:])
            self.size += len(complete) - start
        return events

    @property
    def buffer(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return b"".join(self.pieces)

    @property
    def inside_event(self) -> bool:
        """Return whether an event has begun that is not complete.

        Blank lines and complete comment lines belong to no event.
        """
        buffer = self.buffer
        if buffer and buffer[-1] not in LINE_END_BYTES:
            return True
        return EVENT_LINE.search(buffer) is not None


def find_last_end(data: bytes) -> int:
    """Return the end of the last blank line that follows a line, -1 without one."""
    # The search for a single byte is many times faster than that for a pair.
    if b"\r" in data:
        start = max(data.rfind(pair) for pair in BLANK_LINES)
    elif b"\n" in data:
        start = data.rfind(b"\n\n")
    else:
        return -1
    if start < 0:
        return -1
    end = start + 2
    return end + (data[end - 1 : end + 1] == LINE_END_BYTES)


def count_events(data: bytes) -> int:
    """Return the number of blank lines that end an event or follow one."""
    if b"\r" in data:
        data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    return data.count(b"\n\n")


def split_events(data: bytes) -> Iterator[StreamEvent]:
    """Split the bytes of complete events; blank lines are part of the one before."""
    start = 0
    for match in EVENT_AND_BLANK_LINES_END.finditer(data):
        yield parse_event(data[start : match.end()])
        start = match.end()


def parse_event(data: bytes) -> StreamEvent:
    """Parse the ID of an event."""
    for line in data.splitlines():
        if line.startswith(ID_FIELD):
            return StreamEvent(data, line[len(ID_FIELD) :].strip().decode("latin-1"))
    return StreamEvent(data, None)


def last_ascending_id(data: bytes, last_id: str | None) -> str | None:
    """Return the last ID of complete events if all of them ascend from ``last_id``.

    Return None if some do not, or if that can only be told by a look at each event.
    """
    ids = ID_LINE.findall(data)
    if last_id is not None:
        ids.insert(0, last_id.encode("latin-1", "replace"))
    if not ids or not b"".join(ids).isdigit() or not all(ids):
        return None
    if max(map(len, ids)) > MAX_DIGITS:
        return None
    numbers = list(map(int, ids))
    if not all(map(lt, numbers, numbers[1:])):
        return None
    last = data.rfind(ids[-1])
    # An event with several IDs has the first one.
    start = max(find_last_end(data[:last]) - 1, 0)
    match = ID_LINE.search(data, start)
    return None if match is None else match[1].decode("latin-1")


def is_after(event_id: str | None, last_id: str | None) -> bool:
    """Return whether an event comes after the last one that was delivered.

    IDs are compared as numbers if they consist of digits.
    """
    if event_id is None or last_id is None:
        return True
    if event_id.isdecimal() and last_id.isdecimal():
        number, last = event_id.lstrip("0"), last_id.lstrip("0")
        return (len(number), number) > (len(last), last)
    return event_id != last_id

"""Which streams of this router the store should hold while versions serve side by side.

After a restart of all routers only the store tells at which of several versions a stream
began. The streams stand in segments, each one object of the store; the newest segment is
written again as it grows, so that writes depend on time and not on the number of streams.
"""

from collections.abc import Callable
from math import ceil

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.configuration import Place
from ..protocol.peer_messages import StreamGroup
from .stream_origins import StreamOrigins

MAX_SEGMENT_STREAMS = 60
MAX_SEGMENTS = 320
"""Limits of the streams that a router stores, about 30 bytes each."""

WRITE_INTERVAL_MS = 100
WRITE_INTERVAL_PER_ROUTER_MS = 5
"""Shortest time between two writes of a router: with many routers it grows, so that all
together write at most 200 times a second, a half of what the smallest deployment may."""

REREAD_INTERVAL_MS = 2_000
REREAD_INTERVAL_PER_ROUTER_MS = 5
"""Time after which the records are read again for a stream that is still unknown: a
router may have stored it since."""


class Segment(Struct):
    """Streams in the object ``name`` of the store, ``stored`` in its present state."""

    name: int = 0
    streams: list[int] = field(default_factory=list)
    stored: bool = False
    written_before: bool = False


def do_nothing() -> None:
    """Neither read nor write records."""


class StreamRecords(Struct):
    """The streams that this router began, and which of them the store holds.

    ``unstored`` are streams that are in no segment, and ``dropped`` counts those that found
    no room. ``on_begin`` is called for a stream that begins, and ``on_unknown`` for one
    that is taken up and not known, to read the records of all routers.
    """

    clock: Clock
    origins: StreamOrigins
    unstored: dict[int, Place | None] = field(default_factory=dict)
    segments: list[Segment] = field(default_factory=list)
    current: int = 0
    last_name: int = 0
    dropped: int = 0
    reading: bool = False
    on_unknown: Callable[[], None] = do_nothing
    on_begin: Callable[[], None] = do_nothing

    def begin(self, stream: int, place: Place | None = None) -> None:
        """Record that this router has begun a stream of the route at a place."""
        self.unstored[stream] = place
        self.on_begin()

    def expire(self) -> None:
        """Forget the oldest streams that cannot be taken up any more."""
        while self.unstored:
            stream = next(iter(self.unstored))
            if self.origins.find(stream) is not None:
                return
            del self.unstored[stream]

    def collect(self, needs_record: Callable[[str, Place | None], bool]) -> None:
        """Put the streams into segments whose pool and place need a record."""
        self.expire()
        for stream, place in list(self.unstored.items()):
            origin = self.origins.find(stream)
            if origin is not None and not needs_record(origin.pool, place):
                continue
            del self.unstored[stream]
            if origin is not None:
                self.add(stream)

    def add(self, stream: int) -> None:
        """Add a stream to a segment that has room."""
        if not self.segments:
            self.segments.append(Segment(self.next_name()))
        segment = self.segments[self.current]
        if len(segment.streams) >= MAX_SEGMENT_STREAMS:
            free = self.find_free()
            if free is None:
                self.dropped += 1
                return
            self.current, segment = free, self.segments[free]
        segment.streams.append(stream)
        segment.stored = False

    def find_free(self) -> int | None:
        """Return a segment without a stream that may be taken up, or None."""
        for number, segment in enumerate(self.segments):
            if all(self.origins.find(stream) is None for stream in segment.streams):
                segment.streams.clear()
                return number
        if len(self.segments) < MAX_SEGMENTS:
            self.segments.append(Segment(self.next_name()))
            return len(self.segments) - 1
        return None

    def unwritten(self) -> list[int]:
        """Return the numbers of the segments that must be written."""
        return [
            number
            for number, segment in enumerate(self.segments)
            if segment.streams and not segment.stored
        ]

    def content(self, number: int) -> list[StreamGroup]:
        """Return what the store should hold of a segment."""
        return self.origins.group(self.segments[number].streams)

    def record_written(self, number: int, count: int) -> None:
        """Record that a segment was written when it had ``count`` streams."""
        segment = self.segments[number]
        segment.written_before = True
        segment.stored = len(segment.streams) == count

    def record_unanswered(self, number: int) -> None:
        """Give a segment another name, since the store may do its last write later."""
        segment = self.segments[number]
        segment.name = self.next_name()
        segment.written_before = False

    def next_name(self) -> int:
        """Return a name that no segment of this process has had."""
        self.last_name += 1
        return self.last_name

    def forget_written(self) -> None:
        """Write all segments again, since the store may have lost them."""
        for segment in self.segments:
            segment.stored = False
            segment.written_before = False


def write_interval_ms(routers: int) -> int:
    """Return the interval at which each of so many routers writes its streams."""
    return max(WRITE_INTERVAL_MS, ceil(WRITE_INTERVAL_PER_ROUTER_MS * routers))


def reread_interval_ms(routers: int) -> int:
    """Return the time after which each of so many routers reads the records again."""
    return max(REREAD_INTERVAL_MS, REREAD_INTERVAL_PER_ROUTER_MS * routers)

"""Which streams of this router the store should hold while versions serve side by side.

After a restart of all routers only the store tells at which of several versions a stream
began, so the first event of such a stream waits until the store holds it. The streams stand
in segments, each one object of the store; the newest segment is written again as it grows,
so that writes depend on time and not on the number of streams.
"""

from collections.abc import Callable
from math import ceil

from msgspec import Struct, field

from medlarridge._internal.clock import MS_PER_S, Clock

from ..protocol.configuration import Place
from ..protocol.peer_messages import StreamGroup
from .stream_origins import StreamOrigins

MAX_SEGMENT_STREAMS = 60
MAX_SEGMENTS = 320
MAX_STREAMS = MAX_SEGMENTS * MAX_SEGMENT_STREAMS
"""Limits of the streams that a router stores, about 30 bytes each."""

MAX_BATCH_STREAMS = 2_000
"""Streams of a segment that is written once: those that need a record only later than
they began, for instance since another version has come."""

MIN_WRITE_INTERVAL_MS = 50
"""Shortest time between two writes of a router; streams that begin meanwhile share the
next one."""

SHARE_OF_WRITES = 0.5
"""Share of the store's writes that all routers together use for streams."""

REREAD_INTERVAL_MS = 2_000
REREAD_INTERVAL_PER_ROUTER_MS = 5
"""Time after which the records are read again for a stream that is still unknown: a
router may have stored it since."""


class Segment(Struct):
    """Streams in the object ``name`` of the store, ``stored`` in its present state."""

    name: int = 0
    capacity: int = MAX_SEGMENT_STREAMS
    streams: list[int] = field(default_factory=list)
    stored: bool = False
    written_before: bool = False


def do_nothing() -> None:
    """Neither read nor write records."""


def need_none(pool: str, place: Place | None) -> bool:
    """Return that no stream needs a record."""
    return False


class StreamRecords(Struct):
    """The streams that this router delivers, and which of them the store holds.

    ``unstored`` are streams that need no record so far, ``held`` those in segments, and
    ``awaited`` those of them that the store does not hold yet. ``writing`` is the segment
    that is being written, ``written_last`` the one before, and ``dropped`` counts the
    streams that found no room. ``needs_record`` tells by a stream's pool and the place of
    its route whether a router that starts could not infer its origin. ``on_begin`` is
    called for a stream that needs a record, and ``on_unknown`` for one that is taken up
    and not known, to read the records of all routers.
    """

    clock: Clock
    origins: StreamOrigins
    needs_record: Callable[[str, Place | None], bool] = need_none
    unstored: dict[int, Place | None] = field(default_factory=dict)
    held: set[int] = field(default_factory=set)
    awaited: set[int] = field(default_factory=set)
    segments: list[Segment] = field(default_factory=list)
    current: int | None = None
    writing: int | None = None
    written_last: int | None = None
    last_name: int = 0
    dropped: int = 0
    reading: bool = False
    on_unknown: Callable[[], None] = do_nothing
    on_begin: Callable[[], None] = do_nothing

    def begin(self, stream: int, place: Place | None = None) -> None:
        """Record that this router delivers a stream of the route at a place."""
        origin = self.origins.find(stream)
        if origin is None or stream in self.unstored or stream in self.held:
            return
        if self.needs_record(origin.pool, place):
            self.add(stream)
            self.on_begin()
        else:
            self.unstored[stream] = place

    def adopt(self, stream: int) -> None:
        """Record a stream that another router began, as nobody else may do so."""
        if stream not in self.held:
            self.unstored.setdefault(stream, None)

    def is_awaited(self, stream: int) -> bool:
        """Return whether a stream needs a record that the store does not hold yet."""
        return stream in self.awaited

    def is_safe(self, stream: int) -> bool:
        """Return whether the store holds the record of a stream or needs none."""
        return stream in self.unstored or (
            stream in self.held and stream not in self.awaited
        )

    def expire(self) -> None:
        """Forget the oldest streams that cannot be taken up any more."""
        while self.unstored:
            stream = next(iter(self.unstored))
            if self.origins.find(stream) is not None:
                return
            del self.unstored[stream]

    def collect(self) -> None:
        """Put the streams into segments that have come to need a record."""
        self.expire()
        batch = []
        for stream, place in list(self.unstored.items()):
            origin = self.origins.find(stream)
            if origin is not None and not self.needs_record(origin.pool, place):
                continue
            del self.unstored[stream]
            if origin is not None:
                batch.append(stream)
        for start in range(0, len(batch), MAX_BATCH_STREAMS):
            streams = batch[start : start + MAX_BATCH_STREAMS]
            self.fill(self.find_free(len(streams)), streams)

    def add(self, stream: int) -> None:
        """Add a stream to the segment that grows."""
        if self.current is not None:
            segment = self.segments[self.current]
            if len(segment.streams) >= segment.capacity:
                self.current = None
        if self.current is None:
            self.current = self.find_free(MAX_SEGMENT_STREAMS)
        self.fill(self.current, [stream])

    def fill(self, number: int | None, streams: list[int]) -> None:
        """Add streams to a segment, None without a free one, as far as there is room."""
        room = 0 if number is None else max(MAX_STREAMS - len(self.held), 0)
        self.dropped += max(len(streams) - room, 0)
        if number is None or not room:
            return
        segment = self.segments[number]
        segment.streams += streams[:room]
        segment.stored = False
        self.held.update(streams[:room])
        self.awaited.update(streams[:room])

    def find_free(self, capacity: int) -> int | None:
        """Return a segment without a stream that may be taken up, or None."""
        for number, segment in enumerate(self.segments):
            if number not in (self.current, self.writing) and not any(
                self.origins.find(stream) for stream in segment.streams
            ):
                self.held.difference_update(segment.streams)
                self.awaited.difference_update(segment.streams)
                segment.streams = []
                segment.capacity = capacity
                return number
        if len(self.segments) < MAX_SEGMENTS:
            self.segments.append(Segment(self.next_name(), capacity))
            return len(self.segments) - 1
        return None

    def unwritten(self) -> list[int]:
        """Return the numbers of the segments that must be written, in this order.

        Clients wait for the first events of the streams in the current one, and in small
        ones that were current. The one that was written last comes last, as it may grow
        all the time.
        """
        numbers = [
            number
            for number, segment in enumerate(self.segments)
            if segment.streams and not segment.stored
        ]
        return sorted(
            numbers,
            key=lambda number: (
                number == self.written_last,
                number != self.current,
                len(self.segments[number].streams),
            ),
        )

    def content(self, number: int) -> list[StreamGroup]:
        """Return what the store should hold of a segment."""
        return self.origins.group(self.segments[number].streams)

    def record_written(self, number: int, count: int) -> None:
        """Record that a segment was written when it had ``count`` streams."""
        self.written_last = number
        segment = self.segments[number]
        segment.written_before = True
        segment.stored = len(segment.streams) == count
        self.awaited.difference_update(segment.streams[:count])

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


def write_interval_ms(routers: int, writes_per_s: float) -> int:
    """Return the shortest time between two writes of each of so many routers.

    ``writes_per_s`` are the writes that the store takes from all of them together.
    """
    interval_ms = ceil(MS_PER_S * routers / (SHARE_OF_WRITES * writes_per_s))
    return max(MIN_WRITE_INTERVAL_MS, interval_ms)


def reread_interval_ms(routers: int) -> int:
    """Return the time after which each of so many routers reads the records again."""
    return max(REREAD_INTERVAL_MS, REREAD_INTERVAL_PER_ROUTER_MS * routers)

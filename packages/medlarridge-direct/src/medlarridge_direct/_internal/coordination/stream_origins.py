"""Where the streams began that clients may take up again.

What two software versions of a server write does not fit together, so a stream goes on
only at the version that began it. Every router knows the streams of all routers: each
tells the others of those that it begins, and those that have just started are told all.
"""

from collections import OrderedDict
from collections.abc import Iterable

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.peer_messages import StreamGroup

MAX_STREAMS = 50_000
"""Streams that a router remembers; the oldest ones are forgotten first."""

RESUME_MARGIN_MS = 5_000
"""Time after the deadline of a stream's request for which it is remembered."""

EXPIRY_INTERVAL_MS = 1_000
"""Interval at which all streams are looked through."""


class StreamOrigin(Struct, frozen=True):
    """The pool and the software version whose server wrote a stream's first event."""

    pool: str
    software_version: str


class KnownStream(Struct, frozen=True):
    """A stream's origin, and the time until which a client may take the stream up.

    ``from_store`` tells that the origin was read from the store.
    """

    origin: StreamOrigin
    expires_ms: int
    from_store: bool = False


class StreamOrigins(Struct):
    """Known streams by the key of the request that brought the first event."""

    clock: Clock
    streams: OrderedDict[int, KnownStream] = field(default_factory=OrderedDict)
    next_expiry_ms: int = 0

    def record(
        self, stream: int, origin: StreamOrigin, left_ms: int, from_store: bool = False
    ) -> None:
        """Record where a stream began; what is known of it never changes."""
        if left_ms <= 0 or stream in self.streams:
            return
        expires_ms = self.clock.now_ms() + left_ms
        self.streams[stream] = KnownStream(origin, expires_ms, from_store)
        while len(self.streams) > MAX_STREAMS:
            self.streams.popitem(last=False)

    def find(self, stream: int) -> StreamOrigin | None:
        """Return where a stream began, or None if that is not known."""
        known = self.streams.get(stream)
        return None if known is None else known.origin

    def is_from_store(self, stream: int) -> bool:
        """Return whether the origin of a stream is known from the store."""
        known = self.streams.get(stream)
        return known is not None and known.from_store

    def read_from_store(self) -> list[int]:
        """Return the streams whose origin is known from the store."""
        return [stream for stream, known in self.streams.items() if known.from_store]

    def group(self, streams: Iterable[int]) -> list[StreamGroup]:
        """Return streams by their origin; forgotten ones are left out."""
        by_origin: dict[StreamOrigin, list[tuple[int, int]]] = {}
        for stream in streams:
            origin = self.find(stream)
            if origin is not None:
                left_ms = self.left_ms(stream)
                by_origin.setdefault(origin, []).append((stream, left_ms))
        return [
            StreamGroup(origin.pool, origin.software_version, members)
            for origin, members in by_origin.items()
        ]

    def left_ms(self, stream: int) -> int:
        """Return for how long a stream may still be taken up; 0 if it is not known."""
        known = self.streams.get(stream)
        return 0 if known is None else max(known.expires_ms - self.clock.now_ms(), 0)

    def expire(self) -> None:
        """Forget the streams that no client can take up any more, now and then."""
        now_ms = self.clock.now_ms()
        if now_ms < self.next_expiry_ms:
            return
        self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        for stream, known in list(self.streams.items()):
            if known.expires_ms <= now_ms:
                del self.streams[stream]

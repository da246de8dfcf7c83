"""What a router tells the others of the streams that clients may take up again."""

from collections import deque

from msgspec import Struct, field

from .coordination.stream_origins import StreamOrigins
from .protocol.peer_messages import StreamGroup
from .state.peer_table import Address

ANNOUNCEMENT_REPEATS = 3
"""Number of reports that name a new stream, since single reports may be lost."""

MAX_STREAMS_PER_REPORT = 300
"""Limit of the streams in one report, so that it fits into a few packets."""


class StreamAnnouncements(Struct):
    """Streams that the next reports name.

    ``pending`` holds the keys of new streams for all peers, once for each report, and
    ``handovers`` those of all streams for peers that may know none.
    """

    origins: StreamOrigins
    pending: deque[list[int]] = field(
        default_factory=lambda: deque([[]], maxlen=ANNOUNCEMENT_REPEATS)
    )
    handovers: dict[Address, list[int]] = field(default_factory=dict)

    def announce(self, stream: int) -> None:
        """Name a stream that has begun in the next reports."""
        self.pending[-1].append(stream)

    def next_groups(self) -> list[StreamGroup]:
        """Return the new streams for the next report to all peers."""
        streams = [stream for streams in self.pending for stream in streams]
        self.pending.append([])
        return self.origins.group(streams)

    def clear(self) -> None:
        """Forget the new streams; a peer that comes is told all known ones."""
        self.pending = deque([[]], maxlen=ANNOUNCEMENT_REPEATS)

    def begin_handover(self, address: Address) -> None:
        """Tell a peer all known streams in the next reports."""
        if self.origins.streams:
            self.handovers[address] = list(self.origins.streams)

    def next_handover(self, address: Address) -> list[StreamGroup]:
        """Return the next streams for a peer to which all are handed; peers take turns."""
        streams = self.handovers.pop(address, [])
        if len(streams) > MAX_STREAMS_PER_REPORT:
            self.handovers[address] = streams[MAX_STREAMS_PER_REPORT:]
        return self.origins.group(streams[:MAX_STREAMS_PER_REPORT])

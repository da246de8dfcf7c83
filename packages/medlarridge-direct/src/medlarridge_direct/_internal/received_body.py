"""What an attempt has received of a response body."""

from dataclasses import dataclass, field

from medlarridge._internal.protocol.server_sent_events import EventSplitter

from .protocol.requests import Framing


@dataclass(slots=True)
class ReceivedBody:
    """What was received of a response body.

    ``splitter`` holds the bytes after the last complete event of a stream.
    """

    framing: Framing | None = None
    size: int = 0
    events: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)

    @property
    def open_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self.splitter.buffer)

    def log_fields(self) -> dict[str, object]:
        """Return the fields of log lines on the end of the response."""
        return {
            "framing": self.framing,
            "body_bytes": self.size,
            "events": self.events,
            "open_bytes": self.open_bytes,
        }

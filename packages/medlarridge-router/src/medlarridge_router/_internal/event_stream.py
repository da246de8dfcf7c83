"""Server-sent events of a chat response."""

import msgspec
import xxhash

from medlarridge._internal.protocol.caller import OUTCOME_EVENT
from medlarridge._internal.protocol.messages import Outcome
from medlarridge._internal.protocol.server_sent_events import DONE_EVENT

EVENT_END = b"\n\n"


class EventDigest:
    """Number of the events of a stream and digest of their comparable content."""

    def __init__(self) -> None:
        self.count = 0
        self.digest = xxhash.xxh3_128()

    def add(self, event: bytes) -> None:
        """Add the next event."""
        self.count += 1
        self.digest.update(comparable_content(event))

    def matches(self, other: "EventDigest") -> bool:
        """Return whether both streams have the same comparable content."""
        same = self.digest.digest() == other.digest.digest()
        return self.count == other.count and same


def comparable_content(event: bytes) -> bytes:
    """Return the part of an event that is the same in each run of a request.

    Identifiers and timestamps differ between runs, so only the choices are compared.
    An event without choices is returned as it is.
    """
    data = event.removeprefix(b"data:").strip()
    try:
        value = msgspec.json.decode(data)
        return msgspec.json.encode(value["choices"], order="sorted")
    except (msgspec.MsgspecError, KeyError, TypeError):
        return event


def outcome_event(outcome: Outcome, request_id: str, detail: str = "") -> bytes:
    """Return the event that states the outcome of a stream."""
    data = msgspec.json.encode(
        {"outcome": outcome, "request": request_id, "detail": detail}
    )
    return b"event: " + OUTCOME_EVENT.encode() + b"\ndata: " + data + EVENT_END


def end_marker() -> bytes:
    """Return the event that ends a complete stream."""
    return DONE_EVENT + EVENT_END

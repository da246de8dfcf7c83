"""Server-sent events of a chat answer."""

import msgspec
import xxhash

from medlarridge._internal.protocol.caller import OUTCOME_EVENT
from medlarridge._internal.protocol.messages import Outcome

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"


class EventSplitter:
    """Cuts a byte stream into whole events and holds back the end mark.

    A caller never gets part of an event, so that an answer can go on after the
    last whole event.
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.done = False

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that are now whole."""
        self.buffer = (self.buffer + data).replace(b"\r\n", b"\n")
        *events, self.buffer = self.buffer.split(EVENT_END)
        whole = []
        for event in events:
            if event.strip() == DONE_EVENT:
                self.done = True
            else:
                whole.append(event + EVENT_END)
        return whole


class EventDigest:
    """Number and digest of the events of a stream, by what they say."""

    def __init__(self) -> None:
        self.count = 0
        self.digest = xxhash.xxh3_128()

    def add(self, event: bytes) -> None:
        """Add the next event."""
        self.count += 1
        self.digest.update(meaning(event))

    def equals(self, other: "EventDigest") -> bool:
        """Return whether both logs say the same."""
        same = self.digest.digest() == other.digest.digest()
        return self.count == other.count and same


def meaning(event: bytes) -> bytes:
    """Return the part of an event that does not differ between two runs.

    Each run of a request has its own id and time stamps.
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


def end_mark() -> bytes:
    """Return the event that ends a complete stream."""
    return DONE_EVENT + EVENT_END

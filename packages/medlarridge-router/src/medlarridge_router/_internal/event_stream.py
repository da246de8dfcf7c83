"""Server-sent events of a chat answer."""

import msgspec

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
        self.events = 0
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the whole events among them."""
        self.buffer = (self.buffer + data).replace(b"\r\n", b"\n")
        *events, self.buffer = self.buffer.split(EVENT_END)
        whole = []
        for event in events:
            if event.strip() == DONE_EVENT:
                self.done = True
            else:
                self.events += 1
                whole.append(event + EVENT_END)
        return b"".join(whole)


def outcome_event(outcome: Outcome, request_id: str, detail: str = "") -> bytes:
    """Return the event that states the outcome of a stream."""
    data = msgspec.json.encode(
        {"outcome": outcome, "request": request_id, "detail": detail}
    )
    return b"event: " + OUTCOME_EVENT.encode() + b"\ndata: " + data + EVENT_END


def end_mark() -> bytes:
    """Return the event that ends a complete stream."""
    return DONE_EVENT + EVENT_END

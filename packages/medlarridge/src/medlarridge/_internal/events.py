"""Registry of numbered log events; docs/log-events.md lists them."""

import msgspec


class Event(msgspec.Struct, frozen=True):
    """A kind of log event.

    Numbers: 1000 router, 2000 sidecar, 3000 configuration and store, 4000
    membership, 5000 commands.
    """

    number: int
    level: str
    text: str

    @property
    def code(self) -> str:
        """Return the number as written in a log line."""
        return f"MR{self.number:04d}"


EVENTS: dict[int, Event] = {}


def register(number: int, level: str, text: str) -> Event:
    """Register a kind of log event under its number."""
    if number in EVENTS:
        raise ValueError(f"log event {number} is registered twice")
    event = Event(number, level, text)
    EVENTS[number] = event
    return event

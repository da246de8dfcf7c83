"""Interface of the gates that an attempt passes before its server is called."""

from dataclasses import dataclass
from typing import Protocol

from medlarridge._internal.protocol.messages import NotRun, Outcome

from .live_attempt import LiveAttempt


@dataclass(frozen=True)
class ResponseWritten:
    """The gate has written a complete response to the stream of the attempt."""

    outcome: Outcome
    detail: str = ""


class Gate(Protocol):
    """Decides whether and when an attempt runs, and is notified of its end."""

    async def enter(self, live: LiveAttempt) -> NotRun | ResponseWritten | None:
        """Wait until the attempt may run and return ``None``, or return its end."""
        ...

    async def leave(self, live: LiveAttempt) -> None:
        """Handle the end of an attempt that entered; ``live.result`` is its result."""
        ...

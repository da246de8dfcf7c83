"""Gates that an attempt passes before its backend server is called."""

from dataclasses import dataclass
from typing import Protocol

from medlarridge._internal.protocol.messages import NotRun, Outcome

from .live_attempt import LiveAttempt


@dataclass(frozen=True)
class ResponseWritten:
    """The gate has written the whole answer to the stream of the attempt."""

    outcome: Outcome
    detail: str = ""


class Gate(Protocol):
    """Decides whether and when an attempt runs, and is told how it ended."""

    async def enter(self, live: LiveAttempt) -> NotRun | ResponseWritten | None:
        """Wait until the attempt may run; otherwise return how it ends."""
        ...

    async def leave(self, live: LiveAttempt) -> None:
        """Note the end of an attempt that entered; ``live.result`` tells how."""
        ...

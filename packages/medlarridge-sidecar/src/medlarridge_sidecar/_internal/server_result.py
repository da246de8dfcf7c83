"""End of a call to the backend server."""

from dataclasses import dataclass
from enum import StrEnum


class CallState(StrEnum):
    """What is known at the end of a call."""

    COMPLETE = "complete"
    NEVER_SENT = "never-sent"
    BROKEN = "broken"
    DEADLINE = "deadline"


@dataclass(frozen=True)
class ServerResult:
    """End of a call to the backend server."""

    state: CallState
    detail: str = ""

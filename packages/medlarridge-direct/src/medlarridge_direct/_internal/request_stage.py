"""How far a request has come."""

from enum import StrEnum


class RequestStage(StrEnum):
    """Stages of a request; one whose attempts provably did not run waits."""

    WAITING = "waiting"
    SENT = "sent"
    BEGUN = "begun"

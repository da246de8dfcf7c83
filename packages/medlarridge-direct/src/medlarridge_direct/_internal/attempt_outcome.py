"""How an attempt ended, and the responses that were not to its request."""

from enum import StrEnum

from msgspec import Struct

from .protocol.requests import ResponseHead


class OutcomeKind(StrEnum):
    """How an attempt ended, or ``RESPONSE`` if a response has begun."""

    RESPONSE = "answer"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    NO_CONNECTION = "no-connection"
    BROKEN = "broken"
    SILENT = "silent"
    FAULTY = "faulty"


class AttemptOutcome(Struct, frozen=True):
    """Result of an attempt once its response head arrived or it ended without one."""

    kind: OutcomeKind
    detail: str = ""
    head: ResponseHead | None = None

    @property
    def reached_server(self) -> bool:
        """Return whether the server received the request, whether it ran it or not."""
        return self.kind not in (OutcomeKind.NOT_SENT, OutcomeKind.NO_CONNECTION)


class DiscardedResponse(Struct, frozen=True):
    """A response that is not to this attempt's request.

    ``request_id`` is what it names, None for nothing; ``earlier`` is the number of
    responses that came before it on its connection.
    """

    request_id: str | None
    earlier: int

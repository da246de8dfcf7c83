"""Kinds of requests and what a client records of each request."""

import hashlib
from dataclasses import dataclass, field

from .http_connection import NO_CONTENT

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request was not and will not be executed."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Route and properties of a kind of request."""

    prefix: str
    method: bytes
    deadline_ms: int
    stream: bool
    """Whether the response is a stream of server-sent events."""
    repeatable: bool
    """Whether the request may be executed more than once."""
    success_status: int = 200

    @property
    def has_body(self) -> bool:
        """Whether a successful response has a body."""
        return self.method != b"HEAD" and self.success_status != NO_CONTENT


REQUEST_KINDS = (
    RequestKind("/talk/", b"POST", 6_000, stream=True, repeatable=True),
    RequestKind("/story/", b"POST", 6_000, stream=True, repeatable=False),
    RequestKind("/order/", b"POST", 1_500, stream=False, repeatable=False),
    RequestKind("/peek/", b"HEAD", 1_500, stream=False, repeatable=True),
    RequestKind(
        "/note/",
        b"POST",
        1_500,
        stream=False,
        repeatable=False,
        success_status=NO_CONTENT,
    ),
    RequestKind("/read/", b"GET", 1_500, stream=False, repeatable=True),
)

LONG_REQUEST_KINDS = (
    RequestKind("/long/", b"POST", 15_000, stream=True, repeatable=True),
    RequestKind("/tale/", b"POST", 15_000, stream=True, repeatable=False),
)
"""Requests whose streams last for up to twice the grace of a router's stop."""


@dataclass(slots=True)
class SentRequest:
    """One request and what its client observed of the response."""

    request_id: str
    router: int
    kind: RequestKind
    method: bytes
    target: str
    body: bytes
    account: str
    prompt: str
    sent_s: float
    kept: bool
    """Whether the connection of the previous request was reused."""
    process: int = 0
    """Number of the start of the router process that accepted the connection."""
    written_s: float = float("inf")
    """Time at which the last byte of the request was sent."""
    ended_s: float = 0.0
    status: int = 0
    complete: bool = False
    """Whether the whole response was received."""
    left: bool = False
    """Whether the client disconnected before the response was complete."""
    owed: bool = True
    """Whether the request counts towards recovery; configuration probes do not."""
    first: "SentRequest | None" = None
    """Request that began the stream of which this one asks for the rest."""
    after: int = 0
    """Number of the last event that the client had when it sent the request."""
    last_event: int = 0
    """Number of the last whole event that the client has."""
    version: str = ""
    """Software version that wrote the first event of the stream."""
    lost: str = ""
    """Reason for the loss of the response; empty if it was not lost."""
    violations: list[str] = field(default_factory=list)

    @property
    def stream_id(self) -> str:
        """ID of the request that began the stream."""
        return self.request_id if self.first is None else self.first.request_id

    @property
    def served(self) -> bool:
        """Whether the client got a complete successful response."""
        return self.status == self.kind.success_status and self.complete

    @property
    def can_be_taken_up(self) -> bool:
        """Whether the client may ask for the rest of a stream that broke off."""
        return (
            self.kind.stream
            and self.kind.repeatable
            and self.status == 200
            and self.last_event > 0
            and not (self.complete or self.left)
        )

    @property
    def body_digest(self) -> str:
        """SHA-256 digest of the body, as servers report it."""
        return hashlib.sha256(self.body).hexdigest()

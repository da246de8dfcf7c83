"""Requests and responses in the router's own types."""

from enum import StrEnum

from msgspec import Struct

from .server_notices import NO_NOTICE, ServerNotice

Headers = list[tuple[bytes, bytes]]


class PromptPart(Struct, frozen=True):
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


class ClientRequest(Struct, frozen=True):
    """A request that was received completely from a client.

    ``accepts_chunks`` is False for clients of HTTP/1.0, which know no chunks.
    ``body_omitted`` marks a request whose body is not kept, for want of memory, and
    ``is_crowded`` one on a connection for which there is no room.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: int
    keep_alive: bool
    accepts_chunks: bool = True
    body_omitted: bool = False
    is_crowded: bool = False


class RequestMetadata(Struct, frozen=True):
    """Metadata that a client sends in the headers of its request.

    ``deadline_ms`` is the time that the client waits for the response, from the moment
    it sent the request. ``resume_after`` is the ID of the last event that the client
    received of an interrupted stream, and ``resumes`` the request ID of the client's
    attempt that brought the first event. ``prompt_tokens`` and ``max_output_tokens`` are
    the size of the prompt and the longest output, 0 if they are not known.
    """

    request_id: str
    host: str
    deadline_ms: int | None = None
    account_key: str | None = None
    prompt: tuple[PromptPart, ...] = ()
    resume_after: str | None = None
    resumes: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the IDs of the prompt's parts but the last, which is the request's."""
        return tuple(part.part_id for part in self.prompt[:-1])


class ForwardingMetadata(Struct, frozen=True):
    """Metadata that the router adds to a request for one attempt.

    ``deadline_ms`` is the remaining time. ``urgency`` is from 0, served first, to 9.
    ``fetch_from`` is the address of a server that caches parts of the prompt.
    """

    instance: str
    deadline_ms: int
    account: str | None
    urgency: int | None = None
    resume_after: str | None = None
    fetch_from: str | None = None


class Framing(StrEnum):
    """What marks the end of a response body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    NO_BODY = "no-body"


class ServerLoad(Struct, frozen=True):
    """The load that a server reports in the head of a response.

    ``running`` and ``waiting`` are requests. ``pace_percent`` is how long work takes on
    the server's VM at the moment, 100 as usual, None if the server does not say.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None


class ResponseHead(Struct, frozen=True):
    """Status and headers of a server's response.

    ``signed`` tells whether the response carries the server's signature, and
    ``not_executed`` whether the server states that it did not run the request.
    ``encoded`` marks a body with a content encoding, which is not the server's original
    bytes. ``content_length`` is None if the response does not declare it.
    ``media_type`` is the type of the body without parameters, None if it is not
    declared. ``keep_alive_ms`` is the time for which the server keeps an idle
    connection open. ``notice`` is what the server says of itself, and ``load`` its load,
    None if it does not report any. ``cold_ms`` is the time for which the server stays
    cold, None if it does not say.
    """

    status: int
    reason: bytes
    headers: Headers
    request_id: str | None
    signed: bool
    not_executed: bool
    encoded: bool
    content_length: int | None
    media_type: str | None = None
    keep_alive_ms: int | None = None
    notice: ServerNotice = NO_NOTICE
    load: ServerLoad | None = None
    cold_ms: int | None = None

"""Requests and answers as the router understands them."""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that was read whole from a client."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a client says of its request.

    ``deadline_ms`` is the time the client waits, counted from its sending.
    """

    request_id: str
    host: str
    deadline_ms: int | None = None
    account_key: str | None = None
    prompt: tuple[PromptPart, ...] = ()
    resume_after: str | None = None


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What the router adds to a request for one attempt.

    ``deadline_ms`` is the time that is left. ``urgency`` runs from 0 (first) to 9.
    ``fetch_from`` is the address of a server that holds parts of the prompt.
    """

    instance: str
    deadline_ms: int
    account: str | None
    urgency: int | None = None
    resume_after: str | None = None
    fetch_from: str | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a server's answer.

    ``signed`` tells that the answer carries the server's signature, ``not_executed``
    that the server states that it did not run the request. ``encoded`` marks a body
    that is not the server's own bytes. ``content_length`` is None where the length is
    not declared.
    """

    status: int
    reason: bytes
    headers: Headers
    request_id: str | None
    signed: bool
    not_executed: bool
    encoded: bool
    content_length: int | None
    keep_alive_ms: int | None = None

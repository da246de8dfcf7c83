"""Requests that the configuration allows."""

from msgspec import Struct

from .configuration import Account, Pool, Route
from .requests import ClientRequest, RequestMetadata

LATE_DELIVERY_MS = 250
"""Time after the deadline for which a response that keeps arriving is still read."""


class AcceptedRequest(Struct, frozen=True):
    """A request that the configuration allows, with its route, pool and account.

    It was taken at ``taken_ms`` and must have its response at ``deadline_at_ms``.
    """

    request: ClientRequest
    metadata: RequestMetadata
    route: Route
    pool: Pool
    account: Account | None
    fingerprint: int
    taken_ms: int
    deadline_at_ms: int


def deadline_at_ms(
    request: ClientRequest, metadata: RequestMetadata, route: Route
) -> int:
    """Return when a request must have its response, by its route and its client."""
    timeout_ms = route.timeout_ms
    if metadata.deadline_ms is not None:
        timeout_ms = min(timeout_ms, metadata.deadline_ms)
    return request.received_ms + timeout_ms

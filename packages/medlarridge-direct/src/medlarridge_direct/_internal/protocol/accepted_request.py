"""Requests that the configuration allows."""

from dataclasses import dataclass

from .configuration import Account, Pool, Route
from .requests import ClientRequest, RequestMetadata


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A request that the configuration allows, with its route, pool and account."""

    request: ClientRequest
    metadata: RequestMetadata
    route: Route
    pool: Pool
    account: Account | None
    fingerprint: int

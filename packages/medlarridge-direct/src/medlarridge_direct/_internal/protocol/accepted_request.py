"""Requests that the configuration allows."""

from msgspec import Struct

from .configuration import Account, Pool, Route
from .requests import ClientRequest, RequestMetadata


class AcceptedRequest(Struct, frozen=True):
    """A request that the configuration allows, with its route, pool and account."""

    request: ClientRequest
    metadata: RequestMetadata
    route: Route
    pool: Pool
    account: Account | None
    fingerprint: int

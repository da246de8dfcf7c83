"""Requests of a crash guard to the store of suspects."""

from dataclasses import dataclass

import xxhash

from ..protocol.suspects import Claim, Strike, SuspectShard
from ..state.keys import suspects_key

SHARDS = 64


def shard_of(route: str) -> str:
    """Return the key of the object that holds the suspects of a route.

    Requests on one server mostly belong to one route, so a crash needs a single write.
    Sharding by fingerprint would need a write for each request. A fingerprint belongs
    to one route only.
    """
    return suspects_key(xxhash.xxh32_intdigest(route.encode()) % SHARDS)


@dataclass(frozen=True)
class ClaimRequest:
    """Claim the right to run a suspect.

    ``may_be_unstored`` is set if its strikes may not have reached the store yet.
    """

    shard: str
    fingerprint: str
    claim: Claim
    may_be_unstored: bool = False


@dataclass(frozen=True)
class StrikeRequest:
    """Add a strike to each request that was running on a server that died."""

    shard: str
    fingerprints: tuple[str, ...]
    strike: Strike


@dataclass(frozen=True)
class ClearRequest:
    """Remove the strikes up to the time at which a request succeeded."""

    shard: str
    fingerprint: str
    succeeded_ms: int


@dataclass(frozen=True)
class ReleaseRequest:
    """Release a claim without a result, for example after a cancellation."""

    shard: str
    fingerprint: str
    claim: Claim


StoreRequest = ClaimRequest | StrikeRequest | ClearRequest | ReleaseRequest


@dataclass(frozen=True)
class SuspectShardView:
    """A shard with the version at which it was read or written."""

    key: str
    version: int
    shard: SuspectShard

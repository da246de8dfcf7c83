"""What a crash guard asks of the store, and what the store holds."""

from dataclasses import dataclass

import xxhash

from ..protocol.suspects import Claim, Strike, SuspectShard
from ..state.keys import suspects_key

SHARDS = 64


def shard_of(route: str) -> str:
    """Return the key of the object that holds the suspects of a route.

    The requests that share a server mostly share a route, so one crash needs one
    write. A hash of the fingerprint would need a write for each of them. A
    fingerprint belongs to one route.
    """
    return suspects_key(xxhash.xxh32_intdigest(route.encode()) % SHARDS)


@dataclass(frozen=True)
class ClaimRequest:
    """Ask the store for the right to run a suspect.

    ``unsaved`` is set if its strikes may not have reached the store yet.
    """

    shard: str
    fingerprint: str
    claim: Claim
    unsaved: bool = False


@dataclass(frozen=True)
class StrikeRequest:
    """Store a strike for each request that a dead server was running."""

    shard: str
    fingerprints: tuple[str, ...]
    strike: Strike


@dataclass(frozen=True)
class ClearRequest:
    """Remove the strikes that a request had when it succeeded."""

    shard: str
    fingerprint: str
    succeeded_ms: int


@dataclass(frozen=True)
class ReleaseRequest:
    """Give a claim back without a result, such as after a cancel."""

    shard: str
    fingerprint: str
    claim: Claim


StoreRequest = ClaimRequest | StrikeRequest | ClearRequest | ReleaseRequest


@dataclass(frozen=True)
class SuspectShardView:
    """A shard as it was read or written."""

    key: str
    version: int
    shard: SuspectShard

"""Hash functions that give the same result on all routers."""

from functools import lru_cache

import xxhash

KEY_CACHE_SIZE = 16_384
"""Number of cached keys; more than four times the servers of the largest fleet."""


def hash_to_fraction(*texts: str) -> float:
    """Return a hash of the texts as a number from 0 to 1."""
    return xxhash.xxh64_intdigest("/".join(texts).encode()) / 2**64


@lru_cache(KEY_CACHE_SIZE)
def instance_key(instance: str) -> int:
    """Return the 32-bit key of an instance in reports between routers."""
    return xxhash.xxh32_intdigest(instance.encode())


def stream_key(request_id: str) -> int:
    """Return the 64-bit key of the stream that a request began."""
    return xxhash.xxh64_intdigest(request_id.encode())

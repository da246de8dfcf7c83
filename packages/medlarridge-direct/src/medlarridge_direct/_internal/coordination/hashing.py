"""Hashing of texts to points that all routers agree on."""

from functools import lru_cache

import xxhash

MAX_KEYS = 16_384
"""Instances whose keys are remembered; more than four times the largest fleet."""


def hash_to_fraction(*texts: str) -> float:
    """Return a number from 0 to 1 that depends only on the texts."""
    return xxhash.xxh64_intdigest("/".join(texts).encode()) / 2**64


@lru_cache(MAX_KEYS)
def instance_key(instance: str) -> int:
    """Return the number that stands for an instance in reports between routers."""
    return xxhash.xxh32_intdigest(instance.encode())

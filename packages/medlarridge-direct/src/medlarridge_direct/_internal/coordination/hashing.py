"""Hashing of texts to points that all routers agree on."""

import xxhash


def hash_point(*texts: str) -> float:
    """Return a number from 0 to 1 that depends only on the texts."""
    return xxhash.xxh64_intdigest("/".join(texts).encode()) / 2**64

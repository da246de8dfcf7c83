"""Bodies of the servers' responses, which clients compute as well."""

import hashlib
import zlib
from random import Random

CRASHING_PART = b"cc"
"""Part of a prompt under which a server crashes, unless it is the last one."""
MIN_EVENT_S = 0.01
MAX_EVENT_S = 0.03
"""Bounds of the interval between the events of a stream."""


LONG_PREFIXES = (b"/long/", b"/tale/")
"""Prefixes of the requests whose streams last for up to twice a router's grace."""
MIN_LONG_EVENT_S = 0.2
MAX_LONG_EVENT_S = 0.35


def event_interval_s(target: bytes, random: Random) -> float:
    """Return the time to the next event of a request's stream."""
    if target.startswith(LONG_PREFIXES):
        return random.uniform(MIN_LONG_EVENT_S, MAX_LONG_EVENT_S)
    return random.uniform(MIN_EVENT_S, MAX_EVENT_S)


def response_body(request_id: str) -> bytes:
    """Return the body of the response to a request that is not streamed."""
    seed = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return seed * (1 + zlib.crc32(seed) % 40)


def stream_event_count(request_id: str) -> int:
    """Return the number of events of a request's stream."""
    return 3 + zlib.crc32(request_id.encode()) % 40


def stream_event(stream_id: str, number: int, version: str) -> bytes:
    """Return one event of a stream, which differs between software versions."""
    data = f"{stream_id}-{number}@{version}"
    return b"id: %d\ndata: %b\n\n" % (number, data.encode())


def has_crashing_part(prompt: bytes) -> bool:
    """Return whether servers crash under a prompt."""
    parts = [entry.partition(b":")[0] for entry in prompt.split(b",")]
    return CRASHING_PART in parts[:-1]

"""How many connections a router may have, by what they are for.

Each connection takes a descriptor of the process. At the bound of its clients, a router
closes the connection that has been idle for longest to make room for a new one.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from msgspec import Struct

DEFAULT_DESCRIPTORS = 4_100
MIN_DESCRIPTORS = 1_000
"""Descriptors below which the shares are too small for a burst of requests."""

FILES = 200
"""Descriptors that the platform reserves for files."""

OWN_SOCKETS = 100
"""Listeners, sockets of the event loop and of reports, and connections to the store and
to peers; the connections that close at one time beside those that replace them."""

INTERNAL_CONNECTIONS = 200
"""Connections of peers, of the balancer's probes and of operators."""

CLIENTS_SHARE = 0.5
"""Share of the others that clients may have. A request in flight has one connection of a
client, and one or two to servers."""

REFUSED_PARTS = 10
"""One connection of this many is kept for clients that are refused."""

MIN_IDLE_MS = 250
"""Time for which a connection is idle before it may make room. The client of one that was
used just now may be sending its next request."""


class DescriptorShares(Struct, frozen=True):
    """Limits of connections.

    ``clients`` are served; ``refused`` more are told that there is no room, and what
    comes beyond is closed at once.
    """

    clients: int
    refused: int
    servers: int
    internal: int = INTERNAL_CONNECTIONS


def share_descriptors(limit: int) -> DescriptorShares:
    """Return the limits for a process with so many descriptors."""
    connections = limit - FILES - OWN_SOCKETS - INTERNAL_CONNECTIONS
    clients = int(connections * CLIENTS_SHARE)
    refused = clients // REFUSED_PARTS
    return DescriptorShares(clients - refused, refused, connections - clients)


class Kept(Protocol):
    """A connection that may be idle since a time."""

    idle: bool
    idle_since_ms: int


KeptType = TypeVar("KeptType", bound=Kept)


def find_longest_idle(connections: Iterable[KeptType], now_ms: int) -> KeptType | None:
    """Return the connection that makes room for another one, or None."""
    idle = [
        each
        for each in connections
        if each.idle and each.idle_since_ms <= now_ms - MIN_IDLE_MS
    ]
    return min(idle, key=lambda each: each.idle_since_ms, default=None)

"""Which pool each route for streams leads to, and whether it led elsewhere lately.

The version of a pool tells where a stream began only if its route led to no other pool
while the stream could begin.
"""

from collections.abc import Iterable, Set

import xxhash
from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.configuration import Configuration, Place, RouteKind

RECHECK_MS = 1_000
"""Interval at which the routes that have settled are looked for."""


def route_key(place: Place, pool: str, others: Iterable[Place] = ()) -> int:
    """Return the 64-bit key of a route that leads to one pool.

    ``others`` are the places below it whose routes lead elsewhere: if one is removed, this
    route serves paths whose streams began in another pool.
    """
    texts = (*place, pool, *(prefix for _, prefix in sorted(others)))
    return xxhash.xxh64_intdigest("\n".join(texts).encode())


def covering_places(place: Place) -> list[Place]:
    """Return the places above this one whose routes may cover its paths."""
    host, prefix = place
    ends = [end for end, character in enumerate(prefix) if character == "/"]
    return [(host, prefix[: end + 1]) for end in ends[:-1]]


def route_keys(configuration: Configuration) -> dict[Place, tuple[str, int] | None]:
    """Return the pool and the key of each route for streams, None with several pools."""
    pools: dict[Place, str | None] = {}
    for route in configuration.routes:
        if route.kind is RouteKind.STREAM:
            names = {share.pool for share in route.pools}
            pools[route.place] = names.pop() if len(names) == 1 else None
    others: dict[Place, list[Place]] = {}
    for place, pool in pools.items():
        for covering in covering_places(place):
            if covering in pools and pools[covering] != pool:
                others.setdefault(covering, []).append(place)
    return {
        place: None
        if pool is None
        else (pool, route_key(place, pool, others.get(place, ())))
        for place, pool in pools.items()
    }


class RoutePools(Struct):
    """The pools of the routes for streams in the configuration in force.

    ``keys`` holds the pool and the key of each route, None for a route with several
    pools. The first configuration came at ``since_ms``; ``changed_ms`` tells when routes
    changed after it. ``stored`` are the settled keys that the store held, by pool.
    """

    clock: Clock
    configuration: Configuration | None = None
    keys: dict[Place, tuple[str, int] | None] = field(default_factory=dict)
    since_ms: int | None = None
    changed_ms: dict[Place, int] = field(default_factory=dict)
    stored: dict[str, Set[int]] = field(default_factory=dict)
    checked_ms: dict[str, int] = field(default_factory=dict)

    def refresh(self, configuration: Configuration | None) -> None:
        """Record which routes a new configuration has changed."""
        if configuration is None or configuration is self.configuration:
            return
        keys = route_keys(configuration)
        if self.configuration is None:
            self.since_ms = self.clock.now_ms()
        else:
            self.record_changes(keys)
        self.configuration, self.keys = configuration, keys
        self.checked_ms.clear()

    def record_changes(self, keys: dict[Place, tuple[str, int] | None]) -> None:
        """Record the routes that are new, or do not lead where they led before."""
        now_ms = self.clock.now_ms()
        for place, key in keys.items():
            if place not in self.keys or key != self.keys[place]:
                self.changed_ms[place] = now_ms
        for place in self.changed_ms.keys() - keys.keys():
            del self.changed_ms[place]

    def is_unchanged(self, place: Place, span_ms: int) -> bool:
        """Return whether no configuration has changed a route for so long."""
        changed_ms = self.changed_ms.get(place)
        return changed_ms is None or changed_ms <= self.clock.now_ms() - span_ms

    def knows(self, span_ms: int) -> bool:
        """Return whether this router has had a configuration for so long."""
        return (
            self.since_ms is not None and self.since_ms <= self.clock.now_ms() - span_ms
        )

    def is_settled(self, place: Place, pool: str, span_ms: int) -> bool:
        """Return whether a route has led to this pool alone for so long."""
        key = self.keys.get(place)
        return (
            key is not None
            and key[0] == pool
            and self.is_unchanged(place, span_ms)
            and (self.knows(span_ms) or key[1] in self.stored.get(pool, ()))
        )

    def settled_keys(
        self, pool: str, span_ms: int, stored: tuple[int, ...], is_first: bool
    ) -> tuple[int, ...]:
        """Return the keys of the settled routes of a pool that the store should hold.

        ``is_first`` tells that no stream began before the first configuration that this
        router has had, and that the store has no set yet whose keys could be kept.
        """
        now_ms = self.clock.now_ms()
        checked_ms = self.checked_ms.get(pool, now_ms - RECHECK_MS)
        if not is_first and now_ms < checked_ms + RECHECK_MS:
            return stored
        self.checked_ms[pool] = now_ms
        known, earlier = is_first or self.knows(span_ms), set(stored)
        return tuple(
            sorted(
                key[1]
                for place, key in self.keys.items()
                if key is not None
                and key[0] == pool
                and self.is_unchanged(place, span_ms)
                and (known or key[1] in earlier)
            )
        )

    def is_among(self, place: Place, pool: str, span_ms: int, keys: Set[int]) -> bool:
        """Return whether a route is one of these, and has not changed for so long."""
        key = self.keys.get(place)
        return (
            key is not None
            and key[0] == pool
            and key[1] in keys
            and self.is_unchanged(place, span_ms)
        )

    def has_others(self, pool: str, keys: Set[int]) -> bool:
        """Return whether a route that leads to a pool alone is none of these."""
        return any(
            key[0] == pool and key[1] not in keys
            for key in self.keys.values()
            if key is not None
        )

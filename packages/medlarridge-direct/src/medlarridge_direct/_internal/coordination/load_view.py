"""Load of each server: the attempts in flight of this router and of its peers."""

from collections.abc import Iterable

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from .hashing import instance_key

PEER_REPORT_TTL_MS = 1_500
"""Age after which the report of a peer is discarded. Peers report several times a
second."""


class PeerLoad(Struct):
    """The last report of a peer: its attempts in flight by instance key."""

    in_flight: dict[int, int]
    received_ms: int


class LoadView(Struct):
    """Attempts in flight by instance key.

    ``own`` are those of this router. ``peers`` are the last reports by router ID, and
    ``peer_totals`` are the sums over these.
    """

    clock: Clock
    own: dict[int, int] = field(default_factory=dict)
    peers: dict[int, PeerLoad] = field(default_factory=dict)
    peer_totals: dict[int, int] = field(default_factory=dict)

    def begin_attempt(self, instance: str) -> None:
        """Count an attempt of this router that starts."""
        key = instance_key(instance)
        self.own[key] = self.own.get(key, 0) + 1

    def end_attempt(self, instance: str) -> None:
        """Stop counting an attempt that ended."""
        key = instance_key(instance)
        remaining = self.own.get(key, 0) - 1
        if remaining > 0:
            self.own[key] = remaining
        else:
            self.own.pop(key, None)

    def apply_report(self, router_id: int, in_flight: dict[int, int]) -> None:
        """Replace the previous report of a peer."""
        previous = self.peers.get(router_id)
        self.peers[router_id] = PeerLoad(in_flight, self.clock.now_ms())
        if previous is None or previous.in_flight != in_flight:
            self.add_to_totals(in_flight, 1)
            if previous is not None:
                self.add_to_totals(previous.in_flight, -1)

    def expire(self) -> None:
        """Discard the reports of peers that stopped reporting."""
        oldest_ms = self.clock.now_ms() - PEER_REPORT_TTL_MS
        expired = [
            peer_id
            for peer_id, load in self.peers.items()
            if load.received_ms < oldest_ms
        ]
        for router_id in expired:
            self.add_to_totals(self.peers.pop(router_id).in_flight, -1)

    def add_to_totals(self, in_flight: dict[int, int], sign: int) -> None:
        """Add the counts of one report to the totals, or subtract them.

        The work does not grow with the number of peers.
        """
        for key, count in in_flight.items():
            total = self.peer_totals.get(key, 0) + sign * count
            if total:
                self.peer_totals[key] = total
            else:
                self.peer_totals.pop(key, None)

    def in_flight(self, instance: str) -> int:
        """Return the number of attempts in flight at a server."""
        key = instance_key(instance)
        return self.own.get(key, 0) + self.peer_totals.get(key, 0)

    def own_in_flight(self, instance: str) -> int:
        """Return the number of attempts of this router in flight at a server."""
        return self.own.get(instance_key(instance), 0)

    def mean(self, instances: Iterable[str]) -> float:
        """Return the mean number of attempts in flight at the servers."""
        loads = [self.in_flight(instance) for instance in instances]
        return sum(loads) / len(loads) if loads else 0.0

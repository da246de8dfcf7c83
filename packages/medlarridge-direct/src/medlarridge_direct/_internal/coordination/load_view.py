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
        self.peers[router_id] = PeerLoad(in_flight, self.clock.now_ms())
        self.update_peer_totals()

    def expire(self) -> None:
        """Discard the reports of peers that stopped reporting."""
        oldest_ms = self.clock.now_ms() - PEER_REPORT_TTL_MS
        expired = [
            peer_id
            for peer_id, load in self.peers.items()
            if load.received_ms < oldest_ms
        ]
        for router_id in expired:
            del self.peers[router_id]
        if expired:
            self.update_peer_totals()

    def update_peer_totals(self) -> None:
        """Recompute the totals over all peers."""
        self.peer_totals = {}
        for load in self.peers.values():
            for key, count in load.in_flight.items():
                self.peer_totals[key] = self.peer_totals.get(key, 0) + count

    def in_flight(self, instance: str) -> int:
        """Return the number of attempts in flight at a server."""
        key = instance_key(instance)
        return self.own.get(key, 0) + self.peer_totals.get(key, 0)

    def mean(self, instances: Iterable[str]) -> float:
        """Return the mean number of attempts in flight at the servers."""
        loads = [self.in_flight(instance) for instance in instances]
        return sum(loads) / len(loads) if loads else 0.0

"""How much each server carries: attempts of this router and of its peers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from medlarridge._internal.clock import Clock

from .hashing import instance_key

PEER_REPORT_MS = 1_500
"""Age from which the report of a peer no longer counts; peers report several times a
second."""


@dataclass(slots=True)
class PeerLoad:
    """Attempts of one peer by server, and when it reported them."""

    in_flight: dict[int, int]
    received_ms: int


@dataclass(slots=True)
class LoadView:
    """Attempts in flight by the key of the server's instance."""

    clock: Clock
    own: dict[int, int] = field(default_factory=dict)
    peers: dict[int, PeerLoad] = field(default_factory=dict)
    peer_totals: dict[int, int] = field(default_factory=dict)

    def begin_attempt(self, instance: str) -> None:
        """Count an attempt that starts."""
        key = instance_key(instance)
        self.own[key] = self.own.get(key, 0) + 1

    def end_attempt(self, instance: str) -> None:
        """Count an attempt that ended."""
        key = instance_key(instance)
        left = self.own.get(key, 0) - 1
        if left > 0:
            self.own[key] = left
        else:
            self.own.pop(key, None)

    def apply_report(self, router: int, in_flight: dict[int, int]) -> None:
        """Process the report of a peer."""
        self.peers[router] = PeerLoad(in_flight, self.clock.now_ms())
        self.sum_peers()

    def expire(self) -> None:
        """Drop the reports of peers that are silent."""
        oldest_ms = self.clock.now_ms() - PEER_REPORT_MS
        silent = [
            each for each, load in self.peers.items() if load.received_ms < oldest_ms
        ]
        for router in silent:
            del self.peers[router]
        if silent:
            self.sum_peers()

    def sum_peers(self) -> None:
        """Add up the reports."""
        self.peer_totals = {}
        for load in self.peers.values():
            for key, count in load.in_flight.items():
                self.peer_totals[key] = self.peer_totals.get(key, 0) + count

    def in_flight(self, instance: str) -> int:
        """Return the attempts in flight at a server."""
        key = instance_key(instance)
        return self.own.get(key, 0) + self.peer_totals.get(key, 0)

    def mean(self, instances: Iterable[str]) -> float:
        """Return the mean over servers."""
        loads = [self.in_flight(instance) for instance in instances]
        return sum(loads) / len(loads) if loads else 0.0

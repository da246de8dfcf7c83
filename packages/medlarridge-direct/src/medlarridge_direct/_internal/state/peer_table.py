"""The other routers: their addresses, and which were heard from lately."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from medlarridge._internal.clock import Clock

from ..protocol.peer_messages import Report

Address = tuple[str, int]

LINK_CLASSES = 15
RANDOM_BITS = 59
"""A router's number holds the class of its link in the four bits above the random
ones, and stays below 2**63."""

PEER_TIMEOUT_MS = 1_500
"""Time without a report after which a peer counts as silent; reports come several
times a second, and single ones are lost."""

FORGET_MS = 30_000
"""Time after which a silent peer that is not registered is no longer written to."""


def new_router_id(random: Random, link_mbps: float) -> int:
    """Return a number for a new process; those with faster links come first."""
    link_class = LINK_CLASSES - min(LINK_CLASSES, int(link_mbps).bit_length())
    return link_class << RANDOM_BITS | random.getrandbits(RANDOM_BITS)


@dataclass(slots=True)
class Peer:
    """One other router."""

    address: Address
    router_id: int = 0
    sequence: int = 0
    last_report_ms: int | None = None
    stopping: bool = False
    cache_index_synced: bool = False
    store_reachable: bool = False
    configuration_revision: int = 0
    list_confirmed_ms: int = 0
    registered: bool = False


@dataclass(slots=True)
class PeerTable:
    """Peers by address; ``store_reachable`` is about this router itself."""

    clock: Clock
    own_address: Address
    own_router_id: int
    store_reachable: bool = True
    peers: dict[Address, Peer] = field(default_factory=dict)

    def register(self, addresses: Iterable[Address]) -> None:
        """Record the addresses that the store lists."""
        listed = set(addresses)
        listed.discard(self.own_address)
        for peer in self.peers.values():
            peer.registered = peer.address in listed
        for address in listed:
            self.peers.setdefault(address, Peer(address, registered=True))

    def apply_report(self, address: Address, report: Report) -> bool:
        """Note a report; return whether it is newer than those before."""
        if address == self.own_address or report.router_id == self.own_router_id:
            return False
        peer = self.peers.setdefault(address, Peer(address))
        if peer.router_id == report.router_id and report.sequence <= peer.sequence:
            return False
        peer.router_id = report.router_id
        peer.sequence = report.sequence
        peer.stopping = report.stopping
        peer.cache_index_synced = report.cache_index_synced
        peer.store_reachable = report.store_reachable
        peer.configuration_revision = report.configuration_revision
        peer.last_report_ms = self.clock.now_ms()
        if report.list_age_ms >= 0:
            peer.list_confirmed_ms = peer.last_report_ms - report.list_age_ms
        return True

    def is_new_router(self, address: Address, router_id: int) -> bool:
        """Whether a process is heard from for the first time."""
        peer = self.peers.get(address)
        return peer is None or peer.router_id != router_id

    def is_live(self, peer: Peer) -> bool:
        """Whether a peer was heard from lately."""
        return (
            peer.last_report_ms is not None
            and self.clock.now_ms() - peer.last_report_ms <= PEER_TIMEOUT_MS
        )

    def live_peers(self) -> list[Peer]:
        """Return the peers that were heard from lately."""
        return [peer for peer in self.peers.values() if self.is_live(peer)]

    def by_newest_list(self) -> list[Peer]:
        """Return the live peers, that with the newest server list first."""
        return sorted(self.live_peers(), key=lambda peer: -peer.list_confirmed_ms)

    def by_newest_configuration(self) -> list[Peer]:
        """Return the live peers, that with the newest configuration first."""
        return sorted(
            self.live_peers(),
            key=lambda peer: (-peer.configuration_revision, peer.router_id),
        )

    def store_reader_rank(self) -> int:
        """Return how many live routers come before this one in a fixed order.

        Only routers that reach the store and do not stop take turns.
        """
        return sum(
            peer.store_reachable
            and not peer.stopping
            and (peer.router_id < self.own_router_id or not self.store_reachable)
            for peer in self.live_peers()
        )

    def live_rank(self) -> int:
        """Return how many live routers come before this one, whatever they reach."""
        return sum(peer.router_id < self.own_router_id for peer in self.live_peers())

    def any_reaches_store(self) -> bool:
        """Whether a live peer can hand out what the store holds."""
        return any(peer.store_reachable for peer in self.live_peers())

    def remove_silent(self) -> None:
        """Forget peers that are neither registered nor heard from."""
        oldest_ms = self.clock.now_ms() - FORGET_MS
        for address, peer in list(self.peers.items()):
            if not peer.registered and (peer.last_report_ms or 0) < oldest_ms:
                del self.peers[address]

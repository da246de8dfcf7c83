"""Table of the other routers and of their last reports."""

from collections.abc import Iterable
from random import Random

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.peer_messages import Report
from ..protocol.revision import NO_REVISION, Revision

Address = tuple[str, int]

LINK_CLASSES = 15
RANDOM_BITS = 59
"""A router ID consists of four bits for the class of the router's link, followed by
random bits. It stays below 2**63."""

PEER_TIMEOUT_MS = 1_500
"""Time without a report after which a peer counts as silent. Peers report several times
a second, and single reports may be lost."""

PEER_RETENTION_MS = 30_000
"""Time without a report after which an unregistered peer is removed from the table."""


def new_router_id(random: Random, link_mbps: float) -> int:
    """Return a new ID; routers with faster links get lower IDs and so rank first."""
    link_class = LINK_CLASSES - min(LINK_CLASSES, int(link_mbps).bit_length())
    return link_class << RANDOM_BITS | random.getrandbits(RANDOM_BITS)


class Peer(Struct):
    """Another router and the contents of its last report.

    ``router_id`` identifies one start of its process, which has been heard without a
    longer silence since ``heard_since_ms``. ``list_revision`` is the store's
    revision of its server list. ``registered`` tells whether the store lists its
    address. ``kept_pools`` are the pools whose permits it gives out.
    """

    address: Address
    router_id: int = 0
    sequence: int = 0
    last_report_ms: int | None = None
    heard_since_ms: int = 0
    stopping: bool = False
    cache_index_synced: bool = False
    store_reachable: bool = False
    configuration_version: int = 0
    list_revision: Revision = NO_REVISION
    registered: bool = False
    kept_pools: frozenset[str] = frozenset()


class PeerTable(Struct):
    """Peers by address.

    ``store_reachable`` tells whether this router itself reaches the store.
    """

    clock: Clock
    own_address: Address
    own_router_id: int
    store_reachable: bool = True
    peers: dict[Address, Peer] = field(default_factory=dict)

    def register(self, addresses: Iterable[Address]) -> None:
        """Record the router addresses that the store lists."""
        registered = set(addresses)
        registered.discard(self.own_address)
        for peer in self.peers.values():
            peer.registered = peer.address in registered
        for address in registered:
            self.peers.setdefault(address, Peer(address, registered=True))

    def apply_report(self, address: Address, report: Report) -> bool:
        """Apply the report of a peer; return whether it is newer than the last one."""
        if address == self.own_address or report.router_id == self.own_router_id:
            return False
        peer = self.peers.setdefault(address, Peer(address))
        if peer.router_id == report.router_id and report.sequence <= peer.sequence:
            return False
        if peer.router_id != report.router_id or not self.is_live(peer):
            peer.heard_since_ms = self.clock.now_ms()
        peer.router_id = report.router_id
        peer.sequence = report.sequence
        peer.stopping = report.stopping
        peer.cache_index_synced = report.cache_index_synced
        peer.store_reachable = report.store_reachable
        peer.configuration_version = report.configuration_version
        peer.last_report_ms = self.clock.now_ms()
        peer.list_revision = report.list_revision
        peer.kept_pools = frozenset(kept.pool for kept in report.kept_permits)
        return True

    def is_new_router(self, address: Address, router_id: int) -> bool:
        """Return whether a report from this address is the first one of its process."""
        peer = self.peers.get(address)
        return peer is None or peer.router_id != router_id

    def has_registered(self) -> bool:
        """Return whether the store lists another router."""
        return any(peer.registered for peer in self.peers.values())

    def any_serves(self) -> bool:
        """Return whether a live peer has a configuration and is not stopping."""
        return any(
            peer.configuration_version and not peer.stopping
            for peer in self.live_peers()
        )

    def keeper_address(self, pool: str) -> Address | None:
        """Return the address of the router that gives out a pool's permits, or None."""
        keepers = [peer for peer in self.live_peers() if pool in peer.kept_pools]
        if not keepers:
            return None
        return max(keepers, key=lambda peer: peer.last_report_ms or 0).address

    def has_first_address(self) -> bool:
        """Return whether this router's address is the first of the registered ones.

        This is known before the peers have reported; without any it is False.
        """
        registered = [peer.address for peer in self.peers.values() if peer.registered]
        return bool(registered) and self.own_address < min(registered)

    def is_live(self, peer: Peer) -> bool:
        """Return whether a peer has reported recently."""
        return (
            peer.last_report_ms is not None
            and self.clock.now_ms() - peer.last_report_ms <= PEER_TIMEOUT_MS
        )

    def is_live_address(self, address: Address) -> bool:
        """Return whether the peer at an address has reported recently."""
        peer = self.peers.get(address)
        return peer is not None and self.is_live(peer)

    def live_peers(self) -> list[Peer]:
        """Return the peers that have reported recently."""
        return [peer for peer in self.peers.values() if self.is_live(peer)]

    def by_newest_list(self) -> list[Peer]:
        """Return the live peers, the one with the newest server list first."""
        by_id = sorted(self.live_peers(), key=lambda peer: peer.router_id)
        return sorted(by_id, key=lambda peer: peer.list_revision, reverse=True)

    def by_newest_configuration(self) -> list[Peer]:
        """Return the live peers, the one with the newest configuration first."""
        return sorted(
            self.live_peers(),
            key=lambda peer: (-peer.configuration_version, peer.router_id),
        )

    def store_reader_rank(self) -> int:
        """Return the zero-based position of this router among readers of the store.

        Live peers count if they reach the store and are not stopping. The order is that
        of the router IDs; if this router cannot reach the store, it comes last.
        """
        return sum(
            peer.store_reachable
            and not peer.stopping
            and (peer.router_id < self.own_router_id or not self.store_reachable)
            for peer in self.live_peers()
        )

    def live_rank(self) -> int:
        """Return the zero-based position of this router among all live routers."""
        return sum(peer.router_id < self.own_router_id for peer in self.live_peers())

    def handover_rank(self) -> int:
        """Return the zero-based position of this router among those heard for a while.

        Routers that have just started, or were silent, have less to hand to others.
        """
        latest_ms = self.clock.now_ms() - PEER_TIMEOUT_MS
        return sum(
            peer.router_id < self.own_router_id and peer.heard_since_ms <= latest_ms
            for peer in self.live_peers()
        )

    def any_reaches_store(self) -> bool:
        """Return whether a live peer reaches the store."""
        return any(peer.store_reachable for peer in self.live_peers())

    def remove_silent(self) -> None:
        """Remove peers that are neither registered nor have reported recently."""
        oldest_ms = self.clock.now_ms() - PEER_RETENTION_MS
        for address, peer in list(self.peers.items()):
            if not peer.registered and (peer.last_report_ms or 0) < oldest_ms:
                del self.peers[address]

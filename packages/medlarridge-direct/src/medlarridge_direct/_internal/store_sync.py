"""Keeps the router's beliefs in step with the platform's store.

One router in turn reads the store; the others compare its reports with what they know.
A router that cannot reach the store gets the same from another router.
"""

import asyncio
from collections.abc import Awaitable, Callable

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .logs import (
    CONFIGURED,
    MALFORMED,
    SERVER_CHANGED,
    STORE_BACK,
    STORE_LOST,
    Log,
)
from .parts import RouterParts
from .peer_copies import PeerCopies
from .protocol.configuration import Configuration
from .protocol.platform_interface import HistoryGone, PlatformStore
from .protocol.servers import BackendServer, ServerListing
from .state.peer_table import PeerTable
from .state.server_table import ServerChange, ServerChangeKind

LIST_INTERVAL_MS = 800
"""Age of the server list at which it is read again. With a lost call repeated at once,
a server that leaves is known within the 2 s after which it must get no work."""

WATCH_MS = 600
"""Longest wait of one watch of the configuration; a watch that is cut or silent is
noticed early enough to read the configuration within its 2 s."""

CONFIRM_MS = 1_400
"""Age of the configuration at which a router that hears of no newer one watches. It is
confirmed as of the begin of a watch, so its age reaches two watches and the interval of
reports while all is well."""

TURN_MS = 200
CONFIRM_TURN_MS = 50
MAX_TURNS = 3
"""How much longer each further router waits, so that one reads for all."""

CHECK_MS = 50
"""Interval at which the ages are checked."""

RETRY_MS = 150
RETRY_MOST_MS = 600
"""Pause after a failed read; it doubles, since refused calls cost the store as well."""

MAX_PAUSES = 6
"""Pauses that a router waits for those before it to find the store again."""

FIRST_REGISTRY_MS = 1_000
REGISTRY_INTERVAL_MS = 20_000
"""First and longest interval at which the list of routers is read; new routers also
make themselves known with their reports."""


class StoreSync:
    """Reads servers and configuration, and tells the parts what changed."""

    def __init__(
        self,
        parts: RouterParts,
        store: PlatformStore,
        peers: PeerTable,
        copies: PeerCopies,
        log: Log,
        node: str,
    ) -> None:
        self.parts = parts
        self.store = store
        self.peers = peers
        self.copies = copies
        self.log = log
        self.node = node
        self.malformed = 0

    def is_due(self, age_ms: int | None, interval_ms: int, turn_ms: int) -> bool:
        """Whether this router should read what was confirmed so long ago."""
        if age_ms is None:
            return True
        turns = min(self.peers.store_reader_rank(), MAX_TURNS)
        return age_ms >= interval_ms + turns * turn_ms

    async def repeat(self, read: Callable[[], Awaitable[None]]) -> None:
        """Call ``read`` at an interval that grows while it fails."""
        pause_ms = RETRY_MS
        while True:
            try:
                await read()
                await asyncio.sleep(CHECK_MS / MS_PER_S)
                pause_ms = RETRY_MS
            except TransportError as error:
                self.note_reachable(False, error)
                await self.pause(pause_ms)
                pause_ms = min(2 * pause_ms, RETRY_MOST_MS)

    async def pause(self, pause_ms: int) -> None:
        """Wait after a failed read.

        While no router reaches the store, the first of them tries it most often, and
        the others wait for its return.
        """
        await asyncio.sleep(pause_ms / MS_PER_S)
        turns = min(self.peers.live_rank(), MAX_PAUSES)
        for _ in range(turns * pause_ms // CHECK_MS):
            if self.peers.any_reaches_store():
                return
            await asyncio.sleep(CHECK_MS / MS_PER_S)

    # Servers

    async def follow_servers(self) -> None:
        """Read the server list when no router has read it lately."""
        await self.repeat(self.read_servers_if_due)

    async def read_servers_if_due(self) -> None:
        """Read the list if it is old or known to have changed."""
        servers = self.parts.servers
        if not servers.outdated and not self.is_due(
            servers.age_ms(), LIST_INTERVAL_MS, TURN_MS
        ):
            return
        if servers.outdated or not self.peers.store_reachable:
            copy = await self.copies.servers()
            if copy is not None:
                self.take_listing(*copy)
                return
        asked_ms = self.parts.clock.now_ms()
        listing = await self.store.list_servers()
        self.note_reachable(True)
        self.take_listing(listing, asked_ms)

    def take_listing(self, listing: ServerListing, read_ms: int) -> None:
        """Apply a list that was the newest at ``read_ms``."""
        if listing.malformed != self.malformed:
            self.malformed = listing.malformed
            self.log.event(MALFORMED, entries=listing.malformed)
        self.take_changes(self.parts.servers.update(listing, read_ms))
        for instance in self.parts.servers.remove_expired_departed():
            self.parts.placement.cache_index.remove_server(instance)

    def take_changes(self, changes: list[ServerChange]) -> None:
        """Update the parts for servers that came, left or were restarted."""
        for change in changes:
            server = change.server
            self.log.event(
                SERVER_CHANGED,
                server=server.instance,
                address=server.address,
                pool=server.pool,
                change=change.kind,
                revision=self.parts.servers.revision,
            )
            if change.kind in (ServerChangeKind.GONE, ServerChangeKind.RESTARTED):
                if change.kind is ServerChangeKind.RESTARTED or not self.still_serves(
                    server
                ):
                    self.parts.servers.departed.pop(server.instance, None)
                    self.parts.placement.cache_index.remove_server(server.instance)
                self.parts.health.reset(server.instance)
                self.parts.connections.close_idle(server.instance)
                strikes = self.parts.crash_detector.record_down(server.instance)
                if strikes:
                    self.parts.on_strikes(strikes)
            elif change.kind is ServerChangeKind.DRAINING:
                self.parts.connections.close_idle(server.instance)

    def still_serves(self, server: BackendServer) -> bool:
        """Whether a server that left the list may still hand out what it holds."""
        return (
            server.instance in self.parts.servers.departed
            and not self.parts.health.was_unreachable(server.instance)
        )

    # Configuration

    async def follow_configuration(self) -> None:
        """Read newer configurations; the first router in turn watches for them."""
        await self.repeat(self.read_configuration_if_due)

    async def read_configuration_if_due(self) -> None:
        """Read the configuration if it is known to have changed, or watch it."""
        holder = self.parts.configuration
        if holder.outdated or holder.current is None:
            await self.read_configuration()
            return
        watch_at_ms = 0 if self.peers.store_reader_rank() == 0 else CONFIRM_MS
        if not self.is_due(holder.age_ms(), watch_at_ms, CONFIRM_TURN_MS):
            return
        asked_ms = self.parts.clock.now_ms()
        try:
            view = await self.store.watch_configuration(
                holder.watched_revision, WATCH_MS
            )
        except HistoryGone:
            holder.outdated = True
            return
        except TransportError:
            holder.outdated = True
            raise
        if view.configuration is None:
            holder.confirm(asked_ms)
            holder.watched_revision = max(holder.watched_revision, view.store_revision)
        else:
            read_ms = self.parts.clock.now_ms()
            self.take_configuration(view.configuration, read_ms, view.store_revision)

    async def read_configuration(self) -> None:
        """Read the configuration, from a peer if one is known to have a newer one."""
        holder = self.parts.configuration
        if holder.peer_has_newer or not self.peers.store_reachable:
            copy = await self.copies.configuration()
            if copy is not None:
                self.take_configuration(*copy)
                return
        asked_ms = self.parts.clock.now_ms()
        view = await self.store.read_configuration()
        if view.configuration is None:
            raise TransportError("no configuration yet", step="read configuration")
        self.note_reachable(True)
        self.take_configuration(view.configuration, asked_ms, view.store_revision)

    def take_configuration(
        self, configuration: Configuration, read_ms: int, store_revision: int = 0
    ) -> None:
        """Put a newer configuration in force."""
        if self.parts.configuration.update(configuration, read_ms, store_revision):
            self.log.event(
                CONFIGURED,
                version=configuration.version,
                revision=configuration.revision,
                routes=len(configuration.routes),
                accounts=len(configuration.accounts),
            )

    # Routers

    async def follow_routers(self) -> None:
        """Register this router and learn the addresses of the others."""
        pause_ms = FIRST_REGISTRY_MS
        while True:
            try:
                routers = await self.store.list_routers()
                self.peers.register(routers.values())
                if routers.get(self.node) != self.peers.own_address:
                    await self.store.register_router(self.node, *self.peers.own_address)
            except TransportError as error:
                self.note_reachable(False, error)
            await asyncio.sleep(pause_ms / MS_PER_S)
            pause_ms = min(2 * pause_ms, REGISTRY_INTERVAL_MS)

    def note_reachable(
        self, reachable: bool, error: TransportError | None = None
    ) -> None:
        """Log that the store was lost or is back."""
        if reachable == self.peers.store_reachable:
            return
        self.peers.store_reachable = reachable
        if reachable:
            self.log.event(STORE_BACK)
        else:
            self.log.event(STORE_LOST, error=str(error))

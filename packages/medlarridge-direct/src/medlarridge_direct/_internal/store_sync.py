"""Keeps the router's beliefs in step with the platform's store."""

import asyncio

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .coordination.crash_watch import Strike
from .logs import (
    CONFIGURED,
    MALFORMED,
    SERVER_CHANGED,
    STORE_BACK,
    STORE_LOST,
    STRIKE,
    Log,
)
from .parts import RouterParts
from .protocol.configuration import Configuration
from .protocol.dialect import PlatformStore
from .state.peer_table import PeerTable
from .state.server_table import Change, ServerChange

LIST_INTERVAL_MS = 800
"""Age of the server list at which it is read again. With a lost call repeated at once,
a server that leaves is known within the 2 s after which it must get no work."""

WATCH_MS = 1_000
"""Longest wait of one watch of the configuration; a watch that is cut or silent is
noticed early enough to read the configuration within its 2 s."""

CONFIRM_MS = 1_000
"""Age of the configuration at which a router that hears of no newer one reads it."""

TURN_MS = 200
MAX_TURN_MS = 600
"""How much longer each further router waits, so that one reads for all."""

CHECK_MS = 50
"""Interval at which the ages are checked."""

RETRY_MS = 150
RETRY_MOST_MS = 600
"""Pause after a failed call; it doubles, since refused calls cost the store as well."""

FIRST_REGISTRY_MS = 1_000
REGISTRY_INTERVAL_MS = 20_000
"""First and longest interval at which the list of routers is read; new routers also make themselves
known with their reports."""


class StoreSync:
    """Reads servers and configuration, and tells the parts what changed."""

    def __init__(
        self,
        parts: RouterParts,
        store: PlatformStore,
        peers: PeerTable,
        log: Log,
        node: str,
    ) -> None:
        self.parts = parts
        self.store = store
        self.peers = peers
        self.log = log
        self.node = node
        self.reachable = True
        self.malformed = 0

    def is_due(self, age_ms: int | None, interval_ms: int) -> bool:
        """Whether this router should read what was confirmed so long ago."""
        if age_ms is None:
            return True
        turn_ms = min(TURN_MS * self.peers.rank(), MAX_TURN_MS)
        return age_ms >= interval_ms + turn_ms

    async def follow_servers(self) -> None:
        """Read the server list when no router has read it lately."""
        pause_ms = RETRY_MS
        while True:
            due = self.is_due(self.parts.servers.age_ms(), LIST_INTERVAL_MS)
            if not due and not self.parts.servers.behind:
                await asyncio.sleep(CHECK_MS / MS_PER_S)
                continue
            asked_ms = self.parts.clock.now_ms()
            try:
                listing = await self.store.list_servers()
            except TransportError as error:
                self.note_reachable(False, error)
                await asyncio.sleep(pause_ms / MS_PER_S)
                pause_ms = min(2 * pause_ms, RETRY_MOST_MS)
                continue
            self.note_reachable(True)
            pause_ms = RETRY_MS
            if listing.malformed != self.malformed:
                self.malformed = listing.malformed
                self.log.event(MALFORMED, entries=listing.malformed)
            self.take_changes(self.parts.servers.update(listing, asked_ms))

    def take_changes(self, changes: list[ServerChange]) -> None:
        """Tell the parts which servers came, left or were started again."""
        for change in changes:
            server = change.server
            self.log.event(
                SERVER_CHANGED,
                server=server.instance,
                address=server.address,
                pool=server.pool,
                change=change.change,
                revision=self.parts.servers.revision,
            )
            if change.change in (Change.GONE, Change.RESTARTED):
                self.parts.health.reset(server.instance)
                self.parts.placement.cache.forget_server(server.instance)
                self.parts.connections.close_idle(server.instance)
                strikes = self.parts.crashes.note_down(server.instance)
                if strikes:
                    self.parts.on_strikes(strikes)
            elif change.change is Change.DRAINING:
                self.parts.connections.close_idle(server.instance)

    async def follow_configuration(self) -> None:
        """Read newer configurations; the first router in order watches for them."""
        pause_ms = RETRY_MS
        while True:
            configuration = self.parts.configuration
            try:
                if configuration.behind or configuration.current is None:
                    asked_ms = self.parts.clock.now_ms()
                    self.take_configuration(
                        await self.store.read_configuration(), asked_ms
                    )
                elif self.is_due(configuration.age_ms(), self.confirm_ms()):
                    await self.watch()
                else:
                    await asyncio.sleep(CHECK_MS / MS_PER_S)
                    continue
            except TransportError as error:
                configuration.behind = True
                self.note_reachable(False, error)
                await asyncio.sleep(pause_ms / MS_PER_S)
                pause_ms = min(2 * pause_ms, RETRY_MOST_MS)
                continue
            pause_ms = RETRY_MS

    def confirm_ms(self) -> int:
        """Return the age at which this router watches for a newer configuration."""
        return 0 if self.peers.rank() == 0 else CONFIRM_MS

    async def watch(self) -> None:
        """Watch for a newer configuration once."""
        configuration = self.parts.configuration
        asked_ms = self.parts.clock.now_ms()
        if await self.store.watch_configuration(WATCH_MS):
            configuration.behind = True
        else:
            configuration.confirm(asked_ms)

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

    def take_configuration(
        self, configuration: Configuration | None, asked_ms: int
    ) -> None:
        """Put a newer configuration in force."""
        if configuration is None:
            raise TransportError("no configuration yet", step="read configuration")
        if self.parts.configuration.offer(configuration, asked_ms):
            self.log.event(
                CONFIGURED,
                version=configuration.version,
                revision=configuration.revision,
                routes=len(configuration.routes),
                accounts=len(configuration.accounts),
            )

    def note_reachable(
        self, reachable: bool, error: TransportError | None = None
    ) -> None:
        """Log that the store was lost or is back."""
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            self.log.event(STORE_BACK)
        else:
            self.log.event(STORE_LOST, error=str(error))

    def log_strikes(self, strikes: list[Strike]) -> None:
        """Log requests that were running when their server went down."""
        for strike in strikes:
            self.log.event(
                STRIKE,
                fingerprint=f"{strike.fingerprint:016x}",
                server=strike.server,
                strikes=self.parts.guard.count(strike.fingerprint),
            )

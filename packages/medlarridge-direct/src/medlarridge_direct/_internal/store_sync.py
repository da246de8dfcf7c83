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
from .protocol.dialect import StoreReader
from .state.server_table import Change, ServerChange

LIST_INTERVAL_MS = 800
"""Interval between reads of the server list. With a lost call repeated at once, a
server that leaves is known within the 2 s after which it must get no work."""

WATCH_MS = 1_000
"""Longest wait of one watch of the configuration; a watch that is cut or silent is
noticed early enough to read the configuration within its 2 s."""

RETRY_MS = 150
RETRY_MOST_MS = 600
"""Pause after a failed call; it doubles, since refused calls cost the store as well."""


class StoreSync:
    """Reads servers and configuration, and tells the parts what changed."""

    def __init__(self, parts: RouterParts, reader: StoreReader, log: Log) -> None:
        self.parts = parts
        self.reader = reader
        self.log = log
        self.reachable = True
        self.malformed = 0

    async def follow_servers(self) -> None:
        """Read the server list at a steady interval."""
        pause_ms = RETRY_MS
        while True:
            asked_ms = self.parts.clock.now_ms()
            try:
                listing = await self.reader.list_servers()
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
            await asyncio.sleep(LIST_INTERVAL_MS / MS_PER_S)

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
                self.parts.placement.forget_server(server.instance)
                self.parts.connections.close_idle(server.instance)
                strikes = self.parts.crashes.note_down(server.instance)
                if strikes:
                    self.parts.on_strikes(strikes)
            elif change.change is Change.DRAINING:
                self.parts.connections.close_idle(server.instance)

    async def follow_configuration(self) -> None:
        """Read the configuration and watch for newer ones."""
        pause_ms = RETRY_MS
        changed = True
        while True:
            asked_ms = self.parts.clock.now_ms()
            try:
                if changed:
                    self.take_configuration(
                        await self.reader.read_configuration(), asked_ms
                    )
                    changed = False
                asked_ms = self.parts.clock.now_ms()
                revision = self.parts.configuration.revision
                changed = await self.reader.watch_configuration(revision, WATCH_MS)
            except TransportError as error:
                changed = True
                self.note_reachable(False, error)
                await asyncio.sleep(pause_ms / MS_PER_S)
                pause_ms = min(2 * pause_ms, RETRY_MOST_MS)
                continue
            pause_ms = RETRY_MS
            if not changed and self.parts.configuration.current is not None:
                self.parts.configuration.confirm(asked_ms)

    def take_configuration(
        self, configuration: Configuration | None, asked_ms: int
    ) -> None:
        """Put a newer configuration in force."""
        if configuration is None:
            return
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

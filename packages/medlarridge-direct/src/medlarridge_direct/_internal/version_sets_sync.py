"""Synchronization of the versions at which streams may have begun with the store."""

import asyncio

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .logs import VERSION_NOT_STORED, VERSION_SET_STORED, VERSION_SETS_READ, Log
from .protocol.platform_interface import PlatformStore
from .protocol.stored_streams import StoredVersionSet, VersionSet
from .state.peer_table import PeerTable
from .state.version_sets import STORE_WAIT_MS, Basis

CHECK_INTERVAL_MS = 50

READ_INTERVAL_MS = 250
"""Shortest time between two reads of a router."""

MAX_RETRY_DELAY_MS = 1_000
"""Longest delay after failed calls; it doubles from ``READ_INTERVAL_MS``."""

NEWS_INTERVAL_MS = 5_000
"""Interval at which a router that does not rank first looks, by reads that may be old,
whether a set is complete and has the new routes, so that fewer streams need a record."""

TAKE_OVER_MS = 500
MAX_TAKE_OVER_RANK = 3
"""Time for each rank, up to this one, after which a router writes a new version in place
of the first one."""


class VersionSetsSync:
    """Reads the stored sets after the start, and writes them if this router is first.

    The others learn from reads that may be old, which cost little, that a new version
    is stored.
    """

    def __init__(
        self,
        components: RouterComponents,
        store: PlatformStore,
        peers: PeerTable,
        log: Log,
    ) -> None:
        self.components = components
        self.sets = components.version_sets
        self.store = store
        self.peers = peers
        self.log = log
        self.next_read_ms = 0
        self.next_news_ms = 0
        self.logged_late = False

    async def run(self) -> None:
        """Keep the stored sets and the server lists in accordance."""
        retry_ms = READ_INTERVAL_MS
        while True:
            try:
                await self.sync()
                await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
                retry_ms = READ_INTERVAL_MS
            except TransportError as error:
                self.log_if_late(error)
                await asyncio.sleep(retry_ms / MS_PER_S)
                retry_ms = min(2 * retry_ms, MAX_RETRY_DELAY_MS)

    def log_if_late(self, error: TransportError) -> None:
        """Log once that servers of a version get new streams although it is not stored."""
        unconfirmed_ms = self.sets.unconfirmed_ms() or 0
        if unconfirmed_ms >= STORE_WAIT_MS and not self.logged_late:
            self.log.event(
                VERSION_NOT_STORED,
                versions=sorted(self.sets.unconfirmed_since_ms),
                error=str(error),
            )
        self.logged_late = unconfirmed_ms >= STORE_WAIT_MS

    async def sync(self) -> None:
        """Read the sets if that is due, and write those that have changed."""
        self.sets.refresh(self.components.configuration.current)
        if not self.sets.spans_ms or self.sets.basis is None:
            return
        if self.sets.stored is None:
            await self.read_if_due(stale=False)
            if self.sets.stored is None:
                return
        rank = self.peers.store_reader_rank()
        unconfirmed_ms = self.sets.unconfirmed_ms()
        take_over_ms = min(rank, MAX_TAKE_OVER_RANK) * TAKE_OVER_MS
        if rank > 0 and (unconfirmed_ms is None or unconfirmed_ms < take_over_ms):
            if unconfirmed_ms is not None or self.is_news_due():
                await self.read_if_due(stale=True)
            return
        if self.sets.needs_read():
            await self.read_if_due(stale=False)
        for pool, span_ms in self.sets.spans_ms.items():
            await self.write_if_changed(pool, span_ms, may_remove=rank == 0)

    def is_news_due(self) -> bool:
        """Return whether to look for what the first router has stored since."""
        now_ms = self.components.clock.now_ms()
        if now_ms < self.next_news_ms:
            return False
        self.next_news_ms = now_ms + NEWS_INTERVAL_MS
        return self.sets.wants_news()

    async def read_if_due(self, stale: bool) -> None:
        """Read all sets unless that was done a moment ago."""
        now_ms = self.components.clock.now_ms()
        if now_ms < self.next_read_ms or self.sets.basis is None:
            return
        self.next_read_ms = now_ms + READ_INTERVAL_MS
        await self.read(stale)

    async def confirm(self) -> None:
        """Read what is stored now, if a stream may be taken up at all."""
        self.sets.refresh(self.components.configuration.current)
        if self.sets.spans_ms and self.sets.basis is not None:
            await self.read(stale=False)

    async def read(self, stale: bool) -> None:
        """Read all sets."""
        basis = self.sets.basis
        assert basis is not None
        now_ms = self.components.clock.now_ms()
        call = "list-version-sets-stale" if stale else "list-version-sets"
        self.components.metrics.store_calls[call] += 1
        sets = await self.store.list_version_sets(stale)
        self.sets.apply_read(sets, basis, now_ms, stale)
        if not stale:
            self.log.event(
                VERSION_SETS_READ,
                era=sets.era,
                pools={
                    pool: [*stored.value.versions, *stored.value.leaving]
                    for pool, stored in sets.by_pool.items()
                },
                complete=[
                    pool
                    for pool, stored in sets.by_pool.items()
                    if stored.value.complete_in_era == sets.era
                ],
            )

    async def write_if_changed(self, pool: str, span_ms: int, may_remove: bool) -> None:
        """Write the set of a pool if it should be another one."""
        basis = self.sets.basis
        if basis is None or self.sets.stored is None:
            return
        value = self.sets.next_set(pool, span_ms, may_remove)
        if value is not None:
            await self.write(pool, value, basis)

    async def write(self, pool: str, value: VersionSet, basis: Basis) -> None:
        """Write a set; if another router has changed it meanwhile, read it again."""
        assert self.sets.stored is not None
        stored = self.sets.stored.get(pool, StoredVersionSet())
        self.components.metrics.store_calls["write-version-set"] += 1
        written = await self.store.write_version_set(pool, value, stored.revision)
        if written is None:
            self.next_read_ms = 0
            await self.read_if_due(stale=False)
            return
        self.sets.apply_write(pool, value, written.era, written.number, basis)
        self.log.event(
            VERSION_SET_STORED,
            pool=pool,
            versions=value.versions,
            leaving=value.leaving,
            complete=value.complete_in_era == written.era,
            revision=str(written),
        )

"""Takes, renews and releases the leases of permits in the platform's store."""

import asyncio
from collections.abc import Callable

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .coordination.permit_lease import RENEWAL_MS, PermitLease, StoreEraView
from .coordination.permit_ledger import PermitLedger
from .logs import PERMITS_KEPT, PERMITS_LEFT, Log
from .protocol.peer_messages import KeptPermits
from .protocol.permit_leases import LeaseRecord
from .protocol.platform_interface import PlatformStore
from .protocol.revision import Revision
from .router_registry import ReachabilityRecorder
from .state.peer_table import PeerTable

STEP_INTERVAL_MS = 50

READ_INTERVAL_MS = 500
"""Interval at which a router that ranks first reads a lease that it waits for. It grows
with the rank, so that a large fleet does not use up the store's rate."""

RANK_DELAY_MS = 150
"""Delay for each rank after which a router takes a lease that nobody has."""

MAX_DELAYED_RANK = 4

RELEASE_MS = 300
"""Time that a stopping router waits for the store to take its leases back."""

UNUSED_MS = 30_000
"""Time after the last limit in a pool at which its lease is released."""

COLD_UNUSED_MS = 2_000
"""The same after the last cold server: each second costs a write, and another cold server
soon after this one is often one that a release of its software starts."""

ALONE_MS = 3_000
"""Time after which a keeper that hears no other router, though others are registered,
lets its lease run out: nobody else can ask it."""


def ignore_kept() -> None:
    """Do nothing about a lease that was taken."""


class PermitLeaseSync:
    """Keeps the leases of the pools that have servers with a limit or cold ones.

    ``on_cold_kept`` is called when this router has taken the lease of a pool with cold
    servers: they may be warm before the next periodic report of a large fleet.
    """

    def __init__(
        self,
        components: RouterComponents,
        store: PlatformStore,
        peers: PeerTable,
        log: Log,
        node: str,
        set_store_reachable: ReachabilityRecorder,
        first_start: bool = False,
    ) -> None:
        self.components = components
        self.store = store
        self.peers = peers
        self.log = log
        self.node = node
        self.set_store_reachable = set_store_reachable
        self.started_ms = components.clock.now_ms()
        self.last_company_ms = self.started_ms
        self.leases = components.permits.leases
        self.on_cold_kept: Callable[[], None] = ignore_kept
        self.era_view = StoreEraView(
            components.clock, None if first_start else self.started_ms
        )

    async def run(self) -> None:
        """Keep the leases up to date."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_INTERVAL_MS / MS_PER_S)

    async def step(self) -> None:
        """Renew the leases of this router, and take those that are wanted."""
        now_ms = self.components.clock.now_ms()
        if self.components.servers.confirmed_ms is not None:
            self.era_view.record(self.components.servers.revision.era)
        if self.peers.live_peers() or not self.peers.has_registered():
            self.last_company_ms = now_ms
        limited = self.pools_with_limits()
        for pool in limited | self.components.permits.cold.pools():
            lease = self.leases.get(pool)
            if lease is None:
                lease = self.leases[pool] = self.create_lease()
            kept_ms = UNUSED_MS if pool in limited else COLD_UNUSED_MS
            # After a limit, the longer time goes on.
            left_ms = lease.wanted_ms + lease.kept_unused_ms - now_ms
            lease.wanted_ms, lease.kept_unused_ms = now_ms, max(kept_ms, left_ms)
        for pool, lease in list(self.leases.items()):
            try:
                await self.step_lease(pool, lease)
            except TransportError as error:
                self.set_store_reachable(False, error)
                lease.revision = None
                lease.next_read_ms = self.components.clock.now_ms() + READ_INTERVAL_MS

    def pools_with_limits(self) -> set[str]:
        """Return the pools that have a server with a limit."""
        notices = self.components.notices
        if not notices.limits:
            return set()
        limited = {start for start, _ in notices.limited()}
        return {
            server.pool
            for server in self.components.servers.by_instance.values()
            if server.start in limited
        }

    def create_lease(self) -> PermitLease:
        """Return a lease that this router does not have."""
        clock, random = self.components.clock, self.components.random
        return PermitLease(
            clock,
            self.node,
            self.peers.own_router_id,
            self.started_ms,
            self.era_view,
            PermitLedger(clock, next_number=random.getrandbits(62) + 1),
        )

    async def step_lease(self, pool: str, lease: PermitLease) -> None:
        """Renew, release or take one lease if that is due."""
        now_ms = self.components.clock.now_ms()
        if now_ms - lease.wanted_ms > lease.kept_unused_ms:
            await self.release(pool, lease)
            del self.leases[pool]
        elif lease.held and lease.revision is not None:
            alone = now_ms - self.last_company_ms > ALONE_MS
            if now_ms - (lease.written_ms or 0) >= RENEWAL_MS and not alone:
                await self.renew(pool, lease, lease.revision)
        elif self.may_read(pool, lease):
            lease.next_read_ms = now_ms + self.read_interval_ms()
            await self.read_and_take(pool, lease)

    def may_read(self, pool: str, lease: PermitLease) -> bool:
        """Return whether this router should look for a lease that it does not have.

        The routers that rank first try first, so that they seldom write at once.
        """
        now_ms = self.components.clock.now_ms()
        if lease.held:
            return now_ms >= lease.next_read_ms
        if self.peers.keeper_address(pool) is not None:
            lease.next_read_ms = 0
            return False
        if lease.next_read_ms == 0:
            rank = min(self.peers.live_rank(), MAX_DELAYED_RANK)
            lease.next_read_ms = now_ms + rank * RANK_DELAY_MS
        return now_ms >= lease.next_read_ms

    def read_interval_ms(self) -> int:
        """Return the interval of reads; routers that rank late leave them to others."""
        return READ_INTERVAL_MS * max(self.peers.live_rank() // MAX_DELAYED_RANK, 1)

    async def renew(
        self, pool: str, lease: PermitLease, revision: Revision | None
    ) -> None:
        """Write the lease again; if the store has another revision, read it first."""
        sent_ms = self.components.clock.now_ms()
        written = await self.write(pool, lease.record(), revision)
        if written is None:
            lease.revision, lease.next_read_ms = None, 0
        else:
            lease.renew(written, sent_ms)

    async def read_and_take(self, pool: str, lease: PermitLease) -> None:
        """Read who has the lease, and take it if no router can have it."""
        self.components.metrics.store_calls["read-permit-lease"] += 1
        stored = await self.store.read_permit_lease(pool)
        self.era_view.record(stored.revision.era)
        record = stored.record
        revision = None if record is None else stored.revision
        if lease.held:
            # The answer to a write was lost, or the store came back from an older copy.
            if lease.may_renew(stored):
                await self.renew(pool, lease, revision)
            else:
                self.leave(pool, lease, "taken by another router")
            return
        if not lease.may_take(stored):
            return
        sent_ms = self.components.clock.now_ms()
        written = await self.write(pool, lease.record(), revision)
        if written is None or written.era != stored.revision.era:
            return
        lease.begin(stored, written, sent_ms)
        self.log.event(
            PERMITS_KEPT,
            pool=pool,
            before=None if record is None else record.node,
            revision=str(written),
            unknown_until_ms=lease.ledger.unknown_until_ms,
        )
        if pool in self.components.permits.cold.pools():
            self.on_cold_kept()

    async def write(
        self, pool: str, record: LeaseRecord, revision: Revision | None
    ) -> Revision | None:
        """Write a record in place of the one at a revision; None if it has changed."""
        self.components.metrics.store_calls["write-permit-lease"] += 1
        written = await self.store.write_permit_lease(pool, record, revision)
        if written is not None:
            self.era_view.record(written.era)
        return written

    def leave(self, pool: str, lease: PermitLease, reason: str) -> None:
        """Stop giving out permits."""
        lease.lose()
        self.log.event(PERMITS_LEFT, pool=pool, reason=reason)

    async def release(self, pool: str, lease: PermitLease) -> None:
        """Hand the lease and its permits to any router that wants it."""
        if not lease.held or lease.revision is None:
            lease.lose()
            return
        record, revision = lease.release_record(), lease.revision
        self.leave(pool, lease, "released")
        await self.write(pool, record, revision)

    async def release_all(self) -> None:
        """Hand over all leases before the process ends, if the store answers soon."""
        results = await asyncio.gather(
            *(
                asyncio.wait_for(self.release(pool, lease), RELEASE_MS / MS_PER_S)
                for pool, lease in list(self.leases.items())
            ),
            return_exceptions=True,
        )
        for error in results:
            if isinstance(error, TransportError):
                self.set_store_reachable(False, error)

    def kept(self) -> list[KeptPermits]:
        """Return the pools whose permits this router gives out, for its reports."""
        now_ms = self.components.clock.now_ms()
        return [
            KeptPermits(pool, lease.revision, now_ms - (lease.written_ms or 0))
            for pool, lease in self.leases.items()
            if lease.held and lease.revision is not None
        ]

    def observe_kept(self, kept: KeptPermits) -> None:
        """Record until when a peer may give out permits."""
        lease = self.leases.get(kept.pool)
        if lease is not None:
            now_ms = self.components.clock.now_ms()
            lease.observe(kept.revision, now_ms - kept.age_ms)

"""Synchronization of the router's state with the platform's store.

The router that ranks first reads the store; the others compare its reports with their
own state. A router that cannot reach the store gets snapshots from its peers.
"""

import asyncio
from collections.abc import Awaitable, Callable

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .logs import (
    CONFIGURATION_APPLIED,
    MALFORMED_ENTRIES,
    SERVER_CHANGED,
    STORE_ERA_BEGAN,
    STORE_LOST,
    STORE_RECOVERED,
    Log,
)
from .peer_snapshots import PeerSnapshots
from .permit_lease_sync import PermitLeaseSync
from .protocol.peer_messages import Departure
from .protocol.platform_interface import (
    ConfigurationSnapshot,
    HistoryGone,
    PlatformStore,
)
from .protocol.servers import BackendServer, ServerListing
from .refused_sync import RefusedPartsSync, RefusedRequestsSync
from .router_registry import RouterRegistry
from .server_crashes import record_server_down
from .settings import DEFAULT_WRITES_PER_S
from .state.peer_table import PeerTable
from .state.server_table import EraChange, ServerChange, ServerChangeKind
from .stream_records_sync import StreamRecordsSync
from .version_sets_sync import VersionSetsSync

WATCH_TIMEOUT_MS = 900
"""Longest wait of one watch. A broken or silent watch is noticed early enough to apply
a change within the required 2 s."""

LIST_MAX_AGE_MS = 1_150
"""Age of the server list at which it is read as a whole. A server must get no requests
later than 2 s after it left. In normal operation the age reaches one watch and one
interval of reports."""

CONFIGURATION_MAX_AGE_MS = 1_150
"""Age of the configuration at which a router that does not rank first asks the store as
well."""

SHORT_WATCH_MS = 1
"""Wait of a watch that only confirms the configuration."""

LIST_RANK_DELAY_MS = 200
CONFIGURATION_RANK_DELAY_MS = 150
MAX_DELAYED_RANK = 3
"""The maximum age grows by this delay for each rank, up to the maximum rank. Normally
only the first router reads, and the next ones take over if it fails."""

CHECK_INTERVAL_MS = 50
"""Interval at which the ages of list and configuration are checked."""

MIN_RETRY_DELAY_MS = 150
MAX_RETRY_DELAY_MS = 600
"""Bounds of the delay after a failed read; it doubles, since even refused calls are a
load on the store."""

MAX_BACKOFF_RANK = 6
"""While no router reaches the store, a router waits one more delay for each rank up to
this one."""


class StoreSync:
    """Reads servers and configuration and applies changes to the other components."""

    def __init__(
        self,
        components: RouterComponents,
        store: PlatformStore,
        peers: PeerTable,
        peer_snapshots: PeerSnapshots,
        log: Log,
        node: str,
        on_departures: Callable[[list[Departure]], None],
        first_start: bool = False,
        writes_per_s: float = DEFAULT_WRITES_PER_S,
    ) -> None:
        self.components = components
        self.store = store
        self.peers = peers
        self.peer_snapshots = peer_snapshots
        self.log = log
        self.on_departures = on_departures
        self.malformed = 0
        self.registry = RouterRegistry(
            components, store, peers, node, self.set_store_reachable
        )
        self.refused_parts = RefusedPartsSync(
            components, store, peers, self.set_store_reachable
        )
        self.refused_requests = RefusedRequestsSync(
            components, store, peers, self.set_store_reachable
        )
        self.permit_leases = PermitLeaseSync(
            components,
            store,
            peers,
            log,
            node,
            self.set_store_reachable,
            first_start,
        )
        self.version_sets = VersionSetsSync(components, store, peers, log)
        self.stream_records = StreamRecordsSync(
            components, store, peers, log, writes_per_s
        )
        components.servers.on_era_change = self.handle_era_change

    def handle_era_change(self, change: EraChange) -> None:
        """Log a new era of the store, and register this router again."""
        self.log.event(
            STORE_ERA_BEGAN,
            era_before=change.before.era,
            era=change.after.era,
            revision_before=change.before.number,
            revision=change.after.number,
            missing=change.missing,
            ignored=change.ignored,
        )
        self.registry.lost.set()
        self.refused_parts.forget()
        self.refused_requests.forget()
        self.stream_records.forget()

    def count_call(self, call: str) -> None:
        """Count a call to the store in the metrics."""
        self.components.metrics.store_calls[call] += 1

    def is_due(self, age_ms: int | None, max_age_ms: int, rank_delay_ms: int) -> bool:
        """Return whether this router should read state of this age."""
        if age_ms is None:
            return True
        rank = min(self.peers.store_reader_rank(), MAX_DELAYED_RANK)
        return age_ms >= max_age_ms + rank * rank_delay_ms

    async def poll(self, read: Callable[[], Awaitable[None]]) -> None:
        """Call ``read`` periodically, with exponential backoff while it fails."""
        delay_ms = MIN_RETRY_DELAY_MS
        while True:
            try:
                await read()
                await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
                delay_ms = MIN_RETRY_DELAY_MS
            except HistoryGone:
                # The store responds, but what was being read has changed.
                await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
            except TransportError as error:
                self.set_store_reachable(False, error)
                await self.back_off(delay_ms)
                delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)

    async def back_off(self, delay_ms: int) -> None:
        """Wait after a failed read.

        While no router reaches the store, the delay grows with the rank: the first
        router retries most often, and the others stop waiting once one succeeds.
        """
        await asyncio.sleep(delay_ms / MS_PER_S)
        rank = min(self.peers.live_rank(), MAX_BACKOFF_RANK)
        for _ in range(rank * delay_ms // CHECK_INTERVAL_MS):
            if self.peers.any_reaches_store():
                return
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)

    # Servers

    async def sync_servers(self) -> None:
        """Read the server list whenever no router has read it recently."""
        await self.poll(self.read_servers_if_due)

    async def watch_servers(self) -> None:
        """Watch the server list while this router ranks first."""
        await self.poll(self.watch_servers_if_first)

    async def watch_servers_if_first(self) -> None:
        """Wait once for changes of the list if no other router does."""
        servers = self.components.servers
        if (
            servers.listing is None
            or servers.outdated
            or not self.peers.store_reachable
            or self.peers.store_reader_rank() > 0
            or (servers.age_ms() or 0) > LIST_MAX_AGE_MS
        ):
            return
        watched = servers.listing
        requested_ms = self.components.clock.now_ms()
        try:
            self.count_call("watch-servers")
            listing = await self.store.watch_servers(watched, WATCH_TIMEOUT_MS)
        except HistoryGone:
            self.count_call("list-servers")
            self.apply_own_listing(await self.store.list_servers(), requested_ms)
            return
        if listing.servers == watched.servers:
            read_ms = self.end_of_watch_ms(requested_ms, WATCH_TIMEOUT_MS)
        else:
            read_ms = self.components.clock.now_ms()
        self.apply_own_listing(listing, read_ms)

    async def confirm_servers(self) -> None:
        """Read what has changed in the list up to now."""
        servers = self.components.servers
        requested_ms = self.components.clock.now_ms()
        if servers.listing is not None and not servers.outdated:
            try:
                self.count_call("watch-servers")
                listing = await self.store.watch_servers(
                    servers.listing, SHORT_WATCH_MS
                )
                self.apply_own_listing(listing, requested_ms)
                return
            except HistoryGone:
                requested_ms = self.components.clock.now_ms()
        self.count_call("list-servers")
        self.apply_own_listing(await self.store.list_servers(), requested_ms)

    def end_of_watch_ms(self, requested_ms: int, wait_ms: int) -> int:
        """Return up to when a watch without a result shows that nothing changed.

        The store responds only when the wait is over, or earlier if it ends the watch.
        """
        end_ms = requested_ms + wait_ms
        return end_ms if end_ms <= self.components.clock.now_ms() else requested_ms

    async def read_servers_if_due(self) -> None:
        """Read the list if it is old or known to be outdated."""
        servers = self.components.servers
        if (
            not servers.outdated
            and not servers.has_expired_entries
            and not self.is_due(servers.age_ms(), LIST_MAX_AGE_MS, LIST_RANK_DELAY_MS)
        ):
            return
        if servers.outdated or not self.peers.store_reachable:
            snapshot = await self.peer_snapshots.fetch_servers()
            if snapshot is not None:
                self.apply_listing(*snapshot)
                return
        requested_ms = self.components.clock.now_ms()
        self.count_call("list-servers")
        listing = await self.store.list_servers()
        self.set_store_reachable(True)
        self.apply_own_listing(listing, requested_ms)

    def apply_own_listing(self, listing: ServerListing, read_ms: int) -> None:
        """Apply a list from the store and report the servers that left it."""
        self.components.servers.own_read.record(read_ms)
        departures = [
            Departure(
                change.server.instance,
                change.server.started_at,
                listing.revision,
                change.server.sequence,
            )
            for change in self.apply_listing(listing, read_ms)
            if change.kind in (ServerChangeKind.GONE, ServerChangeKind.DRAINING)
        ]
        if departures:
            self.on_departures(departures)

    def apply_listing(self, listing: ServerListing, read_ms: int) -> list[ServerChange]:
        """Apply a list that was current at ``read_ms``; return the changes."""
        if listing.malformed != self.malformed:
            self.malformed = listing.malformed
            self.log.event(MALFORMED_ENTRIES, entries=listing.malformed)
        changes = self.components.servers.update(listing, read_ms)
        self.components.cold_servers.apply_list(
            self.components.servers.by_instance.values()
        )
        self.apply_server_changes(changes)
        for instance in self.components.servers.remove_expired_departed():
            self.components.placement.cache_index.remove_server(instance)
        return changes

    def apply_server_changes(self, changes: list[ServerChange]) -> None:
        """Update the components for servers that joined, left or restarted."""
        if changes:
            self.stream_records.collect_soon()
        for change in changes:
            server = change.server
            self.log.event(
                SERVER_CHANGED,
                server=server.instance,
                address=server.address,
                pool=server.pool,
                change=change.kind,
                version=server.software_version,
                revision=str(self.components.servers.revision),
            )
            if change.kind in (ServerChangeKind.GONE, ServerChangeKind.RESTARTED):
                if (
                    change.kind is ServerChangeKind.RESTARTED
                    or not self.may_still_serve(server)
                ):
                    self.components.servers.departed.pop(server.instance, None)
                    self.components.placement.cache_index.remove_server(server.instance)
                self.components.health.reset(server.instance)
                record_server_down(self.components, server.instance)
            elif change.kind is ServerChangeKind.DRAINING:
                self.components.connections.close_idle(server.instance)

    def may_still_serve(self, server: BackendServer) -> bool:
        """Return whether a server that left the list may still serve cached parts."""
        return (
            server.instance in self.components.servers.departed
            and not self.components.health.was_unreachable(server.instance)
        )

    # Configuration

    async def sync_configuration(self) -> None:
        """Apply newer configurations; the router that ranks first watches for them."""
        await self.poll(self.read_configuration_if_due)

    async def read_configuration_if_due(self) -> None:
        """Read the configuration if it is known to be outdated, or watch it if due."""
        holder = self.components.configuration
        if holder.outdated or not holder.is_known:
            await self.read_configuration()
            return
        is_first = self.peers.store_reader_rank() == 0
        max_age_ms = 0 if is_first else CONFIGURATION_MAX_AGE_MS
        wait_ms = WATCH_TIMEOUT_MS if is_first else SHORT_WATCH_MS
        if self.is_due(holder.age_ms(), max_age_ms, CONFIGURATION_RANK_DELAY_MS):
            await self.watch_configuration(wait_ms)

    async def confirm_configuration(self) -> None:
        """Read whether there is a newer configuration now."""
        holder = self.components.configuration
        if not holder.outdated and holder.is_known:
            await self.watch_configuration(SHORT_WATCH_MS)
        if holder.outdated or not holder.is_known:
            await self.read_own_configuration()

    async def watch_configuration(self, wait_ms: int) -> None:
        """Wait once for a newer configuration; it is outdated if that fails."""
        holder = self.components.configuration
        requested_ms = self.components.clock.now_ms()
        try:
            self.count_call("watch-configuration")
            result = await self.store.watch_configuration(
                holder.watched_revision, wait_ms
            )
        except HistoryGone:
            holder.outdated = True
            return
        except TransportError:
            holder.outdated = True
            raise
        if result.configuration is None:
            end_ms = self.end_of_watch_ms(requested_ms, wait_ms)
            holder.apply_unchanged(end_ms, result.store_revision)
        else:
            self.apply_own_configuration(result, self.components.clock.now_ms())

    async def read_configuration(self) -> None:
        """Read the configuration from a peer that has a newer one or from the store."""
        holder = self.components.configuration
        if holder.peer_has_newer or not self.peers.store_reachable:
            snapshot = await self.peer_snapshots.fetch_configuration()
            if snapshot is not None:
                if holder.apply_if_newer(*snapshot):
                    self.log_configuration()
                return
        await self.read_own_configuration()

    async def read_own_configuration(self) -> None:
        """Read the configuration from the store."""
        requested_ms = self.components.clock.now_ms()
        self.count_call("read-configuration")
        result = await self.store.read_configuration()
        self.set_store_reachable(True)
        self.apply_own_configuration(result, requested_ms)

    def apply_own_configuration(
        self, result: ConfigurationSnapshot, read_ms: int
    ) -> None:
        """Apply the configuration that the store returned."""
        if self.components.configuration.apply_read(
            result.configuration, read_ms, result.store_revision
        ):
            self.log_configuration()

    def log_configuration(self) -> None:
        """Log the configuration that was just applied."""
        self.stream_records.collect_soon()
        holder = self.components.configuration
        if holder.current is not None:
            self.log.event(
                CONFIGURATION_APPLIED,
                version=holder.current.version,
                revision=str(holder.watched_revision),
                routes=len(holder.current.routes),
                accounts=len(holder.current.accounts),
                requires_key=holder.current.requires_key,
                malformed=holder.current.malformed,
            )

    def set_store_reachable(
        self, reachable: bool, error: TransportError | None = None
    ) -> None:
        """Record whether the store is reachable, and log changes."""
        if reachable == self.peers.store_reachable:
            return
        self.peers.store_reachable = reachable
        if reachable:
            self.log.event(STORE_RECOVERED)
        else:
            self.log.event(STORE_LOST, error=str(error))

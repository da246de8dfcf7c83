"""The process of a direct router: listeners, background tasks, signals."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

from medlarridge._internal.clock import MS_PER_S, SystemClock
from medlarridge._internal.errors import UserError

from .allocator import keep_large_buffers_apart
from .cache_inventory import CacheInventory
from .cold_server_log import ColdServerLog
from .components import RouterComponents
from .coordination.admission import Admission
from .coordination.cold_servers import ColdServers
from .coordination.crash_detector import CrashDetector, Strike
from .coordination.crash_guard import CrashGuard
from .coordination.crashing_parts import CrashingParts
from .coordination.descriptor_shares import share_descriptors
from .coordination.fleet_size import FleetSize
from .coordination.load_view import LoadView
from .coordination.memory_account import MemoryAccount, share_memory
from .coordination.outstanding_work import OutstandingWork
from .coordination.part_crashes import PartCrash
from .coordination.placement import Placement
from .coordination.prompt_cache_index import PromptCacheIndex
from .coordination.quiet_times import QuietTimes
from .coordination.refusal_period import RefusalPeriod
from .coordination.retry_budget import RetryBudget
from .coordination.server_capacity import ServerCapacity
from .coordination.server_health import ServerHealth
from .coordination.stop_schedule import StopSchedule
from .coordination.stream_origins import StreamOrigins
from .coordination.stream_records import StreamRecords
from .evacuation_sync import EvacuationSync
from .gauges import add_gauges
from .graceful_stop import GracefulStop
from .logs import (
    ADMISSION_BEGAN,
    ADMISSION_ENDED,
    CRASH_STRIKE,
    MEMORY_RECOVERED,
    MEMORY_SHORT,
    NOTICE_MALFORMED,
    PART_CLEARED,
    PART_REFUSED,
    PROCESS_STALLED,
    READINESS_CHANGED,
    SERVER_AVOIDED,
    SERVER_LIMIT_CHANGED,
    SERVER_RESPONDING,
    SERVER_RESTS,
    SERVER_SAYS_LEAVING,
    SERVER_SILENT,
    SERVER_SLOW,
    SERVER_USUAL,
    SETTINGS_RELOAD_FAILED,
    SETTINGS_RELOADED,
    STARTED,
    STOPPED,
    STOPPING,
    TASK_FAILED,
    Log,
)
from .metrics import Metrics
from .operator_endpoint import OperatorEndpoint
from .peer_reports import PeerReports
from .peer_snapshots import PeerSnapshots
from .protocol.platform_interface import Dialect, PlatformStore
from .protocol.requests import ClientRequest
from .protocol.servers import BackendServer
from .request_handler import RequestHandler
from .send_permits import SendPermits
from .server_crashes import CrashProbes, record_server_down
from .settings import DirectSettings, load_settings, split_endpoint
from .state.configuration_holder import ConfigurationHolder
from .state.evacuations import Evacuations
from .state.peer_table import PeerTable, new_router_id
from .state.route_pools import RoutePools
from .state.server_notices import ServerNotices
from .state.server_table import ServerTable
from .state.version_sets import VersionSets
from .store_sync import StoreSync
from .stream_evidence import StreamEvidence
from .transport.accept_queue import LISTEN_BACKLOG, AcceptQueue
from .transport.client_connection import ClientConnection
from .transport.response_writer import ResponseWriter
from .transport.server_connections import ConnectionPools

HOUSEKEEPING_INTERVAL_MS = 100
"""Interval of log flushes and of the expiry of old state."""

STALL_THRESHOLD_MS = 250
"""Delay of the housekeeping above which the process counts as stalled; a busy event
loop delays it by some ten milliseconds."""

MAX_LOGGED_VALUES = 4
MAX_LOGGED_VALUE = 40
"""Malformed values of one response that are logged, and characters of each."""

FIRST_ACCEPT_DELAY_MS = 500
"""Time for which clients are left in the accept queue of a router that has started and is
not ready yet. The configuration normally arrives within a few tens of milliseconds."""

READINESS_POLL_MS = 5
"""Interval at which a starting router checks whether it is ready."""


class DirectRouter:
    """One router process."""

    def __init__(
        self,
        settings: DirectSettings,
        settings_path: Path,
        dialect: Dialect,
        store: PlatformStore,
        accept_queue: AcceptQueue | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.settings = settings
        self.memory = memory or MemoryAccount(share_memory(settings.memory.limit_mb))
        self.descriptors = share_descriptors(settings.descriptors.limit)
        self.accept_queue = accept_queue
        self.settings_path = settings_path
        self.settings_modified_ns = modification_time_ns(settings_path)
        self.clock = SystemClock()
        self.log = Log(self.clock, settings.node)
        self.connections: set[ClientConnection] = set()
        self.internal_connections: set[ClientConnection] = set()
        self.stop_schedule = StopSchedule(self.clock)
        self.logged_ready = False
        self.silent_servers: set[str] = set()
        self.refused_parts: set[str] = set()
        self.memory_refusals = RefusalPeriod(self.clock, self.memory)
        self.last_housekeeping_ms: int | None = None
        self.components = self.create_components(dialect)
        self.cold_server_log = ColdServerLog(self.components.cold_servers, self.log)
        self.handler = RequestHandler(self.components, self.log)
        self.peers = PeerTable(
            self.clock,
            (settings.ip, settings.listen.peer_port),
            new_router_id(self.components.random, settings.link_mbps),
        )
        self.peer_reports = PeerReports(
            self.components,
            self.peers,
            self.log,
            lambda: self.stop_schedule.has_begun,
            settings.link_mbps,
        )
        self.graceful_stop = GracefulStop(
            self.stop_schedule,
            self.handler,
            self.connections,
            self.peers,
            self.listen_for_clients,
        )
        add_gauges(
            self.components,
            self.handler,
            self.peers,
            self.connections,
            self.log,
            lambda: self.ready,
        )
        self.cache_inventory = CacheInventory(
            self.components, self.peers, self.peer_reports, self.log
        )
        self.components.placement.cache_index.synced = settings.first_start
        self.peer_snapshots = PeerSnapshots(
            self.components, self.peers, self.clock, self.log
        )
        self.store_sync = StoreSync(
            self.components,
            store,
            self.peers,
            self.peer_snapshots,
            self.log,
            settings.node,
            self.peer_reports.announce_departures,
            settings.first_start,
            settings.store.writes_per_s,
        )
        self.evacuation_sync = EvacuationSync(
            self.store_sync, self.peer_reports.send_soon
        )
        self.stream_evidence = StreamEvidence(self.components, self.store_sync)
        self.peer_reports.kept_permits = self.store_sync.permit_leases.kept
        self.peer_reports.on_kept_permits = self.store_sync.permit_leases.observe_kept
        self.store_sync.permit_leases.on_cold_kept = self.peer_reports.send_soon

    def create_components(self, dialect: Dialect) -> RouterComponents:
        """Create the state, the decision logic and the connections."""
        clock, random = self.clock, Random()
        load = LoadView(clock)
        capacity = ServerCapacity(clock, random, load)
        capacity.switch = self.settings.capacity.learned
        crash_guard = CrashGuard(clock)
        crashing_parts = CrashingParts(clock)
        configuration = ConfigurationHolder(clock)
        evacuation = self.settings.evacuation
        evacuations = Evacuations(clock, evacuation and evacuation.bound_ms)
        cold_servers = ColdServers(
            clock,
            enabled=self.settings.cold is not None,
            find_pool=configuration.find_pool,
            returned_ms_ago=evacuations.returned_ms_ago,
            on_cold=lambda start, source: self.peer_reports.announce_notice(),
        )
        connections = ConnectionPools(self.memory, self.descriptors.servers)
        connections.on_idle_closed = cold_servers.record_closed_instance
        fleet_size = FleetSize(clock)
        admission = Admission(clock, random, fleet_size)
        admission.switch = self.settings.admission.enabled
        servers = ServerTable(clock)
        stream_origins = StreamOrigins(clock)
        notices = ServerNotices(
            clock,
            random,
            on_limit_change=self.handle_limit_change,
            on_rest=self.log_rest,
            on_leaving=self.handle_leaving,
            on_malformed=self.log_malformed_notice,
        )
        return RouterComponents(
            clock=clock,
            random=random,
            dialect=dialect,
            configuration=configuration,
            servers=servers,
            evacuations=evacuations,
            notices=notices,
            permits=SendPermits(
                clock,
                random,
                notices,
                lambda pool: self.peers.keeper_address(pool),
                lambda data, address: self.peer_reports.send_permit_message(
                    data, address
                ),
                cold_servers,
            ),
            load=load,
            placement=Placement(
                random,
                load,
                PromptCacheIndex(clock),
                self.settings.data_centre,
                self.settings.load.factor,
            ),
            capacity=capacity,
            outstanding=OutstandingWork(clock),
            admission=admission,
            health=ServerHealth(clock, QuietTimes(clock)),
            fleet_size=fleet_size,
            retry_budget=RetryBudget(clock, self.settings.retries, fleet_size),
            crash_guard=crash_guard,
            crashing_parts=crashing_parts,
            crash_detector=CrashDetector(clock, crash_guard, crashing_parts),
            crash_probes=CrashProbes(clock, connections, self.handle_server_ended),
            stream_origins=stream_origins,
            stream_records=StreamRecords(clock, stream_origins),
            version_sets=VersionSets(
                clock,
                servers,
                RoutePools(clock),
                first_start=self.settings.first_start,
            ),
            connections=connections,
            metrics=Metrics(),
            on_parts_cached=self.announce_cached_parts,
            on_server_avoided=self.log_server_avoided,
            on_crash_evidence=self.handle_crash_evidence,
            on_parts_changed=self.announce_changed_parts,
            router_rank=lambda: self.peers.live_rank(),
            on_stream_begun=self.announce_stream,
            confirm_versions=lambda: self.stream_evidence.confirm(),
            stop_schedule=self.stop_schedule,
            memory=self.memory,
        )

    def announce_cached_parts(self, cached_parts: list[tuple[str, str]]) -> None:
        """Announce to the peers which servers cache prompt parts."""
        self.peer_reports.announce_cached_parts(cached_parts)

    def announce_stream(self, stream: int) -> None:
        """Announce to the peers where a stream has begun."""
        self.peer_reports.streams.announce(stream)

    def log_server_avoided(self, instance: str, result: str) -> None:
        """Log that a server is temporarily avoided."""
        health = self.components.health.servers[instance]
        self.log.event(
            SERVER_AVOIDED,
            server=instance,
            result=result,
            cause=health.cause,
            failed_share=round(health.failed_share, 2),
            for_ms=health.avoid_ms,
        )

    def handle_limit_change(
        self, start: str, before: float | None, limit: float | None, from_peer: bool
    ) -> None:
        """Log that a server has named, changed or ended a limit."""
        self.log.event(
            SERVER_LIMIT_CHANGED,
            server=start,
            before=before,
            limit_per_s=limit,
            peer=from_peer,
        )
        if not from_peer:
            self.peer_reports.announce_notice()

    def log_rest(self, start: str, rest_ms: int) -> None:
        """Log that a server wants no request of this router for a time."""
        self.log.request_event(SERVER_RESTS, server=start, rest_ms=rest_ms)

    def handle_leaving(self, start: str, from_peer: bool) -> None:
        """Log that a server says that it leaves, and tell the peers at once."""
        self.log.event(SERVER_SAYS_LEAVING, server=start, peer=from_peer)
        if not from_peer:
            self.peer_reports.announce_notice()

    def log_malformed_notice(self, start: str, values: tuple[str, ...]) -> None:
        """Log what a server said of itself and could not be read."""
        self.log.request_event(
            NOTICE_MALFORMED,
            server=start,
            values=[value[:MAX_LOGGED_VALUE] for value in values[:MAX_LOGGED_VALUES]],
        )

    def handle_server_ended(self, server: BackendServer) -> None:
        """Record that a server which closed a connection accepts no other."""
        self.components.cold_servers.record_closed(server)
        record_server_down(self.components, server.instance)

    def handle_crash_evidence(self, evidence: list[Strike | PartCrash]) -> None:
        """Log under what a server went down and announce it to the peers."""
        for strike in evidence:
            if isinstance(strike, Strike):
                self.log.event(
                    CRASH_STRIKE,
                    fingerprint=f"{strike.fingerprint:016x}",
                    server=strike.server,
                    strikes=self.components.crash_guard.strike_count(
                        strike.fingerprint
                    ),
                )
        crashes = [each for each in evidence if isinstance(each, PartCrash)]
        self.peer_reports.crash_evidence.log_crashes(crashes, peer=False)
        self.peer_reports.announce_crash_evidence(evidence)

    def announce_changed_parts(self) -> None:
        """Announce to the peers that suspected prompt parts were tried or answered."""
        self.peer_reports.announce_changed_parts()

    # Readiness

    @property
    def ready(self) -> bool:
        """Return whether the router can serve requests and is not stopping."""
        return (
            not self.stop_schedule.has_begun
            and self.components.configuration.current is not None
            and self.components.servers.confirmed_ms is not None
            and self.components.evacuations.is_known
        )

    async def handle_readiness_probe(
        self, request: ClientRequest, response: ResponseWriter
    ) -> None:
        """Respond with 200 if the router is ready, else with 503."""
        response.send(200 if self.ready else 503, b"", b"")

    # Settings

    def reload_if_changed(self) -> None:
        """Reload the settings if their file changed, as SIGHUP may not be sent."""
        modified_ns = modification_time_ns(self.settings_path)
        if modified_ns != self.settings_modified_ns:
            self.settings_modified_ns = modified_ns
            self.reload()

    def reload(self) -> None:
        """Reload the settings; limits take effect, addresses need a restart."""
        try:
            settings = load_settings(self.settings_path)
        except UserError as error:
            self.log.event(
                SETTINGS_RELOAD_FAILED, error=error.message, cause=error.cause
            )
            return
        changed = settings != self.settings
        self.settings = settings
        self.components.retry_budget.limits = settings.retries
        self.components.placement.load_factor = settings.load.factor
        self.components.capacity.switch = settings.capacity.learned
        self.components.admission.switch = settings.admission.enabled
        self.memory.shares = share_memory(settings.memory.limit_mb)
        self.components.cold_servers.enabled = settings.cold is not None
        self.log.event(SETTINGS_RELOADED, changed=changed)

    # Process lifecycle

    async def run(self) -> None:
        """Serve until a signal stops the router and its requests have ended."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self.begin_stop, stop)
        loop.add_signal_handler(signal.SIGINT, self.begin_stop, stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.peer_reports.open(self.peers.own_address)
        background_tasks = [
            loop.create_task(self.supervise(job))
            for job in (
                self.peer_reports.run,
                self.store_sync.registry.run,
                self.store_sync.refused_parts.run,
                self.store_sync.refused_requests.run,
                self.store_sync.permit_leases.run,
                self.store_sync.version_sets.run,
                self.store_sync.stream_records.run,
                self.store_sync.stream_records.clean,
                self.store_sync.sync_servers,
                self.store_sync.watch_servers,
                self.store_sync.sync_configuration,
                self.evacuation_sync.run,
                self.run_housekeeping,
                self.cache_inventory.run,
            )
        ]
        peer_listener = await self.listen(
            self.peers.own_address,
            self.peer_snapshots.handle,
            self.internal_connections,
        )
        readiness_listener = await self.listen(
            split_endpoint(self.settings.listen.readiness),
            self.handle_readiness_probe,
            self.internal_connections,
        )
        operator_listener = await self.listen(
            (self.settings.ip, self.settings.listen.metrics_port),
            OperatorEndpoint(self.handler).handle,
            self.internal_connections,
        )
        self.log.event(
            STARTED, role=self.settings.role, clients=self.settings.listen.clients
        )
        await self.wait_until_ready()
        client_listener = await self.listen_for_clients()
        keep_large_buffers_apart()
        await stop.wait()
        client_listener = await self.graceful_stop.drain(client_listener)
        await self.graceful_stop.end_work()
        await self.graceful_stop.close_listener(client_listener)
        readiness_listener.close()
        peer_listener.close()
        operator_listener.close()
        for task in background_tasks:
            task.cancel()
        await self.graceful_stop.release(self.store_sync.permit_leases.release_all)
        await self.graceful_stop.close_connections()
        self.log.event(STOPPED, in_flight=self.handler.in_flight)
        self.log.flush()

    async def supervise(self, job: Callable[[], Awaitable[None]]) -> None:
        """Run a background task and restart it if it fails."""
        while True:
            try:
                await job()
                return
            except Exception as error:
                self.log.event(
                    TASK_FAILED,
                    job=job.__qualname__,
                    error=type(error).__name__,
                    detail=str(error),
                )
                await asyncio.sleep(HOUSEKEEPING_INTERVAL_MS / MS_PER_S)

    async def listen(
        self,
        address: tuple[str, int],
        handler: Callable,
        connections: set[ClientConnection],
        queue: AcceptQueue | None = None,
    ) -> asyncio.Server:
        """Start a server that accepts connections at an address, or from its queue."""
        loop = asyncio.get_running_loop()
        shares = self.descriptors
        of_clients = connections is self.connections

        def create_connection() -> ClientConnection:
            return ClientConnection(
                handler,
                self.components.configuration.limits,
                self.clock,
                connections,
                lambda: self.stop_schedule.has_begun,
                None if queue is None else queue.waiting_since_ms(),
                self.memory,
                shares.clients if of_clients else shares.internal,
                shares.refused if of_clients else 0,
            )

        if queue is None:
            return await loop.create_server(
                create_connection, *address, backlog=LISTEN_BACKLOG
            )
        return await loop.create_server(
            create_connection, sock=queue.begin_accepting(loop), backlog=LISTEN_BACKLOG
        )

    async def wait_until_ready(self) -> None:
        """Leave clients in the accept queue until the router is ready, for a short time.

        Without a configuration they would be refused.
        """
        end_ms = self.clock.now_ms() + FIRST_ACCEPT_DELAY_MS
        while (
            not self.ready
            and not self.stop_schedule.has_begun
            and self.clock.now_ms() < end_ms
        ):
            await asyncio.sleep(READINESS_POLL_MS / MS_PER_S)

    def begin_stop(self, stop: asyncio.Event) -> None:
        """Become not ready, so that the load balancer stops sending connections."""
        if not self.stop_schedule.has_begun:
            self.graceful_stop.begin(self.settings.grace_ms)
            self.log.event(STOPPING, in_flight=self.handler.in_flight)
        stop.set()

    async def listen_for_clients(self) -> asyncio.Server:
        """Accept connections of clients, the first time from the accept queue."""
        address = split_endpoint(self.settings.listen.clients)
        queue, self.accept_queue = self.accept_queue, None
        if queue is not None and queue.address != address:
            queue.close()
            queue = None
        return await self.listen(address, self.handler.handle, self.connections, queue)

    async def run_housekeeping(self) -> None:
        """Periodically log changes of state, expire old state and flush the log."""
        while True:
            self.check_stall()
            self.log_silent_servers()
            self.components.crashing_parts.expire()
            self.log_refused_parts()
            self.log_memory_refusals()
            self.components.metrics.observe_memory(self.memory.used_shares())
            self.components.load.expire()
            self.components.outstanding.expire()
            self.evacuation_sync.tick()
            self.log_admission()
            self.update_capacity()
            self.components.permits.expire()
            self.components.cold_servers.expire()
            self.cold_server_log.update()
            self.components.notices.expire(self.components.servers)
            self.components.crash_detector.expire()
            self.components.stream_origins.expire()
            self.reload_if_changed()
            if self.ready != self.logged_ready:
                self.logged_ready = self.ready
                self.log.event(READINESS_CHANGED, ready=self.ready)
            self.log.flush()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_MS / MS_PER_S)

    def check_stall(self) -> None:
        """Log a stall if the housekeeping ran too late."""
        now_ms = self.clock.now_ms()
        if self.last_housekeeping_ms is not None:
            late_ms = now_ms - self.last_housekeeping_ms - HOUSEKEEPING_INTERVAL_MS
            if late_ms > STALL_THRESHOLD_MS:
                self.log.event(PROCESS_STALLED, late_ms=late_ms)
        self.last_housekeeping_ms = now_ms

    def update_capacity(self) -> None:
        """Expire what was learned of servers; log which are slow and which no longer."""
        capacity = self.components.capacity
        capacity.expire(self.components.servers.by_instance.values())
        for instance, slowness, is_slow in capacity.changes():
            self.log.event(
                SERVER_SLOW if is_slow else SERVER_USUAL,
                server=instance,
                slowness=round(slowness, 2),
                backlog_ms=round(capacity.backlog_ms(instance)),
                load=self.components.load.in_flight(instance),
            )

    def log_refused_parts(self) -> None:
        """Log which prompt parts are refused from now on and which no longer are."""
        crashing_parts = self.components.crashing_parts
        refused = set(crashing_parts.refused)
        for part in refused - self.refused_parts:
            suspect = crashing_parts.suspects[part]
            self.log.event(PART_REFUSED, part=part, servers=list(suspect.crashes))
        for part in self.refused_parts - refused:
            self.log.event(PART_CLEARED, part=part)
        self.refused_parts = refused

    def log_memory_refusals(self) -> None:
        """Log when requests begin to be refused for want of memory, and when this ends."""
        change = self.memory_refusals.update()
        if change is not None:
            memory = self.memory
            self.log.event(
                MEMORY_SHORT if change else MEMORY_RECOVERED,
                refused=self.memory_refusals.refused,
                requests=memory.requests,
                bodies=memory.bodies,
                answers=memory.answers,
                control=memory.control,
                limit_mb=self.settings.memory.limit_mb,
            )

    def log_admission(self) -> None:
        """Log which pools begin and end to refuse requests by rank or account."""
        admission = self.components.admission
        for change in admission.expire():
            self.log.event(
                ADMISSION_BEGAN if change.refuses else ADMISSION_ENDED,
                pool=change.pool,
                **change.details,
            )

    def log_silent_servers(self) -> None:
        """Log which servers became silent and which no longer are or have left."""
        health, now_ms = self.components.health, self.clock.now_ms()
        silent = health.silent_instances()
        for instance in silent - self.silent_servers:
            self.log.event(
                SERVER_SILENT,
                server=instance,
                quiet_ms=health.quiet_ms(instance, now_ms),
                timeout_ms=round(health.silence_timeout_ms(instance)),
            )
        for instance in self.silent_servers - silent:
            self.log.event(SERVER_RESPONDING, server=instance)
        self.silent_servers = silent


def modification_time_ns(path: Path) -> int | None:
    """Return when a file was last modified, or None if that is unknown."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return None

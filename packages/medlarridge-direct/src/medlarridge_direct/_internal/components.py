"""The components of a router that request handling uses."""

from collections.abc import Awaitable, Callable
from random import Random

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from .coordination.admission import Admission
from .coordination.cold_servers import ColdServers
from .coordination.crash_detector import CrashDetector, Strike
from .coordination.crash_guard import CrashGuard
from .coordination.crashing_parts import CrashingParts
from .coordination.fleet_size import FleetSize
from .coordination.load_view import LoadView
from .coordination.memory_account import MemoryAccount
from .coordination.outstanding_work import OutstandingWork
from .coordination.part_crashes import PartCrash
from .coordination.placement import Placement
from .coordination.retry_budget import RetryBudget
from .coordination.route_durations import RouteDurations
from .coordination.server_capacity import ServerCapacity
from .coordination.server_health import ServerHealth
from .coordination.stop_schedule import StopSchedule
from .coordination.stream_origins import StreamOrigins
from .coordination.stream_records import StreamRecords
from .metrics import Metrics
from .protocol.platform_interface import Dialect
from .send_permits import SendPermits
from .server_crashes import CrashProbes
from .state.configuration_holder import ConfigurationHolder
from .state.evacuations import Evacuations
from .state.server_notices import ServerNotices
from .state.server_table import ServerTable
from .state.version_sets import VersionSets
from .transport.server_connections import ConnectionPools


async def confirm_nothing(stream: int) -> bool:
    """Confirm a stream of a router that keeps nothing in a store."""
    return True


class RouterComponents(Struct):
    """State, decision logic and connections of one router.

    ``on_parts_cached``, ``on_crash_evidence``, ``on_stream_begun`` and, after a trial
    or a success of a suspected prompt part, ``on_parts_changed`` report to the others;
    ``router_rank`` returns the position of this router among all;
    ``on_server_avoided`` takes a server and the result for which it is avoided;
    ``confirm_versions`` reads what the store says just now of the versions of streams and
    returns whether that succeeded. ``confirm_stored`` waits until the store holds what a
    router that starts must know of a stream, and returns whether it does.
    """

    clock: Clock
    random: Random
    dialect: Dialect
    configuration: ConfigurationHolder
    servers: ServerTable
    evacuations: Evacuations
    notices: ServerNotices
    permits: SendPermits
    load: LoadView
    placement: Placement
    capacity: ServerCapacity
    outstanding: OutstandingWork
    admission: Admission
    health: ServerHealth
    fleet_size: FleetSize
    retry_budget: RetryBudget
    crash_guard: CrashGuard
    crashing_parts: CrashingParts
    crash_detector: CrashDetector
    crash_probes: CrashProbes
    stream_origins: StreamOrigins
    stream_records: StreamRecords
    version_sets: VersionSets
    connections: ConnectionPools
    metrics: Metrics
    on_parts_cached: Callable[[list[tuple[str, str]]], None]
    on_server_avoided: Callable[[str, str], None]
    on_crash_evidence: Callable[[list[Strike | PartCrash]], None]
    on_parts_changed: Callable[[], None]
    router_rank: Callable[[], int]
    on_stream_begun: Callable[[int], None]
    confirm_versions: Callable[[], Awaitable[bool]]
    stop_schedule: StopSchedule
    confirm_stored: Callable[[int], Awaitable[bool]] = confirm_nothing
    durations: RouteDurations = field(default_factory=RouteDurations)
    memory: MemoryAccount = field(default_factory=MemoryAccount)

    @property
    def cold_servers(self) -> ColdServers:
        """Return which servers are cold."""
        return self.permits.cold

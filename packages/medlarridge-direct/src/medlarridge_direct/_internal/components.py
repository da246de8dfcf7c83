"""The components of a router that request handling uses."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from medlarridge._internal.clock import Clock

from .coordination.crash_detector import CrashDetector, Strike
from .coordination.crash_guard import CrashGuard
from .coordination.fleet_size import FleetSize
from .coordination.load_view import LoadView
from .coordination.placement import Placement
from .coordination.retry_budget import RetryBudget
from .coordination.server_health import ServerHealth
from .coordination.stream_origins import StreamOrigins
from .metrics import Metrics
from .protocol.platform_interface import Dialect
from .state.configuration_holder import ConfigurationHolder
from .state.server_table import ServerTable
from .transport.server_connections import ConnectionPools


@dataclass(slots=True)
class RouterComponents:
    """State, decision logic and connections of one router.

    ``on_parts_cached``, ``on_strikes`` and ``on_stream_begun`` report to the others;
    ``on_server_avoided`` takes a server and the result for which it is avoided.
    """

    clock: Clock
    random: Random
    dialect: Dialect
    configuration: ConfigurationHolder
    servers: ServerTable
    load: LoadView
    placement: Placement
    health: ServerHealth
    fleet_size: FleetSize
    retry_budget: RetryBudget
    crash_guard: CrashGuard
    crash_detector: CrashDetector
    stream_origins: StreamOrigins
    connections: ConnectionPools
    metrics: Metrics
    on_parts_cached: Callable[[list[tuple[str, str]]], None]
    on_server_avoided: Callable[[str, str], None]
    on_strikes: Callable[[list[Strike]], None]
    on_stream_begun: Callable[[int], None]

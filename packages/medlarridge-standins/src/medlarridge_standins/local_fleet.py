"""A small fleet in one process, connected without sockets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import anyio
import httpx

from medlarridge._internal.clock import SystemClock
from medlarridge._internal.fleet import StaticFleet
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.metrics import RouterMetrics, SidecarMetrics
from medlarridge._internal.protocol.tables import Tables
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge._internal.transport.auth import SharedKey
from medlarridge_router._internal.endpoints import caller_endpoints
from medlarridge_router._internal.router import Router
from medlarridge_sidecar._internal.endpoints import sidecar_endpoints
from medlarridge_sidecar._internal.gates import Gate
from medlarridge_sidecar._internal.server_call import ServerClient
from medlarridge_sidecar._internal.sidecar import Sidecar

from .loop_transport import LoopTransport

KEY = SharedKey("a shared key for tests")
MAX_BODY_BYTES = 1024 * 1024
MAX_IN_FLIGHT = 100


@dataclass
class LocalFleet:
    """Routers, sidecars and backend servers that share one loop."""

    tables: Tables
    transport: LoopTransport
    random: Random = field(default_factory=lambda: Random(1))
    sidecars: dict[str, Sidecar] = field(default_factory=dict)
    routers: dict[str, Router] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.clock = SystemClock()
        self.fleet = StaticFleet(self.tables)
        self.client = httpx.AsyncClient(transport=self.transport)
        self.stop = anyio.Event()

    def add_server(
        self,
        name: str,
        pool: str,
        server: Endpoints,
        number: int = 1,
        gates: list[Gate] | None = None,
    ) -> Sidecar:
        """Add a backend server and its sidecar."""
        address = f"{name}:1"
        self.transport.applications[f"{name}-server:1"] = server
        instance = Instance(address, number, "data-centre-a", "region", Role.SIDECAR)
        client = ServerClient(f"http://{name}-server:1")
        client.pooled = client.fresh = self.client
        sidecar = Sidecar(
            instance,
            pool,
            self.fleet,
            client,
            self.clock,
            SidecarMetrics(),
            gates or [],
            MAX_IN_FLIGHT,
        )
        others = [m for m in self.fleet.members if m.instance.address != address]
        self.fleet.members = [*others, Member(instance, pool)]
        self.fleet.revision += 1
        self.transport.applications[address] = sidecar_endpoints(sidecar, KEY)
        self.sidecars[name] = sidecar
        self.transport.tasks.start_soon(sidecar.run, self.stop)
        return sidecar

    def add_router(self, name: str) -> Router:
        """Add a router that serves callers at ``http://name``."""
        instance = Instance(f"{name}:1", 1, "data-centre-a", "region", Role.ROUTER)
        router = Router(
            instance,
            self.fleet,
            self.client,
            KEY,
            self.clock,
            Random(self.random.random()),
            RouterMetrics(),
        )
        self.transport.applications[name] = caller_endpoints(router, MAX_BODY_BYTES)
        self.routers[name] = router
        return router


@asynccontextmanager
async def local_fleet(tables: dict[str, object]) -> AsyncIterator[LocalFleet]:
    """Run a fleet until the block ends."""
    async with anyio.create_task_group() as tasks:
        fleet = LocalFleet(Tables.model_validate(tables), LoopTransport(tasks))
        yield fleet
        tasks.cancel_scope.cancel()

"""A small fleet in one process, connected in memory without sockets."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import anyio
import httpx

from medlarridge._internal.clock import SystemClock
from medlarridge._internal.fleet import FleetView, StaticFleet
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.metrics import RouterMetrics, SidecarMetrics
from medlarridge._internal.protocol.tables import Tables
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge._internal.transport.auth import SharedKey
from medlarridge_router._internal.endpoints import caller_endpoints
from medlarridge_router._internal.router import Router
from medlarridge_sidecar._internal.endpoints import sidecar_endpoints
from medlarridge_sidecar._internal.gates import Gate
from medlarridge_sidecar._internal.server_call import ServerClient
from medlarridge_sidecar._internal.server_gates import GateDependencies, ServerGates
from medlarridge_sidecar._internal.sidecar import Sidecar

from .in_memory_transport import InMemoryTransport
from .local_process import LocalProcess

SHARED_KEY = SharedKey("a shared key for tests")
MAX_BODY_BYTES = 1024 * 1024
MAX_IN_FLIGHT = 100
MAX_RUNNING = 64
Handler = Callable[[str, bytes], Awaitable[None]]


def sidecar_instance(name: str, number: int) -> Instance:
    """Return the identity of a sidecar."""
    return Instance(f"{name}:1", number, "data-centre-a", "region", Role.SIDECAR)


@dataclass
class LocalDatagrams:
    """In-memory datagram transport of one simulated process."""

    fleet: "LocalFleet"
    process: LocalProcess

    def register(self, kind: int, handler: Handler) -> None:
        """Register the handler for a kind of datagram."""
        handlers = self.fleet.datagram_handlers.setdefault(self.process.address, {})
        handlers[kind] = handler

    async def send(self, address: str, kind: int, payload: bytes) -> None:
        """Deliver a datagram if the receiver exists and the sender is not killed."""
        handler = self.fleet.datagram_handlers.get(address, {}).get(kind)
        if handler is not None and not self.process.is_killed:
            source = self.process.address
            self.fleet.transport.tasks.start_soon(handler, source, payload)


@dataclass(frozen=True)
class GatedSidecar:
    """A sidecar with the same gates as in the daemon."""

    sidecar: Sidecar
    gates: ServerGates
    process: LocalProcess


@dataclass
class LocalFleet:
    """Routers, sidecars and backend servers in one event loop."""

    tables: Tables
    transport: InMemoryTransport
    random: Random = field(default_factory=lambda: Random(1))
    sidecars: dict[str, Sidecar] = field(default_factory=dict)
    routers: dict[str, Router] = field(default_factory=dict)
    gated_sidecars: dict[str, "GatedSidecar"] = field(default_factory=dict)
    store: MemoryStore = field(default_factory=MemoryStore)
    datagram_handlers: dict[str, dict[int, Handler]] = field(default_factory=dict)

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
        instance = sidecar_instance(name, number)
        client = ServerClient(f"http://{name}-server:1")
        client.client = self.client
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
        self.transport.applications[address] = sidecar_endpoints(sidecar, SHARED_KEY)
        self.sidecars[name] = sidecar
        self.transport.tasks.start_soon(sidecar.run, self.stop)
        return sidecar

    async def add_gated_server(
        self,
        name: str,
        pool: str,
        server: Endpoints,
        number: int = 1,
        max_running: int = MAX_RUNNING,
    ) -> "GatedSidecar":
        """Add a backend server and a sidecar with the same gates as in the daemon."""
        address = f"{name}:1"
        member = Member(sidecar_instance(name, number), pool)
        process = LocalProcess(address, self.transport, self.store)
        client = httpx.AsyncClient(transport=process)
        gates = ServerGates(
            GateDependencies(
                member=member,
                server=f"http://{name}-server:1",
                max_running=max_running,
                fleet=self.fleet,
                store=process,
                datagrams=LocalDatagrams(self, process),
                random_peers=lambda count: self.random_peers(address, count),
                client=client,
                key=SHARED_KEY,
                clock=self.clock,
                random=Random(self.random.random()),
                metrics=SidecarMetrics(),
            )
        )
        sidecar = self.add_server(name, pool, server, number, gates.in_order())
        sidecar.server.client = client
        sidecar.load_hint = gates.load
        self.transport.applications[address] = sidecar_endpoints(
            sidecar, SHARED_KEY, gates.transfer
        )
        await gates.start(self.transport.tasks)
        self.gated_sidecars[name] = GatedSidecar(sidecar, gates, process)
        return self.gated_sidecars[name]

    def random_peers(self, address: str, count: int) -> list[str]:
        """Return the addresses of random other sidecars."""
        others = [
            member.instance.address
            for member in self.fleet.members
            if member.instance.address != address
        ]
        return self.random.sample(others, min(count, len(others)))

    def kill(self, name: str) -> None:
        """Simulate a crash of a sidecar's process.

        Its tasks keep running, but none of their effects are visible to others.
        """
        self.gated_sidecars[name].process.kill()
        self.datagram_handlers.pop(f"{name}:1", None)

    def add_router(
        self,
        name: str,
        members: list[str] | None = None,
        view: FleetView | None = None,
    ) -> Router:
        """Add a router that serves callers at ``http://name``.

        ``members`` are the names of the servers on its member list; by default it
        uses the member list of its fleet view. ``view`` replaces the shared view of
        the fleet.
        """
        fleet = view or self.fleet
        if members is not None:
            listed = [
                member
                for member in fleet.members
                if member.instance.address in {f"{name}:1" for name in members}
            ]
            fleet = StaticFleet(self.tables, listed)
        instance = Instance(f"{name}:1", 1, "data-centre-a", "region", Role.ROUTER)
        router = Router(
            instance,
            fleet,
            self.client,
            SHARED_KEY,
            self.clock,
            Random(self.random.random()),
            RouterMetrics(),
        )
        self.transport.applications[name] = caller_endpoints(router, MAX_BODY_BYTES)
        self.routers[name] = router
        return router


@asynccontextmanager
async def local_fleet(tables: dict[str, object]) -> AsyncIterator[LocalFleet]:
    """Run a fleet for the duration of the block."""
    async with anyio.create_task_group() as tasks:
        fleet = LocalFleet(Tables.model_validate(tables), InMemoryTransport(tasks))
        yield fleet
        tasks.cancel_scope.cancel()

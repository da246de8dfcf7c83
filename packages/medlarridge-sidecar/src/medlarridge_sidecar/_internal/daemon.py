"""The sidecar as a process: its servers and their shutdown."""

import anyio

from medlarridge._internal.clock import SystemClock
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Instance
from medlarridge._internal.metrics import SidecarMetrics
from medlarridge._internal.operator import operator_endpoints
from medlarridge._internal.settings import SidecarSettings
from medlarridge._internal.transport.auth import SharedKey
from medlarridge._internal.transport.server import serve_http

from .endpoints import sidecar_endpoints
from .server_call import ServerClient
from .sidecar import Sidecar


class SidecarDaemon:
    """Servers of one sidecar around its decision parts."""

    def __init__(
        self, settings: SidecarSettings, instance: Instance, fleet: FleetView
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.key = SharedKey(settings.shared_key.get_secret_value())
        self.metrics = SidecarMetrics()
        self.server = ServerClient(settings.server)
        self.sidecar = Sidecar(
            instance,
            settings.pool,
            fleet,
            self.server,
            SystemClock(),
            self.metrics,
            [],
            settings.max_in_flight,
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until told to stop and every attempt in flight has ended."""
        closed = anyio.Event()
        links = sidecar_endpoints(self.sidecar, self.key)
        operator = operator_endpoints(
            self.metrics.registry, self.key, self.not_ready, self.status
        )
        try:
            async with anyio.create_task_group() as servers:
                servers.start_soon(serve_http, links, self.settings.link, closed.wait)
                servers.start_soon(
                    serve_http, operator, self.settings.operator, closed.wait
                )
                await self.sidecar.run(stop)
                closed.set()
        finally:
            await self.server.close()

    def not_ready(self) -> str:
        """Return why the sidecar should get no work, or nothing."""
        if self.sidecar.drain.leaving:
            return "draining"
        if self.fleet.generation == 0:
            return "no configuration yet"
        return ""

    def status(self) -> dict[str, object]:
        """Return the state of the sidecar for operators."""
        return {
            "role": "sidecar",
            "pool": self.settings.pool,
            "phase": self.sidecar.drain.phase,
            "in_flight": self.sidecar.drain.in_flight,
            "load": self.sidecar.load_hint(),
            "generation": self.fleet.generation,
        }

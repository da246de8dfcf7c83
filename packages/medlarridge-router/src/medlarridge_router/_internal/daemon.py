"""The router as a process: its servers and their shutdown."""

from random import Random

import anyio
import httpx

from medlarridge._internal.clock import SystemClock
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Instance
from medlarridge._internal.metrics import RouterMetrics
from medlarridge._internal.operator import operator_endpoints
from medlarridge._internal.settings import RouterSettings
from medlarridge._internal.transport.asgi import HttpRequest, HttpResponse
from medlarridge._internal.transport.auth import SharedKey
from medlarridge._internal.transport.server import serve_http

from .endpoints import caller_endpoints
from .explain import explain_route
from .router import Router

DRAIN_POLL_S = 0.02


class RouterDaemon:
    """Servers of one router around its decision parts."""

    def __init__(
        self, settings: RouterSettings, instance: Instance, fleet: FleetView
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.key = SharedKey(settings.shared_key.get_secret_value())
        self.metrics = RouterMetrics()
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
        self.client = httpx.AsyncClient(limits=limits, trust_env=False)
        self.router = Router(
            instance,
            fleet,
            self.client,
            self.key,
            SystemClock(),
            Random(instance.number),
            self.metrics,
            settings.max_in_flight,
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until told to stop and every request in flight has ended."""
        closed = anyio.Event()
        callers = caller_endpoints(self.router, self.settings.max_body_bytes)
        operator = operator_endpoints(
            self.metrics.registry, self.key, self.not_ready, self.status
        )

        @operator.register("GET", "/explain")
        async def explain(request: HttpRequest, response: HttpResponse) -> None:
            self.key.check(request)
            await response.reply_json(200, explain_route(self.router, request.query))

        async with self.client, anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http, callers, self.settings.callers, closed.wait)
            tasks.start_soon(serve_http, operator, self.settings.operator, closed.wait)
            await stop.wait()
            self.router.drain.leave()
            while self.router.drain.in_flight:
                await anyio.sleep(DRAIN_POLL_S)
            closed.set()

    def not_ready(self) -> str:
        """Return why the router should get no requests, or nothing."""
        if self.router.drain.leaving:
            return "draining"
        if not self.fleet.ready or self.fleet.generation == 0:
            return "no confirmed configuration"
        return ""

    def status(self) -> dict[str, object]:
        """Return the state of the router for operators."""
        return {
            "role": "router",
            "phase": self.router.drain.phase,
            "in_flight": self.router.drain.in_flight,
            "generation": self.fleet.generation,
            "pools": {
                pool: len(self.fleet.members_of(pool))
                for pool in self.fleet.tables.pools
            },
        }

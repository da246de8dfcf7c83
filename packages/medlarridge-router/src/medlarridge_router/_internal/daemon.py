"""Daemon of the router: HTTP servers, background tasks and shutdown."""

import anyio
import httpx

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.metrics import RouterMetrics
from medlarridge._internal.node import ENGINE_REPORT_DATAGRAM, LIMIT_DATAGRAM, Node
from medlarridge._internal.operator import operator_endpoints
from medlarridge._internal.settings import RouterSettings
from medlarridge._internal.transport.asgi import HttpRequest, HttpResponse
from medlarridge._internal.transport.auth import SharedKey
from medlarridge._internal.transport.server import serve_http

from .account_limits import AccountLimits
from .endpoints import caller_endpoints
from .explain import explain_route
from .order_dispatcher import OrderDispatcher
from .router import Router

DRAIN_POLL_MS = 20


class RouterDaemon:
    """Runs the HTTP servers and background tasks of one router."""

    def __init__(self, settings: RouterSettings, node: Node) -> None:
        self.settings = settings
        self.node = node
        self.fleet = node.fleet
        self.key = SharedKey(settings.shared_key.get_secret_value())
        self.metrics = RouterMetrics()
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
        self.client = httpx.AsyncClient(limits=limits, trust_env=False)
        self.account_limits = AccountLimits(
            node.instance, node.fleet, node.fleet, node.clock, node.random
        )
        node.cluster.register(LIMIT_DATAGRAM, self.account_limits.receive)
        self.order_dispatcher = OrderDispatcher(
            node, self.client, self.key, settings.weight_loads_per_min
        )
        node.cluster.register(ENGINE_REPORT_DATAGRAM, self.order_dispatcher.receive)
        self.router = Router(
            node.instance,
            node.fleet,
            self.client,
            self.key,
            node.clock,
            node.random,
            self.metrics,
            self.account_limits,
            settings.max_in_flight,
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set and all requests in flight have ended."""
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
            background = anyio.CancelScope()
            tasks.start_soon(self.run_background, background)
            await stop.wait()
            self.router.drain.leave()
            while self.router.drain.in_flight:
                await anyio.sleep(DRAIN_POLL_MS / MS_PER_S)
            background.cancel()
            closed.set()

    async def run_background(self, scope: anyio.CancelScope) -> None:
        """Run the background tasks until the scope is cancelled."""
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.account_limits.run)
                tasks.start_soon(self.router.slow_servers.run)
                tasks.start_soon(self.order_dispatcher.run)
                tasks.start_soon(self.node.run_lease, self.order_dispatcher.lease)

    def not_ready(self) -> str:
        """Return why the router is not ready, an empty string if it is."""
        if self.router.drain.leaving:
            return "draining"
        if not self.fleet.ready or self.fleet.generation == 0:
            return "no confirmed configuration"
        return ""

    def status(self) -> dict[str, object]:
        """Return the state that the operator endpoint shows."""
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

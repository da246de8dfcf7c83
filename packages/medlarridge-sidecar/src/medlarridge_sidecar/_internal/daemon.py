"""Daemon of the sidecar: HTTP servers, background tasks and shutdown."""

import anyio
import httpx

from medlarridge._internal.clock import MS_PER_S, WallClock
from medlarridge._internal.events import register
from medlarridge._internal.log import log_event
from medlarridge._internal.metrics import SidecarMetrics
from medlarridge._internal.node import Node
from medlarridge._internal.operator import operator_endpoints
from medlarridge._internal.settings import SidecarSettings
from medlarridge._internal.state.audit import AuditTrail
from medlarridge._internal.transport.auth import SharedKey
from medlarridge._internal.transport.server import serve_http

from .endpoints import sidecar_endpoints
from .engine_orders import EngineOrders
from .server_call import ServerClient
from .server_gates import GateDependencies, ServerGates
from .sidecar import Sidecar

AUDIT_TIMEOUT_MS = 2_000
DRAIN_UNAUDITED = register(
    2030, "WARNING", "drain could not be written to the audit trail"
)
LEDGER_DRAIN_TIMEOUT_MS = 5_000
PREFIX_FETCH_GRACE_MS = 2_000
"""Time for peers to fetch the prefixes of an engine that shuts down."""


class SidecarDaemon:
    """Runs the HTTP servers and background tasks of one sidecar."""

    def __init__(self, settings: SidecarSettings, node: Node) -> None:
        self.settings = settings
        self.node = node
        self.fleet = node.fleet
        self.key = SharedKey(settings.shared_key.get_secret_value())
        self.metrics = SidecarMetrics()
        self.server = ServerClient(settings.server)
        self.client = httpx.AsyncClient(trust_env=False)
        self.gates = ServerGates(
            GateDependencies(
                member=node.cluster.member,
                server=settings.server,
                max_running=settings.max_running,
                fleet=node.fleet,
                store=node.store,
                datagrams=node.cluster,
                random_peers=node.cluster.membership.random_peers,
                client=self.client,
                key=self.key,
                clock=node.clock,
                random=node.random,
                metrics=self.metrics,
            )
        )
        self.sidecar = Sidecar(
            node.instance,
            settings.pool,
            node.fleet,
            self.server,
            node.clock,
            self.metrics,
            self.gates.in_order(),
            settings.max_in_flight,
        )
        self.sidecar.load_hint = self.gates.load
        self.orders = EngineOrders(node, settings.pool, settings.server, self.client)
        self.stop_audited = anyio.Event()
        self.gates.crash_gate.server_restarted = self.server_restarted
        node.cluster.on_listed_leaving = self.on_listed_leaving

    def server_restarted(self) -> None:
        """Discard the state of the server from before its crash."""
        self.gates.cache_sync.server_restarted()
        self.orders.server_restarted()

    def on_listed_leaving(self, leaving: bool) -> None:
        """Start or stop draining when the platform changes the listing of this VM."""
        self.sidecar.set_listed_leaving(leaving)
        phases = ("serving", "draining") if leaving else ("draining", "serving")
        self.node.cluster.spawn(self.audit_drain, *phases, "platform's list")
        self.node.cluster.spawn(self.node.cluster.set_self, leaving)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set and all attempts in flight have ended."""
        closed = anyio.Event()
        endpoints = sidecar_endpoints(self.sidecar, self.key, self.gates.transfer)
        self.orders.add_endpoint(endpoints, self.key)
        operator = operator_endpoints(
            self.metrics.registry, self.key, self.not_ready, self.status
        )
        try:
            async with anyio.create_task_group() as server_tasks:
                server_tasks.start_soon(
                    serve_http, endpoints, self.settings.link, closed.wait
                )
                server_tasks.start_soon(
                    serve_http, operator, self.settings.operator, closed.wait
                )
                async with anyio.create_task_group() as background_tasks:
                    await self.gates.start(background_tasks)
                    background_tasks.start_soon(self.orders.run)
                    background_tasks.start_soon(self.audit_stop, stop)
                    await self.sidecar.run(stop)
                    await self.hand_over()
                    background_tasks.cancel_scope.cancel()
                closed.set()
        finally:
            await self.server.close()
            await self.client.aclose()

    async def audit_stop(self, stop: anyio.Event) -> None:
        """Record the stop of the process in the audit trail."""
        await stop.wait()
        await self.audit_drain("serving", "draining", "told to stop")
        self.stop_audited.set()

    async def audit_drain(self, before: str, after: str, reason: str) -> None:
        """Write a drain to the audit trail.

        A failure loses the entry but does not affect the drain.
        """
        instance = self.node.instance
        clock = WallClock()
        with anyio.move_on_after(AUDIT_TIMEOUT_MS / MS_PER_S):
            recorded = await AuditTrail(self.node.store, clock).record_event(
                f"{instance.address}#{instance.number}",
                f"drains/{instance.address}",
                clock.now_ms(),
                before.encode(),
                f"{after}: {reason}".encode(),
            )
            if recorded.is_ok():
                return
        log_event(DRAIN_UNAUDITED, after=after, reason=reason)

    async def hand_over(self) -> None:
        """Wait for the audit and the ledger, then offer warm prefixes to peers."""
        await self.stop_audited.wait()
        await self.gates.ledger.drain(LEDGER_DRAIN_TIMEOUT_MS)
        if await self.gates.cache_sync.hand_over():
            await anyio.sleep(PREFIX_FETCH_GRACE_MS / MS_PER_S)

    def not_ready(self) -> str:
        """Return why the sidecar is not ready, an empty string if it is."""
        if self.sidecar.drain.leaving:
            return "draining"
        if not self.fleet.ready or self.fleet.generation == 0:
            return "no confirmed configuration"
        return ""

    def status(self) -> dict[str, object]:
        """Return the state that the operator endpoint shows."""
        estimate = self.gates.planner.mean.estimate()
        return {
            "role": "sidecar",
            "pool": self.settings.pool,
            "phase": self.sidecar.drain.phase,
            "in_flight": self.sidecar.drain.in_flight,
            "load": self.gates.load(),
            "pool_mean": estimate.mean if estimate else None,
            "queued": len(self.gates.queue.waiting),
            "chats": len(self.gates.planner.index.entries),
            "generation": self.fleet.generation,
        }

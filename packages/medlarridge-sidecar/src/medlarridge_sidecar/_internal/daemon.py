"""The sidecar as a process: its servers, its background work, its end."""

import anyio
import anyio.abc
import httpx

from medlarridge._internal.clock import MS_PER_S, WallClock
from medlarridge._internal.coordination.crash_guard import CrashGuard
from medlarridge._internal.coordination.fair_queue import FairQueue
from medlarridge._internal.coordination.reuse_planner import ReusePlanner
from medlarridge._internal.metrics import SidecarMetrics
from medlarridge._internal.node import REUSE_KIND, SUSPECT_KIND, Node
from medlarridge._internal.operator import operator_endpoints
from medlarridge._internal.protocol.tables import DEFAULT_LOAD_BOUND, PoolKind
from medlarridge._internal.settings import SidecarSettings
from medlarridge._internal.state.ledger_exchange import Ledger
from medlarridge._internal.state.suspects_exchange import SuspectStore
from medlarridge._internal.transport.auth import SharedKey
from medlarridge._internal.transport.server import serve_http

from .crash_gate import CrashGate
from .endpoints import sidecar_endpoints
from .engine_gate import EngineGate
from .engine_orders import EngineOrders
from .engine_work import EngineWork
from .kv_transfer import KvTransfer
from .ledger_gate import LedgerGate
from .reuse_messages import ReuseMessages
from .server_call import ServerClient
from .server_monitor import ServerMonitor
from .sidecar import Sidecar

LEDGER_DRAIN_MS = 5_000
HAND_OVER_GRACE_MS = 2_000
"""Time that peers get to fetch the prefixes of a leaving engine."""


class SidecarDaemon:
    """Servers of one sidecar around its decision parts."""

    def __init__(self, settings: SidecarSettings, node: Node) -> None:
        self.settings = settings
        self.node = node
        self.fleet = node.fleet
        self.key = SharedKey(settings.shared_key.get_secret_value())
        self.metrics = SidecarMetrics()
        self.server = ServerClient(settings.server)
        self.client = httpx.AsyncClient(trust_env=False)
        self.ledger = Ledger(node.store, node.instance, node.clock, node.random)
        self.planner = ReusePlanner(
            node.cluster.member,
            DEFAULT_LOAD_BOUND,
            node.clock,
            node.random,
            engine_releases=False,
        )
        self.queue = FairQueue(node.clock, node.random, self.has_capacity)
        self.messages = ReuseMessages(
            self.planner, settings.pool, node.fleet, node.cluster, node.clock
        )
        self.transfer = KvTransfer(self.client, settings.server, self.key)
        self.work = EngineWork(
            self.planner,
            self.messages,
            self.transfer,
            self.client,
            settings.server,
            node.clock,
            self.is_engine,
        )
        engine_gate = EngineGate(
            self.planner,
            self.queue,
            self.messages,
            self.transfer,
            node.fleet,
            node.clock,
            self.metrics,
        )
        self.monitor = ServerMonitor(self.client, settings.server)
        self.crash_gate = CrashGate(
            CrashGuard(WallClock(), f"{settings.link}/{node.instance.number}#0"),
            SuspectStore(node.store, WallClock(), node.random),
            self.monitor,
            node.fleet,
            node.cluster,
            node.cluster.membership.random_peers,
        )
        self.crash_gate.server_restarted = self.server_restarted
        self.orders = EngineOrders(node, settings.pool, settings.server, self.client)
        ledger_gate = LedgerGate(self.ledger, node.fleet, node.clock)
        self.sidecar = Sidecar(
            node.instance,
            settings.pool,
            node.fleet,
            self.server,
            node.clock,
            self.metrics,
            [engine_gate, self.crash_gate, ledger_gate],
            settings.max_in_flight,
        )
        self.sidecar.load_hint = lambda: self.planner.load
        node.cluster.register(REUSE_KIND, self.messages.receive)
        node.cluster.register(SUSPECT_KIND, self.crash_gate.receive)

    def server_restarted(self) -> None:
        """Forget what is known of the server before its death."""
        self.work.server_restarted()
        self.orders.server_restarted()

    def is_engine(self) -> bool:
        """Return whether the tables say that the server is a model engine."""
        pool = self.fleet.tables.pools.get(self.settings.pool)
        return pool is not None and pool.kind is PoolKind.ENGINE

    def has_capacity(self, work_tokens: int) -> bool:
        """Return whether the engine can batch more work."""
        running = len(self.queue.running)
        if running == 0:
            return True
        usual = max(self.planner.bound.usual_work, 1.0)
        room = self.settings.max_running * usual - self.queue.running_tokens
        return running < self.settings.max_running and work_tokens <= room

    async def run(self, stop: anyio.Event) -> None:
        """Serve until told to stop and every attempt in flight has ended."""
        closed = anyio.Event()
        links = sidecar_endpoints(self.sidecar, self.key, self.transfer)
        self.orders.add_endpoint(links, self.key)
        operator = operator_endpoints(
            self.metrics.registry, self.key, self.not_ready, self.status
        )
        try:
            async with anyio.create_task_group() as servers:
                servers.start_soon(serve_http, links, self.settings.link, closed.wait)
                servers.start_soon(
                    serve_http, operator, self.settings.operator, closed.wait
                )
                async with anyio.create_task_group() as background:
                    await self.start_background(background)
                    await self.sidecar.run(stop)
                    await self.leave()
                    background.cancel_scope.cancel()
                closed.set()
        finally:
            await self.server.close()
            await self.client.aclose()

    async def start_background(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the work beside the attempts."""
        await tasks.start(self.ledger.run)
        tasks.start_soon(self.messages.run)
        tasks.start_soon(self.monitor.run)
        tasks.start_soon(self.crash_gate.run)
        tasks.start_soon(self.orders.run)
        tasks.start_soon(self.work.follow_events)
        tasks.start_soon(self.work.fetch_prefixes)

    async def leave(self) -> None:
        """Hand over what others need: journalled results and warm prefixes."""
        await self.ledger.drain(LEDGER_DRAIN_MS)
        if await self.work.hand_over():
            await anyio.sleep(HAND_OVER_GRACE_MS / MS_PER_S)

    def not_ready(self) -> str:
        """Return why the sidecar should get no work, or nothing."""
        if self.sidecar.drain.leaving:
            return "draining"
        if not self.fleet.ready or self.fleet.generation == 0:
            return "no confirmed configuration"
        return ""

    def status(self) -> dict[str, object]:
        """Return the state of the sidecar for operators."""
        estimate = self.planner.mean.estimate()
        return {
            "role": "sidecar",
            "pool": self.settings.pool,
            "phase": self.sidecar.drain.phase,
            "in_flight": self.sidecar.drain.in_flight,
            "load": self.planner.load,
            "pool_mean": estimate.mean if estimate else None,
            "queued": len(self.queue.waiting),
            "chats": len(self.planner.index.entries),
            "generation": self.fleet.generation,
        }

"""Assembly of the gates in front of one backend server and of their parts."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import ceil
from random import Random
from typing import Protocol

import anyio.abc
import httpx

from medlarridge._internal.clock import Clock, WallClock
from medlarridge._internal.coordination.crash_guard import CrashGuard
from medlarridge._internal.coordination.fair_queue import FairQueue
from medlarridge._internal.coordination.reuse_planner import ReusePlanner
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Member
from medlarridge._internal.metrics import SidecarMetrics
from medlarridge._internal.node import REUSE_DATAGRAM, SUSPECT_DATAGRAM
from medlarridge._internal.protocol.tables import DEFAULT_LOAD_BOUND, PoolKind
from medlarridge._internal.state.ledger_runner import Ledger
from medlarridge._internal.state.store import ObjectStore
from medlarridge._internal.state.suspect_store import SuspectStore
from medlarridge._internal.transport.auth import SharedKey

from .crash_gate import CrashGate
from .engine_gate import EngineGate
from .engine_work import EngineWork
from .gates import Gate
from .kv_transfer import KvTransfer
from .ledger_gate import LedgerGate
from .reuse_messages import DatagramSender, ReuseMessages
from .server_monitor import ServerMonitor


class DatagramPeer(DatagramSender, Protocol):
    """Sends datagrams and passes those that arrive to their handlers."""

    def register(
        self, kind: int, handler: Callable[[str, bytes], Awaitable[None]]
    ) -> None:
        """Register the handler of a kind of datagram."""
        ...


@dataclass(frozen=True)
class GateSurroundings:
    """What the gates of one sidecar use of their process.

    ``client`` serves health checks and transfers of prefixes; ``server`` is the
    URL of the backend server.
    """

    member: Member
    server: str
    max_running: int
    fleet: FleetView
    store: ObjectStore
    datagrams: DatagramPeer
    random_peers: Callable[[int], list[str]]
    client: httpx.AsyncClient
    key: SharedKey
    clock: Clock
    random: Random
    metrics: SidecarMetrics


class ServerGates:
    """The gates of one sidecar and the background work that they need."""

    def __init__(self, around: GateSurroundings) -> None:
        self.pool = around.member.pool
        self.fleet = around.fleet
        self.max_running = around.max_running
        clock, random, instance = around.clock, around.random, around.member.instance
        self.ledger = Ledger(around.store, instance, clock, random)
        self.planner = ReusePlanner(
            around.member, DEFAULT_LOAD_BOUND, clock, random, engine_can_release=False
        )
        self.queue = FairQueue(clock, random, self.has_capacity)
        self.messages = ReuseMessages(
            self.planner, self.pool, around.fleet, around.datagrams, clock
        )
        self.transfer = KvTransfer(around.client, around.server, around.key)
        self.work = EngineWork(
            self.planner,
            self.messages,
            self.transfer,
            around.client,
            around.server,
            clock,
            self.is_engine,
        )
        self.engine_gate = EngineGate(
            self.planner,
            self.queue,
            self.messages,
            self.transfer,
            around.fleet,
            clock,
            around.metrics,
        )
        self.monitor = ServerMonitor(around.client, around.server)
        self.planner.accepts_work = lambda: not self.monitor.down
        self.crash_gate = CrashGate(
            CrashGuard(WallClock(), f"{instance.address}/{instance.number}#0"),
            SuspectStore(around.store, WallClock(), random),
            self.monitor,
            around.fleet,
            around.datagrams,
            around.random_peers,
        )
        self.crash_gate.server_restarted = self.work.server_restarted
        self.ledger_gate = LedgerGate(self.ledger, around.fleet, clock)
        around.datagrams.register(REUSE_DATAGRAM, self.messages.receive)
        around.datagrams.register(SUSPECT_DATAGRAM, self.crash_gate.receive)

    def in_order(self) -> list[Gate]:
        """Return the gates in the order in which an attempt passes them."""
        return [self.engine_gate, self.crash_gate, self.ledger_gate]

    def load(self) -> float:
        """Return the load that is reported to routers."""
        return self.planner.load

    def is_engine(self) -> bool:
        """Return whether the tables say that the server is a model engine."""
        pool = self.fleet.tables.pools.get(self.pool)
        return pool is not None and pool.kind is PoolKind.ENGINE

    def has_capacity(self, work_tokens: int) -> bool:
        """Return whether the engine can batch more work."""
        running = len(self.queue.running)
        if running == 0:
            return True
        # The work of queue entries is rounded. Without the same rounding here, equal
        # requests would never fill the last place.
        usual = max(ceil(self.planner.bound.average_work), 1)
        room = self.max_running * usual - self.queue.running_tokens
        return running < self.max_running and work_tokens <= room

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the work beside the attempts."""
        await tasks.start(self.ledger.run)
        tasks.start_soon(self.messages.run)
        tasks.start_soon(self.monitor.run)
        tasks.start_soon(self.crash_gate.run)
        tasks.start_soon(self.work.follow_events)
        tasks.start_soon(self.work.fetch_prefixes)

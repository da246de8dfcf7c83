"""Construction of the gates of one backend server and their components."""

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
from .engine_cache_sync import EngineCacheSync
from .engine_gate import EngineGate
from .gates import Gate
from .kv_transfer import KvTransfer
from .ledger_gate import LedgerGate
from .reuse_messages import DatagramSender, ReuseMessages
from .server_monitor import ServerMonitor


class DatagramPeer(DatagramSender, Protocol):
    """Sends datagrams and dispatches received ones to their handlers."""

    def register(
        self, kind: int, handler: Callable[[str, bytes], Awaitable[None]]
    ) -> None:
        """Register the handler of a kind of datagram."""
        ...


@dataclass(frozen=True)
class GateDependencies:
    """Objects of the process that the gates of one sidecar use.

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
    """Gates of one sidecar and their background tasks."""

    def __init__(self, deps: GateDependencies) -> None:
        self.pool = deps.member.pool
        self.fleet = deps.fleet
        self.max_running = deps.max_running
        clock, random, instance = (
            deps.clock,
            deps.random,
            deps.member.instance,
        )
        self.ledger = Ledger(deps.store, instance, clock, random)
        self.planner = ReusePlanner(
            deps.member,
            DEFAULT_LOAD_BOUND,
            clock,
            random,
            engine_can_release=False,
        )
        self.queue = FairQueue(clock, random, self.has_capacity)
        self.messages = ReuseMessages(
            self.planner, self.pool, deps.fleet, deps.datagrams, clock
        )
        self.transfer = KvTransfer(deps.client, deps.server, deps.key)
        self.cache_sync = EngineCacheSync(
            self.planner,
            self.messages,
            self.transfer,
            deps.client,
            deps.server,
            clock,
            self.is_engine,
        )
        self.engine_gate = EngineGate(
            self.planner,
            self.queue,
            self.messages,
            self.transfer,
            deps.fleet,
            clock,
            deps.metrics,
        )
        self.monitor = ServerMonitor(deps.client, deps.server)
        self.planner.accepts_work = lambda: not self.monitor.down
        self.crash_gate = CrashGate(
            CrashGuard(WallClock(), f"{instance.address}/{instance.number}#0"),
            SuspectStore(deps.store, WallClock(), random),
            self.monitor,
            deps.fleet,
            deps.datagrams,
            deps.random_peers,
        )
        self.crash_gate.server_restarted = self.cache_sync.server_restarted
        self.ledger_gate = LedgerGate(self.ledger, deps.fleet, clock)
        deps.datagrams.register(REUSE_DATAGRAM, self.messages.receive)
        deps.datagrams.register(SUSPECT_DATAGRAM, self.crash_gate.receive)

    def in_order(self) -> list[Gate]:
        """Return the gates in the order in which an attempt passes them."""
        return [self.engine_gate, self.crash_gate, self.ledger_gate]

    def load(self) -> float:
        """Return the load that heartbeats report to routers."""
        return self.planner.load

    def is_engine(self) -> bool:
        """Return whether the tables define the server as a model engine."""
        pool = self.fleet.tables.pools.get(self.pool)
        return pool is not None and pool.kind is PoolKind.ENGINE

    def has_capacity(self, work_tokens: int) -> bool:
        """Return whether the engine can take more work into its batch."""
        running = len(self.queue.running)
        if running == 0:
            return True
        # The work of queue entries is rounded to whole tokens. Unless the average is
        # rounded up here, requests of equal size could never use the last slot.
        average_work = max(ceil(self.planner.bound.average_work), 1)
        free_tokens = self.max_running * average_work - self.queue.running_tokens
        return running < self.max_running and work_tokens <= free_tokens

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the background tasks."""
        await tasks.start(self.ledger.run)
        tasks.start_soon(self.messages.run)
        tasks.start_soon(self.monitor.run)
        tasks.start_soon(self.crash_gate.run)
        tasks.start_soon(self.cache_sync.poll_events)
        tasks.start_soon(self.cache_sync.fetch_prefixes)

"""The process of a direct router: listeners, background work, signals."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import msgspec

from medlarridge._internal.clock import MS_PER_S, SystemClock
from medlarridge._internal.errors import UserError

from .cache_inventory import CacheInventory
from .coordination.crash_detector import CrashDetector, Strike
from .coordination.crash_guard import CrashGuard
from .coordination.load_view import LoadView
from .coordination.placement import Placement
from .coordination.prompt_cache_index import PromptCacheIndex
from .coordination.retry_budget import RetryBudget
from .coordination.server_health import ServerHealth
from .explanation import EXPLAIN_PATH, Question, explain
from .gauges import add_gauges
from .logs import (
    READINESS,
    RELOAD_FAILED,
    RELOADED,
    SERVER_AVOIDED,
    SERVER_HEARD,
    SERVER_SILENT,
    STALLED,
    STARTED,
    STOPPED,
    STOPPING,
    STRIKE,
    TASK_FAILED,
    Log,
)
from .metrics import Metrics
from .parts import RouterParts
from .peer_copies import PeerCopies
from .peer_news import PeerNews
from .protocol.platform_interface import Dialect, PlatformStore
from .protocol.requests import ClientRequest
from .request_handler import RequestHandler
from .settings import DirectSettings, load_settings, split_endpoint
from .state.configuration_holder import ConfigurationHolder
from .state.peer_table import PeerTable, new_router_id
from .state.server_table import ServerTable
from .store_sync import StoreSync
from .transport.client_connection import AnswerWriter, ClientConnection
from .transport.server_connections import ConnectionPools

HOUSEKEEPING_MS = 100
"""Interval of log flushes and of the expiry of old beliefs."""

STALL_MS = 250
"""Delay of that work from which the process counts as having stood still; a busy loop
delays it by some ten milliseconds."""

OUT_OF_ROTATION_MS = 2_500
"""Time for which a stopping router still takes connections: the balancer asks once a
second and takes it out after two misses."""

END_MARGIN_MS = 500
"""A stopping router ends this much before it would be killed."""

BACKLOG = 512
"""Connections that wait to be accepted; a burst opens a few hundred at once."""


class DirectRouter:
    """One router process."""

    def __init__(
        self,
        settings: DirectSettings,
        settings_path: Path,
        dialect: Dialect,
        store: PlatformStore,
    ) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.settings_changed_ns = modified_ns(settings_path)
        self.clock = SystemClock()
        self.log = Log(self.clock, settings.node)
        self.connections: set[ClientConnection] = set()
        self.probes: set[ClientConnection] = set()
        self.stopping_ms: int | None = None
        self.was_ready = False
        self.silent: set[str] = set()
        self.kept_house_ms: int | None = None
        self.parts = self.make_parts(dialect)
        self.handler = RequestHandler(self.parts, self.log)
        self.peers = PeerTable(
            self.clock,
            (settings.ip, settings.listen.peer_port),
            new_router_id(self.parts.random, settings.link_mbps),
        )
        self.news = PeerNews(
            self.parts, self.peers, self.log, lambda: self.stopping_ms is not None
        )
        add_gauges(self)
        self.inventory = CacheInventory(self.parts, self.peers, self.news, self.log)
        self.parts.placement.cache_index.synced = settings.first_start
        self.copies = PeerCopies(self.parts, self.peers, self.clock, self.log)
        self.sync = StoreSync(
            self.parts, store, self.peers, self.copies, self.log, settings.node
        )

    def make_parts(self, dialect: Dialect) -> RouterParts:
        """Create the beliefs and decisions."""
        clock, random = self.clock, Random()
        load = LoadView(clock)
        guard = CrashGuard(clock)
        return RouterParts(
            clock=clock,
            random=random,
            dialect=dialect,
            configuration=ConfigurationHolder(clock),
            servers=ServerTable(clock),
            load=load,
            placement=Placement(
                random,
                load,
                PromptCacheIndex(clock),
                self.settings.data_centre,
                self.settings.load.factor,
            ),
            health=ServerHealth(clock),
            budget=RetryBudget(clock, self.settings.retries),
            guard=guard,
            crash_detector=CrashDetector(clock, guard),
            connections=ConnectionPools(),
            metrics=Metrics(),
            on_held=self.take_held,
            on_avoided=self.log_avoided,
            on_strikes=self.take_strikes,
        )

    def take_held(self, held: list[tuple[str, str]]) -> None:
        """Pass on which servers hold prompt parts."""
        self.news.announce_held(held)

    def log_avoided(self, instance: str, result: str) -> None:
        """Log that a server gets no work for a while."""
        health = self.parts.health.servers[instance]
        self.log.event(
            SERVER_AVOIDED,
            server=instance,
            result=result,
            failed_share=round(health.failed_share, 2),
            for_ms=health.avoid_ms,
        )

    def take_strikes(self, strikes: list[Strike]) -> None:
        """Log strikes and pass them on."""
        for strike in strikes:
            self.log.event(
                STRIKE,
                fingerprint=f"{strike.fingerprint:016x}",
                server=strike.server,
                strikes=self.parts.guard.strike_count(strike.fingerprint),
            )
        self.news.announce_strikes(strikes)

    async def answer_operator(
        self, request: ClientRequest, answer: AnswerWriter
    ) -> None:
        """Explain a decision, or answer with the metrics."""
        if request.target == EXPLAIN_PATH:
            self.answer_question(request, answer)
            return
        answer.send(200, b"Content-Type: text/plain\r\n", self.parts.metrics.page())

    def answer_question(self, request: ClientRequest, answer: AnswerWriter) -> None:
        """Answer which server a request would get."""
        try:
            question = msgspec.json.decode(request.body, type=Question)
        except msgspec.DecodeError as error:
            answer.send(400, b"Content-Type: text/plain\r\n", str(error).encode())
            return
        explanation = msgspec.json.encode(explain(self.handler, question))
        answer.send(200, b"Content-Type: application/json\r\n", explanation)

    # Readiness

    @property
    def ready(self) -> bool:
        """Whether the router can serve and is not stopping."""
        return (
            self.stopping_ms is None
            and self.parts.configuration.current is not None
            and self.parts.servers.read_ms is not None
        )

    async def answer_probe(self, request: ClientRequest, answer: AnswerWriter) -> None:
        """Answer whether the router is ready."""
        answer.send(200 if self.ready else 503, b"", b"")

    # Settings

    def reload_if_changed(self) -> None:
        """Read the settings again if the file was written; not each write is signalled."""
        changed_ns = modified_ns(self.settings_path)
        if changed_ns != self.settings_changed_ns:
            self.settings_changed_ns = changed_ns
            self.reload()

    def reload(self) -> None:
        """Read the settings again; limits are put in force, addresses stay."""
        try:
            settings = load_settings(self.settings_path)
        except UserError as error:
            self.log.event(RELOAD_FAILED, error=error.message, cause=error.cause)
            return
        changed = settings != self.settings
        self.settings = settings
        self.parts.budget.limits = settings.retries
        self.parts.placement.load_factor = settings.load.factor
        self.log.event(RELOADED, changed=changed)

    # Life of the process

    async def run(self) -> None:
        """Serve until told to stop and all requests have ended."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self.begin_stop, stop)
        loop.add_signal_handler(signal.SIGINT, self.begin_stop, stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.news.open(self.peers.own_address)
        background = [
            loop.create_task(self.supervise(job))
            for job in (
                self.news.run,
                self.sync.follow_routers,
                self.sync.follow_servers,
                self.sync.follow_configuration,
                self.keep_house,
                self.inventory.run,
            )
        ]
        copies = await self.listen(
            self.peers.own_address, self.copies.answer, self.probes
        )
        probes = await self.listen(
            split_endpoint(self.settings.listen.readiness),
            self.answer_probe,
            self.probes,
        )
        metrics = await self.listen(
            (self.settings.ip, self.settings.listen.metrics_port),
            self.answer_operator,
            self.probes,
        )
        clients = await self.listen(
            split_endpoint(self.settings.listen.clients),
            self.handler.handle,
            self.connections,
        )
        self.log.event(
            STARTED, role=self.settings.role, clients=self.settings.listen.clients
        )
        await stop.wait()
        await self.finish(clients)
        probes.close()
        copies.close()
        metrics.close()
        for task in background:
            task.cancel()
        self.log.event(STOPPED, in_flight=self.handler.in_flight)
        self.log.flush()

    async def supervise(self, job: Callable[[], Awaitable[None]]) -> None:
        """Run background work; start it again if it fails."""
        while True:
            try:
                await job()
                return
            except Exception as error:
                self.log.event(
                    TASK_FAILED,
                    job=job.__qualname__,
                    error=type(error).__name__,
                    detail=str(error),
                )
                await asyncio.sleep(HOUSEKEEPING_MS / MS_PER_S)

    async def listen(
        self,
        address: tuple[str, int],
        handler: Callable,
        connections: set[ClientConnection],
    ) -> asyncio.Server:
        """Accept connections at an address."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: ClientConnection(
                handler,
                self.parts.configuration.limits,
                self.clock,
                connections,
                lambda: self.stopping_ms is not None,
            ),
            *address,
            backlog=BACKLOG,
        )

    def begin_stop(self, stop: asyncio.Event) -> None:
        """Leave the rotation; requests and connections go on."""
        if self.stopping_ms is None:
            self.stopping_ms = self.clock.now_ms()
            self.log.event(STOPPING, in_flight=self.handler.in_flight)
        stop.set()

    async def finish(self, clients: asyncio.Server) -> None:
        """Serve what comes until the balancer has noticed, then what is in flight."""
        assert self.stopping_ms is not None
        end_ms = self.stopping_ms + self.settings.grace_ms - END_MARGIN_MS
        await self.sleep_until(self.stopping_ms + OUT_OF_ROTATION_MS)
        clients.close()
        while self.connections and self.clock.now_ms() < end_ms:
            for connection in list(self.connections):
                if connection.idle:
                    connection.close()
            await asyncio.sleep(HOUSEKEEPING_MS / MS_PER_S)

    async def sleep_until(self, time_ms: int) -> None:
        """Sleep until the clock shows a time."""
        await asyncio.sleep(max(time_ms - self.clock.now_ms(), 0) / MS_PER_S)

    async def keep_house(self) -> None:
        """Flush the log and expire old beliefs."""
        while True:
            self.note_stall()
            self.note_silent()
            self.parts.load.expire()
            self.parts.crash_detector.expire()
            self.reload_if_changed()
            if self.ready != self.was_ready:
                self.was_ready = self.ready
                self.log.event(READINESS, ready=self.ready)
            self.log.flush()
            await asyncio.sleep(HOUSEKEEPING_MS / MS_PER_S)

    def note_stall(self) -> None:
        """Log that the process did not run for a while."""
        now_ms = self.clock.now_ms()
        if self.kept_house_ms is not None:
            late_ms = now_ms - self.kept_house_ms - HOUSEKEEPING_MS
            if late_ms > STALL_MS:
                self.log.event(STALLED, late_ms=late_ms)
        self.kept_house_ms = now_ms

    def note_silent(self) -> None:
        """Log which servers went silent, and which send again or have left."""
        silent = self.parts.health.silent_instances()
        for instance in silent - self.silent:
            self.log.event(SERVER_SILENT, server=instance)
        for instance in self.silent - silent:
            self.log.event(SERVER_HEARD, server=instance)
        self.silent = silent


def modified_ns(path: Path) -> int | None:
    """Return when a file was written last, or None if it cannot be told."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return None

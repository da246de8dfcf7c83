"""Model of the platform's store with drills, and a fleet of routers that follows it.

The store keeps copies of its content. A drill makes it unavailable for a moment and puts
an older copy in place; the servers and the operator write again what was lost, after a
delay of their own. Routers run their real synchronization over the real adapter; calls,
reports and snapshots are delivered by a manual clock.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from urllib.parse import parse_qs, urlsplit

from direct.scripted import make_components

from medlarridge import ManualClock, TransportError
from medlarridge_direct._internal.logs import Log
from medlarridge_direct._internal.peer_reports import PeerReports
from medlarridge_direct._internal.peer_snapshots import PeerSnapshots
from medlarridge_direct._internal.protocol.platform_interface import HistoryGone
from medlarridge_direct._internal.state.peer_table import PeerTable
from medlarridge_direct._internal.store_sync import MIN_RETRY_DELAY_MS, StoreSync
from medlarridge_direct._internal.transport.http_client import HttpResponse
from medlarridge_platform.store import ObjectStore

STEP_MS = 50
REPORT_INTERVAL_MS = 100
HEARTBEAT_MS = 1_200
REWRITE_MS = 2_000
"""Longest time after the store's return until what was lost is written again."""
EXPIRY_MS = 3 * HEARTBEAT_MS
"""Time after which the entry of a silent server is removed."""
DRAIN_MS = 3_000
LOOP_TURNS = 12
"""Turns of the event loop in which a task without delayed calls comes to its end."""
FIRST_REVISION = 100


@dataclass
class Server:
    """A server as it really is; ``left`` and its entry tell the store about it."""

    name: str
    port: int
    version: str = "v1"
    state: str = "ready"
    sequence: int = 1

    def entry(self) -> dict[str, object]:
        return {
            "service": "models",
            "address": f"10.0.0.9:{self.port}",
            "zone": "anfa",
            "slots": 64,
            "version": self.version,
            "state": self.state,
            "born": 1_000,
            "sequence": self.sequence,
        }


@dataclass
class Content:
    """Content of the store at one revision."""

    written_ms: int
    revision: int
    servers: dict[str, dict]
    version: int
    routers: dict[str, dict]
    objects: dict[str, dict[str, dict]]


class StoreModel:
    """The store, and the servers and the operator that write to it."""

    def __init__(self, clock: ManualClock, random: Random) -> None:
        self.clock = clock
        self.random = random
        self.era = 1
        self.revision = FIRST_REVISION
        self.servers: dict[str, dict] = {}
        self.version = 0
        self.routers: dict[str, dict] = {}
        self.objects: dict[str, dict[str, dict]] = {}
        self.read_only_until_ms = 0
        self.events: list[tuple[int, str, dict, bool]] = []
        self.copies: list[Content] = []
        self.away_until_ms = 0
        self.timers: list[tuple[int, Callable[[], None]]] = []
        self.real_servers: dict[str, Server] = {}
        self.real_version = 0
        self.left_acknowledged_ms: dict[str, int] = {}
        self.last_drill_ms = 0

    @property
    def available(self) -> bool:
        return self.clock.now_ms() >= self.away_until_ms

    # Writers

    def later(self, delay_ms: int, action: Callable[[], None]) -> None:
        self.timers.append((self.clock.now_ms() + delay_ms, action))

    def tick(self) -> None:
        now_ms = self.clock.now_ms()
        due = [each for each in self.timers if each[0] <= now_ms]
        self.timers = [each for each in self.timers if each[0] > now_ms]
        for _, action in due:
            action()
        if now_ms % HEARTBEAT_MS < STEP_MS:
            for server in self.real_servers.values():
                server.sequence += 1

    def change(self, kind: str, name: str, spec: dict | None) -> None:
        """Write or remove an object, and keep a copy of the content."""
        self.revision += 1
        objects = self.items_of(kind)
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        if kind == "config":
            self.version = spec["version"]
        elif spec is None:
            item = objects.pop(name, item)
        else:
            objects[name] = item
        self.events.append((self.revision, kind, item, spec is None))
        self.keep_copy()

    def keep_copy(self) -> None:
        self.copies.append(
            Content(
                self.clock.now_ms(),
                self.revision,
                dict(self.servers),
                self.version,
                dict(self.routers),
                {kind: dict(items) for kind, items in self.objects.items()},
            )
        )

    def write_server(self, server: Server) -> None:
        """Let a server or its expiry bring the store to what it really is."""
        if not self.available:
            self.later(STEP_MS, lambda: self.write_server(server))
            return
        entry = self.servers.get(server.name)
        if server.state == "gone":
            if entry is not None:
                self.change("servers", server.name, None)
                self.left_acknowledged_ms[server.name] = self.clock.now_ms()
        elif entry is None or entry["spec"]["state"] != server.state:
            self.change("servers", server.name, server.entry())
            if server.state == "draining":
                self.left_acknowledged_ms[server.name] = self.clock.now_ms()

    def write_version(self) -> None:
        if not self.available:
            self.later(STEP_MS, self.write_version)
        elif self.version != self.real_version:
            self.change("config", "main", configuration_spec(self.real_version))

    def add_server(self) -> None:
        number = len(self.real_servers)
        # Versions change every third server, so several serve side by side.
        server = Server(f"i-{number}", 8_000 + number, f"v{1 + number // 3}")
        self.real_servers[server.name] = server
        self.write_server(server)

    def drain(self, server: Server) -> None:
        server.state = "draining"
        self.write_server(server)
        self.later(DRAIN_MS, lambda: self.leave(server))

    def leave(self, server: Server) -> None:
        server.state = "gone"
        self.write_server(server)

    def configure(self) -> None:
        self.real_version += 1 + self.random.randrange(3)
        self.write_version()

    def drill(self, copy_age_ms: int, away_ms: int) -> None:
        """Go away for a moment and come back from a copy."""
        now_ms = self.clock.now_ms()
        old_enough = [
            copy for copy in self.copies if copy.written_ms <= now_ms - copy_age_ms
        ]
        copy = (old_enough or self.copies[:1])[-1]
        self.era += 1
        self.revision = copy.revision
        self.servers = dict(copy.servers)
        self.version = copy.version
        self.routers = dict(copy.routers)
        self.objects = {kind: dict(items) for kind, items in copy.objects.items()}
        self.events = [each for each in self.events if each[0] <= copy.revision]
        self.copies = [each for each in self.copies if each.revision <= copy.revision]
        self.away_until_ms = now_ms + away_ms
        self.last_drill_ms = self.away_until_ms
        for server in self.real_servers.values():
            latest_ms = EXPIRY_MS if server.state == "gone" else REWRITE_MS
            self.later(
                away_ms + self.random.randrange(latest_ms),
                lambda server=server: self.write_server(server),
            )
        self.later(away_ms + self.random.randrange(REWRITE_MS), self.write_version)

    # Calls

    def respond(self, method: bytes, target: bytes, body: bytes) -> HttpResponse:
        """Respond to a call of a router."""
        if not self.available:
            raise TransportError("store is away", step="call")
        url = urlsplit(target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        if method != b"GET":
            return self.write(method, kind, name, body)
        if "watch" in query:
            return self.watch(kind, int(query["watch"]))
        items = list(self.items_of(kind).values())
        if kind == "config" and self.version:
            spec = configuration_spec(self.version)
            items = [{"metadata": {"name": "main", "revision": 1}, "spec": spec}]
        return self.response(200, {"items": items, "asOf": self.revision})

    def items_of(self, kind: str) -> dict[str, dict]:
        known = {"servers": self.servers, "routers": self.routers}
        return known[kind] if kind in known else self.objects.setdefault(kind, {})

    def write(self, method: bytes, kind: str, name: str, body: bytes) -> HttpResponse:
        """Create, replace or remove an object if the call's condition holds."""
        if self.clock.now_ms() < self.read_only_until_ms:
            return self.response(429, {})
        item = json.loads(body) if body else {"metadata": {"name": name}, "spec": None}
        name = item["metadata"]["name"]
        stored = self.items_of(kind).get(name)
        if method == b"POST" and stored is not None:
            return self.response(409, stored)
        if method != b"POST" and stored is None:
            return self.response(404, {})
        wanted = item["metadata"].get("revision")
        if wanted is not None and wanted != stored["metadata"]["revision"]:
            return self.response(409, stored)
        self.change(kind, name, item["spec"])
        return self.response(200, self.items_of(kind).get(name, {}))

    def watch(self, kind: str, after: int) -> HttpResponse:
        if after > self.revision:
            return self.response(410, {})
        events = [
            {"object": item, "deleted": deleted}
            for revision, changed_kind, item, deleted in self.events
            if changed_kind == kind and revision > after
        ]
        return self.response(200, {"events": events, "asOf": self.revision})

    def response(self, status: int, body: object) -> HttpResponse:
        headers = [(b"Store-Era", b"%d" % self.era)]
        return HttpResponse(status, headers, json.dumps(body).encode())


def configuration_spec(version: int) -> dict:
    route = {
        "name": "r-1",
        "host": "desk.example",
        "pathPrefix": "/plan/",
        "kind": "streaming",
        "resumable": True,
        "timeoutMs": 5_000,
        "service": "models",
    }
    services = [{"name": "models", "maxConnections": 300}]
    return {"version": version, "routes": [route], "services": services}


class StoreLink:
    """HTTP client of one router for the store; it may be cut or slow."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet
        self.cut_until_ms = 0
        self.slow_until_ms = 0
        self.delay_ms = 0
        self.calls = 0

    @property
    def cut(self) -> bool:
        return self.fleet.clock.now_ms() < self.cut_until_ms

    async def call(self, method, path, body, read_timeout_ms) -> HttpResponse:
        self.calls += 1
        if self.cut:
            raise TransportError("cut off", step="call")
        response = self.fleet.store.respond(method, path, body)
        if self.fleet.clock.now_ms() < self.slow_until_ms:
            await self.fleet.sleep(self.delay_ms)
        if self.cut:
            raise TransportError("cut off", step="call")
        return response

    async def get(self, path, read_timeout_ms, other_status=200) -> HttpResponse:
        response = await self.call(b"GET", path, b"", read_timeout_ms)
        if response.status not in (200, other_status):
            raise TransportError(f"status {response.status}", step="call")
        return response


class PeerLink:
    """HTTP client of one router for the snapshots of another."""

    def __init__(self, router: "Router", peer: "Router") -> None:
        self.router = router
        self.peer = peer
        self.host = peer.address[0]

    async def get(self, path, read_timeout_ms) -> HttpResponse:
        if self.router.isolated or self.peer.isolated:
            raise TransportError("isolated", step="snapshot")
        sent = []

        class Request:
            target = path

        class Response:
            def send(self, status, headers, body):
                sent.append(HttpResponse(status, [], body))

        await self.peer.snapshots.handle(Request(), Response())
        if sent[0].status != 200:
            raise TransportError(f"status {sent[0].status}", step="snapshot")
        return sent[0]


@dataclass
class Job:
    """A background task of a router, run again and again."""

    read: Callable
    task: asyncio.Task | None = None
    not_before_ms: int = 0


@dataclass
class RouterHistory:
    """What was observed of a router, to compare later states with."""

    version: int = 0
    avoided: set[str] = field(default_factory=set)
    disturbed_ms: int = 0


class Router:
    """A router's synchronization with the store and with its peers."""

    def __init__(self, fleet: "Fleet", number: int, incarnation: int = 0) -> None:
        self.fleet = fleet
        self.number = number
        self.address = (f"10.0.0.{number + 1}", 7)
        self.isolated_until_ms = 0
        self.history = RouterHistory()
        self.link = StoreLink(fleet)
        self.components = make_components(clock=fleet.clock)
        self.peers = PeerTable(
            fleet.clock, self.address, 100 * incarnation + number + 1
        )
        log = Log(fleet.clock, f"node-{number}")
        self.snapshots = PeerSnapshots(self.components, self.peers, fleet.clock, log)
        self.reports = PeerReports(self.components, self.peers, log, lambda: False)
        self.reports.socket.send = self.transmit
        self.sync = StoreSync(
            self.components,
            ObjectStore(self.link),
            self.peers,
            self.snapshots,
            log,
            f"node-{number}",
            self.reports.announce_departures,
        )
        self.jobs = [
            Job(self.sync.watch_servers_if_first),
            Job(self.sync.read_servers_if_due),
            Job(self.sync.read_configuration_if_due),
            Job(self.register_when_lost),
            Job(self.sync.version_sets.sync),
        ]

    @property
    def isolated(self) -> bool:
        return self.fleet.clock.now_ms() < self.isolated_until_ms

    def transmit(self, data: bytes, address: tuple[str, int]) -> None:
        if not self.isolated:
            self.fleet.datagrams.append((self, address, data))

    async def register_when_lost(self) -> None:
        if self.sync.registry.lost.is_set():
            self.sync.registry.lost.clear()
            try:
                await self.sync.registry.register_if_missing(lost=True)
            except TransportError:
                self.sync.registry.lost.set()
                raise

    async def run_job(self, job: Job) -> None:
        try:
            await job.read()
        except HistoryGone:
            return
        except TransportError as error:
            self.sync.set_store_reachable(False, error)
            job.not_before_ms = self.fleet.clock.now_ms() + MIN_RETRY_DELAY_MS

    def start_jobs(self) -> None:
        now_ms = self.fleet.clock.now_ms()
        for job in self.jobs:
            if job.task is not None and job.task.done():
                job.task.result()
                job.task = None
            if job.task is None and now_ms >= job.not_before_ms:
                job.task = asyncio.get_running_loop().create_task(self.run_job(job))

    def ready(self) -> set[str]:
        return {each.instance for each in self.components.servers.ready("models")}


class Fleet:
    """Three routers, the store and the time."""

    def __init__(self, size: int = 3, seed: int = 1) -> None:
        self.clock = ManualClock(1_000_000)
        self.random = Random(seed)
        self.store = StoreModel(self.clock, self.random)
        self.datagrams: list[tuple[Router, tuple[str, int], bytes]] = []
        self.sleepers: list[tuple[int, asyncio.Future]] = []
        self.steps = 0
        self.started = size
        self.routers = [Router(self, number) for number in range(size)]
        self.connect()
        self.store.keep_copy()
        self.store.configure()
        for _ in range(4):
            self.store.add_server()

    def connect(self) -> None:
        """Let the routers know each other."""
        for router in self.routers:
            router.peers.register(each.address for each in self.routers)
            for peer in self.routers:
                link = PeerLink(router, peer)
                router.snapshots.clients[peer.address] = link

    def restart(self, *numbers: int) -> None:
        """Replace routers by new processes that know nothing."""
        for number in numbers:
            for job in self.routers[number].jobs:
                if job.task is not None:
                    job.task.cancel()
            self.started += 1
            self.routers[number] = Router(self, number, self.started)
        self.connect()

    async def sleep(self, delay_ms: int) -> None:
        future = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.clock.now_ms() + delay_ms, future))
        await future

    async def run(self, duration_ms: int) -> None:
        for _ in range(max(duration_ms // STEP_MS, 1)):
            await self.step()

    async def step(self) -> None:
        """Advance the time by one step and check what must always hold."""
        self.steps += 1
        self.clock.advance(STEP_MS)
        self.store.tick()
        now_ms = self.clock.now_ms()
        for due_ms, future in self.sleepers:
            if due_ms <= now_ms and not future.done():
                future.set_result(None)
        self.sleepers = [each for each in self.sleepers if not each[1].done()]
        for router in self.routers:
            router.start_jobs()
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        if now_ms % REPORT_INTERVAL_MS == 0:
            for router in self.routers:
                router.reports.send_report()
        self.deliver()

    def deliver(self) -> None:
        datagrams, self.datagrams = self.datagrams, []
        for sender, address, data in datagrams:
            for router in self.routers:
                if router.address == address and not router.isolated:
                    router.reports.handle_datagram(data, sender.address)

    async def close(self) -> None:
        """End the tasks that still wait for a response."""
        tasks = [job.task for router in self.routers for job in router.jobs]
        for task in tasks:
            if task is not None:
                task.cancel()
        await asyncio.gather(*filter(None, tasks), return_exceptions=True)

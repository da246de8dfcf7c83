"""The programs of one run: store, servers and routers, with proxies between them."""

import asyncio
import json
import signal
import socket
from pathlib import Path

import h11

from .checks import RETRY_SLACK, Seen
from .http_peer import HttpPeer, PeerClosed
from .processes import END_S, Process, steady_s
from .proxy import Proxy

ROUTERS = 3
POOLS = ("talk", "talk", "talk", "desk", "desk")
"""Pool of each server."""
KEYS = {"key-a": "account-a", "key-b": "account-b"}
GRACE_S = 6
START_S = 60.0
"""Time within which processes must be up; a busy host starts them slowly."""
PROBE_S = 0.25
FIRST_BLOCK = 20
BLOCKS = 200
"""Second numbers of the loopback addresses that runs may use."""
CLAIM_PORT = 7_000
MISSES = 2

SETTINGS = """\
node = "router-{number}"
role = "router"
ip = "{ip}"
data_centre = "zone-a"
first_start = {first}
[listen]
clients = "{ip}:8227"
readiness = "{ip}:8220"
peer_port = 7340
metrics_port = 9464
[store]
address = "{store}:8223"
[stop]
grace_s = {grace}
[retries]
slack = {slack}
"""


def route(prefix: str, pool: str, kind: str, **fields: object) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": prefix.strip("/"),
        "host": "soak.example",
        "pathPrefix": prefix,
        "kind": kind,
        "service": pool,
        "timeoutMs": 6_000 if kind == "streaming" else 1_500,
        "targetLatencyMs": 400,
        "maxAttempts": 1,
        **fields,
    }


FIRST_ROUTES = [
    route("/talk/", "talk", "streaming", sticky=True, resumable=True, maxAttempts=2),
    # Two attempts are allowed where only one may run: the first may end as not run.
    route("/story/", "talk", "streaming", sticky=True, maxAttempts=2),
    route("/order/", "desk", "unsafe", maxAttempts=2),
    route("/read/", "desk", "safe", maxAttempts=2),
    route("/extra/", "desk", "safe", maxAttempts=2),
]


def claim_block() -> tuple[int, socket.socket]:
    """Return a part of the loopback that no other run uses, and what holds it."""
    for block in range(FIRST_BLOCK, FIRST_BLOCK + BLOCKS):
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.{block}.9.1", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return block, claim
    raise RuntimeError("all parts of the loopback are in use")


class Fleet:
    """All processes and proxies; ``seen`` takes what they report."""

    def __init__(self, directory: Path, seen: Seen) -> None:
        self.directory = directory
        self.seen = seen
        self.block, self.claim = claim_block()
        self.instances: dict[str, str] = {}
        self.starts = 0
        self.router_lines: dict[str, list[dict]] = {}
        self.routes = list(FIRST_ROUTES)
        self.keys = dict(KEYS)
        self.version = 0
        self.misses = [0] * ROUTERS
        self.first_start = True
        store = f"127.{self.block}.4.1"
        self.store_address = store
        words = ["-m", "soak.store_process", store, "8223", "8224"]
        self.store = Process("store", words, self.take_store_line)
        self.routers = [
            Process(f"router-{number}", ["platform/serve.py"], self.take_router_line)
            for number in range(ROUTERS)
        ]
        self.servers = [
            Process(f"server-{number}", [], self.take_server_line)
            for number in range(len(POOLS))
        ]
        self.store_links = [
            Proxy((self.ip(5, number), 8223), (store, 8223))
            for number in range(ROUTERS)
        ]
        self.server_links = [
            Proxy((self.ip(3, number), 8080), (self.ip(2, number), 8080))
            for number in range(len(POOLS))
        ]
        self.client_links = [
            Proxy((self.ip(6, number), 8227), (self.ip(1, number), 8227))
            for number in range(ROUTERS)
        ]

    def ip(self, group: int, number: int) -> str:
        """Return an address of the loopback."""
        return f"127.{self.block}.{group}.{number + 1}"

    # Lines

    def take_store_line(self, name: str, line: dict) -> None:
        """Take a line of the store; it only says that it is up."""

    def take_server_line(self, name: str, line: dict) -> None:
        """Take the record of a server."""
        number = int(name.rpartition("-")[2])
        instance = self.instances.get(name, name)
        self.seen.records.append({**line, "server": instance, "pool": POOLS[number]})

    def take_router_line(self, name: str, line: dict) -> None:
        """Take a log line of a router; errors inside it break the run."""
        lines = self.router_lines.setdefault(name, [])
        lines.append(line)
        if line.get("level") == "ERROR":
            self.seen.other.append(f"ERROR: {name}: {json.dumps(line)}")

    # Start and end

    async def start(self) -> None:
        """Start everything and wait until the routers are ready."""
        for proxy in (*self.store_links, *self.server_links, *self.client_links):
            await proxy.start()
        await self.store.start()
        await self.until(lambda: self.store.lines > 0, "store is not up")
        await self.write_configuration()
        await asyncio.gather(*(self.start_server(each) for each in range(len(POOLS))))
        await self.until(
            lambda: len(self.seen.records) >= len(POOLS), "servers are not registered"
        )
        await asyncio.gather(*(self.start_router(each) for each in range(ROUTERS)))
        for number in range(ROUTERS):
            await self.until_ready(number)
        self.first_start = False

    async def until(self, holds, otherwise: str, most_s: float = START_S) -> bool:
        """Wait until something holds; note a violation if it does not in time."""
        end = steady_s() + most_s
        while not holds():
            if steady_s() > end:
                self.seen.other.append(f"FAULT: {otherwise}")
                return False
            await asyncio.sleep(0.05)
        return True

    async def until_ready(self, number: int) -> None:
        """Wait until a router says that it is ready."""
        end = steady_s() + START_S
        while not await self.is_ready(number):
            if steady_s() > end:
                self.seen.other.append(f"RECOVER: router {number} does not get ready")
                return
            await asyncio.sleep(0.1)

    async def start_server(self, number: int, same: bool = False) -> None:
        """Start a server, as another one than before unless ``same``."""
        process = self.servers[number]
        if process.running:
            return
        if not same or process.name not in self.instances:
            self.starts += 1
            self.instances[process.name] = f"i-{number}-{self.starts}"
        process.words = [
            "-m",
            "soak.engine_process",
            self.instances[process.name],
            POOLS[number],
            f"{self.ip(2, number)}:8080",
            f"{self.ip(3, number)}:8080",
            f"{self.store_address}:8224",
        ]
        await process.start()

    def write_settings(self, number: int, slack: int) -> Path:
        """Write the settings file of a router."""
        path = self.directory / f"router-{number}.toml"
        text = SETTINGS.format(
            number=number,
            ip=self.ip(1, number),
            first=str(self.first_start).lower(),
            store=self.ip(5, number),
            grace=GRACE_S,
            slack=slack,
        )
        whole = path.with_suffix(".new")
        whole.write_text(text)
        whole.rename(path)
        return path

    async def start_router(self, number: int) -> None:
        """Start a router unless it runs."""
        if not self.routers[number].running:
            path = self.write_settings(number, RETRY_SLACK)
            await self.routers[number].start(MEDLARRIDGE_NODE_FILE=str(path))

    async def end(self) -> None:
        """End all processes and proxies."""
        for process in (*self.routers, *self.servers):
            await process.end()
        await self.store.end()
        for proxy in (*self.store_links, *self.server_links, *self.client_links):
            proxy.close()
        self.claim.close()
        for process in self.routers:
            if process.rest:
                self.seen.other.append(
                    f"LOG: {process.name} wrote what is not a log line: "
                    + " / ".join(process.rest[:20])
                )

    def check_ends(self) -> None:
        """Note processes that ended by themselves."""
        for process in self.routers:
            if process.ended_by_itself:
                self.seen.other.append(f"FAULT: {process.name} ended by itself")
                process.expected_end = True

    # Operator

    async def write_configuration(self) -> float:
        """Write the next configuration; return when it was acknowledged."""
        self.version += 3
        spec = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": "talk", "maxConnections": 200, "engine": {"slots": 12}},
                {"name": "desk", "maxConnections": 100},
            ],
            "tenants": [
                {"name": account, "apiKeys": [key]}
                for key, account in self.keys.items()
            ],
        }
        body = json.dumps({"spec": spec}).encode()
        target = b"/v1/objects/config/main"
        await call((self.store_address, 8224), b"PUT", target, body)
        return steady_s()

    # Balancer

    async def is_ready(self, number: int) -> bool:
        """Ask a router whether it is ready."""
        try:
            async with asyncio.timeout(1):
                status = await call((self.ip(1, number), 8220), b"GET", b"/v1/readyz")
        except (TimeoutError, OSError, PeerClosed, h11.ProtocolError):
            return False
        return status == 200

    async def probe(self) -> None:
        """Keep the rotation of routers, as the platform's balancer does."""
        while True:
            ready = await asyncio.gather(*(self.is_ready(n) for n in range(ROUTERS)))
            for number, is_ready in enumerate(ready):
                self.misses[number] = 0 if is_ready else self.misses[number] + 1
            await asyncio.sleep(PROBE_S)

    def rotation(self) -> list[int]:
        """Return the routers that get new connections."""
        ready = [n for n in range(ROUTERS) if self.misses[n] < MISSES]
        return ready if len(ready) * 2 >= ROUTERS else list(range(ROUTERS))

    async def end_router(self, number: int, most_s: float) -> None:
        """Tell a router to stop; kill it if it takes too long."""
        process = self.routers[number]
        process.signal(signal.SIGTERM)
        if not await process.wait(most_s):
            if self.seen.timed and not process.paused:
                self.seen.other.append(f"FAULT: {process.name} outlived its grace time")
            process.signal(signal.SIGKILL)
            await process.wait(END_S)


async def call(
    address: tuple[str, int], method: bytes, target: bytes, body: bytes = b""
) -> int:
    """Make one call; return its status."""
    reader, writer = await asyncio.open_connection(*address)
    peer = HttpPeer(reader, writer, h11.CLIENT)
    try:
        headers = [(b"Host", b"call"), (b"Content-Length", b"%d" % len(body))]
        await peer.send(
            h11.Request(method=method, target=target, headers=headers),
            h11.Data(body),
            h11.EndOfMessage(),
        )
        event = await peer.next_event()
        return event.status_code if isinstance(event, h11.Response) else 0
    finally:
        writer.close()

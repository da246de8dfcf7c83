"""Stand-ins for the platform's store, runners and clients, and the routers' processes.

All stand-ins run in one process on loopback addresses. Only routers are processes of
their own; they are started with the command of the deploy file.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
PROCESSES: list["RunnerProcess"] = []
"""Runners that are processes; they are ended with the case."""
HEARTBEAT_S = 1.2
SIGNATURE = "X-Medlarridge-Response-Signature"
REQUEST_ID = "X-Medlarridge-Request-Id"
INSTANCE = "X-Medlarridge-Expected-Instance"


def now() -> float:
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, directory: Path) -> None:
        self.file = open(directory / "record.txt", "w", buffering=1)
        self.started = now()

    def __call__(self, text: str) -> None:
        self.file.write(f"{now() - self.started:8.3f} {text}\n")


class Message:
    """Head and body of an HTTP/1.1 message; header names are in lower case."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    head = await read_head(reader)
    if head is None:
        return None
    return Message(head[0], head[1], await read_body(reader, head[1]))


def format_message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: objects, conditional writes, lists and watches."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.kinds: dict[str, dict[str, dict]] = {}
        self.revision = 1000
        self.history: list[tuple[int, str, dict, bool]] = []
        self.oldest = self.revision
        self.changed = asyncio.Event()
        self.delay_s = 0.0
        self.fault = None
        self.calls = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def note(self, kind: str, item: dict, deleted: bool) -> None:
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: dict) -> dict:
        previous = self.kinds.setdefault(kind, {}).get(name)
        if previous is not None and previous["spec"] == spec:
            return previous
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 0,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": {},
        }
        self.kinds[kind][name] = item
        self.note(kind, item, False)
        return item

    def delete(self, kind: str, name: str) -> bool:
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        self.note(kind, item, True)
        return True

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")[0]
        try:
            while (request := await read_message(reader)) is not None:
                self.calls += 1
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                else:
                    await asyncio.sleep(0.004)
                if self.fault is not None and not await self.fault(
                    self, request, writer, peer
                ):
                    return
                status, body = await self.handle(request)
                writer.write(
                    format_message(
                        f"HTTP/1.1 {status} X",
                        {
                            "Content-Type": "application/json",
                            "Content-Length": str(len(body)),
                        },
                        body,
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request: Message) -> tuple[int, bytes]:
        status, body = await self.process(request)
        return status, json.dumps(body).encode()

    async def process(self, request: Message) -> tuple[int, dict]:
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        parts = url.path.removeprefix("/v1/objects/").split("/", 1)
        kind, name = parts[0], unquote(parts[1]) if len(parts) > 1 else ""
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["waitMs"]))
        if method == "GET" and not name:
            items = sorted(objects.values(), key=lambda each: each["metadata"]["name"])
            return 200, {"items": items, "hasMore": False, "asOf": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            wanted = query.get("revision")
            if name not in objects:
                return 404, {}
            if wanted and int(wanted) != objects[name]["metadata"]["revision"]:
                return 409, objects[name]
            self.delete(kind, name)
            return 200, {}
        item = json.loads(request.body)
        if method == "POST":
            name = item["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, item["spec"])
        if name not in objects:
            return 404, {}
        revision = item.get("metadata", {}).get("revision")
        if revision is not None and revision != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        return 200, self.put(kind, name, item["spec"])

    async def watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, dict]:
        end = now() + wait_ms / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, each, item, deleted in self.history
                if each == kind and revision > after
            ]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue


class Runner:
    """A runner, whose ``work`` answers a request and returns whether to go on."""

    def __init__(
        self,
        store: Store,
        record: Record,
        instance: str,
        service: str,
        host: str,
        port: int,
        work,
        slots: int = 6,
        zone: str = "zone-a",
        receive_buffer: int | None = None,
    ) -> None:
        self.store, self.record = store, record
        self.instance, self.service = instance, service
        self.host, self.port = host, port
        self.work = work
        self.slots, self.zone = slots, zone
        self.receive_buffer = receive_buffer
        self.state = "ready"
        self.version = "v1"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running: dict[str, int] = {}
        self.runs: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.bind((self.host, self.port))
        self.server = await asyncio.start_server(self.serve, sock=sock, limit=65536)
        self.beat = asyncio.create_task(self.heartbeat())

    def write_entry(self) -> None:
        self.sequence += 1
        self.store.put(
            "servers",
            self.instance,
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def heartbeat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """End like a killed process: the listener goes, connections are reset."""
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                if not await self.answer(method, target, head[1], reader, writer):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, reader, writer) -> bool:
        if target.startswith("/v1/"):
            body = json.dumps(
                {
                    "stage": "both",
                    "models": [],
                    "busy": False,
                    "sequence": 0,
                    "numWaiting": 0,
                    "numRunning": 0,
                    "kvUsed": 0,
                    "kvTotal": 90000,
                    "handles": 0,
                    "born": self.born,
                    "epoch": 1,
                    "next": 1,
                    "held": [],
                }
            ).encode()
            writer.write(
                format_message(
                    "HTTP/1.1 200 OK", {"Content-Length": str(len(body))}, body
                )
            )
            return True
        if headers.get(INSTANCE.lower(), self.instance) != self.instance:
            await read_body(reader, headers)
            writer.write(
                format_message(
                    "HTTP/1.1 421 Misdirected",
                    {
                        REQUEST_ID: headers.get(REQUEST_ID.lower(), ""),
                        "X-Medlarridge-Not-Executed": "1",
                        "Content-Length": "0",
                    },
                )
            )
            return True
        self.arrivals.append((now(), headers.get(REQUEST_ID.lower(), "")))
        return await self.work(self, method, target, headers, reader, writer)

    def note_run(self, headers: dict[str, str]) -> str:
        request_id = headers.get(REQUEST_ID.lower(), "")
        self.runs.append(request_id)
        self.record(f"run {request_id} at {self.instance}")
        return request_id

    def head(self, request_id: str, length: int | None, **more: str) -> bytes:
        headers = {
            REQUEST_ID: request_id,
            SIGNATURE: f"sig.{self.instance}.{request_id}",
        }
        if length is not None:
            headers["Content-Length"] = str(length)
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        return format_message("HTTP/1.1 200 OK", headers)


SETTINGS = """node = "{node}"
role = "router"
ip = "{ip}"
data_centre = "{zone}"
first_start = {first}
link_mbps = 1000.0

[listen]
clients = "{ip}:8227"
readiness = "{ip}:8220"
peer_port = 7340
metrics_port = 9464

[store]
address = "{store}"
writes_per_s = 400.0

[memory]
limit_mb = 300

[descriptors]
limit = 4100

[stop]
grace_s = 8

[retries]
ratio = 0.2
slack = 56
window_s = 10

[load]
factor = 2
"""


class Router:
    """A router process."""

    def __init__(
        self,
        record: Record,
        directory: Path,
        node: str,
        ip: str,
        store: str,
        zone: str = "zone-a",
    ) -> None:
        self.record, self.node, self.ip = record, node, ip
        self.path = directory / f"{node}.toml"
        self.values = {"node": node, "ip": ip, "store": store, "zone": zone}
        self.process: asyncio.subprocess.Process | None = None
        self.log = directory / f"{node}.log"

    async def start(self, first: bool = True) -> None:
        self.path.write_text(SETTINGS.format(first=str(first).lower(), **self.values))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MEDLARRIDGE_NODE_FILE": str(self.path),
        }
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "target/app/serve.py",
                f"{self.ip}:8227",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record(f"router {self.node} started, pid {self.process.pid}")

    def signal(self, number: int) -> None:
        self.record(f"router {self.node} gets signal {number}")
        self.process.send_signal(number)

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        end = now() + timeout_s
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, 8220)
                writer.write(
                    b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got: a status and a body, and whether the answer was whole."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.error = ""


class Client:
    """One connection of a client; ``read`` reads one answer."""

    def __init__(self, ip: str, receive_buffer: int | None = None) -> None:
        self.ip = ip
        self.receive_buffer = receive_buffer

    async def open(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (self.ip, 8227))
        self.sock = sock
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=4096)

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 15000,
        **more: str,
    ) -> None:
        headers = {
            "Host": HOST,
            REQUEST_ID: request_id,
            "X-Medlarridge-Deadline-Ms": str(deadline_ms),
        }
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        if body:
            headers["Content-Length"] = str(len(body))
        self.writer.write(format_message(f"{method} {path} HTTP/1.1", headers, body))

    async def read(self, step_s: float = 0.0, step_bytes: int = 65536) -> Answer:
        """Read an answer; with ``step_s``, slowly, ``step_bytes`` at a time."""
        answer = Answer()
        try:
            head = await read_head(self.reader)
            if head is None:
                answer.error = "closed before the answer"
                return answer
            answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
            if "content-length" in answer.headers:
                left = int(answer.headers["content-length"])
                while left > 0:
                    data = await self.reader.read(min(left, step_bytes))
                    if not data:
                        answer.error = f"closed with {left} bytes missing"
                        return answer
                    answer.body += data
                    left -= len(data)
                    if step_s:
                        await asyncio.sleep(step_s)
            else:
                answer.body = await read_body(self.reader, answer.headers)
            answer.whole = True
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = repr(error)
        return answer

    def close(self) -> None:
        self.writer.close()


def route(name: str, service: str, kind: str, **more) -> dict:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "maxAttempts": 1,
        "priority": 1,
        **more,
    }


def write_configuration(
    store: Store,
    version: int,
    routes: list[dict],
    services: list[dict],
    limits: dict | None = None,
    tenants: list[dict] | None = None,
) -> None:
    spec = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits
        or {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    if tenants is not None:
        spec["tenants"] = tenants
    store.put("config", "main", spec)


def free_subnet() -> int:
    """Return N such that nothing uses the addresses 127.N.1.1 to 127.N.9.1."""
    numbers = list(range(30, 220))
    random.shuffle(numbers)
    for number in numbers:
        probes = []
        try:
            for ip, port in ((f"127.{number}.1.1", 8227), (f"127.{number}.4.1", 8223)):
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                probes.append(sock)
                sock.bind((ip, port))
            return number
        except OSError:
            continue
        finally:
            for sock in probes:
                sock.close()
    raise RuntimeError("no free loopback addresses")


def run_case(case, directory: str) -> None:
    """Run ``case(record, temporary, trouble)``, which returns whether the rule held."""
    record = Record(Path(directory))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    code = 2
    routers: list[Router] = []
    try:
        with tempfile.TemporaryDirectory() as temporary:

            async def main() -> bool | None:
                task = asyncio.current_task()
                for number in (signal.SIGTERM, signal.SIGINT):
                    asyncio.get_running_loop().add_signal_handler(number, task.cancel)
                try:
                    async with asyncio.timeout(116):
                        return await case(record, Path(temporary), trouble, routers)
                finally:
                    for router in routers:
                        await router.kill()
                    for runner in PROCESSES:
                        await runner.end()
                    keep = os.environ.get("KEEP_LOGS")
                    if keep:
                        for router in routers:
                            Path(keep).mkdir(exist_ok=True)
                            (Path(keep) / router.log.name).write_bytes(
                                router.log.read_bytes()
                            )

            held = asyncio.run(main())
            code = 2 if held is None else 0 if held else 1
    except (Exception, asyncio.CancelledError) as error:
        record(f"could not run: {error!r}")
    finally:
        record(f"exit status {code}")
        print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
        sys.stdout.flush()
    sys.exit(code)


def answer_text(request_id: str) -> bytes:
    """Return the whole body of the answer to a request, 4,800 bytes long."""
    line = b"answer to " + request_id.encode() + b"\n"
    return (line * (4_800 // len(line) + 1))[:4_799] + b"."


class RunnerProcess:
    """A runner that is a process of its own, and its entry in the store."""

    def __init__(
        self,
        store: Store,
        record: Record,
        instance: str,
        service: str,
        host: str,
        slots: int = 6,
        queue: int = 24,
        advertised: str | None = None,
    ) -> None:
        self.store, self.record, self.instance = store, record, instance
        self.service, self.host, self.slots, self.queue = service, host, slots, queue
        self.advertised = advertised or host
        self.sequence = 0
        self.runs: list[str] = []

    async def start(self) -> None:
        PROCESSES.append(self)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            str(Path(__file__).with_name("runner_process.py")),
            self.host,
            "8080",
            self.instance,
            str(self.slots),
            str(self.queue),
            stdout=asyncio.subprocess.PIPE,
        )
        await self.process.stdout.readline()
        self.born = int(time.time() * 1000)
        self.record(f"runner {self.instance} is up, pid {self.process.pid}")
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.read_runs()),
        ]

    async def beat(self) -> None:
        while True:
            self.sequence += 1
            self.store.put(
                "servers",
                self.instance,
                {
                    "service": self.service,
                    "address": f"{self.advertised}:8080",
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": self.sequence,
                    "born": self.born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def read_runs(self) -> None:
        while line := await self.process.stdout.readline():
            self.runs.append(line.decode().strip())
            self.record(f"run {self.runs[-1]} at {self.instance}")

    async def crash(self) -> None:
        """Kill the process; its entry goes after three heartbeats of silence."""
        self.record(f"runner {self.instance} is killed")
        self.tasks[0].cancel()
        self.process.kill()
        await self.process.wait()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.delete, "servers", self.instance
        )

    async def end(self) -> None:
        for task in getattr(self, "tasks", []):
            task.cancel()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class MachineLink:
    """The link to a runner's machine, which can be lost after the runner has ended."""

    def __init__(self, host: str, target: str) -> None:
        self.host, self.target = host, target
        self.fillers: list[socket.socket] = []

    async def start(self) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((self.host, 8080))
        self.listener.listen(64)
        self.accepting = asyncio.create_task(self.accept())
        self.tasks: set[asyncio.Task] = set()

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            task = asyncio.create_task(self.relay(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def relay(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            far_reader, far_writer = await asyncio.open_connection(self.target, 8080)
        except OSError:
            reset(writer)
            return
        forward = asyncio.create_task(self.pump(reader, far_writer))
        await self.pump(far_reader, writer)
        forward.cancel()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes on, and the end of the connection as it came."""
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            reset(writer)

    async def lose(self) -> None:
        """Let new connections hang from now on, as to a machine that is gone."""
        self.accepting.cancel()
        await asyncio.sleep(0)
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex((self.host, 8080))
            self.fillers.append(filler)
        await asyncio.sleep(0.05)

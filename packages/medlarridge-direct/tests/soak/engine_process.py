"""Stand-in of a backend server, as a process of its own.

It reports each run on standard output, one JSON object a line, with the steady time
that all processes of a host share. Lines on standard input set its faults.
"""

import asyncio
import hashlib
import json
import signal
import sys
import time
import zlib
from random import Random

import h11

from medlarridge_platform import names

from .http_peer import HttpPeer, PeerClosed, Received, serve_connection

HEARTBEAT_S = 1.2
DRAIN_S = 2.6
"""Time for which a draining server serves on; routers must be gone after 2 s."""
SLOTS = 12
MAX_WAITING = 24
"""Requests beyond the slots that are accepted; further ones are rejected as not run."""
PLAIN_S = 0.02
LEAST_EVENT_S = 0.01
MOST_EVENT_S = 0.03
"""Bounds of the time that one event of a stream takes."""


def body_of(request_id: str) -> bytes:
    """Return the body that answers a plain request."""
    seed = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return seed * (1 + zlib.crc32(seed) % 40)


def event_count(request_id: str) -> int:
    """Return how many events a stream has."""
    return 3 + zlib.crc32(request_id.encode()) % 40


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %b-%d\n\n" % (number, request_id.encode(), number)


def report(event: str, **fields: object) -> None:
    """Write a line for the soak."""
    line = {"event": event, "at": time.monotonic(), **fields}
    print(json.dumps(line), flush=True)


class Engine:
    """One server."""

    def __init__(self, instance: str, pool: str, advertised: str, store: str) -> None:
        self.instance = instance
        self.pool = pool
        self.advertised = advertised
        self.store = store
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(SLOTS)
        self.inside = 0
        self.faults: dict[str, float] = {}
        self.random = Random(instance)
        self.wake = asyncio.Event()

    # Entry in the store

    async def register(self) -> None:
        """Write the entry at each heartbeat."""
        while True:
            self.wake.clear()
            self.sequence += 1
            spec = {
                "service": self.pool,
                "address": self.advertised,
                "zone": "zone-a",
                "version": 1,
                "slots": SLOTS,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            try:
                async with asyncio.timeout(1):
                    await self.call_store(b"PUT", {"spec": spec})
                report("acked", state=self.state)
            except (PeerClosed, OSError, TimeoutError) as error:
                report("unregistered", error=repr(error))
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def call_store(self, method: bytes, body: dict) -> None:
        """Make one call to the store."""
        host, _, port = self.store.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        peer = HttpPeer(reader, writer, h11.CLIENT)
        try:
            data = json.dumps(body).encode()
            await peer.send(
                h11.Request(
                    method=method,
                    target=b"/v1/objects/servers/" + self.instance.encode(),
                    headers=[
                        (b"Host", b"store"),
                        (b"Content-Length", b"%d" % len(data)),
                    ],
                ),
                h11.Data(data),
                h11.EndOfMessage(),
            )
            await peer.next_event()
        finally:
            writer.close()

    async def drain(self, ended: asyncio.Event) -> None:
        """Leave as planned: announce it, serve on for a while, remove the entry."""
        self.state = "draining"
        self.wake.set()
        await asyncio.sleep(DRAIN_S)
        await self.call_store(b"DELETE", {})
        ended.set()

    # Requests

    def fails(self, kind: str) -> bool:
        """Whether a fault strikes now."""
        return self.random.random() < self.faults.get(kind, 0)

    async def handle(self, peer: HttpPeer, request: Received) -> None:
        """Answer a request."""
        if request.target == names.INVENTORY_PATH:
            await peer.answer(200, [], b'{"epoch": 1, "next": 1, "held": []}')
            return
        request_id = request.headers.get(names.REQUEST_ID, b"").decode()
        expected = request.headers.get(names.EXPECTED_INSTANCE, b"").decode()
        headers = [
            (names.REQUEST_ID, request_id.encode()),
            (names.SIGNATURE, b"by-" + self.instance.encode()),
        ]
        not_run = [*headers, (names.NOT_EXECUTED, b"1")]
        if expected and expected != self.instance:
            report("rejected", id=request_id, status=421)
            await peer.answer(421, not_run, b"")
            return
        if self.inside >= SLOTS + MAX_WAITING:
            report("rejected", id=request_id, status=503)
            await peer.answer(503, not_run, b"")
            return
        self.inside += 1
        try:
            async with self.slots:
                if peer.left:
                    return
                self.report_run(request_id, request)
                how = "dropped"
                try:
                    how = await self.run(peer, request, request_id, headers)
                finally:
                    report("ended", id=request_id, how=how)
        finally:
            self.inside -= 1

    def report_run(self, request_id: str, request: Received) -> None:
        """Report that a request begins to run, and what arrived."""
        report(
            "run",
            id=request_id,
            method=request.method.decode(),
            target=request.target.decode(),
            body=hashlib.sha256(request.body).hexdigest(),
            account=request.headers.get(names.ACCOUNT, b"").decode(),
            key=names.AUTHORIZATION in request.headers,
            prompt=request.headers.get(names.PROMPT_PARTS, b"").decode(),
            deadline_ms=int(request.headers.get(names.DEADLINE_MS, b"-1")),
            after=int(request.headers.get(names.RESUME_AFTER, b"0")),
        )

    async def run(
        self, peer: HttpPeer, request: Received, request_id: str, headers: list
    ) -> str:
        """Run a request; return how it ended."""
        if self.pool == "desk":
            await asyncio.sleep(PLAIN_S * (0.5 + self.random.random()))
        if self.fails("lost"):
            peer.abort()
            return "lost"
        if self.fails("error"):
            await peer.answer(500, headers, b"engine failed")
            return "error"
        if self.fails("junk"):
            await peer.send_bytes(b"\x00\x01 these bytes are no answer\r\n\r\n")
            peer.abort()
            return "junk"
        if self.pool == "desk":
            body = body_of(request_id)
            if self.fails("cut"):
                head = h11.Response(
                    status_code=200,
                    headers=[*headers, (b"Content-Length", b"%d" % len(body))],
                )
                await peer.send(head, h11.Data(body[: len(body) // 2]))
                peer.abort()
                return "cut"
            await peer.answer(200, headers, body)
        else:
            ended = await self.stream(peer, request, request_id, headers)
            if ended != "done":
                return ended
        if self.fails("extra"):
            await peer.send_bytes(
                b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                b"X-Medlarridge-Request-Id: none\r\n"
                b"X-Medlarridge-Response-Signature: by-none\r\n\r\nstray"
            )
        return "done"

    async def stream(
        self, peer: HttpPeer, request: Received, request_id: str, headers: list
    ) -> str:
        """Send the events of a stream; return how it ended."""
        after = int(request.headers.get(names.RESUME_AFTER, b"0"))
        headers = [
            *headers,
            (b"Content-Type", b"text/event-stream"),
            (b"Transfer-Encoding", b"chunked"),
        ]
        await peer.send(h11.Response(status_code=200, headers=headers))
        cut_at = None
        if self.fails("cut"):
            cut_at = self.random.randint(after, event_count(request_id))
        for number in range(after + 1, event_count(request_id) + 1):
            if peer.left:
                return "dropped"
            if number == cut_at:
                # A server may stop in the middle of an event.
                event = event_of(request_id, number)
                await peer.send(h11.Data(event[: len(event) // 2]))
                peer.abort()
                return "cut"
            await peer.send(h11.Data(event_of(request_id, number)))
            await asyncio.sleep(self.random.uniform(LEAST_EVENT_S, MOST_EVENT_S))
        await peer.send(h11.EndOfMessage())
        return "done"

    async def obey(self) -> None:
        """Follow the lines on standard input."""
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            self.faults = json.loads(line)


async def main(
    instance: str, pool: str, listen: str, advertised: str, store: str
) -> None:
    """Serve until drained, or until standard input ends."""
    engine = Engine(instance, pool, advertised, store)
    host, _, port = listen.rpartition(":")
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    tasks = []

    def begin_drain() -> None:
        tasks.append(loop.create_task(engine.drain(ended)))

    loop.add_signal_handler(signal.SIGTERM, begin_drain)
    await asyncio.start_server(
        lambda reader, writer: serve_connection(reader, writer, engine.handle),
        host,
        int(port),
    )
    tasks.append(loop.create_task(engine.register()))
    obeying = loop.create_task(engine.obey())
    waiting = loop.create_task(ended.wait())
    await asyncio.wait((obeying, waiting), return_when=asyncio.FIRST_COMPLETED)
    for task in (*tasks, obeying, waiting):
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

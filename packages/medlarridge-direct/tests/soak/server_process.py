"""Stand-in for a backend server, run as a separate process.

It writes its events, such as the start of each request, to standard output as JSON
lines. Their time is monotonic and common to all processes of a host. Each JSON line on
standard input replaces the probabilities of the server's faults.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
import time
from random import Random

import h11

from medlarridge_platform import names

from .content import (
    MAX_EVENT_S,
    MIN_EVENT_S,
    has_crashing_part,
    response_body,
    stream_event,
    stream_event_count,
)
from .http_connection import (
    NO_CONTENT,
    ConnectionClosed,
    HttpConnection,
    ReceivedRequest,
    serve_connection,
)

HEARTBEAT_S = 1.2
DRAIN_PERIOD_S = 2.6
"""Time a draining server keeps serving; routers stop using it within 2 s."""
SLOT_COUNT = 12
MAX_QUEUED = 24
"""Requests that may wait for a slot; further ones are rejected as not executed."""
RESPONSE_TIME_S = 0.02
"""Mean processing time of a request that is not streamed."""
UNFRAMED_SHARE = 0.2
"""Share of the streams that have neither a length nor chunks."""
LENGTH_SHARE = 0.1
"""Share of the streams with a length."""
INTERIM_SHARE = 0.1
"""Share of the streams with an interim response before the final one."""
ENDED_CUT_SHARE = 0.3
"""Share of the cut streams whose last chunk follows part of an event."""
MAX_REST_S = 1.0
"""Longest rest that a server asks for."""
CRASH_EXIT_CODE = 70
NO_CONTENT_PREFIX = b"/note/"
"""Prefix of the requests whose responses have status 204."""


def report(event: str, **fields: object) -> None:
    """Write an event to standard output as a JSON line."""
    line = {"event": event, "at": time.monotonic(), **fields}
    print(json.dumps(line), flush=True)


class Server:
    """One instance of a backend server."""

    def __init__(
        self,
        instance: str,
        version: str,
        pool: str,
        advertised_address: str,
        store_address: str,
    ) -> None:
        self.instance = instance
        self.version = version
        self.pool = pool
        self.advertised_address = advertised_address
        self.store_address = store_address
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(SLOT_COUNT)
        self.request_count = 0
        self.faults: dict[str, float] = {}
        self.random = Random(instance)
        self.state_changed = asyncio.Event()

    # Entry in the platform's store

    async def send_heartbeats(self) -> None:
        """Write the server's entry at each heartbeat and each change of state."""
        while True:
            self.state_changed.clear()
            self.sequence += 1
            spec = {
                "service": self.pool,
                "address": self.advertised_address,
                "zone": "zone-a",
                "version": self.version,
                "slots": SLOT_COUNT,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            try:
                async with asyncio.timeout(1):
                    await self.call_store(b"PUT", {"spec": spec})
                report("acked", state=self.state)
            except (ConnectionClosed, OSError, TimeoutError) as error:
                report("unregistered", error=repr(error))
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.state_changed.wait()
            except TimeoutError:
                continue

    async def call_store(self, method: bytes, body: dict) -> None:
        """Make one call to the store."""
        host, _, port = self.store_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        connection = HttpConnection(reader, writer, h11.CLIENT)
        try:
            data = json.dumps(body).encode()
            await connection.send(
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
            await connection.next_event()
        finally:
            writer.close()

    async def drain(self, drained: asyncio.Event) -> None:
        """Announce the drain, keep serving for a while, then remove the entry."""
        self.state = "draining"
        self.state_changed.set()
        await asyncio.sleep(DRAIN_PERIOD_S)
        await self.call_store(b"DELETE", {})
        drained.set()

    # Requests

    def fault_occurs(self, kind: str) -> bool:
        """Decide at random whether a fault occurs now."""
        return self.random.random() < self.faults.get(kind, 0)

    async def handle(
        self, connection: HttpConnection, request: ReceivedRequest
    ) -> None:
        """Respond to a request."""
        if request.target == names.REPORT_PATH:
            await connection.respond(200, [], b'{"numRunning": 0}')
            return
        if request.target == names.INVENTORY_PATH:
            await connection.respond(200, [], b'{"epoch": 1, "next": 1, "held": []}')
            return
        report("arrived", limit=self.faults.get("limit"))
        request_id = request.headers.get(names.REQUEST_ID, b"").decode()
        expected = request.headers.get(names.EXPECTED_INSTANCE, b"").decode()
        headers = [
            (names.REQUEST_ID, request_id.encode()),
            (names.SIGNATURE, b"by-" + self.instance.encode()),
            *self.notices(),
        ]
        not_run = [*headers, (names.NOT_EXECUTED, b"1")]
        if expected and expected != self.instance:
            report("rejected", id=request_id, status=421)
            await connection.respond(421, not_run, b"")
            return
        if self.fault_occurs("rest"):
            report("rejected", id=request_id, status=503)
            rest_s = self.random.uniform(0, MAX_REST_S)
            not_run.append((names.RETRY_AFTER, b"%.2f" % rest_s))
            await connection.respond(503, not_run, b"")
            return
        if self.request_count >= SLOT_COUNT + MAX_QUEUED:
            report("rejected", id=request_id, status=503)
            await connection.respond(503, not_run, b"")
            return
        self.request_count += 1
        try:
            async with self.slots:
                if connection.closed:
                    return
                self.report_run(request_id, request)
                outcome = "dropped"
                try:
                    outcome = await self.run(connection, request, request_id, headers)
                finally:
                    report("ended", id=request_id, how=outcome)
        finally:
            self.request_count -= 1

    def notices(self) -> list[tuple[bytes, bytes]]:
        """Return the headers in which the server speaks of itself."""
        headers = []
        if "limit" in self.faults:
            headers.append((names.SERVER_LIMIT, b"%.1f" % self.faults["limit"]))
        if self.state == "draining":
            headers.append((names.SERVER_LEAVING, b"1"))
        return headers

    def report_run(self, request_id: str, request: ReceivedRequest) -> None:
        """Report the start of a request with the request as received."""
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
            version=self.version,
        )

    async def run(
        self,
        connection: HttpConnection,
        request: ReceivedRequest,
        request_id: str,
        headers: list,
    ) -> str:
        """Process a request; return its outcome."""
        if self.pool == "desk":
            await asyncio.sleep(RESPONSE_TIME_S * (0.5 + self.random.random()))
        elif has_crashing_part(request.headers.get(names.PROMPT_PARTS, b"")):
            report("crashed", id=request_id)
            os._exit(CRASH_EXIT_CODE)
        if self.fault_occurs("lost"):
            connection.abort()
            return "lost"
        if self.fault_occurs("error"):
            await connection.respond(500, headers, b"engine failed")
            return "error"
        if self.fault_occurs("junk"):
            await connection.send_bytes(b"\x00\x01 these bytes are no answer\r\n\r\n")
            connection.abort()
            return "junk"
        if self.pool == "desk" and request.target.startswith(NO_CONTENT_PREFIX):
            await connection.respond(NO_CONTENT, headers, b"")
        elif self.pool == "desk":
            body = response_body(request_id)
            if not connection.is_head_request and self.fault_occurs("cut"):
                head = h11.Response(
                    status_code=200,
                    headers=[*headers, (b"Content-Length", b"%d" % len(body))],
                )
                await connection.send(head, h11.Data(body[: len(body) // 2]))
                connection.abort()
                return "cut"
            await connection.respond(200, headers, body)
        else:
            outcome = await self.stream(connection, request, request_id, headers)
            if outcome != "done":
                return outcome
        if self.fault_occurs("extra"):
            await connection.send_bytes(
                b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                b"X-Medlarridge-Request-Id: none\r\n"
                b"X-Medlarridge-Response-Signature: by-none\r\n\r\nstray"
            )
        return "done"

    async def stream(
        self,
        connection: HttpConnection,
        request: ReceivedRequest,
        request_id: str,
        headers: list,
    ) -> str:
        """Send the events of a stream; return its outcome."""
        after = int(request.headers.get(names.RESUME_AFTER, b"0"))
        # A stream has the events of the request that began it.
        stream_id = request.headers.get(names.RESUMES, request_id.encode()).decode()
        if self.random.random() < UNFRAMED_SHARE:
            return await self.stream_unframed(connection, stream_id, headers, after)
        if self.random.random() < INTERIM_SHARE:
            await connection.send(
                h11.InformationalResponse(status_code=103, headers=[])
            )
        last = stream_event_count(stream_id)
        framing = (b"Transfer-Encoding", b"chunked")
        has_length = self.random.random() < LENGTH_SHARE
        if has_length:
            events = (
                stream_event(stream_id, number, self.version)
                for number in range(after + 1, last + 1)
            )
            framing = (b"Content-Length", b"%d" % sum(map(len, events)))
        headers = [*headers, (b"Content-Type", b"text/event-stream"), framing]
        await connection.send(h11.Response(status_code=200, headers=headers))
        cut_at = None
        if self.fault_occurs("cut"):
            cut_at = self.random.randint(after, last)
        for number in range(after + 1, last + 1):
            if connection.closed:
                return "dropped"
            if number == cut_at:
                # Break off in the middle of an event, as a crashed server does.
                event = stream_event(stream_id, number, self.version)
                await connection.send(h11.Data(event[: len(event) // 2]))
                if not has_length and self.random.random() < ENDED_CUT_SHARE:
                    await connection.send(h11.EndOfMessage())
                else:
                    connection.abort()
                return "cut"
            event = stream_event(stream_id, number, self.version)
            await connection.send(h11.Data(event))
            await asyncio.sleep(self.random.uniform(MIN_EVENT_S, MAX_EVENT_S))
        await connection.send(h11.EndOfMessage())
        return "done"

    async def stream_unframed(
        self, connection: HttpConnection, stream_id: str, headers: list, after: int
    ) -> str:
        """Send a stream that ends with its connection; return its outcome.

        If it breaks off, the connection is closed like that of a whole one.
        """
        lines = [b"HTTP/1.1 200 OK", b"Content-Type: text/event-stream"]
        lines += [b"%b: %b" % header for header in headers]
        await connection.send_bytes(b"\r\n".join([*lines, b"", b""]))
        line_end = self.random.choice([b"\n", b"\r\n", b"\r"])
        last = stream_event_count(stream_id)
        cut_at = self.random.randint(after, last) if self.fault_occurs("cut") else None
        for number in range(after + 1, last + 1):
            if connection.closed:
                return "dropped"
            event = stream_event(stream_id, number, self.version)
            event = event.replace(b"\n", line_end)
            if number == cut_at:
                await connection.send_bytes(event[: len(event) // 2])
                return "cut"
            await connection.send_bytes(event)
            await asyncio.sleep(self.random.uniform(MIN_EVENT_S, MAX_EVENT_S))
        return "unframed"

    async def read_commands(self) -> None:
        """Apply the faults read from standard input until it ends."""
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            self.faults = json.loads(line)


async def main(
    instance: str,
    version: str,
    pool: str,
    listen: str,
    advertised_address: str,
    store_address: str,
) -> None:
    """Serve until drained or until standard input ends."""
    server = Server(instance, version, pool, advertised_address, store_address)
    host, _, port = listen.rpartition(":")
    drained = asyncio.Event()
    loop = asyncio.get_running_loop()
    tasks = []

    def begin_drain() -> None:
        tasks.append(loop.create_task(server.drain(drained)))

    loop.add_signal_handler(signal.SIGTERM, begin_drain)
    await asyncio.start_server(
        lambda reader, writer: serve_connection(reader, writer, server.handle),
        host,
        int(port),
    )
    tasks.append(loop.create_task(server.send_heartbeats()))
    command_task = loop.create_task(server.read_commands())
    drained_task = loop.create_task(drained.wait())
    await asyncio.wait(
        (command_task, drained_task), return_when=asyncio.FIRST_COMPLETED
    )
    for task in (*tasks, command_task, drained_task):
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

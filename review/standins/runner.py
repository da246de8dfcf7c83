"""Stand-in for a runner, as PROTOCOL.md describes it, run as a process.

Arguments: ID SERVICE HOST PORT ZONE STORE_HOST STORE_PORT [CRASH_MARK]. A request whose
target or prompt prefix contains CRASH_MARK crashes the runner when it begins to run it.
Events are written
to standard output as JSON lines; their time is the machine's monotonic clock.

A service whose name begins with "engine-" is one of model runners: it answers with a
stream of events that has no length and ends with its connection.
"""

import asyncio
import json
import os
import signal
import sys
import time

INSTANCE, SERVICE, HOST, PORT, ZONE, STORE_HOST, STORE_PORT = sys.argv[1:8]
CRASH_MARK = sys.argv[8] if len(sys.argv) > 8 else ""
HEARTBEAT_S = 1.2
ENGINE = SERVICE.startswith("engine-")
SLOTS = 64 if ENGINE else 6
QUEUE = 24
EVENTS = int(os.environ.get("EVENTS", "64"))
EVENT_INTERVAL_S = 0.06
WORK_S = float(os.environ.get("WORK_S", "0.02"))
BORN = int(time.time() * 1000)


def report(event, **fields):
    line = {"event": event, "at": time.monotonic(), "server": INSTANCE, **fields}
    print(json.dumps({**line, "service": SERVICE, "born": BORN}), flush=True)


class Runner:
    def __init__(self):
        self.state = "ready"
        self.sequence = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.present = 0

    async def beat(self):
        while True:
            self.sequence += 1
            spec = {
                "service": SERVICE,
                "address": f"{HOST}:{PORT}",
                "zone": ZONE,
                "version": "v1",
                "slots": SLOTS,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": BORN,
            }
            data = json.dumps({"metadata": {"name": INSTANCE}, "spec": spec}).encode()
            try:
                reader, writer = await asyncio.open_connection(
                    STORE_HOST, int(STORE_PORT)
                )
                writer.write(
                    b"PUT /v1/objects/servers/%b HTTP/1.1\r\nHost: store\r\n"
                    b"Content-Length: %d\r\n\r\n%b"
                    % (INSTANCE.encode(), len(data), data)
                )
                await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.rstrip("\r\n").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("x-medlarridge-request-id", "")
        extra = [f"X-Medlarridge-Request-Id: {request_id}"] if request_id else []
        if target == "/healthz":
            extra.append(f"X-Medlarridge-Instance-Id: {INSTANCE}")
            return await self.answer(writer, 200, extra, b"")
        if ENGINE and target == "/v1/report":
            state = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
            state |= {"busy": False, "sequence": 0, "numWaiting": 0, "born": BORN}
            state |= {"numRunning": self.present, "kvUsed": 0, "kvTotal": 90000, "handles": 0}
            return await self.answer(writer, 200, [], json.dumps(state).encode())
        if ENGINE and target == "/v1/kv-list":
            return await self.answer(writer, 200, [], b'{"epoch": 1, "next": 1, "held": []}')
        if not request_id:
            extra.append("X-Medlarridge-Not-Executed: 1")
            return await self.answer(writer, 400, extra, b"")
        expected = headers.get("x-medlarridge-expected-instance", INSTANCE)
        if expected != INSTANCE:
            report("rejected", id=request_id, status=421)
            return await self.answer(writer, 421, extra, b"")
        if self.present >= SLOTS + QUEUE:
            report("rejected", id=request_id, status=503)
            extra.append("X-Medlarridge-Not-Executed: 1")
            return await self.answer(writer, 503, extra, b"")
        self.present += 1
        try:
            async with self.slots:
                report(
                    "run",
                    id=request_id,
                    method=method,
                    target=target,
                    tenant=headers.get("x-medlarridge-tenant"),
                    key="authorization" in headers,
                    body_bytes=len(body),
                )
                marked = target + headers.get("x-medlarridge-prompt-prefix", "")
                if CRASH_MARK and CRASH_MARK in marked:
                    report("crash", id=request_id)
                    os._exit(70)
                if ENGINE:
                    return await self.stream(writer, request_id, headers, extra)
                await asyncio.sleep(WORK_S)
        finally:
            self.present -= 1
        extra.append(f"X-Medlarridge-Response-Signature: sig.{INSTANCE}.{request_id}")
        return await self.answer(writer, 200, extra, b"answer to " + request_id.encode())

    async def stream(self, writer, request_id, headers, extra):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *extra]
        lines.append(f"X-Medlarridge-Response-Signature: sig.{INSTANCE}.{request_id}")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        after = int(headers.get("last-event-id", "0"))
        for number in range(after + 1, EVENTS + 1):
            writer.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        report("streamed", id=request_id)
        return False

    async def answer(self, writer, status, extra, body):
        lines = [f"HTTP/1.1 {status} X", *extra, f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)
        await writer.drain()
        return True


async def main():
    runner = Runner()
    # The time, on the monotonic clock, from which the runner is back after a crash.
    await asyncio.sleep(max(float(os.environ.get("LISTEN_AT", "0")) - time.monotonic(), 0))
    await asyncio.start_server(runner.serve, HOST, int(PORT))
    report("up")
    await runner.beat()


signal.signal(signal.SIGTERM, signal.SIG_DFL)
asyncio.run(main())

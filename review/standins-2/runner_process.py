"""A runner of a plain service, as a process of its own, that can be killed.

Arguments: host, port, id, slots, queue. Its answers have no length and end with their
connection. Half of the body is sent when the work begins, the rest when it ends.
"""

import asyncio
import sys

from platform_standins import (
    INSTANCE,
    REQUEST_ID,
    SIGNATURE,
    answer_text,
    format_message,
    read_message,
)

WORK_S = 0.3
HOST, PORT, ID, SLOTS, QUEUE = (
    sys.argv[1],
    int(sys.argv[2]),
    sys.argv[3],
    int(sys.argv[4]),
    int(sys.argv[5]),
)


class Runner:
    def __init__(self) -> None:
        self.slot = asyncio.Semaphore(SLOTS)
        self.requests = 0

    async def serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.answer(request, writer):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer) -> bool:
        request_id = request.headers.get(REQUEST_ID.lower(), "")
        refusal = {
            REQUEST_ID: request_id,
            "X-Medlarridge-Not-Executed": "1",
            "Content-Length": "0",
        }
        if request.headers.get(INSTANCE.lower(), ID) != ID:
            writer.write(format_message("HTTP/1.1 421 Misdirected Request", refusal))
            return True
        if self.requests >= SLOTS + QUEUE:
            writer.write(format_message("HTTP/1.1 503 Service Unavailable", refusal))
            return True
        self.requests += 1
        try:
            async with self.slot:
                print(request_id, flush=True)
                body = answer_text(request_id)
                half = len(body) // 2
                headers = {REQUEST_ID: request_id, SIGNATURE: f"sig.{ID}.{request_id}"}
                writer.write(format_message("HTTP/1.1 200 OK", headers, body[:half]))
                await writer.drain()
                await asyncio.sleep(WORK_S)
                writer.write(body[half:])
                await writer.drain()
        finally:
            self.requests -= 1
        return False


async def main() -> None:
    server = await asyncio.start_server(Runner().serve, HOST, PORT)
    print("up", flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())

"""Stand-in of the platform's object store, as a process of its own.

Operators and engines call one address, routers another one; faults hold for the second
only. Lines of JSON on standard input set the faults.
"""

import asyncio
import json
import sys
import time
from collections import deque
from urllib.parse import parse_qs, urlsplit

from .http_peer import HttpPeer, Received, serve_connection

KEPT_EVENTS = 200
"""Changes that a watch can go back to."""
LAPSE_S = 3.6
"""Silence after which an entry of a server is removed: three heartbeats."""


class Store:
    """Objects by kind and name, with one counter of revisions."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, dict]] = {}
        self.revision = 100
        self.history: deque[tuple[int, str, dict, bool]] = deque(maxlen=KEPT_EVENTS)
        self.oldest = self.revision
        self.changed = asyncio.Event()
        self.heard: dict[str, float] = {}
        self.fault = "none"

    def write(self, kind: str, name: str, spec: dict) -> dict:
        """Create or replace an object."""
        if kind == "servers":
            self.heard[name] = time.monotonic()
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.kinds.setdefault(kind, {})[name] = item
        self.note(kind, item, deleted=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.note(kind, item, deleted=True)

    def note(self, kind: str, item: dict, deleted: bool) -> None:
        """Keep a change for the watches."""
        if len(self.history) == KEPT_EVENTS:
            self.oldest = self.history[0][0]
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop all changes, as the platform may."""
        self.history.clear()
        self.oldest = self.revision

    async def expire(self) -> None:
        """Remove the entries of servers that are silent."""
        while True:
            await asyncio.sleep(0.2)
            oldest = time.monotonic() - LAPSE_S
            for name in list(self.kinds.get("servers", {})):
                if self.heard.get(name, 0) < oldest:
                    self.remove("servers", name)

    # Calls

    async def handle_router(self, peer: HttpPeer, request: Received) -> None:
        """Answer a router, unless a fault is set."""
        fault = self.fault
        if fault == "busy":
            await peer.answer(429, [], b"{}")
        elif fault == "down":
            await peer.answer(503, [], b"{}")
        elif fault == "reset":
            peer.abort()
        elif fault == "lost":
            await self.respond(request)
            peer.abort()
        else:
            if fault == "slow":
                await asyncio.sleep(0.4)
            await self.handle(peer, request)

    async def handle(self, peer: HttpPeer, request: Received) -> None:
        """Answer a call."""
        status, body = await self.respond(request)
        await peer.answer(status, [], json.dumps(body).encode())

    async def respond(self, request: Received) -> tuple[int, dict]:
        """Return status and body."""
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        objects = self.kinds.get(kind, {})
        if request.method == b"GET" and "watch" in query:
            return await self.watch(kind, query)
        if request.method == b"GET" and not name:
            return 200, {"items": list(objects.values()), "asOf": self.revision}
        if request.method == b"GET":
            return (200, objects[name]) if name in objects else (404, {})
        if request.method == b"DELETE":
            self.remove(kind, name)
            return 200, {}
        item = json.loads(request.body)
        if request.method == b"POST":
            name = item["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
        return 200, self.write(kind, name, item["spec"])

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict]:
        """Wait for changes after a revision."""
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if since < self.oldest:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, changed, item, deleted in self.history
                if changed == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def obey(self) -> None:
        """Follow the lines on standard input."""
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            order = json.loads(line)
            self.fault = order.get("fault", self.fault)
            if order.get("forget"):
                self.forget_history()
            if order.get("lapse"):
                for name in list(self.kinds.get("servers", {})):
                    self.remove("servers", name)


async def main(host: str, router_port: str, operator_port: str) -> None:
    """Serve until standard input ends."""
    store = Store()
    for port, handle in (
        (router_port, store.handle_router),
        (operator_port, store.handle),
    ):
        await asyncio.start_server(
            lambda reader, writer, handle=handle: serve_connection(
                reader, writer, handle
            ),
            host,
            int(port),
        )
    expiry = asyncio.create_task(store.expire())
    print(json.dumps({"event": "up"}), flush=True)
    await store.obey()
    expiry.cancel()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

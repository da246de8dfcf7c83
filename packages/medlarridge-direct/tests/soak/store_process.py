"""Stand-in for the platform's object store, run as a separate process.

Routers use one port, operators and servers another; faults affect only the routers'
port, but for drills, which affect both. JSON lines on standard input set the faults.
"""

import asyncio
import json
import sys
import time
from collections import deque
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from .http_connection import HttpConnection, ReceivedRequest, serve_connection

MAX_HISTORY = 200
"""Number of recent changes that a watch can return."""
SERVER_EXPIRY_S = 3.6
"""A server's entry is removed after three missed heartbeats."""
CHECK_INTERVAL_S = 0.2
"""Interval at which entries expire and copies of the content are kept."""
MAX_COPIES = 50
"""Number of copies that are kept, enough for the oldest one that a drill uses."""


@dataclass(frozen=True, slots=True)
class Copy:
    """Content of the store at one time."""

    taken_s: float
    revision: int
    objects_by_kind: dict[str, dict[str, dict]]


class Store:
    """Objects by kind and name, with one revision counter for all."""

    def __init__(self) -> None:
        self.objects_by_kind: dict[str, dict[str, dict]] = {}
        self.revision = 100
        self.history: deque[tuple[int, str, dict, bool]] = deque(maxlen=MAX_HISTORY)
        self.oldest_revision = self.revision
        self.changed = asyncio.Event()
        self.last_write_s: dict[str, float] = {}
        self.fault = "none"
        self.era = 1
        self.away_until_s = 0.0
        self.copies: deque[Copy] = deque(maxlen=MAX_COPIES)

    def keep_copy(self) -> None:
        """Keep a copy of the content, from which a drill may bring the store back."""
        objects = {kind: dict(each) for kind, each in self.objects_by_kind.items()}
        self.copies.append(Copy(time.monotonic(), self.revision, objects))

    def begin_drill(self, copy_age_s: float, away_s: float) -> None:
        """Go away for a moment and come back with an older copy."""
        now_s = time.monotonic()
        while len(self.copies) > 1 and self.copies[-1].taken_s > now_s - copy_age_s:
            self.copies.pop()
        copy = self.copies[-1]
        self.era += 1
        self.away_until_s = now_s + away_s
        self.revision = copy.revision
        self.objects_by_kind = {
            kind: dict(each) for kind, each in copy.objects_by_kind.items()
        }
        kept = [each for each in self.history if each[0] <= copy.revision]
        self.history = deque(kept, maxlen=MAX_HISTORY)
        self.oldest_revision = min(self.oldest_revision, copy.revision)
        for name in self.objects_by_kind.get("servers", {}):
            self.last_write_s[name] = self.away_until_s
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, kind: str, name: str, spec: dict) -> dict:
        """Create or replace an object."""
        if kind == "servers":
            self.last_write_s[name] = time.monotonic()
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects_by_kind.setdefault(kind, {})[name] = item
        self.record_change(kind, item, deleted=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects_by_kind.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.record_change(kind, item, deleted=True)

    def record_change(self, kind: str, item: dict, deleted: bool) -> None:
        """Add a change to the history and wake the watches."""
        if len(self.history) == MAX_HISTORY:
            self.oldest_revision = self.history[0][0]
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def clear_history(self) -> None:
        """Drop the history; the platform's store may do so at any time."""
        self.history.clear()
        self.oldest_revision = self.revision

    async def remove_expired_servers(self) -> None:
        """Remove the entries of servers that no longer send heartbeats."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.keep_copy()
            expired_before = time.monotonic() - SERVER_EXPIRY_S
            for name in list(self.objects_by_kind.get("servers", {})):
                if self.last_write_s.get(name, 0) < expired_before:
                    self.remove("servers", name)

    # Calls

    async def handle_router(
        self, connection: HttpConnection, request: ReceivedRequest
    ) -> None:
        """Respond to a router, subject to the current fault."""
        fault = self.fault
        if fault == "busy":
            await connection.respond(429, [], b"{}")
        elif fault == "down":
            await connection.respond(503, [], b"{}")
        elif fault == "reset":
            connection.abort()
        elif fault == "lost":
            # The call takes effect, but its response is lost.
            await self.process_call(request)
            connection.abort()
        else:
            if fault == "slow":
                await asyncio.sleep(0.4)
            await self.handle(connection, request)

    async def handle(
        self, connection: HttpConnection, request: ReceivedRequest
    ) -> None:
        """Respond to a call without faults."""
        era = self.era
        if time.monotonic() < self.away_until_s:
            connection.abort()
            return
        status, body = await self.process_call(request)
        if era != self.era:
            # The call was made before the drill, and its connection ended with that.
            connection.abort()
            return
        headers = [(b"Store-Era", b"%d" % era)]
        await connection.respond(status, headers, json.dumps(body).encode())

    async def process_call(self, request: ReceivedRequest) -> tuple[int, dict]:
        """Perform a call; return the status and body of its response."""
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        objects = self.objects_by_kind.get(kind, {})
        if request.method == b"GET" and "watch" in query:
            return await self.watch(kind, query)
        if request.method == b"GET" and not name:
            return 200, {"items": list(objects.values()), "asOf": self.revision}
        if request.method == b"GET":
            return (200, objects[name]) if name in objects else (404, {})
        if request.method == b"DELETE":
            present = objects.get(name, {}).get("metadata", {}).get("revision")
            if present is not None and query.get("revision", str(present)) != str(
                present
            ):
                return 409, objects[name]
            self.remove(kind, name)
            return 200, {}
        item = json.loads(request.body)
        if request.method == b"POST":
            name = item["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
        elif (revision := item.get("metadata", {}).get("revision")) is not None:
            if name not in objects:
                return 404, {}
            if objects[name]["metadata"]["revision"] != revision:
                return 409, objects[name]
        return 200, self.write(kind, name, item["spec"])

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict]:
        """Wait for changes after a revision; return status and body."""
        after_revision = int(query["watch"])
        end_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if after_revision < self.oldest_revision:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, changed_kind, item, deleted in self.history
                if changed_kind == kind and revision > after_revision
            ]
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def read_commands(self) -> None:
        """Apply the faults read from standard input until it ends."""
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            command = json.loads(line)
            self.fault = command.get("fault", self.fault)
            if "copy_age_s" in command:
                self.begin_drill(command["copy_age_s"], command["away_s"])
            if command.get("forget"):
                self.clear_history()
            if command.get("lapse"):
                for name in list(self.objects_by_kind.get("servers", {})):
                    self.remove("servers", name)


async def main(host: str, router_port: str, operator_port: str) -> None:
    """Serve until standard input ends."""
    store = Store()
    store.keep_copy()
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
    expiry = asyncio.create_task(store.remove_expired_servers())
    print(json.dumps({"event": "up"}), flush=True)
    await store.read_commands()
    expiry.cancel()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

"""Stand-in for the platform's store, as PROTOCOL.md describes it, run as a process.

Arguments: HOST PORT. Operator, servers and routers use the same port. Entries of kind
``servers`` are removed after three heartbeat intervals of silence.
"""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, unquote, urlsplit

HEARTBEAT_S = 1.2
MAX_HISTORY = 2_000
HISTORY_S = 20.0


class Store:
    """Objects by kind and name, with one revision counter."""

    def __init__(self) -> None:
        self.kinds = {}
        self.revision = 100
        self.history = []
        self.oldest = 100
        self.beats = {}
        self.changed = asyncio.Event()

    def record(self, kind, item, deleted):
        self.history.append((time.monotonic(), self.revision, kind, item, deleted))
        while self.history and (
            len(self.history) > MAX_HISTORY
            or self.history[0][0] < time.monotonic() - HISTORY_S
        ):
            self.oldest = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        if kind == "servers":
            self.beats[name] = time.monotonic()
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        objects[name] = item
        self.record(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.record(kind, item, True)
        return item

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            oldest = time.monotonic() - 3 * HEARTBEAT_S
            for name in list(self.kinds.get("servers", {})):
                if self.beats.get(name, 0) < oldest:
                    self.remove("servers", name)

    async def call(self, method, target, body):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        name = unquote(name)
        objects = self.kinds.get(kind, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, query)
        if method == "GET" and not name:
            return 200, {
                "items": list(objects.values()),
                "hasMore": False,
                "asOf": self.revision,
            }
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        item = json.loads(body) if body else {}
        revision = item.get("metadata", {}).get("revision", query.get("revision"))
        if method == "POST":
            name = item["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.write(kind, name, item["spec"])
        # The stand-in lets operator and servers create objects by PUT.
        if name not in objects and (method == "DELETE" or kind not in ("servers", "config")):
            return 404, {}
        if revision is not None and name in objects:
            if int(revision) != objects[name]["metadata"]["revision"]:
                return 409, objects[name]
        if method == "DELETE":
            return 200, self.remove(kind, name)
        return 200, self.write(kind, name, item["spec"])

    async def watch(self, kind, query):
        after = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            events = [
                {"deleted": deleted, "object": item}
                for _, revision, each, item, deleted in self.history
                if each == kind and revision > after
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                length = 0
                for line in lines[1:]:
                    key, _, value = line.partition(":")
                    if key.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                status, result = await self.call(method, target, body)
                data = json.dumps(result).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def main():
    store = Store()
    await asyncio.start_server(store.serve, sys.argv[1], int(sys.argv[2]))
    print(json.dumps({"event": "up"}), flush=True)
    await store.expire()


asyncio.run(main())

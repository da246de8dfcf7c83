"""A router process on loopback sockets whose stop takes little real time."""

import asyncio
import contextlib
import os
import signal
import socket
from random import Random

from medlarridge import SystemClock, TransportError
from medlarridge_direct._internal import daemon
from medlarridge_direct._internal.coordination.stop_schedule import (
    BALANCER_REMOVAL_MS,
    STOP_MARGIN_MS,
)
from medlarridge_direct._internal.settings import load_settings

from .samples import configuration, listing, route, server
from .scripted import FakeDialect, ScriptedConnections

GRACE_MS = 8_000
WORK_MS = GRACE_MS - STOP_MARGIN_MS

SETTINGS = """
node = "node"
role = "router"
ip = "127.0.0.1"
data_centre = "anfa"
first_start = true
[listen]
clients = "127.0.0.1:%d"
readiness = "127.0.0.1:%d"
peer_port = %d
metrics_port = %d
[store]
address = "127.0.0.1:9"
[stop]
grace_s = 8.0
"""


LISTENING_PORTS = range(20_000, 32_000)
"""Ports below those that the operating system gives to outgoing connections."""


class ShiftedClock(SystemClock):
    """The clock of the system, moved on by a test."""

    offset_ms = 0

    def now_ms(self):
        return super().now_ms() + self.offset_ms


class UnreachableStore:
    """A store of which every call fails."""

    def __getattr__(self, name):
        async def fail(*_, **__):
            raise TransportError("down", step=name)

        return fail


class HangingConnections(ScriptedConnections):
    """Scripted connections; one without a script never opens."""

    async def acquire(self, server, limit):
        if self.scripts[server.instance][0] is None:
            await asyncio.Event().wait()
        return await super().acquire(server, limit)


def free_ports(count):
    """Return ports at which nobody listens, and which no outgoing connection is given."""
    ports = []
    for port in Random().sample(LISTENING_PORTS, len(LISTENING_PORTS)):
        with contextlib.suppress(OSError):
            socket.create_server(("127.0.0.1", port)).close()
            ports.append(port)
        if len(ports) == count:
            break
    return ports


class StoppingRouter:
    """Runs a router with one server, whose ``script`` it answers every request by."""

    def __init__(self, tmp_path, monkeypatch, script=None, route_kind=None, **changes):
        self.clock = ShiftedClock()
        monkeypatch.setattr(daemon, "SystemClock", lambda: self.clock)
        self.ports = free_ports(4)
        path = tmp_path / "router.toml"
        path.write_text(SETTINGS % tuple(self.ports))
        self.router = daemon.DirectRouter(
            load_settings(path), path, FakeDialect(), UnreachableStore()
        )
        components = self.router.components
        components.connections = HangingConnections({"a": [script] * 9})
        kinds = {} if route_kind is None else {"kind": route_kind}
        now_ms = self.clock.now_ms()
        if script != "unconfigured":
            components.configuration.apply_if_newer(
                configuration(route(**kinds, **{"timeout_ms": 60_000} | changes)),
                now_ms,
            )
        components.servers.update(listing(server("a")), now_ms)

    async def start(self):
        self.task = asyncio.create_task(self.router.run())
        for _ in range(200):
            await asyncio.sleep(0.01)
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.ports[0])
            except OSError:
                if self.task.done():
                    self.task.result()
                continue
            writer.close()
            return

    def stop(self):
        os.kill(os.getpid(), signal.SIGTERM)

    async def pass_balancer_removal(self):
        """Let the time pass in which the balancer removes the router."""
        await asyncio.sleep(0.02)
        self.clock.offset_ms += BALANCER_REMOVAL_MS

    async def end(self):
        """Move on to the end of the work; end what is left as an event loop does."""
        schedule = self.router.stop_schedule
        self.clock.offset_ms += schedule.work_ends_ms - self.clock.now_ms()
        await asyncio.wait_for(self.task, 5)
        for connection in list(self.router.connections):
            if connection.task is None:
                connection.abort()
            else:
                connection.task.cancel()

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.ports[0])

    async def request(self, *headers):
        """Send one request; return all bytes that come until the connection ends."""
        reader, writer = await self.connect()
        self.send(writer, *headers)
        return await read_all(reader)

    def send(self, writer, *headers):
        lines = [
            b"POST /plan/1 HTTP/1.1",
            b"id: 1",
            b"host: desk.example",
            b"key: key-1",
        ]
        lines += [*headers, b"content-length: 0", b"", b""]
        writer.write(b"\r\n".join(lines))


async def read_all(reader):
    received = b""
    try:
        while data := await asyncio.wait_for(reader.read(65_536), 10):
            received += data
    except ConnectionResetError:
        return received + b"RESET"
    return received

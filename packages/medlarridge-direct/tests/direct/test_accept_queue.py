"""Clients that connect while a router starts."""

import asyncio
import socket

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.daemon import FIRST_ACCEPT_DELAY_MS, DirectRouter
from medlarridge_direct._internal.settings import load_settings
from medlarridge_direct._internal.transport.accept_queue import (
    AcceptQueue,
    open_accept_queue,
)

from .scripted import FakeDialect
from .test_daemon import SETTINGS

pytestmark = pytest.mark.anyio

LOADING_MS = 400
GET = b"GET /a HTTP/1.1\r\nHost: desk.example\r\n\r\n"


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def queue(clock):
    queue = AcceptQueue(("127.0.0.1", 0), clock)
    queue.address = queue.socket.getsockname()
    return queue


@pytest.fixture
def router(queue, clock, tmp_path):
    path = tmp_path / "router.toml"
    host, port = queue.address
    path.write_text(SETTINGS.replace("127.0.0.1:8000", f"{host}:{port}"))
    router = DirectRouter(load_settings(path), path, FakeDialect(), None, queue)
    router.clock = clock
    return router


class RecordingHandler:
    """Handler that keeps when requests were received and answers them."""

    def __init__(self):
        self.received_ms = []

    async def handle(self, request, response):
        self.received_ms.append(request.received_ms)
        response.send(200, b"", b"")


async def exchange(address, sock=None):
    """Send one request and return the response, on an open connection or a new one."""
    if sock is None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET)
    else:
        reader, writer = await asyncio.open_connection(sock=sock)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return head


class TestAcceptQueue:
    async def test_requests_that_waited_count_from_the_opening(
        self, router, queue, clock
    ):
        """Guards against servers that get more time than the client still waits."""
        router.handler = RecordingHandler()
        opened_ms = clock.now_ms()
        waiting = socket.create_connection(queue.address)
        waiting.sendall(GET)
        clock.advance(LOADING_MS)
        server = await router.listen_for_clients()
        try:
            head = await exchange(queue.address, waiting)
            assert head.startswith(b"HTTP/1.1 200")
            clock.advance(LOADING_MS)
            queue.end_accepting()
            await exchange(queue.address)
        finally:
            server.close()
        assert router.handler.received_ms == [opened_ms, clock.now_ms()]

    async def test_the_time_in_the_queue_is_not_the_time_of_a_slow_client(
        self, router, queue, clock
    ):
        """Guards against 408 for clients that waited longer than the header timeout."""
        router.handler = RecordingHandler()
        waiting = socket.create_connection(queue.address)
        waiting.sendall(GET)
        clock.advance(router.components.configuration.limits().header_timeout_ms + 1)
        server = await router.listen_for_clients()
        try:
            head = await exchange(queue.address, waiting)
        finally:
            server.close()
        assert head.startswith(b"HTTP/1.1 200")

    async def test_only_the_first_request_of_a_connection_waited(
        self, router, queue, clock
    ):
        """Guards against later requests whose deadline is taken for over."""
        router.handler = RecordingHandler()
        waiting = socket.create_connection(queue.address)
        waiting.sendall(GET)
        clock.advance(LOADING_MS)
        server = await router.listen_for_clients()
        reader, writer = await asyncio.open_connection(sock=waiting)
        try:
            await reader.readuntil(b"\r\n\r\n")
            clock.advance(LOADING_MS)
            queue.end_accepting()
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.close()
            server.close()
        assert router.handler.received_ms[1] == clock.now_ms()

    async def test_all_that_waited_counts_however_long_the_first_turn_takes(
        self, router, queue, clock
    ):
        """Guards against the last of many queued requests, which count as new."""
        connection_times = []
        accept = queue.waiting_since_ms

        def accept_slowly():
            clock.advance(100)
            connection_times.append(accept())
            return connection_times[-1]

        queue.waiting_since_ms = accept_slowly
        router.handler = RecordingHandler()
        opened_ms = clock.now_ms()
        waiting = [socket.create_connection(queue.address) for _ in range(20)]
        server = await router.listen_for_clients()
        try:
            for sock in waiting:
                sock.sendall(GET)
            for sock in waiting:
                await exchange(queue.address, sock)
        finally:
            server.close()
        assert connection_times == [opened_ms] * len(waiting)

    async def test_the_queue_ends_by_itself(self, queue, clock, monkeypatch):
        """Guards against new requests that count as having waited."""
        timers = []
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "call_later", lambda _, call: timers.append(call))
        queue.begin_accepting(loop)
        assert queue.waiting_since_ms() == queue.opened_ms
        for call in timers:
            call()
        assert queue.waiting_since_ms() is None
        queue.close()

    async def test_a_queue_of_another_address_is_not_served(self, router, clock):
        """Guards against a router that serves at an address its settings do not name."""
        other = AcceptQueue(("127.0.0.1", 0), clock)
        router.accept_queue.close()
        router.accept_queue = other
        server = await router.listen_for_clients()
        try:
            names = [sock.getsockname() for sock in server.sockets]
            assert names == [("127.0.0.1", int(router.settings.listen.clients[10:]))]
            assert other.socket.fileno() == -1
        finally:
            server.close()

    def test_an_address_that_cannot_be_opened_is_left_to_the_router(self, clock):
        """Guards against a start that ends without a log line."""
        assert open_accept_queue("not an endpoint", clock) is None
        assert open_accept_queue("192.0.2.1:1", clock) is None


class TestFirstAccept:
    async def test_clients_wait_until_the_router_is_ready(self, router, monkeypatch):
        """Guards against refusals in the moment before the configuration arrives."""
        waits = []

        async def advance(seconds):
            waits.append(seconds)
            router.clock.advance(round(seconds * 1_000))
            if len(waits) == 7:
                monkeypatch.setattr(DirectRouter, "ready", True)

        monkeypatch.setattr(asyncio, "sleep", advance)
        await router.wait_until_ready()
        assert len(waits) == 7

    async def test_clients_wait_only_briefly(self, router, monkeypatch):
        """Guards against clients that wait for a store that does not come back."""
        started_ms = router.clock.now_ms()

        async def advance(seconds):
            router.clock.advance(round(seconds * 1_000))

        monkeypatch.setattr(asyncio, "sleep", advance)
        await router.wait_until_ready()
        assert router.clock.now_ms() == started_ms + FIRST_ACCEPT_DELAY_MS

import asyncio
import re

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.protocol.configuration import ClientLimits
from medlarridge_direct._internal.transport.client_connection import ClientConnection

from ..scripted import FakeTransport

pytestmark = pytest.mark.anyio

GET = b"GET /a HTTP/1.1\r\nHost: desk.example\r\n\r\n"
LIMITS = ClientLimits(max_header_bytes=400, max_body_bytes=100)


class Client:
    """A connection, and the requests that its handler saw."""

    def __init__(self, respond_immediately=True, stopping=False):
        self.clock = ManualClock(1_000_000)
        self.handled = []
        self.cancelled = 0
        self.respond_immediately = respond_immediately
        self.stopping = stopping
        self.connection = ClientConnection(
            self.handle, lambda: LIMITS, self.clock, set(), lambda: self.stopping
        )
        self.transport = FakeTransport(self.connection)
        self.connection.connection_made(self.transport)

    async def handle(self, request, response):
        self.handled.append(request)
        if not self.respond_immediately:
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        response.send(200, b"", b"ok")

    async def send(self, *pieces):
        for piece in pieces:
            self.connection.data_received(piece)
        for _ in range(5):
            await asyncio.sleep(0)

    @property
    def status_lines(self):
        return re.findall(rb"HTTP/1.1 (\d+) ", bytes(self.transport.written))


class TestRequests:
    async def test_a_request_is_read_whole_from_any_pieces(self):
        """Guards against requests that are lost between two packets."""
        client = Client()
        raw = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
        await client.send(*(raw[i : i + 1] for i in range(len(raw))))
        assert [request.body for request in client.handled] == [b"body"]

    async def test_pipelined_requests_are_answered_in_order(self):
        """Guards against answers that swap places."""
        client = Client()
        await client.send(GET + GET.replace(b"/a", b"/b"))
        assert [request.target for request in client.handled] == [b"/a", b"/b"]
        assert client.status_lines == [b"200", b"200"]

    @pytest.mark.parametrize(
        "headers",
        [
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 4\r\nContent-Length: 5\r\n",
            b"Transfer-Encoding: chunked, identity\r\n",
            b"Content-Length: +4\r\n",
            b"Bad Name: x\r\n",
        ],
    )
    async def test_ambiguous_framing_is_rejected(self, headers):
        """Guards against a request smuggled in the body of another."""
        client = Client()
        await client.send(
            b"POST /a HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n0\r\n\r\n" + GET
        )
        assert client.handled == []
        assert client.status_lines == [b"400"]
        assert client.transport.closed


class TestLimits:
    @pytest.mark.parametrize(
        ("raw", "status"),
        [
            (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 500 + b"\r\n\r\n", b"431"),
            (
                b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",
                b"413",
            ),
            (
                b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"80\r\n" + b"x" * 128 + b"\r\n",
                b"413",
            ),
            (b"no request\r\n\r\n", b"400"),
        ],
    )
    async def test_what_is_too_large_is_rejected(self, raw, status):
        """Guards against memory that a client can fill."""
        client = Client()
        await client.send(raw)
        assert client.status_lines == [status]
        assert client.handled == []

    async def test_an_idle_connection_is_closed_after_the_limit(self):
        """Guards against descriptors held by clients that are gone."""
        client = Client()
        client.clock.advance(LIMITS.idle_timeout_ms)
        client.connection.check_timeouts()
        assert client.transport.closed

    async def test_slow_headers_are_ended(self):
        """Guards against clients that send a byte at a time."""
        client = Client()
        await client.send(GET[:10])
        client.clock.advance(LIMITS.header_timeout_ms)
        client.connection.check_timeouts()
        assert client.status_lines == [b"408"]


class TestEnds:
    async def test_a_client_that_leaves_cancels_its_request(self):
        """Guards against work for clients that are gone."""
        client = Client(respond_immediately=False)
        await client.send(GET)
        client.connection.connection_lost(None)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert client.cancelled == 1

    async def test_a_request_whose_client_has_left_is_not_handled(self):
        """Guards against work for clients that gave up while the VM stood still."""
        client = Client()
        client.connection.data_received(GET)
        await asyncio.sleep(0)
        client.connection.eof_received()
        for _ in range(5):
            await asyncio.sleep(0)
        assert client.handled == []

    async def test_a_stopping_router_asks_clients_to_come_elsewhere(self):
        """Guards against connections that hold up a restart."""
        client = Client(stopping=True)
        await client.send(GET)
        assert b"Connection: close" in client.transport.written
        assert client.transport.closed

    async def test_a_stream_that_outlasts_the_stop_ends_its_connection(self):
        """Guards against a request taken on it just before the process ends.

        The head of the stream was sent before the stop and could not say that the
        connection would close.
        """
        client = Client()
        ended = asyncio.Event()

        async def stream(request, response):
            client.handled.append(request)
            response.begin(200, b"OK", b"", None)
            await ended.wait()
            response.end()

        client.connection.handler = stream
        await client.send(GET)
        client.stopping = True
        ended.set()
        await client.send()
        assert client.transport.closed

    async def test_requests_read_before_the_stop_are_still_served(self):
        """Guards against pipelined requests that a stop loses."""
        client = Client()
        ended = asyncio.Event()

        async def stream(request, response):
            client.handled.append(request)
            response.begin(200, b"OK", b"", None)
            await ended.wait()
            response.end()

        client.connection.handler = stream
        await client.send(GET + GET)
        client.stopping = True
        ended.set()
        await client.send()
        await client.send()
        assert len(client.handled) == 2
        assert client.transport.closed

"""A stream has begun and broken off; what the next server answers is not its rest.

Server "a" begins the stream, "b" answers with something else, and "c", in some tests,
goes on with the stream.
"""

import asyncio

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.logs import Log
from medlarridge_direct._internal.protocol.configuration import ClientLimits, RouteKind
from medlarridge_direct._internal.request_handler import RequestHandler
from medlarridge_direct._internal.request_run import MAX_BUFFERED_RESPONSE_BYTES
from medlarridge_direct._internal.transport.client_connection import ClientConnection

from .samples import configuration, listing, route, server
from .scripted import CLOSE, RESET, FakeTransport, make_components
from .test_request_run import END, STREAM, chunk, handle_request, sent_to, stream_event

pytestmark = pytest.mark.anyio

EVENT_1 = b"id: 1\ndata: x\n\n"
WHOLE = EVENT_1 + b"id: 2\ndata: x\n\n"
ERROR_TEXT = b"id: 2\ndata: wrong\n\n"
NOT_SUCCESSFUL = (301, 302, 304, 307, 400, 401, 404, 408, 421, 429, 500, 502, 503, 504)


def answer(status, headers=b"", framing="length"):
    """Return the steps of a response whose body looks like the next event."""
    head = b"HTTP/1.1 %d Reason\r\nId: 1\r\n%b" % (status, headers)
    if status == 304:
        return (head + b"\r\n",)
    if framing == "length":
        return (head + b"Content-Length: %d\r\n\r\n" % len(ERROR_TEXT) + ERROR_TEXT,)
    if framing == "chunked":
        return (head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(ERROR_TEXT) + END,)
    return (head + b"\r\n" + ERROR_TEXT, CLOSE)


SIGNED = b"Signature: s\r\n"
JSON = b"Content-Type: application/json\r\n"
FAILURES = {
    f"{status} {framing} {kind}": answer(status, headers, framing)
    for status in NOT_SUCCESSFUL
    for framing in ("length", "chunked", "close")
    for kind, headers in (("signed", SIGNED), ("not executed", b"Not-Executed: 1\r\n"))
} | {
    "200 unsigned": answer(200),
    "200 unsigned, closed": answer(200, b"", "close"),
    "200 encoded": answer(200, SIGNED + b"Content-Encoding: gzip\r\n"),
    "no status": (b"HTTP/1.1 abc Reason\r\n\r\n" + ERROR_TEXT,),
    "no response": (ERROR_TEXT,),
    "half a head": (b"HTTP/1.1 500 Reason\r\nId: 1\r\nSig", CLOSE),
    "half a head, reset": (b"HTTP/1.1 200 Reason\r\nId: 1\r\nSig", RESET),
    "interim only": (b"HTTP/1.1 100 Continue\r\n\r\n", CLOSE),
}
OTHER_CONTENT = {
    f"{framing} {name}": answer(200, SIGNED + headers, framing)
    for framing in ("length", "chunked", "close")
    for name, headers in (
        ("JSON", JSON),
        ("plain", b"Content-Type: text/plain; charset=utf-8\r\n"),
    )
} | {"no content": (b"HTTP/1.1 204 None\r\nId: 1\r\nSignature: s\r\n\r\n",)}


def in_pieces(steps):
    """Return the steps with the first one in three pieces, two of them of its head."""
    first, *rest = steps
    return [first[:9], first[9:20], first[20:], *rest]


def make_scripts(steps, third):
    scripts = {"a": [(STREAM + stream_event(1), RESET)], "b": [steps]}
    if third:
        scripts["c"] = [(STREAM + stream_event(2) + END,)]
    return scripts


def components_of(scripts):
    """Return components that prefer the servers in the order of their names."""
    components = make_components(scripts)
    for number, name in enumerate(sorted(scripts)):
        for _ in range(number):
            components.load.begin_attempt(name)
    return components


async def play(steps, third=False):
    scripts = make_scripts(steps, third)
    return await handle_request(
        scripts,
        RouteKind.STREAM,
        components=components_of(scripts),
        resumable=True,
        max_attempts=4,
    )


class WireClient:
    """A client of the router's own connection, which records what it gets."""

    def __init__(self, components):
        components.configuration.apply_if_newer(
            configuration(route(RouteKind.STREAM, resumable=True, max_attempts=4)),
            1_000_000,
        )
        handler = RequestHandler(components, Log(components.clock, "node"))
        self.connection = ClientConnection(
            handler.handle,
            lambda: ClientLimits(max_header_bytes=4_000, max_body_bytes=1_000),
            ManualClock(1_000_000),
            set(),
            lambda: False,
        )
        self.transport = FakeTransport(self.connection)
        self.connection.connection_made(self.transport)

    async def send(self, version):
        self.connection.data_received(
            b"POST /plan/1 HTTP/%b\r\nId: 1\r\nHost: desk.example\r\nKey: key-1\r\n"
            b"Content-Length: 0\r\n\r\n" % version
        )
        while self.connection.task is not None:
            await asyncio.sleep(0)
        return bytes(self.transport.written)


async def play_on_wire(steps, version):
    """Return what a client of an HTTP version gets, and whether it was cut."""
    scripts = make_scripts(steps, third=False)
    components = components_of(scripts)
    components.servers.update(
        listing(*(server(each, port=8000 + len(each)) for each in scripts)), 1_000_000
    )
    client = WireClient(components)
    received = await client.send(version)
    return received, client.transport.aborted, sent_to(components)


@pytest.mark.parametrize("split", [False, True])
@pytest.mark.parametrize("steps", FAILURES.values(), ids=FAILURES)
class TestFailures:
    async def test_the_stream_goes_on_at_another_server(self, steps, split):
        """Guards against an error's text in the middle of a stream."""
        steps = in_pieces(steps) if split else steps
        response, components = await play(steps, third=True)
        assert sent_to(components) == ["a", "b", "c"]
        assert (bytes(response.body), response.ended) == (WHOLE, True)

    async def test_the_stream_is_cut_without_another_server(self, steps, split):
        """Guards against a stream that an error ends as if it were complete."""
        response, components = await play(in_pieces(steps) if split else steps)
        assert sent_to(components) == ["a", "b"]
        assert (bytes(response.body), response.ended) == (EVENT_1, False)


@pytest.mark.parametrize("steps", FAILURES.values(), ids=FAILURES)
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
class TestFailuresOnTheWire:
    async def test_the_connection_is_cut_inside_the_response(self, steps, version):
        """Guards against bytes after the break, and against a proper end."""
        received, aborted, sent = await play_on_wire(steps, version)
        assert sent == ["a", "b"]
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert body == (EVENT_1 if version == b"1.0" else chunk(EVENT_1))
        assert aborted


@pytest.mark.parametrize("steps", OTHER_CONTENT.values(), ids=OTHER_CONTENT)
class TestOtherContent:
    async def test_the_stream_goes_on_at_another_server(self, steps):
        """Guards against a success that is no stream and ends one as complete."""
        response, components = await play(steps, third=True)
        assert sent_to(components) == ["a", "b", "c"]
        assert (bytes(response.body), response.ended) == (WHOLE, True)

    async def test_the_stream_is_cut_without_another_server(self, steps):
        """Guards against a stream that looks complete without its last events."""
        response, components = await play(steps)
        assert sent_to(components) == ["a", "b"]
        assert (bytes(response.body), response.ended) == (EVENT_1, False)


WITH_BODY = {name: each for name, each in OTHER_CONTENT.items() if "no" not in name}


class TestOtherContentAtFirst:
    @pytest.mark.parametrize("steps", WITH_BODY.values(), ids=WITH_BODY)
    async def test_it_is_delivered_as_it_is(self, steps):
        """Guards against an empty success in place of a response of another type."""
        response, _ = await handle_request(
            {"a": [steps]},
            RouteKind.STREAM,
            components=make_components({"a": [steps]}),
            resumable=True,
        )
        assert (response.status, response.ended) == (200, True)
        assert bytes(response.body) == ERROR_TEXT

    async def test_a_large_one_that_breaks_off_is_not_continued(self):
        """Guards against the rest of a stream after part of a response without events."""
        head = b"HTTP/1.1 200 OK\r\nId: 1\r\n" + SIGNED + JSON
        length = b"Content-Length: %d\r\n\r\n" % (3 * MAX_BUFFERED_RESPONSE_BYTES)
        large = b"{" * (2 * MAX_BUFFERED_RESPONSE_BYTES)
        scripts = {
            "a": [(head + length, large, RESET)],
            "b": [(STREAM + stream_event(1) + END,)],
        }
        response, components = await handle_request(
            scripts, RouteKind.STREAM, components=components_of(scripts), resumable=True
        )
        assert sent_to(components) == ["a"]
        assert not response.ended
        assert large.startswith(bytes(response.body))

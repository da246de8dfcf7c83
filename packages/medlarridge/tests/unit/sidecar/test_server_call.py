from contextlib import asynccontextmanager

import anyio
import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.attempts import AttemptRegister
from medlarridge._internal.protocol.messages import Attempt
from medlarridge_sidecar._internal.live_attempt import LiveAttempt
from medlarridge_sidecar._internal.server_call import ServerClient
from medlarridge_sidecar._internal.server_result import CallState

ATTEMPT = Attempt("r", 1, 1, "t", "p", 1, "a", "POST", "/chat", 60_000)
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
EVENT = b"data: x\n\n"
PARTIAL_EVENT = b"data: y"
END_MARKER = b"data: [DONE]\n\n"
PLAIN_BODY = b"plain text without a blank line"


@asynccontextmanager
async def serve_bytes(response):
    """Serve one fixed response to each connection and close it."""

    async def handle(stream):
        async with stream:
            await stream.receive()
            await stream.send(response)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def call_server(response):
    """Return how a call ended whose server sends the given bytes and closes."""
    stream = AttemptRegister(ManualClock()).open(ATTEMPT)
    live = LiveAttempt(ATTEMPT, AttemptRegister(ManualClock()).add(ATTEMPT), stream)
    async with serve_bytes(response) as url:
        client = ServerClient(url)
        result = await client.call(live, 60_000)
        await client.close()
    return result


def chunked(body):
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


BROKEN_STREAMS = {
    "closed": STREAM_HEAD + b"\r\n" + EVENT + PARTIAL_EVENT,
    "last chunk": STREAM_HEAD
    + b"transfer-encoding: chunked\r\n\r\n"
    + chunked(EVENT + PARTIAL_EVENT),
    "length": STREAM_HEAD + b"content-length: 16\r\n\r\n" + EVENT + PARTIAL_EVENT,
}


class TestEventStreams:
    @pytest.mark.parametrize("ending", BROKEN_STREAMS)
    async def test_stream_that_ends_inside_an_event_is_broken(self, ending):
        """Guards against a ledger that keeps half a stream as the result of a call, and
        a crash that counts as a success of the request that caused it."""
        result = await call_server(BROKEN_STREAMS[ending])
        assert result.state is CallState.BROKEN

    async def test_stream_with_its_end_marker_is_complete(self):
        """Guards against rejecting streams that end with their connection."""
        result = await call_server(STREAM_HEAD + b"\r\n" + EVENT + END_MARKER)
        assert result.state is CallState.COMPLETE

    async def test_stream_without_its_end_marker_is_broken(self):
        """Guards against a crash between two events that counts as a success."""
        result = await call_server(STREAM_HEAD + b"\r\n" + EVENT)
        assert result.state is CallState.BROKEN

    async def test_other_bodies_end_with_their_connection(self):
        """Guards against looking for events in a body of another type."""
        result = await call_server(b"HTTP/1.1 200 OK\r\n\r\n" + PLAIN_BODY)
        assert result.state is CallState.COMPLETE

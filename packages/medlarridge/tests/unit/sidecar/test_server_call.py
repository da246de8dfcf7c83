import socket
import struct
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
async def serve_bytes(response, reset=False, ends=False, holds=False):
    """Serve one fixed response to a connection, then close or reset it.

    With ``ends`` the server ends together with the connection, with ``holds`` it keeps
    the connection open.
    """

    async def serve_one():
        async with await listener.accept() as stream:
            await stream.receive()
            if ends:
                await listener.aclose()
            await stream.send(response)
            if holds:
                await anyio.sleep_forever()
            if reset:
                raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )

    multi = await anyio.create_tcp_listener(local_host="127.0.0.1")
    (listener,) = multi.listeners
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_one)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def call_server(response, attempt=ATTEMPT, deadline_ms=60_000, **ending):
    """Return how a call ended whose server sends the given bytes and closes."""
    stream = AttemptRegister(ManualClock()).open(attempt)
    live = LiveAttempt(attempt, AttemptRegister(ManualClock()).add(attempt), stream)
    async with serve_bytes(response, **ending) as url:
        client = ServerClient(url)
        result = await client.call(live, deadline_ms)
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


PLAIN_HEAD = b"HTTP/1.1 200 OK\r\n"
PLAIN_LENGTH = PLAIN_HEAD + b"content-length: %d\r\n\r\n" % len(PLAIN_BODY)
PLAIN_CHUNKED = PLAIN_HEAD + b"transfer-encoding: chunked\r\n\r\n"


class TestPlainBodies:
    @pytest.mark.parametrize(
        ("response", "ending", "state"),
        [
            (PLAIN_LENGTH + PLAIN_BODY, {}, CallState.COMPLETE),
            (PLAIN_CHUNKED + chunked(PLAIN_BODY), {}, CallState.COMPLETE),
            (PLAIN_HEAD + b"\r\n" + PLAIN_BODY, {}, CallState.COMPLETE),
            (PLAIN_LENGTH + PLAIN_BODY[:-1], {}, CallState.BROKEN),
            (PLAIN_CHUNKED + chunked(PLAIN_BODY)[:-3], {}, CallState.BROKEN),
            (PLAIN_LENGTH + PLAIN_BODY[:-1], {"reset": True}, CallState.BROKEN),
            (PLAIN_HEAD + b"\r\n" + PLAIN_BODY, {"reset": True}, CallState.BROKEN),
            (PLAIN_HEAD + b"\r\n" + PLAIN_BODY, {"ends": True}, CallState.BROKEN),
        ],
    )
    async def test_only_a_whole_body_is_complete(self, response, ending, state):
        """Guards against a ledger that keeps part of a body as the result of a call."""
        result = await call_server(response, **ending)
        assert result.state is state

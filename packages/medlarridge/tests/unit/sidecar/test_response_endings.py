"""The table of how a server's response can end, at the sidecar.

The table of the design page lists framing, content and ending for the direct router. A
reset after the last byte has no cell here: the operating system may drop what was not
read yet, so either verdict is right.
"""

import msgspec
import pytest

from medlarridge_sidecar._internal.server_result import CallState

from .test_server_call import (
    ATTEMPT,
    END_MARKER,
    EVENT,
    PLAIN_BODY,
    call_server,
    chunked,
)

INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
SURPLUS = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"
STREAM = EVENT + EVENT + END_MARKER
CONTENTS = {
    "plain": (b"content-type: text/plain\r\n", PLAIN_BODY),
    "stream": (b"content-type: text/event-stream\r\n", STREAM),
    "empty": (b"content-type: text/plain\r\n", b""),
}
FRAMINGS = ("length", "chunks", "connection")
FRAMINGS_WITH_END = ("length", "chunks")
LINE_ENDS = {"CR LF": b"\r\n", "CR": b"\r"}
SILENCE_DEADLINE_MS = 1_000
CUT_STEP = 3
"""Distance of the tested cuts; the shortest parts of the bodies are as long."""


def respond(content, framing):
    """Return the bytes of a whole response: its head and its framed body."""
    content_type, body = CONTENTS[content]
    head = b"HTTP/1.1 200 OK\r\n" + content_type
    if framing == "length":
        return head + b"content-length: %d\r\n\r\n" % len(body), body
    if framing == "chunks":
        framed = chunked(body) if body else b"0\r\n\r\n"
        return head + b"transfer-encoding: chunked\r\n\r\n", framed
    return head + b"\r\n", body


@pytest.mark.parametrize("content", CONTENTS)
@pytest.mark.parametrize("framing", FRAMINGS)
class TestWholeResponses:
    async def test_are_complete(self, content, framing):
        """Guards against rejecting a response because of its framing."""
        head, body = respond(content, framing)
        result = await call_server(head + body)
        assert result.state is CallState.COMPLETE

    async def test_are_complete_after_an_interim_response(self, content, framing):
        """Guards against taking an interim response for the final one."""
        head, body = respond(content, framing)
        result = await call_server(INTERIM + head + body)
        assert result.state is CallState.COMPLETE


@pytest.mark.parametrize("content", CONTENTS)
@pytest.mark.parametrize("framing", FRAMINGS_WITH_END)
class TestSurplusBytes:
    async def test_do_not_belong_to_the_response(self, content, framing):
        """Guards against a second response that is taken for part of the first."""
        head, body = respond(content, framing)
        result = await call_server(head + body + SURPLUS)
        assert result.state is CallState.COMPLETE


class TestCutResponses:
    @pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("content", ["plain", "stream"])
    @pytest.mark.parametrize("framing", FRAMINGS_WITH_END)
    async def test_are_broken_wherever_they_are_cut(self, content, framing, reset):
        """Guards against keeping a part of a body as the result of a call."""
        head, body = respond(content, framing)
        for cut in range(0, len(body), CUT_STEP):
            result = await call_server(head + body[:cut], reset=reset)
            assert result.state is CallState.BROKEN, cut

    @pytest.mark.parametrize("ending", [{}, {"reset": True}, {"ends": True}])
    async def test_stream_that_ends_with_its_connection_needs_its_marker(self, ending):
        """Guards against a crash inside or between events that counts as a success."""
        head, body = respond("stream", "connection")
        for cut in range(0, len(body) - len(END_MARKER) + 1, CUT_STEP):
            result = await call_server(head + body[:cut], **ending)
            assert result.state is CallState.BROKEN, cut

    async def test_head_that_is_cut_is_broken(self):
        """Guards against a status line that counts as a response."""
        head, _ = respond("plain", "length")
        for cut in range(0, len(head), CUT_STEP):
            result = await call_server(head[:cut])
            assert result.state is CallState.BROKEN, cut


class TestStreams:
    @pytest.mark.parametrize("line_end", LINE_ENDS.values(), ids=LINE_ENDS)
    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_line_ends_do_not_matter(self, framing, line_end, monkeypatch):
        """Guards against an end marker that is missed because of its line ends."""
        content_type, body = CONTENTS["stream"]
        other_body = body.replace(b"\n", line_end)
        monkeypatch.setitem(CONTENTS, "stream", (content_type, other_body))
        head, framed = respond("stream", framing)
        result = await call_server(head + framed)
        assert result.state is CallState.COMPLETE


class TestResponsesWithoutBody:
    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 304 Not Modified\r\ncontent-length: 100\r\n\r\n",
        ],
        ids=["204", "304"],
    )
    async def test_are_complete_with_their_head(self, head):
        """Guards against waiting for a body that does not come."""
        result = await call_server(head)
        assert result.state is CallState.COMPLETE

    async def test_responses_to_head_are_complete_with_their_head(self):
        """Guards against waiting for the length that a body would have."""
        attempt = msgspec.structs.replace(ATTEMPT, method="HEAD")
        head, _ = respond("plain", "length")
        result = await call_server(head, attempt=attempt)
        assert result.state is CallState.COMPLETE


class TestSilence:
    @pytest.mark.parametrize("sent", [0, 20, 60])
    async def test_ends_at_the_deadline_and_is_no_result(self, sent):
        """Guards against a call that waits for ever, or that counts as not run."""
        head, body = respond("plain", "length")
        result = await call_server(
            (head + body)[:sent], holds=True, deadline_ms=SILENCE_DEADLINE_MS
        )
        assert result.state is CallState.DEADLINE

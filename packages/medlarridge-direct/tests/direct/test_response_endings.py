"""Every way in which a server's response can end, and what the client gets.

The cases are framing by content by ending. ``expected`` is the table of docs/design.md:
whether the client gets the whole response, part of it that does not look complete, or an
error in its place.
"""

import asyncio
from enum import StrEnum

import pytest

from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.protocol.requests import Framing

from .scripted import CLOSE, RESET, make_components
from .test_request_run import RecordedResponse, chunk, handle_request

pytestmark = pytest.mark.anyio

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3)]
PLAIN = b"the whole body"
HEAD = b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class Content(StrEnum):
    PLAIN = "plain"
    STREAM = "stream"
    RESUMABLE = "resumable"


class Ending(StrEnum):
    WHOLE = "whole"
    WHOLE_AFTER_INTERIM = "whole after an interim response"
    SURPLUS = "surplus bytes after the end"
    RESET_AFTER_END = "reset after the last byte"
    CLOSE_INSIDE = "close inside the body or an event"
    CLOSE_BETWEEN = "close between events"
    CLOSE_WITH_SERVER = "close between events, as the server ended"
    RESET_INSIDE = "reset inside the body or an event"
    RESET_BETWEEN = "reset between events"
    CHUNK_CUT = "close inside a chunk"
    FRAME_ENDS_INSIDE = "framing ends inside an event"


class Result(StrEnum):
    WHOLE = "whole"
    BROKEN = "broken"


ALWAYS_WHOLE = {Ending.WHOLE, Ending.WHOLE_AFTER_INTERIM}
NOT_WITH_CLOSE = {Ending.SURPLUS, Ending.CHUNK_CUT, Ending.FRAME_ENDS_INSIDE}
STREAMS_ONLY = {Ending.CLOSE_BETWEEN, Ending.RESET_BETWEEN, Ending.FRAME_ENDS_INSIDE}


def expected(framing, content, ending):
    """Return what the response counts as, None where the case cannot occur."""
    if framing is Framing.CLOSE and ending in NOT_WITH_CLOSE:
        return None
    if framing is not Framing.CHUNKED and ending is Ending.CHUNK_CUT:
        return None
    if content is Content.PLAIN and ending in STREAMS_ONLY:
        return None
    if ending in ALWAYS_WHOLE or ending is Ending.SURPLUS:
        return Result.WHOLE
    if framing is Framing.CLOSE:
        # Only a reset, a cut event and the end of the server show that it is not whole.
        unnoticed = ending is Ending.CLOSE_BETWEEN or (
            ending is Ending.CLOSE_INSIDE and content is Content.PLAIN
        )
        return Result.WHOLE if unnoticed else Result.BROKEN
    return Result.WHOLE if ending is Ending.RESET_AFTER_END else Result.BROKEN


def parts_of(content, ending):
    """Return the parts of the body that the server sends."""
    whole = [PLAIN[:5], PLAIN[5:]] if content is Content.PLAIN else EVENTS
    inside = {
        Ending.CLOSE_INSIDE,
        Ending.RESET_INSIDE,
        Ending.CHUNK_CUT,
        Ending.FRAME_ENDS_INSIDE,
    }
    between = {Ending.CLOSE_BETWEEN, Ending.RESET_BETWEEN, Ending.CLOSE_WITH_SERVER}
    if ending in inside:
        return [whole[0], whole[1][:4]]
    if ending in between:
        return whole[:1] if content is Content.PLAIN else whole[:2]
    return whole


def script_of(framing, content, ending):
    """Return the steps of a server that sends a response with this ending."""
    parts = parts_of(content, ending)
    whole = PLAIN if content is Content.PLAIN else b"".join(EVENTS)
    head, end = HEAD, b""
    if framing is Framing.LENGTH:
        sent = b"".join(parts)
        length = len(sent) if ending is Ending.FRAME_ENDS_INSIDE else len(whole)
        head += b"Content-Length: %d\r\n" % length
    elif framing is Framing.CHUNKED:
        head += b"Transfer-Encoding: chunked\r\n"
        parts = [chunk(part) for part in parts]
        end = b"0\r\n\r\n"
        if ending is Ending.CHUNK_CUT:
            parts[-1] = parts[-1][:-4]
    steps = [head + b"\r\n", *parts]
    if ending is Ending.WHOLE_AFTER_INTERIM:
        steps.insert(0, INTERIM)
    if ending in (*ALWAYS_WHOLE, Ending.SURPLUS, Ending.FRAME_ENDS_INSIDE):
        steps.append(end)
    if ending is Ending.SURPLUS:
        steps.append(HEAD + b"Content-Length: 5\r\n\r\nstray")
    if ending is Ending.RESET_AFTER_END:
        return [*steps, end, RESET]
    resets = ending in (Ending.RESET_INSIDE, Ending.RESET_BETWEEN)
    framed_whole = framing is not Framing.CLOSE and ending in ALWAYS_WHOLE
    return steps if framed_whole else [*steps, RESET if resets else CLOSE]


CASES = [
    (framing, content, ending)
    for framing in (Framing.LENGTH, Framing.CHUNKED, Framing.CLOSE)
    for content in Content
    for ending in Ending
    if expected(framing, content, ending) is not None
]


async def play(framing, content, ending, split=None, third=False, **changes):
    """Send a request whose first server answers as scripted; return the outcome.

    There is another server, or two with ``third``, the last one with more to do.
    """
    script = script_of(framing, content, ending)
    if split is not None:
        script = [piece for step in script for piece in split_step(step, split)]
    rest = b"".join(chunk(event) for event in EVENTS) + b"0\r\n\r\n"
    second = (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + rest,)
    scripts = {"a": [script], "b": [second]}
    if third:
        scripts["c"] = [second]
    components = make_components(scripts)
    components.load.begin_attempt("b")
    for _ in range(2 * third):
        components.load.begin_attempt("c")
    if ending is Ending.CLOSE_WITH_SERVER:
        components.connections.refusing.add("a")
    response, _ = await handle_request(
        scripts,
        RouteKind.AT_MOST_ONCE if content is Content.PLAIN else RouteKind.STREAM,
        components=components,
        resumable=content is Content.RESUMABLE,
        **changes,
    )
    return response, components


def split_step(step, size):
    if not isinstance(step, bytes):
        return [step]
    return [step[start : start + size] for start in range(0, len(step), size)]


class SlowResponse(RecordedResponse):
    """Response to a client that reads slowly, so that the server is done first."""

    async def write(self, data):
        for _ in range(10):
            await asyncio.sleep(0)
        await super().write(data)


class TestEndings:
    @pytest.mark.parametrize(("framing", "content", "ending"), CASES)
    async def test_a_slow_client_gets_the_same(self, framing, content, ending):
        """Guards against an end of the connection that overtakes the body before it."""
        fast, _ = await play(framing, content, ending)
        slow, _ = await play(framing, content, ending, response=SlowResponse())
        assert bytes(slow.body) == bytes(fast.body)
        assert (slow.status, slow.ended) == (fast.status, fast.ended)

    @pytest.mark.parametrize("split", [None, 1, 3])
    @pytest.mark.parametrize(("framing", "content", "ending"), CASES)
    async def test_only_a_whole_response_looks_complete(
        self, framing, content, ending, split
    ):
        """Guards against part of a response that the client takes for all of it."""
        response, components = await play(framing, content, ending, split)
        whole = PLAIN if content is Content.PLAIN else b"".join(EVENTS)
        result = expected(framing, content, ending)
        attempts = len(components.connections.sent)
        if result is Result.WHOLE:
            assert response.ended
            assert attempts == 1
            assert whole.startswith(bytes(response.body))
            if ending not in (Ending.CLOSE_BETWEEN, Ending.CLOSE_INSIDE):
                assert bytes(response.body) == whole
        elif content is Content.RESUMABLE:
            assert response.ended
            assert attempts == 2
            assert bytes(response.body) == whole
        elif content is Content.PLAIN:
            assert (response.status, response.ended, attempts) == (502, True, 1)
        else:
            assert response.started
            assert not response.ended
            assert response.content_length is None
            assert attempts == 1
        counted = "complete" if result is Result.WHOLE else "broken"
        assert components.metrics.responses[framing, counted] == 1

    @pytest.mark.parametrize(
        "ending", [Ending.SURPLUS, Ending.RESET_AFTER_END, Ending.CLOSE_BETWEEN]
    )
    async def test_a_connection_with_such_an_end_is_not_reused(self, ending):
        """Guards against bytes of one response in front of the next."""
        framing = Framing.CLOSE if ending is Ending.CLOSE_BETWEEN else Framing.LENGTH
        _, components = await play(framing, Content.STREAM, ending)
        assert components.connections.released == [("a", False)]

    async def test_another_transfer_coding_ends_with_the_connection(self):
        """Guards against whole responses that count as broken."""
        head = HEAD + b"Transfer-Encoding: identity\r\n\r\n"
        components = make_components({"a": [(head + PLAIN, CLOSE)]})
        response, _ = await handle_request(
            {"a": 0}, RouteKind.AT_MOST_ONCE, components=components
        )
        assert (response.status, bytes(response.body)) == (200, PLAIN)
        assert components.metrics.responses[Framing.CLOSE, "complete"] == 1


BROKEN_RESUMABLE = [
    case
    for case in CASES
    if case[1] is Content.RESUMABLE and expected(*case) is Result.BROKEN
]


class TestEndingsBesideAnotherVersion:
    @pytest.mark.parametrize("split", [None, 1, 3])
    @pytest.mark.parametrize(("framing", "content", "ending"), BROKEN_RESUMABLE)
    async def test_the_stream_goes_on_at_its_version(
        self, framing, content, ending, split
    ):
        """Guards against a break after which another version writes the rest."""
        versions = {"a": "v1", "b": "v2", "c": "v1"}
        response, components = await play(
            framing, content, ending, split, third=True, versions=versions
        )
        assert [instance for instance, _ in components.connections.sent] == ["a", "c"]
        assert response.ended
        assert bytes(response.body) == b"".join(EVENTS)

    @pytest.mark.parametrize("split", [None, 1, 3])
    @pytest.mark.parametrize(("framing", "content", "ending"), BROKEN_RESUMABLE)
    async def test_the_response_is_cut_where_only_another_version_is_left(
        self, framing, content, ending, split
    ):
        """Guards against an end that looks whole after a break that nobody continues."""
        versions = {"a": "v1", "b": "v2"}
        response, components = await play(
            framing, content, ending, split, versions=versions
        )
        assert [instance for instance, _ in components.connections.sent] == ["a"]
        assert response.started
        assert not response.ended
        assert b"".join(EVENTS).startswith(bytes(response.body))


def empty_response(framing):
    head = HEAD
    if framing is Framing.LENGTH:
        return [head + b"Content-Length: 0\r\n\r\n"]
    if framing is Framing.CHUNKED:
        return [head + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"]
    return [head + b"\r\n", CLOSE]


class TestLineEnds:
    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
    @pytest.mark.parametrize("rest", [b"", b": the last comment"])
    @pytest.mark.parametrize("split", [None, 1, 2, 3])
    async def test_a_resumable_stream_keeps_all_bytes(self, line_end, rest, split):
        """Guards against a whole stream that lacks the last bytes its server sent."""
        whole = b"".join(EVENTS).replace(b"\n", line_end) + rest + line_end
        steps = [HEAD + b"Content-Length: %d\r\n\r\n" % len(whole), whole]
        if split is not None:
            steps = [piece for step in steps for piece in split_step(step, split)]
        components = make_components({"a": [steps]})
        response, _ = await handle_request(
            {"a": 0}, RouteKind.STREAM, components=components, resumable=True
        )
        assert bytes(response.body) == whole
        assert response.ended


class TestEmptyResponses:
    @pytest.mark.parametrize(
        "framing", [Framing.LENGTH, Framing.CHUNKED, Framing.CLOSE]
    )
    @pytest.mark.parametrize("kind", [RouteKind.AT_MOST_ONCE, RouteKind.STREAM])
    async def test_only_an_unframed_stream_needs_an_event(self, framing, kind):
        """Guards against errors for empty bodies, and against an empty stream in place
        of one whose server crashed before its first event."""
        components = make_components({"a": [empty_response(framing)]})
        response, _ = await handle_request(
            {"a": 0}, kind, components=components, resumable=False
        )
        broken = framing is Framing.CLOSE and kind is RouteKind.STREAM
        assert response.status == (502 if broken else 200)
        assert response.ended

    async def test_a_response_without_a_body_needs_no_framing(self):
        """Guards against waiting for the body of a 204."""
        head = b"HTTP/1.1 204 No Content\r\nId: 1\r\nSignature: s\r\n\r\n"
        components = make_components({"a": [(head,)]})
        response, _ = await handle_request(
            {"a": 0}, RouteKind.AT_MOST_ONCE, components=components
        )
        assert (response.status, response.ended) == (204, True)
        assert components.metrics.responses[Framing.NO_BODY, "complete"] == 1

    @pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.STREAM])
    async def test_a_response_to_head_keeps_its_length(self, kind):
        """Guards against a length of 0 in place of that of the body."""
        head = HEAD + b"Content-Length: 1234\r\n\r\n"
        components = make_components({"a": [(head,)]})
        response, _ = await handle_request(
            {"a": 0}, kind, components=components, method=b"HEAD", resumable=True
        )
        assert (response.status, response.ended) == (200, True)
        assert response.content_length == 1234
        assert components.metrics.responses[Framing.NO_BODY, "complete"] == 1


class TestSilence:
    @pytest.mark.parametrize(
        "framing", [Framing.LENGTH, Framing.CHUNKED, Framing.CLOSE]
    )
    @pytest.mark.parametrize("content", [Content.PLAIN, Content.STREAM])
    async def test_a_response_that_stops_is_broken_at_the_deadline(
        self, framing, content
    ):
        """Guards against part of a response that ends as complete at the deadline."""
        script = script_of(framing, content, Ending.CLOSE_INSIDE)[:-1]
        components = make_components({"a": [script]})
        response, _ = await handle_request(
            {"a": 0},
            RouteKind.AT_MOST_ONCE if content is Content.PLAIN else RouteKind.STREAM,
            headers=[(b"deadline", b"60")],
            components=components,
            resumable=False,
        )
        if content is Content.PLAIN:
            assert response.status in (502, 504)
        else:
            assert response.started
            assert not response.ended
        assert components.metrics.responses[framing, "broken"] == 1

"""Responses that a server cuts at any byte, most of all inside the head."""

import pytest

from medlarridge_direct._internal.protocol.configuration import RouteKind

from .scripted import CLOSE, RESET, make_components
from .test_request_run import chunk, handle_request

pytestmark = pytest.mark.anyio

START = b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n"
EVENT = b"id: 1\ndata: x\n\n"
BODY = b"the whole body"
INTERIMS = {
    "": b"",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "after 103 twice": 2 * b"HTTP/1.1 103 Early Hints\r\nLink: x\r\nId: 1\r\n\r\n",
}


def framed(body):
    """Return the whole responses with a body, by their framing."""
    return {
        "length": START + b"Content-Length: %d\r\n\r\n" % len(body) + body,
        "length first": (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nId: 1\r\nSignature: s\r\n\r\n%b"
            % (len(body), body)
        ),
        "chunks": (
            START
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunk(body[:5])
            + chunk(body[5:])
            + b"0\r\nTrailer: x\r\n\r\n"
        ),
        "none": START + b"\r\n" + body,
    }


NO_CONTENT = b"HTTP/1.1 204 No Content\r\nId: 1\r\nSignature: s\r\n\r\n"
CASES = {
    (kind, framing, interim): (kind, b"POST", INTERIMS[interim] + data)
    for kind, body in ((RouteKind.IDEMPOTENT, BODY), (RouteKind.STREAM, EVENT))
    for framing, data in framed(body).items()
    for interim in INTERIMS
}
CASES |= {
    ("HEAD", framing, interim): (
        RouteKind.IDEMPOTENT,
        b"HEAD",
        INTERIMS[interim] + data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n",
    )
    for framing, data in framed(BODY).items()
    for interim in INTERIMS
}
CASES["204"] = (RouteKind.IDEMPOTENT, b"POST", NO_CONTENT)


async def play(kind, method, *script):
    """Return the response to a request whose only server follows a script."""
    response, _ = await handle_request(
        {"a": 0},
        kind,
        components=make_components({"a": [script]}),
        method=method,
        max_attempts=1,
    )
    return response


def looks_whole(response):
    return response.started and response.ended and response.status // 100 == 2


class TestCutResponse:
    @pytest.mark.parametrize("ending", [CLOSE, RESET], ids=["close", "reset"])
    @pytest.mark.parametrize("case", CASES.values(), ids=map(str, CASES))
    async def test_it_is_whole_only_at_its_end(self, case, ending):
        """Guards against MIXED: an empty or short body that is framed as whole."""
        kind, method, data = case
        final = data.index(b" 20")
        head_end = data.index(b"\r\n\r\n", final) + 4
        is_framed = b"Content-Length" in data or b"chunked" in data
        for size in range(len(data)):
            if not is_framed and size >= head_end and ending is CLOSE:
                # A body without a length ends with its connection.
                break
            response = await play(kind, method, data[:size], ending)
            assert not looks_whole(response), data[:size]

    @pytest.mark.parametrize("case", CASES.values(), ids=map(str, CASES))
    async def test_a_whole_one_is_delivered(self, case):
        """Guards against a test in which nothing is ever whole."""
        kind, method, data = case
        assert looks_whole(await play(kind, method, data, CLOSE))

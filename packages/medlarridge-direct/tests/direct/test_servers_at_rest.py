"""Requests to servers that have asked for rest."""

import pytest

from .scripted import make_components
from .test_request_run import OK, handle_request, sent_to

pytestmark = pytest.mark.anyio

REST_MS = 3_000
MAX_DURING_REST = 2
"""Requests that the platform allows a router to send in a rest, from half a second
after it was asked for."""


def turned_away(rest_ms):
    return (
        b"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Executed: 1\r\nRest: %d\r\n"
        b"Content-Length: 0\r\n\r\n" % rest_ms
    )


async def send_for(components, scripts, duration_ms, interval_ms=100):
    """Send requests; return the servers that got them and their times."""
    sent = []
    for _ in range(0, duration_ms, interval_ms):
        before = len(components.connections.sent)
        await handle_request(scripts, components=components)
        now_ms = components.clock.now_ms()
        sent += [(name, now_ms) for name in sent_to(components)[before:]]
        components.clock.advance(interval_ms)
    return sent


class TestRest:
    async def test_a_server_at_rest_gets_no_request(self):
        """Guards against requests to a server that has asked for rest (second1)."""
        scripts = {"a": [(turned_away(REST_MS),)] + [(OK,)] * 99, "b": [(OK,)] * 99}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        start_ms = components.clock.now_ms()
        sent = await send_for(components, scripts, REST_MS)
        assert sent[0] == ("a", start_ms)
        in_rest = [name for name, time_ms in sent[1:] if time_ms < start_ms + REST_MS]
        assert in_rest.count("a") <= MAX_DURING_REST
        assert in_rest.count("b") > MAX_DURING_REST

"""Requests that reach a server which names a limit for all routers together."""

import pytest

from .scripted import make_components
from .test_request_run import handle_request

pytestmark = pytest.mark.anyio

RULE_SPAN_MS = 4_000
LIMITED_OK = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nLimit: %.1f\r\n"
    b"Content-Length: 2\r\n\r\nok"
)


def most_in_span(times_ms, span_ms=RULE_SPAN_MS):
    """Return the largest number of times in any span."""
    return max(
        sum(start_ms <= each < start_ms + span_ms for each in times_ms)
        for start_ms in times_ms
    )


class TestRequestsOfOneRouter:
    @pytest.mark.parametrize("limit", [1.1, 3.5])
    async def test_a_server_gets_no_more_than_it_takes(self, limit):
        """Guards against requests beyond the limit of a server (incident LIMIT)."""
        scripts = {"a": [(LIMITED_OK % limit,)] * 100}
        components = make_components(scripts)
        times_ms = []
        for _ in range(100):
            sent_before = len(components.connections.sent)
            await handle_request(scripts, components=components)
            if len(components.connections.sent) > sent_before:
                times_ms.append(components.clock.now_ms())
            components.clock.advance(100)
        told_ms = times_ms.pop(0)
        assert most_in_span(times_ms) <= RULE_SPAN_MS / 1_000 * limit
        assert max(times_ms) > told_ms + 2 * RULE_SPAN_MS

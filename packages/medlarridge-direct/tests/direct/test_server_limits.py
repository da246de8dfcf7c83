"""Requests that reach a server which names a limit for all routers together."""

import pytest

from .samples import configuration, route
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


SERVER_COUNT = 4
PRIORITIES = (0, 1, 2)


async def overload(limit, seconds, interval_ms=60):
    """Send requests of all priorities in turn to servers that all name a limit.

    Return the responses by priority and the number that servers got.
    """
    names = [f"s-{number}" for number in range(SERVER_COUNT)]
    scripts = {name: [(LIMITED_OK % limit,)] * 1_000 for name in names}
    components = make_components(scripts)
    responses = {priority: [] for priority in PRIORITIES}
    for number in range(seconds * 1_000 // interval_ms):
        priority = PRIORITIES[number % len(PRIORITIES)]
        components.configuration.apply_if_newer(
            configuration(route(priority=priority), version=100 + number), 1_000_000
        )
        response, _ = await handle_request(scripts, components=components)
        responses[priority].append(response)
        components.clock.advance(interval_ms)
    return responses, len(components.connections.sent)


def served_share(responses):
    return sum(response.status == 200 for response in responses) / len(responses)


class TestAllServersLimited:
    async def test_urgent_requests_come_first_and_none_is_starved(self):
        """Guards against permits that go to whoever asks first, or to one kind only."""
        responses, _ = await overload(limit=1.5, seconds=60)
        shares = [served_share(responses[priority]) for priority in PRIORITIES]
        assert shares == sorted(shares, reverse=True)
        assert shares[0] > 2 * shares[2]
        assert shares[2] > 0.02

    async def test_the_limits_are_used(self):
        """Guards against requests that are refused although a server takes more."""
        _, sent = await overload(limit=1.5, seconds=60)
        assert sent >= 0.85 * 60 * 1.5 * SERVER_COUNT

    async def test_refused_requests_return_spread_in_time(self):
        """Guards against callers that are refused late, or all return together."""
        responses, _ = await overload(limit=1.5, seconds=20)
        refused = [
            response
            for each in responses.values()
            for response in each
            if response.status != 200
        ]
        assert {response.status for response in refused} == {503}
        delays_ms = [
            int(response.headers.split(b": ")[1].strip()) for response in refused
        ]
        assert min(delays_ms) > 0
        assert max(delays_ms) - min(delays_ms) > 1_000
        assert len(set(delays_ms)) > len(delays_ms) / 2

"""Requests to servers that have asked for rest."""

import pytest

from .scripted import RESET, make_components
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

    async def test_a_whole_pool_at_rest_is_refused_at_once(self):
        """Guards against requests that are sent, or held, while nobody takes them."""
        scripts = {"a": [(turned_away(2 * REST_MS),)], "b": [(turned_away(REST_MS),)]}
        components = make_components(scripts)
        refused_at_ms = components.clock.now_ms()
        delays_ms = []
        for _ in range(20):
            response, _ = await handle_request(scripts, components=components)
            assert response.status == 503
            delays_ms.append(int(response.headers.split(b": ")[1].strip()))
        assert sorted(sent_to(components)) == ["a", "b"]
        assert components.clock.now_ms() == refused_at_ms
        assert REST_MS <= min(delays_ms) < 2 * REST_MS
        assert len(set(delays_ms)) > 10

    async def test_a_request_whose_connection_opens_slowly_is_not_sent(self):
        """Guards against requests that were selected before the rest began."""
        scripts = {"a": [(OK,)], "b": [(OK,)]}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        acquire = components.connections.acquire

        async def acquire_slowly(server, limit):
            if server.instance == "a":
                components.notices.begin_rest(server.start, REST_MS)
            return await acquire(server, limit)

        components.connections.acquire = acquire_slowly
        response, _ = await handle_request(scripts, components=components)
        written = {
            name: transport.written for name, transport in components.connections.sent
        }
        assert (response.status, written["a"]) == (200, b"")
        assert written["b"]

    async def test_a_retry_does_not_go_to_a_server_at_rest(self):
        """Guards against retries, which are sent when servers already have trouble."""
        scripts = {"a": [(RESET,)], "b": [(OK,)] * 2, "c": [(OK,)] * 2}
        components = make_components(scripts)
        for name in ("b", "c"):
            components.load.begin_attempt(name)
        components.notices.begin_rest("b/0", REST_MS)
        await handle_request(scripts, components=components)
        assert sent_to(components) == ["a", "c"]

    async def test_a_server_that_rests_for_a_peer_comes_last(self):
        """Guards against a server that each router asks until it is turned away."""
        scripts = {"a": [(OK,)] * 2, "b": [(OK,)] * 2}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        components.notices.begin_peer_rest("a/0", REST_MS)
        await handle_request(scripts, components=components)
        components.notices.begin_rest("b/0", REST_MS)
        await handle_request(scripts, components=components)
        assert sent_to(components) == ["b", "a"]

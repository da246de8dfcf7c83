"""Requests with the same prompt that arrive while a server still processes it.

This happens when many chats of one subject return at once, after a start and beside a
release: each request sent too early makes the engine process the prompt once more.
"""

import asyncio

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal import prompt_reuse
from medlarridge_direct._internal.cache_inventory import (
    CHECK_INTERVAL_MS,
    CacheInventory,
)
from medlarridge_direct._internal.coordination.processing_pace import (
    MIN_TOKENS,
    ProcessingPace,
)
from medlarridge_direct._internal.logs import Log, RequestLog
from medlarridge_direct._internal.peer_reports import PeerReports
from medlarridge_direct._internal.prompt_reuse import MAX_WAIT_SHARE, PromptReuse
from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.protocol.peer_messages import encode_report
from medlarridge_direct._internal.protocol.requests import PromptPart
from medlarridge_direct._internal.state.peer_table import PeerTable

from .samples import configuration, listing, prompt, route, server, servers
from .scripted import make_components
from .state.test_peer_table import OTHER, OWN, report

pytestmark = pytest.mark.anyio

MS_PER_TOKEN = 0.02
TOKENS = 10_000
OBJECTIVE_MS = 800


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def components(clock, monkeypatch):
    """Components of a router whose waits advance the clock."""

    async def sleep(delay_s):
        clock.advance(round(delay_s * 1_000))

    monkeypatch.setattr(prompt_reuse.asyncio, "sleep", sleep)
    components = make_components(clock=clock)
    components.servers.update(listing(*servers(3)), clock.now_ms())
    components.placement.pace.record("models", TOKENS, round(MS_PER_TOKEN * TOKENS))
    return components


def make_reuse(components):
    log = RequestLog(
        Log(components.clock, "node"), components.clock, components.metrics, "1"
    )
    return PromptReuse(
        components,
        route(RouteKind.STREAM, uses_prompt_cache=True, objective_ms=OBJECTIVE_MS),
        prompt(tokens=TOKENS),
        log,
    )


class TestWaiting:
    async def test_a_request_waits_until_its_prompt_is_processed(
        self, components, clock
    ):
        """Guards against a prompt that the same engine processes twice."""
        first, second = make_reuse(components), make_reuse(components)
        target = server("s-1")
        first.record_sent(target)
        clock.advance(50)
        assert await second.wait_until_processed(target)
        assert clock.now_ms() == 1_000_000 + round(MS_PER_TOKEN * TOKENS)
        assert not await second.wait_until_processed(target)

    async def test_a_processed_prompt_is_not_waited_for(self, components, clock):
        """Guards against delays of chats whose prompt is in the cache."""
        first, second = make_reuse(components), make_reuse(components)
        target = server("s-1")
        first.record_sent(target)
        first.record_processed(target, 0)
        assert not await second.wait_until_processed(target)

    async def test_the_wait_is_a_share_of_the_objective(self, components, clock):
        """Guards against late responses because an engine processes slowly."""
        for _ in range(100):
            components.placement.pace.record("models", TOKENS, 60_000)
        first, second = make_reuse(components), make_reuse(components)
        target = server("s-1")
        first.record_sent(target)
        assert await second.wait_until_processed(target)
        waited_ms = clock.now_ms() - 1_000_000
        assert waited_ms == round(MAX_WAIT_SHARE * OBJECTIVE_MS)

    async def test_a_prompt_that_a_peer_sent_is_waited_for(self, components):
        """Guards against processing a prompt twice for two routers."""
        node_reports = make_reports(components)
        entries = [(part.part_id, "s-1") for part in prompt(tokens=TOKENS)[:-1]]
        node_reports.handle_datagram(encode_report(report(cached_parts=entries)), OTHER)
        assert await make_reuse(components).wait_until_processed(server("s-1"))

    async def test_a_prompt_that_a_peer_knows_from_before_is_not_waited_for(
        self, components
    ):
        """Guards against delaying all chats after a restart."""
        node_reports = make_reports(components)
        entries = [(part.part_id, "s-1") for part in prompt(tokens=TOKENS)[:-1]]
        data = encode_report(report(processed_parts=entries))
        node_reports.handle_datagram(data, OTHER)
        assert components.placement.cache_index.holders("chat-1").keys() == {"s-1"}
        assert not await make_reuse(components).wait_until_processed(server("s-1"))


class TestProcessingPace:
    def test_short_prompts_are_ignored(self):
        """Guards against a pace that mostly measures round trips."""
        pace = ProcessingPace()
        pace.record("models", MIN_TOKENS - 1, 500)
        assert pace.duration_ms("models", TOKENS) == 0

    def test_the_pace_follows_the_pool(self):
        """Guards against waits that fit the engines of one deployment only."""
        pace = ProcessingPace()
        pace.record("models", TOKENS, 100)
        for _ in range(100):
            pace.record("models", TOKENS, 400)
        assert pace.duration_ms("models", TOKENS) == pytest.approx(400, rel=0.01)
        assert pace.duration_ms("other", TOKENS) == 0


def make_reports(components, peers=None):
    peers = peers or PeerTable(components.clock, OWN, own_router_id=5)
    return PeerReports(components, peers, Log(components.clock, "node"), lambda: False)


class TestRestartOfAllRouters:
    """Requests arrive as soon as the routers are up, and no router has an index."""

    async def start(self, components, registered, own=OWN):
        components.configuration.apply_if_newer(
            configuration(), components.clock.now_ms()
        )
        peers = PeerTable(components.clock, own, own_router_id=5)
        peers.register(registered)
        reports = make_reports(components, peers)
        sent = []
        reports.socket.send = lambda data, address: sent.append(data)
        inventory = CacheInventory(
            components, peers, reports, Log(components.clock, "node")
        )

        async def query_server(queried):
            if queried.instance == "s-1":
                return [PromptPart("small", 5), PromptPart("large", 9_000)]
            return None

        inventory.query_server = query_server
        return inventory, reports

    async def test_the_first_router_queries_the_servers_at_once(self, components):
        """Guards against blind placement while routers discover each other."""
        inventory, reports = await self.start(components, [OWN, OTHER])
        started_ms = components.clock.now_ms()
        await inventory.run()
        assert components.clock.now_ms() <= started_ms + CHECK_INTERVAL_MS
        cache_index = components.placement.cache_index
        assert cache_index.synced
        assert cache_index.holders("large")["s-1"].since_ms == 0
        assert reports.pending_processed_parts == [("large", "s-1"), ("small", "s-1")]

    async def test_other_routers_leave_the_query_to_the_first(
        self, components, monkeypatch
    ):
        """Guards against queries of every server by every router."""
        inventory, _ = await self.start(components, [OWN, OTHER], own=OTHER)
        checks = 0

        async def sleep(delay_s):
            nonlocal checks
            checks += 1
            if checks == 5:
                raise asyncio.CancelledError

        monkeypatch.setattr("asyncio.sleep", sleep)
        with pytest.raises(asyncio.CancelledError):
            await inventory.run()
        assert not components.placement.cache_index.synced

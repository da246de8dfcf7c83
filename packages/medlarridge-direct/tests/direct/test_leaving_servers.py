"""Requests to servers that say in their answers that they leave."""

import pytest

from medlarridge_direct._internal.protocol.server_notices import ServerNotice

from .router_fleet import RouterFleet
from .samples import listing, server
from .scripted import make_components
from .test_request_run import OK, handle_request, sent_to

pytestmark = pytest.mark.anyio

DRAIN_MS = 2_000
LEAVING_OK = OK.replace(b"Signature", b"Leaving: 1\r\nSignature")


class TestLeaving:
    async def test_a_leaving_server_gets_no_request(self):
        """Guards against requests to a server that has said it leaves (DRAIN)."""
        scripts = {"a": [(LEAVING_OK,)] * 99, "b": [(OK,)] * 99}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        await handle_request(scripts, components=components)
        assert sent_to(components) == ["a"]
        components.clock.advance(DRAIN_MS)
        for _ in range(20):
            await handle_request(scripts, components=components)
        assert sent_to(components)[1:] == ["b"] * 20

    async def test_a_pool_whose_servers_all_leave_is_refused(self):
        """Guards against requests to the last server, which the platform forbids."""
        scripts = {"a": [(LEAVING_OK,)] * 9}
        components = make_components(scripts)
        response, _ = await handle_request(scripts, components=components)
        assert (response.status, bytes(response.body)) == (200, b"ok")
        response, _ = await handle_request(scripts, components=components)
        assert response.status == 503
        assert sent_to(components) == ["a"]

    async def test_a_list_that_shows_the_server_as_ready_does_not_bring_it_back(self):
        """Guards against a list that lags behind, and a store that came back older."""
        scripts = {"a": [(LEAVING_OK,)] * 9, "b": [(OK,)] * 9}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        await handle_request(scripts, components=components)
        for revision in range(2, 5):
            components.clock.advance(DRAIN_MS)
            listed = [server("a", port=8000), server("b", port=8001)]
            components.servers.update(
                listing(*listed, revision=revision, era=revision),
                components.clock.now_ms(),
            )
            await handle_request(scripts, components=components)
        assert sent_to(components) == ["a", "b", "b", "b"]

    async def test_a_new_start_at_the_same_address_gets_requests(self):
        """Guards against a server that is left out since its predecessor left."""
        scripts = {"a": [(LEAVING_OK,)] * 2}
        components = make_components(scripts)
        components.notices.begin_leaving("a/7")
        await handle_request(scripts, components=components)
        assert sent_to(components) == ["a"]

    async def test_a_later_answer_without_the_statement_changes_nothing(self):
        """Guards against an answer of before that arrives late."""
        components = make_components({})
        notices = components.notices
        notices.record("a/0", ServerNotice(leaving=True), 0)
        components.clock.advance(10)
        notices.record("a/0", ServerNotice(), components.clock.now_ms() - 1)
        assert notices.is_leaving("a/0")
        assert not notices.accepts("a/0")


class TestPeers:
    async def test_peers_are_told_also_with_the_store_silent(self):
        """Guards against requests of other routers to a server that leaves."""
        fleet = RouterFleet(3)
        await fleet.run(2_000, traffic=False)
        for router in fleet.routers.values():
            router.components.servers.update(listing(server("a")), 1_000_000)
        fleet.registry.unreachable_for |= {"front-0", "front-1", "front-2"}
        fleet.routers[0].components.notices.begin_leaving("a/0")
        await fleet.run(200, traffic=False)
        fleet.start(3)
        await fleet.run(400, traffic=False)
        assert all(
            router.components.notices.is_leaving("a/0")
            for router in fleet.routers.values()
        )

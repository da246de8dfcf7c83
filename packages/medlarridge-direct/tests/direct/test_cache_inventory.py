"""Questions to servers about what they cache."""

import pytest

from medlarridge_direct._internal.cache_inventory import CacheInventory
from medlarridge_direct._internal.logs import Log
from medlarridge_direct._internal.protocol.server_notices import ServerNotice

from .samples import server
from .scripted import make_components

pytestmark = pytest.mark.anyio

INVENTORY = b"HTTP/1.1 200 OK\r\nLimit: 2.0\r\nContent-Length: 2\r\n\r\n[]"


def make_inventory(scripts):
    components = make_components(scripts)
    components.dialect.parse_inventory = lambda body: []
    return CacheInventory(components, None, None, Log(components.clock, "node"))


class TestNotices:
    async def test_what_a_server_says_in_its_answer_is_kept(self):
        """Guards against a limit that a restarted router learns only by requests."""
        inventory = make_inventory({"a": [(INVENTORY,)]})
        assert await inventory.query_server(server("a")) == []
        assert inventory.components.notices.limit_per_s("a/0") == 2.0

    @pytest.mark.parametrize(
        "notice",
        [ServerNotice(1.0), ServerNotice(rest_ms=500), ServerNotice(leaving=True)],
    )
    async def test_servers_that_take_no_requests_are_not_asked(self, notice):
        """Guards against questions that count as requests (LIMIT, BUDGET, DRAIN)."""
        inventory = make_inventory({"a": [(INVENTORY,)]})
        inventory.components.notices.record("a/0", notice, 0)
        assert await inventory.query_server(server("a")) is None
        assert not inventory.components.connections.sent


class TestConnections:
    async def test_a_server_is_asked_on_a_new_connection(self):
        """Guards against a repeated response that is read as the list of parts."""
        inventory = make_inventory({"a": [(INVENTORY,)]})
        assert await inventory.query_server(server("a")) == []
        assert inventory.components.connections.opened == ["a"]

from random import Random

import msgspec
import pytest

from medlarridge import ManualClock, TransportError
from medlarridge_direct._internal.coordination.server_health import AttemptResult
from medlarridge_direct._internal.logs import Log
from medlarridge_direct._internal.peer_reports import PeerReports
from medlarridge_direct._internal.peer_snapshots import (
    CONFIGURATION_PATH,
    SERVERS_PATH,
    PeerSnapshots,
    Snapshot,
    encode_content,
)
from medlarridge_direct._internal.protocol.peer_messages import encode_report
from medlarridge_direct._internal.protocol.platform_interface import (
    ConfigurationSnapshot,
)
from medlarridge_direct._internal.protocol.revision import Revision
from medlarridge_direct._internal.state.peer_table import (
    PeerTable,
    new_router_id,
)
from medlarridge_direct._internal.state.server_table import (
    DEPARTED_RETENTION_MS,
    REREGISTRATION_MS,
    STORE_OUTAGE_MS,
)
from medlarridge_direct._internal.store_sync import (
    CONFIGURATION_MAX_AGE_MS,
    CONFIGURATION_RANK_DELAY_MS,
    LIST_MAX_AGE_MS,
    LIST_RANK_DELAY_MS,
    MAX_DELAYED_RANK,
    WATCH_TIMEOUT_MS,
    StoreSync,
)
from medlarridge_direct._internal.transport.http_client import HttpResponse

from .samples import configuration, listing, prompt, route, server
from .scripted import make_components
from .state.test_peer_table import OTHER, OWN, THIRD, report

pytestmark = pytest.mark.anyio

MAX_REMOVAL_DELAY_MS = 2_000
MAX_CONFIGURATION_DELAY_MS = 2_000
PROPAGATION_MS = 200
"""Time for the response of the store and the reports to the other routers."""
REPORT_INTERVAL_MS = 200
"""Interval of reports among 25 routers."""


class FakeStore:
    """Store whose contents and reachability are set by tests."""

    def __init__(self):
        self.revision = 5
        self.store_revision = Revision(0, 40)
        self.watched_revision = None
        self.listing = listing(server())
        self.down = False
        self.changed = False
        self.calls = []

    def call(self, name):
        self.calls.append(name)
        if self.down:
            raise TransportError("down", step=name)

    async def list_servers(self):
        self.call("list")
        return self.listing

    async def watch_servers(self, listing, wait_ms):
        self.call("watch-servers")
        if self.listing.servers == listing.servers:
            return listing.with_changes(self.store_revision, (), set())
        return self.listing

    async def read_configuration(self):
        self.call("read")
        stored = self.revision and configuration(version=self.revision)
        return ConfigurationSnapshot(stored, self.store_revision)

    async def watch_configuration(self, watched_revision, wait_ms):
        self.call("watch")
        self.watched_revision = watched_revision
        newer = configuration(version=self.revision) if self.changed else None
        return ConfigurationSnapshot(newer, self.store_revision)

    async def list_routers(self):
        self.call("routers")
        return {}


class FakePeerClient:
    """HTTP client of a peer that serves one snapshot."""

    host = "peer"

    def __init__(self, content, age_ms=0):
        self.content = content
        self.age_ms = age_ms

    async def get(self, path, read_timeout_ms):
        if self.content is None:
            raise TransportError("down")
        body = msgspec.msgpack.encode(
            Snapshot(encode_content(self.content), self.age_ms)
        )
        return HttpResponse(200, [], body)


class Node:
    """A router's store synchronization with a fake store and peers."""

    def __init__(self, own_router_id=5):
        self.clock = ManualClock(1_000_000)
        self.components = make_components(clock=self.clock)
        self.store = FakeStore()
        self.peers = PeerTable(self.clock, OWN, own_router_id)
        self.log = Log(self.clock, "node")
        self.peer_snapshots = PeerSnapshots(
            self.components, self.peers, self.clock, self.log
        )
        self.peer_reports = PeerReports(
            self.components, self.peers, self.log, lambda: False
        )
        self.sync = StoreSync(
            self.components,
            self.store,
            self.peers,
            self.peer_snapshots,
            self.log,
            "node",
            self.peer_reports.announce_departures,
        )
        self.sequence = 0

    def receive_report(self, address=OTHER, **changes):
        self.sequence += 1
        data = encode_report(report(sequence=self.sequence, **changes))
        self.peer_reports.handle_datagram(data, address)

    async def start(self):
        await self.sync.read_servers_if_due()
        await self.sync.read_configuration_if_due()
        self.store.calls.clear()


class TestReaderRank:
    async def test_state_confirmed_by_a_peer_is_not_read(self):
        """Guards against store calls that grow with the number of routers."""
        node = Node()
        await node.start()
        for _ in range(50):
            node.clock.advance(100)
            node.receive_report(
                router_id=2,
                list_digest=node.components.servers.digest,
                configuration_version=5,
            )
            await node.sync.read_servers_if_due()
            await node.sync.read_configuration_if_due()
        assert node.store.calls == []

    async def test_next_router_takes_over_reading_in_time(self):
        """Guards against missed changes after the router that reads the store fails."""
        node = Node()
        node.receive_report(router_id=2)
        await node.start()
        elapsed_ms = 0
        while "list" not in node.store.calls or "watch" not in node.store.calls:
            node.clock.advance(50)
            elapsed_ms += 50
            await node.sync.read_servers_if_due()
            await node.sync.read_configuration_if_due()
        assert (
            elapsed_ms
            <= max(MAX_REMOVAL_DELAY_MS, MAX_CONFIGURATION_DELAY_MS) - PROPAGATION_MS
        )
        max_read_age_ms = LIST_MAX_AGE_MS + MAX_DELAYED_RANK * LIST_RANK_DELAY_MS
        assert max_read_age_ms < MAX_REMOVAL_DELAY_MS - PROPAGATION_MS
        assert (
            CONFIGURATION_MAX_AGE_MS + MAX_DELAYED_RANK * CONFIGURATION_RANK_DELAY_MS
            < MAX_CONFIGURATION_DELAY_MS - PROPAGATION_MS
        )

    async def test_a_failed_reader_is_no_outage_of_the_store(self):
        """Guards against keeping servers that left while the reader was replaced."""
        node = Node()
        await node.start()
        node.clock.advance(
            LIST_MAX_AGE_MS + MAX_DELAYED_RANK * LIST_RANK_DELAY_MS + PROPAGATION_MS
        )
        node.store.listing = listing(revision=2)
        await node.sync.read_servers_if_due()
        assert node.components.servers.ready("models") == []

    async def test_one_watching_router_is_enough(self):
        """Guards against a watch by every router in normal operation."""
        node = Node()
        node.receive_report(router_id=2)
        await node.start()
        for elapsed_ms in range(0, 5_000, REPORT_INTERVAL_MS):
            node.clock.advance(REPORT_INTERVAL_MS)
            age_ms = elapsed_ms % WATCH_TIMEOUT_MS
            node.receive_report(
                router_id=2, configuration_version=5, configuration_age_ms=age_ms
            )
            await node.sync.read_configuration_if_due()
        assert "watch" not in node.store.calls


class TestFirstStart:
    """Routers that start before the operator has written a configuration."""

    async def test_only_the_first_router_waits_for_a_configuration(self):
        """Guards against all routers polling an empty store."""
        node = Node()
        node.store.revision = None
        node.receive_report(router_id=2, configuration_version=0)
        await node.sync.read_configuration_if_due()
        assert node.store.calls == ["read"]
        for _ in range(20):
            node.clock.advance(100)
            node.receive_report(router_id=2, configuration_version=0)
            await node.sync.read_configuration_if_due()
        assert node.store.calls == ["read"]
        assert node.peers.store_reachable

    async def test_the_first_configuration_is_found_by_a_watch(self):
        """Guards against a first configuration that is applied only after a delay."""
        node = Node()
        node.store.revision = None
        await node.sync.read_configuration_if_due()
        node.store.revision, node.store.changed = 6, True
        await node.sync.read_configuration_if_due()
        assert node.store.calls == ["read", "watch"]
        assert node.store.watched_revision == node.store.store_revision
        assert node.components.configuration.version == 6

    async def test_the_first_configuration_is_read_from_a_peer(self):
        """Guards against a router that goes on waiting while others serve."""
        node = Node()
        node.store.revision = None
        await node.sync.read_configuration_if_due()
        node.peer_snapshots.clients[OTHER] = FakePeerClient(configuration(version=6))
        node.receive_report(router_id=2, configuration_version=6)
        await node.sync.read_configuration_if_due()
        assert node.components.configuration.version == 6
        assert node.store.calls == ["read"]


class TestChanges:
    async def test_change_known_to_a_peer_is_read_from_the_peer(self):
        """Guards against every router reading the store for every change."""
        node = Node()
        await node.start()
        node.peer_snapshots.clients[OTHER] = FakePeerClient(configuration(version=6))
        node.receive_report(
            configuration_version=6, list_digest=node.components.servers.digest
        )
        await node.sync.read_configuration_if_due()
        assert node.components.configuration.version == 6
        assert node.store.calls == []

    async def test_store_is_read_if_the_peer_fails(self):
        """Guards against a stale configuration because a peer has just failed."""
        node = Node()
        await node.start()
        node.store.revision = 6
        node.peer_snapshots.clients[OTHER] = FakePeerClient(None)
        node.receive_report(
            configuration_version=6, list_digest=node.components.servers.digest
        )
        await node.sync.read_configuration_if_due()
        assert node.components.configuration.version == 6
        assert node.store.calls == ["read"]

    async def test_peer_with_an_old_configuration_is_not_used(self):
        """Guards against peers that keep giving each other the old configuration."""
        node = Node()
        await node.start()
        node.store.revision = 6
        node.peer_snapshots.clients[THIRD] = FakePeerClient(configuration(version=5))
        node.peer_snapshots.clients[OTHER] = FakePeerClient(configuration(version=6))
        node.receive_report(THIRD, router_id=3, configuration_version=5)
        node.receive_report(OTHER, router_id=2, configuration_version=6)
        await node.sync.read_configuration_if_due()
        assert node.components.configuration.version == 6

    async def test_change_found_by_the_watch_comes_from_the_store(self):
        """Guards against asking peers for a change that none of them has yet."""
        node = Node()
        await node.start()
        node.peer_snapshots.clients[OTHER] = FakePeerClient(configuration(version=5))
        node.receive_report(router_id=9, configuration_version=5)
        node.store.revision, node.store.changed = 6, True
        await node.sync.read_configuration_if_due()
        assert node.components.configuration.version == 6
        assert node.store.calls == ["watch"]


class TestLargeConfigurations:
    async def test_watch_continues_at_the_revision_reported_by_a_peer(self):
        """Guards against watches that return changes which are already applied."""
        node = Node()
        await node.start()
        node.receive_report(
            router_id=2,
            configuration_version=5,
            configuration_watched_revision=Revision(0, 90),
        )
        node.clock.advance(MAX_CONFIGURATION_DELAY_MS)
        await node.sync.read_configuration_if_due()
        assert node.store.watched_revision == Revision(0, 90)

    async def test_watched_revision_of_a_peer_with_another_version_is_ignored(self):
        """Guards against skipping a change between the two versions."""
        node = Node()
        await node.start()
        node.receive_report(
            router_id=2,
            configuration_version=4,
            configuration_watched_revision=Revision(0, 90),
        )
        assert node.components.configuration.watched_revision == Revision(0, 40)

    def test_snapshot_is_small_enough_for_a_slow_link(self):
        """Guards against slow configuration transfers between routers with 5 Mbit/s."""
        routes = [
            route(name=f"route-{number}", path_prefix=f"/desk-{number}/")
            for number in range(1_700)
        ]
        bits = 8 * len(encode_content(configuration(*routes)))
        assert bits / 5_000_000 < MAX_CONFIGURATION_DELAY_MS / 1_000 / 4

    def test_routers_with_fast_links_rank_first(self):
        """Guards against a slow VM that serves the configuration to all others."""
        random = Random(1)
        fast = [new_router_id(random, 100) for _ in range(20)]
        slow = [new_router_id(random, 5) for _ in range(20)]
        assert max(fast) < min(slow)
        assert max(slow) < 2**63


class TestUnreachableStore:
    async def test_server_list_is_read_from_a_peer(self):
        """Guards against requests to servers that left during a store outage."""
        node = Node()
        await node.start()
        node.store.down = True
        node.clock.advance(LIST_MAX_AGE_MS)
        with pytest.raises(TransportError):
            await node.sync.read_servers_if_due()
        node.sync.set_store_reachable(False, TransportError("down"))
        newer_listing = listing(server("s-2", port=8002), revision=2)
        node.peer_snapshots.clients[OTHER] = FakePeerClient(newer_listing)
        node.receive_report(list_digest=1, list_revision=Revision(0, 2))
        await node.sync.read_servers_if_due()
        assert [each.instance for each in node.components.servers.ready("models")] == [
            "s-2"
        ]

    async def test_older_snapshot_does_not_replace_newer_state(self):
        """Guards against a peer that lost the store earlier than this router."""
        node = Node()
        await node.start()
        older_listing = listing(server("old"), revision=0)
        node.peer_snapshots.clients[OTHER] = FakePeerClient(
            older_listing, age_ms=60_000
        )
        node.peers.store_reachable = False
        node.receive_report(
            list_digest=1, list_age_ms=60_000, list_revision=Revision(0, 0)
        )
        node.clock.advance(LIST_MAX_AGE_MS)
        await node.sync.read_servers_if_due()
        assert [each.instance for each in node.components.servers.ready("models")] == [
            "s-1"
        ]


class TestLapsedEntries:
    async def test_the_list_is_read_as_soon_as_they_expire(self):
        """Guards against requests to servers that left during an outage, until the next
        regular read of the list."""
        node = Node()
        await node.start()
        node.store.listing = listing(revision=2)
        node.clock.advance(STORE_OUTAGE_MS + 1)
        await node.sync.read_servers_if_due()
        assert len(node.components.servers.ready("models")) == 1
        node.clock.advance(LIST_MAX_AGE_MS)
        await node.sync.read_servers_if_due()
        node.clock.advance(REREGISTRATION_MS - LIST_MAX_AGE_MS)
        await node.sync.read_servers_if_due()
        assert node.components.servers.ready("models") == []


class TestServedSnapshots:
    @pytest.mark.parametrize("path", [SERVERS_PATH, CONFIGURATION_PATH, b"/other"])
    async def test_unknown_state_is_not_served(self, path):
        """Guards against an empty snapshot that replaces a peer's state."""
        node = Node()
        sent = []

        class Request:
            target = path

        class Response:
            def send(self, status, headers, body):
                sent.append(status)

        await node.peer_snapshots.handle(Request(), Response())
        assert sent == [404]


def fetch_source_of(node, server):
    """Return the instance from which a server would fetch a cached prompt."""
    others = node.components.servers.fetch_sources("models")
    source = node.components.placement.fetch_source(server, prompt(), others)
    return None if source is None else source.instance


class TestDepartedServers:
    """Servers that leave the list without notice while their chats continue."""

    async def start(self, *added, **changes):
        node = Node()
        departed, remaining = server("s-1"), server("s-2", port=8001)
        node.store.listing = listing(departed, remaining)
        await node.start()
        node.components.placement.cache_index.record_prompt(prompt(), "s-1")
        for result in changes.get("results", ()):
            node.components.health.record_result("s-1", result)
        node.clock.advance(LIST_MAX_AGE_MS)
        node.store.listing = listing(remaining, *added, revision=2)
        await node.sync.read_servers_if_due()
        return node, remaining

    async def test_prompt_is_fetched_while_the_departed_server_still_serves(self):
        """Guards against processing prompts again that a server still has."""
        node, remaining = await self.start()
        assert [each.instance for each in node.components.servers.ready("models")] == [
            "s-2"
        ]
        assert fetch_source_of(node, remaining) == "s-1"

    async def test_departed_server_expires(self):
        """Guards against calls to an address that is unused or reassigned by then."""
        node, remaining = await self.start()
        node.clock.advance(DEPARTED_RETENTION_MS + 1)
        assert fetch_source_of(node, remaining) is None
        node.store.listing = listing(remaining, revision=3)
        await node.sync.read_servers_if_due()
        assert node.components.placement.cache_index.entries() == []

    async def test_crashed_server_is_removed_at_once(self):
        """Guards against fetching from a server that accepts no connection."""
        node, remaining = await self.start(results=[AttemptResult.UNREACHABLE])
        assert fetch_source_of(node, remaining) is None

    async def test_reassigned_address_is_not_called(self):
        """Guards against fetching from a server that never processed the prompt."""
        node, remaining = await self.start(server("s-3"))
        assert fetch_source_of(node, remaining) is None

    async def test_restarted_server_caches_nothing(self):
        """Guards against fetching from a server that restarted with an empty cache."""
        node, remaining = await self.start()
        restarted = server("s-1", started_at=99)
        node.clock.advance(LIST_MAX_AGE_MS)
        node.store.listing = listing(remaining, restarted, revision=3)
        await node.sync.read_servers_if_due()
        assert node.components.placement.cache_index.entries() == []

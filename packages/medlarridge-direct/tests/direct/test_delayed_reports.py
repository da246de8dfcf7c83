"""Changes of the server list while links are full and event loops are busy.

A large configuration on a slow link, or a busy processor, delays reports between routers
by some hundred milliseconds and lets copies of the list fail.
"""

from itertools import pairwise

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.logs import Log
from medlarridge_direct._internal.peer_reports import PeerReports
from medlarridge_direct._internal.peer_snapshots import PeerSnapshots
from medlarridge_direct._internal.protocol.servers import ServerState
from medlarridge_direct._internal.state.peer_table import PeerTable
from medlarridge_direct._internal.store_sync import (
    LIST_MAX_AGE_MS,
    LIST_RANK_DELAY_MS,
    MAX_DELAYED_RANK,
    StoreSync,
)

from .samples import configuration, listing, route, server
from .scripted import make_components
from .test_store_sync import FakePeerClient, FakeStore

pytestmark = pytest.mark.anyio

STEP_MS = 10
REPORT_INTERVAL_MS = 100
DATAGRAM_DELAY_MS = 400
DEPARTURE_BOUND_MS = 2_000


class CountingStore(FakeStore):
    """Store that records when its server list is read; its watches fail."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.read_times_ms = []

    async def list_servers(self):
        self.read_times_ms.append(self.clock.now_ms())
        return await super().list_servers()


class Fleet:
    """Routers with one store and reports that arrive late."""

    def __init__(self, size, delay_ms):
        self.clock = ManualClock(1_000_000)
        self.store = CountingStore(self.clock)
        self.delay_ms = delay_ms
        self.in_transit = []
        self.routers = [Router(self, number) for number in range(size)]
        for router in self.routers:
            router.peers.register(each.address for each in self.routers)

    async def run(self, duration_ms):
        for elapsed_ms in range(0, duration_ms, STEP_MS):
            self.clock.advance(STEP_MS)
            self.deliver()
            for router in self.routers:
                offset_ms = router.number * STEP_MS
                if (elapsed_ms + offset_ms) % REPORT_INTERVAL_MS == 0:
                    router.reports.send_report()
                await router.sync.read_servers_if_due()

    def deliver(self):
        now_ms = self.clock.now_ms()
        due = [each for each in self.in_transit if each[0] <= now_ms]
        self.in_transit = [each for each in self.in_transit if each[0] > now_ms]
        for _, sender, data in due:
            for router in self.routers:
                if router is not sender:
                    router.reports.handle_datagram(data, sender.address)


class Router:
    """One router of the fleet; it cannot copy the list from others."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.address = (f"10.0.0.{number + 1}", 7)
        self.components = make_components(clock=fleet.clock)
        self.peers = PeerTable(fleet.clock, self.address, number + 1)
        log = Log(fleet.clock, "node")
        snapshots = PeerSnapshots(self.components, self.peers, fleet.clock, log)
        self.reports = PeerReports(self.components, self.peers, log, lambda: False)
        self.sync = StoreSync(
            self.components,
            fleet.store,
            self.peers,
            snapshots,
            log,
            "node",
            self.reports.announce_departures,
        )
        self.reports.socket.send = self.transmit
        self.snapshots = snapshots

    def transmit(self, data, address):
        """Queue a datagram, once for all other routers."""
        if address == min(self.peers.peers):
            self.fleet.in_transit.append(
                (self.fleet.clock.now_ms() + self.fleet.delay_ms, self, data)
            )

    def ready(self):
        return [each.instance for each in self.components.servers.ready("models")]


class TestDelayedReports:
    async def test_the_list_is_read_in_time(self):
        """Guards against ages that shrink each time routers report them back."""
        fleet = Fleet(size=5, delay_ms=DATAGRAM_DELAY_MS)
        await fleet.run(10_000)
        times_ms = fleet.store.read_times_ms
        gaps_ms = [later - earlier for earlier, later in pairwise(times_ms)]
        max_gap_ms = LIST_MAX_AGE_MS + DATAGRAM_DELAY_MS + STEP_MS
        assert max(gaps_ms) <= max_gap_ms
        assert times_ms[-1] >= fleet.clock.now_ms() - max_gap_ms

    async def test_another_router_reads_the_list_if_the_first_one_cannot(self):
        """Guards against a fleet that trusts ages of a router that lost the store."""
        fleet = Fleet(size=5, delay_ms=DATAGRAM_DELAY_MS)
        await fleet.run(2_000)
        fleet.routers[0].sync.read_servers_if_due = do_nothing
        lost_ms = fleet.clock.now_ms()
        await fleet.run(3_000)
        first_read_ms = min(
            each for each in fleet.store.read_times_ms if each > lost_ms
        )
        assert first_read_ms - lost_ms <= (
            LIST_MAX_AGE_MS
            + MAX_DELAYED_RANK * LIST_RANK_DELAY_MS
            + DATAGRAM_DELAY_MS
            + STEP_MS
        )


class TestDeparturesBesideALargeConfiguration:
    async def test_a_leaving_server_is_known_without_a_copy_of_the_list(self):
        """Guards against a departure that waits behind a configuration on its link."""
        fleet = Fleet(size=2, delay_ms=DATAGRAM_DELAY_MS)
        fleet.store.listing = listing(server("s-1"), server("s-2", port=8001))
        await fleet.run(1_000)
        reader, other = fleet.routers
        routes = [
            route(name=f"route-{number}", path_prefix=f"/desk-{number}/")
            for number in range(1_700)
        ]
        other.components.configuration.apply_if_newer(configuration(*routes), 0)
        for address in (reader.address, other.address):
            other.snapshots.clients[address] = FakePeerClient(None)
        other.sync.read_servers_if_due = do_nothing
        fleet.store.listing = listing(
            server("s-1", state=ServerState.DRAINING),
            server("s-2", port=8001),
            revision=90,
        )
        left_ms = fleet.clock.now_ms()
        while "s-1" in other.ready():
            await fleet.run(STEP_MS)
            assert fleet.clock.now_ms() - left_ms < DEPARTURE_BOUND_MS
        assert other.ready() == ["s-2"]

    async def test_a_report_does_not_remove_a_server_that_came_back(self):
        """Guards against a repeated report that removes the server's next start."""
        fleet = Fleet(size=2, delay_ms=0)
        fleet.store.listing = listing(server("s-1", started_at=1))
        await fleet.run(1_000)
        fleet.store.listing = listing(revision=90)
        await fleet.run(1_500)
        fleet.store.listing = listing(server("s-1", started_at=2), revision=91)
        await fleet.run(1_500)
        assert [router.ready() for router in fleet.routers] == [["s-1"], ["s-1"]]


async def do_nothing():
    """Stand in for a task of a router that is cut off."""

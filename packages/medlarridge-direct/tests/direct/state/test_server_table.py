import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.protocol.peer_messages import Departure
from medlarridge_direct._internal.protocol.revision import Revision
from medlarridge_direct._internal.protocol.servers import ServerState
from medlarridge_direct._internal.state.server_table import (
    REREGISTRATION_MS,
    STORE_OUTAGE_MS,
    ServerChangeKind,
    ServerTable,
)

from ..samples import listing, server


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def table(clock):
    return ServerTable(clock)


def update(table, clock, *servers, revision=1, after_ms=800):
    clock.advance(after_ms)
    changes = table.update(listing(*servers, revision=revision), clock.now_ms())
    return [(each.server.instance, each.kind) for each in changes]


class TestServerTable:
    def test_a_draining_server_gets_no_work(self, table, clock):
        """Guards against sending requests to a server that is shutting down."""
        update(table, clock, server())
        changes = update(table, clock, server(state=ServerState.DRAINING), revision=2)
        assert changes == [("s-1", ServerChangeKind.DRAINING)]
        assert table.ready("models") == []

    def test_a_missing_server_is_gone(self, table, clock):
        """Guards against sending requests to a server that left without draining."""
        update(table, clock, server())
        assert update(table, clock, revision=2) == [("s-1", ServerChangeKind.GONE)]

    def test_an_older_list_changes_nothing(self, table, clock):
        """Guards against a late response that restores a removed server."""
        update(table, clock, revision=3)
        assert update(table, clock, server(), revision=2) == []
        assert table.ready("models") == []

    def test_a_restart_under_the_same_instance_is_detected(self, table, clock):
        """Guards against relying on the cache of a server that restarted."""
        update(table, clock, server(started_at=10))
        changes = update(table, clock, server(started_at=20), revision=2)
        assert changes == [("s-1", ServerChangeKind.RESTARTED)]

    def test_a_list_that_is_not_newer_resets_outdated(self, table, clock):
        """Guards against reading the store repeatedly without a pause."""
        update(table, clock, server(), revision=5)
        table.outdated = True
        update(table, clock, server(), revision=4)
        assert not table.outdated


class TestLapsedEntries:
    def test_they_are_kept_until_servers_could_register_again(self, table, clock):
        """Guards against refusing all requests after an outage of the store."""
        update(table, clock, server())
        changes = update(table, clock, revision=2, after_ms=STORE_OUTAGE_MS + 1)
        assert changes == [("s-1", ServerChangeKind.LAPSED)]
        assert [each.instance for each in table.ready("models")] == ["s-1"]
        assert update(table, clock, revision=2, after_ms=REREGISTRATION_MS // 2) == []
        changes = update(table, clock, revision=2, after_ms=REREGISTRATION_MS // 2)
        assert changes == [("s-1", ServerChangeKind.GONE)]

    def test_a_server_listed_after_the_outage_is_gone_when_it_is_missing(
        self, table, clock
    ):
        """Guards against sending requests to a server that left after an outage."""
        update(table, clock, server(), server("s-2", port=8002))
        update(table, clock, server(), revision=2, after_ms=STORE_OUTAGE_MS + 1)
        assert update(table, clock, revision=3) == [("s-1", ServerChangeKind.GONE)]
        assert [each.instance for each in table.ready("models")] == ["s-2"]

    def test_a_draining_server_is_not_kept(self, table, clock):
        """Guards against sending requests to a server that had begun to shut down."""
        update(table, clock, server(state=ServerState.DRAINING))
        changes = update(table, clock, revision=2, after_ms=STORE_OUTAGE_MS + 1)
        assert changes == [("s-1", ServerChangeKind.GONE)]

    def test_a_server_is_not_kept_if_another_has_its_address(self, table, clock):
        """Guards against sending requests to the wrong instance."""
        update(table, clock, server("old"))
        update(table, clock, server("new"), revision=2, after_ms=STORE_OUTAGE_MS + 1)
        assert [each.instance for each in table.ready("models")] == ["new"]

    def test_an_outage_ends_while_entries_are_kept(self, table, clock):
        """Guards against entries that are kept forever: the list ages until this router
        reads it, and a router that ranks low reads it late."""
        update(table, clock, server())
        update(table, clock, revision=2, after_ms=STORE_OUTAGE_MS + 1)
        for _ in range(3):
            for _ in range(STORE_OUTAGE_MS // 100 + 1):
                clock.advance(100)
                table.confirm(clock.now_ms())
            update(table, clock, revision=2, after_ms=0)
        assert table.ready("models") == []

    def test_a_server_that_a_peer_saw_leave_is_not_kept(self, table, clock):
        """Guards against using a server again that had left before an outage."""
        update(table, clock, server())
        assert table.record_departure(Departure("s-1", 0, Revision(0, 2)))
        changes = update(table, clock, revision=3, after_ms=STORE_OUTAGE_MS + 1)
        assert changes == [("s-1", ServerChangeKind.GONE)]

    def test_reports_of_peers_prevent_a_false_outage(self, table, clock):
        """Guards against keeping removed servers if only this router was cut off."""
        update(table, clock, server())
        for _ in range(5):
            clock.advance(500)
            table.confirm(clock.now_ms())
        assert update(table, clock, revision=2) == [("s-1", ServerChangeKind.GONE)]

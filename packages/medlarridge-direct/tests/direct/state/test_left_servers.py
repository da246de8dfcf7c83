import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.protocol.peer_messages import Departure
from medlarridge_direct._internal.protocol.revision import Revision
from medlarridge_direct._internal.protocol.servers import ServerState
from medlarridge_direct._internal.state.left_servers import (
    ERA_SETTLE_MS,
    LEFT_RETENTION_MS,
    LeftServers,
)

from ..samples import server


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def left(clock):
    left = LeftServers(clock)
    left.remember(server(sequence=7), era=1)
    left.begin_era()
    return left


def ready_after(left, entry, known=(), era=2):
    listed = {entry.instance: entry}
    left.ignore_remnants(listed, set(known), era)
    return {name for name, each in listed.items() if each.state is ServerState.READY}


class TestRemnants:
    def test_the_entry_of_an_older_copy_is_dropped(self, left):
        """Guards against requests to a server that had left before a drill."""
        assert ready_after(left, server(sequence=7)) == set()
        assert left.ignored == {"s-1"}

    def test_a_known_server_goes_on_draining(self, left):
        """Guards against a false crash of a server that still ends its requests."""
        listed = {"s-1": server(sequence=7)}
        left.ignore_remnants(listed, {"s-1"}, 2)
        assert listed["s-1"].state is ServerState.DRAINING

    @pytest.mark.parametrize("change", [{"sequence": 8}, {"started_at": 99}])
    def test_a_server_that_has_written_again_is_used(self, left, change):
        """Guards against a server that is lost to the fleet after a drill."""
        entry = server(**({"sequence": 7} | change))
        assert ready_after(left, entry) == {"s-1"}
        assert left.ignored == set()

    def test_an_entry_of_the_same_era_is_used(self, left):
        """Guards against ignoring a server that came back without a drill."""
        assert ready_after(left, server(sequence=7), era=1) == {"s-1"}

    def test_an_entry_is_used_once_the_era_has_settled(self, left, clock):
        """Guards against a server whose sequence does not rise and is never used."""
        clock.advance(ERA_SETTLE_MS + 1)
        assert ready_after(left, server(sequence=7)) == {"s-1"}

    def test_ignored_servers_are_reported(self, left):
        """Guards against routers that have just started and use such a server."""
        ready_after(left, server(sequence=7))
        assert left.ignored_departures() == [Departure("s-1", 0, Revision(1, 0), 7)]

    def test_old_departures_are_forgotten(self, left, clock):
        """Guards against memory that grows with each replaced server."""
        clock.advance(LEFT_RETENTION_MS + 1)
        left.forget_old()
        assert left.by_instance == {}

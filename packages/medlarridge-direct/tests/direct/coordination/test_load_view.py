from random import Random

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.hashing import instance_key
from medlarridge_direct._internal.coordination.load_view import (
    PEER_REPORT_TTL_MS,
    LoadView,
)

SERVERS = [f"s-{number}" for number in range(6)]


@pytest.fixture
def load():
    return LoadView(ManualClock(1_000_000))


def counts(random):
    """Return the attempts in flight of one router, of some servers."""
    chosen = random.sample(SERVERS, random.randrange(len(SERVERS)))
    return {instance_key(server): random.randrange(1, 9) for server in chosen}


class TestPeerTotals:
    @pytest.mark.parametrize("seed", range(8))
    def test_equal_the_sum_of_the_last_reports(self, load, seed):
        """Guards against totals that drift as reports replace each other or expire."""
        random = Random(seed)
        for _ in range(300):
            load.apply_report(random.randrange(9), counts(random))
            load.clock.advance(random.choice([0, 10, 700]))
            load.expire()
            for server in SERVERS:
                key = instance_key(server)
                reported = [peer.in_flight.get(key, 0) for peer in load.peers.values()]
                assert load.in_flight(server) == sum(reported)
        load.clock.advance(PEER_REPORT_TTL_MS + 1)
        load.expire()
        assert load.peer_totals == {}

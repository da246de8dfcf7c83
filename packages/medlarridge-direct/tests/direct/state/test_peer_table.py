import pytest

from medlarridge import CodecError, ManualClock
from medlarridge_direct._internal.protocol.peer_messages import (
    Report,
    decode_report,
    encode_report,
)
from medlarridge_direct._internal.state.peer_table import (
    PEER_RETENTION_MS,
    PEER_TIMEOUT_MS,
    PeerTable,
)

OWN, OTHER, THIRD = ("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)


def report(router_id=2, sequence=1, **changes):
    fields = {
        "router_id": router_id,
        "sequence": sequence,
        "stopping": False,
        "in_flight": {},
        "cached_parts": [],
        "strikes": [],
        "list_digest": 0,
        "list_age_ms": 0,
        "configuration_version": 1,
        "configuration_age_ms": 0,
    }
    return Report(**(fields | changes))


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def peers(clock):
    return PeerTable(clock, OWN, own_router_id=5)


class TestPeerTable:
    def test_late_and_own_reports_are_dropped(self, peers):
        """Guards against an older report that replaces a newer one."""
        assert peers.apply_report(OTHER, report(sequence=2))
        assert not peers.apply_report(OTHER, report(sequence=1))
        assert not peers.apply_report(OWN, report(router_id=5))

    def test_sequence_numbers_start_again_after_a_restart(self, peers):
        """Guards against ignoring the reports of a restarted peer."""
        peers.apply_report(OTHER, report(router_id=2, sequence=900))
        assert peers.is_new_router(OTHER, 3)
        assert peers.apply_report(OTHER, report(router_id=3, sequence=1))

    def test_silent_peers_are_not_live_and_are_removed(self, peers, clock):
        """Guards against sharing the retry budget with routers that have ended."""
        peers.apply_report(OTHER, report())
        peers.register([THIRD])
        clock.advance(PEER_TIMEOUT_MS + 1)
        assert peers.live_peers() == []
        clock.advance(PEER_RETENTION_MS)
        peers.remove_silent()
        assert list(peers.peers) == [THIRD]

    def test_routers_that_cannot_read_the_store_do_not_count(self, peers):
        """Guards against waiting for a reader that is cut off or stopping."""
        peers.apply_report(OTHER, report(router_id=2))
        assert peers.store_reader_rank() == 1
        peers.apply_report(
            OTHER, report(router_id=2, sequence=2, store_reachable=False)
        )
        assert peers.store_reader_rank() == 0
        peers.apply_report(THIRD, report(router_id=9))
        peers.store_reachable = False
        assert peers.store_reader_rank() == 1

    def test_routers_keep_an_order_while_none_reaches_the_store(self, peers):
        """Guards against all routers calling an unreachable store at the same time."""
        peers.apply_report(OTHER, report(router_id=2, store_reachable=False))
        peers.apply_report(THIRD, report(router_id=9, store_reachable=False))
        assert peers.live_rank() == 1
        assert not peers.any_reaches_store()
        peers.apply_report(THIRD, report(router_id=9, sequence=2))
        assert peers.any_reaches_store()


class TestReport:
    def test_it_survives_encoding(self):
        """Guards against fields that are lost in a datagram."""
        sent = report(
            in_flight={17: 3}, cached_parts=[("part", "s-1")], strikes=[(1, "s")]
        )
        assert decode_report(encode_report(sent)) == sent

    @pytest.mark.parametrize("data", [b"", b"\x00", b"\x93\x01\x02\x03", b"x" * 100])
    def test_malformed_datagrams_raise_codec_error(self, data):
        """Guards against a router that fails on foreign datagrams."""
        with pytest.raises(CodecError):
            decode_report(data)

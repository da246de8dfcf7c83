import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.protocol.server_notices import (
    LimitStatement,
    ServerNotice,
)
from medlarridge_direct._internal.state.server_notices import (
    LIFT_RETENTION_MS,
    ServerNotices,
)
from medlarridge_direct._internal.state.server_table import ServerTable

from ..samples import listing, server

START = "s-1/5"


def listing_of(*names):
    servers = ServerTable(ManualClock(1_000_000))
    listed = [server(name, started_at=5) for name in names]
    servers.update(listing(*listed), 1_000_000)
    return servers


@pytest.fixture
def notices():
    return ServerNotices(ManualClock(1_000_000))


def hear(notices, limit, asked_ms_ago=0, malformed=()):
    notices.clock.advance(10)
    notices.record(
        START,
        ServerNotice(limit, malformed=malformed, limit_malformed=bool(malformed)),
        notices.clock.now_ms() - asked_ms_ago,
    )
    return notices.limit_per_s(START)


class TestLimits:
    def test_a_limit_holds_until_a_response_without_one(self, notices):
        """Guards against a limit that is forgotten, or that never ends."""
        assert hear(notices, 3.5) == 3.5
        notices.clock.advance(500_000)
        notices.expire(listing_of("s-1"))
        assert notices.limit_per_s(START) == 3.5
        assert hear(notices, None) is None

    def test_a_limit_goes_down_and_up(self, notices):
        """Guards against a limit that follows its server in one direction only."""
        assert [hear(notices, each) for each in (3.5, 1.1, 8.0)] == [3.5, 1.1, 8.0]

    @pytest.mark.parametrize("later", [None, 8.0])
    def test_a_response_on_its_way_does_not_loosen_a_limit(self, notices, later):
        """Guards against responses that are read out of order."""
        hear(notices, 3.5)
        assert hear(notices, later, asked_ms_ago=50) == 3.5

    def test_a_stricter_response_on_its_way_counts(self, notices):
        """Guards against a limit that waits for the next request."""
        hear(notices, 3.5)
        assert hear(notices, 1.1, asked_ms_ago=50) == 1.1

    def test_an_older_response_does_not_bring_an_ended_limit_back(self, notices):
        """Guards against a limit that a late response names for good."""
        hear(notices, 3.5)
        hear(notices, None)
        asked_ms = notices.clock.now_ms() - 100
        notices.apply_limit(START, LimitStatement(3.5, asked_ms - 50, asked_ms))
        assert notices.limit_per_s(START) is None

    def test_a_malformed_value_says_nothing(self, notices):
        """Guards against a limit that a damaged header lifts or sets."""
        hear(notices, 3.5)
        assert hear(notices, None, malformed=("nan",)) == 3.5
        assert hear(notices, 2.0, malformed=("nan",)) == 2.0
        assert notices.malformed == 2

    def test_each_change_is_told_once(self, notices):
        """Guards against a log line for each response."""
        changes = []
        notices.on_limit_change = lambda *change: changes.append(change[1:3])
        for limit in (3.5, 3.5, 3.5, None, None, 2.0):
            hear(notices, limit)
        assert changes == [(None, 3.5), (3.5, None), (None, 2.0)]


class TestPeers:
    def test_a_peer_that_has_not_heard_of_the_end_does_not_bring_a_limit_back(
        self, notices
    ):
        """Guards against routers that tell each other an ended limit for ever."""
        hear(notices, 3.5)
        known_by_peer = notices.limits[START]
        hear(notices, None)
        notices.apply_limit(START, known_by_peer, from_peer=True)
        assert notices.limit_per_s(START) is None

    def test_the_order_does_not_matter(self, notices):
        """Guards against routers that disagree after the same reports."""
        now_ms = notices.clock.now_ms()
        statements = [
            LimitStatement(3.5, now_ms - 500, now_ms - 400),
            LimitStatement(2.0, now_ms - 350, now_ms - 300),
            LimitStatement(None, now_ms - 200, now_ms - 100),
        ]
        for order in ([0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1], [0, 2, 1]):
            notices.limits.clear()
            for index in order:
                notices.apply_limit(START, statements[index], from_peer=True)
            assert notices.limit_per_s(START) is None


class TestExpiry:
    def test_statements_of_servers_that_left_are_forgotten(self, notices):
        """Guards against memory that grows with every server there ever was."""
        hear(notices, 3.5)
        notices.clock.advance(LIFT_RETENTION_MS + 1)
        notices.expire(listing_of())
        assert not notices.limits


class TestRests:
    def test_a_shorter_rest_does_not_end_a_longer_one(self, notices):
        """Guards against answers with different rests, in any order."""
        for order in ([3_000, 1_000], [1_000, 3_000]):
            notices.rest_until_ms.clear()
            for rest_ms in order:
                notices.record(START, ServerNotice(rest_ms=rest_ms), 0)
            assert notices.rest_left_ms(START) >= 3_000

    def test_a_response_without_one_does_not_end_a_rest(self, notices):
        """Guards against a 200 of a request that was already running."""
        notices.record(START, ServerNotice(rest_ms=3_000), 0)
        notices.clock.advance(100)
        notices.record(START, ServerNotice(), notices.clock.now_ms() - 10)
        assert notices.rest_left_ms(START) >= 2_900

    def test_routers_come_back_one_after_the_other(self, notices):
        """Guards against a rush of all routers at the end of a rest."""
        times = set()
        for _ in range(50):
            notices.rest_until_ms.clear()
            notices.begin_rest(START, 3_000)
            times.add(notices.rest_left_ms(START))
        assert min(times) >= 3_000
        assert max(times) - min(times) > 300

    def test_a_rest_ends_and_is_forgotten(self, notices):
        """Guards against a server that stays out, and against growing memory."""
        notices.begin_rest(START, 100)
        notices.begin_peer_rest(START, 100)
        notices.clock.advance(200)
        assert notices.accepts(START)
        assert not notices.rests_for_peer(START)
        notices.expire(listing_of("s-1"))
        assert not notices.rest_until_ms
        assert not notices.peer_rest_until_ms

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.server_health import (
    ANSWERED_LATELY_MS,
    MAX_AVOID_MS,
    MIN_AVOID_MS,
    PEER_AVOID_MS,
    SILENCE_TIMEOUT_MS,
    AttemptResult,
    ServerHealth,
)

POOL = ["a", "b", "c", "d"]


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def health(clock):
    return ServerHealth(clock)


def fail(health, *instances, times=3):
    for instance in instances:
        for _ in range(times):
            health.record_result(instance, AttemptResult.FAILED)


class TestServerHealth:
    def test_a_failing_server_is_avoided_and_tried_again(self, health, clock):
        """Guards against a server that fails work while its health check is good."""
        fail(health, "a")
        assert health.failing(POOL) == {"a"}
        clock.advance(MIN_AVOID_MS)
        assert health.failing(POOL) == set()

    def test_one_failure_avoids_nobody(self, health):
        """Guards against lost capacity for a single failed request."""
        fail(health, "a", times=1)
        assert health.failing(POOL) == set()
        assert health.reachable(POOL) == set(POOL)

    def test_a_pool_that_fails_as_a_whole_stays_in_use(self, health):
        """Guards against refusing all work when every server fails a part of it."""
        fail(health, *POOL)
        assert health.reachable(POOL) == set(POOL)

    def test_unreachable_servers_are_avoided_at_once_in_any_number(self, health):
        """Guards against waiting for connections to servers that are down."""
        for instance in ("a", "b", "c"):
            health.record_result(instance, AttemptResult.UNREACHABLE)
        assert health.reachable(POOL) == {"d"}

    def test_the_time_doubles_while_a_server_fails(self, health, clock):
        """Guards against a dead server that costs a request every half second."""
        health.record_result("a", AttemptResult.UNREACHABLE)
        clock.advance(MIN_AVOID_MS)
        health.record_result("a", AttemptResult.UNREACHABLE)
        clock.advance(MIN_AVOID_MS)
        assert "a" not in health.reachable(POOL)

    def test_an_answer_ends_the_avoidance(self, health):
        """Guards against a server that stays out after it has recovered."""
        health.record_result("a", AttemptResult.UNREACHABLE)
        health.record_result("a", AttemptResult.ANSWERED)
        assert "a" in health.reachable(POOL)


class TestSilentServers:
    def test_a_server_that_sends_nothing_while_work_waits_is_avoided(
        self, health, clock
    ):
        """Guards against chats sent to a server that went dark."""
        number = health.record_sent("a")
        health.record_sent("a")
        clock.advance(SILENCE_TIMEOUT_MS + 1)
        assert "a" not in health.reachable(POOL)
        assert health.unreachable_instances() == ["a"]
        health.record_received("a", number)
        assert "a" in health.reachable(POOL)

    def test_one_long_prompt_beside_other_work_is_no_silence(self, health, clock):
        """Guards against leaving a server for a prompt that takes its time."""
        for _ in range(20):
            number = health.record_sent("a")
            clock.advance(SILENCE_TIMEOUT_MS // 2)
            health.record_received("a", number)
        clock.advance(SILENCE_TIMEOUT_MS // 2)
        assert "a" in health.reachable(POOL)

    def test_an_idle_server_is_not_silent(self, health, clock):
        """Guards against avoiding servers that nobody asked."""
        number = health.record_sent("a")
        health.record_ended("a", number)
        clock.advance(10 * SILENCE_TIMEOUT_MS)
        assert "a" in health.reachable(POOL)

    def test_a_pool_that_is_silent_as_a_whole_stays_in_use(self, health, clock):
        """Guards against refusing work because this router itself was cut off."""
        for instance in POOL:
            health.record_sent(instance)
        clock.advance(SILENCE_TIMEOUT_MS + 1)
        assert health.reachable(POOL) == set(POOL)

    def test_a_lost_answer_does_not_make_its_server_silent(self, health, clock):
        """Guards against avoiding a server for as long as one lost answer is awaited."""
        health.record_sent("a")
        clock.advance(SILENCE_TIMEOUT_MS)
        answered = health.record_sent("a")
        clock.advance(SILENCE_TIMEOUT_MS // 2)
        health.record_received("a", answered)
        health.record_ended("a", answered)
        clock.advance(SILENCE_TIMEOUT_MS + 1)
        assert "a" in health.reachable(POOL)

    def test_a_stream_that_stops_beside_others_does_not_either(self, health, clock):
        """Guards against avoiding a server for one stream that it dropped."""
        stopped = health.record_sent("a")
        health.record_received("a", stopped)
        clock.advance(SILENCE_TIMEOUT_MS + 1)
        answered = health.record_sent("a")
        health.record_received("a", answered)
        health.record_ended("a", answered)
        clock.advance(SILENCE_TIMEOUT_MS + 1)
        assert "a" in health.reachable(POOL)

    def test_streams_that_all_stop_make_their_server_silent(self, health, clock):
        """Guards against chats sent to a server that went dark within its answers."""
        for _ in range(3):
            clock.advance(SILENCE_TIMEOUT_MS // 2)
            health.record_received("a", health.record_sent("a"))
        clock.advance(SILENCE_TIMEOUT_MS + 1)
        assert "a" not in health.reachable(POOL)

    def test_a_silent_server_is_tried_again_with_what_may_be_repeated(
        self, health, clock
    ):
        """Guards against a server that stays out for the deadline of one request."""
        health.record_sent("a")
        clock.advance(SILENCE_TIMEOUT_MS + 1)
        assert "a" not in health.reachable(POOL, repeatable=True)
        clock.advance(MIN_AVOID_MS)
        assert "a" not in health.reachable(POOL)
        assert "a" in health.reachable(POOL, repeatable=True)
        trial = health.record_sent("a")
        assert "a" not in health.reachable(POOL, repeatable=True)
        health.record_received("a", trial)
        assert "a" in health.reachable(POOL)

    def test_trials_of_a_dark_server_become_rarer(self, health, clock):
        """Guards against a dark server that takes one request after the other."""
        health.record_sent("a")
        trials = 0
        for _ in range(80):
            clock.advance(50)
            if "a" in health.reachable(POOL, repeatable=True):
                if health.is_silent("a", clock.now_ms()):
                    trials += 1
                health.record_sent("a")
        assert trials <= 3

    def test_a_silent_server_is_tried_with_anything_when_it_must_be_alive(
        self, health, clock
    ):
        """Guards against a pool without repeatable requests that loses a server."""
        health.record_sent("a")
        clock.advance(SILENCE_TIMEOUT_MS + MAX_AVOID_MS + 1)
        assert "a" in health.reachable(POOL)


class TestFindingsOfPeers:
    def test_a_peer_spares_us_the_wait(self, health, clock):
        """Guards against each router finding a dead server by itself."""
        health.record_peer_unreachable("a")
        assert "a" not in health.reachable(POOL)
        clock.advance(PEER_AVOID_MS)
        assert "a" in health.reachable(POOL)

    def test_an_own_answer_outweighs_a_peer(self, health, clock):
        """Guards against a router cut off from a server that takes it from all."""
        health.record_result("a", AttemptResult.ANSWERED)
        health.record_peer_unreachable("a")
        assert "a" in health.reachable(POOL)
        clock.advance(ANSWERED_LATELY_MS)
        health.record_peer_unreachable("a")
        assert "a" not in health.reachable(POOL)

    def test_findings_of_peers_are_not_passed_on(self, health):
        """Guards against a rumour that routers keep alive among themselves."""
        health.record_peer_unreachable("a")
        health.record_result("b", AttemptResult.UNREACHABLE)
        assert health.unreachable_instances() == ["b"]

"""Engines that process long prompts while each router has few attempts there.

An engine that processes one prompt of 30,000 tokens sends nothing to a router whose only
attempt there waits behind it. Other routers may hear from it all the while.
"""

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.hashing import instance_key
from medlarridge_direct._internal.coordination.load_view import LoadView
from medlarridge_direct._internal.coordination.quiet_times import (
    MAX_TIMEOUT_MS,
    MIN_TIMEOUT_MS,
    TIMEOUT_FACTOR,
    WINDOW_MS,
    QuietTimes,
)
from medlarridge_direct._internal.coordination.server_health import ServerHealth

POOL = ["a", "b", "c", "d"]
LONG_PROMPT_MS = 600
PEERS = 24


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def health(clock):
    return ServerHealth(clock, QuietTimes(clock), LoadView(clock))


def report_attempts(health, instance, quiet_peers):
    """Apply a report of each peer, of which some find the server quiet."""
    for router_id in range(PEERS):
        health.load.apply_report(
            router_id,
            {instance_key(instance): 1},
            [instance] if router_id < quiet_peers else [],
        )


class TestLongPrompts:
    def test_a_server_that_peers_hear_from_is_not_silent(self, health, clock):
        """Guards against processing prompts again on servers that lack them."""
        health.quiet_times.record("models", False, LONG_PROMPT_MS)
        health.record_sent("a", "models")
        clock.advance(LONG_PROMPT_MS)
        report_attempts(health, "a", quiet_peers=3)
        assert health.quiet_instances() == ["a"]
        assert health.reachable(POOL) == set(POOL)
        assert health.unreachable_instances() == []

    def test_a_server_that_is_quiet_for_most_peers_is_silent(self, health, clock):
        """Guards against sending chats to a dead server for as long as a prompt takes."""
        health.quiet_times.record("models", False, LONG_PROMPT_MS)
        health.record_sent("a", "models")
        clock.advance(MIN_TIMEOUT_MS + 1)
        report_attempts(health, "a", quiet_peers=20)
        assert "a" not in health.reachable(POOL)

    def test_peers_alone_do_not_make_a_server_silent(self, health, clock):
        """Guards against avoiding a server that responds to this router."""
        number = health.record_sent("a", "models")
        clock.advance(MIN_TIMEOUT_MS)
        health.record_received("a", number)
        clock.advance(MIN_TIMEOUT_MS)
        report_attempts(health, "a", quiet_peers=PEERS)
        assert "a" in health.reachable(POOL)

    def test_a_server_that_only_this_router_cannot_hear_is_silent_in_time(
        self, health, clock
    ):
        """Guards against a router that is cut off from a server and trusts its peers."""
        health.record_sent("a", "models")
        clock.advance(MAX_TIMEOUT_MS + 1)
        report_attempts(health, "a", quiet_peers=0)
        assert "a" not in health.reachable(POOL)


class TestQuietTimes:
    def test_the_timeout_follows_the_longest_quiet_time(self, clock):
        """Guards against a timeout that fits the engines of one deployment only."""
        quiet_times = QuietTimes(clock)
        assert quiet_times.timeout_ms("models", False) == MIN_TIMEOUT_MS
        for quiet_ms in (20, LONG_PROMPT_MS, 40):
            quiet_times.record("models", False, quiet_ms)
        expected_ms = TIMEOUT_FACTOR * LONG_PROMPT_MS
        assert quiet_times.timeout_ms("models", False) == expected_ms
        assert quiet_times.timeout_ms("models", True) == MIN_TIMEOUT_MS
        assert quiet_times.timeout_ms("records", False) == MIN_TIMEOUT_MS

    def test_a_server_that_stopped_for_long_has_a_bounded_effect(self, clock):
        """Guards against dead servers that go unnoticed after one long interruption."""
        quiet_times = QuietTimes(clock)
        quiet_times.record("models", True, 60_000)
        assert quiet_times.timeout_ms("models", True) == MAX_TIMEOUT_MS
        clock.advance(WINDOW_MS)
        assert quiet_times.timeout_ms("models", True) == MAX_TIMEOUT_MS
        clock.advance(WINDOW_MS)
        assert quiet_times.timeout_ms("models", True) == MIN_TIMEOUT_MS

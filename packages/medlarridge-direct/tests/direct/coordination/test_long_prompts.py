"""Engines that process long prompts while each router has few attempts there.

An engine that processes one prompt of 30,000 tokens sends nothing for half a second to a
router whose only attempt there waits behind it.
"""

import pytest

from medlarridge import ManualClock
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


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def health(clock):
    return ServerHealth(clock, QuietTimes(clock))


class TestLongPrompts:
    def test_a_server_that_is_quiet_for_as_long_as_usual_is_not_silent(
        self, health, clock
    ):
        """Guards against processing prompts again on servers that lack them."""
        long_prompt = health.record_sent("a", "models")
        clock.advance(LONG_PROMPT_MS)
        health.record_received("a", long_prompt)
        health.record_ended("a", long_prompt)
        health.record_sent("b", "models")
        clock.advance(LONG_PROMPT_MS)
        assert health.reachable(POOL) == set(POOL)
        assert health.unreachable_instances() == []

    def test_a_server_that_is_quiet_for_longer_is_silent(self, health, clock):
        """Guards against sending chats to a dead server for seconds."""
        health.quiet_times.record("models", False, LONG_PROMPT_MS)
        health.record_sent("a", "models")
        clock.advance(round(TIMEOUT_FACTOR * LONG_PROMPT_MS) + 1)
        assert "a" not in health.reachable(POOL)

    def test_a_server_that_stops_within_a_response_is_silent_soon(self, health, clock):
        """Guards against a dead server that counts as one with a long prompt."""
        health.quiet_times.record("models", False, LONG_PROMPT_MS)
        started = health.record_sent("a", "models")
        clock.advance(20)
        health.record_received("a", started)
        health.record_sent("a", "models")
        clock.advance(MIN_TIMEOUT_MS + 1)
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

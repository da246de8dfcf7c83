import os

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.server_health import SILENCE_TIMEOUT_MS
from medlarridge_direct._internal.daemon import (
    HOUSEKEEPING_INTERVAL_MS,
    STALL_THRESHOLD_MS,
    DirectRouter,
)
from medlarridge_direct._internal.settings import load_settings

from .scripted import FakeDialect

SETTINGS = """
node = "node"
role = "router"
ip = "127.0.0.1"
data_centre = "anfa"
first_start = true
[listen]
clients = "127.0.0.1:8000"
readiness = "127.0.0.1:8001"
peer_port = 8002
metrics_port = 8003
[store]
address = "127.0.0.1:8004"
[retries]
slack = 50
"""


@pytest.fixture
def settings_path(tmp_path):
    settings_path = tmp_path / "router.toml"
    settings_path.write_text(SETTINGS)
    os.utime(settings_path, ns=(1, 1))
    return settings_path


@pytest.fixture
def router(settings_path):
    return DirectRouter(
        load_settings(settings_path), settings_path, FakeDialect(), store=None
    )


class TestReload:
    def test_a_changed_file_is_read_without_a_signal(self, router, settings_path):
        """Guards against limits that stay at what they were at the start."""
        settings_path.write_text(SETTINGS.replace("slack = 50", "slack = 90"))
        router.reload_if_changed()
        assert router.components.retry_budget.limits.slack == 90

    def test_a_faulty_file_changes_nothing(self, router, settings_path):
        """Guards against a router that ends or forgets its limits for a mistake."""
        settings_path.write_text(SETTINGS.replace("slack = 50", "slack = -1"))
        router.reload_if_changed()
        assert router.components.retry_budget.limits.slack == 50
        settings_path.unlink()
        router.reload_if_changed()
        assert router.components.retry_budget.limits.slack == 50


class TestReadiness:
    def test_a_router_without_beliefs_is_not_ready(self, router):
        """Guards against traffic for a router that knows no routes."""
        assert not router.ready


class RecordingLog:
    """Log that keeps the codes and fields of its lines."""

    def __init__(self):
        self.lines = []

    def event(self, event, **fields):
        self.lines.append((event.code, fields))


@pytest.fixture
def observed_router(router):
    """Return a router with a clock and a log that tests read."""
    router.clock = router.components.health.clock = ManualClock(1_000_000)
    router.log = RecordingLog()
    router.check_stall()
    return router


class TestBeliefs:
    def test_a_server_that_goes_silent_is_logged_once_and_when_it_is_heard(
        self, observed_router
    ):
        """Guards against late answers whose cause no line shows."""
        health = observed_router.components.health
        number = health.record_sent("s-1")
        observed_router.log_silent_servers()
        observed_router.clock.advance(SILENCE_TIMEOUT_MS + 1)
        observed_router.log_silent_servers()
        observed_router.log_silent_servers()
        assert observed_router.log.lines == [("MR6115", {"server": "s-1"})]
        health.record_received("s-1", number)
        observed_router.log_silent_servers()
        assert observed_router.log.lines[1:] == [("MR6116", {"server": "s-1"})]

    def test_a_server_that_is_forgotten_is_no_longer_silent(self, observed_router):
        """Guards against lines about servers that have left."""
        observed_router.components.health.record_sent("s-1")
        observed_router.clock.advance(SILENCE_TIMEOUT_MS + 1)
        observed_router.log_silent_servers()
        observed_router.components.health.reset("s-1")
        observed_router.log_silent_servers()
        assert observed_router.silent_servers == set()

    def test_a_process_that_stood_still_says_for_how_long(self, observed_router):
        """Guards against late requests of a paused VM that look like a slow server."""
        observed_router.clock.advance(HOUSEKEEPING_INTERVAL_MS + STALL_THRESHOLD_MS)
        observed_router.check_stall()
        assert observed_router.log.lines == []
        observed_router.clock.advance(HOUSEKEEPING_INTERVAL_MS + 3_000)
        observed_router.check_stall()
        assert observed_router.log.lines == [("MR6142", {"late_ms": 3_000})]

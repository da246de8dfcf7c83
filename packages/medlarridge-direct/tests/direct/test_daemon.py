import os

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.server_health import SILENCE_TIMEOUT_MS
from medlarridge_direct._internal.daemon import (
    HOUSEKEEPING_MS,
    STALL_MS,
    DirectRouter,
)
from medlarridge_direct._internal.settings import load_settings

from .scripted import PlainDialect

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
def path(tmp_path):
    path = tmp_path / "router.toml"
    path.write_text(SETTINGS)
    os.utime(path, ns=(1, 1))
    return path


@pytest.fixture
def router(path):
    return DirectRouter(load_settings(path), path, PlainDialect(), store=None)


class TestReload:
    def test_a_changed_file_is_read_without_a_signal(self, router, path):
        """Guards against limits that stay at what they were at the start."""
        path.write_text(SETTINGS.replace("slack = 50", "slack = 90"))
        router.reload_if_changed()
        assert router.parts.budget.limits.slack == 90

    def test_a_faulty_file_changes_nothing(self, router, path):
        """Guards against a router that ends or forgets its limits for a mistake."""
        path.write_text(SETTINGS.replace("slack = 50", "slack = -1"))
        router.reload_if_changed()
        assert router.parts.budget.limits.slack == 50
        path.unlink()
        router.reload_if_changed()
        assert router.parts.budget.limits.slack == 50


class TestReadiness:
    def test_a_router_without_beliefs_is_not_ready(self, router):
        """Guards against traffic for a router that knows no routes."""
        assert not router.ready


class RecordedLog:
    """Log that keeps the codes and fields of its lines."""

    def __init__(self):
        self.lines = []

    def event(self, event, **fields):
        self.lines.append((event.code, fields))


@pytest.fixture
def watched(router):
    """Return a router with a clock and a log that tests read."""
    router.clock = router.parts.health.clock = ManualClock(1_000_000)
    router.log = RecordedLog()
    router.note_stall()
    return router


class TestBeliefs:
    def test_a_server_that_goes_silent_is_logged_once_and_when_it_is_heard(
        self, watched
    ):
        """Guards against late answers whose cause no line shows."""
        health = watched.parts.health
        number = health.record_sent("s-1")
        watched.note_silent()
        watched.clock.advance(SILENCE_TIMEOUT_MS + 1)
        watched.note_silent()
        watched.note_silent()
        assert watched.log.lines == [("MR6115", {"server": "s-1"})]
        health.record_received("s-1", number)
        watched.note_silent()
        assert watched.log.lines[1:] == [("MR6116", {"server": "s-1"})]

    def test_a_server_that_is_forgotten_is_no_longer_silent(self, watched):
        """Guards against lines about servers that have left."""
        watched.parts.health.record_sent("s-1")
        watched.clock.advance(SILENCE_TIMEOUT_MS + 1)
        watched.note_silent()
        watched.parts.health.reset("s-1")
        watched.note_silent()
        assert watched.silent == set()

    def test_a_process_that_stood_still_says_for_how_long(self, watched):
        """Guards against late requests of a paused VM that look like a slow server."""
        watched.clock.advance(HOUSEKEEPING_MS + STALL_MS)
        watched.note_stall()
        assert watched.log.lines == []
        watched.clock.advance(HOUSEKEEPING_MS + 3_000)
        watched.note_stall()
        assert watched.log.lines == [("MR6142", {"late_ms": 3_000})]

import os

import pytest

from medlarridge_direct._internal.daemon import DirectRouter
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
        assert router.parts.budget.bounds.slack == 90

    def test_a_faulty_file_changes_nothing(self, router, path):
        """Guards against a router that ends or forgets its limits for a mistake."""
        path.write_text(SETTINGS.replace("slack = 50", "slack = -1"))
        router.reload_if_changed()
        assert router.parts.budget.bounds.slack == 50
        path.unlink()
        router.reload_if_changed()
        assert router.parts.budget.bounds.slack == 50


class TestReadiness:
    def test_a_router_without_beliefs_is_not_ready(self, router):
        """Guards against traffic for a router that knows no routes."""
        assert not router.ready

"""Fixtures of all tests and the treatment of tests that are known to fail."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_PREFIX = "Test: "


@pytest.fixture
def anyio_backend():
    return "asyncio"


def known_red_tests(text):
    """Return the node IDs on the ``Test:`` lines of the list of known failures."""
    lines = (line.strip() for line in text.splitlines())
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(items):
    """Expect listed tests to fail; one that passes again fails until it is unlisted."""
    listed = known_red_tests(KNOWN_RED.read_text()) if KNOWN_RED.exists() else set()
    for item in items:
        if item.nodeid in listed or item.nodeid.partition("[")[0] in listed:
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt", strict=True))

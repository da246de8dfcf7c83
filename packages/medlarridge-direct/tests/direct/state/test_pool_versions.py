import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.state.pool_versions import MAX_GAP_MS, PoolVersions

from ..samples import server

SPAN_MS = 20_000


@pytest.fixture
def versions():
    """Versions of a router that has just read its first list, which shows v2."""
    versions = PoolVersions(ManualClock(1_000_000))
    versions.record([server(software_version="v2")], None)
    return versions


def store(versions, *stored):
    versions.record_stored("models", stored, versions.clock.now_ms())


class TestStoredSet:
    def test_tells_the_only_version_at_once(self, versions):
        """Guards against take-ups that are refused until the lists are old enough."""
        assert versions.only_version("models", SPAN_MS) is None
        store(versions, "v2")
        assert versions.only_version("models", SPAN_MS) == "v2"
        assert not versions.listed_throughout(SPAN_MS)

    def test_is_joined_with_the_listed_versions(self, versions):
        """Guards against a version that serves and is not in the set yet."""
        store(versions, "v1")
        assert versions.only_version("models", SPAN_MS) is None

    def test_tells_of_versions_that_have_left(self, versions):
        """Guards against a version that left before the restart."""
        store(versions, "v1", "v2")
        versions.clock.advance(SPAN_MS)
        assert versions.only_version("models", SPAN_MS) is None
        versions.clock.advance(1)
        assert versions.recent("models", SPAN_MS) == {"v2"}

    def test_tells_nothing_after_a_gap_in_the_lists(self, versions):
        """Guards against a version that came and left during the gap."""
        store(versions, "v2")
        versions.clock.advance(MAX_GAP_MS + 1)
        versions.record([server(software_version="v2")], MAX_GAP_MS + 1)
        assert versions.only_version("models", SPAN_MS) is None

    def test_of_one_pool_tells_nothing_of_another(self, versions):
        """Guards against a set that is used for the wrong pool."""
        versions.record([server(pool="spare", software_version="v2")], 0)
        store(versions, "v2")
        assert versions.only_version("spare", SPAN_MS) is None

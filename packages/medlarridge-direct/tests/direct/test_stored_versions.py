"""What the store holds for streams: when it is written, and what waits for it."""

import pytest

from .router_fleet import POOL
from .test_stream_restarts import BOTH, NEW, OLD, RestartingFleet
from .test_stream_versions import FLEET_SIZE, HANDOVER_MS

pytestmark = pytest.mark.anyio


class TestNewStreams:
    async def test_wait_until_their_version_is_stored(self):
        """Guards against ORDER: streams at a version that a restart cannot know of."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        fleet.fleet.registry.read_only = True
        fleet.list_servers(BOTH)
        assert await fleet.used(0) == {"a", "c"}
        fleet.fleet.registry.read_only = False
        await fleet.run(HANDOVER_MS)
        assert await fleet.used(0) == set(BOTH)

    async def test_begin_at_once_where_no_other_server_is_left(self):
        """Guards against refusing callers because the store takes no writes."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        fleet.fleet.registry.read_only = True
        fleet.list_servers(NEW)
        assert await fleet.used(0) == set(NEW)

    async def test_do_not_wait_for_long(self):
        """Guards against new servers that stay idle while the store takes no writes."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        fleet.fleet.registry.read_only = True
        fleet.list_servers(BOTH)
        await fleet.run(4_000)
        assert await fleet.used(0) == set(BOTH)


class TestCallsToTheStore:
    async def test_calm_times_need_none(self):
        """Guards against writes for each stream while a pool has one version."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        calls = fleet.fleet.registry.stream_calls.copy()
        for number in range(100):
            await fleet.begin(number % FLEET_SIZE, "a", request_id=f"r-{number}")
            await fleet.run(1_000)
        assert fleet.fleet.registry.stream_calls == calls

    async def test_a_release_needs_few_writes_of_the_versions(self):
        """Guards against a write of the versions by every router."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        before = fleet.fleet.registry.stream_calls["write-version-set"]
        fleet.list_servers(BOTH)
        await fleet.run(5_000)
        fleet.list_servers(NEW)
        await fleet.run(60_000)
        writes = fleet.fleet.registry.stream_calls["write-version-set"] - before
        assert writes == 3
        assert fleet.fleet.registry.versions(POOL) == {"v2"}

    async def test_a_store_that_is_down_is_not_asked_again_at_once(self):
        """Guards against calls in quick succession for one stream that is unknown."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        fleet.fleet.registry.unreachable_for.add("front-0")
        before = fleet.fleet.registry.stream_calls["list-stream-records"]
        response, _ = await fleet.resume(0, resumes="unknown")
        assert response.status == 503
        calls = fleet.fleet.registry.stream_calls["list-stream-records"] - before
        assert calls == 1

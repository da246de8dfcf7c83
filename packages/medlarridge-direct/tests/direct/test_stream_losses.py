"""Streams that a loss of all routers meets while servers or routes change."""

import asyncio
import contextlib

import pytest

from medlarridge import TransportError
from medlarridge_direct._internal.coordination import stream_records

from .scripted import ScriptedConnections
from .test_moved_routes import IN_MODELS, MODELS, SPLIT, MovingFleet
from .test_request_run import RecordedResponse
from .test_stream_restarts import (
    BOTH,
    HANDOVER_MS,
    LIFE_OF_STREAM_MS,
    OLD,
    RestartingFleet,
    SlowStore,
)
from .test_stream_versions import FLEET_SIZE, request, stream

pytestmark = pytest.mark.anyio


class TestAfterARelease:
    @pytest.mark.parametrize("number", range(FLEET_SIZE))
    @pytest.mark.parametrize("after_ms", [0, 3_000, 8_000, 14_000])
    async def test_a_version_that_the_store_still_names(self, number, after_ms):
        """Guards against LOST: a version counts longer in the store than at a router."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        fleet.list_servers(BOTH)
        await fleet.run(HANDOVER_MS)
        fleet.list_servers(OLD)
        await fleet.run(LIFE_OF_STREAM_MS + after_ms)
        await fleet.begin(number, "a")
        await fleet.restart_all()
        await fleet.assert_goes_on("v1")

    async def test_no_router_writes_records_once_the_version_is_removed(self):
        """Guards against records for good at routers that others write the set for."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        fleet.list_servers(BOTH)
        await fleet.run(HANDOVER_MS)
        fleet.list_servers(OLD)
        await fleet.settle()
        assert fleet.fleet.registry.versions("models") == {"v1"}
        before = fleet.fleet.registry.stream_calls["save-stream-record"]
        for number in range(FLEET_SIZE):
            await fleet.begin(number, "a", request_id=f"late-{number}")
        assert fleet.fleet.registry.stream_calls["save-stream-record"] == before


class TestBeforeARelease:
    async def test_a_second_version_right_after_the_first_event(self):
        """Guards against LOST: streams from before a version that no router has seen."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        await fleet.begin(0, "a")
        fleet.list_servers(BOTH)
        await fleet.restart_all()
        await fleet.assert_goes_on("v1")


class TestChangedRoutes:
    async def test_a_stream_that_begins_as_its_route_is_split(self):
        """Guards against LOST: a record judged by the configuration before."""
        fleet = MovingFleet(MODELS)
        await fleet.settle()
        fleet.move(SPLIT)
        await fleet.begin(0, "a", request_id=IN_MODELS)
        await fleet.restart_all()
        response, asked = await fleet.resume(1, IN_MODELS, "another")
        assert asked == ["a"]
        assert response.status == 200

    async def test_a_split_right_after_the_first_event(self):
        """Guards against LOST: streams from before a split that no router has seen."""
        fleet = MovingFleet(MODELS)
        await fleet.settle()
        await fleet.begin(0, "a", request_id=IN_MODELS)
        fleet.move(SPLIT)
        await fleet.restart_all()
        response, asked = await fleet.resume(1, IN_MODELS, "another")
        assert asked == ["a"]
        assert response.status == 200


class RewritingStore:
    """A store in which a record is written again after it was listed as an old one."""

    def __init__(self, store):
        self.store = store

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def list_stream_records(self, stale):
        records = await self.store.list_stream_records(stale)
        for record in records:
            await self.store.save_stream_record(record.name, record.groups, True)
        return records


class TestRemoval:
    async def test_a_record_that_is_written_again_stays(self):
        """Guards against LOST: a record is removed that was old when it was listed."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.begin(0, "b")
        registry = fleet.fleet.registry
        (record,) = registry.stream_records.values()
        sync = fleet.fleet.routers[0].sync.stream_records
        sync.store = RewritingStore(sync.store)
        sync.next_clean_ms = 0
        sync.seen_ms = {(record.name, record.revision): 0}
        await sync.clean_if_due()
        assert registry.stream_calls["delete-stream-record"] == 1
        assert list(registry.stream_records) == [record.name]


class TestOlderCopy:
    async def test_a_drill_after_the_records_were_read(self):
        """Guards against LOST: records that only those who wrote them write again."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        copy = fleet.fleet.registry.keep_copy()
        await fleet.begin(0, "a")
        await fleet.restart_all()
        response, _ = await fleet.resume(1, busy="v1")
        assert response.status == 200
        fleet.era = fleet.fleet.registry.restore(copy)
        fleet.list_servers()
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        await fleet.assert_goes_on("v1")


@contextlib.asynccontextmanager
async def writing(router):
    """Let a router write records by its own task, as in a process."""
    records = router.sync.stream_records
    router.components.confirm_stored = records.confirm_stored
    tasks = [asyncio.create_task(job()) for job in (records.run, records.clean)]
    await asyncio.sleep(0)
    try:
        yield records
    finally:
        for task in tasks:
            task.cancel()


class StuckList:
    """A store that takes records and does not answer when it is asked for them."""

    def __init__(self, store):
        self.store = store
        self.asked = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def list_stream_records(self, stale):
        self.asked.set()
        await asyncio.Event().wait()


class TestWriteTask:
    @pytest.mark.parametrize("other_calls", ["answered", "failed"])
    async def test_the_first_event_waits_for_the_task_that_writes(self, other_calls):
        """Guards against LOST: a wait that is left out, or is when another call fails."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        router = fleet.fleet.routers[0]
        if other_calls == "failed":
            error = TransportError("status 429", step="registry")
            router.sync.set_store_reachable(False, error)
        async with writing(router) as records:
            records.store = store = SlowStore(records.store)
            components = router.components
            components.connections = ScriptedConnections({"b": [stream(1)]})
            components.load.begin_attempt("a")
            components.load.begin_attempt("c")
            response = RecordedResponse()
            task = asyncio.ensure_future(request(components, response=response))
            await asyncio.wait_for(store.asked.wait(), 5)
            for _ in range(10):
                await asyncio.sleep(0)
            assert not response.started
            store.may_answer.set()
            await task
        assert response.status == 200
        assert components.metrics.streams_not_stored == 0

    async def test_the_first_write_waits_for_no_interval(self):
        """Guards against first events that wait although nothing was written lately."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        router = fleet.fleet.routers[0]
        router.sync.stream_records.writes_per_s = 0.001
        async with writing(router):
            await fleet.begin(0, "b")
        assert router.components.metrics.streams_not_stored == 0

    async def test_records_are_written_while_old_ones_are_looked_for(self):
        """Guards against LOST: first events that go while old records are removed."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        first = min(
            fleet.fleet.routers.values(), key=lambda each: each.peers.own_router_id
        )
        records = first.sync.stream_records
        records.store = store = StuckList(records.store)
        records.may_exist, records.next_clean_ms = True, 0
        async with writing(first):
            await asyncio.wait_for(store.asked.wait(), 5)
            await fleet.begin(first.number, "b")
        assert first.components.metrics.streams_not_stored == 0

    async def test_a_stream_without_room_counts_as_not_stored(self, monkeypatch):
        """Guards against streams that are lost and counted as stored."""
        monkeypatch.setattr(stream_records, "MAX_STREAMS", 0)
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.begin(0, "b")
        assert fleet.fleet.routers[0].components.metrics.streams_not_stored == 1

    async def test_an_interval_that_is_longer_than_the_wait(self):
        """Guards against LOST: first events that never wait long enough in a fleet."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        router = fleet.fleet.routers[0]
        records = router.sync.stream_records
        records.writes_per_s = FLEET_SIZE * 400 / 68
        assert records.interval_ms() == 340
        async with writing(router):
            for number in range(2):
                await fleet.begin(0, "b", request_id=f"stream-{number}")
        assert router.components.metrics.streams_not_stored == 0

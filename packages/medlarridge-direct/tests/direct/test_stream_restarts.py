"""Streams that clients take up after all routers have restarted together.

They go on at the version that began them as soon as the routers are back, and never at
another one.
"""

import asyncio

import pytest

from medlarridge import TransportError
from medlarridge_direct._internal.store_sync import MIN_RETRY_DELAY_MS
from medlarridge_direct._internal.stream_continuity import READ_TIMEOUT_MS

from .scripted import ScriptedConnections
from .test_request_run import RecordedResponse, sent_to
from .test_stream_versions import (
    FLEET_SIZE,
    HANDOVER_MS,
    StreamFleet,
    request,
    stream,
)

pytestmark = pytest.mark.anyio

OLD = {"a": "v1", "c": "v1"}
BOTH = {"a": "v1", "b": "v2", "c": "v1"}
NEW = {"b": "v2", "d": "v2"}
BACK_MS = 1_000
"""Time after which routers that are back must know what the store holds."""
LIFE_OF_STREAM_MS = 10_000
"""Timeout of the route, and the time after it for which a stream may be taken up."""


class RestartingFleet(StreamFleet):
    """Routers that all lose what they know at the same moment."""

    async def restart_all(self):
        for number in range(FLEET_SIZE):
            self.fleet.start(number)
        self.list_servers()
        await self.run(BACK_MS)

    async def begin_unheard(self, instance):
        """Begin a stream at a router that can tell neither its peers nor the store."""
        self.fleet.cut(0)
        self.fleet.registry.unreachable_for.add("front-0")
        await self.begin(0, instance)
        self.fleet.heal()

    async def used(self, number):
        """Return the servers at which a router lets new streams begin."""
        components = self.fleet.routers[number].components
        used = set()
        for instance in self.versions:
            components.connections = ScriptedConnections(
                {each: [stream(1)] for each in self.versions}
            )
            others = [each for each in self.versions if each != instance]
            for other in others:
                components.load.begin_attempt(other)
            await request(components, f"to-{instance}")
            for other in others:
                components.load.end_attempt(other)
            used.update(sent_to(components))
        return used

    async def assert_goes_on(self, version):
        """Check that each router lets only servers of this version go on."""
        for number in range(FLEET_SIZE):
            response, asked = await self.resume(number, busy=version)
            assert [self.versions[each] for each in asked] == [version]
            assert response.status == 200

    async def assert_refused(self):
        for number in range(FLEET_SIZE):
            response, asked = await self.resume(number)
            assert asked == []
            assert response.status == 503


class SlowStore:
    """A store that answers the write of a record only when it is told to."""

    def __init__(self, store):
        self.store = store
        self.asked = asyncio.Event()
        self.may_answer = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def save_stream_record(self, *record):
        self.asked.set()
        await self.may_answer.wait()
        await self.store.save_stream_record(*record)


class LateStore:
    """A store that does not answer the first write of a record, and does it later."""

    def __init__(self, store):
        self.store = store
        self.late = None

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def save_stream_record(self, *record):
        if self.late is None:
            self.late = record
            raise TransportError("no response", step="write")
        return await self.store.save_stream_record(*record)

    async def write_late(self):
        await self.store.save_stream_record(*self.late)


class TestGoesOnAfterARestartOfAllRouters:
    async def test_one_version_for_long(self):
        """Guards against LOST after a restart of all routers, without a release."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        await fleet.begin(0, "a")
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        await fleet.assert_goes_on("v1")

    @pytest.mark.parametrize("began_at", ["a", "b"])
    async def test_two_versions_side_by_side(self, began_at):
        """Guards against LOST of a stream that began beside another version."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.begin(0, began_at)
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        await fleet.assert_goes_on(BOTH[began_at])

    async def test_a_stream_from_before_the_second_version(self):
        """Guards against LOST of the streams that are open when a release begins."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        await fleet.begin(0, "a")
        await fleet.run(HANDOVER_MS)
        fleet.list_servers(BOTH)
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        await fleet.assert_goes_on("v1")

    async def test_the_old_version_has_just_left(self):
        """Guards against LOST of streams of the new version after a whole release."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        fleet.list_servers(BOTH)
        await fleet.run(HANDOVER_MS)
        fleet.list_servers(NEW)
        await fleet.run(HANDOVER_MS)
        await fleet.begin(0, "b")
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        await fleet.assert_goes_on("v2")

    async def test_a_second_restart_soon_after_the_first(self):
        """Guards against records that only the process which wrote them can find."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.begin(0, "b")
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        await fleet.restart_all()
        await fleet.assert_goes_on("v2")

    @pytest.mark.parametrize("after_ms", [3_000, 15_000, 30_000])
    async def test_a_store_that_came_back_from_an_older_copy_before(self, after_ms):
        """Guards against LOST with one version while the stored set is not complete."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        registry = fleet.fleet.registry
        fleet.era = registry.restore(registry.keep_copy())
        fleet.list_servers()
        await fleet.run(after_ms)
        await fleet.begin(0, "a")
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        await fleet.assert_goes_on("v1")

    async def test_a_record_that_the_store_writes_seconds_late(self):
        """Guards against LOST: a late write in place of a newer record."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        store = LateStore(fleet.fleet.routers[0].sync.stream_records.store)
        fleet.fleet.routers[0].sync.stream_records.store = store
        await fleet.begin(0, "b")
        await fleet.run(HANDOVER_MS)
        await fleet.begin(0, "b", request_id="3")
        await fleet.run(HANDOVER_MS)
        await store.write_late()
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        response, asked = await fleet.resume(0, resumes="3", request_id="4")
        assert asked == ["b"]
        assert response.status == 200


class TestStoredBeforeTheFirstEvent:
    @pytest.mark.parametrize("began_at", ["a", "b"])
    async def test_all_routers_are_lost_right_after_the_first_event(self, began_at):
        """Guards against LOST: an event that its client has before the record is stored."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.begin(0, began_at)
        await fleet.restart_all()
        await fleet.assert_goes_on(BOTH[began_at])

    async def test_the_first_event_waits_for_the_answer_of_the_store(self):
        """Guards against LOST: a first event that is sent while its record is written."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        router = fleet.fleet.routers[0]
        store = SlowStore(router.sync.stream_records.store)
        router.sync.stream_records.store = store
        components = router.components
        components.connections = ScriptedConnections({"b": [stream(1)]})
        components.load.begin_attempt("a")
        components.load.begin_attempt("c")
        response = RecordedResponse()
        task = asyncio.ensure_future(request(components, response=response))
        await asyncio.wait_for(store.asked.wait(), 5)
        assert sent_to(components) == ["b"]
        assert not response.started
        store.may_answer.set()
        await task
        assert response.status == 200

    async def test_a_store_that_takes_no_writes_holds_one_wait_at_most(self):
        """Guards against streams that all wait for a store that is down or late."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        fleet.fleet.registry.read_only = True
        await fleet.begin(0, "a", request_id="1")
        records = fleet.fleet.routers[0].sync.stream_records
        assert records.late
        await fleet.begin(0, "a", request_id="3")
        assert fleet.fleet.routers[0].components.metrics.streams_not_stored == 2
        fleet.fleet.registry.read_only = False
        await fleet.run(BACK_MS)
        assert not records.late
        await fleet.restart_all()
        for resumes in ("1", "3"):
            response, _ = await fleet.resume(0, resumes, request_id="4", busy="v1")
            assert response.status == 200

    async def test_a_stream_of_a_router_that_restarted_alone(self):
        """Guards against LOST of a stream that only its first router would record."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        await fleet.begin(0, "a")
        await fleet.run(HANDOVER_MS)
        fleet.fleet.start(0)
        fleet.list_servers()
        await fleet.run(BACK_MS)
        response, _ = await fleet.resume(1, busy="v1")
        assert response.status == 200
        fleet.list_servers(BOTH)
        await fleet.run(HANDOVER_MS)
        await fleet.restart_all()
        await fleet.assert_goes_on("v1")

    async def test_a_stream_taken_up_is_not_stored_twice(self):
        """Guards against writes for a stream that the store holds."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.begin(0, "b")
        await fleet.restart_all()
        before = fleet.fleet.registry.stream_calls["save-stream-record"]
        await fleet.assert_goes_on("v2")
        assert fleet.fleet.registry.stream_calls["save-stream-record"] == before

    async def test_one_version_costs_no_write(self):
        """Guards against writes while the origin of each stream can be inferred."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        await fleet.begin(0, "a")
        assert fleet.fleet.registry.stream_calls["save-stream-record"] == 0


class TestNeverAtAnotherVersion:
    async def test_an_unheard_stream_of_a_version_that_left(self):
        """Guards against ORDER: the rest of a stream from the only version left."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.begin_unheard("b")
        fleet.list_servers(OLD)
        await fleet.run(2_000)
        await fleet.restart_all()
        await fleet.assert_refused()

    async def test_an_unheard_stream_beside_another_version(self):
        """Guards against ORDER: a guess among the versions that serve."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.begin_unheard("b")
        await fleet.restart_all()
        await fleet.assert_refused()

    async def test_a_version_that_came_and_left(self):
        """Guards against ORDER: a version of which no list tells any more."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        fleet.list_servers(BOTH)
        await fleet.run(2_000)
        await fleet.begin_unheard("b")
        fleet.list_servers(OLD)
        await fleet.run(LIFE_OF_STREAM_MS - 4_000)
        await fleet.restart_all()
        await fleet.assert_refused()

    async def test_a_store_that_came_back_from_before_the_release(self):
        """Guards against ORDER: an older copy of the store lacks a version."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        copy = fleet.fleet.registry.keep_copy()
        fleet.list_servers(BOTH)
        await fleet.run(2_000)
        await fleet.begin_unheard("b")
        fleet.list_servers(OLD)
        fleet.era = fleet.fleet.registry.restore(copy)
        await fleet.restart_all()
        await fleet.assert_refused()

    async def test_a_store_that_takes_no_writes_during_a_release(self):
        """Guards against ORDER: a version that serves although it is not stored."""
        fleet = RestartingFleet(OLD)
        await fleet.settle()
        fleet.fleet.registry.read_only = True
        fleet.list_servers(NEW)
        await fleet.run(3_000)
        await fleet.begin_unheard("b")
        fleet.fleet.registry.read_only = False
        await fleet.restart_all()
        await fleet.assert_refused()

    async def test_a_router_that_restarts_alone(self):
        """Guards against ORDER: a guess by the router that knows least."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        fleet.fleet.start(2)
        fleet.list_servers()
        await fleet.run(BACK_MS)
        response, asked = await fleet.resume(2, resumes="unknown")
        assert asked == []
        assert response.status == 503


class TestCalls:
    async def test_a_store_that_refuses_calls_is_not_asked_again_at_once(self):
        """Guards against calls without a pause while streams are taken up."""
        fleet = RestartingFleet(BOTH)
        await fleet.settle()
        await fleet.restart_all()
        fleet.fleet.registry.unreachable_for.add("front-0")
        await fleet.resume(0, resumes="unknown")
        calls = fleet.fleet.routers[0].components.metrics.store_calls
        most = 1 + READ_TIMEOUT_MS // MIN_RETRY_DELAY_MS
        assert 1 <= calls["list-stream-records"] <= most

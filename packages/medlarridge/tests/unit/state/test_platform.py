from contextlib import asynccontextmanager

import anyio
import httpx
import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.errors import StoreErrorKind
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.state.platform import PlatformStore, Vm, VmState
from medlarridge._internal.state.store import MAX_VALUE_BYTES, ObjectName, StoredObject
from medlarridge_standins.loopback import serve_on_loopback
from medlarridge_standins.platform import (
    FailureMode,
    Faults,
    Platform,
    PlatformSettings,
)
from medlarridge_standins.platform import Vm as ListedVm

SHORT_TIMEOUT_MS = 250
LONG_TIMEOUT_MS = 10_000


def new_platform(**settings):
    return Platform(PlatformSettings(bind="", **settings), ManualClock())


def store_in_process(platform):
    transport = httpx.ASGITransport(app=platform.endpoints)
    return PlatformStore("http://platform", transport=transport)


@asynccontextmanager
async def store_over_tcp(platform, timeout_ms=LONG_TIMEOUT_MS):
    async with (
        serve_on_loopback(platform.endpoints) as url,
        PlatformStore(url, timeout_ms) as store,
    ):
        yield store


@pytest.fixture(params=["memory", "platform"])
def store(request):
    if request.param == "memory":
        return MemoryStore()
    return store_in_process(new_platform())


class TestObjectStoreContract:
    async def test_writes_only_over_the_expected_version(self, store):
        """Guards against a lost update when two writers race."""
        first = (await store.put("tables/routes", b"1", 0)).unwrap()
        second = (await store.put("tables/routes", b"2", first)).unwrap()
        assert second > first
        for expected in (0, first):
            error = (await store.put("tables/routes", b"3", expected)).unwrap_err()
            assert error.kind is StoreErrorKind.CONFLICT
        read = (await store.get("tables/routes")).unwrap()
        assert read == StoredObject("tables/routes", second, b"2")

    async def test_deletes_only_the_expected_version(self, store):
        """Guards against deleting an object that another writer has just changed."""
        version = (await store.put("a", b"1", 0)).unwrap()
        error = (await store.delete("a", version + 1)).unwrap_err()
        assert error.kind is StoreErrorKind.CONFLICT
        assert (await store.delete("a", version)).is_ok()
        assert (await store.get("a")).unwrap() is None

    async def test_lists_below_a_prefix(self, store):
        """Guards against a listing with missing or additional objects."""
        versions = [(await store.put(k, b"", 0)).unwrap() for k in ("x/b", "y", "x/a")]
        assert (await store.list("x/")).unwrap() == [
            ObjectName("x/a", versions[2]),
            ObjectName("x/b", versions[0]),
        ]

    async def test_keys_keep_their_characters(self, store):
        """Guards against keys with addresses that are changed by URL encoding."""
        key = "orders/10.0.0.1:7200"
        version = (await store.put(key, b"x", 0)).unwrap()
        assert (await store.list("orders/")).unwrap() == [ObjectName(key, version)]
        assert (await store.get(key)).unwrap().value == b"x"

    async def test_watch_sees_a_later_write_and_times_out_without_one(self, store):
        """Guards against a watch that misses a change or never ends."""
        version = (await store.put("a", b"1", 0)).unwrap()
        assert (await store.watch("a", version, 1)).unwrap() is None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(store.put, "a", b"2", version)
            seen = (await store.watch("a", version, 60_000)).unwrap()
        assert seen is not None
        assert seen.value == b"2"

    async def test_refuses_a_value_over_the_limit(self, store):
        """Guards against a large value that is truncated or sent to be refused."""
        error = (await store.put("a", bytes(MAX_VALUE_BYTES + 1), 0)).unwrap_err()
        assert error.kind is StoreErrorKind.TOO_LARGE
        assert (await store.put("a", bytes(MAX_VALUE_BYTES), 0)).is_ok()


class TestPlatformStoreFaults:
    async def test_refused_connection_is_unavailable(self):
        """Guards against an ambiguous result of a write that was never sent."""
        async with serve_on_loopback(new_platform().endpoints) as url:
            pass
        async with PlatformStore(url) as store:
            for result in (await store.put("a", b"", 0), await store.get("a")):
                assert result.unwrap_err().kind is StoreErrorKind.UNAVAILABLE

    @pytest.mark.parametrize(
        ("outage", "write_kind"),
        [
            (FailureMode.REFUSE, StoreErrorKind.UNAVAILABLE),
            (FailureMode.CLOSE, StoreErrorKind.AMBIGUOUS),
            (FailureMode.SILENT, StoreErrorKind.AMBIGUOUS),
        ],
    )
    async def test_outage(self, outage, write_kind):
        """Guards against reporting a failed write without effect although it may have
        taken effect."""
        platform = new_platform()
        platform.faults = Faults(outage=outage)
        silent = outage is FailureMode.SILENT
        timeout_ms = SHORT_TIMEOUT_MS if silent else LONG_TIMEOUT_MS
        async with store_over_tcp(platform, timeout_ms) as store:
            for write in (store.put("a", b"1", 0), store.delete("a", 1)):
                assert (await write).unwrap_err().kind is write_kind
            for read in (store.get("a"), store.watch("a", 0, 1)):
                error = (await read).unwrap_err()
                assert error.kind is StoreErrorKind.UNAVAILABLE

    @pytest.mark.parametrize("how", [FailureMode.CLOSE, FailureMode.SILENT])
    async def test_write_with_a_lost_response_is_ambiguous(self, how):
        """Guards against repeating a write that took effect although its response was
        lost."""
        platform = new_platform()
        platform.faults = Faults(lose_after=1, lost_answers=how)
        async with store_over_tcp(platform, SHORT_TIMEOUT_MS) as store:
            error = (await store.put("a", b"1", 0)).unwrap_err()
            assert error.kind is StoreErrorKind.AMBIGUOUS
        assert platform.store.objects["a"].value == b"1"

    async def test_write_may_take_effect_after_the_timeout(self):
        """Guards against treating the timeout of a slow store as a refusal."""
        platform = new_platform()
        platform.faults = Faults(slow_ms=5 * SHORT_TIMEOUT_MS)
        async with store_over_tcp(platform, SHORT_TIMEOUT_MS) as store:
            error = (await store.put("a", b"1", 0)).unwrap_err()
            assert error.kind is StoreErrorKind.AMBIGUOUS
            late = (await platform.store.watch("a", 0, 60_000)).unwrap()
            assert late is not None

    async def test_rate_limit(self):
        """Guards against clients that overload a store with limited rates, because its
        limit is not reported to them."""
        platform = new_platform(writes_per_s=1)
        store = store_in_process(platform)
        assert (await store.put("a", b"1", 0)).is_ok()
        error = (await store.put("b", b"1", 0)).unwrap_err()
        assert error.kind is StoreErrorKind.RATE_LIMITED
        assert "b" not in platform.store.objects

    @pytest.mark.parametrize(
        ("status", "headers"),
        [
            (200, {}),
            (200, {"etag": "x"}),
            (500, {}),
            (200, {"content-encoding": "gzip"}),
        ],
    )
    async def test_malformed_response_is_ambiguous(self, status, headers):
        """Guards against treating a malformed response as success or as a refusal."""

        async def content():
            yield b"no sense"

        transport = httpx.MockTransport(
            lambda request: httpx.Response(status, headers=headers, content=content())
        )
        store = PlatformStore("http://platform", transport=transport)
        error = (await store.put("a", b"1", 0)).unwrap_err()
        assert error.kind is StoreErrorKind.AMBIGUOUS
        assert (await store.get("a")).is_err()
        assert (await store.list("a")).is_err()

    async def test_a_watch_may_last_longer_than_other_calls(self):
        """Guards against watches that fail when nothing changes."""
        timeouts = []

        def answer(request):
            timeouts.append(request.extensions["timeout"]["read"])
            return httpx.Response(204)

        transport = httpx.MockTransport(answer)
        store = PlatformStore("http://platform", 2_000, transport)
        assert (await store.watch("a", 0, 5_000)).unwrap() is None
        assert timeouts == [7.0]


class TestPlatformLists:
    async def test_list_of_vms_lags(self):
        """Guards against tests in which all routers see a change at once, because the
        stand-in's list does not lag."""
        platform = new_platform(vm_lag_ms=1_000)
        store = store_in_process(platform)
        assert (await store.vms()).unwrap().vms == []
        platform.change_vms({"10.0.0.1": ListedVm(data_centre="manzanillo-a")})
        assert (await store.vms(0)).unwrap() is None
        platform.vms.clock.advance(1_000)
        seen = (await store.vms(0)).unwrap()
        assert seen.vms == [Vm("10.0.0.1", "manzanillo-a", VmState.LIVE)]
        assert (await store.vms(seen.version)).unwrap() is None

    async def test_weights_are_rate_limited(self):
        """Guards against a fleet that can fetch all weights at once, because the stand-in
        does not limit the rate."""
        platform = new_platform(weights_per_s=1, weight_bytes=5)
        store = store_in_process(platform)
        assert (await store.weights("asistente")).unwrap() == b"asist"
        error = (await store.weights("asistente")).unwrap_err()
        assert error.kind is StoreErrorKind.RATE_LIMITED
        platform.vms.clock.advance(1_000)
        assert (await store.weights("asistente")).is_ok()

import msgspec
import pytest

from medlarridge._internal.coordination.acceptance import Acceptor, TableObjects, decide
from medlarridge._internal.coordination.accepted_configuration import (
    Configuration,
    TableStatus,
)
from medlarridge._internal.state.keys import (
    ACCEPTED_CONFIGURATION,
    POOLS_TABLE,
    ROUTES_TABLE,
    TABLE_STATUS,
)
from medlarridge._internal.state.memory import MemoryStore, StoreFault
from medlarridge._internal.state.store import MAX_VALUE_BYTES, StoredObject

POOLS = {"p": {"kind": "engine", "data_centres": ["a"]}}


def routes(priority):
    return {"r": {"pools": ["p"], "priority": priority}}


async def edit(store, key, table):
    found = (await store.get(key)).unwrap()
    value = table if isinstance(table, bytes) else msgspec.json.encode(table)
    (await store.put(key, value, found.version if found else 0)).unwrap()


async def accepted(store):
    found = (await store.get(ACCEPTED_CONFIGURATION)).unwrap()
    return Configuration.from_json(found.value, "store")


async def status(store):
    found = (await store.get(TABLE_STATUS)).unwrap()
    return msgspec.json.decode(found.value, type=TableStatus)


@pytest.fixture
async def store():
    store = MemoryStore()
    await edit(store, POOLS_TABLE, POOLS)
    await edit(store, ROUTES_TABLE, routes(1))
    return store


class RacingStore(MemoryStore):
    """Store in which another acceptor finishes right before the first write."""

    async def put(self, key, value, expected_version):
        if key == ACCEPTED_CONFIGURATION and not self.objects.get(key):
            other = MemoryStore(self.objects, last_version=self.last_version)
            await Acceptor(other).run()
            self.last_version = other.last_version
        return await super().put(key, value, expected_version)


class TestAcceptor:
    async def test_conflict_with_another_acceptor_is_resolved_in_one_run(self):
        """Guards against an error or a second generation after a write conflict."""
        store = RacingStore()
        await edit(store, POOLS_TABLE, POOLS)
        assert (await Acceptor(store).run()).is_ok()
        assert (await accepted(store)).generation == 1

    async def test_unchanged_tables_need_one_call(self, store):
        """Guards against acceptance using up the request rate of the store."""
        acceptor = Acceptor(store)
        for _ in range(3):
            await acceptor.run_if_changed()
        calls = store.calls.total()
        await acceptor.run_if_changed()
        assert store.calls.total() == calls + 1
        assert (await accepted(store)).generation == 1

    @pytest.mark.parametrize("fault", list(StoreFault))
    @pytest.mark.parametrize("call", range(1, 10))
    async def test_fault_at_any_call_keeps_one_generation(self, store, call, fault):
        """Guards against skipped or repeated generations after a store fault."""
        store.faults = {store.calls.total() + call: fault}
        acceptor = Acceptor(store)
        for _ in range(4):
            outcome = await acceptor.run_if_changed()
            if outcome.is_ok() and outcome.ok_value is not None:
                # A node applies the configuration that acceptance returns.
                stored = store.objects[ACCEPTED_CONFIGURATION].value
                assert stored == outcome.ok_value.to_json()
        assert (await accepted(store)).generation == 1
        assert (await accepted(store)).tables.routes["r"].priority == 1
        assert await status(store) == TableStatus(2, 1, True, 1)

    async def test_another_acceptor_completes_an_interrupted_run(self, store):
        """Guards against an edit without a status when the lease holder dies."""
        first = Acceptor(store)
        objects = (await first.read()).unwrap()
        await first.write(objects, decide(objects).configuration)
        await Acceptor(store).run_if_changed()
        assert (await accepted(store)).generation == 1
        assert (await status(store)).accepted

    @pytest.mark.parametrize(
        ("key", "table", "reason"),
        [
            (ROUTES_TABLE, b"[1]", "not a JSON map"),
            (ROUTES_TABLE, b"\xff", "not a JSON map"),
            (ROUTES_TABLE, b'{"r":' * 2000, "not a JSON map"),
            (ROUTES_TABLE, {"r": {"pools": ["q"]}}, "'q'"),
            (ROUTES_TABLE, {"r": {"pools": ["p"], "prio": 1}}, "routes.r.prio"),
            (POOLS_TABLE, {}, "'p'"),
        ],
    )
    async def test_rejected_tables_change_nothing(self, store, key, table, reason):
        """Guards against an invalid edit that takes partial effect."""
        await Acceptor(store).run()
        before = await accepted(store)
        await edit(store, key, table)
        await Acceptor(store).run()
        assert await accepted(store) == before
        assert reason in (await status(store)).reason
        assert not (await status(store)).accepted

    async def test_deleted_table_is_rejected(self, store):
        """Guards against losing all routes by deleting one object."""
        await Acceptor(store).run()
        found = (await store.get(ROUTES_TABLE)).unwrap()
        await store.delete(ROUTES_TABLE, found.version)
        await Acceptor(store).run()
        assert (await accepted(store)).generation == 1
        assert "deleted" in (await status(store)).reason

    async def test_tables_too_large_together_are_rejected(self, store):
        """Guards against a configuration that exceeds the maximum value size."""
        many = {
            f"r{index}": {
                "pools": ["p"],
                "account_limits": {"x" * 400: {"requests_per_s": 1}},
            }
            for index in range(1800)
        }
        assert len(msgspec.json.encode(many)) < MAX_VALUE_BYTES
        await edit(store, ROUTES_TABLE, many)
        await Acceptor(store).run()
        assert "exceed" in (await status(store)).reason
        assert (await store.get(ACCEPTED_CONFIGURATION)).unwrap() is None

    async def test_unreadable_accepted_object_is_not_overwritten(self, store):
        """Guards against restarting the generations at 1."""
        await edit(store, ACCEPTED_CONFIGURATION, b"{")
        assert (await Acceptor(store).run()).is_err()
        found = (await store.get(ACCEPTED_CONFIGURATION)).unwrap()
        assert found.value == b"{"

    async def test_tables_older_than_the_accepted_ones_are_ignored(self, store):
        """Guards against a lagging read that restores an old edit."""
        old = (await store.get(ROUTES_TABLE)).unwrap()
        await edit(store, ROUTES_TABLE, routes(2))
        await Acceptor(store).run()
        objects = (await Acceptor(store).read()).unwrap()
        lagging = TableObjects(objects.accepted, old, objects.pools, objects.status)
        decision = decide(lagging)
        assert decision.configuration is None
        assert not decision.decided

    def test_empty_store_stays_empty(self):
        """Guards against accepting a configuration when no tables exist."""
        assert decide(TableObjects(None, None, None, None)).configuration is None
        pools = StoredObject(POOLS_TABLE, 1, msgspec.json.encode(POOLS))
        decision = decide(TableObjects(None, None, pools, None))
        assert set(decision.configuration.tables.pools) == {"p"}

import json

import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.state.memory import MemoryStore, StoreFault
from medlarridge._internal.state.store import MAX_VALUE_BYTES
from medlarridge._internal.tables_admin import EditErrorKind, TableName, TablesAdmin
from medlarridge._internal.tables_file import TablesFile

POOL = {"kind": "engine", "data_centres": ["lazaro-c"]}
ROUTES, POOLS = TableName.ROUTES, TableName.POOLS


def tables(versions=(0, 0), routes=None, pools=None):
    content = {"versions": dict(zip(("routes", "pools"), versions, strict=True))}
    if routes is not None:
        content["routes"] = {name: {"pools": [pool]} for name, pool in routes.items()}
    if pools is not None:
        content["pools"] = dict.fromkeys(pools, POOL)
    return TablesFile.model_validate(content)


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def admin(store):
    return TablesAdmin(store, ManualClock())


async def start(admin):
    edits = await admin.apply(tables(routes={"plan": "a"}, pools=["a"]), "maria")
    by_table = {edit.table: edit.after_version for edit in edits.unwrap()}
    return by_table[ROUTES], by_table[POOLS]


async def entries(admin, table):
    return sorted(json.loads((await admin.read(table)).unwrap().value))


class TestApply:
    async def test_invalid_edit_changes_nothing(self, admin, store):
        """Guards against tables in the store that no router can accept."""
        await start(admin)
        before = dict(store.objects)
        for bad in (tables((None, 1), pools=["b"]), tables((3, 1), routes={"x": "b"})):
            error = (await admin.apply(bad, "maria")).unwrap_err()
            assert error.kind is EditErrorKind.INVALID
            assert error.problems
        assert store.objects == before

    async def test_edit_without_a_version_is_refused(self, admin, store):
        """Guards against an edit that overwrites content its author has not read."""
        await start(admin)
        before = dict(store.objects)
        edit = tables((None, None), pools=["a", "b"])
        error = (await admin.apply(edit, "maria")).unwrap_err()
        assert error.kind is EditErrorKind.NO_VERSION
        assert store.objects == before

    async def test_the_same_file_twice_is_one_edit(self, admin, store):
        """Guards against a conflict when a command is repeated after a lost response."""
        await start(admin)
        before = dict(store.objects)
        again = tables(routes={"plan": "a"}, pools=["a"])
        edits = (await admin.apply(again, "maria")).unwrap()
        assert [edit.changed for edit in edits] == [[], []]
        assert store.objects == before

    async def test_no_route_ever_points_to_a_missing_pool(self, admin):
        """Guards against tables that are inconsistent between two writes."""
        routes, pools = await start(admin)
        grow = tables((routes, pools), {"plan": "a", "ask": "b"}, ["a", "b"])
        grown = (await admin.apply(grow, "maria")).unwrap()
        assert [edit.table for edit in grown] == [POOLS, ROUTES]
        versions = grown[1].after_version, grown[0].after_version
        shrink = tables(versions, {"ask": "b"}, ["b"])
        shrunk = (await admin.apply(shrink, "maria")).unwrap()
        assert [edit.table for edit in shrunk] == [ROUTES, POOLS]
        assert shrunk[0].changed == ["-plan"]

    async def test_partly_applied_edit_is_reported(self, admin, store):
        """Guards against an error that does not report the table already written."""
        versions = await start(admin)
        # The calls are two reads, then a write and an audit entry per table.
        store.faults = {store.calls.total() + 5: StoreFault.UNAVAILABLE}
        edit = tables(versions, {"plan": "a", "ask": "b"}, ["a", "b"])
        error = (await admin.apply(edit, "maria")).unwrap_err()
        assert error.kind is EditErrorKind.STORE
        assert [(edit.table, edit.changed) for edit in error.applied] == [
            (POOLS, ["+b"])
        ]

    async def test_missing_audit_entry_is_reported(self, admin, store):
        """Guards against a gap in the audit trail that is not reported."""
        versions = await start(admin)
        store.faults = {store.calls.total() + 4: StoreFault.UNAVAILABLE}
        (edit,) = (
            await admin.apply(tables(versions, pools=["a", "b"]), "maria")
        ).unwrap()
        assert not edit.audited
        assert await entries(admin, POOLS) == ["a", "b"]

    async def test_malformed_table_can_be_replaced(self, admin, store):
        """Guards against a malformed table that cannot be repaired by an edit."""
        await start(admin)
        version = (await store.put(POOLS.key, b"{", 1)).unwrap()
        edit = tables((None, version), pools=["a"])
        assert (await admin.apply(edit, "maria")).is_ok()
        assert await entries(admin, POOLS) == ["a"]

    async def test_table_over_the_limit_is_refused(self, admin, store):
        """Guards against a table that exceeds the store's limit for a value."""
        data_centres = [f"data-centre-{number}" for number in range(64)]
        pool = {"kind": "engine", "data_centres": data_centres}
        count = MAX_VALUE_BYTES // len(json.dumps(pool)) + 1_000
        pools = {f"pool-{number}": pool for number in range(count)}
        edit = {"versions": {"pools": 0}, "pools": pools}
        result = await admin.apply(TablesFile.model_validate(edit), "maria")
        assert "1 MiB" in result.unwrap_err().hint
        assert not store.objects


class TestReadStatus:
    async def test_result_of_acceptance(self, admin, store):
        """Guards against an acceptance result that operators cannot read."""
        assert (await admin.read_status()).unwrap() == b""
        (await store.put("status/tables", b"{}", 0)).unwrap()
        assert (await admin.read_status()).unwrap() == b"{}"
        store.available = False
        assert (await admin.read_status()).is_err()


class TestUndo:
    async def test_older_content_is_a_new_edit(self, admin):
        """Guards against an undo that removes edits from the history."""
        _, first = await start(admin)
        version = first
        for pools in (["a", "b"], ["a", "c"]):
            edit = tables((None, version), pools=pools)
            version = (await admin.apply(edit, "hugo")).unwrap()[0].after_version
        (undone,) = (await admin.undo(POOLS, version, "maria")).unwrap()
        assert await entries(admin, POOLS) == ["a", "b"]
        (back,) = (
            await admin.undo(POOLS, undone.after_version, "maria", first)
        ).unwrap()
        assert await entries(admin, POOLS) == ["a"]
        history = (await admin.history(POOLS, 10)).unwrap()
        assert [e.who for e in history] == ["maria", "maria", "hugo", "hugo", "maria"]
        assert history[0].after_version == back.after_version

    async def test_unknown_version(self, admin):
        """Guards against an undo to a version that is not recorded."""
        _, version = await start(admin)
        error = (await admin.undo(POOLS, version, "maria", 99)).unwrap_err()
        assert error.kind is EditErrorKind.NOT_FOUND

    async def test_undo_cannot_remove_a_pool_of_a_route(self, admin):
        """Guards against an undo that leaves a route with a missing pool."""
        _, version = await start(admin)
        error = (await admin.undo(POOLS, version, "maria")).unwrap_err()
        assert error.kind is EditErrorKind.INVALID
        assert await entries(admin, POOLS) == ["a"]

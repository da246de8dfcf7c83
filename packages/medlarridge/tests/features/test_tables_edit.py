from dataclasses import dataclass, field

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.state.memory import MemoryStore, StoreFault
from medlarridge._internal.tables_admin import EditErrorKind, TableName, TablesAdmin
from medlarridge._internal.tables_file import TablesFile

scenarios("tables_edit.feature")

POOL = {"kind": "engine", "data_centres": ["data-centre-anfa"]}
READS_PER_EDIT = 2


class RacingStore(MemoryStore):
    """Store that runs an action before its next write, such as a concurrent edit."""

    before_put = None

    async def put(self, key, value, expected_version):
        action, self.before_put = self.before_put, None
        if action is not None:
            await action()
        return await super().put(key, value, expected_version)


@dataclass
class World:
    store: RacingStore = field(default_factory=RacingStore)
    version: int = 0
    results: dict = field(default_factory=dict)

    def __post_init__(self):
        self.admin = TablesAdmin(self.store, ManualClock())

    async def edit(self, who, pool_names):
        content = {
            "versions": {"pools": self.version},
            "pools": dict.fromkeys(pool_names, POOL),
        }
        edit = TablesFile.model_validate(content)
        self.results[who] = await self.admin.apply(edit, who)

    def inject_write_faults(self, *faults):
        next_write = self.store.calls.total() + READS_PER_EDIT + 1
        self.store.faults = dict(enumerate(faults, next_write))


@pytest.fixture
def world():
    return World()


@given("both operators have read the pools table")
def read_table(world):
    anyio.run(world.edit, "setup", ["base"])
    world.version = world.results["setup"].unwrap()[0].after_version


@given(parsers.parse('maria adds pool "{name}" while hugo\'s edit is being checked'))
def edit_between_check_and_write(world, name):
    world.store.before_put = lambda: world.edit("maria", ["base", name])


@given("the answer of the next write is lost after it took effect")
def lose_write_result(world):
    world.inject_write_faults(StoreFault.LOST_AFTER)


@given("the next write is lost before it took effect")
def lose_write(world):
    world.inject_write_faults(StoreFault.LOST_BEFORE)


@given("the answer of the next write is lost and the store goes down")
def lose_write_result_and_store(world):
    world.inject_write_faults(StoreFault.LOST_AFTER, StoreFault.UNAVAILABLE)


@given("the store is down")
def store_down(world):
    world.store.available = False


@when(parsers.parse('{who} adds pool "{name}"'))
def add_pool(world, who, name):
    anyio.run(world.edit, who, ["base", name])


@then(
    parsers.parse(
        'the edit of hugo is refused as a conflict that names maria and "{name}"'
    )
)
def refused_as_conflict(world, name):
    assert world.results["maria"].is_ok()
    error = world.results["hugo"].unwrap_err()
    assert error.kind is EditErrorKind.CONFLICT
    assert "maria" in error.cause
    assert f"+{name}" in error.cause


@then(parsers.parse('the pools are "{names}"'))
def check_pools(world, names):
    world.store.available = True
    stored = anyio.run(world.admin.read, TableName.POOLS).unwrap()
    content = TablesFile.model_validate_json(b'{"pools": %b}' % stored.value)
    assert ", ".join(sorted(content.pools)) == names


@then("the edit of hugo is in force and in the history once")
def in_force_once(world):
    (edit,) = world.results["hugo"].unwrap()
    assert edit.audited
    history = anyio.run(world.admin.history, TableName.POOLS, 10).unwrap()
    assert [entry.who for entry in history] == ["hugo", "setup"]


@then("hugo is told that the edit may be in force")
def told_ambiguous(world):
    error = world.results["hugo"].unwrap_err()
    assert error.kind is EditErrorKind.STORE
    assert "may be in force" in error.hint


@then("hugo is told that nothing was changed")
def told_unchanged(world):
    error = world.results["hugo"].unwrap_err()
    assert error.kind is EditErrorKind.STORE
    assert "nothing was changed" in error.hint

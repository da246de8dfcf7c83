"""Routers that restart and infer versions, over the real adapter and a store with drills."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .store_model import STEP_MS, Fleet
from .test_store_eras import ROUTERS, Observer

pytestmark = pytest.mark.anyio

EXAMPLES = int(os.environ.get("MEDLARRIDGE_RESTART_EXAMPLES", "60"))
OPERATIONS = st.one_of(
    st.tuples(st.just("run"), st.integers(50, 12_000)),
    st.tuples(st.just("drill"), st.integers(200, 20_000), st.integers(0, 1_500)),
    st.tuples(st.just("cut"), ROUTERS, st.integers(200, 4_000)),
    st.tuples(st.just("isolate"), ROUTERS, st.integers(200, 4_000)),
    st.tuples(st.just("slow"), ROUTERS, st.integers(200, 4_000)),
    st.tuples(st.just("read_only"), st.integers(200, 1_500)),
    st.tuples(st.just("drain"), st.integers(0, 20)),
    st.tuples(st.just("vanish"), st.integers(0, 20)),
    st.tuples(st.just("add")),
    st.tuples(st.just("restart"), ROUTERS),
    st.tuples(st.just("restart_all")),
)


class RestartObserver(Observer):
    """Checks what routers infer of versions, while routers restart."""

    inferred = 0

    async def do_restart(self, router):
        self.fleet.restart(router)

    async def do_restart_all(self):
        self.fleet.restart(*range(len(self.fleet.routers)))

    async def do_read_only(self, duration_ms):
        self.fleet.store.read_only_until_ms = self.now_ms + duration_ms

    def record_served_versions(self):
        """Record the versions at which some router may begin a stream that is stored."""
        for router in self.fleet.routers:
            sets = router.components.version_sets
            for instance in router.ready():
                server = self.fleet.store.real_servers[instance]
                times_ms = self.served_ms.setdefault(server.version, [])
                if (
                    server.state != "gone"
                    and ("models", server.version) in sets.confirmed
                    and times_ms[-1:] != [self.now_ms]
                ):
                    times_ms.append(self.now_ms)

    def check(self):
        self.record_served_versions()
        for router in self.fleet.routers:
            self.check_only_versions(router)
            only = router.components.servers.versions.only_version("models", 10_000)
            self.inferred += only is not None


async def play(operations, seed=1):
    fleet = Fleet(seed=seed)
    observer = RestartObserver(fleet)
    try:
        await observer.run(1_000)
        for operation in operations:
            await observer.apply(operation)
        await observer.run(STEP_MS)
    finally:
        await fleet.close()
    return observer


class TestInferredVersions:
    async def test_one_version_is_inferred_soon_after_a_restart(self):
        """Guards against routers that refuse streams long after they are back."""
        run = ("run", 60_000)
        observer = await play(
            [run, ("drain", 3), run, ("restart_all",), ("run", 1_000)]
        )
        for router in observer.fleet.routers:
            versions = router.components.servers.versions
            assert versions.only_version("models", 10_000) == "v1"

    @given(st.lists(OPERATIONS, max_size=25), st.integers(0, 1_000))
    @settings(max_examples=EXAMPLES, deadline=None)
    async def test_no_version_is_overlooked(self, operations, seed):
        """Guards against ORDER: a version that served and is not in the stored set."""
        await play(operations, seed)

"""What routers believe of streams, under random releases, restarts, drills and outages."""

from random import Random

import pytest

from medlarridge_direct._internal.coordination.stream_origins import (
    RESUME_MARGIN_MS,
    StreamOrigin,
)
from medlarridge_direct._internal.stream_continuity import StreamContinuity

from .router_fleet import POOL
from .samples import configuration
from .test_stream_restarts import RestartingFleet
from .test_stream_versions import FLEET_SIZE

pytestmark = pytest.mark.anyio

STEPS = 150
STREAM_MS = 5_000
STEP_MS = 1_000
VERSIONS = ("v1", "v2", "v3")
SEEDS = range(30)
COPIES = 5
"""Copies of the store from which a drill may choose."""


class FaultyFleet(RestartingFleet):
    """Streams with their true versions, and the operations that disturb routers.

    ``streams`` maps the key of a stream to its version and the end of its time. Those
    that began at a version which the router could not find stored are not in it: there
    serving goes first.
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.streams = {}
        self.copies = []
        super().__init__({"a": "v1", "c": "v1"})

    def release(self):
        """Let servers of another version come, or those of one version leave."""
        present = set(self.versions.values())
        version = self.random.choice(VERSIONS)
        if version in present and len(present) > 1:
            kept = {i: v for i, v in self.versions.items() if v != version}
            self.list_servers(kept)
        elif version not in present:
            self.list_servers(self.versions | {f"{version}-{self.revision}": version})

    def restart(self):
        number = self.random.randrange(FLEET_SIZE)
        self.fleet.start(number)
        self.out_of_step.discard(number)
        self.list_servers()

    def restart_together(self):
        self.out_of_step.clear()
        for number in range(FLEET_SIZE):
            self.fleet.start(number)
        self.list_servers()

    def drill(self):
        if self.copies:
            self.era = self.fleet.registry.restore(self.random.choice(self.copies))
            self.list_servers()

    def toggle_writes(self):
        self.fleet.registry.read_only = not self.fleet.registry.read_only

    def toggle_store(self):
        node = f"front-{self.random.randrange(FLEET_SIZE)}"
        self.fleet.registry.unreachable_for ^= {node}

    def cut(self):
        self.fleet.cut(self.random.randrange(FLEET_SIZE))

    def fall_out_of_step(self):
        """Let a router learn nothing more of servers from now on."""
        self.out_of_step.add(self.random.randrange(FLEET_SIZE))

    def heal(self):
        self.out_of_step.clear()
        self.fleet.heal()
        self.fleet.registry.unreachable_for.clear()
        self.fleet.registry.read_only = False

    def begin(self):
        """Begin streams at all routers, at versions that are not held back."""
        for router in self.fleet.routers.values():
            components = router.components
            sets = components.version_sets
            held_back = sets.held_back(POOL)
            listed = components.servers.versions.listed[POOL]
            version = self.random.choice(sorted(listed - held_back))
            if (POOL, version) not in sets.confirmed:
                continue
            stream = self.random.getrandbits(64)
            left_ms = STREAM_MS + RESUME_MARGIN_MS
            origin = StreamOrigin(POOL, version)
            components.stream_origins.record(stream, origin, left_ms)
            components.stream_records.begin(stream)
            components.on_stream_begun(stream)
            self.streams[stream] = version, self.fleet.clock.now_ms() + left_ms

    async def check(self):
        """Check what every router believes of every stream; return what it knows."""
        now_ms = self.fleet.clock.now_ms()
        self.streams = {
            stream: (version, end_ms)
            for stream, (version, end_ms) in self.streams.items()
            if end_ms > now_ms
        }
        known = 0
        for router in self.fleet.routers.values():
            components = router.components
            route = components.configuration.current.routes[0]
            continuity = StreamContinuity(components, route, None, None)
            pool = configuration().find_pool(POOL)
            inferred = None
            if await components.confirm_versions():
                inferred = continuity.infer_from_only_version(pool)
            for stream, (version, _) in self.streams.items():
                origin = components.stream_origins.find(stream) or inferred
                known += origin is not None
                assert origin in (None, StreamOrigin(POOL, version))
        return known


class TestBeliefs:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_router_believes_in_another_version(self, seed):
        """Guards against ORDER under any order of releases, restarts and drills."""
        fleet = FaultyFleet(seed)
        operations = [
            fleet.release,
            fleet.restart,
            fleet.restart_together,
            fleet.drill,
            fleet.toggle_writes,
            fleet.toggle_store,
            fleet.cut,
            fleet.fall_out_of_step,
            fleet.heal,
        ]
        known = 0
        await fleet.run(2_000)
        for _ in range(STEPS):
            if fleet.random.random() < 0.4:
                fleet.random.choice(operations)()
            if fleet.random.random() < 0.3:
                fleet.copies.append(fleet.fleet.registry.keep_copy())
                del fleet.copies[:-COPIES]
            fleet.begin()
            known += await fleet.check()
            await fleet.run(STEP_MS)
            for router in fleet.fleet.routers.values():
                if router.node not in fleet.fleet.registry.unreachable_for:
                    await router.sync.stream_records.read()
            known += await fleet.check()
        assert known > 0

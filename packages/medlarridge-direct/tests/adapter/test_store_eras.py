"""Routers while the store comes back from older copies."""

import os
from bisect import bisect_left

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarridge_direct._internal.protocol.revision import Revision
from medlarridge_direct._internal.state.pool_versions import MAX_GAP_MS

from .store_model import EXPIRY_MS, STEP_MS, Fleet

pytestmark = pytest.mark.anyio

REMOVAL_BOUND_MS = 2_000
"""Time within which a router must stop using a server that left."""
STABILITY_WINDOW_MS = 3_000
"""Calm time after which the platform holds a router to its bounds."""
VERSION_SPAN_MS = 5_000
"""Time for which a stream may be taken up, shortened for the model."""
CONVERGENCE_MS = 2 * EXPIRY_MS
EXAMPLES = int(os.environ.get("MEDLARRIDGE_ERA_EXAMPLES", "60"))

ROUTERS = st.integers(0, 2)
OPERATIONS = st.one_of(
    st.tuples(st.just("run"), st.integers(50, 3_000)),
    st.tuples(st.just("drill"), st.integers(200, 6_000), st.integers(0, 1_500)),
    st.tuples(st.just("cut"), ROUTERS, st.integers(200, 4_000)),
    st.tuples(st.just("isolate"), ROUTERS, st.integers(200, 4_000)),
    st.tuples(st.just("slow"), ROUTERS, st.integers(200, 4_000)),
    st.tuples(st.just("drain"), st.integers(0, 20)),
    st.tuples(st.just("vanish"), st.integers(0, 20)),
    st.tuples(st.just("add")),
    st.tuples(st.just("configure")),
)


class Observer:
    """Applies operations to a fleet and checks what must always hold."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.versions = [0] * len(fleet.routers)
        self.used = [set() for _ in fleet.routers]
        self.given_up = [set() for _ in fleet.routers]
        self.disturbed_ms = [0] * len(fleet.routers)
        self.served_ms = {}

    async def apply(self, operation):
        name, *arguments = operation
        await getattr(self, f"do_{name}")(*arguments)
        await self.run(STEP_MS)

    async def run(self, duration_ms):
        for _ in range(max(duration_ms // STEP_MS, 1)):
            await self.fleet.step()
            self.check()

    async def do_run(self, duration_ms):
        await self.run(duration_ms)

    async def do_drill(self, copy_age_ms, away_ms):
        self.fleet.store.drill(copy_age_ms, away_ms)

    async def do_cut(self, router, duration_ms):
        self.disturb(router, duration_ms)
        self.fleet.routers[router].link.cut_until_ms = self.now_ms + duration_ms

    async def do_isolate(self, router, duration_ms):
        await self.do_cut(router, duration_ms)
        self.fleet.routers[router].isolated_until_ms = self.now_ms + duration_ms

    async def do_slow(self, router, duration_ms):
        self.disturb(router, duration_ms)
        link = self.fleet.routers[router].link
        link.slow_until_ms = self.now_ms + duration_ms
        link.delay_ms = 400

    async def do_drain(self, number):
        server = self.pick_ready(number)
        if server is not None:
            self.fleet.store.drain(server)

    async def do_vanish(self, number):
        server = self.pick_ready(number)
        if server is not None:
            self.fleet.store.leave(server)

    async def do_add(self):
        self.fleet.store.add_server()

    async def do_configure(self):
        self.fleet.store.configure()

    @property
    def now_ms(self):
        return self.fleet.clock.now_ms()

    def disturb(self, router, duration_ms):
        end_ms = self.now_ms + duration_ms
        self.disturbed_ms[router] = max(self.disturbed_ms[router], end_ms)

    def pick_ready(self, number):
        servers = self.fleet.store.real_servers.values()
        ready = [each for each in servers if each.state == "ready"]
        return ready[number % len(ready)] if len(ready) > 1 else None

    def check(self):
        self.record_served_versions()
        for number, router in enumerate(self.fleet.routers):
            self.check_version(number, router)
            self.check_departures(number, router)
            self.check_only_versions(router)
        self.check_revisions()

    def check_version(self, number, router):
        version = router.components.configuration.version
        assert version >= self.versions[number], "a configuration went back"
        self.versions[number] = version

    def check_departures(self, number, router):
        """A server that left is not used again, and not later than the bound."""
        store, ready = self.fleet.store, router.ready()
        assert not ready & self.given_up[number], "a server that left is used again"
        self.used[number] |= ready
        for name, server in store.real_servers.items():
            if server.state == "ready":
                continue
            if name in self.used[number] - ready:
                self.given_up[number].add(name)
            left_ms = store.left_acknowledged_ms.get(name)
            in_touch = self.now_ms > self.disturbed_ms[number] + STABILITY_WINDOW_MS
            stable = left_ms and left_ms > store.last_drill_ms + STABILITY_WINDOW_MS
            if stable and in_touch:
                late = self.now_ms - left_ms > REMOVAL_BOUND_MS
                assert not (late and name in ready), "a server that left is still used"

    def record_served_versions(self):
        """Record the versions at which some router may begin a stream now."""
        for router in self.fleet.routers:
            for instance in router.ready():
                server = self.fleet.store.real_servers[instance]
                times_ms = self.served_ms.setdefault(server.version, [])
                if server.state != "gone" and times_ms[-1:] != [self.now_ms]:
                    times_ms.append(self.now_ms)

    def check_only_versions(self, router):
        """No router overlooks a version that served; the newest list may be a bit old."""
        servers = router.components.servers
        age_ms = servers.age_ms()
        only = servers.versions.only_version("models", VERSION_SPAN_MS)
        if only is None or age_ms is None or age_ms > MAX_GAP_MS:
            return
        earliest_ms, latest_ms = self.now_ms - VERSION_SPAN_MS, self.now_ms - age_ms
        for version, times_ms in self.served_ms.items():
            first = bisect_left(times_ms, earliest_ms)
            served = first < len(times_ms) and times_ms[first] < latest_ms - STEP_MS
            assert version == only or not served, "a version that served is overlooked"

    def check_revisions(self):
        """Two routers with the same revision have the same list."""
        listings = {}
        for router in self.fleet.routers:
            listing = router.components.servers.listing
            if listing is not None:
                content = {(each.instance, each.state) for each in listing.servers}
                known = listings.setdefault(listing.revision, content)
                assert known == content, "one revision stands for two lists"

    def check_convergence(self):
        store = self.fleet.store
        real = {n for n, each in store.real_servers.items() if each.state == "ready"}
        for router in self.fleet.routers:
            assert router.ready() == real
            for server in router.components.servers.ready("models"):
                real_server = store.real_servers[server.instance]
                assert server.software_version == real_server.version
            assert router.components.configuration.version == store.real_version
            assert router.components.servers.revision.era == store.era
            assert router.components.configuration.age_ms() <= REMOVAL_BOUND_MS
            assert f"node-{router.number}" in store.routers or store.era == 1


async def play(operations, seed=1):
    fleet = Fleet(seed=seed)
    observer = Observer(fleet)
    try:
        await observer.run(1_000)
        for operation in operations:
            await observer.apply(operation)
        quiet_ms = max(*observer.disturbed_ms, fleet.store.last_drill_ms)
        await observer.run(max(quiet_ms - observer.now_ms, 0) + CONVERGENCE_MS)
        observer.check_convergence()
    finally:
        await fleet.close()
    return fleet


class TestEras:
    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.lists(OPERATIONS, max_size=12), st.integers(0, 1_000))
    async def test_routers_agree_and_nothing_goes_back(self, operations, seed):
        """Guards against lists and configurations of an older copy."""
        await play(operations, seed)

    async def test_a_drained_server_is_not_used_again(self):
        """Guards against requests to a server that an older copy shows as ready."""
        fleet = await play(
            [("run", 2_000), ("drain", 0), ("run", 500), ("drill", 1_500, 300)]
        )
        assert fleet.store.era == 2

    async def test_a_list_of_a_new_era_replaces_a_higher_revision(self):
        """Guards against routers that keep a list until revisions have caught up."""
        fleet = Fleet()
        await fleet.run(1_000)
        for _ in range(5):
            fleet.store.add_server()
        await fleet.run(500)
        before = fleet.routers[0].components.servers.revision
        fleet.store.drill(copy_age_ms=900, away_ms=100)
        await fleet.run(1_000)
        for router in fleet.routers:
            revision = router.components.servers.revision
            assert revision.era == 2
            assert revision > before
        await fleet.close()

    async def test_a_drill_takes_no_server_away(self):
        """Guards against refused requests because servers have not written again."""
        fleet = Fleet()
        await fleet.run(1_000)
        fleet.store.add_server()
        await fleet.run(500)
        ready = fleet.routers[0].ready()
        fleet.store.drill(copy_age_ms=1_000, away_ms=300)
        for _ in range(100):
            await fleet.step()
            for router in fleet.routers:
                assert router.ready() == ready
        await fleet.close()


class TestVersions:
    async def test_a_kept_server_counts_for_the_versions_that_served(self):
        """Guards against a version that is overlooked because its server only lapsed."""
        await play(
            [
                ("add",),
                ("drill", 5_999, 386),
                ("run", 71),
                ("add",),
                ("vanish", 0),
                ("run", 70),
                ("vanish", 10),
                ("run", 71),
                ("vanish", 20),
                ("drain", 0),
                ("configure",),
                ("drill", 5_999, 386),
            ]
        )

    async def test_a_version_that_came_and_went_unseen_is_not_ruled_out(self):
        """Guards against an equal list that hides what happened in between."""
        await play(
            [
                ("cut", 2, 800),
                ("configure",),
                ("drain", 17),
                ("vanish", 17),
                ("add",),
                ("configure",),
                ("isolate", 1, 200),
                ("isolate", 1, 2_059),
                ("vanish", 14),
                ("slow", 1, 1_077),
                ("drill", 5_286, 446),
                ("isolate", 1, 1_926),
            ]
        )


class TestTwentyFiveRouters:
    async def test_the_new_era_reaches_all_within_a_second(self):
        """Guards against routers that go on with the list from before the drill."""
        fleet = Fleet(size=25)
        await fleet.run(2_000)
        fleet.store.drill(copy_age_ms=500, away_ms=500)
        await fleet.run(500 + 1_000)
        eras = [each.components.servers.revision.era for each in fleet.routers]
        assert eras == [2] * 25


class TestRevision:
    def test_an_era_goes_before_the_number(self):
        """Guards against a lower number of a new era that counts as older."""
        assert Revision(2, 5) > Revision(1, 90)
        assert Revision(2, 5) < Revision(2, 6)

    def test_a_number_cannot_be_compared(self):
        """Guards against comparing revisions without their era."""
        with pytest.raises(TypeError):
            assert Revision(2, 5) > 4

"""The limit of a server for all routers together, whatever each of them knows.

Every router always has requests for the server, and some arrive late.
"""

from math import ceil
from random import Random

import pytest

from medlarridge_direct._internal import send_permits
from medlarridge_direct._internal.coordination.permit_lease import TERM_MS
from medlarridge_direct._internal.coordination.permit_ledger import (
    MAX_OPEN_MS,
    WINDOW_MS,
)

from .permit_fleet import RULE_SPAN_MS, SERVER, PermitFleet

pytestmark = pytest.mark.anyio

LIMITS = [0.3, 1.1, 3.5, 12.0]
VIEWS = {}


@pytest.fixture(autouse=True)
def _no_wait_for_lost_answers(monkeypatch):
    monkeypatch.setattr(send_permits, "ANSWER_TIMEOUT_MS", 0)


def allowed(limit):
    """Return what a limit allows in a span of the rule, without its tolerance."""
    return ceil(limit * RULE_SPAN_MS / 1_000)


def view(function):
    """Register a way in which the routers' views of the fleet become wrong."""
    VIEWS[function.__name__.replace("_", " ")] = function
    return function


@view
async def keeper_killed(fleet):
    for _ in range(3):
        await fleet.run(4_000)
        fleet.start(fleet.keeper() or 0)


@view
async def keeper_gone_for_good(fleet):
    del fleet.routers[fleet.keeper()]
    await fleet.run(TERM_MS)


@view
async def keeper_cut_off_from_the_others(fleet):
    fleet.cut(fleet.keeper())
    await fleet.run(2 * TERM_MS)


@view
async def keeper_cut_off_from_all(fleet):
    keeper = fleet.keeper()
    fleet.cut(keeper)
    fleet.registry.unreachable_for.add(f"front-{keeper}")
    await fleet.run(2 * TERM_MS)


@view
async def keeper_paused(fleet):
    keeper = fleet.routers[fleet.keeper()]
    keeper.paused = True
    await fleet.run(2 * TERM_MS)
    keeper.paused = False


@view
async def keeper_hands_over(fleet):
    for _ in range(4):
        await fleet.run(3_000)
        keeper = fleet.keeper()
        await fleet.routers[keeper].sync.permit_leases.release_all()
        fleet.start(keeper)


@view
async def all_cut_off_from_each_other(fleet):
    for number in range(len(fleet.routers)):
        fleet.cut(number)
    await fleet.run(3 * TERM_MS)


@view
async def all_restarted_together(fleet):
    for number in range(len(fleet.routers)):
        fleet.start(number)
    await fleet.run(TERM_MS)


@view
async def store_down(fleet):
    for number in range(len(fleet.routers)):
        fleet.registry.unreachable_for.add(f"front-{number}")
    await fleet.run(2 * TERM_MS)
    fleet.registry.unreachable_for.clear()


@view
async def store_back_from_before_the_lease(fleet):
    await fleet.run(3_000)
    fleet.registry.go_back(0)
    await fleet.run(2 * TERM_MS)


@view
async def store_back_from_before_a_handover(fleet):
    keeper = fleet.keeper()
    await fleet.routers[keeper].sync.permit_leases.release_all()
    await fleet.run(3_000)
    fleet.registry.go_back(-4)
    fleet.start(keeper)
    await fleet.run(2 * TERM_MS)


@view
async def store_back_while_the_keeper_is_cut_off(fleet):
    keeper = fleet.keeper()
    fleet.cut(keeper)
    fleet.registry.unreachable_for.add(f"front-{keeper}")
    fleet.registry.go_back(0)
    await fleet.run(2 * TERM_MS)


@view
async def store_shows_an_earlier_lease_of_a_former_keeper(fleet):
    former = fleet.keeper()
    fleet.cut(former)
    fleet.registry.unreachable_for.add(f"front-{former}")
    copy = len(fleet.registry.copies) - 1
    await fleet.run(TERM_MS + 4_000)
    fleet.heal()
    fleet.registry.unreachable_for.clear()
    fleet.registry.go_back(copy)
    for number in fleet.routers:
        if number != former:
            fleet.cut(number)
            fleet.registry.unreachable_for.add(f"front-{number}")
    await fleet.run(TERM_MS + 2_000)


@view
async def answers_of_the_store_lost(fleet):
    for _ in range(6):
        await fleet.run(1_500)
        fleet.registry.losing_answers_to |= {
            f"front-{number}" for number in range(len(fleet.routers))
        }


@view
async def limit_goes_down_and_up(fleet):
    limit = fleet.limit
    for factor in (4, 1, 4):
        fleet.limit = factor * limit
        await fleet.run(2_000)
    fleet.limit = limit
    await fleet.run(1_000)
    fleet.arrivals_ms.clear()


@pytest.mark.parametrize("change_view", VIEWS.values(), ids=VIEWS)
@pytest.mark.parametrize("limit", LIMITS)
class TestFleetLimit:
    async def test_holds(self, change_view, limit):
        """Guards against routers that together exceed a limit (incident LIMIT)."""
        fleet = PermitFleet(4, limit)
        await fleet.run(3_000)
        await change_view(fleet)
        fleet.heal()
        fleet.registry.unreachable_for.clear()
        before = len(fleet.arrivals_ms)
        await fleet.run(TERM_MS + MAX_OPEN_MS + WINDOW_MS + 12_000)
        assert fleet.most_arrivals() <= allowed(limit)
        assert len(fleet.arrivals_ms) > before


class TestRandomViews:
    @pytest.mark.parametrize("seed", range(12))
    async def test_holds_through_random_disruptions(self, seed):
        """Guards against a mix of disruptions that no single view shows."""
        random = Random(seed)
        limit = random.choice(LIMITS)
        fleet = PermitFleet(4, limit, seed, random.random(), random.choice([0, 0.2]))
        await fleet.run(2_000)
        for _ in range(15):
            self.disrupt(fleet, random)
            await fleet.run(random.randrange(200, 8_000))
        assert fleet.most_arrivals() <= allowed(limit)

    def disrupt(self, fleet, random):
        number = random.choice(list(fleet.routers))
        node = f"front-{number}"
        action = random.randrange(9)
        if action == 0:
            fleet.start(number)
        elif action == 1:
            fleet.cut(number)
        elif action in (2, 3):
            fleet.heal()
            fleet.registry.unreachable_for.clear()
        elif action == 4:
            fleet.registry.unreachable_for.add(node)
        elif action == 5:
            fleet.routers[number].paused = not fleet.routers[number].paused
        elif action == 6:
            for each in list(fleet.routers):
                fleet.start(each)
        elif action == 7 and fleet.registry.copies:
            copies = fleet.registry.copies
            fleet.registry.go_back(-random.randrange(1, min(5, len(copies)) + 1))
        else:
            fleet.registry.losing_answers_to.add(node)


class TestStoreDrill:
    async def test_the_keeper_goes_on_when_the_store_has_lost_its_lease(self):
        """Guards against servers that get nothing for a term after a drill (soak)."""
        fleet = PermitFleet(4, 3.5, late_share=0)
        await fleet.run(5_000)
        keeper = fleet.keeper()
        for copy in (0, 0, -2):
            fleet.registry.go_back(copy)
            fleet.arrivals_ms.clear()
            await fleet.run(5_000)
            assert fleet.keeper() == keeper
            assert len(fleet.arrivals_ms) >= 0.8 * 5 * 3.5


class TestManyRouters:
    @pytest.mark.parametrize(("size", "duration_ms"), [(25, 16_000), (100, 5_000)])
    async def test_a_small_limit_holds_and_is_used(self, size, duration_ms):
        """Guards against one request of each router, which is more than a server takes."""
        fleet = PermitFleet(size, limit=1.1, late_share=0)
        await fleet.run(1_000)
        fleet.start(fleet.keeper())
        await fleet.run(1_000 + MAX_OPEN_MS + WINDOW_MS)
        fleet.arrivals_ms.clear()
        await fleet.run(duration_ms)
        assert fleet.most_arrivals() <= allowed(1.1)
        assert len(fleet.arrivals_ms) >= 0.8 * 1.1 * duration_ms / 1_000


class TestStoreCalls:
    async def test_a_large_fleet_does_not_wait_at_the_store(self):
        """Guards against reads of every router twice a second while nobody can take."""
        fleet = PermitFleet(40, 3.5)
        await fleet.run(1_000)
        del fleet.routers[fleet.keeper()]
        await fleet.run(2_000)
        calls = [
            router.components.metrics.store_calls for router in fleet.routers.values()
        ]
        before = sum(each["read-permit-lease"] for each in calls)
        await fleet.run(5_000, traffic=False)
        reads = sum(each["read-permit-lease"] for each in calls) - before
        assert reads <= 0.4 * 2 * 5 * len(calls)


class TestUse:
    @pytest.mark.parametrize("limit", [1.1, 3.5, 12.0])
    async def test_calm_routers_use_the_limit(self, limit):
        """Guards against a limit that holds because no request is ever allowed."""
        fleet = PermitFleet(4, limit, late_share=0)
        await fleet.run(20_000)
        assert len(fleet.arrivals_ms) >= 0.85 * 20 * limit

    async def test_a_router_without_requests_of_its_own_gives_out_permits(self):
        """Guards against permits that only a router without traffic holds."""
        fleet = PermitFleet(4, 3.5, late_share=0)
        await fleet.run(2_000)
        keeper = fleet.routers[fleet.keeper()]
        others = [each for each in fleet.routers.values() if each is not keeper]
        fleet.arrivals_ms.clear()
        for _ in range(100):
            await fleet.run(50, traffic=False)
            for router in others:
                await fleet.send_request(router)
        assert len(fleet.arrivals_ms) >= 0.85 * 5 * 3.5

    async def test_a_new_router_hears_of_the_limit_from_its_peers(self):
        """Guards against a burst from each router that has just started."""
        fleet = PermitFleet(4, 3.5)
        await fleet.run(3_000)
        fleet.unpermitted = 0
        fleet.start(4)
        await fleet.run(200, traffic=False)
        await fleet.run(4_000)
        assert fleet.unpermitted == 0

    async def test_the_end_of_a_limit_reaches_all_routers(self):
        """Guards against a limit that stays in force after its server lifted it."""
        fleet = PermitFleet(4, 1.1, late_share=0)
        await fleet.run(3_000)
        fleet.limit = None
        await fleet.run(4_000)
        assert all(
            router.components.notices.limit_per_s(SERVER.start) is None
            for router in fleet.routers.values()
        )

"""The retry budget of all routers together, whatever each of them knows of the others.

Each router takes every retry that its budget allows, which is the worst case.
"""

from random import Random

import pytest

from medlarridge_direct._internal.settings import RetrySettings

from .router_fleet import RouterFleet

pytestmark = pytest.mark.anyio

FLEET_SIZE = 4
QUIET_START_MS = 40_000
"""Time without traffic in which the routers find each other."""

VIEWS = {}


def view(function):
    """Register a way in which the routers' views of the fleet become wrong."""
    VIEWS[function.__name__.replace("_", " ")] = function
    return function


@view
async def just_started(fleet):
    for number in range(FLEET_SIZE):
        fleet.start(number)
    await fleet.run(25_000)


@view
async def just_started_without_the_store_and_the_others(fleet):
    fleet.registry.addresses.clear()
    for number in range(FLEET_SIZE):
        fleet.start(number)
        fleet.cut(number)
        fleet.registry.unreachable_for.add(f"front-{number}")
    await fleet.run(25_000)


@view
async def one_cut_off_from_the_others(fleet):
    await fleet.run(15_000)
    fleet.cut(0)
    await fleet.run(25_000)


@view
async def all_cut_off_from_each_other(fleet):
    await fleet.run(15_000)
    for number in range(FLEET_SIZE):
        fleet.cut(number)
    await fleet.run(100_000)


@view
async def all_cut_off_from_each_other_and_the_store(fleet):
    await fleet.run(15_000)
    for number in range(FLEET_SIZE):
        fleet.cut(number)
        fleet.registry.unreachable_for.add(f"front-{number}")
    await fleet.run(100_000)


@view
async def paused_for_longer_than_peers_stay_live(fleet):
    await fleet.run(15_000)
    for router in fleet.routers.values():
        router.paused = True
    await fleet.run(3_000)
    for router in fleet.routers.values():
        router.paused = False
        await fleet.run(1_000)
    await fleet.run(15_000)


@view
async def restarted_in_turn(fleet):
    await fleet.run(15_000)
    for number in range(FLEET_SIZE):
        fleet.start(number)
        await fleet.run(1_500)
    await fleet.run(25_000)


@view
async def killed_again_and_again(fleet):
    await fleet.run(15_000)
    for _ in range(6):
        fleet.start(0)
        await fleet.run(2_000)
    await fleet.run(15_000)


@view
async def restarted_together_and_cut_off(fleet):
    await fleet.run(15_000)
    for number in range(FLEET_SIZE):
        fleet.start(number)
        fleet.cut(number)
    await fleet.run(15_000)
    fleet.heal()
    await fleet.run(20_000)


@view
async def as_many_routers_added(fleet):
    await fleet.run(15_000)
    for number in range(FLEET_SIZE, 2 * FLEET_SIZE):
        fleet.start(number)
    await fleet.run(60_000)


@view
async def routers_added_that_the_others_do_not_hear(fleet):
    await fleet.run(15_000)
    for number in range(FLEET_SIZE, 2 * FLEET_SIZE):
        fleet.start(number)
        fleet.cut(number)
    await fleet.run(80_000)


@view
async def routers_added_while_the_others_are_cut_off(fleet):
    await fleet.run(15_000)
    for number in range(FLEET_SIZE):
        fleet.cut(number)
        fleet.registry.unreachable_for.add(f"front-{number}")
    await fleet.run(1_000)
    for number in range(FLEET_SIZE, 2 * FLEET_SIZE):
        fleet.start(number)
    await fleet.run(80_000)


@view
async def registry_lost_in_a_store_drill(fleet):
    await fleet.run(15_000)
    for number in range(FLEET_SIZE):
        fleet.cut(number)
    fleet.registry.addresses.clear()
    await fleet.run(60_000)


@pytest.mark.parametrize("change_view", VIEWS.values(), ids=VIEWS)
class TestFleetRetryBudget:
    async def test_holds_with_few_requests(self, change_view):
        """Guards against routers that each take the slack of all (incident BUDGET)."""
        fleet = RouterFleet(FLEET_SIZE, requests_per_s=1)
        await fleet.run(QUIET_START_MS, traffic=False)
        await change_view(fleet)
        assert fleet.excess() <= 0

    async def test_holds_with_many_requests(self, change_view):
        """Guards against restarts that hand out the ratio's share twice."""
        limits = RetrySettings(ratio=0.2, slack=0, window_s=10)
        fleet = RouterFleet(FLEET_SIZE, limits, requests_per_s=10)
        await fleet.run(QUIET_START_MS, traffic=False)
        await change_view(fleet)
        assert fleet.excess() <= 0


class TestRatioThroughRestarts:
    @pytest.mark.parametrize("up_ms", [500, 2_000, 5_000, 9_000])
    async def test_holds_when_routers_restart_after_a_burst_of_retries(self, up_ms):
        """Guards against a restart that forgets the retries of the moment before."""
        limits = RetrySettings(ratio=0.2, slack=0, window_s=10)
        fleet = RouterFleet(FLEET_SIZE, limits, requests_per_s=10)
        await fleet.run(QUIET_START_MS, traffic=False)
        await fleet.run(15_000, failures=False)
        for router in fleet.routers.values():
            fleet.spend(router)
        for _ in range(3):
            for number in range(FLEET_SIZE):
                fleet.start(number)
            await fleet.run(up_ms)
        await fleet.run(15_000)
        assert fleet.excess() <= 0


class TestRandomViews:
    @pytest.mark.parametrize("seed", range(8))
    async def test_holds_through_random_disruptions(self, seed):
        """Guards against a mix of disruptions that no single view shows."""
        random = Random(seed)
        fleet = RouterFleet(FLEET_SIZE, requests_per_s=random.choice([1, 5]))
        await fleet.run(QUIET_START_MS, traffic=False)
        for _ in range(12):
            self.disrupt(fleet, random)
            await fleet.run(
                random.randrange(200, 8_000), failures=random.random() < 0.7
            )
        assert fleet.excess() <= 0

    def disrupt(self, fleet, random):
        number = random.randrange(len(fleet.routers))
        action = random.randrange(7)
        if action == 0:
            fleet.start(number)
        elif action == 1:
            fleet.cut(number)
        elif action == 2:
            fleet.heal()
            fleet.registry.unreachable_for.clear()
        elif action == 3:
            fleet.registry.unreachable_for.add(f"front-{number}")
        elif action == 4:
            fleet.routers[number].paused = not fleet.routers[number].paused
        elif action == 5 and len(fleet.routers) < 2 * FLEET_SIZE:
            fleet.start(len(fleet.routers))
        elif action == 6:
            for each in range(len(fleet.routers)):
                fleet.start(each)


class TestBudgetInUse:
    async def test_routers_in_touch_use_the_slack(self):
        """Guards against a limit that holds because no retry is ever allowed."""
        fleet = RouterFleet(FLEET_SIZE, requests_per_s=1)
        await fleet.run(QUIET_START_MS, traffic=False)
        await fleet.run(9_000)
        assert len(fleet.retry_times_ms) >= fleet.limits.slack / 2

    async def test_the_slack_outlasts_the_loss_of_one_router(self):
        """Guards against a fleet that needs all its routers to retry."""
        fleet = RouterFleet(FLEET_SIZE, requests_per_s=1)
        await fleet.run(QUIET_START_MS, traffic=False)
        del fleet.routers[0]
        await fleet.run(60_000, traffic=False)
        await fleet.run(9_000)
        assert len(fleet.retry_times_ms) >= fleet.limits.slack / 2

    async def test_a_restarted_router_retries_by_the_ratio(self):
        """Guards against a restart after which requests are not retried at all."""
        fleet = RouterFleet(FLEET_SIZE, requests_per_s=10)
        await fleet.run(QUIET_START_MS, traffic=False)
        for number in range(FLEET_SIZE):
            fleet.start(number)
        await fleet.run(10_000)
        assert len(fleet.retry_times_ms) > 0

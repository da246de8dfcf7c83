"""Limits that routers share without asking each other: connections and load."""

import pytest

from medlarridge_direct._internal.coordination.placement import LOAD_ALLOWANCE

from .router_fleet import RouterFleet
from .samples import prompt, servers

pytestmark = pytest.mark.anyio

FLEET_SIZE = 4
MAX_CONNECTIONS = 360
LOAD_FACTOR = 2.0
PLATFORM_ALLOWANCE = 3
LONG_CUT_MS = 100_000
SETTLE_MS = 40_000


async def make_fleet():
    fleet = RouterFleet(FLEET_SIZE)
    await fleet.run(SETTLE_MS, traffic=False)
    return fleet


def connections_in_all(fleet):
    return sum(
        MAX_CONNECTIONS // router.components.fleet_size.count
        for router in fleet.routers.values()
    )


class TestConnectionShares:
    async def test_hold_when_routers_are_cut_off(self):
        """Guards against routers that each open all connections of a server."""
        fleet = await make_fleet()
        for number in range(FLEET_SIZE):
            fleet.cut(number)
            fleet.registry.unreachable_for.add(f"front-{number}")
        for _ in range(10):
            await fleet.run(LONG_CUT_MS // 10, traffic=False)
            assert connections_in_all(fleet) <= MAX_CONNECTIONS

    async def test_hold_when_routers_restart_without_the_store(self):
        """Guards against a router that takes itself for the only one when it starts."""
        fleet = await make_fleet()
        for number in range(FLEET_SIZE):
            fleet.registry.unreachable_for.add(f"front-{number}")
            fleet.cut(number)
            fleet.start(number)
        await fleet.run(LONG_CUT_MS // 10, traffic=False)
        assert connections_in_all(fleet) <= MAX_CONNECTIONS

    async def test_hold_after_the_store_has_lost_the_registry(self):
        """Guards against an empty copy of the store that makes all routers alone."""
        fleet = await make_fleet()
        for number in range(FLEET_SIZE):
            fleet.cut(number)
        fleet.registry.addresses.clear()
        for _ in range(10):
            await fleet.run(LONG_CUT_MS // 10, traffic=False)
            assert connections_in_all(fleet) <= MAX_CONNECTIONS

    async def test_hold_soon_after_routers_were_added(self):
        """Guards against old routers that keep their shares when others come."""
        fleet = await make_fleet()
        for number in range(FLEET_SIZE, 2 * FLEET_SIZE):
            fleet.start(number)
        await fleet.run(1_000, traffic=False)
        assert connections_in_all(fleet) <= MAX_CONNECTIONS


def place(fleet, pool, attempts):
    """Let the routers in turn place attempts for one prompt; return loads by server."""
    for _ in range(attempts):
        for router in fleet.routers.values():
            components = router.components
            best = components.placement.rank(pool, prompt())[0]
            components.placement.cache_index.record_prompt(prompt(), best.instance)
            components.load.begin_attempt(best.instance)
            router.report()
    return [
        sum(router.components.load.own.get(key, 0) for router in fleet.routers.values())
        for key in {
            key
            for router in fleet.routers.values()
            for key in router.components.load.own
        }
    ]


class TestLoadBound:
    @pytest.mark.parametrize("attempts", [2, 10, 30])
    async def test_holds_among_routers_that_hear_each_other(self, attempts):
        """Guards against a hot prompt that overloads the server that caches it."""
        fleet = await make_fleet()
        pool = servers(9)
        loads = place(fleet, pool, attempts)
        mean = sum(loads) / len(pool)
        assert max(loads) <= LOAD_FACTOR * mean + PLATFORM_ALLOWANCE

    @pytest.mark.parametrize("attempts", [2, 10, 30])
    async def test_exceeds_by_one_allowance_for_each_group_that_hears_no_other(
        self, attempts
    ):
        """Guards against an excess that grows with the load while routers are cut."""
        fleet = await make_fleet()
        for number in range(FLEET_SIZE):
            fleet.cut(number)
        await fleet.run(3_000, traffic=False)
        for router in fleet.routers.values():
            router.components.load.expire()
        pool = servers(9)
        loads = place(fleet, pool, attempts)
        mean = sum(loads) / len(pool)
        assert max(loads) <= LOAD_FACTOR * mean + FLEET_SIZE * LOAD_ALLOWANCE

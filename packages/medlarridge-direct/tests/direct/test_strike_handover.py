"""Strikes of crashing requests reach every router, whatever it missed."""

import pytest

from medlarridge_direct._internal.coordination.crash_detector import Strike
from medlarridge_direct._internal.coordination.crash_guard import (
    STRIKE_RETENTION_MS,
    STRIKES_TO_REFUSE,
)

from .router_fleet import RouterFleet

pytestmark = pytest.mark.anyio

FLEET_SIZE = 4
CRASHING = 4711
STABILITY_WINDOW_MS = 3_000
"""Time after which the users hold a router to what the others know."""


def strike(router, server):
    """Let a router find that a server went down under the crashing request."""
    router.components.crash_guard.add_strike(CRASHING, server)
    router.reports.announce_crash_evidence([Strike(CRASHING, server)])


async def make_fleet():
    fleet = RouterFleet(FLEET_SIZE)
    await fleet.run(2_000, traffic=False)
    return fleet


def refusing(fleet):
    return [
        number
        for number, router in fleet.routers.items()
        if router.components.crash_guard.should_refuse(CRASHING)
    ]


class TestStrikeHandover:
    async def test_a_router_that_has_just_started_refuses_the_request(self):
        """Guards against a restart after which the request crashes servers again."""
        fleet = await make_fleet()
        for number in range(STRIKES_TO_REFUSE):
            strike(fleet.routers[0], f"s-{number}")
        await fleet.run(STABILITY_WINDOW_MS, traffic=False)
        for number in range(1, FLEET_SIZE):
            fleet.start(number)
            await fleet.run(STABILITY_WINDOW_MS, traffic=False)
        fleet.start(0)
        await fleet.run(STABILITY_WINDOW_MS, traffic=False)
        assert refusing(fleet) == list(range(FLEET_SIZE))

    async def test_a_router_that_was_cut_off_refuses_the_request(self):
        """Guards against strikes that a router missed for good while it was cut off."""
        fleet = await make_fleet()
        fleet.cut(3)
        for number in range(STRIKES_TO_REFUSE):
            strike(fleet.routers[number], f"s-{number}")
        await fleet.run(5_000, traffic=False)
        assert refusing(fleet) == [0, 1, 2]
        fleet.heal()
        await fleet.run(STABILITY_WINDOW_MS, traffic=False)
        assert refusing(fleet) == list(range(FLEET_SIZE))

    async def test_a_lost_datagram_loses_no_strike(self):
        """Guards against a strike that is told only once."""
        fleet = await make_fleet()
        fleet.cut(3)
        for number in range(STRIKES_TO_REFUSE):
            strike(fleet.routers[number], f"s-{number}")
        fleet.heal()
        await fleet.run(STABILITY_WINDOW_MS, traffic=False)
        assert refusing(fleet) == list(range(FLEET_SIZE))

    async def test_strikes_expire_although_routers_hand_them_over(self):
        """Guards against routers that keep a strike alive by telling each other."""
        fleet = await make_fleet()
        for number in range(STRIKES_TO_REFUSE):
            strike(fleet.routers[0], f"s-{number}")
        for _ in range(4):
            for number in range(FLEET_SIZE):
                fleet.start(number)
                await fleet.run(STRIKE_RETENTION_MS // 12, traffic=False)
        assert refusing(fleet) == []

"""A part of a prompt that crashes each server that begins to answer it."""

import pytest

from .crashing_fleet import (
    ALLOWED_LATE_REQUESTS,
    LAPSE_MS,
    STABILITY_WINDOW_MS,
    CrashingFleet,
)

pytestmark = pytest.mark.anyio

FLEET_SIZE = 4
CALM_MS = 3_000
TROUBLE_MS = 30_000
MINUTES_MS = 180_000


async def make_fleet(size=FLEET_SIZE, **changes):
    fleet = CrashingFleet(size, **changes)
    await fleet.play(CALM_MS, bad_every_ms=0)
    return fleet


class TestCrashingPart:
    @pytest.mark.parametrize("seed", range(6))
    async def test_is_refused_after_the_fifth_crash(self, seed):
        """Guards against requests with one part that crash server after server
        (incident BUDGET, Cooperativa)."""
        fleet = await make_fleet(seed=seed)
        await fleet.play(TROUBLE_MS)
        await fleet.finish()
        assert fleet.crashes
        assert fleet.late_arrivals("bad") <= ALLOWED_LATE_REQUESTS

    @pytest.mark.parametrize("seed", range(3))
    async def test_two_parts_at_once_are_both_refused(self, seed):
        """Guards against one part whose crashes hide those of another."""
        fleet = await make_fleet(seed=seed, crashing=("bad", "worse"))
        await fleet.play(2 * TROUBLE_MS)
        await fleet.finish()
        for part in ("bad", "worse"):
            assert fleet.crash_times(part)
            assert fleet.late_arrivals(part) <= ALLOWED_LATE_REQUESTS

    @pytest.mark.parametrize("bad_every_ms", [50, 100, 250])
    async def test_many_requests_a_second_are_refused_too(self, bad_every_ms):
        """Guards against servers that all crash together, again and again."""
        fleet = await make_fleet(seed=9)
        await fleet.play(TROUBLE_MS, bad_every_ms=bad_every_ms)
        await fleet.finish()
        assert fleet.late_arrivals("bad") <= ALLOWED_LATE_REQUESTS

    async def test_is_refused_from_the_first_request_of_a_day(self):
        """Guards against parts that are all new, so that none was ever answered."""
        fleet = CrashingFleet(FLEET_SIZE, seed=9)
        await fleet.play(TROUBLE_MS, bad_every_ms=50)
        settled_ms = fleet.clock.now_ms()
        await fleet.play(10_000, bad_every_ms=50)
        await fleet.finish()
        assert fleet.late_arrivals("bad") <= ALLOWED_LATE_REQUESTS
        assert fleet.begun_share(settled_ms, settled_ms + 10_000) == 1.0

    async def test_five_routers_that_saw_one_crash_each_refuse_it(self):
        """Guards against evidence that no router has alone."""
        fleet = await make_fleet(size=5)
        for number in range(5):
            fleet.send(number, "system", "bad", f"subject-{number}")
            await fleet.play(1_500, bad_every_ms=0)
        await fleet.play(STABILITY_WINDOW_MS, bad_every_ms=0)
        for number in range(5):
            fleet.send(number, "bad", f"subject-{number}")
            await fleet.play(1_000, bad_every_ms=0)
        await fleet.finish()
        assert fleet.late_arrivals("bad") <= ALLOWED_LATE_REQUESTS

    async def test_a_router_that_has_just_started_refuses_it(self):
        """Guards against a restart after which the part crashes servers again."""
        fleet = await make_fleet()
        await fleet.play(TROUBLE_MS)
        for number in range(FLEET_SIZE):
            fleet.start(number)
            await fleet.play(STABILITY_WINDOW_MS, bad_every_ms=200)
        await fleet.finish()
        assert fleet.late_arrivals("bad") <= ALLOWED_LATE_REQUESTS

    @pytest.mark.parametrize("seed", range(4))
    async def test_routers_that_start_together_refuse_it(self, seed):
        """Guards against evidence that is lost when all routers stop at once."""
        fleet = await make_fleet(seed=seed)
        await fleet.play(TROUBLE_MS)
        for _ in range(3):
            for number in range(FLEET_SIZE):
                fleet.start(number)
            await fleet.play(TROUBLE_MS)
        await fleet.finish()
        assert fleet.late_arrivals("bad") <= ALLOWED_LATE_REQUESTS

    async def test_a_router_that_was_cut_off_refuses_it(self):
        """Guards against evidence that a router has missed for good."""
        fleet = await make_fleet()
        fleet.cut(3)
        for _ in range(15):
            subject = f"subject-{fleet.random.randrange(12)}"
            fleet.send(fleet.random.randrange(3), "system", "bad", subject)
            await fleet.play(1_000, bad_every_ms=0)
        fleet.heal()
        await fleet.play(STABILITY_WINDOW_MS, bad_every_ms=0)
        await fleet.play(10_000, bad_every_ms=500)
        await fleet.finish()
        assert fleet.late_arrivals("bad") <= ALLOWED_LATE_REQUESTS

    async def test_is_refused_for_as_long_as_such_requests_come(self):
        """Guards against forgetting the part minutes after its last crash."""
        fleet = await make_fleet()
        await fleet.play(TROUBLE_MS)
        await fleet.play(MINUTES_MS, bad_every_ms=5_000, sound_every_ms=500)
        await fleet.finish()
        assert fleet.late_arrivals("bad") <= ALLOWED_LATE_REQUESTS


class TestSoundRequests:
    @pytest.mark.parametrize("seed", range(4))
    async def test_are_served_beside_a_crashing_part(self, seed):
        """Guards against refusing what shares the caller, the first or other parts."""
        fleet = await make_fleet(seed=seed)
        await fleet.play(TROUBLE_MS)
        settled_ms = fleet.clock.now_ms()
        await fleet.play(10_000)
        await fleet.finish()
        assert fleet.begun_share(settled_ms, settled_ms + 10_000) == 1.0

    @pytest.mark.parametrize("seed", range(4))
    async def test_are_served_after_many_servers_lost_power(self, seed):
        """Guards against blaming a part that ran on servers which ended together."""
        fleet = await make_fleet(seed=seed)
        for _ in range(2):
            for model_server in fleet.servers[-4:]:
                if model_server.ended_ms is None:
                    model_server.lose_power()
            await fleet.play(LAPSE_MS + 4_000, bad_every_ms=0)
        settled_ms = fleet.clock.now_ms()
        await fleet.play(5_000, bad_every_ms=0)
        await fleet.finish()
        assert fleet.begun_share(settled_ms, settled_ms + 5_000) == 1.0

    @pytest.mark.parametrize("seed", range(4))
    async def test_are_served_after_servers_were_killed_in_turn(self, seed):
        """Guards against blaming a part for a release or for kills of servers."""
        fleet = await make_fleet(seed=seed)
        for model_server in list(fleet.servers):
            model_server.end()
            await fleet.play(1_500, bad_every_ms=0)
        settled_ms = fleet.clock.now_ms()
        await fleet.play(5_000, bad_every_ms=0)
        await fleet.finish()
        assert fleet.begun_share(settled_ms, settled_ms + 5_000) == 1.0

    @pytest.mark.parametrize("seed", range(4))
    async def test_are_served_after_connections_were_reset(self, seed):
        """Guards against blaming a part for servers that went on running."""
        fleet = await make_fleet(seed=seed)
        for _ in range(4):
            for model_server in fleet.servers:
                model_server.reset_connections()
            await fleet.play(1_500, bad_every_ms=0)
        settled_ms = fleet.clock.now_ms()
        await fleet.play(5_000, bad_every_ms=0)
        await fleet.finish()
        assert fleet.begun_share(settled_ms, settled_ms + 5_000) == 1.0

from random import Random

import anyio
import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.errors import CodecError
from medlarridge._internal.fleet import StaticFleet
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.tables import Tables
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_router._internal.account_limits import AccountLimits
from medlarridge_standins.local_fleet import local_fleet

LIMIT = {"requests_per_s": 1, "burst": 2}
TABLES = {
    "routes": {"desk": {"pools": ["p"], "account_limits": {"large": LIMIT}}},
    "pools": {"p": {"kind": "service", "data_centres": ["data-centre-a"]}},
}


class Peers:
    """Routers whose datagrams are delivered immediately."""

    revision = 1

    def __init__(self):
        self.limits = {}

    def routers(self):
        return [
            Member(Instance(address, 1, "dc", "region", Role.ROUTER))
            for address in self.limits
        ]

    async def send(self, address, kind, payload):
        await self.limits[address].receive("peer", payload)


class TestAccountLimits:
    async def test_account_over_its_limit_gets_a_retry_after(self):
        """Guards against limits in the tables that no router enforces."""
        service = Endpoints()

        @service.register("*", "/{rest}")
        async def call(request, response):
            await response.reply(200, b"done")

        async with local_fleet(TABLES) as fleet:
            fleet.add_server("service", "p", service)
            router = fleet.add_router("router")
            router.account_limits = AccountLimits(
                router.instance, fleet.fleet, Peers(), ManualClock(), Random(1)
            )

            async def send_request(account):
                return await fleet.client.post(
                    "http://router/services/desk/x",
                    headers={"x-medlarridge-account": account},
                )

            with anyio.fail_after(30):
                large = [await send_request("large") for _ in range(4)]
                small = [await send_request("small") for _ in range(4)]
        assert [response.status_code for response in large] == [200, 200, 429, 429]
        assert large[-1].headers["x-medlarridge-outcome"] == "not-run"
        assert int(large[-1].headers["retry-after"]) > 0
        assert {response.status_code for response in small} == {200}

    async def test_limit_holds_across_routers(self):
        """Guards against routers that obey the limit each but exceed it together."""
        clock, peers = ManualClock(), Peers()
        fleet = StaticFleet(Tables.model_validate(TABLES))
        addresses = [f"router-{number}:1" for number in range(4)]
        for number, address in enumerate(addresses):
            instance = Instance(address, 1, "dc", "region", Role.ROUTER)
            peers.limits[address] = AccountLimits(
                instance, fleet, peers, clock, Random(number)
            )
        admitted = 0
        for second in range(40):
            for limits in peers.limits.values():
                allowed = not limits.retry_after_ms("desk", "large")
                admitted += allowed and second >= 20
            clock.advance(1_000)
            for limits in peers.limits.values():
                await limits.send_all(limits.limiter.tick())
        # Each of the four routers offers 1 request/s; the limit is 1 request/s in total.
        assert admitted <= 20 * 1.5

    async def test_malformed_datagrams_are_refused(self):
        """Guards against malformed datagrams that end the process."""
        limits = AccountLimits(
            Instance("a:1", 1, "dc", "region", Role.ROUTER),
            StaticFleet(Tables.model_validate(TABLES)),
            Peers(),
            ManualClock(),
            Random(1),
        )
        with pytest.raises(CodecError):
            await limits.receive("peer", b"\xc1")

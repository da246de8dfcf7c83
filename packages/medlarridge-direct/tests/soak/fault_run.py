"""A run that injects the faults of a plan and checks the recovery from them."""

import asyncio
import signal
from random import Random

from .clients import Client
from .configuration import GRACE_S, route
from .fault_actions import BASE_FAULT_RATES, FAULT_ACTIONS, STOP_MARGIN_S
from .fleet import POOLS, ROUTER_COUNT
from .plan import Fault, make_plan
from .processes import monotonic_s
from .proxy import Impairment
from .request_records import REQUEST_KINDS, RequestKind
from .run import SETTLE_TIME_S, SoakRun, scenario

APPLY_TIMEOUT_S = 2.0
"""All routers apply a configuration within this time of its acknowledgement."""
APPLY_TIMEOUT_UNTIMED_S = 20.0
"""Replaces ``APPLY_TIMEOUT_S`` in untimed runs, which may share a busy host."""
CRASHING_SHARE = 0.2
"""Share of the streams whose prompt crashes servers while that fault lasts."""
DISTURBING_FAULTS = ("router", "all-routers", "store", "engine-link", "client-link")
"""Beginnings of the faults during which routers may not know what they should."""


@scenario("faults")
class FaultRun(SoakRun):
    """Injects faults, then checks that planned work disturbs nothing."""

    configuration_probe_count = 0

    def make_plan(self) -> list[Fault]:
        """Return the faults of the seed."""
        return make_plan(self.seed, self.length_s)

    async def play(self) -> None:
        """Inject the faults, end them and do planned work."""
        for server in self.fleet.servers:
            server.send_command(BASE_FAULT_RATES | self.server_limit())
        await self.inject_faults()
        await self.clear_faults()
        await self.run_planned_work()

    def prompt_crashes(self, kind: RequestKind, random: Random) -> bool:
        """Decide whether the prompt of the next request crashes servers."""
        return self.crashing_part and kind.stream and random.random() < CRASHING_SHARE

    def server_limit(self) -> dict[str, float]:
        """Return the limit that servers name while faults last, in half of the runs."""
        random = Random(f"{self.seed}-limit")
        return {} if random.random() < 0.5 else {"limit": random.uniform(2, 12)}

    # Faults

    async def inject_faults(self) -> None:
        """Start the planned faults at their times and wait until all have ended."""
        begin_s = monotonic_s()
        fault_tasks = []
        for fault in self.make_plan():
            await asyncio.sleep(max(begin_s + fault.at_s - monotonic_s(), 0))
            fault_tasks.append(asyncio.create_task(self.inject(fault)))
            self.fleet.check_unexpected_exits()
        await asyncio.sleep(max(begin_s + self.length_s - monotonic_s(), 0))
        await asyncio.gather(*fault_tasks)

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and note for how long it disturbs what routers know."""
        begin_s = monotonic_s()
        await FAULT_ACTIONS[fault.kind](self, fault)
        if fault.kind.startswith(DISTURBING_FAULTS):
            self.observations.disturbances.append((begin_s, monotonic_s()))

    async def clear_faults(self) -> None:
        """End the remaining faults and wait until the system has recovered."""
        fleet = self.fleet
        for proxy in (*fleet.store_links, *fleet.server_links, *fleet.client_links):
            proxy.set_impairment(Impairment.NONE)
        fleet.store.send_command({"fault": "none"})
        for server in fleet.servers:
            server.send_command({})
        for number in range(len(POOLS)):
            await fleet.start_server(number)
        for number in range(ROUTER_COUNT):
            await fleet.start_router(number)
            await fleet.wait_until_ready(number)
        await asyncio.sleep(SETTLE_TIME_S)
        self.observations.faults_end_s = monotonic_s()

    # Planned work, which runs without faults

    async def run_planned_work(self) -> None:
        """Change the configuration, replace a server and restart a router."""
        random = Random(f"{self.seed}-planned")
        await self.change_configuration()
        number = random.randrange(len(POOLS))
        self.fleet.servers[number].signal(signal.SIGTERM)
        await self.fleet.servers[number].wait(10)
        await self.fleet.start_server(number)
        restarted = random.randrange(ROUTER_COUNT)
        await self.fleet.stop_router(restarted, GRACE_S + STOP_MARGIN_S)
        await self.fleet.start_router(restarted)
        await self.fleet.wait_until_ready(restarted)
        await asyncio.sleep(1)

    async def change_configuration(self) -> None:
        """Add a route, remove a route and an API key; check that routers apply it."""
        fleet = self.fleet
        fleet.api_keys["key-x"] = "account-x"
        await fleet.write_configuration()
        await asyncio.sleep(APPLY_TIMEOUT_S)
        fleet.routes = [each for each in fleet.routes if each["name"] != "extra"]
        fleet.routes.append(route("/new/", "desk", "safe", maxAttempts=2))
        fleet.api_keys.pop("key-x")
        acknowledged_s = await fleet.write_configuration()
        timeout_s = (
            APPLY_TIMEOUT_S if self.observations.timed else APPLY_TIMEOUT_UNTIMED_S
        )
        unapplied = [True]
        while unapplied and monotonic_s() < acknowledged_s + timeout_s:
            await asyncio.sleep(0.1)
            unapplied = await self.find_unapplied()
        unapplied = unapplied and await self.find_unapplied()
        self.observations.violations += [f"CONFIG: {each}" for each in unapplied]

    async def find_unapplied(self) -> list[str]:
        """Return the requests that a router does not handle as configured."""
        unapplied = []
        read_kind = REQUEST_KINDS[-1]
        for router in range(ROUTER_COUNT):
            for prefix, key, account, status in (
                ("/new/", "key-a", "account-a", 200),
                ("/extra/", "key-a", "account-a", 404),
                ("/read/", "key-x", "account-x", 401),
            ):
                self.configuration_probe_count += 1
                client = Client(
                    f"probe{self.configuration_probe_count}",
                    Random(1),
                    self.observations.requests,
                )
                address = self.fleet.ip(1, router), 8227
                request = await client.send_request(
                    router, address, read_kind, key, account, prefix=prefix
                )
                request.owed = False
                client.close()
                if request.status != status:
                    unapplied.append(
                        f"router {router}: {prefix} {key} returned {request.status}"
                    )
        return unapplied

"""One soak run: injects the faults of a seed and checks the guarantees."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from random import Random

from .checks import RETRY_SLACK, Observations, check_all
from .clients import REQUEST_KINDS, Client
from .fleet import GRACE_S, INITIAL_ROUTES, POOLS, ROUTER_COUNT, Fleet, route
from .plan import Fault, make_plan
from .processes import Process, monotonic_s
from .proxy import Impairment

CLIENT_COUNT = 12
SETTLE_TIME_S = 4.5
"""Fault-free wait before recovery is checked: routers have a complete list of servers
2 s after the store is back, and use an avoided server again after at most 4 s."""
APPLY_TIMEOUT_S = 2.0
"""All routers apply a configuration within this time of its acknowledgement."""
APPLY_TIMEOUT_UNTIMED_S = 20.0
"""Replaces ``APPLY_TIMEOUT_S`` in untimed runs, which may share a busy host."""
REFUSAL_DELAY_S = 0.4
"""Pause of a client after a 503 or a request that got no response."""
STOP_MARGIN_S = 1.5
"""Time that a router may take to exit beyond its grace period."""
MAX_TAKE_UPS = 2
"""Times that a client asks for the rest of a stream that broke off."""
CRASHING_SHARE = 0.2
"""Share of the streams whose prompt crashes servers while that fault lasts."""
DISCONNECT_SHARE = 0.08
"""Share of requests whose client disconnects before the response is complete."""
BASE_FAULT_RATES = {
    "lost": 0.01,
    "error": 0.03,
    "junk": 0.01,
    "cut": 0.04,
    "extra": 0.03,
    "rest": 0.01,
}
"""Share of a server's responses with each fault while faults are injected.

``lost`` resets the connection before a response, ``error`` returns status 500,
``junk`` sends bytes that are not HTTP, ``cut`` breaks off a response and ``extra``
sends a second, unsolicited response. ``rest`` turns a request away with Retry-After.
"""

DISTURBING_FAULTS = ("router", "all-routers", "store", "engine-link", "client-link")
"""Beginnings of the faults during which routers may not know what they should."""

FaultAction = Callable[["SoakRun", Fault], Awaitable[None]]
FAULT_ACTIONS: dict[str, FaultAction] = {}
"""Function that injects a fault, by kind of fault."""


def fault_action(*kinds: str) -> Callable[[FaultAction], FaultAction]:
    """Register the function that injects the given kinds of faults."""

    def register(function: FaultAction) -> FaultAction:
        for kind in kinds:
            FAULT_ACTIONS[kind] = function
        return function

    return register


class SoakRun:
    """Runs one seed."""

    def __init__(
        self, seed: int, length_s: float, directory: Path, timed: bool = True
    ) -> None:
        self.seed = seed
        self.length_s = length_s
        self.directory = directory
        self.plan = make_plan(seed, length_s)
        self.observations = Observations(timed=timed)
        self.fleet = Fleet(directory, self.observations)
        self.stopping = False
        self.configuration_probe_count = 0
        self.crashing_part = False

    async def execute(self) -> list[str]:
        """Run all phases; return the violated guarantees."""
        try:
            await self.fleet.start()
            probe_task = asyncio.create_task(self.fleet.probe())
            clients = [
                asyncio.create_task(self.run_client(n)) for n in range(CLIENT_COUNT)
            ]
            for server in self.fleet.servers:
                server.send_command(BASE_FAULT_RATES | self.server_limit())
            await self.inject_faults()
            await self.clear_faults()
            await self.run_planned_work()
            self.stopping = True
            await asyncio.gather(*clients)
            probe_task.cancel()
            self.fleet.check_unexpected_exits()
        finally:
            await self.fleet.stop()
        violations = check_all(self.observations)
        if violations:
            self.save_artifacts(violations)
        return violations

    def server_limit(self) -> dict[str, float]:
        """Return the limit that servers name while faults last, in half of the runs."""
        random = Random(f"{self.seed}-limit")
        return {} if random.random() < 0.5 else {"limit": random.uniform(2, 12)}

    async def run_client(self, number: int) -> None:
        """Send requests as one client until the run stops."""
        random = Random(f"{self.seed}-{number}")
        client = Client(f"c{number}", random, self.observations.requests)
        while not self.stopping:
            router = client.router
            if client.connection is None or random.random() < 0.05:
                router = random.choice(self.fleet.rotation())
            key = random.choice(sorted(self.fleet.api_keys))
            disconnect_after_s = (
                random.uniform(0, 0.4) if random.random() < DISCONNECT_SHARE else None
            )
            kind = random.choice(REQUEST_KINDS)
            crashes = (
                self.crashing_part and kind.stream and random.random() < CRASHING_SHARE
            )
            request = await client.send_request(
                router,
                (self.fleet.ip(6, router), 8227),
                kind,
                key,
                self.fleet.api_keys.get(key, ""),
                disconnect_after_s,
                crashes=crashes,
            )
            for _ in range(MAX_TAKE_UPS):
                if not request.can_be_taken_up:
                    break
                router = random.choice(self.fleet.rotation())
                address = self.fleet.ip(6, router), 8227
                request = await client.take_up(request, router, address, key)
            refused = request.status == 503 or (request.lost and not request.status)
            await asyncio.sleep(REFUSAL_DELAY_S if refused else random.uniform(0, 0.1))
        client.close()

    # Faults

    async def inject_faults(self) -> None:
        """Start the planned faults at their times and wait until all have ended."""
        begin_s = monotonic_s()
        fault_tasks = []
        for fault in self.plan:
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

    def save_artifacts(self, violations: list[str]) -> None:
        """Write the plan, the observations and the logs of a failed run."""
        artifact_path = self.directory.joinpath
        artifact_path("found.txt").write_text("\n".join(violations) + "\n")
        plan = [asdict(fault) for fault in self.plan]
        artifact_path("plan.json").write_text(json.dumps(plan, indent=1))
        lines = (json.dumps(record) for record in self.observations.records)
        artifact_path("servers.jsonl").write_text("\n".join(lines))
        lines = (
            json.dumps(asdict(each), default=str) for each in self.observations.requests
        )
        artifact_path("clients.jsonl").write_text("\n".join(lines))
        for name, router_lines in self.fleet.router_lines.items():
            lines = (json.dumps(line) for line in router_lines)
            artifact_path(f"{name}.jsonl").write_text("\n".join(lines))


@fault_action("router-kill")
async def kill_router(run: SoakRun, fault: Fault) -> None:
    """Kill a router and start it again after the duration of the fault."""
    number = fault.target % ROUTER_COUNT
    run.fleet.routers[number].signal(signal.SIGKILL)
    await asyncio.sleep(fault.for_s)
    await run.fleet.start_router(number)


@fault_action("all-routers-kill")
async def kill_all_routers(run: SoakRun, fault: Fault) -> None:
    """Kill all routers at once."""
    for process in run.fleet.routers:
        process.signal(signal.SIGKILL)
    await asyncio.sleep(fault.for_s)
    for number in range(ROUTER_COUNT):
        await run.fleet.start_router(number)


@fault_action("router-stop")
async def restart_router(run: SoakRun, fault: Fault) -> None:
    """Stop a router with SIGTERM and start it again."""
    number = fault.target % ROUTER_COUNT
    await run.fleet.stop_router(number, GRACE_S + STOP_MARGIN_S + fault.for_s)
    await run.fleet.start_router(number)


@fault_action("router-stop-then-kill")
async def kill_stopping_router(run: SoakRun, fault: Fault) -> None:
    """Kill a router during its graceful stop and start it again."""
    number = fault.target % ROUTER_COUNT
    run.fleet.routers[number].signal(signal.SIGTERM)
    await asyncio.sleep(fault.for_s)
    run.fleet.routers[number].signal(signal.SIGKILL)
    await run.fleet.routers[number].wait(5)
    await run.fleet.start_router(number)


@fault_action("router-pause")
async def pause_router(run: SoakRun, fault: Fault) -> None:
    """Suspend a router with SIGSTOP."""
    process = run.fleet.routers[fault.target % ROUTER_COUNT]
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    process.signal(signal.SIGCONT)


@fault_action("router-hang-up")
async def reload_router(run: SoakRun, fault: Fault) -> None:
    """Change the settings of a router and reload them with SIGHUP."""
    number = fault.target % ROUTER_COUNT
    run.fleet.write_settings(number, RETRY_SLACK - 1)
    await hang_up(run, run.fleet.routers[number])


@fault_action("router-hang-up-at-start")
async def reload_starting_router(run: SoakRun, fault: Fault) -> None:
    """Send SIGHUP to a router that is still starting."""
    number = fault.target % ROUTER_COUNT
    process = run.fleet.routers[number]
    process.signal(signal.SIGKILL)
    await process.wait(5)
    await run.fleet.start_router(number)
    await hang_up(run, process)


async def hang_up(run: SoakRun, process: Process) -> None:
    """Send SIGHUP, which ends a process until its program ignores or catches it."""
    if process.running:
        await run.fleet.wait_until(
            process.handles_sighup, f"{process.name} did not handle SIGHUP in time"
        )
    process.signal(signal.SIGHUP)


@fault_action("engine-kill")
async def kill_server(run: SoakRun, fault: Fault) -> None:
    """Kill a server and start it again, as the same or as a new instance."""
    number = fault.target % len(POOLS)
    run.fleet.servers[number].signal(signal.SIGKILL)
    await run.fleet.servers[number].wait(5)
    await asyncio.sleep(fault.for_s)
    await run.fleet.start_server(number, same_instance=fault.target % 2 == 0)


@fault_action("crashing-part")
async def send_crashing_parts(run: SoakRun, fault: Fault) -> None:
    """Let clients send requests under whose prompts servers crash."""
    run.crashing_part = True
    await asyncio.sleep(fault.for_s)
    run.crashing_part = False


@fault_action("engine-drain")
async def drain_server(run: SoakRun, fault: Fault) -> None:
    """Drain a server and start a new instance."""
    number = fault.target % len(POOLS)
    process = run.fleet.servers[number]
    process.signal(signal.SIGTERM)
    if not await process.wait(6):
        process.signal(signal.SIGKILL)
        await process.wait(5)
    await run.fleet.start_server(number)


@fault_action("engine-pause")
async def pause_server(run: SoakRun, fault: Fault) -> None:
    """Suspend a server with SIGSTOP."""
    process = run.fleet.servers[fault.target % len(POOLS)]
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    process.signal(signal.SIGCONT)


@fault_action("engine-faulty")
async def inject_server_faults(run: SoakRun, fault: Fault) -> None:
    """Raise the share of faulty responses of a server."""
    process = run.fleet.servers[fault.target % len(POOLS)]
    process.send_command(BASE_FAULT_RATES | fault.details)
    await asyncio.sleep(fault.for_s)
    process.send_command(BASE_FAULT_RATES)


@fault_action("engine-link", "client-link", "store-link")
async def impair_link(run: SoakRun, fault: Fault) -> None:
    """Impair the connections of one proxy."""
    links = {
        "engine-link": run.fleet.server_links,
        "client-link": run.fleet.client_links,
        "store-link": run.fleet.store_links,
    }[fault.kind]
    proxy = links[fault.target % len(links)]
    proxy.set_impairment(Impairment(fault.details["harm"]))
    await asyncio.sleep(fault.for_s)
    proxy.set_impairment(Impairment.NONE)


@fault_action("store-faulty")
async def inject_store_fault(run: SoakRun, fault: Fault) -> None:
    """Make the store fail calls of routers."""
    run.fleet.store.send_command(fault.details)
    await asyncio.sleep(fault.for_s)
    run.fleet.store.send_command({"fault": "none"})


@fault_action("store-forgets")
async def drop_store_data(run: SoakRun, fault: Fault) -> None:
    """Make the store drop its change history or the entries of servers."""
    run.fleet.store.send_command(fault.details)


@fault_action("store-drill")
async def drill_store(run: SoakRun, fault: Fault) -> None:
    """Bring the store back from an older copy; the operator writes again later."""
    run.fleet.store.send_command(fault.details)
    await asyncio.sleep(fault.details["away_s"] + fault.for_s)
    await run.fleet.rewrite_configuration()


@fault_action("key-revoked")
async def revoke_key(run: SoakRun, fault: Fault) -> None:
    """Add an API key and revoke it."""
    run.fleet.api_keys["key-x"] = "account-x"
    await run.fleet.write_configuration()
    await asyncio.sleep(fault.for_s)
    run.fleet.api_keys.pop("key-x", None)
    await run.fleet.write_configuration()


@fault_action("many-routes")
async def add_routes(run: SoakRun, fault: Fault) -> None:
    """Add 300 routes that receive no requests to the configuration."""
    idle = [route(f"/idle-{n}/", "desk", "safe") for n in range(300)]
    run.fleet.routes = [*INITIAL_ROUTES, *idle]
    await run.fleet.write_configuration()


@fault_action("route-moved")
async def move_route(run: SoakRun, fault: Fault) -> None:
    """Remove a route and add it again."""
    other_routes = [each for each in run.fleet.routes if each["name"] != "extra"]
    run.fleet.routes = other_routes
    await run.fleet.write_configuration()
    await asyncio.sleep(fault.for_s)
    run.fleet.routes = [*other_routes, INITIAL_ROUTES[-1]]
    await run.fleet.write_configuration()

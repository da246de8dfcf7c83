"""One run of the soak: a seed, its faults, and what they broke."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from random import Random

from .checks import RETRY_SLACK, Seen, check_all
from .clients import KINDS, Client
from .fleet import FIRST_ROUTES, GRACE_S, POOLS, ROUTERS, Fleet, route
from .plan import Fault, make_plan
from .processes import steady_s
from .proxy import Harm

CLIENTS = 12
SETTLE_S = 4.5
"""Quiet time after the faults: the list of servers is whole again 2 s after the store,
and a server that was avoided gets work again after at most 4 s."""
APPLY_S = 2.0
"""Time from the acknowledgement of a configuration until it holds everywhere."""
APPLY_UNTIMED_S = 20.0
RETURN_S = 0.4
STOP_MARGIN_S = 1.5
LEAVE_SHARE = 0.08
ALWAYS_WRONG = {"lost": 0.01, "error": 0.03, "junk": 0.01, "cut": 0.04, "extra": 0.03}
"""Shares of a server's answers that go wrong all through the faults."""

Act = Callable[["SoakRun", Fault], Awaitable[None]]
ACTS: dict[str, Act] = {}
"""What each kind of fault does."""


def act(*kinds: str) -> Callable[[Act], Act]:
    """Register what kinds of faults do."""

    def add(function: Act) -> Act:
        for kind in kinds:
            ACTS[kind] = function
        return function

    return add


class SoakRun:
    """Plays one seed."""

    def __init__(
        self, seed: int, length_s: float, directory: Path, timed: bool = True
    ) -> None:
        self.seed = seed
        self.length_s = length_s
        self.directory = directory
        self.plan = make_plan(seed, length_s)
        self.seen = Seen(timed=timed)
        self.fleet = Fleet(directory, self.seen)
        self.ending = False
        self.probes = 0

    async def play(self) -> list[str]:
        """Play the run; return what broke a promise."""
        try:
            await self.fleet.start()
            probing = asyncio.create_task(self.fleet.probe())
            clients = [asyncio.create_task(self.be_client(n)) for n in range(CLIENTS)]
            for server in self.fleet.servers:
                server.order(ALWAYS_WRONG)
            await self.play_faults()
            await self.mend()
            await self.play_planned_work()
            self.ending = True
            await asyncio.gather(*clients)
            probing.cancel()
            self.fleet.check_ends()
        finally:
            await self.fleet.end()
        found = check_all(self.seen)
        if found:
            self.keep(found)
        return found

    async def be_client(self, number: int) -> None:
        """Send requests until the run ends."""
        random = Random(f"{self.seed}-{number}")
        client = Client(f"c{number}", random, self.seen.sent)
        while not self.ending:
            router = client.router
            if client.peer is None or random.random() < 0.05:
                router = random.choice(self.fleet.rotation())
            key = random.choice(sorted(self.fleet.keys))
            leave_s = random.uniform(0, 0.4) if random.random() < LEAVE_SHARE else None
            sent = await client.request(
                router,
                (self.fleet.ip(6, router), 8227),
                random.choice(KINDS),
                key,
                self.fleet.keys.get(key, ""),
                leave_s,
            )
            refused = sent.status == 503 or (sent.lost and not sent.status)
            await asyncio.sleep(RETURN_S if refused else random.uniform(0, 0.1))
        client.drop()

    # Faults

    async def play_faults(self) -> None:
        """Let the faults of the plan come at their times, and wait for their ends."""
        begin = steady_s()
        running = []
        for fault in self.plan:
            await asyncio.sleep(max(begin + fault.at_s - steady_s(), 0))
            running.append(asyncio.create_task(ACTS[fault.kind](self, fault)))
            self.fleet.check_ends()
        await asyncio.sleep(max(begin + self.length_s - steady_s(), 0))
        await asyncio.gather(*running)

    async def mend(self) -> None:
        """End what is left of the faults and wait until the system has settled."""
        fleet = self.fleet
        for proxy in (*fleet.store_links, *fleet.server_links, *fleet.client_links):
            proxy.set_harm(Harm.NONE)
        fleet.store.order({"fault": "none"})
        for server in fleet.servers:
            server.order({})
        for number in range(len(POOLS)):
            await fleet.start_server(number)
        for number in range(ROUTERS):
            await fleet.start_router(number)
            await fleet.until_ready(number)
        await asyncio.sleep(SETTLE_S)
        self.seen.calm_s = steady_s()

    # Planned work, without a fault near it

    async def play_planned_work(self) -> None:
        """Change the configuration, replace a server and restart a router."""
        random = Random(f"{self.seed}-planned")
        await self.change_configuration()
        number = random.randrange(len(POOLS))
        self.fleet.servers[number].signal(signal.SIGTERM)
        await self.fleet.servers[number].wait(10)
        await self.fleet.start_server(number)
        stopped = random.randrange(ROUTERS)
        await self.fleet.end_router(stopped, GRACE_S + STOP_MARGIN_S)
        await self.fleet.start_router(stopped)
        await self.fleet.until_ready(stopped)
        await asyncio.sleep(1)

    async def change_configuration(self) -> None:
        """Add a route, drop one and take a key away; look whether that holds."""
        fleet = self.fleet
        fleet.keys["key-x"] = "account-x"
        await fleet.write_configuration()
        await asyncio.sleep(APPLY_S)
        fleet.routes = [each for each in fleet.routes if each["name"] != "extra"]
        fleet.routes.append(route("/new/", "desk", "safe", maxAttempts=2))
        fleet.keys.pop("key-x")
        acked_s = await fleet.write_configuration()
        most_s = APPLY_S if self.seen.timed else APPLY_UNTIMED_S
        wrong = [True]
        while wrong and steady_s() < acked_s + most_s:
            await asyncio.sleep(0.1)
            wrong = await self.handled_wrongly()
        wrong = wrong and await self.handled_wrongly()
        self.seen.other += [f"CONFIG: {each}" for each in wrong]

    async def handled_wrongly(self) -> list[str]:
        """Return which routers do not handle requests as the configuration says."""
        wrong = []
        read = KINDS[-1]
        for router in range(ROUTERS):
            for prefix, key, account, status in (
                ("/new/", "key-a", "account-a", 200),
                ("/extra/", "key-a", "account-a", 404),
                ("/read/", "key-x", "account-x", 401),
            ):
                self.probes += 1
                client = Client(f"probe{self.probes}", Random(1), self.seen.sent)
                address = self.fleet.ip(1, router), 8227
                sent = await client.request(
                    router, address, read, key, account, prefix=prefix
                )
                sent.owed = False
                client.drop()
                if sent.status != status:
                    wrong.append(f"router {router}: {prefix} {key} got {sent.status}")
        return wrong

    def keep(self, found: list[str]) -> None:
        """Write all that is needed to find the cause."""
        write = self.directory.joinpath
        write("found.txt").write_text("\n".join(found) + "\n")
        plan = [asdict(fault) for fault in self.plan]
        write("plan.json").write_text(json.dumps(plan, indent=1))
        lines = (json.dumps(record) for record in self.seen.records)
        write("servers.jsonl").write_text("\n".join(lines))
        lines = (json.dumps(asdict(each), default=str) for each in self.seen.sent)
        write("clients.jsonl").write_text("\n".join(lines))
        for name, router_lines in self.fleet.router_lines.items():
            lines = (json.dumps(line) for line in router_lines)
            write(f"{name}.jsonl").write_text("\n".join(lines))


@act("router-kill")
async def kill_router(run: SoakRun, fault: Fault) -> None:
    """Kill a router and start it again."""
    number = fault.target % ROUTERS
    run.fleet.routers[number].signal(signal.SIGKILL)
    await asyncio.sleep(fault.for_s)
    await run.fleet.start_router(number)


@act("all-routers-kill")
async def kill_all_routers(run: SoakRun, fault: Fault) -> None:
    """Kill all routers at once."""
    for process in run.fleet.routers:
        process.signal(signal.SIGKILL)
    await asyncio.sleep(fault.for_s)
    for number in range(ROUTERS):
        await run.fleet.start_router(number)


@act("router-stop")
async def stop_router(run: SoakRun, fault: Fault) -> None:
    """Restart a router as planned."""
    number = fault.target % ROUTERS
    await run.fleet.end_router(number, GRACE_S + STOP_MARGIN_S + fault.for_s)
    await run.fleet.start_router(number)


@act("router-stop-then-kill")
async def stop_then_kill_router(run: SoakRun, fault: Fault) -> None:
    """Kill a router that is about to stop."""
    number = fault.target % ROUTERS
    run.fleet.routers[number].signal(signal.SIGTERM)
    await asyncio.sleep(fault.for_s)
    run.fleet.routers[number].signal(signal.SIGKILL)
    await run.fleet.routers[number].wait(5)
    await run.fleet.start_router(number)


@act("router-pause")
async def pause_router(run: SoakRun, fault: Fault) -> None:
    """Let a router stand still."""
    process = run.fleet.routers[fault.target % ROUTERS]
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    process.signal(signal.SIGCONT)


@act("router-hang-up")
async def reload_router(run: SoakRun, fault: Fault) -> None:
    """Change the settings of a router while it runs."""
    number = fault.target % ROUTERS
    run.fleet.write_settings(number, RETRY_SLACK - 1)
    run.fleet.routers[number].signal(signal.SIGHUP)


@act("router-hang-up-at-start")
async def reload_starting_router(run: SoakRun, fault: Fault) -> None:
    """Change the settings of a router that has just been started."""
    number = fault.target % ROUTERS
    process = run.fleet.routers[number]
    process.signal(signal.SIGKILL)
    await process.wait(5)
    await run.fleet.start_router(number)
    # Before the interpreter runs the program, no program can keep the signal off.
    await run.fleet.until(process.minds_hang_up, f"{process.name} does not start")
    process.signal(signal.SIGHUP)


@act("engine-kill")
async def kill_server(run: SoakRun, fault: Fault) -> None:
    """Crash a server; it comes back under a new name or its own."""
    number = fault.target % len(POOLS)
    run.fleet.servers[number].signal(signal.SIGKILL)
    await run.fleet.servers[number].wait(5)
    await asyncio.sleep(fault.for_s)
    await run.fleet.start_server(number, same=fault.target % 2 == 0)


@act("engine-drain")
async def drain_server(run: SoakRun, fault: Fault) -> None:
    """Replace a server."""
    number = fault.target % len(POOLS)
    process = run.fleet.servers[number]
    process.signal(signal.SIGTERM)
    if not await process.wait(6):
        process.signal(signal.SIGKILL)
        await process.wait(5)
    await run.fleet.start_server(number)


@act("engine-pause")
async def pause_server(run: SoakRun, fault: Fault) -> None:
    """Let a server stand still."""
    process = run.fleet.servers[fault.target % len(POOLS)]
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    process.signal(signal.SIGCONT)


@act("engine-faulty")
async def spoil_answers(run: SoakRun, fault: Fault) -> None:
    """Let a share of a server's answers go wrong."""
    process = run.fleet.servers[fault.target % len(POOLS)]
    process.order(ALWAYS_WRONG | fault.details)
    await asyncio.sleep(fault.for_s)
    process.order(ALWAYS_WRONG)


@act("engine-link", "client-link", "store-link")
async def harm_link(run: SoakRun, fault: Fault) -> None:
    """Harm the connections between two programs."""
    links = {
        "engine-link": run.fleet.server_links,
        "client-link": run.fleet.client_links,
        "store-link": run.fleet.store_links,
    }[fault.kind]
    proxy = links[fault.target % len(links)]
    proxy.set_harm(Harm(fault.details["harm"]))
    await asyncio.sleep(fault.for_s)
    proxy.set_harm(Harm.NONE)


@act("store-faulty")
async def spoil_store(run: SoakRun, fault: Fault) -> None:
    """Let the store fail the routers."""
    run.fleet.store.order(fault.details)
    await asyncio.sleep(fault.for_s)
    run.fleet.store.order({"fault": "none"})


@act("store-forgets")
async def forget(run: SoakRun, fault: Fault) -> None:
    """Let the store drop its history, or the entries of servers."""
    run.fleet.store.order(fault.details)


@act("key-revoked")
async def revoke_key(run: SoakRun, fault: Fault) -> None:
    """Add a key and take it away."""
    run.fleet.keys["key-x"] = "account-x"
    await run.fleet.write_configuration()
    await asyncio.sleep(fault.for_s)
    run.fleet.keys.pop("key-x", None)
    await run.fleet.write_configuration()


@act("many-routes")
async def add_routes(run: SoakRun, fault: Fault) -> None:
    """Let the configuration grow."""
    idle = [route(f"/idle-{n}/", "desk", "safe") for n in range(300)]
    run.fleet.routes = [*FIRST_ROUTES, *idle]
    await run.fleet.write_configuration()


@act("route-moved")
async def move_route(run: SoakRun, fault: Fault) -> None:
    """Drop a route and bring it back."""
    kept = [each for each in run.fleet.routes if each["name"] != "extra"]
    run.fleet.routes = kept
    await run.fleet.write_configuration()
    await asyncio.sleep(fault.for_s)
    run.fleet.routes = [*kept, FIRST_ROUTES[-1]]
    await run.fleet.write_configuration()

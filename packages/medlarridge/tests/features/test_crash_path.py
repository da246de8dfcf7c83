import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.transport.asgi import Endpoints, ResponseAborted
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, chat_body, response_piece

scenarios("crash_path.feature")

ENGINES = [f"engine-{number}" for number in range(5)]
ROUTERS = ["router-a", "router-b"]
# The crashing request and the innocent chat have the same home, also on retries.
HEADERS = {"x-medlarridge-account": "a", "x-medlarridge-chat": "same home"}
PIECE_COUNT = 3
CRASH_MARKER = b"crash me"
BREAK_MARKER = b"break me"


class CrashingEngine:
    """Engine that dies on a marker and restarts once the sidecar has detected it."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.deaths = 0
        self.broken_once = False

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/v1/chat/completions")
        async def complete(request, response):
            body = await request.body()
            if CRASH_MARKER in body:
                self.die()
                await anyio.sleep_forever()
            if BREAK_MARKER in body and not self.world["broken_call_engines"]:
                self.world["broken_call_engines"].append(self.name)
                raise ResponseAborted("connection closed without a response")
            if BREAK_MARKER not in body:
                self.world["chat_engines"].append(self.name)
                self.world["chat_started"].set()
                await self.world["release_chat"].wait()
            await response.start(200, [("content-type", "text/event-stream")])
            for number in range(PIECE_COUNT):
                await response.write(response_piece(body, number))
            await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints

    def die(self):
        fleet = self.world["fleet"]
        self.deaths += 1
        fleet.transport.stop(f"{self.name}-server:1")
        fleet.transport.tasks.start_soon(self.restart_when_detected)
        self.world["release_chat"].set()

    async def restart_when_detected(self):
        fleet = self.world["fleet"]
        monitor = fleet.gated_sidecars[self.name].gates.monitor
        deaths = monitor.crash_count
        while monitor.crash_count == deaths:
            await anyio.sleep(0.005)
        fleet.transport.applications[f"{self.name}-server:1"] = self.endpoints()


@pytest.fixture
def world():
    return {
        "send_innocent_chat": False,
        "chat_engines": [],
        "broken_call_engines": [],
        "restart": False,
        "replies": [],
    }


async def run_scenario(world, steps):
    world["release_chat"], world["chat_started"] = anyio.Event(), anyio.Event()
    async with local_fleet(CHAT_TABLES) as fleet:
        world["fleet"] = fleet
        world["engines"] = [CrashingEngine(name, world) for name in ENGINES]
        for engine in world["engines"]:
            await fleet.add_gated_server(engine.name, "engines", engine.endpoints())
        for name in ROUTERS:
            fleet.add_router(name)
        await anyio.wait_all_tasks_blocked()
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                if world["send_innocent_chat"]:
                    tasks.start_soon(send_innocent_chat, world)
                    await world["chat_started"].wait()
                await steps(fleet)
        world["detected_deaths"] = sum(
            gated.gates.monitor.crash_count for gated in fleet.gated_sidecars.values()
        )
        world["suspects"] = [
            key for key in fleet.store.objects if key.startswith("suspects/")
        ]


async def send_chat(fleet, router, text):
    return await fleet.client.post(
        f"http://{router}/v1/chat/completions",
        json=chat_body(text),
        headers=HEADERS,
        timeout=60,
    )


async def send_innocent_chat(world):
    world["chat_reply"] = await send_chat(world["fleet"], ROUTERS[0], "innocent")


@given("five engines behind two routers")
def five_engines(world):
    pass


@given("a chat that runs on the engine of the crashing request")
def chat_on_same_engine(world):
    world["send_innocent_chat"] = True


@when(
    parsers.parse(
        "the caller sends a crashing request {times:d} times through the routers in turn"
    )
)
def caller_sends_crashing_request(world, times):
    world["times"] = times
    anyio.run(run_scenario, world, lambda fleet: send_crashing_requests(world, fleet))


@when("every sidecar is restarted and the caller sends it once more")
def restart_sidecars(world):
    """Restart the fleet with the store as the stopped sidecars left it."""

    async def steps(fleet):
        for engine in world["engines"]:
            fleet.kill(engine.name)
        fleet.store.objects = world["store_objects"]
        for engine in world["engines"]:
            await fleet.add_gated_server(
                engine.name, "engines", engine.endpoints(), number=2
            )
        await anyio.wait_all_tasks_blocked()
        world["replies"].append(
            await send_chat(fleet, ROUTERS[0], CRASH_MARKER.decode())
        )

    world["deaths_before"] = sum(engine.deaths for engine in world["engines"])
    anyio.run(run_scenario, world, steps)


async def send_crashing_requests(world, fleet):
    for number in range(world["times"]):
        router = ROUTERS[number % len(ROUTERS)]
        world["replies"].append(await send_chat(fleet, router, CRASH_MARKER.decode()))
    world["store_objects"] = fleet.store.objects


@when("the engine only breaks the call of the other caller")
def break_one_call(world):
    async def steps(fleet):
        world["replies"].append(
            await send_chat(fleet, ROUTERS[1], BREAK_MARKER.decode())
        )
        world["release_chat"].set()

    anyio.run(run_scenario, world, steps)


@then(parsers.parse("exactly {count:d} servers were lost"))
def check_lost_count(world, count):
    deaths = sum(engine.deaths for engine in world["engines"])
    assert deaths + world.get("deaths_before", 0) == count


@then("the last answer has status 422 and says that servers died")
def refused_with_422(world):
    reply = world["replies"][-1]
    assert (reply.status_code, reply.headers["x-medlarridge-outcome"]) == (
        422,
        "not-run",
    )
    assert "servers died" in reply.json()["error"]["message"]


@then("the chat had its whole answer")
def chat_complete(world):
    reply = world["chat_reply"]
    assert reply.headers["x-medlarridge-outcome"] == "at-end", reply.content
    request_body = reply.request.content
    head, _, tail = reply.content.partition(b"event: medlarridge-outcome")
    assert head == b"".join(
        response_piece(request_body, number) for number in range(PIECE_COUNT)
    )
    assert b'"outcome":"complete"' in tail
    assert tail.endswith(b"data: [DONE]\n\n")


@then("no server counts as lost and nothing is suspected")
def nothing_lost_or_suspected(world):
    assert world["broken_call_engines"] == world["chat_engines"][:1], (
        "chat and broken call ran on different engines"
    )
    assert world["detected_deaths"] == 0
    assert not world["suspects"]
    assert b'"outcome":"complete"' in world["replies"][0].content

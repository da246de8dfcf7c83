import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.transport.asgi import Endpoints, ResponseAborted
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, chat_body, piece_of

scenarios("crash_path.feature")

ENGINES = [f"engine-{number}" for number in range(5)]
ROUTERS = ["router-a", "router-b"]
# Both share their home, and so do all of their retries.
HEADERS = {"x-medlarridge-account": "a", "x-medlarridge-chat": "same home"}
PIECES = 3
MARKER = b"crash me"
BREAK_MARKER = b"break me"


class FragileEngine:
    """Engine that dies on a marker and is started again when that was noticed."""

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
            if MARKER in body:
                self.die()
                await anyio.sleep_forever()
            if BREAK_MARKER in body and not self.world["broken"]:
                self.world["broken"].append(self.name)
                raise ResponseAborted("only this call breaks")
            if BREAK_MARKER not in body:
                self.world["chat_engines"].append(self.name)
                self.world["chat_runs"].set()
                await self.world["go_on"].wait()
            await response.start(200, [("content-type", "text/event-stream")])
            for number in range(PIECES):
                await response.write(piece_of(body, number))
            await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints

    def die(self):
        fleet = self.world["fleet"]
        self.deaths += 1
        fleet.transport.stop(f"{self.name}-server:1")
        fleet.transport.tasks.start_soon(self.start_again)
        self.world["go_on"].set()

    async def start_again(self):
        fleet = self.world["fleet"]
        monitor = fleet.gated_sidecars[self.name].gates.monitor
        deaths = monitor.deaths
        while monitor.deaths == deaths:
            await anyio.sleep(0.005)
        fleet.transport.applications[f"{self.name}-server:1"] = self.endpoints()


@pytest.fixture
def world():
    return {
        "chat": False,
        "chat_engines": [],
        "broken": [],
        "restart": False,
        "replies": [],
    }


async def run_path(world, play):
    world["go_on"], world["chat_runs"] = anyio.Event(), anyio.Event()
    async with local_fleet(CHAT_TABLES) as fleet:
        world["fleet"] = fleet
        world["engines"] = [FragileEngine(name, world) for name in ENGINES]
        for engine in world["engines"]:
            await fleet.add_gated_server(engine.name, "engines", engine.endpoints())
        for name in ROUTERS:
            fleet.add_router(name)
        await anyio.wait_all_tasks_blocked()
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                if world["chat"]:
                    tasks.start_soon(run_chat, world)
                    await world["chat_runs"].wait()
                await play(fleet)
        world["noticed"] = sum(
            gated.gates.monitor.deaths for gated in fleet.gated_sidecars.values()
        )
        world["suspects"] = [
            key for key in fleet.store.objects if key.startswith("suspects/")
        ]


async def ask(fleet, router, text):
    return await fleet.client.post(
        f"http://{router}/v1/chat/completions",
        json=chat_body(text),
        headers=HEADERS,
        timeout=60,
    )


async def run_chat(world):
    world["chat_reply"] = await ask(world["fleet"], ROUTERS[0], "innocent")


@given("five engines behind two routers")
def engines(world):
    pass


@given("a chat that runs on the engine of the crashing request")
def chat(world):
    world["chat"] = True


@when(
    parsers.parse(
        "the caller sends a crashing request {times:d} times through the routers in turn"
    )
)
def send_crashing(world, times):
    world["times"] = times
    anyio.run(run_path, world, lambda fleet: crash(world, fleet))


@when("every sidecar is restarted and the caller sends it once more")
def restart(world):
    """Start over with the store that the sidecars left behind."""

    async def play(fleet):
        for engine in world["engines"]:
            fleet.kill(engine.name)
        fleet.store.objects = world["objects"]
        for engine in world["engines"]:
            await fleet.add_gated_server(
                engine.name, "engines", engine.endpoints(), number=2
            )
        await anyio.wait_all_tasks_blocked()
        world["replies"].append(await ask(fleet, ROUTERS[0], MARKER.decode()))

    world["deaths_before"] = sum(engine.deaths for engine in world["engines"])
    anyio.run(run_path, world, play)


async def crash(world, fleet):
    for number in range(world["times"]):
        router = ROUTERS[number % len(ROUTERS)]
        world["replies"].append(await ask(fleet, router, MARKER.decode()))
    world["objects"] = fleet.store.objects


@when("the engine only breaks the call of the other caller")
def break_one(world):
    async def play(fleet):
        world["replies"].append(await ask(fleet, ROUTERS[1], BREAK_MARKER.decode()))
        world["go_on"].set()

    anyio.run(run_path, world, play)


@then(parsers.parse("exactly {count:d} servers were lost"))
def lost(world, count):
    deaths = sum(engine.deaths for engine in world["engines"])
    assert deaths + world.get("deaths_before", 0) == count


@then("the last answer has status 422 and says that servers died")
def refused(world):
    reply = world["replies"][-1]
    assert (reply.status_code, reply.headers["x-medlarridge-outcome"]) == (
        422,
        "not-run",
    )
    assert "servers died" in reply.json()["error"]["message"]


@then("the chat had its whole answer")
def chat_whole(world):
    reply = world["chat_reply"]
    assert reply.headers["x-medlarridge-outcome"] == "at-end", reply.content
    sent = reply.request.content
    head, _, tail = reply.content.partition(b"event: medlarridge-outcome")
    assert head == b"".join(piece_of(sent, number) for number in range(PIECES))
    assert b'"outcome":"complete"' in tail
    assert tail.endswith(b"data: [DONE]\n\n")


@then("no server counts as lost and nothing is suspected")
def not_lost(world):
    assert world["broken"] == world["chat_engines"][:1], "they shared the engine"
    assert world["noticed"] == 0
    assert not world["suspects"]
    assert b'"outcome":"complete"' in world["replies"][0].content

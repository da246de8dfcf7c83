from dataclasses import dataclass, field

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.fleet import StaticFleet
from medlarridge._internal.identity import Member
from medlarridge._internal.protocol.tables import Tables
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, chat_body, piece_of

scenarios("change_path.feature")

RENAMED_TABLES = {
    "routes": {"chats": {"pools": ["models"]}},
    "pools": {"models": CHAT_TABLES["pools"]["engines"]},
}
PIECES = 3


class HoldingEngine:
    """Engine that holds its first chat until told to go on."""

    def __init__(self, world):
        self.world = world
        self.runs = 0

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/v1/chat/completions")
        async def complete(request, response):
            self.runs += 1
            body = await request.body()
            await response.start(200, [("content-type", "text/event-stream")])
            await response.write(piece_of(body, 0))
            if b"held" in body:
                self.world["holder"] = self
                self.world["holding"].set()
                await self.world["go_on"].wait()
            for number in range(1, PIECES):
                await response.write(piece_of(body, number))
            await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints


@dataclass
class RouterView(StaticFleet):
    """View of a router, which fetches newer configurations that it is told of."""

    world: dict = field(default_factory=dict)
    told: list = field(default_factory=list)

    def observe_generation(self, generation, address):
        self.told.append(generation)
        if generation > self.generation and self.world["can_fetch"]:
            self.world["fleet"].transport.tasks.start_soon(self.fetch)

    async def fetch(self):
        # Longer than a router takes to use up its attempts without waiting.
        await anyio.sleep(0.5)
        newest = self.world["fleet"].fleet
        self.tables, self.generation = newest.tables, newest.generation
        self.members = list(newest.members)
        self.revision += 1


@pytest.fixture
def world():
    return {"hold": False, "can_fetch": True, "replies": []}


@given("a router with its own view of two engines")
def path(world):
    pass


@given("a chat that runs on an engine")
def running_chat(world):
    world["hold"] = True


@given("the router cannot fetch configurations")
def cannot_fetch(world):
    world["can_fetch"] = False


async def ask(world, text):
    return await world["fleet"].client.post(
        "http://router/v1/chat/completions",
        json=chat_body(text),
        headers={"x-medlarridge-chat": "one home"},
        timeout=30,
    )


async def ask_held(world):
    world["held_reply"] = await ask(world, "held")


async def run_path(world, change, count):
    world["holding"], world["go_on"] = anyio.Event(), anyio.Event()
    world["engines"] = engines = [HoldingEngine(world) for _ in range(2)]
    async with local_fleet(CHAT_TABLES) as fleet:
        world["fleet"] = fleet
        for number, engine in enumerate(engines):
            await fleet.add_gated_server(
                f"engine-{number}", "engines", engine.endpoints()
            )
        world["view"] = RouterView(fleet.tables, list(fleet.fleet.members), world=world)
        fleet.add_router("router", view=world["view"])
        await anyio.wait_all_tasks_blocked()
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                if world["hold"]:
                    tasks.start_soon(ask_held, world)
                    await world["holding"].wait()
                await change(fleet)
                for number in range(count):
                    world["replies"].append(await ask(world, f"new {number}"))
                world["go_on"].set()


def leaving_name(world):
    return f"engine-{world['engines'].index(world['holder'])}"


@when(
    parsers.parse(
        "that engine leaves and the chat's home is asked {count:d} times more"
    )
)
def leaves(world, count):
    async def change(fleet):
        fleet.sidecars[leaving_name(world)].drain.leave()

    anyio.run(run_path, world, change, count)


@when(
    parsers.parse(
        "its pool is renamed, that engine leaves and the chat's home is asked "
        "{count:d} times more"
    )
)
def renamed(world, count):
    async def change(fleet):
        leaving = leaving_name(world)
        fleet.fleet.tables = Tables.model_validate(RENAMED_TABLES)
        fleet.fleet.generation = 2
        fleet.sidecars[leaving].drain.leave()
        # The other sidecar is started again with the new name in its settings.
        for number, engine in enumerate(world["engines"]):
            name = f"engine-{number}"
            if name != leaving:
                fleet.kill(name)
                await fleet.add_gated_server(name, "models", engine.endpoints(), 2)
        fleet.fleet.members = [
            Member(member.instance, member.pool, draining=member.pool == "engines")
            for member in fleet.fleet.members
        ]

    anyio.run(run_path, world, change, count)


@when("the sidecars have generation 2 and a chat is sent")
def newer(world):
    async def change(fleet):
        fleet.fleet.generation = 2

    anyio.run(run_path, world, change, 1)


@then("the engine that leaves got no new work")
def no_new_work(world):
    assert world["holder"].runs == 1


def check_whole(reply):
    assert reply.headers["x-medlarridge-outcome"] == "at-end", reply.content
    sent = reply.request.content
    pieces = b"".join(piece_of(sent, number) for number in range(PIECES))
    assert reply.content.startswith(pieces)
    assert b'"outcome":"complete"' in reply.content
    assert reply.content.endswith(b"data: [DONE]\n\n")


@then("all of these chats had their whole answers")
def whole(world):
    assert world["replies"]
    for reply in world["replies"]:
        check_whole(reply)


@then("the chat that ran had its whole answer")
def held_whole(world):
    check_whole(world["held_reply"])


@then("the router was told of generation 2 and fetched it")
def fetched(world):
    assert 2 in world["view"].told
    assert world["view"].generation == 2


@then("the caller is told not-run and no engine ran the chat")
def not_run(world):
    (reply,) = world["replies"]
    assert reply.headers["x-medlarridge-outcome"] == "not-run"
    assert int(reply.headers["retry-after"]) > 0
    assert sum(engine.runs for engine in world["engines"]) == 0

from dataclasses import dataclass, field

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.fleet import StaticFleet
from medlarridge._internal.identity import Member
from medlarridge._internal.protocol.tables import Tables
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, chat_body, response_piece

scenarios("change_path.feature")

TABLES_WITH_RENAMED_POOL = {
    "routes": {"chats": {"pools": ["models"]}},
    "pools": {"models": CHAT_TABLES["pools"]["engines"]},
}
PIECES = 3


class BlockingEngine:
    """Engine that blocks the chat ``held`` after its first piece until released."""

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
            await response.write(response_piece(body, 0))
            if b"held" in body:
                self.world["blocked_engine"] = self
                self.world["engine_blocked"].set()
                await self.world["release"].wait()
            for number in range(1, PIECES):
                await response.write(response_piece(body, number))
            await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints


@dataclass
class RouterView(StaticFleet):
    """Router's own view of the fleet, which fetches newer generations it observes."""

    world: dict = field(default_factory=dict)
    observed_generations: list = field(default_factory=list)

    def observe_generation(self, generation, address):
        self.observed_generations.append(generation)
        if generation > self.generation and self.world["can_fetch"]:
            self.world["fleet"].transport.tasks.start_soon(self.fetch)

    async def fetch(self):
        # Takes longer than the router needs to use up its attempts if it does not wait.
        await anyio.sleep(0.5)
        newest = self.world["fleet"].fleet
        self.tables, self.generation = newest.tables, newest.generation
        self.members = list(newest.members)
        self.revision += 1


@pytest.fixture
def world():
    return {"block_first_chat": False, "can_fetch": True, "replies": []}


@given("a router with its own view of two engines")
def router_with_own_view(world):
    pass


@given("a chat that runs on an engine")
def running_chat(world):
    world["block_first_chat"] = True


@given("the router cannot fetch configurations")
def router_cannot_fetch(world):
    world["can_fetch"] = False


async def send_chat(world, text):
    return await world["fleet"].client.post(
        "http://router/v1/chat/completions",
        json=chat_body(text),
        headers={"x-medlarridge-chat": "one home"},
        timeout=30,
    )


async def send_blocked_chat(world):
    world["blocked_reply"] = await send_chat(world, "held")


async def run_scenario(world, apply_change, chat_count):
    world["engine_blocked"], world["release"] = anyio.Event(), anyio.Event()
    world["engines"] = engines = [BlockingEngine(world) for _ in range(2)]
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
                if world["block_first_chat"]:
                    tasks.start_soon(send_blocked_chat, world)
                    await world["engine_blocked"].wait()
                await apply_change(fleet)
                for number in range(chat_count):
                    world["replies"].append(await send_chat(world, f"new {number}"))
                world["release"].set()


def leaving_engine_name(world):
    return f"engine-{world['engines'].index(world['blocked_engine'])}"


@when(
    parsers.parse(
        "that engine leaves and the chat's home is asked {count:d} times more"
    )
)
def engine_leaves(world, count):
    async def change(fleet):
        fleet.sidecars[leaving_engine_name(world)].drain.leave()

    anyio.run(run_scenario, world, change, count)


@when(
    parsers.parse(
        "its pool is renamed, that engine leaves and the chat's home is asked "
        "{count:d} times more"
    )
)
def pool_renamed(world, count):
    async def change(fleet):
        leaving_name = leaving_engine_name(world)
        fleet.fleet.tables = Tables.model_validate(TABLES_WITH_RENAMED_POOL)
        fleet.fleet.generation = 2
        fleet.sidecars[leaving_name].drain.leave()
        # Restart the other sidecar with the new pool name in its settings.
        for number, engine in enumerate(world["engines"]):
            name = f"engine-{number}"
            if name != leaving_name:
                fleet.kill(name)
                await fleet.add_gated_server(name, "models", engine.endpoints(), 2)
        fleet.fleet.members = [
            Member(member.instance, member.pool, draining=member.pool == "engines")
            for member in fleet.fleet.members
        ]

    anyio.run(run_scenario, world, change, count)


@when("the sidecars have generation 2 and a chat is sent")
def sidecars_at_newer_generation(world):
    async def change(fleet):
        fleet.fleet.generation = 2

    anyio.run(run_scenario, world, change, 1)


@then("the engine that leaves got no new work")
def leaving_engine_ran_nothing_more(world):
    assert world["blocked_engine"].runs == 1


def check_complete_response(reply):
    assert reply.headers["x-medlarridge-outcome"] == "at-end", reply.content
    request_body = reply.request.content
    pieces = b"".join(response_piece(request_body, number) for number in range(PIECES))
    assert reply.content.startswith(pieces)
    assert b'"outcome":"complete"' in reply.content
    assert reply.content.endswith(b"data: [DONE]\n\n")


@then("all of these chats had their whole answers")
def chats_complete(world):
    assert world["replies"]
    for reply in world["replies"]:
        check_complete_response(reply)


@then("the chat that ran had its whole answer")
def blocked_chat_complete(world):
    check_complete_response(world["blocked_reply"])


@then("the router was told of generation 2 and fetched it")
def configuration_fetched(world):
    assert 2 in world["view"].observed_generations
    assert world["view"].generation == 2


@then("the caller is told not-run and no engine ran the chat")
def caller_told_not_run(world):
    (reply,) = world["replies"]
    assert reply.headers["x-medlarridge-outcome"] == "not-run"
    assert int(reply.headers["retry-after"]) > 0
    assert sum(engine.runs for engine in world["engines"]) == 0

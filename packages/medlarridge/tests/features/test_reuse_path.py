from dataclasses import dataclass

import anyio
import msgspec
import pytest
from pytest_bdd import given, scenarios, then, when

from medlarridge._internal.clock import SystemClock
from medlarridge_standins.engine import Engine, EngineSettings, expected_completion
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES

scenarios("reuse_path.feature")

CHAT = "returning"
ANSWER_TOKENS = 8
FIRST = [{"role": "user", "content": "footfall of the Fes arcades " * 400}]


@pytest.fixture
def world():
    return {"steps": []}


@given("three engines behind two routers, and a chat that was answered by one")
def path(world):
    pass


@when("its engine leaves with a hand-over")
def leaves(world):
    world["steps"].append(leave_with_hand_over)


@when("its engine drops its cache unnoticed")
def drops(world):
    world["steps"].append(drop_cache)


@when("the chat returns through the other router")
def returns(world):
    anyio.run(play, world)


async def play(world):
    # Cache events are lost, so that only the path itself tells what is cached.
    settings = EngineSettings(
        "", prefill_tokens_per_s=0, token_ms=0, kv_tokens_per_s=0, events_loss=1.0
    )
    world["engines"] = engines = {
        f"engine-{number}": Engine(settings, SystemClock()) for number in range(3)
    }
    async with local_fleet(CHAT_TABLES) as fleet:
        world["fleet"] = fleet
        for name, engine in engines.items():
            fleet.transport.tasks.start_soon(engine.run_batches)
            await fleet.add_gated_server(name, "engines", engine.endpoints)
        for name in ("router-a", "router-b"):
            fleet.add_router(name)
        with anyio.fail_after(20):
            await until(lambda: all_know_members(fleet))
            answer = await ask(world, "router-a", FIRST)
            (world["home"],) = holders(world)
            await until(lambda: not fleet.sidecars[world["home"]].drain.in_flight)
            for step in world["steps"]:
                await step(world)
            world["messages"] = [
                *FIRST,
                {"role": "assistant", "content": answer.json_text},
                {"role": "user", "content": "and of Marrakech?"},
            ]
            world["answer"] = await ask(world, "router-b", world["messages"])


@dataclass
class Answer:
    json_text: str
    cached_tokens: int
    outcome: str


async def ask(world, router, messages):
    reply = await world["fleet"].client.post(
        f"http://{router}/v1/chat/completions",
        json={"model": "chats", "messages": messages, "max_tokens": ANSWER_TOKENS},
        headers={"x-medlarridge-account": "a", "x-medlarridge-chat": CHAT},
        timeout=30,
    )
    assert reply.status_code == 200, reply.text
    return Answer(
        reply.json()["choices"][0]["message"]["content"],
        int(reply.headers["x-cached-tokens"]),
        reply.headers["x-medlarridge-outcome"],
    )


def holders(world):
    return [name for name, engine in world["engines"].items() if engine.cache.chats]


def all_know_members(fleet):
    return all(
        gated.gates.messages.revision == fleet.fleet.revision
        for gated in fleet.gated_sidecars.values()
    )


async def until(condition):
    while not condition():
        await anyio.sleep(0.005)


async def drop_cache(world):
    world["engines"][world["home"]].cache.clear()


async def leave_with_hand_over(world):
    """Leave as the daemon does: refuse, announce, then hand over."""
    fleet, home = world["fleet"], world["home"]
    gated = fleet.gated_sidecars[home]
    gated.sidecar.drain.leave()
    fleet.fleet.members = [
        msgspec.structs.replace(member, draining=True)
        if member.instance.address == f"{home}:1"
        else member
        for member in fleet.fleet.members
    ]
    fleet.fleet.revision += 1
    await until(lambda: all_know_members(fleet))
    assert await gated.gates.cache_sync.hand_over()
    export = f"POST {home}:1/kv/export"
    await until(lambda: export in fleet.transport.requests)
    if world["engines"][home].cache.chats:
        await until(lambda: len(holders(world)) == 2)


def check_answer(world):
    answer = world["answer"]
    assert answer.outcome == "complete"
    assert answer.json_text == expected_completion(world["messages"], ANSWER_TOKENS)


@then("its prefix was found in the cache and its answer is right")
def found(world):
    check_answer(world)
    assert world["answer"].cached_tokens > 0
    assert holders(world) == [world["home"]]


@then("its prefix was found in the cache of another engine and its answer is right")
def found_elsewhere(world):
    check_answer(world)
    assert world["answer"].cached_tokens > 0
    assert len(holders(world)) == 2


@then("it was prefilled and its answer is right")
def prefilled(world):
    check_answer(world)
    assert world["answer"].cached_tokens == 0

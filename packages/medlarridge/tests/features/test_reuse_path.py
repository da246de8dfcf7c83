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

CHAT_ID = "returning"
MAX_TOKENS = 8
FIRST_MESSAGES = [{"role": "user", "content": "footfall of the Fes arcades " * 400}]


@pytest.fixture
def world():
    return {"steps": []}


@given("three engines behind two routers, and a chat that was answered by one")
def answered_chat(world):
    pass


@when("its engine leaves with a hand-over")
def add_leave_step(world):
    world["steps"].append(leave_with_hand_over)


@when("its engine drops its cache unnoticed")
def add_drop_cache_step(world):
    world["steps"].append(drop_cache)


@when("the chat returns through the other router")
def chat_returns(world):
    anyio.run(run_scenario, world)


async def run_scenario(world):
    # All cache events are lost, so that cached prefixes are known only from requests.
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
            await wait_until(lambda: all_know_members(fleet))
            answer = await send_chat(world, "router-a", FIRST_MESSAGES)
            (world["home"],) = prefix_holders(world)
            await wait_until(lambda: not fleet.sidecars[world["home"]].drain.in_flight)
            for step in world["steps"]:
                await step(world)
            world["messages"] = [
                *FIRST_MESSAGES,
                {"role": "assistant", "content": answer.text},
                {"role": "user", "content": "and of Marrakech?"},
            ]
            world["answer"] = await send_chat(world, "router-b", world["messages"])


@dataclass
class Answer:
    text: str
    cached_tokens: int
    outcome: str


async def send_chat(world, router, messages):
    reply = await world["fleet"].client.post(
        f"http://{router}/v1/chat/completions",
        json={"model": "chats", "messages": messages, "max_tokens": MAX_TOKENS},
        headers={"x-medlarridge-account": "a", "x-medlarridge-chat": CHAT_ID},
        timeout=30,
    )
    assert reply.status_code == 200, reply.text
    return Answer(
        reply.json()["choices"][0]["message"]["content"],
        int(reply.headers["x-cached-tokens"]),
        reply.headers["x-medlarridge-outcome"],
    )


def prefix_holders(world):
    return [name for name, engine in world["engines"].items() if engine.cache.chats]


def all_know_members(fleet):
    return all(
        gated.gates.messages.revision == fleet.fleet.revision
        for gated in fleet.gated_sidecars.values()
    )


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.005)


async def drop_cache(world):
    world["engines"][world["home"]].cache.clear()


async def leave_with_hand_over(world):
    """Leave as the daemon does: refuse new work, announce it, then hand over."""
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
    await wait_until(lambda: all_know_members(fleet))
    assert await gated.gates.cache_sync.hand_over()
    export = f"POST {home}:1/kv/export"
    await wait_until(lambda: export in fleet.transport.requests)
    if world["engines"][home].cache.chats:
        await wait_until(lambda: len(prefix_holders(world)) == 2)


def check_answer(world):
    answer = world["answer"]
    assert answer.outcome == "complete"
    assert answer.text == expected_completion(world["messages"], MAX_TOKENS)


@then("its prefix was found in the cache and its answer is right")
def prefix_found(world):
    check_answer(world)
    assert world["answer"].cached_tokens > 0
    assert prefix_holders(world) == [world["home"]]


@then("its prefix was found in the cache of another engine and its answer is right")
def prefix_found_on_other_engine(world):
    check_answer(world)
    assert world["answer"].cached_tokens > 0
    assert len(prefix_holders(world)) == 2


@then("it was prefilled and its answer is right")
def prompt_prefilled(world):
    check_answer(world)
    assert world["answer"].cached_tokens == 0

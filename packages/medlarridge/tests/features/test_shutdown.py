import anyio
import pytest
from pytest_bdd import given, scenarios, then, when

from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, CountingEngine, chat_body

scenarios("shutdown.feature")


@pytest.fixture
def world():
    return {}


@given("two engines behind a router")
def engines(world):
    world["engines"] = {name: CountingEngine(6) for name in ("one", "two")}


@when("the sidecar that streams an answer leaves")
def sidecar_leaves(world):
    anyio.run(leave, world, "sidecar")


@when("the router that streams an answer leaves")
def router_leaves(world):
    anyio.run(leave, world, "router")


async def leave(world, who):
    async with local_fleet(CHAT_TABLES) as fleet:
        for name, engine in world["engines"].items():
            fleet.add_server(name, "engines", engine.endpoints())
        router = fleet.add_router("router")
        stopped = anyio.Event()

        async def run_to_end(sidecar):
            await sidecar.run(fleet.stop)
            stopped.set()

        async def ask():
            return await fleet.client.post(
                "http://router/v1/chat/completions", json=chat_body(), timeout=30
            )

        async def leave_in_stream():
            name = next(n for n, e in world["engines"].items() if e.runs)
            world["leaving"] = name
            if who == "router":
                router.drain.leave()
            else:
                sidecar = fleet.sidecars[name]
                sidecar.drain.leave()
                world["ended_early"] = sidecar.drain.phase == "drained"
            world["second"] = await ask()

        for engine in world["engines"].values():
            engine.after_pieces[2] = leave_in_stream
        with anyio.fail_after(30):
            world["first"] = await ask()
            await anyio.wait_all_tasks_blocked()
        world["phase"] = fleet.sidecars[world["leaving"]].drain.phase


@then("the stream is whole")
def whole(world):
    assert world["first"].content.count(b"data: ") == 6 + 2
    assert world["first"].content.endswith(b"data: [DONE]\n\n")


@then("new requests run on the other engine")
def other(world):
    assert world["second"].content.endswith(b"data: [DONE]\n\n")
    assert sorted(engine.runs for engine in world["engines"].values()) == [1, 1]


@then("the sidecar ends only after the stream")
def ends_after(world):
    assert not world["ended_early"]
    assert world["phase"] == "drained"


@then("new requests are told not-run with when to come back")
def told(world):
    assert world["second"].status_code == 503
    assert world["second"].headers["x-medlarridge-outcome"] == "not-run"
    assert int(world["second"].headers["retry-after"]) > 0

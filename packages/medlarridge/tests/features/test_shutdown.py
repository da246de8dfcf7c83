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
def two_engines(world):
    world["engines"] = {name: CountingEngine(6) for name in ("one", "two")}


@when("the sidecar that streams an answer leaves")
def sidecar_leaves(world):
    anyio.run(run_scenario, world, "sidecar")


@when("the router that streams an answer leaves")
def router_leaves(world):
    anyio.run(run_scenario, world, "router")


async def run_scenario(world, leaving_role):
    async with local_fleet(CHAT_TABLES) as fleet:
        for name, engine in world["engines"].items():
            fleet.add_server(name, "engines", engine.endpoints())
        router = fleet.add_router("router")
        stopped = anyio.Event()

        async def run_to_end(sidecar):
            await sidecar.run(fleet.stop)
            stopped.set()

        async def send_chat():
            return await fleet.client.post(
                "http://router/v1/chat/completions", json=chat_body(), timeout=30
            )

        async def leave_during_stream():
            name = next(
                candidate
                for candidate, engine in world["engines"].items()
                if engine.runs
            )
            world["streaming_sidecar"] = name
            if leaving_role == "router":
                router.drain.leave()
            else:
                sidecar = fleet.sidecars[name]
                sidecar.drain.leave()
                world["ended_early"] = sidecar.drain.phase == "drained"
            world["second_reply"] = await send_chat()

        for engine in world["engines"].values():
            engine.actions_after_piece[2] = leave_during_stream
        with anyio.fail_after(30):
            world["first_reply"] = await send_chat()
            await anyio.wait_all_tasks_blocked()
        world["final_phase"] = fleet.sidecars[world["streaming_sidecar"]].drain.phase


@then("the stream is whole")
def stream_complete(world):
    assert world["first_reply"].content.count(b"data: ") == 6 + 2
    assert world["first_reply"].content.endswith(b"data: [DONE]\n\n")


@then("new requests run on the other engine")
def new_requests_on_other_engine(world):
    assert world["second_reply"].content.endswith(b"data: [DONE]\n\n")
    assert sorted(engine.runs for engine in world["engines"].values()) == [1, 1]


@then("the sidecar ends only after the stream")
def sidecar_ends_after_stream(world):
    assert not world["ended_early"]
    assert world["final_phase"] == "drained"


@then("new requests are told not-run with when to come back")
def new_requests_told_not_run(world):
    assert world["second_reply"].status_code == 503
    assert world["second_reply"].headers["x-medlarridge-outcome"] == "not-run"
    assert int(world["second_reply"].headers["retry-after"]) > 0

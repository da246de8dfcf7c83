from contextlib import asynccontextmanager

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.state.memory import StoreFault
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_standins.local_fleet import local_fleet

from .path_support import service_tables

scenarios("at_most_once_path.feature")

KEY = "invoice 17"


class Desk:
    """Service that tells when it works and can be held there."""

    def __init__(self):
        self.runs = 0
        self.working = anyio.Event()
        self.go_on = anyio.Event()
        self.go_on.set()
        self.on_call = lambda: None

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/{rest}")
        async def call(request, response):
            self.runs += 1
            number = self.runs
            await request.body()
            self.working.set()
            self.on_call()
            await self.go_on.wait()
            await response.reply(200, f"dispatch {number}".encode())

        return endpoints


@pytest.fixture
def world():
    return {"prepare": lambda world: None, "died": None}


@asynccontextmanager
async def running_path(world):
    world["desk"] = desk = Desk()
    async with local_fleet(service_tables(False)) as fleet:
        world["fleet"] = fleet
        for name in ("first", "second"):
            await fleet.add_gated_server(name, "services", desk.endpoints())
        for name in ("first", "second"):
            fleet.add_router(f"{name}-router", [name])
        await anyio.wait_all_tasks_blocked()
        world["prepare"](world)
        with anyio.fail_after(30):
            yield fleet


async def dispatch(world, router, body=b"{}"):
    return await world["fleet"].client.post(
        f"http://{router}-router/services/desk/invoices",
        content=body,
        headers={"idempotency-key": KEY},
        timeout=30,
    )


async def restart_when_cut(world):
    """Start a new instance, so that the router learns that the old one has gone."""
    fleet = world["fleet"]
    while not fleet.gated_sidecars["first"].process.is_killed:
        await anyio.sleep(0.005)
    world["died"] = True
    await fleet.add_gated_server(
        "first", "services", world["desk"].endpoints(), number=2
    )


async def until(condition):
    while not condition():
        await anyio.sleep(0.005)


@given("a service behind two sidecars and two routers that each know one of them")
def path(world):
    pass


@given(parsers.parse("the first sidecar dies {place}"))
def dies(world, place):
    def prepare(world):
        fleet = world["fleet"]
        process = fleet.gated_sidecars["first"].process
        writes = []

        def kill_at(number):
            def hook(key):
                if key.startswith("ledger/"):
                    writes.append(key)
                    if len(writes) == number:
                        fleet.kill("first")

            return hook

        if place == "before the intent":
            process.before_put = kill_at(1)
        elif place == "between the intent and the call":
            process.after_put = kill_at(1)
        elif place == "while the server works":
            world["desk"].on_call = lambda: fleet.kill("first")
        elif place == "before the result is stored":
            process.before_put = kill_at(2)
        else:
            process.after_put = kill_at(2)

    world["prepare"] = prepare
    world["dies"] = True


@given("the store is down")
def store_down(world):
    def prepare(world):
        world["fleet"].store.available = False

    world["prepare"] = prepare


@given("the answer to the write of the intent is lost")
def answer_lost(world):
    def prepare(world):
        fleet = world["fleet"]

        def lose(key):
            if key.startswith("ledger/") and "lost" not in world:
                world["lost"] = True
                fleet.store.faults[fleet.store.calls.total() + 1] = (
                    StoreFault.LOST_AFTER
                )

        fleet.gated_sidecars["first"].process.before_put = lose

    world["prepare"] = prepare


@when("an invoice dispatch is sent through each router in turn")
def in_turn(world):
    async def run():
        async with running_path(world), anyio.create_task_group() as tasks:
            tasks.start_soon(restart_when_cut, world)
            first = await dispatch(world, "first")
            if "dies" in world:
                await until(lambda: world["died"])
            else:
                # Without a store there is nothing to wait for.
                await world["fleet"].gated_sidecars["first"].gates.ledger.drain(5_000)
            world["replies"] = [first, await dispatch(world, "second")]
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when("an invoice dispatch is sent through both routers while the server works")
def at_once(world):
    async def run():
        async with running_path(world), anyio.create_task_group() as tasks:
            desk = world["desk"]
            desk.go_on = anyio.Event()
            replies = []

            async def send(router):
                replies.append(await dispatch(world, router))

            tasks.start_soon(send, "first")
            tasks.start_soon(send, "second")
            await until(lambda: replies or desk.runs > 1)
            desk.go_on.set()
            await until(lambda: len(replies) == 2)
            world["replies"] = sorted(
                replies, key=lambda reply: reply.headers["x-medlarridge-outcome"]
            )

    anyio.run(run)


@when("another invoice dispatch with the same key follows the first")
def other_body(world):
    async def run():
        async with running_path(world):
            world["replies"] = [
                await dispatch(world, "first"),
                await dispatch(world, "second", b'{"amount": 2}'),
            ]

    anyio.run(run)


@when("the caller goes away while the server works and sends it again after the end")
def caller_goes(world):
    async def run():
        async with running_path(world) as fleet:
            desk = world["desk"]
            desk.go_on = anyio.Event()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(dispatch, world, "first")
                await desk.working.wait()
                tasks.cancel_scope.cancel()
            await until(lambda: not fleet.routers["first-router"].drain.in_flight)
            cancels = [path for path in fleet.transport.requests if "/cancel" in path]
            assert cancels, "the router told the sidecar that the caller has gone"
            desk.go_on.set()
            ledger = fleet.gated_sidecars["first"].gates.ledger
            await until(lambda: not fleet.sidecars["first"].drain.in_flight)
            assert await ledger.drain(30_000)
            world["replies"] = [None, await dispatch(world, "second")]

    anyio.run(run)


@then(parsers.parse("the answers are {first} and {second}"))
def outcomes(world, first, second):
    told = [reply.headers["x-medlarridge-outcome"] for reply in world["replies"]]
    assert told == [first, second]


@then("each answer says when to come back")
def come_back(world):
    for reply in world["replies"]:
        assert reply.status_code == 503
        assert int(reply.headers["retry-after"]) > 0


@then("the second answer repeats the first")
def repeats(world):
    first, second = world["replies"]
    assert first.content == second.content == b"dispatch 1"
    assert second.headers["x-medlarridge-repeated"] == "1"


@then("the second answer is complete and repeated")
def repeated(world):
    second = world["replies"][1]
    assert second.headers["x-medlarridge-outcome"] == "complete"
    assert second.headers["x-medlarridge-repeated"] == "1"
    assert second.content == b"dispatch 1"


@then(parsers.parse("the second status is {status:d}"))
def second_status(world, status):
    assert world["replies"][1].status_code == status


@then(parsers.parse("the server ran {runs:d} invoice dispatch"))
def ran(world, runs):
    assert world["desk"].runs == runs

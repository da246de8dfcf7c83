from contextlib import asynccontextmanager

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.state.memory import StoreFault
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_standins.local_fleet import local_fleet

from .path_support import service_tables

scenarios("at_most_once_path.feature")

IDEMPOTENCY_KEY = "invoice 17"


class DispatchService:
    """Service that signals the start of a call and can block it until released."""

    def __init__(self):
        self.runs = 0
        self.call_started = anyio.Event()
        self.release = anyio.Event()
        self.release.set()
        self.on_call = lambda: None

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/{rest}")
        async def call(request, response):
            self.runs += 1
            number = self.runs
            await request.body()
            self.call_started.set()
            self.on_call()
            await self.release.wait()
            await response.reply(200, f"dispatch {number}".encode())

        return endpoints


@pytest.fixture
def world():
    return {"prepare": lambda world: None, "first_sidecar_replaced": None}


@asynccontextmanager
async def running_fleet(world):
    world["service"] = service = DispatchService()
    async with local_fleet(service_tables(False)) as fleet:
        world["fleet"] = fleet
        for name in ("first", "second"):
            await fleet.add_gated_server(name, "services", service.endpoints())
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
        headers={"idempotency-key": IDEMPOTENCY_KEY},
        timeout=30,
    )


async def restart_after_kill(world):
    """Start a new instance after the kill, so that the router learns of the failure."""
    fleet = world["fleet"]
    while not fleet.gated_sidecars["first"].process.is_killed:
        await anyio.sleep(0.005)
    world["first_sidecar_replaced"] = True
    await fleet.add_gated_server(
        "first", "services", world["service"].endpoints(), number=2
    )


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.005)


@given("a service behind two sidecars and two routers that each know one of them")
def service_with_two_sidecars(world):
    pass


@given(parsers.parse("the first sidecar dies {place}"))
def first_sidecar_dies(world, place):
    def prepare(world):
        fleet = world["fleet"]
        process = fleet.gated_sidecars["first"].process
        writes = []

        def kill_at_write(number):
            def hook(key):
                if key.startswith("ledger/"):
                    writes.append(key)
                    if len(writes) == number:
                        fleet.kill("first")

            return hook

        if place == "before the intent":
            process.before_put = kill_at_write(1)
        elif place == "between the intent and the call":
            process.after_put = kill_at_write(1)
        elif place == "while the server works":
            world["service"].on_call = lambda: fleet.kill("first")
        elif place == "before the result is stored":
            process.before_put = kill_at_write(2)
        else:
            process.after_put = kill_at_write(2)

    world["prepare"] = prepare
    world["first_sidecar_killed"] = True


@given("the store is down")
def store_down(world):
    def prepare(world):
        world["fleet"].store.available = False

    world["prepare"] = prepare


@given("the answer to the write of the intent is lost")
def intent_result_lost(world):
    def prepare(world):
        fleet = world["fleet"]

        def lose_result(key):
            if key.startswith("ledger/") and "intent_result_lost" not in world:
                world["intent_result_lost"] = True
                fleet.store.faults[fleet.store.calls.total() + 1] = (
                    StoreFault.LOST_AFTER
                )

        fleet.gated_sidecars["first"].process.before_put = lose_result

    world["prepare"] = prepare


@when("an invoice dispatch is sent through each router in turn")
def dispatch_in_turn(world):
    async def run():
        async with running_fleet(world), anyio.create_task_group() as tasks:
            tasks.start_soon(restart_after_kill, world)
            first = await dispatch(world, "first")
            if "first_sidecar_killed" in world:
                await wait_until(lambda: world["first_sidecar_replaced"])
            else:
                # While the store is down the ledger has no write left to wait for.
                await world["fleet"].gated_sidecars["first"].gates.ledger.drain(5_000)
            world["replies"] = [first, await dispatch(world, "second")]
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when("an invoice dispatch is sent through both routers while the server works")
def dispatch_at_once(world):
    async def run():
        async with running_fleet(world), anyio.create_task_group() as tasks:
            service = world["service"]
            service.release = anyio.Event()
            replies = []

            async def send(router):
                replies.append(await dispatch(world, router))

            tasks.start_soon(send, "first")
            tasks.start_soon(send, "second")
            await wait_until(lambda: replies or service.runs > 1)
            service.release.set()
            await wait_until(lambda: len(replies) == 2)
            world["replies"] = sorted(
                replies, key=lambda reply: reply.headers["x-medlarridge-outcome"]
            )

    anyio.run(run)


@when("another invoice dispatch with the same key follows the first")
def dispatch_other_body(world):
    async def run():
        async with running_fleet(world):
            world["replies"] = [
                await dispatch(world, "first"),
                await dispatch(world, "second", b'{"amount": 2}'),
            ]

    anyio.run(run)


@when("the caller goes away while the server works and sends it again after the end")
def caller_disconnects(world):
    async def run():
        async with running_fleet(world) as fleet:
            service = world["service"]
            service.release = anyio.Event()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(dispatch, world, "first")
                await service.call_started.wait()
                tasks.cancel_scope.cancel()
            await wait_until(lambda: not fleet.routers["first-router"].drain.in_flight)
            cancels = [path for path in fleet.transport.requests if "/cancel" in path]
            assert cancels, "the router did not cancel the attempt at the sidecar"
            service.release.set()
            ledger = fleet.gated_sidecars["first"].gates.ledger
            await wait_until(lambda: not fleet.sidecars["first"].drain.in_flight)
            assert await ledger.drain(30_000)
            world["replies"] = [None, await dispatch(world, "second")]

    anyio.run(run)


@then(parsers.parse("the answers are {first} and {second}"))
def check_outcomes(world, first, second):
    outcomes_told = [
        reply.headers["x-medlarridge-outcome"] for reply in world["replies"]
    ]
    assert outcomes_told == [first, second]


@then("each answer says when to come back")
def answers_have_retry_after(world):
    for reply in world["replies"]:
        assert reply.status_code == 503
        assert int(reply.headers["retry-after"]) > 0


@then("the second answer repeats the first")
def second_repeats_first(world):
    first, second = world["replies"]
    assert first.content == second.content == b"dispatch 1"
    assert second.headers["x-medlarridge-repeated"] == "1"


@then("the second answer is complete and repeated")
def second_repeated(world):
    second = world["replies"][1]
    assert second.headers["x-medlarridge-outcome"] == "complete"
    assert second.headers["x-medlarridge-repeated"] == "1"
    assert second.content == b"dispatch 1"


@then(parsers.parse("the second status is {status:d}"))
def second_status(world, status):
    assert world["replies"][1].status_code == status


@then(parsers.parse("the server ran {runs:d} invoice dispatch"))
def check_run_count(world, runs):
    assert world["service"].runs == runs

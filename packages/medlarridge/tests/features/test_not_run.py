import anyio
import httpx
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.protocol.codec import FrameReader, encode_frame
from medlarridge._internal.protocol.messages import Chunk, End, NotRun
from medlarridge_standins.in_memory_transport import ConnectionFault
from medlarridge_standins.local_fleet import SHARED_KEY, local_fleet

from .path_support import CountingService, attempt_for, service_tables

scenarios("not_run.feature")


@pytest.fixture
def world():
    return {"servers": [CountingService()], "reachable": True, "steps": []}


@given(parsers.re("a service route whose calls may (?P<word>not )?be repeated"))
def service_route(world, word):
    world["repeatable"] = not word


@given("its server refuses connections")
def refuses(world):
    world["reachable"] = False


@given("its server closes the connection without an answer")
def closes(world):
    world["servers"][0].closes = True


@given("its first server closes the connection without an answer")
def first_closes(world):
    world["servers"] = [CountingService(), CountingService()]
    world["first_closes"] = True


@given("a fault of its sidecar that meets the first attempt")
def faulty(world):
    world["gates"] = [FaultyGate()]


class FaultyGate:
    """Fails for the first attempt."""

    failed = False

    async def enter(self, live):
        if not self.failed:
            self.failed = True
            raise KeyError("fault")

    async def leave(self, live):
        pass


@given("its sidecar is replaced while the server runs the call")
def sidecar_replaced(world):
    world["replaced"] = True


@when("a caller sends an invoice dispatch")
def dispatch(world):
    anyio.run(call_router, world)


async def call_router(world):
    async with local_fleet(service_tables(world["repeatable"])) as fleet:
        for number, server in enumerate(world["servers"]):
            fleet.add_server(
                f"service-{number}",
                "services",
                server.endpoints(),
                gates=world.get("gates"),
            )
            if not world["reachable"]:
                del fleet.transport.applications[f"service-{number}-server:1"]
        fleet.add_router("router")
        if world.get("first_closes"):

            def plan(request):
                if request.url.path == "/invoices":
                    closing = not any(server.runs for server in world["servers"])
                    for server in world["servers"]:
                        server.closes = closing
                return

            fleet.transport.plan = plan
        if world.get("replaced"):
            server = world["servers"][0]

            async def replace():
                fleet.add_server("service-0", "services", server.endpoints(), 2)

            server.on_call = replace
            faults = [ConnectionFault()]
            fleet.transport.plan = lambda request: (
                faults.pop() if faults and request.url.path == "/attempts" else None
            )
        with anyio.fail_after(30):
            world["reply"] = await fleet.client.post(
                "http://router/services/desk/invoices", content=b"{}", timeout=20
            )


@given("a sidecar that drains and refuses an attempt")
def draining(world):
    world["steps"] = ["leave", "send", "return", "send"]


@given("a sidecar that has run an attempt")
def has_run(world):
    world["steps"] = ["send", "send"]


@given("a sidecar that has run an attempt and dropped its answer")
def has_dropped(world):
    world["steps"] = ["send", "drop", "send"]


@given("a sidecar that was restarted")
def restarted(world):
    world["steps"] = ["send"]
    world["attempt"] = attempt_for(target=99)


@given("a sidecar with a newer configuration than the router")
def newer(world):
    world["steps"] = ["newer", "send"]


@when("a copy for another instance arrives")
def copy_for_another(world):
    world["steps"] = ["send", "other", "send"]
    run_steps(world)


@when("the sidecar serves again and a copy of the attempt arrives")
@when("a copy of the attempt arrives")
@when("an attempt for the earlier instance arrives")
@when("an attempt of the older generation arrives")
def run_steps(world):
    anyio.run(talk_to_sidecar, world)


async def talk_to_sidecar(world):
    world["replies"] = []
    async with local_fleet(service_tables(False)) as fleet:
        sidecar = fleet.add_server(
            "service", "services", world["servers"][0].endpoints()
        )
        attempt = world.get("attempt", attempt_for(target=1))
        await anyio.wait_all_tasks_blocked()
        for step in world["steps"]:
            if step == "leave":
                sidecar.drain.leave()
            elif step == "return":
                sidecar.drain.leaving = False
            elif step == "other":
                attempt = attempt_for(target=99)
            elif step == "drop":
                sidecar.live_attempts.clear()
            elif step == "newer":
                fleet.fleet.generation = 2
            else:
                with anyio.fail_after(30):
                    world["replies"].append(await send(fleet, attempt))


async def send(fleet, attempt):
    reply = await fleet.client.post(
        "http://service:1/attempts",
        content=encode_frame(attempt),
        headers=SHARED_KEY.headers(),
        timeout=httpx.Timeout(20),
    )
    return list(FrameReader("service").feed(reply.content))


@then(
    parsers.parse("the caller is told {outcome} with status {status:d}"),
    converters={"outcome": str},
)
def told(world, outcome, status):
    reply = world["reply"]
    assert (reply.headers["x-medlarridge-outcome"], reply.status_code) == (
        outcome,
        status,
    )


@then("the caller is told not-run with status 503 and when to come back")
def told_later(world):
    told(world, "not-run", 503)
    assert int(world["reply"].headers["retry-after"]) > 0


@then(parsers.parse("the server ran {runs:d} calls"))
def ran(world, runs):
    assert sum(server.runs for server in world["servers"]) == runs


@then("the copy is refused as well")
def copy_refused(world):
    first, second = world["replies"]
    assert isinstance(second[0], NotRun)
    assert first == second


@then("the copy gets the same answer")
def same_answer(world):
    answers = [
        [frame for frame in frames if isinstance(frame, Chunk | End)]
        for frames in world["replies"]
    ]
    assert answers[0] == answers[1]
    assert len(answers[0]) == 2


@then("the copy is refused with wrong-instance")
def copy_refused_with(world):
    assert world["replies"][1][0].reason == "wrong-instance"


@then("the copy is told that the attempt has ended")
def told_ended(world):
    assert world["replies"][1][0].reason == "duplicate"


@then(parsers.parse("it is refused with {reason}"))
def refused_with(world, reason):
    assert world["replies"][0][0].reason == reason

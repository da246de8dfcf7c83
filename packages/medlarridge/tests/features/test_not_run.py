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
def server_refuses_connections(world):
    world["reachable"] = False


@given("its server closes the connection without an answer")
def server_closes_connection(world):
    world["servers"][0].aborts_response = True


@given("its first server closes the connection without an answer")
def first_server_closes_connection(world):
    world["servers"] = [CountingService(), CountingService()]
    world["first_server_closes"] = True


@given("a fault of its sidecar that meets the first attempt")
def sidecar_fault(world):
    world["sidecar_gates"] = [FailingGate()]


class FailingGate:
    """Gate that fails for the first attempt."""

    failed = False

    async def enter(self, live):
        if not self.failed:
            self.failed = True
            raise KeyError("injected fault")

    async def leave(self, live):
        pass


@given("its sidecar is replaced while the server runs the call")
def sidecar_replaced(world):
    world["replace_sidecar"] = True


@when("a caller sends an invoice dispatch")
def send_invoice_dispatch(world):
    anyio.run(send_through_router, world)


async def send_through_router(world):
    async with local_fleet(service_tables(world["repeatable"])) as fleet:
        for number, server in enumerate(world["servers"]):
            fleet.add_server(
                f"service-{number}",
                "services",
                server.endpoints(),
                gates=world.get("sidecar_gates"),
            )
            if not world["reachable"]:
                del fleet.transport.applications[f"service-{number}-server:1"]
        fleet.add_router("router")
        if world.get("first_server_closes"):

            def plan_closing(request):
                if request.url.path == "/invoices":
                    none_has_run = not any(server.runs for server in world["servers"])
                    for server in world["servers"]:
                        server.aborts_response = none_has_run
                return

            fleet.transport.plan = plan_closing
        if world.get("replace_sidecar"):
            server = world["servers"][0]

            async def replace_sidecar():
                fleet.add_server("service-0", "services", server.endpoints(), 2)

            server.on_call = replace_sidecar
            faults = [ConnectionFault()]
            fleet.transport.plan = lambda request: (
                faults.pop() if faults and request.url.path == "/attempts" else None
            )
        with anyio.fail_after(30):
            world["reply"] = await fleet.client.post(
                "http://router/services/desk/invoices", content=b"{}", timeout=20
            )


@given("a sidecar that drains and refuses an attempt")
def sidecar_draining(world):
    world["steps"] = ["leave", "send", "serve-again", "send"]


@given("a sidecar that has run an attempt")
def attempt_has_run(world):
    world["steps"] = ["send", "send"]


@given("a sidecar that has run an attempt and dropped its answer")
def attempt_answer_dropped(world):
    world["steps"] = ["send", "drop-answers", "send"]


@given("a sidecar that was restarted")
def sidecar_restarted(world):
    world["steps"] = ["send"]
    world["attempt"] = attempt_for(target=99)


@given("a sidecar with a newer configuration than the router")
def sidecar_at_newer_generation(world):
    world["steps"] = ["newer-generation", "send"]


@when("a copy for another instance arrives")
def copy_for_other_instance(world):
    world["steps"] = ["send", "other-instance", "send"]
    run_steps(world)


@when("the sidecar serves again and a copy of the attempt arrives")
@when("a copy of the attempt arrives")
@when("an attempt for the earlier instance arrives")
@when("an attempt of the older generation arrives")
def run_steps(world):
    anyio.run(send_to_sidecar, world)


async def send_to_sidecar(world):
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
            elif step == "serve-again":
                sidecar.drain.leaving = False
            elif step == "other-instance":
                attempt = attempt_for(target=99)
            elif step == "drop-answers":
                sidecar.live_attempts.clear()
            elif step == "newer-generation":
                fleet.fleet.generation = 2
            else:
                with anyio.fail_after(30):
                    world["replies"].append(await send_attempt(fleet, attempt))


async def send_attempt(fleet, attempt):
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
def caller_told(world, outcome, status):
    reply = world["reply"]
    assert (reply.headers["x-medlarridge-outcome"], reply.status_code) == (
        outcome,
        status,
    )


@then("the caller is told not-run with status 503 and when to come back")
def caller_told_not_run(world):
    caller_told(world, "not-run", 503)
    assert int(world["reply"].headers["retry-after"]) > 0


@then(parsers.parse("the server ran {runs:d} calls"))
def check_run_count(world, runs):
    assert sum(server.runs for server in world["servers"]) == runs


@then("the copy is refused as well")
def copy_refused(world):
    first, second = world["replies"]
    assert isinstance(second[0], NotRun)
    assert first == second


@then("the copy gets the same answer")
def copy_gets_same_answer(world):
    answers = [
        [frame for frame in frames if isinstance(frame, Chunk | End)]
        for frames in world["replies"]
    ]
    assert answers[0] == answers[1]
    assert len(answers[0]) == 2


@then("the copy is refused with wrong-instance")
def copy_refused_wrong_instance(world):
    assert world["replies"][1][0].reason == "wrong-instance"


@then("the copy is told that the attempt has ended")
def copy_told_ended(world):
    assert world["replies"][1][0].reason == "duplicate"


@then(parsers.parse("it is refused with {reason}"))
def refused_with(world, reason):
    assert world["replies"][0][0].reason == reason

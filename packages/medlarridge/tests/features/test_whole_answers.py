import anyio
import httpx
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge_standins.in_memory_transport import ConnectionFault
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, CountingEngine, chat_body, response_piece

scenarios("whole_answers.feature")

FAULT_FACTORIES = {
    "breaks": lambda pieces: ConnectionFault(pieces, httpx.ReadError),
    "goes silent": lambda pieces: ConnectionFault(pieces, httpx.ReadTimeout),
    "loses the request": lambda pieces: ConnectionFault(before_request=True),
}


@pytest.fixture
def world():
    return {"faults": [], "replace_sidecar_after_piece": None, "responses": []}


@given(parsers.parse("a route to one engine that streams {pieces:d} pieces"))
def route_to_one_engine(world, pieces):
    world["engine"] = CountingEngine(pieces)


@given(
    parsers.re(
        r"each connection to a sidecar (?P<fault>breaks|goes silent|loses the request)"
        r" after (?P<pieces>\d+) pieces, (?P<times>\d+) times"
    )
)
def connection_faults(world, fault, pieces, times):
    world["faults"] = [FAULT_FACTORIES[fault](int(pieces)) for _ in range(int(times))]


@given("the engine leaves out its end mark")
def engine_omits_end_mark(world):
    world["engine"].sends_end_mark = False


@given("calls of the route may not be repeated")
def route_not_repeatable(world):
    world["tables"] = msgspec.json.decode(msgspec.json.encode(CHAT_TABLES))
    world["tables"]["routes"]["chats"]["repeatable"] = False


@given("the engine never says the same twice")
def engine_varies_by_run(world):
    world["engine"].varies_by_run = True


@given("the sidecar is replaced by a new instance after 2 pieces")
def sidecar_replaced(world):
    world["replace_sidecar_after_piece"] = 2


@when("a caller asks for a stream")
def ask_once(world):
    anyio.run(send_chats, world, 1)


@when(parsers.parse("{count:d} callers ask for a stream at once"))
def ask_many(world, count):
    anyio.run(send_chats, world, count)


async def send_chats(world, count):
    engine = world["engine"]
    async with local_fleet(world.get("tables", CHAT_TABLES)) as fleet:
        fleet.add_server("engine", "engines", engine.endpoints())
        fleet.add_router("router")

        def plan_fault(request):
            if request.url.path == "/attempts" and world["faults"]:
                return world["faults"].pop()
            return None

        async def replace_sidecar():
            fleet.add_server("engine", "engines", engine.endpoints(), number=2)
            fleet.transport.plan = lambda request: None

        if world["replace_sidecar_after_piece"] is not None:
            world["faults"] = [
                ConnectionFault(world["replace_sidecar_after_piece"] + 2)
            ]
            engine.actions_after_piece[world["replace_sidecar_after_piece"]] = (
                replace_sidecar
            )
        fleet.transport.plan = plan_fault

        async def send_chat(number):
            body = chat_body(f"question {number}" + "x" * number)
            received, cut = b"", False
            async with fleet.client.stream(
                "POST", "http://router/v1/chat/completions", json=body, timeout=30
            ) as reply:
                request_body = reply.request.content
                try:
                    async for data in reply.aiter_raw():
                        received += data
                except httpx.RemoteProtocolError:
                    cut = True
            world["responses"].append((request_body, received, cut))

        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(send_chat, number)


def check_complete_response(world, response):
    request_body, received, cut = response
    pieces = [
        response_piece(request_body, number)
        for number in range(world["engine"].piece_count)
    ]
    head, _, tail = received.partition(b"event: medlarridge-outcome")
    assert head == b"".join(pieces)
    assert b'"outcome":"complete"' in tail
    assert tail.endswith(b"data: [DONE]\n\n")
    assert not cut


@then("the caller has the whole answer with its end mark")
def response_complete(world):
    check_complete_response(world, world["responses"][0])


@then("each caller has the whole answer to its own request")
def every_response_complete(world):
    assert len({request_body for request_body, _, _ in world["responses"]}) == 10
    for response in world["responses"]:
        check_complete_response(world, response)


@then("the caller sees that the stream was cut")
def caller_sees_cut(world):
    _, received, cut = world["responses"][0]
    assert b"[DONE]" not in received
    assert b'"outcome":"unknown"' in received
    assert cut


@then(parsers.parse("the engine ran {runs:d} request"))
def check_run_count(world, runs):
    assert world["engine"].runs == runs

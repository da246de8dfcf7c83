import anyio
import httpx
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge_standins.in_memory_transport import ConnectionFault
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, CountingEngine, chat_body, piece_of

scenarios("whole_answers.feature")

FAULTS = {
    "breaks": lambda pieces: ConnectionFault(pieces, httpx.ReadError),
    "goes silent": lambda pieces: ConnectionFault(pieces, httpx.ReadTimeout),
    "loses the request": lambda pieces: ConnectionFault(before_request=True),
}


@pytest.fixture
def world():
    return {"faults": [], "replace_after": None, "answers": []}


@given(parsers.parse("a route to one engine that streams {pieces:d} pieces"))
def route(world, pieces):
    world["engine"] = CountingEngine(pieces)


@given(
    parsers.re(
        r"each connection to a sidecar (?P<fault>breaks|goes silent|loses the request)"
        r" after (?P<pieces>\d+) pieces, (?P<times>\d+) times"
    )
)
def faults(world, fault, pieces, times):
    world["faults"] = [FAULTS[fault](int(pieces)) for _ in range(int(times))]


@given("the engine leaves out its end mark")
def no_end_mark(world):
    world["engine"].end_mark = False


@given("calls of the route may not be repeated")
def not_repeatable(world):
    world["tables"] = msgspec.json.decode(msgspec.json.encode(CHAT_TABLES))
    world["tables"]["routes"]["chats"]["repeatable"] = False


@given("the engine never says the same twice")
def varying(world):
    world["engine"].varies = True


@given("the sidecar is replaced by a new instance after 2 pieces")
def replaced(world):
    world["replace_after"] = 2


@when("a caller asks for a stream")
def ask_once(world):
    anyio.run(ask, world, 1)


@when(parsers.parse("{count:d} callers ask for a stream at once"))
def ask_many(world, count):
    anyio.run(ask, world, count)


async def ask(world, count):
    engine = world["engine"]
    async with local_fleet(world.get("tables", CHAT_TABLES)) as fleet:
        fleet.add_server("engine", "engines", engine.endpoints())
        fleet.add_router("router")

        def plan(request):
            if request.url.path == "/attempts" and world["faults"]:
                return world["faults"].pop()
            return None

        async def replace():
            fleet.add_server("engine", "engines", engine.endpoints(), number=2)
            fleet.transport.plan = lambda request: None

        if world["replace_after"] is not None:
            world["faults"] = [ConnectionFault(world["replace_after"] + 2)]
            engine.after_pieces[world["replace_after"]] = replace
        fleet.transport.plan = plan

        async def one(number):
            body = chat_body(f"question {number}" + "x" * number)
            received, cut = b"", False
            async with fleet.client.stream(
                "POST", "http://router/v1/chat/completions", json=body, timeout=30
            ) as reply:
                sent = reply.request.content
                try:
                    async for data in reply.aiter_raw():
                        received += data
                except httpx.RemoteProtocolError:
                    cut = True
            world["answers"].append((sent, received, cut))

        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(one, number)


def check_whole(world, answer):
    sent, received, cut = answer
    pieces = [piece_of(sent, number) for number in range(world["engine"].pieces)]
    head, _, tail = received.partition(b"event: medlarridge-outcome")
    assert head == b"".join(pieces)
    assert b'"outcome":"complete"' in tail
    assert tail.endswith(b"data: [DONE]\n\n")
    assert not cut


@then("the caller has the whole answer with its end mark")
def whole(world):
    check_whole(world, world["answers"][0])


@then("each caller has the whole answer to its own request")
def all_whole(world):
    assert len({sent for sent, _, _ in world["answers"]}) == 10
    for answer in world["answers"]:
        check_whole(world, answer)


@then("the caller sees that the stream was cut")
def seen_cut(world):
    _, received, cut = world["answers"][0]
    assert b"[DONE]" not in received
    assert b'"outcome":"unknown"' in received
    assert cut


@then(parsers.parse("the engine ran {runs:d} request"))
def ran(world, runs):
    assert world["engine"].runs == runs

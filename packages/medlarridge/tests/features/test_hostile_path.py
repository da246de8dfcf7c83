import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.coordination.attempts import UNSENT_WINDOW_BYTES
from medlarridge._internal.protocol.codec import encode_frame
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_sidecar._internal.live_attempt import FRAMES_PER_WRITE
from medlarridge_standins.local_fleet import SHARED_KEY, local_fleet

from .path_support import CHAT_TABLES, attempt_for, chat_body

scenarios("hostile_path.feature")

PIECE = b"data: " + b"x" * 16_000 + b"\n\n"
PIECES = 400
CHAT_URL = "http://router/v1/chat/completions"
ATTEMPT = encode_frame(attempt_for(1, route="chats", pool="engines", repeatable=True))
FROM_CALLERS = {
    "an oversized body": {"content": b"x" * (1024 * 1024 + 1)},
    "oversized headers": {"json": chat_body(), "headers": {"x-long": "x" * 17_000}},
    "malformed JSON": {"content": b'{"model": "chats", '},
    "a very long deadline": {
        "json": chat_body(),
        "headers": {"x-medlarridge-deadline-ms": "9" * 5_000},
    },
    "a route that is absent": {"json": chat_body() | {"model": "absent"}},
}
FROM_PROCESSES = {
    "a wrong process key": ("", ATTEMPT, {"x-medlarridge-key": "wrong"}),
    "a malformed frame": ("", b"\x00\x00\x00\x03" + ATTEMPT[4:7], {}),
    "two frames": ("", ATTEMPT * 2, {}),
    "an oversized frame": ("", b"\x00" * (10 * 1024 * 1024), {}),
    "a very long resume": ("", ATTEMPT, {"x-medlarridge-resume": "7" * 5_000}),
    "a very long cancel": (f"/r1/{'7' * 5_000}/cancel", b"", {}),
}


class StreamingEngine:
    """Engine that counts what it could write, or works until it is cancelled."""

    def __init__(self):
        self.runs = 0
        self.written = 0
        self.works_on = False
        self.working = anyio.Event()
        self.cancelled = anyio.Event()

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/v1/chat/completions")
        async def complete(request, response):
            self.runs += 1
            await request.body()
            if self.works_on:
                self.working.set()
                await request.wait_disconnect()
                self.cancelled.set()
                return
            await response.start(200, [("content-type", "text/event-stream")])
            for _ in range(PIECES):
                await response.write(PIECE)
                self.written += len(PIECE)
            await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints


@pytest.fixture
def world():
    return {}


@given("an engine behind a sidecar and a router")
def path(world):
    pass


async def run_path(world, play):
    world["engine"] = engine = StreamingEngine()
    async with local_fleet(CHAT_TABLES) as fleet:
        await fleet.add_gated_server("engine", "engines", engine.endpoints())
        fleet.add_router("router")
        await anyio.wait_all_tasks_blocked()
        with anyio.fail_after(20):
            await play(fleet, engine)


@when("a caller stops reading a long stream and goes on later")
def slow_caller(world):
    async def play(fleet, engine):
        async with fleet.client.stream("POST", CHAT_URL, json=chat_body()) as reply:
            pieces = reply.aiter_raw()
            received = await anext(pieces)
            (live,) = fleet.sidecars["engine"].live_attempts.values()
            while live.stream.has_room() and engine.written < PIECES * len(PIECE):
                await anyio.sleep(0.005)
            await anyio.wait_all_tasks_blocked()
            world["unsent"] = live.stream.unsent_bytes
            world["held"] = engine.written - len(received)
            async for piece in pieces:
                received += piece
        world["received"] = received

    anyio.run(run_path, world, play)


@when("the caller of a chat goes away while the engine works")
def caller_goes(world):
    async def play(fleet, engine):
        engine.works_on = True
        async with anyio.create_task_group() as tasks:

            async def ask():
                await fleet.client.post(CHAT_URL, json=chat_body(), timeout=30)

            tasks.start_soon(ask)
            await engine.working.wait()
            tasks.cancel_scope.cancel()
        await engine.cancelled.wait()
        world["requests"] = list(fleet.transport.requests)

    anyio.run(run_path, world, play)


@when(parsers.parse("a caller sends {name}"))
def caller_sends(world, name):
    async def play(fleet, engine):
        world["reply"] = await fleet.client.post(CHAT_URL, **FROM_CALLERS[name])

    anyio.run(run_path, world, play)


@when(parsers.parse("a process sends {name}"))
def process_sends(world, name):
    path, body, headers = FROM_PROCESSES[name]

    async def play(fleet, engine):
        url = f"http://engine:1/attempts{path}"
        headers_sent = SHARED_KEY.headers() | headers
        world["reply"] = await fleet.client.post(
            url, content=body, headers=headers_sent
        )

    anyio.run(run_path, world, play)


@then("sidecar and router held no more than the bounded window")
def bounded(world):
    # Beside the window, one write of frames is on its way on each of two hops.
    on_the_way = 2 * FRAMES_PER_WRITE * len(PIECE)
    assert world["unsent"] <= UNSENT_WINDOW_BYTES + len(PIECE)
    assert world["held"] <= UNSENT_WINDOW_BYTES + 2 * len(PIECE) + on_the_way
    assert world["held"] < PIECES * len(PIECE) / 2


@then("the caller has the whole stream")
def whole(world):
    assert world["received"].startswith(PIECE * PIECES)
    assert world["received"].endswith(b"data: [DONE]\n\n")


@then("the router cancelled the attempt and the engine saw its call end")
def cancelled(world):
    # Without the router's word the sidecar would only give up after 15 s.
    assert any(each.endswith("/cancel") for each in world["requests"])
    assert world["engine"].cancelled.is_set()


@then(parsers.parse("it is answered {status:d} with an error and not-run"))
def not_run(world, status):
    answered(world, status)
    assert world["reply"].headers["x-medlarridge-outcome"] == "not-run"


@then(parsers.parse("it is answered {status:d} with an error"))
def answered(world, status):
    assert world["reply"].status_code == status
    assert world["reply"].json()["error"]["message"]


@then("the engine ran nothing")
def ran_nothing(world):
    assert world["engine"].runs == 0

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
PIECE_COUNT = 400
CHAT_URL = "http://router/v1/chat/completions"
ATTEMPT_FRAME = encode_frame(
    attempt_for(1, route="chats", pool="engines", repeatable=True)
)
CALLER_INPUTS = {
    "an oversized body": {"content": b"x" * (1024 * 1024 + 1)},
    "oversized headers": {"json": chat_body(), "headers": {"x-long": "x" * 17_000}},
    "malformed JSON": {"content": b'{"model": "chats", '},
    "a very long deadline": {
        "json": chat_body(),
        "headers": {"x-medlarridge-deadline-ms": "9" * 5_000},
    },
    "a route that is absent": {"json": chat_body() | {"model": "absent"}},
}
PROCESS_INPUTS = {
    "a wrong process key": ("", ATTEMPT_FRAME, {"x-medlarridge-key": "wrong"}),
    "a malformed frame": ("", b"\x00\x00\x00\x03" + ATTEMPT_FRAME[4:7], {}),
    "two frames": ("", ATTEMPT_FRAME * 2, {}),
    "an oversized frame": ("", b"\x00" * (10 * 1024 * 1024), {}),
    "a very long resume": ("", ATTEMPT_FRAME, {"x-medlarridge-resume": "7" * 5_000}),
    "a very long cancel": (f"/r1/{'7' * 5_000}/cancel", b"", {}),
}


class LargeStreamEngine:
    """Engine that counts the bytes it has written, or runs until it is cancelled."""

    def __init__(self):
        self.runs = 0
        self.written = 0
        self.runs_until_cancelled = False
        self.call_started = anyio.Event()
        self.cancelled = anyio.Event()

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/v1/chat/completions")
        async def complete(request, response):
            self.runs += 1
            await request.body()
            if self.runs_until_cancelled:
                self.call_started.set()
                await request.wait_disconnect()
                self.cancelled.set()
                return
            await response.start(200, [("content-type", "text/event-stream")])
            for _ in range(PIECE_COUNT):
                await response.write(PIECE)
                self.written += len(PIECE)
            await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints


@pytest.fixture
def world():
    return {}


@given("an engine behind a sidecar and a router")
def engine_sidecar_router(world):
    pass


async def run_scenario(world, steps):
    world["engine"] = engine = LargeStreamEngine()
    async with local_fleet(CHAT_TABLES) as fleet:
        await fleet.add_gated_server("engine", "engines", engine.endpoints())
        fleet.add_router("router")
        await anyio.wait_all_tasks_blocked()
        with anyio.fail_after(20):
            await steps(fleet, engine)


@when("a caller stops reading a long stream and goes on later")
def caller_stops_reading(world):
    async def steps(fleet, engine):
        async with fleet.client.stream("POST", CHAT_URL, json=chat_body()) as reply:
            pieces = reply.aiter_raw()
            received = await anext(pieces)
            (live,) = fleet.sidecars["engine"].live_attempts.values()
            while live.stream.has_room() and engine.written < PIECE_COUNT * len(PIECE):
                await anyio.sleep(0.005)
            await anyio.wait_all_tasks_blocked()
            world["unsent_bytes"] = live.stream.unsent_bytes
            world["buffered"] = engine.written - len(received)
            async for piece in pieces:
                received += piece
        world["received"] = received

    anyio.run(run_scenario, world, steps)


@when("the caller of a chat goes away while the engine works")
def caller_disconnects(world):
    async def steps(fleet, engine):
        engine.runs_until_cancelled = True
        async with anyio.create_task_group() as tasks:

            async def send_chat():
                await fleet.client.post(CHAT_URL, json=chat_body(), timeout=30)

            tasks.start_soon(send_chat)
            await engine.call_started.wait()
            tasks.cancel_scope.cancel()
        await engine.cancelled.wait()
        world["requests"] = list(fleet.transport.requests)

    anyio.run(run_scenario, world, steps)


@when(parsers.parse("a caller sends {name}"))
def caller_sends(world, name):
    async def steps(fleet, engine):
        world["reply"] = await fleet.client.post(CHAT_URL, **CALLER_INPUTS[name])

    anyio.run(run_scenario, world, steps)


@when(parsers.parse("a process sends {name}"))
def process_sends(world, name):
    path, body, headers = PROCESS_INPUTS[name]

    async def steps(fleet, engine):
        url = f"http://engine:1/attempts{path}"
        headers_with_key = SHARED_KEY.headers() | headers
        world["reply"] = await fleet.client.post(
            url, content=body, headers=headers_with_key
        )

    anyio.run(run_scenario, world, steps)


@then("sidecar and router held no more than the bounded window")
def buffers_bounded(world):
    # In addition to the window, one write of frames is in transit on each of two hops.
    in_transit_bytes = 2 * FRAMES_PER_WRITE * len(PIECE)
    assert world["unsent_bytes"] <= UNSENT_WINDOW_BYTES + len(PIECE)
    assert world["buffered"] <= UNSENT_WINDOW_BYTES + 2 * len(PIECE) + in_transit_bytes
    assert world["buffered"] < PIECE_COUNT * len(PIECE) / 2


@then("the caller has the whole stream")
def stream_complete(world):
    assert world["received"].startswith(PIECE * PIECE_COUNT)
    assert world["received"].endswith(b"data: [DONE]\n\n")


@then("the router cancelled the attempt and the engine saw its call end")
def attempt_cancelled(world):
    # Without the router's cancel the sidecar would give up only after 15 s.
    assert any(request.endswith("/cancel") for request in world["requests"])
    assert world["engine"].cancelled.is_set()


@then(parsers.parse("it is answered {status:d} with an error and not-run"))
def answered_with_error_and_not_run(world, status):
    answered_with_error(world, status)
    assert world["reply"].headers["x-medlarridge-outcome"] == "not-run"


@then(parsers.parse("it is answered {status:d} with an error"))
def answered_with_error(world, status):
    assert world["reply"].status_code == status
    assert world["reply"].json()["error"]["message"]


@then("the engine ran nothing")
def engine_ran_nothing(world):
    assert world["engine"].runs == 0

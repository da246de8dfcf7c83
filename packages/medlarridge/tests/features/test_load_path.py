import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.reuse_planner import Run
from medlarridge._internal.protocol.codec import FrameReader
from medlarridge._internal.protocol.messages import Refusal
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, chat_body, piece_of

scenarios("load_path.feature")

PIECES = 3
ANSWER_TOKENS = 4_000


class HeldEngine:
    """Engine that holds each answer until it may end one."""

    def __init__(self):
        self.started = []
        self.may_end = []

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/v1/chat/completions")
        async def complete(request, response):
            body = await request.body()
            may_end = anyio.Event()
            self.started.append(request.headers["x-medlarridge-account"])
            self.may_end.append(may_end)
            await may_end.wait()
            await response.start(200, [("content-type", "text/event-stream")])
            for number in range(PIECES):
                await response.write(piece_of(body, number))
            await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints


@pytest.fixture
def world():
    return {"admissions": [], "attempts": {}, "replies": [], "told_while_held": 0}


def tables(load_bound):
    pool = CHAT_TABLES["pools"]["engines"] | {"load_bound": load_bound}
    return CHAT_TABLES | {"pools": {"engines": pool}}


def watch_admissions(world, fleet):
    """Record the load of each admission and what the design page allows there.

    While the engines hold their answers no load falls, so the mean of the last 2 s
    is never above the present one.
    """
    planners = [gated.gates.planner for gated in fleet.gated_sidecars.values()]

    def watch(planner, plan):
        def watched(request):
            decision = plan(request)
            if isinstance(decision, Run):
                mean = sum(each.load for each in planners) / len(planners)
                work = planner.work(request, 0)
                world["admissions"].append((planner.load, mean, work))
            return decision

        return watched

    for planner in planners:
        planner.plan = watch(planner, planner.plan)


def watch_attempts(world, fleet):
    def plan(request):
        if request.url.path == "/attempts":
            (attempt,) = FrameReader("test").feed(request.content)
            address = request.url.netloc.decode()
            tried = world["attempts"].setdefault(attempt.request_id, {})
            tried[attempt.number] = address
        return

    fleet.transport.plan = plan


async def ask(world, fleet, account, chat):
    body = chat_body() | {"max_tokens": ANSWER_TOKENS}
    headers = {"x-medlarridge-account": account, "x-medlarridge-chat": chat}
    url = "http://router/v1/chat/completions"
    reply = await fleet.client.post(url, json=body, headers=headers, timeout=60)
    world["replies"].append(reply)


async def until(condition):
    while not condition():
        await anyio.sleep(0.005)


@given(
    parsers.parse(
        "three engines with a load bound of {bound:g} that hold their answers"
    )
)
def three_engines(world, bound):
    world["bound"] = bound
    world["engines"] = [HeldEngine() for _ in range(3)]


@given("one engine that runs two requests at a time")
def one_engine(world):
    world["engines"] = [HeldEngine()]


def chats_of_one_home(router, count):
    placement = router.placements.for_pool("engines")
    names = [f"chat {number}" for number in range(count * 20)]
    at_home = [
        name
        for name in names
        if placement.rank(f"a/{name}", 1, "region", False)[0].instance.address
        == "engine-0:1"
    ]
    assert len(at_home) >= count
    return at_home[:count]


@when(parsers.parse("{count:d} chats of one home are sent at once"))
def send_chats(world, count):
    async def run():
        engines = world["engines"]
        async with local_fleet(tables(world["bound"])) as fleet:
            for number, engine in enumerate(engines):
                await fleet.add_gated_server(
                    f"engine-{number}", "engines", engine.endpoints()
                )
            chats = chats_of_one_home(fleet.add_router("router"), count)
            watch_admissions(world, fleet)
            watch_attempts(world, fleet)
            await anyio.wait_all_tasks_blocked()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    for chat in chats:
                        tasks.start_soon(ask, world, fleet, "a", chat)
                    await until(
                        lambda: (
                            len(world["replies"])
                            + sum(len(engine.started) for engine in engines)
                            == count
                        )
                    )
                    world["told_while_held"] = len(world["replies"])
                    for engine in engines:
                        for may_end in engine.may_end:
                            may_end.set()
            world["registers"] = {
                f"{name}:1": sidecar.register
                for name, sidecar in fleet.sidecars.items()
            }

    anyio.run(run)


@when(
    parsers.parse("an account sends {count:d} chats and then a quiet account sends one")
)
def surge(world, count):
    world["count"] = count


@when("the engine ends one request after the other")
def end_in_turn(world):
    async def run():
        (engine,) = world["engines"]
        async with local_fleet(tables(1.25)) as fleet:
            gated = await fleet.add_gated_server(
                "engine-0", "engines", engine.endpoints(), max_running=2
            )
            queue = gated.gates.queue
            # Time stands still for the queue, so that nothing is shed for its wait.
            queue.clock = ManualClock(queue.clock.now_ms())
            fleet.add_router("router")
            await anyio.wait_all_tasks_blocked()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    for number in range(world["count"]):
                        tasks.start_soon(ask, world, fleet, "loud", f"{number}")
                    await until(
                        lambda: (
                            len(queue.waiting) + len(engine.started) == world["count"]
                        )
                    )
                    tasks.start_soon(ask, world, fleet, "quiet", "q")
                    await until(lambda: "quiet" in engine.started)
                    for number in range(world["count"] + 1):
                        await until(lambda number=number: len(engine.started) > number)
                        engine.may_end[number].set()

    anyio.run(run)


@then("the quiet account's chat started before any chat of the surge ended")
def quiet_first(world):
    (engine,) = world["engines"]
    assert engine.started[:2] == ["loud", "quiet"]
    assert sorted(engine.started) == ["loud"] * world["count"] + ["quiet"]


@then("every chat runs or is told not-run with Retry-After while the engines hold")
def told_or_running(world):
    refused = [
        reply
        for reply in world["replies"]
        if reply.headers["x-medlarridge-outcome"] != "at-end"
    ]
    assert len(refused) == world["told_while_held"] > 0
    for reply in refused:
        assert reply.headers["x-medlarridge-outcome"] == "not-run"
        assert reply.status_code in (429, 503)
        assert int(reply.headers["retry-after"]) > 0


@then("no admission took an engine above the bound of the design page")
def within_bound(world):
    assert len(world["admissions"]) >= 3
    for load, mean, work in world["admissions"]:
        assert load <= max(world["bound"] * mean, 2 * work)


@then("refused attempts went on to the candidates that were named")
def candidates(world):
    followed = 0
    for request_id, tried in world["attempts"].items():
        for number, address in tried.items():
            record = world["registers"][address].find(request_id, number)
            refusal = record.refusal
            if refusal is None or refusal.reason is not Refusal.LOAD_BOUND:
                continue
            before = {tried[n] for n in tried if n <= number}
            named = [each.address for each in refusal.candidates]
            left = [each for each in named if each not in before]
            if left and number + 1 in tried:
                assert tried[number + 1] == left[0]
                followed += 1
    assert followed


@then("each chat that ran has its whole answer")
def whole(world):
    whole_answers = [
        reply
        for reply in world["replies"]
        if reply.headers["x-medlarridge-outcome"] == "at-end"
    ]
    assert len(whole_answers) == len(world["replies"]) - world["told_while_held"]
    for reply in whole_answers:
        sent = reply.request.content
        pieces = b"".join(piece_of(sent, number) for number in range(PIECES))
        assert reply.content.startswith(pieces)
        assert reply.content.endswith(b"data: [DONE]\n\n")

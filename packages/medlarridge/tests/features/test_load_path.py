import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.reuse_planner import Run
from medlarridge._internal.protocol.codec import FrameReader
from medlarridge._internal.protocol.messages import Refusal
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_standins.local_fleet import local_fleet

from .path_support import CHAT_TABLES, chat_body, response_piece

scenarios("load_path.feature")

PIECE_COUNT = 3
MAX_TOKENS = 4_000


class BlockingEngine:
    """Engine that blocks each request until the test lets it end."""

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
            for number in range(PIECE_COUNT):
                await response.write(response_piece(body, number))
            await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints


@pytest.fixture
def world():
    return {
        "admissions": [],
        "address_by_attempt": {},
        "replies": [],
        "refused_before_release": 0,
    }


def tables_with_load_bound(load_bound):
    pool = CHAT_TABLES["pools"]["engines"] | {"load_bound": load_bound}
    return CHAT_TABLES | {"pools": {"engines": pool}}


def record_admissions(world, fleet):
    """Record load, pool mean and work of each admission.

    docs/decisions/load-bound.md allows the bound times the pool mean at any instant of
    the last 2 s. No load falls while the engines block their requests, so the current
    mean is the highest of these.
    """
    planners = [gated.gates.planner for gated in fleet.gated_sidecars.values()]

    def wrap_plan(planner, plan):
        def recording_plan(request):
            decision = plan(request)
            if isinstance(decision, Run):
                mean = sum(peer.load for peer in planners) / len(planners)
                work = planner.work(request, 0)
                world["admissions"].append((planner.load, mean, work))
            return decision

        return recording_plan

    for planner in planners:
        planner.plan = wrap_plan(planner, planner.plan)


def record_attempts(world, fleet):
    def record_attempt(request):
        if request.url.path == "/attempts":
            (attempt,) = FrameReader("test").feed(request.content)
            address = request.url.netloc.decode()
            address_by_attempt = world["address_by_attempt"].setdefault(
                attempt.request_id, {}
            )
            address_by_attempt[attempt.number] = address
        return

    fleet.transport.plan = record_attempt


async def send_chat(world, fleet, account, chat):
    body = chat_body() | {"max_tokens": MAX_TOKENS}
    headers = {"x-medlarridge-account": account, "x-medlarridge-chat": chat}
    url = "http://router/v1/chat/completions"
    reply = await fleet.client.post(url, json=body, headers=headers, timeout=60)
    world["replies"].append(reply)


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.005)


@given(
    parsers.parse(
        "three engines with a load bound of {bound:g} that hold their answers"
    )
)
def three_engines(world, bound):
    world["load_bound"] = bound
    world["engines"] = [BlockingEngine() for _ in range(3)]


@given("one engine that runs two requests at a time")
def one_engine(world):
    world["engines"] = [BlockingEngine()]


def chats_with_same_home(router, count):
    placement = router.placements.for_pool("engines")
    names = [f"chat {number}" for number in range(count * 20)]
    same_home = [
        name
        for name in names
        if placement.rank(f"a/{name}", 1, "region", False)[0].instance.address
        == "engine-0:1"
    ]
    assert len(same_home) >= count
    return same_home[:count]


@when(parsers.parse("{count:d} chats of one home are sent at once"))
def send_chats_at_once(world, count):
    async def run():
        engines = world["engines"]
        async with local_fleet(tables_with_load_bound(world["load_bound"])) as fleet:
            for number, engine in enumerate(engines):
                await fleet.add_gated_server(
                    f"engine-{number}", "engines", engine.endpoints()
                )
            chats = chats_with_same_home(fleet.add_router("router"), count)
            record_admissions(world, fleet)
            record_attempts(world, fleet)
            await anyio.wait_all_tasks_blocked()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    for chat in chats:
                        tasks.start_soon(send_chat, world, fleet, "a", chat)
                    await wait_until(
                        lambda: (
                            len(world["replies"])
                            + sum(len(engine.started) for engine in engines)
                            == count
                        )
                    )
                    world["refused_before_release"] = len(world["replies"])
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
def account_surges(world, count):
    world["surge_count"] = count


@when("the engine ends one request after the other")
def end_one_after_the_other(world):
    async def run():
        (engine,) = world["engines"]
        async with local_fleet(tables_with_load_bound(1.25)) as fleet:
            gated = await fleet.add_gated_server(
                "engine-0", "engines", engine.endpoints(), max_running=2
            )
            queue = gated.gates.queue
            # A stopped clock keeps the queue from shedding requests that wait too long.
            queue.clock = ManualClock(queue.clock.now_ms())
            fleet.add_router("router")
            await anyio.wait_all_tasks_blocked()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    for number in range(world["surge_count"]):
                        tasks.start_soon(send_chat, world, fleet, "loud", f"{number}")
                    await wait_until(
                        lambda: (
                            len(queue.waiting) + len(engine.started)
                            == world["surge_count"]
                        )
                    )
                    tasks.start_soon(send_chat, world, fleet, "quiet", "q")
                    await wait_until(lambda: "quiet" in engine.started)
                    for number in range(world["surge_count"] + 1):
                        await wait_until(
                            lambda number=number: len(engine.started) > number
                        )
                        engine.may_end[number].set()

    anyio.run(run)


@then("the quiet account's chat started before any chat of the surge ended")
def quiet_account_not_starved(world):
    (engine,) = world["engines"]
    assert engine.started[:2] == ["loud", "quiet"]
    assert sorted(engine.started) == ["loud"] * world["surge_count"] + ["quiet"]


@then("every chat runs or is told not-run with Retry-After while the engines hold")
def running_or_told_not_run(world):
    refused = [
        reply
        for reply in world["replies"]
        if reply.headers["x-medlarridge-outcome"] != "at-end"
    ]
    assert len(refused) == world["refused_before_release"] > 0
    for reply in refused:
        assert reply.headers["x-medlarridge-outcome"] == "not-run"
        assert reply.status_code in (429, 503)
        assert int(reply.headers["retry-after"]) > 0


@then("no admission took an engine above the bound of the design page")
def admissions_within_bound(world):
    assert len(world["admissions"]) >= 3
    for load, mean, work in world["admissions"]:
        assert load <= max(world["load_bound"] * mean, 2 * work)


@then("refused attempts went on to the candidates that were named")
def retries_follow_candidates(world):
    followed_count = 0
    for request_id, address_by_attempt in world["address_by_attempt"].items():
        for number, address in address_by_attempt.items():
            record = world["registers"][address].find(request_id, number)
            refusal = record.refusal
            if refusal is None or refusal.reason is not Refusal.LOAD_BOUND:
                continue
            tried = {
                address_by_attempt[earlier]
                for earlier in address_by_attempt
                if earlier <= number
            }
            candidates = [candidate.address for candidate in refusal.candidates]
            untried = [candidate for candidate in candidates if candidate not in tried]
            if untried and number + 1 in address_by_attempt:
                assert address_by_attempt[number + 1] == untried[0]
                followed_count += 1
    assert followed_count


@then("each chat that ran has its whole answer")
def responses_complete(world):
    complete_replies = [
        reply
        for reply in world["replies"]
        if reply.headers["x-medlarridge-outcome"] == "at-end"
    ]
    assert (
        len(complete_replies) == len(world["replies"]) - world["refused_before_release"]
    )
    for reply in complete_replies:
        request_body = reply.request.content
        pieces = b"".join(
            response_piece(request_body, number) for number in range(PIECE_COUNT)
        )
        assert reply.content.startswith(pieces)
        assert reply.content.endswith(b"data: [DONE]\n\n")

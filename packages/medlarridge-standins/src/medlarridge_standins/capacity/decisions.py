"""CPU time of single decisions at a router and a sidecar."""

import time
from collections.abc import Callable
from random import Random

import msgspec

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.account_limits import AccountLimiter
from medlarridge._internal.coordination.attempts import AttemptRegister
from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.coordination.response_assembler import ResponseAssembler
from medlarridge._internal.coordination.reuse_planner import Run
from medlarridge._internal.protocol.codec import FrameReader, encode_frame
from medlarridge._internal.protocol.limits import Usage, UsageReport
from medlarridge._internal.protocol.messages import Attempt, Chunk, ResponseHead

from ..measure.pool_mean_cost import PoolMeanModel
from ..planner_cluster import PlannerCluster, make_member
from ..report import Row
from . import capacity
from .fairness import Directory

POOLS = (10, 50, 200, 460)
ROUTERS = 1100
DECISIONS = 3000
BUILDS = 50
CHUNKS = 20_000
CHUNK = b"x" * 180
"""Size of one token as a server-sent event of the chat protocol."""
NS_PER_US = 1000
MEAN_POOL = 460
MEAN_WARM_UP_MS = 5_000
MEAN_DURATION_MS = 10_000
MS_PER_S = 1000


def time_us(action: Callable[[int], object], count: int) -> float:
    """Return the CPU time of an action."""
    started = time.process_time_ns()
    for number in range(count):
        action(number)
    return (time.process_time_ns() - started) / count / NS_PER_US


def attempt(number: int) -> Attempt:
    """Return an attempt as a router sends it."""
    return Attempt(
        f"{number:024x}",
        1,
        1,
        "route",
        "pool",
        1,
        "account",
        "POST",
        "/v1/chat/completions",
        60_000,
        body=b"x" * 2000,
        chat=f"chat-{number}",
    )


@capacity.scenario("placement")
def placement() -> list[Row]:
    """Measure ranking and the rebuild of a ranking after a change of members."""
    rows = []
    for size in POOLS:
        members = [make_member(number) for number in range(size)]
        ranked = Placement(members)
        rank_us = time_us(
            lambda n, ranked=ranked: ranked.rank(f"chat-{n}", 8, "r"), DECISIONS
        )
        build_us = time_us(lambda _, members=members: Placement(members), BUILDS)
        rows += [
            Row(f"rank the first 8 of {size}", rank_us, "us"),
            Row(f"rebuild the placement of {size}", build_us, "us"),
        ]
    routers = [make_member(number) for number in range(ROUTERS)]
    build_us = time_us(lambda _: Placement(routers).rank("duty", 3), BUILDS)
    rows.append(Row(f"duty candidates among {ROUTERS} routers", build_us, "us"))
    return rows


@capacity.scenario("planner")
def planner() -> list[Row]:
    """Measure the decisions of a sidecar about one request."""
    cluster = PlannerCluster(1)
    cluster.advance(1000)
    sidecar = next(iter(cluster.planners.values()))
    requests = [cluster.request(f"chat-{n}", 100, 10) for n in range(DECISIONS)]

    def decide(number: int) -> None:
        request = requests[number]
        if not isinstance(sidecar.plan(request), Run):
            raise AssertionError("an idle engine refused a request")
        sidecar.finish(request.id, 0, 0, 110)

    decide_us = time_us(decide, DECISIONS)
    request = cluster.request("long", 100, CHUNKS)
    sidecar.plan(request)
    progress_us = time_us(lambda n: sidecar.progress(request.id, 1), CHUNKS)
    return [
        Row("reuse planner, plan and finish", decide_us, "us"),
        Row("reuse planner, one progress report", progress_us, "us"),
    ]


@capacity.scenario("streams")
def streams() -> list[Row]:
    """Measure the register of attempts and the assembly of an answer."""
    clock = ManualClock()
    register = AttemptRegister(clock)
    attempts = [attempt(number) for number in range(DECISIONS)]
    open_us = time_us(lambda n: register.open(attempts[n]), DECISIONS)
    purge_us = time_us(lambda _: register.purge(), BUILDS) / DECISIONS
    stream = register.open(attempts[0])

    def pass_on(_: int) -> None:
        stream.append(CHUNK)
        if stream.take() is None:
            raise AssertionError("a chunk that was added is not there")

    pass_us = time_us(pass_on, CHUNKS)
    frames = [encode_frame(Chunk(number, CHUNK)) for number in range(CHUNKS)]
    encode_us = time_us(lambda n: encode_frame(Chunk(n, CHUNK)), CHUNKS)
    reader, answer = FrameReader("peer"), ResponseAssembler("peer")
    answer.add(ResponseHead(200, []))

    def assemble(number: int) -> None:
        for frame in reader.feed(frames[number]):
            answer.add(frame)

    return [
        Row("register of attempts, open one", open_us, "us"),
        Row("register of attempts, purge, per record kept", purge_us, "us"),
        Row("attempt stream, one chunk", pass_us, "us"),
        Row("encode one chunk frame", encode_us, "us"),
        Row("decode and assemble one chunk", time_us(assemble, CHUNKS), "us"),
    ]


@capacity.scenario("pool-mean")
def pool_mean() -> list[Row]:
    """Measure the share of a node in the pool mean, without sockets."""
    model = PoolMeanModel(MEAN_POOL)
    model.run(MEAN_WARM_UP_MS)
    model.reset()
    model.run(MEAN_DURATION_MS)
    seconds = MEAN_DURATION_MS / MS_PER_S
    nodes = list(model.nodes.values())
    name = f"pool mean, {MEAN_POOL} engines"
    sent = sum(n.sent for n in nodes) / len(nodes) / seconds
    sent_bytes = sum(n.bytes for n in nodes) / len(nodes) / seconds
    return [
        Row(f"{name}: datagrams sent, mean", sent, "1/s"),
        Row(
            f"{name}: datagrams sent, most", max(n.sent for n in nodes) / seconds, "1/s"
        ),
        Row(f"{name}: bytes sent, mean", sent_bytes, "B/s"),
        Row(f"{name}: bytes sent, most", max(n.bytes for n in nodes) / seconds, "B/s"),
        Row(
            f"{name}: CPU time, mean",
            sum(n.cpu_s for n in nodes) * MS_PER_S / len(nodes) / seconds,
            "ms/s",
        ),
    ]


@capacity.scenario("limit-reports")
def limit_reports() -> list[Row]:
    """Measure reports of account usage at the router that they go to."""
    limiter = AccountLimiter(ManualClock(), Random(1), "own", 1, Directory())
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(UsageReport)
    report = UsageReport("10.0.0.1:8000", [Usage("route-1", "account-00001", 1, 4.7)])
    data = encoder.encode(report)

    def receive(_: int) -> None:
        limiter.receive(decoder.decode(data))

    return [
        Row("account limits, one report at the home", time_us(receive, CHUNKS), "us"),
        Row("account limits, bytes of one report", len(data), "B"),
    ]

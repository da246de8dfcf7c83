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
from .fairness import FixedLimitDirectory

POOL_SIZES = (10, 50, 200, 460)
ROUTER_COUNT = 1100
DECISIONS = 3000
REBUILDS = 50
CHUNKS = 20_000
CHUNK = b"x" * 180
"""As large as one token in a server-sent event of the chat protocol."""
NS_PER_US = 1000
MEAN_POOL_SIZE = 460
MEAN_WARM_UP_MS = 5_000
MEAN_DURATION_MS = 10_000
MS_PER_S = 1000


def mean_cpu_us(action: Callable[[int], object], count: int) -> float:
    """Return the mean CPU time of an action in microseconds."""
    started = time.process_time_ns()
    for number in range(count):
        action(number)
    return (time.process_time_ns() - started) / count / NS_PER_US


def make_attempt(number: int) -> Attempt:
    """Return an attempt at a chat completion, as a router sends it."""
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
    """Measure the ranking of members and its rebuild after a membership change."""
    rows = []
    for size in POOL_SIZES:
        members = [make_member(number) for number in range(size)]
        ranked = Placement(members)
        rank_us = mean_cpu_us(
            lambda n, ranked=ranked: ranked.rank(f"chat-{n}", 8, "r"), DECISIONS
        )
        rebuild_us = mean_cpu_us(
            lambda _, members=members: Placement(members), REBUILDS
        )
        rows += [
            Row(f"rank the first 8 of {size}", rank_us, "us"),
            Row(f"rebuild the placement of {size}", rebuild_us, "us"),
        ]
    routers = [make_member(number) for number in range(ROUTER_COUNT)]
    rebuild_us = mean_cpu_us(lambda _: Placement(routers).rank("duty", 3), REBUILDS)
    rows.append(Row(f"duty candidates among {ROUTER_COUNT} routers", rebuild_us, "us"))
    return rows


@capacity.scenario("planner")
def planner() -> list[Row]:
    """Measure the admission decisions of a sidecar for one request."""
    cluster = PlannerCluster(1)
    cluster.advance(1000)
    reuse_planner = next(iter(cluster.planners.values()))
    requests = [cluster.request(f"chat-{n}", 100, 10) for n in range(DECISIONS)]

    def decide(number: int) -> None:
        request = requests[number]
        if not isinstance(reuse_planner.plan(request), Run):
            raise AssertionError("an idle engine refused a request")
        reuse_planner.finish(request.id, 0, 0, 110)

    decide_us = mean_cpu_us(decide, DECISIONS)
    request = cluster.request("long", 100, CHUNKS)
    reuse_planner.plan(request)
    progress_us = mean_cpu_us(lambda n: reuse_planner.progress(request.id, 1), CHUNKS)
    return [
        Row("reuse planner, plan and finish", decide_us, "us"),
        Row("reuse planner, one progress report", progress_us, "us"),
    ]


@capacity.scenario("streams")
def streams() -> list[Row]:
    """Measure the register of attempts and the assembly of a response."""
    clock = ManualClock()
    register = AttemptRegister(clock)
    attempts = [make_attempt(number) for number in range(DECISIONS)]
    open_us = mean_cpu_us(lambda n: register.open(attempts[n]), DECISIONS)
    purge_us = mean_cpu_us(lambda _: register.purge(), REBUILDS) / DECISIONS
    stream = register.open(attempts[0])

    def forward_chunk(_: int) -> None:
        stream.append(CHUNK)
        if stream.take() is None:
            raise AssertionError("an appended chunk is missing from the stream")

    forward_us = mean_cpu_us(forward_chunk, CHUNKS)
    frames = [encode_frame(Chunk(number, CHUNK)) for number in range(CHUNKS)]
    encode_us = mean_cpu_us(lambda n: encode_frame(Chunk(n, CHUNK)), CHUNKS)
    reader, assembler = FrameReader("peer"), ResponseAssembler("peer")
    assembler.add(ResponseHead(200, []))

    def assemble(number: int) -> None:
        for frame in reader.feed(frames[number]):
            assembler.add(frame)

    return [
        Row("register of attempts, open one", open_us, "us"),
        Row("register of attempts, purge, per record kept", purge_us, "us"),
        Row("attempt stream, one chunk", forward_us, "us"),
        Row("encode one chunk frame", encode_us, "us"),
        Row("decode and assemble one chunk", mean_cpu_us(assemble, CHUNKS), "us"),
    ]


@capacity.scenario("pool-mean")
def pool_mean() -> list[Row]:
    """Measure the cost of the pool mean per node, without sockets."""
    model = PoolMeanModel(MEAN_POOL_SIZE)
    model.run(MEAN_WARM_UP_MS)
    model.reset_counters()
    model.run(MEAN_DURATION_MS)
    seconds = MEAN_DURATION_MS / MS_PER_S
    nodes = list(model.nodes.values())
    name = f"pool mean, {MEAN_POOL_SIZE} engines"
    sent = sum(n.sent for n in nodes) / len(nodes) / seconds
    sent_bytes = sum(n.sent_bytes for n in nodes) / len(nodes) / seconds
    return [
        Row(f"{name}: datagrams sent, mean", sent, "1/s"),
        Row(
            f"{name}: datagrams sent, most", max(n.sent for n in nodes) / seconds, "1/s"
        ),
        Row(f"{name}: bytes sent, mean", sent_bytes, "B/s"),
        Row(
            f"{name}: bytes sent, most",
            max(n.sent_bytes for n in nodes) / seconds,
            "B/s",
        ),
        Row(
            f"{name}: CPU time, mean",
            sum(n.cpu_s for n in nodes) * MS_PER_S / len(nodes) / seconds,
            "ms/s",
        ),
    ]


@capacity.scenario("limit-reports")
def limit_reports() -> list[Row]:
    """Measure usage reports at the home router of an account."""
    limiter = AccountLimiter(ManualClock(), Random(1), "own", 1, FixedLimitDirectory())
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(UsageReport)
    report = UsageReport("10.0.0.1:8000", [Usage("route-1", "account-00001", 1, 4.7)])
    data = encoder.encode(report)

    def receive(_: int) -> None:
        limiter.receive(decoder.decode(data))

    return [
        Row(
            "account limits, one report at the home", mean_cpu_us(receive, CHUNKS), "us"
        ),
        Row("account limits, bytes of one report", len(data), "B"),
    ]

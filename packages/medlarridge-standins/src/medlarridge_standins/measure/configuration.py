"""Spread of a configuration and load on the store."""

import heapq
from random import Random

from loguru import logger

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.accepted import Configuration
from medlarridge._internal.coordination.configuration import (
    ConfigurationAction,
    ConfigurationView,
    FetchDelta,
    PushGeneration,
)
from medlarridge._internal.protocol.tables import Tables

from ..fleet import Fleet, Traffic
from ..report import Row
from . import measure

SEED = 21
TARGET_NODES = 4800
TARGET_S = 15.0
MAX_READS_PER_S = 25.0
LIMIT_MS = 60_000
READ_TIME_S = 1200
FAN_OUT = 3
LATENCY_MS = 40
LOSS = 0.01
MS_PER_S = 1000


def generations() -> tuple[Configuration, Configuration]:
    """Return a configuration of some size and its successor after one edit."""

    def tables(priority: int) -> Tables:
        pools = {
            f"pool-{index}": {"kind": "engine", "data_centres": ["dc0"]}
            for index in range(20)
        }
        routes = {
            f"route-{index}": {"pools": [f"pool-{index % 20}"], "priority": 1}
            for index in range(100)
        }
        routes["route-0"]["priority"] = priority
        return Tables.model_validate({"routes": routes, "pools": pools})

    first = Configuration().successor(tables(1), 1, 1)
    return first, first.successor(tables(2), 2, 1)


@measure.scenario("configuration-spread")
def spread() -> list[Row]:
    """Measure how an accepted edit reaches all nodes by polls, pushes and gossip."""
    logger.remove()
    first, second = generations()
    rows = []
    for count in (10, 200):
        fleet = Fleet(SEED, loss=LOSS)
        fleet.accept(first)
        fleet.grow(count)
        fleet.acquaint()
        fleet.run(LIMIT_MS)
        assert {n.configuration.generation for n in fleet.nodes.values()} == {1}
        fleet.traffic = Traffic()
        fleet.accept(second)
        duration_ms = fleet.run_until(
            lambda fleet=fleet: all(
                n.configuration.generation == 2 for n in fleet.nodes.values()
            ),
            LIMIT_MS,
        )
        seconds = (duration_ms or LIMIT_MS) / MS_PER_S
        name = f"accepted edit to {count} nodes, 1% loss"
        traffic = fleet.traffic
        rows += [
            Row(
                f"{name}: in force everywhere",
                seconds,
                "s",
                "< 15",
                "",
                seconds < TARGET_S,
            ),
            Row(f"{name}: datagrams, probes included", traffic.datagrams, ""),
            Row(f"{name}: exchanges", traffic.exchanges, ""),
        ]
    return rows


@measure.scenario("configuration-target-size")
def target_size() -> list[Row]:
    """Measure polls and pushes alone, without gossip, at the target size."""
    logger.remove()
    first, second = generations()
    clock, random = ManualClock(), Random(SEED)
    views = [ConfigurationView(clock, Random(index)) for index in range(TARGET_NODES)]
    for view in views:
        view.nodes = TARGET_NODES
        view.offer(first)
        view.confirm("store")
    reads = 0
    for _ in range(READ_TIME_S):
        clock.advance(MS_PER_S)
        reads += sum(len(view.tick()) for view in views)
    rate = reads / READ_TIME_S
    reached = push_wave(views, clock, random, second)
    times = sorted(reached.values())
    seconds = (times[-1] if len(times) == TARGET_NODES else LIMIT_MS) / MS_PER_S
    share = 100 * len(times) / TARGET_NODES
    return [
        Row(
            f"store reads of {TARGET_NODES} nodes",
            rate,
            "1/s",
            "about 20",
            "",
            rate < MAX_READS_PER_S,
        ),
        Row(f"pushes alone, {TARGET_NODES} nodes: reached", share, "%"),
        Row(
            f"pushes and polls, {TARGET_NODES} nodes: half reached",
            times[len(times) // 2] / MS_PER_S,
            "s",
        ),
        Row(f"pushes alone, {TARGET_NODES} nodes: last one reached", seconds, "s"),
    ]


def push_wave(
    views: list[ConfigurationView],
    clock: ManualClock,
    random: Random,
    configuration: Configuration,
) -> dict[int, int]:
    """Return when each node that pushes alone reach has the configuration."""
    start_ms = clock.now_ms()
    reached: dict[int, int] = {}
    events: list[tuple[int, int, int]] = [(0, 0, 0)]

    def push(source: int, due_ms: int, actions: list[ConfigurationAction]) -> None:
        if PushGeneration() not in actions:
            return
        reached[source] = due_ms
        for target in random.sample(range(len(views)), FAN_OUT):
            if random.random() >= LOSS:
                heapq.heappush(events, (due_ms + LATENCY_MS, source, target))

    while events:
        due_ms, source, target = heapq.heappop(events)
        clock.advance(start_ms + due_ms - clock.now_ms())
        view = views[target]
        if not reached:
            push(target, due_ms, view.offer(configuration))
            continue
        for action in view.mentioned(configuration.generation, str(source)):
            assert isinstance(action, FetchDelta)
            delta = views[source].delta_since(action.since)
            # A connection and one exchange take three one-way latencies.
            push(target, due_ms + 3 * LATENCY_MS, view.peer_replied(str(source), delta))
    return reached

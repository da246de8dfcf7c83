"""Spread of a configuration and load on the store."""

import heapq
from random import Random

from loguru import logger

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.accepted_configuration import Configuration
from medlarridge._internal.coordination.configuration import (
    AnnounceGeneration,
    ConfigurationAction,
    ConfigurationHolder,
    FetchDelta,
)
from medlarridge._internal.protocol.tables import Tables

from ..report import Row
from ..simulated_fleet import SimulatedFleet, Traffic
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
PROBE = -1


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
        fleet = SimulatedFleet(SEED, loss=LOSS)
        fleet.store_configuration(first)
        fleet.add_many(count)
        fleet.synchronise_members()
        fleet.run(LIMIT_MS)
        assert {n.configuration.generation for n in fleet.nodes.values()} == {1}
        fleet.traffic = Traffic()
        fleet.store_configuration(second)
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
    views = [ConfigurationHolder(clock, Random(index)) for index in range(TARGET_NODES)]
    for view in views:
        view.nodes = TARGET_NODES
        view.apply_if_newer(first)
        view.confirm("store")
    reads = 0
    for _ in range(READ_TIME_S):
        clock.advance(MS_PER_S)
        reads += sum(len(view.tick()) for view in views)
    rate = reads / READ_TIME_S
    reached = Wave(views, clock, random, second).run()
    times = sorted(reached.values())
    seconds = (times[-1] if len(times) == TARGET_NODES else LIMIT_MS) / MS_PER_S
    name = f"accepted edit to {TARGET_NODES} nodes, 1% loss, {LATENCY_MS} ms latency"
    return [
        Row(
            f"store reads of {TARGET_NODES} nodes",
            rate,
            "1/s",
            "about 20",
            "",
            rate < MAX_READS_PER_S,
        ),
        Row(f"{name}: 90% reached", times[len(times) * 9 // 10] / MS_PER_S, "s"),
        Row(f"{name}: all reached", seconds, "s", "< 15", "", seconds < TARGET_S),
    ]


class Wave:
    """Spread of one configuration from one node by pushes and by probes.

    Only the views are real; each node probes one random node a second, and probes
    and answers mention the generation.
    """

    def __init__(
        self,
        views: list[ConfigurationHolder],
        clock: ManualClock,
        random: Random,
        configuration: Configuration,
    ) -> None:
        self.views = views
        self.clock = clock
        self.random = random
        self.configuration = configuration
        self.reached: dict[int, int] = {}
        self.events: list[tuple[int, int, int]] = []

    def run(self) -> dict[int, int]:
        """Return when each node has the configuration, in milliseconds."""
        start_ms = self.clock.now_ms()
        count = len(self.views)
        for node in range(count):
            self.plan(self.random.randrange(MS_PER_S), node, PROBE)
        self.act(0, 0, self.views[0].apply_if_newer(self.configuration))
        while self.events and len(self.reached) < count:
            due_ms, source, target = heapq.heappop(self.events)
            self.clock.advance(start_ms + due_ms - self.clock.now_ms())
            if due_ms >= LIMIT_MS:
                break
            if target == PROBE:
                self.plan(due_ms + MS_PER_S, source, PROBE)
                peer = self.random.randrange(count)
                self.deliver(due_ms + LATENCY_MS, source, peer)
                self.deliver(due_ms + 2 * LATENCY_MS, peer, source)
            else:
                self.mention(due_ms, source, target)
        return self.reached

    def plan(self, due_ms: int, source: int, target: int) -> None:
        """Plan a probe of a node or the arrival of a message."""
        heapq.heappush(self.events, (due_ms, source, target))

    def deliver(self, due_ms: int, source: int, target: int) -> None:
        """Send a message that mentions the generation of its sender."""
        if source in self.reached and self.random.random() >= LOSS:
            self.plan(due_ms, source, target)

    def mention(self, now_ms: int, source: int, target: int) -> None:
        """Let a node see the generation and fetch the delta."""
        view = self.views[target]
        generation = self.configuration.generation
        for action in view.record_peer_generation(generation, str(source)):
            assert isinstance(action, FetchDelta)
            delta = self.views[source].delta_since(action.since)
            # A connection and one exchange take three one-way latencies.
            due_ms = now_ms + 3 * LATENCY_MS
            self.act(target, due_ms, view.peer_replied(str(source), delta))

    def act(self, node: int, now_ms: int, actions: list[ConfigurationAction]) -> None:
        """Push the generation to random nodes at once."""
        if AnnounceGeneration() not in actions:
            return
        self.reached[node] = now_ms
        for target in self.random.sample(range(len(self.views)), FAN_OUT):
            self.deliver(now_ms + LATENCY_MS, node, target)

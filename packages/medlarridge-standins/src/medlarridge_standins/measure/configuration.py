"""Time until a configuration reaches all nodes, and reads of the store."""

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
TIMEOUT_MS = 60_000
READ_DURATION_S = 1200
PUSH_FANOUT = 3
LATENCY_MS = 40
LOSS = 0.01
MS_PER_S = 1000
PROBE_EVENT = -1


def generations() -> tuple[Configuration, Configuration]:
    """Return a configuration of 100 routes and its successor after one edit."""

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
    """Measure the spread of an accepted edit by polls, pushes and gossip."""
    logger.remove()
    first, second = generations()
    rows = []
    for count in (10, 200):
        fleet = SimulatedFleet(SEED, loss=LOSS)
        fleet.store_configuration(first)
        fleet.add_many(count)
        fleet.synchronise_members()
        fleet.run(TIMEOUT_MS)
        assert {n.configuration.generation for n in fleet.nodes.values()} == {1}
        fleet.traffic = Traffic()
        fleet.store_configuration(second)
        duration_ms = fleet.run_until(
            lambda fleet=fleet: all(
                n.configuration.generation == 2 for n in fleet.nodes.values()
            ),
            TIMEOUT_MS,
        )
        seconds = (duration_ms or TIMEOUT_MS) / MS_PER_S
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
    """Measure polls, pushes and probes at the target size, without membership."""
    logger.remove()
    first, second = generations()
    clock, random = ManualClock(), Random(SEED)
    holders = [
        ConfigurationHolder(clock, Random(index)) for index in range(TARGET_NODES)
    ]
    for holder in holders:
        holder.nodes = TARGET_NODES
        holder.apply_if_newer(first)
        holder.confirm("store")
    reads = 0
    for _ in range(READ_DURATION_S):
        clock.advance(MS_PER_S)
        reads += sum(len(holder.tick()) for holder in holders)
    reads_per_s = reads / READ_DURATION_S
    reached_ms = SpreadSimulation(holders, clock, random, second).run()
    times = sorted(reached_ms.values())
    seconds = (times[-1] if len(times) == TARGET_NODES else TIMEOUT_MS) / MS_PER_S
    name = f"accepted edit to {TARGET_NODES} nodes, 1% loss, {LATENCY_MS} ms latency"
    return [
        Row(
            f"store reads of {TARGET_NODES} nodes",
            reads_per_s,
            "1/s",
            "about 20",
            "",
            reads_per_s < MAX_READS_PER_S,
        ),
        Row(f"{name}: 90% reached", times[len(times) * 9 // 10] / MS_PER_S, "s"),
        Row(f"{name}: all reached", seconds, "s", "< 15", "", seconds < TARGET_S),
    ]


class SpreadSimulation:
    """Simulation of the spread of one configuration by pushes and probes.

    Starts at one node. Only the configuration holders are real; each node probes a
    random node every second, and probes and their replies carry the generation.
    """

    def __init__(
        self,
        holders: list[ConfigurationHolder],
        clock: ManualClock,
        random: Random,
        configuration: Configuration,
    ) -> None:
        self.holders = holders
        self.clock = clock
        self.random = random
        self.configuration = configuration
        self.reached_ms: dict[int, int] = {}
        self.events: list[tuple[int, int, int]] = []

    def run(self) -> dict[int, int]:
        """Return the time in milliseconds at which each node has the configuration."""
        start_ms = self.clock.now_ms()
        count = len(self.holders)
        for node in range(count):
            self.schedule(self.random.randrange(MS_PER_S), node, PROBE_EVENT)
        self.handle_actions(0, 0, self.holders[0].apply_if_newer(self.configuration))
        while self.events and len(self.reached_ms) < count:
            due_ms, source, target = heapq.heappop(self.events)
            self.clock.advance(start_ms + due_ms - self.clock.now_ms())
            if due_ms >= TIMEOUT_MS:
                break
            if target == PROBE_EVENT:
                self.schedule(due_ms + MS_PER_S, source, PROBE_EVENT)
                peer = self.random.randrange(count)
                self.deliver(due_ms + LATENCY_MS, source, peer)
                self.deliver(due_ms + 2 * LATENCY_MS, peer, source)
            else:
                self.receive_generation(due_ms, source, target)
        return self.reached_ms

    def schedule(self, due_ms: int, source: int, target: int) -> None:
        """Schedule the probe of a node or the arrival of a message."""
        heapq.heappush(self.events, (due_ms, source, target))

    def deliver(self, due_ms: int, source: int, target: int) -> None:
        """Send a message that carries the sender's generation; it may be lost."""
        if source in self.reached_ms and self.random.random() >= LOSS:
            self.schedule(due_ms, source, target)

    def receive_generation(self, now_ms: int, source: int, target: int) -> None:
        """Pass the generation to a node, which fetches the delta if it is new."""
        holder = self.holders[target]
        generation = self.configuration.generation
        for action in holder.record_peer_generation(generation, str(source)):
            assert isinstance(action, FetchDelta)
            delta = self.holders[source].delta_since(action.since)
            # Connecting and one exchange take three one-way latencies.
            due_ms = now_ms + 3 * LATENCY_MS
            self.handle_actions(target, due_ms, holder.peer_replied(str(source), delta))

    def handle_actions(
        self, node: int, now_ms: int, actions: list[ConfigurationAction]
    ) -> None:
        """Announce an applied configuration to random nodes."""
        if AnnounceGeneration() not in actions:
            return
        self.reached_ms[node] = now_ms
        for target in self.random.sample(range(len(self.holders)), PUSH_FANOUT):
            self.deliver(now_ms + LATENCY_MS, node, target)

"""Cost per node and accuracy of the pool mean protocol."""

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from medlarridge._internal.clock import MS_PER_S, ManualClock
from medlarridge._internal.coordination.load_bound import STALE_AFTER_MS
from medlarridge._internal.coordination.pool_mean import (
    MeanMessage,
    Outgoing,
    PoolMean,
)

from ..report import Row
from . import measure

SEED = 11
POOL_SIZES = (10, 50, 200, 460)
LOSS = 0.05
UDP_HEADER_BYTES = 28
DURATION_MS = 30_000
WARM_UP_MS = 10_000
LATENCY_MS = 1
LOAD_STEP_MS = 100
# Limits for all control work of a node, from docs/design.md.
MAX_BYTES_PER_S = 3 * 1024
MAX_CPU_MS_PER_S = 12.0


@dataclass
class PoolMeanNode:
    """A sidecar's part in the pool mean, and its cost."""

    mean: PoolMean
    alive: bool = True
    wake_ms: int = -1
    sent: int = 0
    sent_bytes: int = 0
    largest_bytes: int = 0
    cpu_s: float = 0.0


@dataclass
class PoolMeanModel:
    """Simulation of sidecars that exchange datagrams, some of which are lost."""

    size: int
    loss: float = LOSS
    seed: int = SEED
    varying_loads: bool = True
    clock: ManualClock = field(default_factory=ManualClock)
    nodes: dict[str, PoolMeanNode] = field(default_factory=dict)
    events: list[tuple[int, int, Callable[..., None], tuple]] = field(
        default_factory=list
    )
    sequence: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(MeanMessage)
        addresses = [f"10.0.{n // 250}.{n % 250}:7000" for n in range(self.size)]
        for address in addresses:
            mean = PoolMean(address, self.clock, Random(self.random.random()))
            mean.set_members(addresses)
            mean.tokens = self.random.uniform(1500, 2500)
            self.nodes[address] = PoolMeanNode(mean)
            self.schedule_tick(address)
        if self.varying_loads:
            self.schedule(0, self.vary_loads)

    def schedule(
        self, delay_ms: int, action: Callable[..., None], *args: object
    ) -> None:
        """Schedule an action."""
        self.sequence += 1
        when = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (when, self.sequence, action, args))

    def run(self, duration_ms: int) -> None:
        """Advance the simulation by a duration."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            when, _, action, args = heapq.heappop(self.events)
            self.clock.advance(when - self.clock.now_ms())
            action(*args)
        self.clock.advance(end_ms - self.clock.now_ms())

    def vary_loads(self) -> None:
        """Change all loads by random amounts."""
        self.schedule(LOAD_STEP_MS, self.vary_loads)
        for node in self.nodes.values():
            step = self.random.uniform(-250, 250)
            node.mean.tokens = min(3000.0, max(1000.0, node.mean.tokens + step))

    def schedule_tick(self, address: str) -> None:
        """Schedule the next tick of a node."""
        node, now = self.nodes[address], self.clock.now_ms()
        due = max(now + 1, node.mean.wake_ms)
        if node.wake_ms <= now or due < node.wake_ms:
            node.wake_ms = due
            self.schedule(due - now, self.tick, address, due)

    def tick(self, address: str, due_ms: int) -> None:
        """Run the tick of a node unless another one was scheduled since."""
        node = self.nodes[address]
        if node.alive and node.wake_ms == due_ms:
            started = time.process_time_ns()
            self.send(address, node.mean.tick())
            node.cpu_s += (time.process_time_ns() - started) / 1e9
            self.schedule_tick(address)

    def send(self, address: str, messages: list[Outgoing]) -> None:
        """Encode, count and send datagrams."""
        node = self.nodes[address]
        for outgoing in messages:
            data = self.encoder.encode(outgoing.message)
            size = len(data) + UDP_HEADER_BYTES
            node.sent += 1
            node.sent_bytes += size
            node.largest_bytes = max(node.largest_bytes, size)
            if self.random.random() >= self.loss:
                self.schedule(LATENCY_MS, self.deliver, address, outgoing.address, data)

    def deliver(self, sender: str, address: str, data: bytes) -> None:
        """Decode and handle a datagram."""
        node = self.nodes[address]
        if node.alive:
            started = time.process_time_ns()
            self.send(address, node.mean.receive(self.decoder.decode(data), sender))
            node.cpu_s += (time.process_time_ns() - started) / 1e9
            self.schedule_tick(address)

    def reset_counters(self) -> None:
        """Reset the cost counters of all nodes."""
        for node in self.nodes.values():
            node.sent = node.sent_bytes = node.largest_bytes = 0
            node.cpu_s = 0.0

    def true_mean(self) -> float:
        """Return the mean load of the nodes that are alive."""
        loads = [n.mean.tokens for n in self.nodes.values() if n.alive]
        return sum(loads) / len(loads)


def rows_for_pool(size: int) -> list[Row]:
    """Return the rows for the cost and the accuracy in a pool of one size."""
    model = PoolMeanModel(size)
    model.run(WARM_UP_MS)
    model.reset_counters()
    ages, errors, stale_count = [], [], 0
    for _ in range(DURATION_MS // LOAD_STEP_MS):
        model.run(LOAD_STEP_MS)
        true = model.true_mean()
        for node in model.nodes.values():
            estimate = node.mean.estimate()
            if estimate is None or estimate.age_ms > STALE_AFTER_MS:
                stale_count += 1
            else:
                ages.append(estimate.age_ms)
                errors.append(abs(estimate.mean / true - 1))
    ages.sort()
    errors.sort()
    seconds = DURATION_MS / MS_PER_S
    nodes = list(model.nodes.values())
    max_bytes_per_s = max(n.sent_bytes for n in nodes) / seconds
    cpu_ms = max(n.cpu_s for n in nodes) * MS_PER_S / seconds
    name = f"pool mean, {size} engines, {LOSS:.0%} loss, seed {SEED}"
    p99 = 99 * len(ages) // 100
    return [
        Row(
            f"{name}: sent by a node, mean",
            sum(n.sent_bytes for n in nodes) / size / seconds,
            "B/s",
        ),
        Row(
            f"{name}: sent by a node, most",
            max_bytes_per_s,
            "B/s",
            f"<={MAX_BYTES_PER_S}",
            "limit for all control",
            max_bytes_per_s <= MAX_BYTES_PER_S,
        ),
        Row(
            f"{name}: messages sent, most",
            max(n.sent for n in nodes) / seconds,
            "1/s",
        ),
        Row(f"{name}: datagram, largest", max(n.largest_bytes for n in nodes), "B"),
        Row(
            f"{name}: CPU without sockets, most",
            cpu_ms,
            "ms/s",
            f"<={MAX_CPU_MS_PER_S:g}",
            "limit for all control",
            cpu_ms <= MAX_CPU_MS_PER_S,
        ),
        Row(f"{name}: age, 99th percentile", ages[p99], "ms", f"<={STALE_AFTER_MS}"),
        Row(
            f"{name}: without a fresh estimate",
            100 * stale_count / (stale_count + len(ages)),
            "% of time",
        ),
        Row(f"{name}: error, 99th percentile", 100 * errors[p99], "%"),
    ]


@measure.scenario("pool-mean")
def pool_mean() -> list[Row]:
    """Measure the pool mean in pools of several sizes."""
    return [row for size in POOL_SIZES for row in rows_for_pool(size)]

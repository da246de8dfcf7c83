"""Detect servers that are alive but slow.

A server is compared with the median of its pool in two signals: time to the first
token and time between tokens. A slow server keeps answering probes, so membership
does not notice it.

The detector runs in two places. A router of a small fleet sees enough answers of
each server to judge the pool alone. At the target size a router sees one answer of a
given server in half a minute; there each sidecar judges its own server against a
``PoolLatency``, which it gets from ``LatencyHistogram``s summed over the pool's tree.
"""

import math
import statistics
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from ..clock import Clock

EVALUATE_MS = 1_000
AVERAGING_WEIGHT = 0.1
MIN_SAMPLES = 10
"""Samples of a signal before a server is judged or counts towards the median."""
MIN_JUDGED_SERVERS = 4
"""Below this the median says little about what is usual."""
EJECT_RATIO = 2.5
RETURN_RATIO = 1.5
"""Ratios to the median; the gap keeps a server near one ratio from flapping."""
EJECT_AFTER_MS = 5_000
"""Time for which a server must stay slow; one long prefill does not eject it."""
MAX_EJECTED_SHARE = 0.2
"""Ejecting more would overload the rest; a slow pool is a matter of capacity."""
FIRST_PROBE_MS = 10_000
MAX_PROBE_MS = 120_000
PROBE_INTERVAL_MS = 2_000
"""Mean interval between attempts that reach a server while it is re-probed. A share
of the usual requests would take a router with little traffic many minutes."""
MIN_PROBES = 5
MAX_SERVERS = 16_384


HISTOGRAM_BUCKETS = 48
BUCKETS_PER_DOUBLING = 4
"""Buckets 19% wide from 1 ms to 4 s; finer than the gap between the two ratios."""


class Signal(StrEnum):
    """What is compared with the pool."""

    FIRST_TOKEN = "first-token"
    BETWEEN_TOKENS = "between-tokens"


class ServerState(StrEnum):
    """Whether a server takes part in placement."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True)
class StateChange:
    """A server that changed its state, and the ratio that caused it."""

    server: str
    state: ServerState
    signal: Signal | None
    ratio: float


@dataclass
class LatencyHistogram:
    """Servers of a pool by their average; histograms add up over a tree."""

    counts: list[int] = field(default_factory=lambda: [0] * HISTOGRAM_BUCKETS)

    def add(self, logarithm: float) -> None:
        """Add the average of one server, as a logarithm of milliseconds."""
        bucket = int(logarithm / math.log(2) * BUCKETS_PER_DOUBLING)
        self.counts[min(max(bucket, 0), HISTOGRAM_BUCKETS - 1)] += 1

    def merge(self, counts: list[int]) -> None:
        """Add the counts of another histogram."""
        self.counts = [
            own + other for own, other in zip(self.counts, counts, strict=True)
        ]

    def median(self) -> float | None:
        """Return the median logarithm, or nothing with too few servers."""
        total = sum(self.counts)
        if total < MIN_JUDGED_SERVERS:
            return None
        below = 0
        for bucket, count in enumerate(self.counts):
            below += count
            if 2 * below >= total:
                return (bucket + 0.5) / BUCKETS_PER_DOUBLING * math.log(2)
        return None


@dataclass(frozen=True)
class PoolLatency:
    """Medians and size of a pool; ``out`` counts ejected and probing servers."""

    medians: dict[Signal, float]
    servers: int
    out: int


@dataclass
class LogAverage:
    """Average of logarithms, so that one extreme value does not dominate it."""

    value: float = 0.0
    samples: int = 0

    def add(self, sample_ms: float) -> None:
        """Add one sample."""
        logarithm = math.log(max(sample_ms, 0.1))
        self.samples += 1
        weight = max(AVERAGING_WEIGHT, 1 / self.samples)
        self.value += weight * (logarithm - self.value)


@dataclass
class ServerRecord:
    """Signals and state of one server."""

    averages: dict[Signal, LogAverage] = field(
        default_factory=lambda: {signal: LogAverage() for signal in Signal}
    )
    state: ServerState = ServerState.HEALTHY
    slow_since_ms: int | None = None
    changed_ms: int = 0
    probe_after_ms: int = FIRST_PROBE_MS
    next_probe_ms: int = 0

    def restart_averages(self) -> None:
        """Forget all samples, so that only new ones decide about a return."""
        self.averages = {signal: LogAverage() for signal in Signal}


class OutlierDetector:
    """Slow servers of one pool, as one router sees them.

    The owner calls ``record`` for each answer, ``evaluate`` once per
    ``EVALUATE_MS`` and ``accepts`` before it sends an attempt to a server. An
    attempt refused by ``accepts`` goes to the next server of the ranking.
    ``observer_count`` is the number of processes that judge the same servers; they share
    the probes.
    """

    def __init__(self, clock: Clock, random: Random, observer_count: int = 1) -> None:
        self.clock = clock
        self.random = random
        self.observer_count = observer_count
        self.records: dict[str, ServerRecord] = {}

    def record(
        self, server: str, first_token_ms: float | None, between_tokens_ms: float | None
    ) -> None:
        """Add the times of one answer.

        The caller divides the first-token time by the prefill work it expects,
        because a server that gets longer prompts is not slow.
        """
        if server not in self.records and len(self.records) >= MAX_SERVERS:
            return
        averages = self.records.setdefault(server, ServerRecord()).averages
        if first_token_ms is not None:
            averages[Signal.FIRST_TOKEN].add(first_token_ms)
        if between_tokens_ms is not None:
            averages[Signal.BETWEEN_TOKENS].add(between_tokens_ms)

    def retain(self, servers: set[str]) -> None:
        """Forget servers that have left the pool or were replaced."""
        for server in self.records.keys() - servers:
            del self.records[server]

    def accepts(self, server: str) -> bool:
        """Return whether an attempt may go to a server now; counts the probe."""
        record = self.records.get(server)
        if record is None or record.state is ServerState.HEALTHY:
            return True
        now = self.clock.now_ms()
        if record.state is ServerState.EJECTED or now < record.next_probe_ms:
            return False
        interval_ms = PROBE_INTERVAL_MS * self.observer_count
        record.next_probe_ms = now + int(interval_ms * self.random.uniform(0.5, 1.5))
        return True

    def evaluate(self, pool: PoolLatency | None = None) -> list[StateChange]:
        """Compare the servers with the median and return what changed.

        Without a view of the pool, the recorded servers are taken as the pool.
        """
        view = pool or self.view()
        ratios = {
            server: self.worst_ratio(record, view.medians)
            for server, record in self.records.items()
        }
        # The slowest come first, since only a share of the pool may be ejected.
        order = sorted(ratios, key=lambda server: -ratios[server][1])
        out = view.out
        changes = []
        for server in order:
            may_eject = out + 1 <= MAX_EJECTED_SHARE * view.servers
            change = self.step(server, *ratios[server], may_eject)
            if change is not None:
                changes.append(change)
                out += change.state is ServerState.EJECTED
        return changes

    def view(self) -> PoolLatency:
        """Return the pool as the recorded servers show it."""
        states = [record.state for record in self.records.values()]
        healthy = states.count(ServerState.HEALTHY)
        return PoolLatency(self.medians(), len(states), len(states) - healthy)

    def medians(self) -> dict[Signal, float]:
        """Return the median logarithm of each signal over the judged servers."""
        medians = {}
        for signal in Signal:
            values = [
                record.averages[signal].value
                for record in self.records.values()
                if record.averages[signal].samples >= MIN_SAMPLES
            ]
            if len(values) >= MIN_JUDGED_SERVERS:
                medians[signal] = statistics.median(values)
        return medians

    def worst_ratio(
        self, record: ServerRecord, medians: dict[Signal, float]
    ) -> tuple[Signal | None, float]:
        """Return the signal in which a server is slowest, relative to the median."""
        enough = MIN_SAMPLES if record.state is ServerState.HEALTHY else MIN_PROBES
        worst: tuple[Signal | None, float] = (None, 0.0)
        for signal, median in medians.items():
            average = record.averages[signal]
            if average.samples >= enough:
                ratio = math.exp(average.value - median)
                worst = max(worst, (signal, ratio), key=lambda pair: pair[1])
        return worst

    def step(
        self, server: str, signal: Signal | None, ratio: float, may_eject: bool
    ) -> StateChange | None:
        """Move one server to its next state, if it is due."""
        record = self.records[server]
        if record.state is ServerState.HEALTHY:
            return self.step_healthy(server, signal, ratio, may_eject)
        if record.state is ServerState.EJECTED:
            if self.age_ms(record) < record.probe_after_ms:
                return None
            record.restart_averages()
            return self.change(server, ServerState.PROBING, signal, ratio)
        if signal is None:
            return None
        if ratio <= RETURN_RATIO:
            record.probe_after_ms = FIRST_PROBE_MS
            return self.change(server, ServerState.HEALTHY, signal, ratio)
        if ratio < EJECT_RATIO:
            # Between the ratios it goes on to get a little traffic.
            return None
        record.probe_after_ms = min(2 * record.probe_after_ms, MAX_PROBE_MS)
        return self.change(server, ServerState.EJECTED, signal, ratio)

    def step_healthy(
        self, server: str, signal: Signal | None, ratio: float, may_eject: bool
    ) -> StateChange | None:
        """Eject a server that stays slow, within the cap."""
        now = self.clock.now_ms()
        record = self.records[server]
        if ratio < EJECT_RATIO:
            if ratio < RETURN_RATIO:
                record.slow_since_ms = None
            return None
        if record.slow_since_ms is None:
            record.slow_since_ms = now
        if now - record.slow_since_ms < EJECT_AFTER_MS or not may_eject:
            return None
        return self.change(server, ServerState.EJECTED, signal, ratio)

    def change(
        self, server: str, state: ServerState, signal: Signal | None, ratio: float
    ) -> StateChange:
        """Put a server into a state."""
        record = self.records[server]
        record.state = state
        record.changed_ms = self.clock.now_ms()
        record.slow_since_ms = None
        return StateChange(server, state, signal, round(ratio, 2))

    def age_ms(self, record: ServerRecord) -> int:
        """Return the time since the last change of state."""
        return self.clock.now_ms() - record.changed_ms

"""Detection of servers that are alive but slow.

Each server is compared with the median of its pool by two signals: the time to the
first token and the time between tokens. Membership does not detect slow servers, since
they still answer probes.

The detector can run in two places. In a small fleet a router sees enough responses of
each server to compare them itself. At the target size a router sees only one response
of a given server in half a minute, so each sidecar compares its own server with a
``PoolLatency``, which is built from ``LatencyHistogram``s summed over the pool's tree.
"""

import math
import statistics
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from ..clock import Clock

EVALUATE_MS = 1_000
EWMA_WEIGHT = 0.1
MIN_SAMPLES = 10
"""Samples of a signal before a server is evaluated or counts towards the median."""
MIN_SERVERS = 4
"""With fewer servers the median is not representative."""
EJECT_RATIO = 2.5
RETURN_RATIO = 1.5
"""Ratios to the median. The gap prevents flapping of a server near one of them."""
EJECT_AFTER_MS = 5_000
"""Time for which a server must be slow, so that one long prefill does not eject it."""
MAX_EJECTED_SHARE = 0.2
"""Ejecting more servers would overload the rest. If many servers are slow, the pool
lacks capacity."""
MIN_EJECTION_MS = 10_000
MAX_EJECTION_MS = 120_000
PROBE_INTERVAL_MS = 2_000
"""Mean interval between attempts sent to a server that is being probed. Probing with a
fixed share of requests would take many minutes on a router with little traffic."""
MIN_PROBE_SAMPLES = 5
MAX_SERVERS = 16_384


HISTOGRAM_BUCKETS = 48
BUCKETS_PER_DOUBLING = 4
"""Buckets are 19% wide, from 1 ms to 4 s, which is finer than the gap between the two
ratios."""


class Signal(StrEnum):
    """Latency that is compared with the median of the pool."""

    FIRST_TOKEN = "first-token"
    BETWEEN_TOKENS = "between-tokens"


class ServerState(StrEnum):
    """Whether a server gets attempts."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True)
class StateChange:
    """Change of a server's state, with the signal and ratio that caused it."""

    server: str
    state: ServerState
    signal: Signal | None
    ratio: float


@dataclass
class LatencyHistogram:
    """Number of servers by average latency; histograms can be summed over a tree."""

    counts: list[int] = field(default_factory=lambda: [0] * HISTOGRAM_BUCKETS)

    def add(self, log_ms: float) -> None:
        """Add the average of one server, as the logarithm of milliseconds."""
        bucket = int(log_ms / math.log(2) * BUCKETS_PER_DOUBLING)
        self.counts[min(max(bucket, 0), HISTOGRAM_BUCKETS - 1)] += 1

    def merge(self, counts: list[int]) -> None:
        """Add the counts of another histogram."""
        self.counts = [
            own + other for own, other in zip(self.counts, counts, strict=True)
        ]

    def median(self) -> float | None:
        """Return the median logarithm, or nothing if there are too few servers."""
        total = sum(self.counts)
        if total < MIN_SERVERS:
            return None
        below = 0
        for bucket, count in enumerate(self.counts):
            below += count
            if 2 * below >= total:
                return (bucket + 0.5) / BUCKETS_PER_DOUBLING * math.log(2)
        return None


@dataclass(frozen=True)
class PoolLatency:
    """Medians and size of a pool.

    ``excluded`` is the number of servers that are ejected or being probed.
    """

    medians: dict[Signal, float]
    servers: int
    excluded: int


@dataclass
class LogAverage:
    """Moving average of logarithms, which a single extreme value does not dominate."""

    value: float = 0.0
    samples: int = 0

    def add(self, sample_ms: float) -> None:
        """Add a sample."""
        logarithm = math.log(max(sample_ms, 0.1))
        self.samples += 1
        weight = max(EWMA_WEIGHT, 1 / self.samples)
        self.value += weight * (logarithm - self.value)


@dataclass
class ServerRecord:
    """Averages and state of one server."""

    averages: dict[Signal, LogAverage] = field(
        default_factory=lambda: {signal: LogAverage() for signal in Signal}
    )
    state: ServerState = ServerState.HEALTHY
    slow_since_ms: int | None = None
    state_changed_ms: int = 0
    ejection_ms: int = MIN_EJECTION_MS
    next_probe_ms: int = 0

    def restart_averages(self) -> None:
        """Discard all samples, so that only new ones decide on the return."""
        self.averages = {signal: LogAverage() for signal in Signal}


class OutlierDetector:
    """Detector of the slow servers of one pool, used by one process.

    The owner calls ``record`` for each response, ``evaluate`` every ``EVALUATE_MS``
    and ``accepts`` before it sends an attempt to a server. An attempt that is not
    accepted goes to the next server of the ranking. ``observer_count`` is the number
    of processes that evaluate the same servers and share their probes.
    """

    def __init__(self, clock: Clock, random: Random, observer_count: int = 1) -> None:
        self.clock = clock
        self.random = random
        self.observer_count = observer_count
        self.records: dict[str, ServerRecord] = {}

    def record(
        self, server: str, first_token_ms: float | None, between_tokens_ms: float | None
    ) -> None:
        """Add the times of one response.

        The caller divides the first-token time by the expected prefill work, because a
        server that gets longer prompts is not slow.
        """
        if server not in self.records and len(self.records) >= MAX_SERVERS:
            return
        averages = self.records.setdefault(server, ServerRecord()).averages
        if first_token_ms is not None:
            averages[Signal.FIRST_TOKEN].add(first_token_ms)
        if between_tokens_ms is not None:
            averages[Signal.BETWEEN_TOKENS].add(between_tokens_ms)

    def retain(self, servers: set[str]) -> None:
        """Remove the records of servers other than the given ones."""
        for server in self.records.keys() - servers:
            del self.records[server]

    def accepts(self, server: str) -> bool:
        """Return whether to send an attempt to a server now.

        If the server is being probed, this also schedules the next probe.
        """
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
        """Compare the servers with the medians and return the changes of state.

        Without ``pool``, the medians are those of the recorded servers.
        """
        latency = pool or self.local_latency()
        ratios = {
            server: self.worst_ratio(record, latency.medians)
            for server, record in self.records.items()
        }
        # Start with the slowest servers, since only a share of the pool may be ejected.
        order = sorted(ratios, key=lambda server: -ratios[server][1])
        excluded = latency.excluded
        changes = []
        for server in order:
            may_eject = excluded + 1 <= MAX_EJECTED_SHARE * latency.servers
            change = self.update_state(server, *ratios[server], may_eject)
            if change is not None:
                changes.append(change)
                excluded += change.state is ServerState.EJECTED
        return changes

    def local_latency(self) -> PoolLatency:
        """Return medians and size of the pool from the recorded servers."""
        states = [record.state for record in self.records.values()]
        healthy = states.count(ServerState.HEALTHY)
        return PoolLatency(self.medians(), len(states), len(states) - healthy)

    def medians(self) -> dict[Signal, float]:
        """Return the median logarithm per signal over servers with enough samples."""
        medians = {}
        for signal in Signal:
            values = [
                record.averages[signal].value
                for record in self.records.values()
                if record.averages[signal].samples >= MIN_SAMPLES
            ]
            if len(values) >= MIN_SERVERS:
                medians[signal] = statistics.median(values)
        return medians

    def worst_ratio(
        self, record: ServerRecord, medians: dict[Signal, float]
    ) -> tuple[Signal | None, float]:
        """Return the signal with the highest ratio to the median, and that ratio."""
        min_samples = (
            MIN_SAMPLES if record.state is ServerState.HEALTHY else MIN_PROBE_SAMPLES
        )
        worst: tuple[Signal | None, float] = (None, 0.0)
        for signal, median in medians.items():
            average = record.averages[signal]
            if average.samples >= min_samples:
                ratio = math.exp(average.value - median)
                worst = max(worst, (signal, ratio), key=lambda pair: pair[1])
        return worst

    def update_state(
        self, server: str, signal: Signal | None, ratio: float, may_eject: bool
    ) -> StateChange | None:
        """Move a server to its next state if the conditions are met."""
        record = self.records[server]
        if record.state is ServerState.HEALTHY:
            return self.update_healthy(server, signal, ratio, may_eject)
        if record.state is ServerState.EJECTED:
            if self.time_in_state_ms(record) < record.ejection_ms:
                return None
            record.restart_averages()
            return self.set_state(server, ServerState.PROBING, signal, ratio)
        if signal is None:
            return None
        if ratio <= RETURN_RATIO:
            record.ejection_ms = MIN_EJECTION_MS
            return self.set_state(server, ServerState.HEALTHY, signal, ratio)
        if ratio < EJECT_RATIO:
            # Between the two ratios the server stays PROBING and gets little traffic.
            return None
        record.ejection_ms = min(2 * record.ejection_ms, MAX_EJECTION_MS)
        return self.set_state(server, ServerState.EJECTED, signal, ratio)

    def update_healthy(
        self, server: str, signal: Signal | None, ratio: float, may_eject: bool
    ) -> StateChange | None:
        """Eject a server that has been slow for long enough, if the limit allows it."""
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
        return self.set_state(server, ServerState.EJECTED, signal, ratio)

    def set_state(
        self, server: str, state: ServerState, signal: Signal | None, ratio: float
    ) -> StateChange:
        """Set the state of a server."""
        record = self.records[server]
        record.state = state
        record.state_changed_ms = self.clock.now_ms()
        record.slow_since_ms = None
        return StateChange(server, state, signal, round(ratio, 2))

    def time_in_state_ms(self, record: ServerRecord) -> int:
        """Return the time since the last change of state."""
        return self.clock.now_ms() - record.state_changed_ms

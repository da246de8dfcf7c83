"""Counters and latency histograms of a direct router.

The router counts in plain numbers. prometheus_client, which formats them, is imported
only when the metrics are first requested, to save time and memory at startup.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from prometheus_client import Metric

LATENCY_BOUNDS_S = (0.01, 0.026, 0.05, 0.1, 0.2, 0.4, 0.76, 1.5, 3.0, 6.0, 15.0)
SHARE_BOUNDS = (0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 1.0)
MS_PER_S = 1000


class LatencyHistogram(Struct):
    """Histogram of latencies in milliseconds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    total_ms: int = 0

    def observe(self, time_ms: int) -> None:
        """Count one latency."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, time_ms / MS_PER_S)] += 1
        self.total_ms += time_ms

    def buckets(self) -> Iterator[tuple[str, int]]:
        """Yield the upper bounds and their cumulative counts."""
        cumulative = 0
        bounds = [*map(str, LATENCY_BOUNDS_S), "+Inf"]
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative += count
            yield bound, cumulative


class ShareHistogram(Struct):
    """Histogram of how much of a limit was used, as seen at regular intervals."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(SHARE_BOUNDS) + 1))
    total: float = 0.0

    def observe(self, share: float) -> None:
        """Count one look."""
        self.counts[bisect_left(SHARE_BOUNDS, share)] += 1
        self.total += share

    def buckets(self) -> Iterator[tuple[str, int]]:
        """Yield the upper bounds and their cumulative counts."""
        cumulative = 0
        bounds = [*map(str, SHARE_BOUNDS), "+Inf"]
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative += count
            yield bound, cumulative


Gauge = Callable[[], float]


class Metrics(Struct, eq=False):
    """Metrics of a router; ``gauges`` are read when the metrics are requested."""

    requests: Counter = field(default_factory=Counter)
    attempts: Counter = field(default_factory=Counter)
    retries: Counter = field(default_factory=Counter)
    resumptions: Counter = field(default_factory=Counter)
    responses: Counter = field(default_factory=Counter)
    discarded: Counter = field(default_factory=Counter)
    refusals: Counter = field(default_factory=Counter)
    ended_by_stop: Counter = field(default_factory=Counter)
    control_bytes: Counter = field(default_factory=Counter)
    store_calls: Counter = field(default_factory=Counter)
    store_rewrites: Counter = field(default_factory=Counter)
    streams_not_stored: int = 0
    first_bytes: dict[str, LatencyHistogram] = field(default_factory=dict)
    first_event_waits: dict[str, LatencyHistogram] = field(default_factory=dict)
    memory_shares: dict[str, ShareHistogram] = field(default_factory=dict)
    gauges: dict[str, tuple[str, Gauge]] = field(default_factory=dict)

    def observe_first_bytes(self, kind: str, time_ms: int) -> None:
        """Count the time from a request to the first bytes of its response."""
        self.first_bytes.setdefault(kind, LatencyHistogram()).observe(time_ms)

    def observe_first_event_wait(self, cause: str, time_ms: int) -> None:
        """Count the time for which a first event waited for its record, by cause."""
        self.first_event_waits.setdefault(cause, LatencyHistogram()).observe(time_ms)

    def observe_memory(self, used_shares: dict[str, float]) -> None:
        """Count how much of its limit each kind of the memory account uses."""
        for kind, share in used_shares.items():
            self.memory_shares.setdefault(kind, ShareHistogram()).observe(share)

    def add_gauge(self, name: str, text: str, read: Gauge) -> None:
        """Add a gauge whose value is read when the metrics are requested."""
        self.gauges[name] = (text, read)

    def collect(self) -> Iterable["Metric"]:
        """Yield all metrics as types of prometheus_client."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        counters = (
            ("requests", "Requests by kind and outcome.", ["kind", "outcome"]),
            ("attempts", "Attempts by pool and how they ended.", ["pool", "ended"]),
            (
                "retries",
                "Attempts after one that reached a server, by pool.",
                ["pool"],
            ),
            (
                "resumptions",
                "Streams that clients take up, by how their origin is known.",
                ["source"],
            ),
            (
                "responses",
                "Responses of servers by framing and ending.",
                ["framing", "ending"],
            ),
            (
                "discarded",
                "Responses that are not to the request in flight, by what they name.",
                ["pool", "names"],
            ),
            ("refusals", "Requests the router ended itself.", ["status", "reason"]),
            (
                "ended_by_stop",
                "Requests that the stop of this router ended, by stage.",
                ["stage"],
            ),
            (
                "control_bytes",
                "Bytes of messages between routers, without headers.",
                ["direction", "message"],
            ),
            ("store_calls", "Calls to the store.", ["call"]),
            (
                "store_rewrites",
                "Objects written again after the store came back from an older copy.",
                ["object"],
            ),
        )
        for name, text, labels in counters:
            family = CounterMetricFamily(f"medlarridge_{name}", text, labels=labels)
            for key, count in getattr(self, name).items():
                values = key if isinstance(key, tuple) else (key,)
                family.add_metric([str(value) for value in values], count)
            yield family
        histograms = (
            (
                "first_bytes",
                "Time to the first bytes of an answer.",
                "kind",
                self.first_bytes,
            ),
            (
                "first_event_wait",
                "Time for which first events waited for their records, by cause.",
                "cause",
                self.first_event_waits,
            ),
        )
        for name, text, label, by_label in histograms:
            histogram = HistogramMetricFamily(
                f"medlarridge_{name}_seconds", text, labels=[label]
            )
            for value, times in by_label.items():
                histogram.add_metric(
                    [value], list(times.buckets()), times.total_ms / MS_PER_S
                )
            yield histogram
        memory = HistogramMetricFamily(
            "medlarridge_memory_share",
            "Used share of the limits of the memory account, by kind, each 100 ms.",
            labels=["kind"],
        )
        for kind, shares in self.memory_shares.items():
            memory.add_metric([kind], list(shares.buckets()), shares.total)
        yield memory
        for name, (text, read) in self.gauges.items():
            family = GaugeMetricFamily(f"medlarridge_{name}", text)
            family.add_metric([], read())
            yield family

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)  # type: ignore[arg-type]
        return generate_latest(registry)

"""Prometheus metrics of both daemons."""

from collections.abc import Iterator
from typing import Protocol

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.026,
    0.05,
    0.1,
    0.2,
    0.4,
    0.76,
    1.5,
    3,
    6,
    12,
    30,
    60,
)
TOKEN_INTERVAL_BUCKETS_S = (0.002, 0.005, 0.01, 0.015, 0.02, 0.026, 0.04, 0.08, 0.2, 1)


class NodeMetricsSource(Protocol):
    """Values that membership and configuration keep themselves."""

    def generation(self) -> int:
        """Return the generation of the configuration in force."""
        ...

    def control_bytes(self) -> dict[str, int]:
        """Return the bytes of control traffic by direction."""
        ...


class ControlTraffic(Collector):
    """Reads the bytes of control traffic when the metrics are scraped."""

    def __init__(self, source: NodeMetricsSource) -> None:
        self.source = source

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the bytes by direction as one metric."""
        family = CounterMetricFamily(
            "medlarridge_control_bytes",
            "Bytes of control traffic.",
            labels=["direction"],
        )
        for direction, count in self.source.control_bytes().items():
            family.add_metric([direction], count)
        yield family


class ProcessMetrics:
    """Metrics that both daemons share."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.generation = Gauge(
            "medlarridge_configuration_generation",
            "Generation of the configuration in force.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "medlarridge_in_flight", "Requests in flight.", registry=self.registry
        )

    def observe_node(self, source: NodeMetricsSource) -> None:
        """Export the values that membership and configuration keep themselves."""
        self.generation.set_function(source.generation)
        self.registry.register(ControlTraffic(source))


class RouterMetrics(ProcessMetrics):
    """Metrics of one router."""

    def __init__(self) -> None:
        super().__init__()
        registry = self.registry
        self.requests = Counter(
            "medlarridge_requests",
            "Requests by route and outcome.",
            ["route", "outcome"],
            registry=registry,
        )
        self.attempts = Counter(
            "medlarridge_attempts",
            "Attempts by pool and how they ended.",
            ["pool", "result"],
            registry=registry,
        )
        self.first_token = Histogram(
            "medlarridge_first_token_seconds",
            "Time from the request to the first piece of its answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.between_tokens = Histogram(
            "medlarridge_between_tokens_seconds",
            "Time between two pieces of a streamed answer.",
            ["route"],
            buckets=TOKEN_INTERVAL_BUCKETS_S,
            registry=registry,
        )
        self.reconnects = Counter(
            "medlarridge_reconnects",
            "Connections to sidecars that were replaced during an attempt.",
            registry=registry,
        )


class SidecarMetrics(ProcessMetrics):
    """Metrics of one sidecar."""

    def __init__(self) -> None:
        super().__init__()
        registry = self.registry
        self.attempts = Counter(
            "medlarridge_sidecar_attempts",
            "Attempts by result: run, or the reason of the refusal.",
            ["result"],
            registry=registry,
        )
        self.outcomes = Counter(
            "medlarridge_sidecar_outcomes",
            "Ends of accepted attempts.",
            ["outcome"],
            registry=registry,
        )
        self.prefix_sources = Counter(
            "medlarridge_sidecar_prefix",
            "Returning chats by how their prefix was provided.",
            ["source"],
            registry=registry,
        )
        self.load = Gauge(
            "medlarridge_sidecar_load_tokens",
            "Outstanding work divided by the weight.",
            registry=registry,
        )
        self.pool_mean = Gauge(
            "medlarridge_sidecar_pool_mean_tokens",
            "Mean load of the pool as last learned.",
            registry=registry,
        )
        self.queued = Gauge(
            "medlarridge_sidecar_queued",
            "Attempts that wait for admission.",
            registry=registry,
        )
        self.admission_wait = Histogram(
            "medlarridge_sidecar_wait_seconds",
            "Time that admitted attempts waited.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )

"""CPU time of the daemons per request and per streamed chunk.

The daemons run as separate processes on loopback. Callers stream responses of several
lengths, one token at a time; a least-squares fit separates the cost of a request from
the cost of a chunk. The CPU time of the idle daemons is measured first and subtracted.
"""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from copy import copy
from dataclasses import dataclass, field

import anyio

from ..process_fleet import CALLERS_PORT, ENGINE_PORT, ProcessFleet, process_fleet
from ..report import Row
from ..streaming_client import ClientObservations, StreamingClient
from . import capacity

TOKEN_MS = 20
RESPONSE_TOKENS = (1, 40, 160)
CALLERS = 24
SHORT_RESPONSE_CALLERS = 4
ENGINE_BATCH = 32
IDLE_S = 5
WINDOW_S = 5
RAMP_UP_TIMEOUT_S = 60
RETRY_DELAY_S = 0.2
POLL_S = 0.1
MAX_REFUSED_SHARE = 0.1
"""Above this share the fit is distorted: a refused request costs about as much as a
served one, without its chunks."""
US_PER_MS = 1000
DAEMONS = ("router", "sidecar0")
RAMP_UP_SHARE = 0.95
LOAD_ENGINES = 4
USUAL_STREAMS = 24
FULL_STREAMS = 128
LOAD_RESPONSE_TOKENS = 100


@dataclass
class CallerGroup:
    """Concurrent callers that each send one request after another."""

    port: int
    tokens: int
    count: int
    observations: ClientObservations = field(default_factory=ClientObservations)
    stopping: bool = False
    served_numbers: set[int] = field(default_factory=set)

    async def run(self, number: int) -> None:
        """Send requests until ``stopping`` is set."""
        caller = StreamingClient(self.port, self.observations)
        sent = 0
        while not self.stopping:
            sent += 1
            chat = f"chat-{self.tokens}-{number}-{sent}"
            if await caller.request(chat, self.tokens):
                self.served_numbers.add(number)
            else:
                # The load bound of an idle pool is low; it admits a burst gradually,
                # as its mean load grows.
                self.served_numbers.discard(number)
                await anyio.sleep(RETRY_DELAY_S)
        await caller.close()

    async def wait_for_ramp_up(self) -> None:
        """Wait until ``RAMP_UP_SHARE`` of the callers are served."""
        with anyio.fail_after(RAMP_UP_TIMEOUT_S):
            while len(self.served_numbers) < RAMP_UP_SHARE * self.count:
                await anyio.sleep(POLL_S)


@asynccontextmanager
async def run_callers(callers: CallerGroup) -> AsyncIterator[ClientObservations]:
    """Run callers and yield a copy of their counters taken after the ramp-up.

    The lists of latencies start empty at that time.
    """
    async with anyio.create_task_group() as tasks:
        for number in range(callers.count):
            tasks.start_soon(callers.run, number)
        await callers.wait_for_ramp_up()
        counts_before = copy(callers.observations)
        callers.observations.first_ms.clear()
        callers.observations.gaps_ms.clear()
        try:
            yield counts_before
        finally:
            callers.stopping = True


@dataclass(frozen=True)
class CpuSample:
    """CPU time of the daemons for a number of requests and chunks."""

    requests: float
    chunks: int
    cpu_ms: list[float]


async def measure_responses(
    fleet: ProcessFleet, tokens: int, idle_rates: list[float]
) -> CpuSample:
    """Measure the daemons during a window after the ramp-up of the callers."""
    count = CALLERS if tokens > 1 else SHORT_RESPONSE_CALLERS
    callers = CallerGroup(CALLERS_PORT, tokens, count)
    async with run_callers(callers) as counts_before:
        cpu_before, started = daemons_cpu_ms(fleet), time.monotonic()
        await anyio.sleep(WINDOW_S)
        seconds, observations = time.monotonic() - started, callers.observations
        used = [
            now - then - rate * seconds
            for now, then, rate in zip(
                daemons_cpu_ms(fleet), cpu_before, idle_rates, strict=True
            )
        ]
        refused = observations.refused - counts_before.refused
        refused_share = refused / max(1, observations.finished - counts_before.finished)
        if refused_share > MAX_REFUSED_SHARE:
            raise AssertionError(f"{refused_share:.0%} of the requests were refused")
        return CpuSample(
            observations.request_count() - counts_before.request_count(),
            observations.chunks - counts_before.chunks,
            used,
        )


def daemons_cpu_ms(fleet: ProcessFleet) -> list[float]:
    """Return the CPU time of each daemon since its start."""
    return [fleet.cpu_ms(name) for name in DAEMONS]


def idle_cpu_rates(fleet: ProcessFleet) -> list[float]:
    """Return the CPU time per second of each daemon without requests, in ms/s."""
    cpu_before, started = daemons_cpu_ms(fleet), time.monotonic()
    time.sleep(IDLE_S)
    seconds = time.monotonic() - started
    return [
        (now - then) / seconds
        for now, then in zip(daemons_cpu_ms(fleet), cpu_before, strict=True)
    ]


def least_squares(samples: list[CpuSample], index: int) -> tuple[float, float]:
    """Return the CPU time per request and per chunk of one daemon.

    Each sample is divided by its number of requests, so that all response lengths have
    the same weight in the fit.
    """
    xs = [each.chunks / each.requests for each in samples]
    ys = [each.cpu_ms[index] / each.requests for each in samples]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    per_chunk = covariance / sum((x - mean_x) ** 2 for x in xs)
    return mean_y - per_chunk * mean_x, per_chunk


@capacity.scenario("path")
def data_path() -> list[Row]:
    """Measure both daemons with responses of several lengths."""
    with process_fleet(TOKEN_MS, ENGINE_BATCH) as fleet:
        idle_rates = idle_cpu_rates(fleet)
        samples = [
            anyio.run(measure_responses, fleet, tokens, idle_rates)
            for tokens in RESPONSE_TOKENS
        ]
        memory = [fleet.rss_mib(name) for name in DAEMONS]
    rows = []
    for index, daemon in enumerate(DAEMONS):
        name = daemon.rstrip("0")
        request_ms, chunk_ms = least_squares(samples, index)
        rows += [
            Row(f"{name}: CPU time per request", request_ms, "ms"),
            Row(f"{name}: CPU time per chunk", chunk_ms * US_PER_MS, "us"),
            Row(
                f"{name}: CPU time of a process without requests",
                idle_rates[index],
                "ms/s",
            ),
            Row(f"{name}: resident memory of the process", memory[index], "MiB"),
        ]
    return rows


@dataclass(frozen=True)
class LoadSample:
    """Throughput and latencies seen by the callers, and cores used by the router."""

    chunks_per_s: float
    cores: float
    first_ms: float
    gap_ms: float


async def measure_load(fleet: ProcessFleet, port: int, count: int) -> LoadSample:
    """Measure a number of concurrent streams; latencies are 95th percentiles."""
    callers = CallerGroup(port, LOAD_RESPONSE_TOKENS, count)
    async with run_callers(callers) as counts_before:
        cpu_before, started = fleet.cpu_ms("router"), time.monotonic()
        await anyio.sleep(WINDOW_S)
        seconds, observations = time.monotonic() - started, callers.observations
        return LoadSample(
            (observations.chunks - counts_before.chunks) / seconds,
            (fleet.cpu_ms("router") - cpu_before) / seconds / US_PER_MS,
            p95(observations.first_ms),
            p95(observations.gaps_ms),
        )


def p95(values: list[float]) -> float:
    """Return the 95th percentile."""
    return sorted(values)[95 * len(values) // 100]


@capacity.scenario("path-load")
def data_path_load() -> list[Row]:
    """Measure one router in front of several engines at usual and at full load."""
    with process_fleet(TOKEN_MS, ENGINE_BATCH, LOAD_ENGINES) as fleet:
        engine_only = anyio.run(
            measure_load, fleet, ENGINE_PORT, USUAL_STREAMS // LOAD_ENGINES
        )
        usual = anyio.run(measure_load, fleet, CALLERS_PORT, USUAL_STREAMS)
        full = anyio.run(measure_load, fleet, CALLERS_PORT, FULL_STREAMS)
    usual_name, full_name = f"{USUAL_STREAMS} streams", f"{FULL_STREAMS} streams"
    return [
        Row("engine alone: gap between tokens, p95", engine_only.gap_ms, "ms"),
        Row("engine alone: first token, p95", engine_only.first_ms, "ms"),
        Row(f"{usual_name}: gap between tokens, p95", usual.gap_ms, "ms"),
        Row(f"{usual_name}: first token, p95", usual.first_ms, "ms"),
        Row(f"{usual_name}: chunks", usual.chunks_per_s, "1/s"),
        Row(f"{usual_name}: cores of the router", usual.cores, "cores"),
        Row(f"{full_name}: gap between tokens, p95", full.gap_ms, "ms"),
        Row(f"{full_name}: chunks", full.chunks_per_s, "1/s"),
        Row(f"{full_name}: cores of the router", full.cores, "cores"),
        Row(
            f"{full_name}: CPU time of the router per chunk, requests included",
            full.cores * US_PER_MS * US_PER_MS / full.chunks_per_s,
            "us",
        ),
    ]

"""CPU time of the daemons per request and per streamed chunk.

The daemons run as processes of their own on loopback. Callers stream answers of
several lengths one token at a time; least squares separate the cost of a request
from that of a chunk. What the daemons spend without requests is measured first and
subtracted.
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
LENGTHS = (1, 40, 160)
CALLERS = 24
CALLERS_OF_SHORT = 4
BATCH = 32
IDLE_S = 5
WINDOW_S = 5
RAMP_TIMEOUT_S = 60
RETRY_S = 0.2
POLL_S = 0.1
MAX_REFUSED_SHARE = 0.1
"""A refused request costs about as much as one that is served, without its chunks."""
US_PER_MS = 1000
DAEMONS = ("router", "sidecar0")
RAMPED_SHARE = 0.95
LOAD_ENGINES = 4
USUAL_LOAD = 24
FULL_LOAD = 128
LOAD_TOKENS = 100


@dataclass
class Callers:
    """Callers that send one request after another."""

    port: int
    tokens: int
    count: int
    seen: ClientObservations = field(default_factory=ClientObservations)
    stopping: bool = False
    served: set[int] = field(default_factory=set)

    async def run(self, number: int) -> None:
        """Send requests until told to stop."""
        caller = StreamingClient(self.port, self.seen)
        sent = 0
        while not self.stopping:
            sent += 1
            chat = f"chat-{self.tokens}-{number}-{sent}"
            if await caller.request(chat, self.tokens):
                self.served.add(number)
            else:
                # An idle pool admits a burst only as its mean load grows.
                self.served.discard(number)
                await anyio.sleep(RETRY_S)
        await caller.close()

    async def ramp(self) -> None:
        """Wait until nearly all callers are served."""
        with anyio.fail_after(RAMP_TIMEOUT_S):
            while len(self.served) < RAMPED_SHARE * self.count:
                await anyio.sleep(POLL_S)


@asynccontextmanager
async def running(callers: Callers) -> AsyncIterator[ClientObservations]:
    """Run callers; give what they see from the time when all are served."""
    async with anyio.create_task_group() as tasks:
        for number in range(callers.count):
            tasks.start_soon(callers.run, number)
        await callers.ramp()
        before = copy(callers.seen)
        callers.seen.first_ms.clear()
        callers.seen.gaps_ms.clear()
        try:
            yield before
        finally:
            callers.stopping = True


@dataclass(frozen=True)
class Sample:
    """What the daemons spent on a number of requests and chunks."""

    requests: float
    chunks: int
    cpu_ms: list[float]


async def sample(fleet: ProcessFleet, tokens: int, idle: list[float]) -> Sample:
    """Measure a window in which all callers are served."""
    count = CALLERS if tokens > 1 else CALLERS_OF_SHORT
    callers = Callers(CALLERS_PORT, tokens, count)
    async with running(callers) as before:
        cpu_before, started = cpu_of(fleet), time.monotonic()
        await anyio.sleep(WINDOW_S)
        seconds, seen = time.monotonic() - started, callers.seen
        used = [
            now - then - rate * seconds
            for now, then, rate in zip(cpu_of(fleet), cpu_before, idle, strict=True)
        ]
        refused = seen.refused - before.refused
        share = refused / max(1, seen.finished - before.finished)
        if share > MAX_REFUSED_SHARE:
            raise AssertionError(f"{share:.0%} of the requests were refused")
        return Sample(
            seen.requests() - before.requests(), seen.chunks - before.chunks, used
        )


def cpu_of(fleet: ProcessFleet) -> list[float]:
    """Return the CPU time of both daemons."""
    return [fleet.cpu_ms(name) for name in DAEMONS]


def idle_rates(fleet: ProcessFleet) -> list[float]:
    """Return the CPU time a second of both daemons without requests."""
    before, started = cpu_of(fleet), time.monotonic()
    time.sleep(IDLE_S)
    seconds = time.monotonic() - started
    return [
        (now - then) / seconds for now, then in zip(cpu_of(fleet), before, strict=True)
    ]


def least_squares(samples: list[Sample], index: int) -> tuple[float, float]:
    """Return the CPU time per request and per chunk of one daemon.

    Each sample is divided by its requests, so that all lengths weigh the same.
    """
    xs = [each.chunks / each.requests for each in samples]
    ys = [each.cpu_ms[index] / each.requests for each in samples]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    per_chunk = covariance / sum((x - mean_x) ** 2 for x in xs)
    return mean_y - per_chunk * mean_x, per_chunk


@capacity.scenario("path")
def path() -> list[Row]:
    """Measure both daemons with answers of several lengths."""
    with process_fleet(TOKEN_MS, BATCH) as fleet:
        idle = idle_rates(fleet)
        samples = [anyio.run(sample, fleet, tokens, idle) for tokens in LENGTHS]
        memory = [fleet.rss_mib(name) for name in DAEMONS]
    rows = []
    for index, daemon in enumerate(DAEMONS):
        name = daemon.rstrip("0")
        request_ms, chunk_ms = least_squares(samples, index)
        rows += [
            Row(f"{name}: CPU time per request", request_ms, "ms"),
            Row(f"{name}: CPU time per chunk", chunk_ms * US_PER_MS, "us"),
            Row(f"{name}: CPU time of a process without requests", idle[index], "ms/s"),
            Row(f"{name}: resident memory of the process", memory[index], "MiB"),
        ]
    return rows


@dataclass(frozen=True)
class LoadSample:
    """What callers saw, and the share of a core that the router used."""

    chunks_per_s: float
    cores: float
    first_ms: float
    gap_ms: float


async def load(fleet: ProcessFleet, port: int, count: int) -> LoadSample:
    """Measure a number of streams at a time; times are 95th percentiles."""
    callers = Callers(port, LOAD_TOKENS, count)
    async with running(callers) as before:
        cpu_before, started = fleet.cpu_ms("router"), time.monotonic()
        await anyio.sleep(WINDOW_S)
        seconds, seen = time.monotonic() - started, callers.seen
        return LoadSample(
            (seen.chunks - before.chunks) / seconds,
            (fleet.cpu_ms("router") - cpu_before) / seconds / US_PER_MS,
            percentile(seen.first_ms),
            percentile(seen.gaps_ms),
        )


def percentile(values: list[float]) -> float:
    """Return the 95th percentile."""
    return sorted(values)[95 * len(values) // 100]


@capacity.scenario("path-load")
def path_load() -> list[Row]:
    """Measure one router before several engines, lightly and fully loaded."""
    with process_fleet(TOKEN_MS, BATCH, LOAD_ENGINES) as fleet:
        direct = anyio.run(load, fleet, ENGINE_PORT, USUAL_LOAD // LOAD_ENGINES)
        usual = anyio.run(load, fleet, CALLERS_PORT, USUAL_LOAD)
        full = anyio.run(load, fleet, CALLERS_PORT, FULL_LOAD)
    name, most = f"{USUAL_LOAD} streams", f"{FULL_LOAD} streams"
    return [
        Row("engine alone: gap between tokens, p95", direct.gap_ms, "ms"),
        Row("engine alone: first token, p95", direct.first_ms, "ms"),
        Row(f"{name}: gap between tokens, p95", usual.gap_ms, "ms"),
        Row(f"{name}: first token, p95", usual.first_ms, "ms"),
        Row(f"{name}: chunks", usual.chunks_per_s, "1/s"),
        Row(f"{name}: cores of the router", usual.cores, "cores"),
        Row(f"{most}: gap between tokens, p95", full.gap_ms, "ms"),
        Row(f"{most}: chunks", full.chunks_per_s, "1/s"),
        Row(f"{most}: cores of the router", full.cores, "cores"),
        Row(
            f"{most}: CPU time of the router per chunk, requests included",
            full.cores * US_PER_MS * US_PER_MS / full.chunks_per_s,
            "us",
        ),
    ]

"""CPU time of the daemons per request and per streamed chunk.

The daemons run as processes of their own on loopback. Callers stream answers of
several lengths one token at a time; least squares separate the cost of a request
from that of a chunk. What the daemons spend without requests is measured first and
subtracted.
"""

import time
from dataclasses import dataclass, field

import anyio
import httpx

from ..process_fleet import ProcessFleet, process_fleet
from ..report import Row
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
DAEMONS = ("router", "sidecar")
END = b"data: [DONE]\n\n"


@dataclass
class Callers:
    """Callers that send one request after another, and what they have seen."""

    fleet: ProcessFleet
    tokens: int
    count: int
    started: int = 0
    finished: int = 0
    refused: int = 0
    chunks: int = 0
    stopping: bool = False
    served: set[int] = field(default_factory=set)

    async def run(self, caller: int, client: httpx.AsyncClient) -> None:
        """Send requests until told to stop."""
        number = 0
        while not self.stopping:
            number += 1
            chat = f"chat-{self.tokens}-{caller}-{number}"
            request = self.fleet.request(chat, self.tokens)
            self.started += 1
            if await self.send(client, request):
                self.finished += 1
                self.served.add(caller)
            else:
                # An idle pool admits a burst only as its mean load grows.
                self.refused += 1
                self.started -= 1
                self.served.discard(caller)
                await anyio.sleep(RETRY_S)

    async def send(self, client: httpx.AsyncClient, request: dict) -> bool:
        """Send one request; return whether its answer was whole."""
        last = b""
        async with client.stream("POST", **request) as reply:
            if not reply.is_success:
                await reply.aread()
                return False
            async for piece in reply.aiter_raw():
                self.chunks += piece.count(b'"content":')
                last = piece
        if not last.endswith(END):
            raise AssertionError("an answer was cut")
        return True

    def requests(self) -> float:
        """Return the requests sent; one in progress counts half."""
        return (self.started + self.finished) / 2 + self.refused


@dataclass(frozen=True)
class Sample:
    """What the daemons spent on a number of requests and chunks."""

    requests: float
    chunks: int
    cpu_ms: list[float]


async def sample(fleet: ProcessFleet, tokens: int, idle: list[float]) -> Sample:
    """Measure a window in which all callers are served."""
    callers = Callers(fleet, tokens, CALLERS if tokens > 1 else CALLERS_OF_SHORT)
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=CALLERS)
    async with (
        httpx.AsyncClient(limits=limits, timeout=60, trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        for caller in range(callers.count):
            tasks.start_soon(callers.run, caller, client)
        with anyio.fail_after(RAMP_TIMEOUT_S):
            while len(callers.served) < callers.count:
                await anyio.sleep(POLL_S)
        before, started = cpu_of(fleet), time.monotonic()
        requests, chunks = callers.requests(), callers.chunks
        refused, finished = callers.refused, callers.finished
        await anyio.sleep(WINDOW_S)
        seconds = time.monotonic() - started
        result = Sample(
            callers.requests() - requests,
            callers.chunks - chunks,
            [
                now - then - rate * seconds
                for now, then, rate in zip(cpu_of(fleet), before, idle, strict=True)
            ],
        )
        share = (callers.refused - refused) / (callers.finished - finished)
        if share > MAX_REFUSED_SHARE:
            raise AssertionError(f"{share:.0%} of the requests were refused")
        callers.stopping = True
    return result


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
    for index, name in enumerate(DAEMONS):
        request_ms, chunk_ms = least_squares(samples, index)
        rows += [
            Row(f"{name}: CPU time per request", request_ms, "ms"),
            Row(f"{name}: CPU time per chunk", chunk_ms * US_PER_MS, "us"),
            Row(f"{name}: CPU time of a process without requests", idle[index], "ms/s"),
            Row(f"{name}: resident memory of the process", memory[index], "MiB"),
        ]
    return rows

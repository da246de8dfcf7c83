"""Detection of one slow server among 30, by a router and by the server's sidecar."""

import math
from random import Random

from medlarridge._internal.clock import MS_PER_S, ManualClock
from medlarridge._internal.coordination.outlier import (
    EVALUATE_MS,
    OutlierDetector,
    PoolLatency,
    ServerState,
    Signal,
)

from ..report import Row
from . import measure

SEED = 2204
SERVER_COUNT = 30
SLOW_FACTOR = 4.0
SLOW_FROM_MS = 120_000
SLOW_UNTIL_MS = 600_000
END_MS = 1_800_000
TOKEN_MS = 26
TOKEN_TIME_SIGMA = 0.3
"""Standard deviation of the logarithm of a response's mean time between tokens."""
ROUTER_REQUESTS_PER_S = 13.6
SIDECAR_REQUESTS_PER_S = 4.0


def run_detector(
    requests_per_s: float, servers: list[str], pool: PoolLatency | None
) -> list[Row]:
    """Run one detector while the first server becomes slow and recovers."""
    random = Random(SEED)
    clock = ManualClock()
    detector = OutlierDetector(clock, Random(SEED))
    slow_server = servers[0]
    ejected_ms = returned_ms = math.inf
    wrong_ejections = sent_to_slow = sent_total = 0
    remaining_ms = 0.0
    while clock.now_ms() < END_MS:
        clock.advance(EVALUATE_MS)
        now_ms = clock.now_ms()
        is_slow = SLOW_FROM_MS <= now_ms < SLOW_UNTIL_MS
        remaining_ms += EVALUATE_MS
        while remaining_ms > 0:
            remaining_ms -= random.expovariate(requests_per_s / MS_PER_S)
            server = random.choice(servers)
            if not detector.accepts(server):
                continue
            factor = SLOW_FACTOR if is_slow and server == slow_server else 1.0
            token_ms = TOKEN_MS * factor * random.lognormvariate(0, TOKEN_TIME_SIGMA)
            detector.record(server, None, token_ms)
            if is_slow and ejected_ms < math.inf:
                sent_total += 1
                sent_to_slow += server == slow_server
        for change in detector.evaluate(pool):
            if change.state is ServerState.EJECTED:
                wrong_ejections += change.server != slow_server or not is_slow
                ejected_ms = min(ejected_ms, now_ms)
            elif change.state is ServerState.HEALTHY and now_ms >= SLOW_UNTIL_MS:
                returned_ms = min(returned_ms, now_ms)
    location = "sidecar" if pool else f"router, {SERVER_COUNT} servers"
    name = f"outlier at a {location}"
    share = 100 * sent_to_slow * len(servers) / max(1, sent_total)
    rows = [
        Row(
            f"{name}: until ejected",
            (ejected_ms - SLOW_FROM_MS) / MS_PER_S,
            "s",
            baseline=f"no detection: never; seed {SEED}",
        ),
        Row(
            f"{name}: until taken back",
            (returned_ms - SLOW_UNTIL_MS) / MS_PER_S,
            "s",
        ),
        Row(
            f"{name}: wrong ejections",
            wrong_ejections,
            "in 30 min",
            "0",
            met=wrong_ejections == 0,
        ),
    ]
    if pool is None:
        baseline = "no detection 100 %"
        rows.append(
            Row(f"{name}: share of work while ejected", share, "%", baseline=baseline)
        )
    return rows


@measure.scenario("outlier")
def outlier_rows() -> list[Row]:
    """Measure the detector at a router and at a sidecar."""
    servers = [f"s{number}" for number in range(SERVER_COUNT)]
    pool = PoolLatency({Signal.BETWEEN_TOKENS: math.log(TOKEN_MS)}, SERVER_COUNT, 0)
    return [
        *run_detector(ROUTER_REQUESTS_PER_S, servers, None),
        *run_detector(SIDECAR_REQUESTS_PER_S, servers[:1], pool),
    ]

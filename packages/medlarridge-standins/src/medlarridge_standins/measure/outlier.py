"""Detection of one slow server among 30, at a router and at its own sidecar."""

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
SERVERS = 30
SLOW_FACTOR = 4.0
SLOW_FROM_MS = 120_000
SLOW_UNTIL_MS = 600_000
END_MS = 1_800_000
TOKEN_MS = 26
SPREAD = 0.3
"""Standard deviation of the logarithm of one answer's time between tokens."""
ROUTER_REQUESTS_PER_S = 13.6
SIDECAR_REQUESTS_PER_S = 4.0


def simulate(
    requests_per_s: float, names: list[str], pool: PoolLatency | None
) -> list[Row]:
    """Run one detector over a slow phase of the first server and its recovery."""
    random = Random(SEED)
    clock = ManualClock()
    detector = OutlierDetector(clock, Random(SEED))
    slow = names[0]
    ejected_ms = returned_ms = math.inf
    wrong = sent_slow = sent = 0
    left_ms = 0.0
    while clock.now_ms() < END_MS:
        clock.advance(EVALUATE_MS)
        now = clock.now_ms()
        is_slow = SLOW_FROM_MS <= now < SLOW_UNTIL_MS
        left_ms += EVALUATE_MS
        while left_ms > 0:
            left_ms -= random.expovariate(requests_per_s / MS_PER_S)
            server = random.choice(names)
            if not detector.accepts(server):
                continue
            factor = SLOW_FACTOR if is_slow and server == slow else 1.0
            token_ms = TOKEN_MS * factor * random.lognormvariate(0, SPREAD)
            detector.record(server, None, token_ms)
            if is_slow and ejected_ms < math.inf:
                sent += 1
                sent_slow += server == slow
        for change in detector.evaluate(pool):
            if change.state is ServerState.EJECTED:
                wrong += change.server != slow or not is_slow
                ejected_ms = min(ejected_ms, now)
            elif change.state is ServerState.HEALTHY and now >= SLOW_UNTIL_MS:
                returned_ms = min(returned_ms, now)
    place = "sidecar" if pool else f"router, {SERVERS} servers"
    name = f"outlier at a {place}"
    share = 100 * sent_slow * len(names) / max(1, sent)
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
        Row(f"{name}: wrong ejections", wrong, "in 30 min", "0", met=wrong == 0),
    ]
    if pool is None:
        baseline = "no detection 100 %"
        rows.append(
            Row(f"{name}: share of work while ejected", share, "%", baseline=baseline)
        )
    return rows


@measure.scenario("outlier")
def outlier_rows() -> list[Row]:
    """Measure both places in which the detector runs."""
    names = [f"s{number}" for number in range(SERVERS)]
    pool = PoolLatency({Signal.BETWEEN_TOKENS: math.log(TOKEN_MS)}, SERVERS, 0)
    return [
        *simulate(ROUTER_REQUESTS_PER_S, names, None),
        *simulate(SIDECAR_REQUESTS_PER_S, names[:1], pool),
    ]

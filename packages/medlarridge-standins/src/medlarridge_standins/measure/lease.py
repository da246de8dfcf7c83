"""Takeover time, store calls and double holders of a lease."""

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.coordination.lease import LEASE_MS

from ..lease_trial import TICK_MS, LeaseTrial
from ..report import Row
from . import measure

SEEDS = range(50)
CONTENDERS = 3
STEADY_MS = 600_000
TAKEOVER_LIMIT_MS = 60_000


@measure.scenario("lease")
def lease_rows() -> list[Row]:
    """Pause the holder of a lease and measure the time until another one holds it."""
    takeovers_ms = []
    double_holds = 0
    for seed in SEEDS:
        trial = LeaseTrial(CONTENDERS, seed)
        trial.run(1000)
        holder = [lease.is_held() for lease in trial.leases].index(True)
        elapsed_ms = 0
        while trial.holders() != [2] and elapsed_ms < TAKEOVER_LIMIT_MS:
            trial.run(TICK_MS, paused=(holder,))
            elapsed_ms += TICK_MS
            double_holds += len(trial.holders()) > 1
        takeovers_ms.append(elapsed_ms)
    steady = LeaseTrial(CONTENDERS)
    steady.run(STEADY_MS)
    per_s = MS_PER_S / STEADY_MS
    title = f"lease, {CONTENDERS} contenders, seeds 0-{SEEDS[-1]}"
    lease_text = f"{LEASE_MS / MS_PER_S:g} s lease"
    return [
        Row(
            f"{title}: takeover, worst",
            max(takeovers_ms) / MS_PER_S,
            "s",
            "",
            lease_text,
        ),
        Row(f"{title}: two holders", double_holds, "times", "0", met=double_holds == 0),
        Row(f"{title}: reads", steady.store.calls["get"] * per_s, "per s"),
        Row(
            f"{title}: writes",
            steady.store.calls["put"] * per_s,
            "per s",
            "0.2 (design)",
        ),
    ]

"""Prefix reuse: steady, and while engines and routers come and go."""

from collections.abc import Callable
from dataclasses import replace

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.coordination.reuse_planner import FIRST_TOKEN_TARGET_MS

from ..report import Row
from . import measure
from .pool_model import Counts, PoolModel, PoolModelSettings

STEADY = PoolModelSettings(
    seed=7, engines=30, in_flight=8.0, duration_s=300, warm_up_s=120
)
BASELINES = ("round robin", "least outstanding", "rendezvous")
# Reuse may stay this far below plain rendezvous without a bound.
MAX_LOSS_POINTS = 3.0
# 346 of 4,800 VMs a day are 2.2 of 30 engines; the run holds four days' worth.
# Of the 346, 36 fail.
REPLACE_EVERY_S = 20
REPLACEMENTS = 9
FAILURES_EVERY = 9
FLAP_DOWN_S = 5
FLAP_UP_S = 40

Disturbance = Callable[[PoolModel], None]


def run(settings: PoolModelSettings, disturb: Disturbance | None = None) -> Counts:
    """Run a model with a disturbance at the end of the warm-up."""
    model = PoolModel(settings)
    if disturb is not None:
        model.schedule(settings.warm_up_s * MS_PER_S, disturb, model)
    return model.run()


def rows_for(
    name: str, settings: PoolModelSettings, disturb: Disturbance | None
) -> list[Row]:
    """Return our rows beside plain rendezvous under the same disturbance."""
    plain = run(replace(settings, policy="rendezvous"), disturb)
    ours = run(settings, disturb)
    return our_rows(f"{name}, seed {settings.seed}", ours, plain)


def our_rows(name: str, ours: Counts, plain: Counts) -> list[Row]:
    """Return the figures of a run."""
    target = plain.reuse - MAX_LOSS_POINTS
    scale = 100 / max(1, ours.reusable)
    return [
        Row(
            f"{name}: reuse",
            ours.reuse,
            "% of tokens",
            f">={target:.1f}",
            f"plain rendezvous {plain.reuse:.1f}",
            ours.reuse >= target,
        ),
        Row(f"{name}: found", ours.found * scale, "% of tokens"),
        Row(f"{name}: imported", ours.imported * scale, "% of tokens"),
        Row(f"{name}: prefilled", 100 - ours.reuse, "% of tokens"),
        Row(f"{name}: fetched back", ours.fetched * scale, "% of tokens"),
        Row(f"{name}: attempts", ours.attempts / ours.requests, "per request"),
        Row(
            f"{name}: first token, 95th percentile",
            ours.first_token_p95_ms,
            "ms",
            f"<={FIRST_TOKEN_TARGET_MS}",
            f"plain rendezvous {plain.first_token_p95_ms}",
            ours.first_token_p95_ms <= FIRST_TOKEN_TARGET_MS,
        ),
        Row(f"{name}: waited", ours.wait_ms / ours.requests, "ms"),
        Row(
            f"{name}: worst load over mean",
            ours.worst_skew,
            "ratio",
            baseline=f"plain rendezvous {plain.worst_skew:.2f}",
        ),
        *bound_rows(name, ours),
        Row(
            f"{name}: given up",
            100 * ours.given_up / (ours.requests + ours.given_up),
            "% of requests",
        ),
        Row(
            f"{name}: moved",
            100 * ours.moves / ours.requests,
            "% of requests",
            baseline=f"plain rendezvous {100 * plain.moves / plain.requests:.1f}",
        ),
    ]


def bound_rows(name: str, counts: Counts) -> list[Row]:
    """Return the figures about the load bound."""
    return [
        Row(
            f"{name}: admissions over the bound",
            counts.violations,
            f"of {counts.admissions}",
            "0",
            met=counts.violations == 0,
        ),
        Row(
            f"{name}: above bound x mean at that instant",
            100 * counts.above_instant / max(1, counts.admissions),
            "% of adm.",
        ),
        Row(
            f"{name}: above bound x mean averaged over 2 s",
            100 * counts.above_average / max(1, counts.admissions),
            "% of adm.",
        ),
        Row(
            f"{name}: worst load after admission",
            counts.worst_admission,
            "x mean",
        ),
        Row(
            f"{name}: admissions without a fresh mean",
            100 * counts.stale / max(1, counts.admissions),
            "% of adm.",
        ),
    ]


@measure.scenario("reuse")
def steady() -> list[Row]:
    """Measure reuse in a steady pool with tight caches, beside the baselines."""
    rows = []
    for policy in BASELINES:
        counts = run(replace(STEADY, policy=policy))
        name = f"{policy}, seed {STEADY.seed}"
        rows += [
            Row(f"{name}: reuse", counts.reuse, "% of tokens"),
            Row(f"{name}: worst load over mean", counts.worst_skew, "ratio"),
        ]
    rows += rows_for("steady", STEADY, None)
    tighter = replace(STEADY, cache_share=1.1)
    rows += rows_for("steady, caches 15% smaller", tighter, None)
    releasing = replace(STEADY, releases=True)
    rows += rows_for("steady, engines can drop a prefix", releasing, None)
    lossy = replace(STEADY, datagram_loss=0.05)
    rows += rows_for("steady, 5% of datagrams lost", lossy, None)
    weighted = replace(STEADY, weights=(1.0, 2.0), in_flight=12.0)
    return rows + rows_for("steady, weights 1 and 2", weighted, None)


@measure.scenario("reuse-churn")
def churn() -> list[Row]:
    """Measure reuse while engines are replaced, flap or vanish."""

    def replace_engines(model: PoolModel) -> None:
        addresses = list(model.engines)
        for number in range(REPLACEMENTS):
            graceful = number % FAILURES_EVERY != FAILURES_EVERY // 2
            delay_ms = number * REPLACE_EVERY_S * MS_PER_S
            model.schedule(delay_ms, model.replace, addresses[number], graceful)

    def flap(model: PoolModel) -> None:
        address = next(iter(model.engines))
        model.flap(address, FLAP_DOWN_S * MS_PER_S, FLAP_UP_S * MS_PER_S)

    def lose(model: PoolModel) -> None:
        model.lose_data_centre("dc-0")

    def replace_routers(model: PoolModel) -> None:
        model.replace_routers()

    return [
        *rows_for("target churn, 4 days in 180 s", STEADY, replace_engines),
        *rows_for("one flapping engine", STEADY, flap),
        *rows_for("one of three data centres lost", STEADY, lose),
        *rows_for("all routers replaced", STEADY, replace_routers),
    ]

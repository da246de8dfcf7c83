"""Prefix reuse in a steady pool and while engines and routers are replaced."""

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
# Reuse may be this far below plain rendezvous hashing, which has no load bound.
MAX_REUSE_LOSS_POINTS = 3.0
# 346 of 4,800 VMs are replaced per day, which is 2.2 of 30 engines; a run contains the
# replacements of four days. 36 of the 346 VMs fail, the others are drained.
REPLACE_EVERY_S = 20
REPLACEMENTS = 9
FAILURES_EVERY = 9
FLAP_DOWN_S = 5
FLAP_UP_S = 40

Disturbance = Callable[[PoolModel], None]


def run_model(
    settings: PoolModelSettings, disturb: Disturbance | None = None
) -> Counts:
    """Run a model, with an optional disturbance at the end of the warm-up."""
    model = PoolModel(settings)
    if disturb is not None:
        model.schedule(settings.warm_up_s * MS_PER_S, disturb, model)
    return model.run()


def rows_for(
    name: str, settings: PoolModelSettings, disturb: Disturbance | None
) -> list[Row]:
    """Return the rows of the planner, with plain rendezvous hashing as the baseline.

    Both run under the same disturbance.
    """
    rendezvous = run_model(replace(settings, policy="rendezvous"), disturb)
    planned = run_model(settings, disturb)
    return reuse_rows(f"{name}, seed {settings.seed}", planned, rendezvous)


def reuse_rows(name: str, planned: Counts, rendezvous: Counts) -> list[Row]:
    """Return the rows of a run."""
    min_reuse = rendezvous.reuse_percent - MAX_REUSE_LOSS_POINTS
    percent_per_token = 100 / max(1, planned.reusable_tokens)
    return [
        Row(
            f"{name}: reuse",
            planned.reuse_percent,
            "% of tokens",
            f">={min_reuse:.1f}",
            f"plain rendezvous {rendezvous.reuse_percent:.1f}",
            planned.reuse_percent >= min_reuse,
        ),
        Row(f"{name}: found", planned.found_tokens * percent_per_token, "% of tokens"),
        Row(
            f"{name}: imported",
            planned.imported_tokens * percent_per_token,
            "% of tokens",
        ),
        Row(f"{name}: prefilled", 100 - planned.reuse_percent, "% of tokens"),
        Row(
            f"{name}: fetched back",
            planned.fetched_tokens * percent_per_token,
            "% of tokens",
        ),
        Row(f"{name}: attempts", planned.attempts / planned.requests, "per request"),
        Row(
            f"{name}: first token, 95th percentile",
            planned.first_token_p95_ms,
            "ms",
            f"<={FIRST_TOKEN_TARGET_MS}",
            f"plain rendezvous {rendezvous.first_token_p95_ms}",
            planned.first_token_p95_ms <= FIRST_TOKEN_TARGET_MS,
        ),
        Row(f"{name}: waited", planned.wait_ms / planned.requests, "ms"),
        Row(
            f"{name}: worst load over mean",
            planned.worst_skew,
            "ratio",
            baseline=f"plain rendezvous {rendezvous.worst_skew:.2f}",
        ),
        *bound_rows(name, planned),
        Row(
            f"{name}: given up",
            100 * planned.given_up / (planned.requests + planned.given_up),
            "% of requests",
        ),
        Row(
            f"{name}: moved",
            100 * planned.moves / planned.requests,
            "% of requests",
            baseline=f"plain rendezvous {100 * rendezvous.moves / rendezvous.requests:.1f}",
        ),
    ]


def bound_rows(name: str, counts: Counts) -> list[Row]:
    """Return the rows about the load bound."""
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
            100 * counts.above_current_mean / max(1, counts.admissions),
            "% of adm.",
        ),
        Row(
            f"{name}: above bound x mean averaged over 2 s",
            100 * counts.above_window_mean / max(1, counts.admissions),
            "% of adm.",
        ),
        Row(
            f"{name}: worst load after admission",
            counts.worst_admission_load,
            "x mean",
        ),
        Row(
            f"{name}: admissions without a fresh mean",
            100 * counts.stale_admissions / max(1, counts.admissions),
            "% of adm.",
        ),
    ]


@measure.scenario("reuse")
def steady() -> list[Row]:
    """Measure reuse in a steady pool with small caches, for all policies."""
    rows = []
    for policy in BASELINES:
        counts = run_model(replace(STEADY, policy=policy))
        name = f"{policy}, seed {STEADY.seed}"
        rows += [
            Row(f"{name}: reuse", counts.reuse_percent, "% of tokens"),
            Row(f"{name}: worst load over mean", counts.worst_skew, "ratio"),
        ]
    rows += rows_for("steady", STEADY, None)
    tighter = replace(STEADY, cache_share=1.1)
    rows += rows_for("steady, caches 15% smaller", tighter, None)
    releasing = replace(STEADY, engine_can_release=True)
    rows += rows_for("steady, engines can drop a prefix", releasing, None)
    lossy = replace(STEADY, datagram_loss=0.05)
    rows += rows_for("steady, 5% of datagrams lost", lossy, None)
    weighted = replace(STEADY, weights=(1.0, 2.0), in_flight=12.0)
    return rows + rows_for("steady, weights 1 and 2", weighted, None)


@measure.scenario("reuse-churn")
def churn() -> list[Row]:
    """Measure reuse while engines and routers are replaced, flap or fail."""

    def replace_engines(model: PoolModel) -> None:
        addresses = list(model.engines)
        for number in range(REPLACEMENTS):
            graceful = number % FAILURES_EVERY != FAILURES_EVERY // 2
            delay_ms = number * REPLACE_EVERY_S * MS_PER_S
            model.schedule(delay_ms, model.replace, addresses[number], graceful)

    def flap(model: PoolModel) -> None:
        address = next(iter(model.engines))
        model.flap(address, FLAP_DOWN_S * MS_PER_S, FLAP_UP_S * MS_PER_S)

    def lose_data_centre(model: PoolModel) -> None:
        model.lose_data_centre("dc-0")

    def replace_routers(model: PoolModel) -> None:
        model.replace_routers()

    return [
        *rows_for("target churn, 4 days in 180 s", STEADY, replace_engines),
        *rows_for("one flapping engine", STEADY, flap),
        *rows_for("one of three data centres lost", STEADY, lose_data_centre),
        *rows_for("all routers replaced", STEADY, replace_routers),
    ]

"""Load skew: the ratio of the highest load of an engine to the mean of its pool."""

from dataclasses import replace

from medlarridge._internal.clock import MS_PER_S

from ..report import Row
from . import measure
from .pool_model import PoolModel, PoolModelSettings
from .reuse import Disturbance, bound_rows, run_model

SMALL = PoolModelSettings(seed=5, engines=10, duration_s=180, warm_up_s=60)
LARGE = PoolModelSettings(
    seed=5, engines=460, duration_s=30, warm_up_s=18, chats_per_engine=30
)
BASELINES = ("round robin", "least outstanding")
SURGE_FACTOR = 2.0
SURGE_S = 10
REPORT_LAG_MS = 1000


def surge(model: PoolModel) -> None:
    """Let one account double the load of the pool for ``SURGE_S``."""
    model.surge(SURGE_FACTOR, model.clock.now_ms() + SURGE_S * MS_PER_S)


def rows_for(
    name: str,
    settings: PoolModelSettings,
    disturb: Disturbance | None,
    baselines: tuple[str, ...] = BASELINES,
) -> list[Row]:
    """Return the rows of skew and load bound, with the skew of the baselines."""
    baseline = []
    for policy in baselines:
        counts = run_model(replace(settings, policy=policy), disturb)
        mean_skew = counts.skew_sum / counts.skew_samples
        baseline.append(f"{policy} {counts.worst_skew:.2f}, mean {mean_skew:.2f}")
    planned = run_model(settings, disturb)
    name = f"{name}, {settings.engines} engines, seed {settings.seed}"
    return [
        Row(
            f"{name}: worst skew", planned.worst_skew, "ratio", "", "; ".join(baseline)
        ),
        Row(f"{name}: mean skew", planned.skew_sum / planned.skew_samples, "ratio"),
        Row(
            f"{name}: given up",
            100 * planned.given_up / (planned.requests + planned.given_up),
            "% of requests",
        ),
        *bound_rows(name, planned),
    ]


@measure.scenario("skew")
def skew() -> list[Row]:
    """Measure the skew in a small and in a large pool."""
    rows = []
    for settings in (SMALL, LARGE):
        rows += rows_for("steady", settings, None)
        rows += rows_for("one account surges", settings, surge)
        lagging = replace(settings, report_lag_ms=REPORT_LAG_MS)
        rows += rows_for("reports 1 s late", lagging, None, ())
    return rows

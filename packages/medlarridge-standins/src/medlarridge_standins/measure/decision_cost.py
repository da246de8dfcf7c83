"""CPU time of one routing or admission decision on this machine."""

import time
from collections.abc import Callable

from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.coordination.reuse_planner import Run

from ..planner_cluster import PlannerCluster, make_member
from ..report import Row
from . import measure

POOL_SIZE = 460
DECISIONS = 5000
BATCH_SIZE = 500
# Routing a request in a pool of 460 engines should take some tens of microseconds.
MAX_DECISION_US = 100.0


def min_cpu_us(action: Callable[[int], None]) -> float:
    """Return the CPU time of an action in microseconds, from the fastest batch.

    Other processes on the machine slow some batches down.
    """
    batches = []
    for first in range(0, DECISIONS, BATCH_SIZE):
        started = time.process_time_ns()
        for number in range(first, first + BATCH_SIZE):
            action(number)
        batches.append((time.process_time_ns() - started) / BATCH_SIZE / 1000)
    return min(batches)


def limit_row(name: str, value: float) -> Row:
    """Return a row whose target is the limit for one decision."""
    met = value <= MAX_DECISION_US
    return Row(name, value, "us", f"<={MAX_DECISION_US:g}", met=met)


@measure.scenario("decision-cost")
def decision_cost() -> list[Row]:
    """Measure ranking at a router and a decision at a sidecar."""
    placement = Placement([make_member(number) for number in range(POOL_SIZE)])
    cluster = PlannerCluster(1)
    cluster.advance(1000)
    planner = next(iter(cluster.planners.values()))
    requests = [cluster.request(f"chat-{n}", 100, 10) for n in range(DECISIONS)]

    def decide(number: int) -> None:
        request = requests[number]
        if not isinstance(planner.plan(request), Run):
            raise AssertionError("an idle engine refused a request")
        planner.progress(request.id, 5)
        planner.finish(request.id, 0, 0, 110)

    return [
        limit_row(
            f"rank the first 4 of {POOL_SIZE} engines",
            min_cpu_us(lambda n: placement.rank(f"chat-{n}", 4, "r")),
        ),
        limit_row("plan, progress and finish at a sidecar", min_cpu_us(decide)),
    ]

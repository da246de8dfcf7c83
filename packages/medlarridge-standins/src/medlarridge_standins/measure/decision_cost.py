"""CPU time of one decision on this machine."""

import time
from collections.abc import Callable

from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.coordination.reuse_planner import Run

from ..planner_cluster import PlannerCluster, make_member
from ..report import Row
from . import measure

POOL = 460
DECISIONS = 5000
# Tens of microseconds to route one request in a pool of 460.
MAX_DECISION_US = 100.0


def time_us(action: Callable[[int], None]) -> float:
    """Return the CPU time of an action in microseconds."""
    started = time.process_time_ns()
    for number in range(DECISIONS):
        action(number)
    return (time.process_time_ns() - started) / DECISIONS / 1000


def row(name: str, value: float) -> Row:
    """Return a row with the limit of one decision."""
    met = value <= MAX_DECISION_US
    return Row(name, value, "us", f"<={MAX_DECISION_US:g}", met=met)


@measure.scenario("decision-cost")
def decision_cost() -> list[Row]:
    """Measure ranking at a router and a decision at a sidecar."""
    placement = Placement([make_member(number) for number in range(POOL)])
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
        row(
            f"rank the first 4 of {POOL} engines",
            time_us(lambda n: placement.rank(f"chat-{n}", 4, "r")),
        ),
        row("plan, progress and finish at a sidecar", time_us(decide)),
    ]

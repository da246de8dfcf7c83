"""Attempts per request of one router while half of a pool, or all of it, fails."""

from dataclasses import dataclass
from random import Random

from medlarridge._internal.clock import MS_PER_S, ManualClock
from medlarridge._internal.coordination import retry
from medlarridge._internal.identity import Instance, Member, Role

from ..report import Row
from . import measure

SEED = 2202
REQUESTS_PER_S = 13.6
RUN_MS = 600_000
POOL = "pool"
MEMBERS = [
    Member(Instance(f"{data_centre}{number}", 1, data_centre, "r", Role.SIDECAR), POOL)
    for number in range(10)
    for data_centre in ("a", "b", "c")
]
TARGET_ATTEMPTS = 1.2
"""Retries of 10% of the requests, plus the floor and the initially full bucket."""


@dataclass
class UnlimitedBudget(retry.RetryBudget):
    """Retry budget without a limit, used as the baseline."""

    def take(self) -> bool:
        """Return True for every retry."""
        return True


@dataclass(frozen=True)
class Result:
    """Attempts per request, and the share of requests that succeed."""

    attempts: float
    succeeded_percent: float


def simulate(with_budget: bool, failing: set[str]) -> Result:
    """Send requests to a pool in which attempts at some members are never sent."""
    random = Random(SEED)
    clock = ManualClock()
    planner = retry.RetryPlanner(clock, Random(SEED))
    if not with_budget:
        planner.budgets[POOL] = UnlimitedBudget(clock)
    requests = attempts = succeeded = 0
    while clock.now_ms() < RUN_MS:
        clock.advance(1 + int(random.expovariate(REQUESTS_PER_S / MS_PER_S)))
        requests += 1
        planner.add_request(POOL)
        ranked = random.sample(MEMBERS, len(MEMBERS))
        first = ranked[0].instance
        target = retry.Target(first.address, 1, POOL, first.data_centre)
        history: list[retry.FailedAttempt] = []
        while True:
            attempts += 1
            if target.address not in failing:
                succeeded += 1
                break
            history.append(retry.NeverSent(target))
            plan = planner.plan(
                retry.RetryContext(history, 10_000, True, [POOL], {POOL: ranked})
            )
            if isinstance(plan, retry.GiveUp):
                break
            target = plan.target
    return Result(attempts / requests, 100 * succeeded / requests)


@measure.scenario("retry")
def retry_rows() -> list[Row]:
    """Compare the attempts with and without the retry budget."""
    rows = []
    names = [member.instance.address for member in MEMBERS]
    cases = {"half of the pool": set(names[::2]), "the whole pool": set(names)}
    for case, failing in cases.items():
        limited = simulate(True, failing)
        unlimited = simulate(False, failing)
        rows += [
            Row(
                f"retry, {case} fails: attempts per request",
                limited.attempts,
                "attempts",
                f"<= {TARGET_ATTEMPTS}",
                f"no budget {unlimited.attempts:.2f}; seed {SEED}",
                limited.attempts <= TARGET_ATTEMPTS,
            ),
            Row(
                f"retry, {case} fails: requests that succeed",
                limited.succeeded_percent,
                "%",
                baseline=f"no budget {unlimited.succeeded_percent:.1f} %",
            ),
        ]
    return rows

"""Retry failed requests until the retry budget of the pool is exhausted."""

from collections import Counter
from random import Random

from medlarridge import Instance, ManualClock, Member, Role
from medlarridge.coordination import (
    NeverSent,
    RetryAttempt,
    RetryContext,
    RetryPlanner,
    Target,
    Unanswered,
)

POOL = "asistente-frio"
REQUESTS = 200


def member(number: int) -> Member:
    """Return one member of the pool."""
    address = f"10.0.0.{number}:7200"
    instance = Instance(address, number, "manzanillo-a", "pacifico-mx", Role.SIDECAR)
    return Member(instance, POOL)


ranked = {POOL: [member(number) for number in (1, 2, 3)]}
first = Target("10.0.0.1:7200", 1, POOL, "manzanillo-a")
planner = RetryPlanner(ManualClock(), Random(7))


def failed(failed_attempt: NeverSent | Unanswered, repeatable: bool) -> RetryContext:
    """Return the context of a request whose first attempt failed."""
    return RetryContext([failed_attempt], 5_000, repeatable, [POOL], ranked)


# All servers of the pool fail: the budget allows a small burst, then retries for a
# tenth of the requests.
outcomes: Counter[str] = Counter()
for _ in range(REQUESTS):
    planner.count_request(POOL)
    plan = planner.plan(failed(NeverSent(first), repeatable=True))
    outcomes["retry" if isinstance(plan, RetryAttempt) else plan.reason.value] += 1
print("requests:", REQUESTS, "answers:", dict(sorted(outcomes.items())))

planner = RetryPlanner(ManualClock(), Random(7))
plan = planner.plan(failed(NeverSent(first), repeatable=False))
print("never sent, not repeatable: next", plan.target.address)
plan = planner.plan(failed(Unanswered(first), repeatable=True))
print("unanswered, repeatable: next", plan.target.address)
plan = planner.plan(failed(Unanswered(first), repeatable=False))
print("unanswered, not repeatable:", plan.outcome.value, plan.reason.value)

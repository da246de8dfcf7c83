"""Retry refused requests until the budget of the pool is used up."""

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


def failed(past: NeverSent | Unanswered, repeatable: bool) -> RetryContext:
    """Return a request whose first attempt ended like this."""
    return RetryContext([past], 5_000, repeatable, [POOL], ranked)


# The whole pool fails: the budget allows one retry in ten, and a small burst.
answers: Counter[str] = Counter()
for _ in range(REQUESTS):
    planner.count_request(POOL)
    plan = planner.plan(failed(NeverSent(first), repeatable=True))
    answers["retry" if isinstance(plan, RetryAttempt) else plan.reason.value] += 1
print("requests:", REQUESTS, "answers:", dict(sorted(answers.items())))

planner = RetryPlanner(ManualClock(), Random(7))
plan = planner.plan(failed(NeverSent(first), repeatable=False))
print("never sent, not repeatable: next", plan.target.address)
plan = planner.plan(failed(Unanswered(first), repeatable=True))
print("unanswered, repeatable: next", plan.target.address)
plan = planner.plan(failed(Unanswered(first), repeatable=False))
print("unanswered, not repeatable:", plan.outcome.value, plan.reason.value)

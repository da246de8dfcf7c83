"""CPU time per operation of the fair queue, account limits, retries and crash guard."""

import time
from collections.abc import Callable
from random import Random

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.account_limits import (
    AccountLimiter,
    LimitDirectory,
    LimitKey,
)
from medlarridge._internal.coordination.crash_guard import CrashGuard
from medlarridge._internal.coordination.fair_queue import (
    FairQueue,
    QueueEntry,
    QueueLimits,
)
from medlarridge._internal.coordination.retry import (
    NeverSent,
    RetryContext,
    RetryPlanner,
    Target,
)
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.tables import AccountLimit

from ..report import Row
from . import capacity

SEED = 2206
ROUNDS = 20_000
NS_PER_US = 1_000
WORK_TOKENS = 1_000


class FixedLimitDirectory(LimitDirectory):
    """Directory with the same limit for all accounts and a separate home for each."""

    def __init__(self) -> None:
        self.limit = AccountLimit(requests_per_s=100_000, burst=1_000_000)

    def home_of(self, key: LimitKey) -> str:
        """Return the name of the account as its home."""
        return key.account

    def limit_of(self, key: LimitKey) -> AccountLimit | None:
        """Return the limit that applies to every account."""
        return self.limit

    def random_peers(self, count: int) -> list[str]:
        """Return an empty list; there are no other routers."""
        return []


def mean_cpu_us(operation: Callable[[int], object]) -> float:
    """Return the mean CPU time of an operation in microseconds."""
    start = time.process_time_ns()
    for number in range(ROUNDS):
        operation(number)
    return (time.process_time_ns() - start) / ROUNDS / NS_PER_US


def queue_cycle_us(accounts: int) -> float:
    """Return the CPU time to queue, start and finish one entry, in microseconds.

    Each account has a backlog of two entries.
    """
    clock = ManualClock()
    queue = FairQueue(
        clock,
        Random(SEED),
        lambda work: queue.running_tokens + work <= 40 * WORK_TOKENS,
        QueueLimits(max_entries=10 * accounts),
    )
    for number in range(2 * accounts):
        name = str(number % accounts)
        queue.offer(QueueEntry(f"b{number}", name, WORK_TOKENS, 10**9))
    queue.dispatch()

    def cycle(number: int) -> None:
        name = str(number % accounts)
        queue.offer(QueueEntry(str(number), name, WORK_TOKENS, 10**9))
        queue.finish(next(iter(queue.running)))
        queue.dispatch()

    return mean_cpu_us(cycle)


@capacity.scenario("fairness")
def fairness_rows() -> list[Row]:
    """Measure each component with the state of a process at the target size."""
    clock = ManualClock()
    limiter = AccountLimiter(clock, Random(SEED), "own", 1, FixedLimitDirectory())
    guard = CrashGuard(clock, "server")
    planner = RetryPlanner(clock, Random(SEED))
    members = [
        Member(Instance(str(number), 1, "ab"[number % 2], "r", Role.SIDECAR), "pool")
        for number in range(8)
    ]
    target = Target("0", 1, "pool", "a")
    request = RetryContext(
        [NeverSent(target)], 9_000, True, ["pool"], {"pool": members}
    )

    def report_round(number: int) -> None:
        for account in range(14):
            limiter.admit("route", str(account))
        limiter.tick()

    def admit_and_finish(number: int) -> None:
        guard.admit(str(number), "route", str(number))
        guard.finished(str(number), succeeded=True)

    figures = {
        "queue, start and finish, 10 accounts wait": queue_cycle_us(10),
        "queue, start and finish, 1,000 accounts wait": queue_cycle_us(1_000),
        "account limit, one request": mean_cpu_us(
            lambda number: limiter.admit("route", str(number % 14))
        ),
        "account limits, 14 requests and one report round": mean_cpu_us(report_round),
        "retry, one plan among 8 ranked members": mean_cpu_us(
            lambda number: planner.plan(request)
        ),
        "crash guard, one request that is no suspect": mean_cpu_us(admit_and_finish),
    }
    return [
        Row(f"fairness: {name}", value, "us", baseline=f"seed {SEED}")
        for name, value in figures.items()
    ]

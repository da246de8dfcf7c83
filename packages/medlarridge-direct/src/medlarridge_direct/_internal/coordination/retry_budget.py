"""Share of a pool's retry budget that one router may use.

The budget holds for all routers together. Each spends its own share, so that no call
is needed: a ratio of the requests that it sees, and an equal part of the slack.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from medlarridge._internal.clock import MS_PER_S, Clock

SAFETY = 0.8
"""Part of the budget that is used; windows of the routers do not coincide."""


class RetryBudgetLimits(Protocol):
    """Retries allowed in a sliding window: a ratio of the requests, plus a slack."""

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class PoolBudget:
    """Requests and retries of one pool in the window."""

    requests: deque[int] = field(default_factory=deque)
    retries: deque[int] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudget:
    """Counts requests and retries of each pool; ``routers`` is the number of peers."""

    clock: Clock
    limits: RetryBudgetLimits
    router_count: int = 1
    pools: dict[str, PoolBudget] = field(default_factory=dict)

    def count_request(self, pool: str) -> None:
        """Count a request of a client."""
        entry = self.entry(pool)
        entry.requests.append(self.clock.now_ms())

    def remaining(self, pool: str) -> float:
        """Return how many retries this router may still send now."""
        entry = self.entry(pool)
        own = self.limits.ratio * len(entry.requests)
        share = self.limits.slack / max(self.router_count, 1)
        return SAFETY * (own + share) - len(entry.retries)

    def take(self, pool: str) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.remaining(pool) < 1:
            return False
        self.entry(pool).retries.append(self.clock.now_ms())
        return True

    def entry(self, pool: str) -> PoolBudget:
        """Return the counts of a pool without those that left the window."""
        entry = self.pools.setdefault(pool, PoolBudget())
        oldest_ms = self.clock.now_ms() - int(self.limits.window_s * MS_PER_S)
        for times in (entry.requests, entry.retries):
            while times and times[0] < oldest_ms:
                times.popleft()
        return entry

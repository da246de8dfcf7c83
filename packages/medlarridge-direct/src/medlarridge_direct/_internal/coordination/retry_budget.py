"""Retry budget of each pool.

The budget limits the retries of all routers together. To avoid coordination calls, each
router spends only its own share: a ratio of the requests that it receives, and an equal
part of the slack.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from medlarridge._internal.clock import MS_PER_S, Clock

SAFETY_FACTOR = 0.8
"""Share of the budget that is spent. The rest is a margin, since the sliding windows of
the routers do not coincide."""


class RetryBudgetLimits(Protocol):
    """Retries allowed in a sliding window: a ratio of the requests, plus a slack.

    The limits hold for all routers together.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class PoolWindow:
    """Times of the requests and retries of one pool in the window."""

    requests: deque[int] = field(default_factory=deque)
    retries: deque[int] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudget:
    """Share of this router in the budgets of all pools.

    ``router_count`` is the number of live routers, including this one.
    """

    clock: Clock
    limits: RetryBudgetLimits
    router_count: int = 1
    pools: dict[str, PoolWindow] = field(default_factory=dict)

    def count_request(self, pool: str) -> None:
        """Count a request from a client."""
        window = self.window(pool)
        window.requests.append(self.clock.now_ms())

    def remaining(self, pool: str) -> float:
        """Return the number of retries that this router may still send now."""
        window = self.window(pool)
        ratio_share = self.limits.ratio * len(window.requests)
        allowed = SAFETY_FACTOR * (ratio_share + self.slack_share())
        return allowed - len(window.retries)

    def slack_share(self) -> float:
        """Return this router's share of the slack."""
        return self.limits.slack / max(self.router_count, 1)

    def take(self, pool: str) -> bool:
        """Take one retry from the budget; return whether one was available."""
        if self.remaining(pool) < 1:
            return False
        self.window(pool).retries.append(self.clock.now_ms())
        return True

    def window(self, pool: str) -> PoolWindow:
        """Return the window of a pool after dropping the times that left it."""
        window = self.pools.setdefault(pool, PoolWindow())
        oldest_ms = self.clock.now_ms() - int(self.limits.window_s * MS_PER_S)
        for times in (window.requests, window.retries):
            while times and times[0] < oldest_ms:
                times.popleft()
        return window

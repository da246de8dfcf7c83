"""Retry budget of each pool.

The budget limits the retries of all routers together. To avoid coordination calls, each
router spends only its own share: a ratio of the requests that it receives, and an equal
part of the slack. The shares must add up to the budget whatever the routers know of each
other, and although a router that was killed has forgotten what it spent.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from medlarridge._internal.clock import MS_PER_S, Clock

from .fleet_size import FleetSize

SAFETY_FACTOR = 0.8
"""Share of the budget that is spent. The rest is a margin, since the sliding windows of
the routers do not coincide."""

FIRST_WINDOW_FACTOR = 0.25
"""Factor applied to the ratio in the first window after a start. An earlier process of
this router may have spent its share in this window; both together stay within
``SAFETY_FACTOR * (1 + FIRST_WINDOW_FACTOR)`` of one share."""


class RetryBudgetLimits(Protocol):
    """Retries allowed in a sliding window: a ratio of the requests, plus a slack.

    The limits hold for all routers together.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class PoolWindow:
    """Times of the requests and retries of one pool in the window.

    ``open_retries`` were sent and are not yet known to have arrived or failed.
    """

    requests: deque[int] = field(default_factory=deque)
    retries: deque[int] = field(default_factory=deque)
    open_retries: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Share of this router in the budgets of all pools."""

    clock: Clock
    limits: RetryBudgetLimits
    fleet_size: FleetSize
    pools: dict[str, PoolWindow] = field(default_factory=dict)
    started_ms: int = field(init=False)

    def __post_init__(self) -> None:
        self.started_ms = self.clock.now_ms()

    def count_request(self, pool: str) -> None:
        """Count a request from a client."""
        window = self.window(pool)
        window.requests.append(self.clock.now_ms())

    def remaining(self, pool: str) -> float:
        """Return the number of retries that this router may still send now."""
        window = self.window(pool)
        ratio_share = self.limits.ratio * len(window.requests)
        if self.clock.now_ms() - self.started_ms < self.window_ms:
            ratio_share *= FIRST_WINDOW_FACTOR
        allowed = SAFETY_FACTOR * (ratio_share + self.slack_share())
        return allowed - len(window.retries)

    def slack_share(self) -> float:
        """Return this router's share of the slack."""
        if not self.fleet_size.is_settled(self.window_ms):
            return 0.0
        return self.limits.slack / self.fleet_size.count

    @property
    def window_ms(self) -> int:
        """Return the length of the sliding window."""
        return int(self.limits.window_s * MS_PER_S)

    def take(self, pool: str) -> bool:
        """Take one retry from the budget; return whether one was available.

        ``end_retry`` must follow.
        """
        if self.remaining(pool) < 1:
            return False
        window = self.window(pool)
        window.retries.append(self.clock.now_ms())
        window.open_retries += 1
        return True

    def end_retry(self, pool: str) -> None:
        """Record that a retry has arrived, or cannot arrive any more."""
        self.window(pool).open_retries -= 1

    def open_retries(self) -> int:
        """Return how many retries may still be on their way."""
        return sum(window.open_retries for window in self.pools.values())

    def window(self, pool: str) -> PoolWindow:
        """Return the window of a pool after dropping the times that left it."""
        window = self.pools.setdefault(pool, PoolWindow())
        oldest_ms = self.clock.now_ms() - self.window_ms
        for times in (window.requests, window.retries):
            while times and times[0] < oldest_ms:
                times.popleft()
        return window

"""Order of urgency among requests that want more permits than there are.

Permits come free one at a time, so whoever asks next would get them. Instead each rank
of urgency is admitted with the share of its demand that is left for it after the more
urgent ones, but at least a small share of all permits, so that none is starved.
"""

from collections import deque

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from .permit_ledger import WINDOW_MS

RANKS = 3
"""Ranks of urgency; all less urgent requests are of the last one."""

LEAST_SHARE = 0.1
"""Share of the permits for which each rank may compete."""


class PermitDemand(Struct):
    """The asks for permits of one pool in the last window: times and ranks."""

    clock: Clock
    asks: deque[tuple[int, int]] = field(default_factory=deque)
    counts: list[int] = field(default_factory=lambda: [0] * RANKS)

    def count(self, rank: int) -> None:
        """Count an ask."""
        rank = min(max(rank, 0), RANKS - 1)
        self.asks.append((self.clock.now_ms(), rank))
        self.counts[rank] += 1
        while self.asks[0][0] <= self.clock.now_ms() - WINDOW_MS:
            _, old_rank = self.asks.popleft()
            self.counts[old_rank] -= 1

    def admitted_share(self, rank: int, permits: float) -> float:
        """Return the share of the asks of a rank that may have a permit.

        ``permits`` is the number of permits in a window.
        """
        rank = min(max(rank, 0), RANKS - 1)
        left = permits
        least = [min(count, LEAST_SHARE * left) for count in self.counts]
        for each in range(rank):
            left -= min(self.counts[each], left - sum(least[each + 1 :]))
        admitted = max(left - sum(least[rank + 1 :]), least[rank])
        return min(admitted / max(self.counts[rank], 1), 1.0)

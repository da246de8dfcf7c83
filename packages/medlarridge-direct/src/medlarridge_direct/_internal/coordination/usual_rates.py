"""Usual rates of client accounts, to tell a surge from ordinary traffic."""

from collections.abc import Mapping

from msgspec import Struct, field

FACTOR = 2.0
ALLOWANCE_PER_S = 3.0
"""Rate up to which an account counts as within its usual one: rates of a single second
vary that much."""

INTERVAL_MS = 1_000
WEIGHT = 1 / 30
"""The rates are moving averages over about 30 s."""

LEARNING_INTERVALS = 10
"""Intervals in which present rates are taken for usual ones: a router that starts cannot
tell which accounts send more than usual."""

MAX_ACCOUNTS = 2_048
"""Accounts of a pool that are kept; once there are more, unknown ones are within theirs."""

MIN_PER_S = 0.05
"""Rate below which an account is forgotten."""


class UsualRates(Struct):
    """Usual rates in requests a second by account key, of one pool.

    ``intervals`` counts those in which the rates were learned.
    """

    per_s: dict[int, float] = field(default_factory=dict)
    learned_ms: int = 0
    intervals: int = 0

    def is_due(self, now_ms: int) -> bool:
        """Return whether the rates are to be learned again."""
        return now_ms - self.learned_ms >= INTERVAL_MS

    def learn(self, rates: Mapping[int, float], now_ms: int) -> None:
        """Follow the present rates."""
        self.learned_ms = now_ms
        self.intervals += 1
        weight = max(WEIGHT, 1 / self.intervals)
        for key in rates.keys() | self.per_s.keys():
            usual = self.per_s.get(key, 0.0)
            usual += weight * (rates.get(key, 0.0) - usual)
            has_room = key in self.per_s or len(self.per_s) < MAX_ACCOUNTS
            if usual >= MIN_PER_S and has_room:
                self.per_s[key] = usual
            else:
                self.per_s.pop(key, None)

    def excess(self, rates: Mapping[int, float], fair_per_s: float) -> dict[int, float]:
        """Return by how much accounts exceed their usual rate and a fair share."""
        knows_all = (
            self.intervals >= LEARNING_INTERVALS and len(self.per_s) < MAX_ACCOUNTS
        )
        excess = {}
        for key, rate in rates.items():
            usual = self.per_s.get(key, 0.0 if knows_all else rate)
            allowed = max(FACTOR * usual + ALLOWANCE_PER_S, fair_per_s)
            if rate > allowed:
                excess[key] = rate - allowed
        return excess

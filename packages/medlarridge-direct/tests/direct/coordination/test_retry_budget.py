from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.retry_budget import RetryBudget
from medlarridge_direct._internal.settings import RetrySettings

RATIO, SLACK, WINDOW_S = 0.2, 50, 10


def make_budget(clock, router_count=1):
    limits = RetrySettings(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
    return RetryBudget(clock, limits, router_count)


def take_all(budget):
    taken = 0
    while budget.take("models"):
        taken += 1
    return taken


class TestRetryBudget:
    def test_all_routers_together_stay_within_the_budget(self):
        """Guards against a retry storm in which no single router exceeds the budget."""
        clock = ManualClock(1_000_000)
        total = 0
        for _ in range(5):
            budget = make_budget(clock, router_count=5)
            for _ in range(100):
                budget.count_request("models")
            total += take_all(budget)
        assert 0 < total <= RATIO * 500 + SLACK

    def test_the_window_slides(self):
        """Guards against a budget that is never refilled once it is spent."""
        clock = ManualClock(1_000_000)
        budget = make_budget(clock)
        assert take_all(budget) > 0
        assert take_all(budget) == 0
        clock.advance(WINDOW_S * 1_000 + 1)
        assert take_all(budget) > 0

    def test_each_pool_has_its_own_budget(self):
        """Guards against a failing pool that spends the retries of another."""
        clock = ManualClock(1_000_000)
        budget = make_budget(clock)
        take_all(budget)
        assert budget.take("ledger")

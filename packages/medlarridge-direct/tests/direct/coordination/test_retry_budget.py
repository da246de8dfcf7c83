from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.retry_budget import RetryBudget
from medlarridge_direct._internal.settings import RetrySettings

RATIO, SLACK, WINDOW_S = 0.2, 50, 10


def make_budget(clock, routers=1):
    bounds = RetrySettings(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
    return RetryBudget(clock, bounds, routers)


def take_all(budget):
    taken = 0
    while budget.take("models"):
        taken += 1
    return taken


class TestRetryBudget:
    def test_all_routers_together_stay_within_the_bound(self):
        """Guards against a retry storm that each router finds modest."""
        clock = ManualClock(1_000_000)
        total = 0
        for _ in range(5):
            budget = make_budget(clock, routers=5)
            for _ in range(100):
                budget.count_request("models")
            total += take_all(budget)
        assert 0 < total <= RATIO * 500 + SLACK

    def test_the_window_slides(self):
        """Guards against a budget that is used up for good."""
        clock = ManualClock(1_000_000)
        budget = make_budget(clock)
        assert take_all(budget) > 0
        assert take_all(budget) == 0
        clock.advance(WINDOW_S * 1_000 + 1)
        assert take_all(budget) > 0

    def test_pools_do_not_share(self):
        """Guards against a failing pool that uses up the retries of another."""
        clock = ManualClock(1_000_000)
        budget = make_budget(clock)
        take_all(budget)
        assert budget.take("ledger")

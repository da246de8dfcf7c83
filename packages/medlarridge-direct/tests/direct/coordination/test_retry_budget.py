from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.fleet_size import (
    COUNT_RETENTION_MS,
    JOIN_DELAY_MS,
    REGISTRY_VALIDITY_MS,
    UNKNOWN_FLEET_SIZE,
    FleetSize,
)
from medlarridge_direct._internal.coordination.retry_budget import (
    NETWORK_DELAY_MS,
    SLOT_MS,
    RetryBudget,
    RetryEnd,
)
from medlarridge_direct._internal.settings import RetrySettings

RATIO, SLACK, WINDOW_S = 0.2, 50, 10


def make_budget(clock, router_count=1):
    """Return the budget of a router that has known its fleet for long enough."""
    limits = RetrySettings(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
    budget = RetryBudget(clock, limits, FleetSize(clock))
    budget.fleet_size.record_joined()
    clock.advance(JOIN_DELAY_MS + WINDOW_S * 1_000)
    budget.fleet_size.record_own_reading(router_count, clock.now_ms())
    return budget


def take_all(budget):
    taken = 0
    while budget.take("models"):
        taken += 1
    for _ in range(taken):
        budget.end_retry("models")
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
        clock.advance(WINDOW_S * 1_000 + NETWORK_DELAY_MS + SLOT_MS)
        assert take_all(budget) > 0

    def test_retries_that_were_not_sent_do_not_count(self):
        """Guards against retries that are spent on servers that refuse connections."""
        budget = make_budget(ManualClock(1_000_000))
        for _ in range(10 * SLACK):
            assert budget.take("models")
            budget.end_retry("models", RetryEnd.NOT_SENT)

    def test_retries_on_their_way_count(self):
        """Guards against retries that are spent again before they have arrived."""
        clock = ManualClock(1_000_000)
        budget = make_budget(clock)
        while budget.take("models"):
            pass
        clock.advance(2 * WINDOW_S * 1_000)
        budget.fleet_size.record_own_reading(1, clock.now_ms())
        assert not budget.take("models")

    def test_each_pool_has_its_own_budget(self):
        """Guards against a failing pool that spends the retries of another."""
        clock = ManualClock(1_000_000)
        budget = make_budget(clock)
        take_all(budget)
        assert budget.take("ledger")


class TestFleetSize:
    def test_is_not_one_before_the_registry_is_known(self):
        """Guards against a router that takes itself for the only one."""
        fleet_size = FleetSize(ManualClock(1_000_000))
        fleet_size.record_count(1)
        assert fleet_size.count == UNKNOWN_FLEET_SIZE

    def test_silent_routers_still_count(self):
        """Guards against a router that is cut off and takes the others for gone."""
        clock = ManualClock(1_000_000)
        fleet_size = FleetSize(clock)
        fleet_size.record_own_reading(4, clock.now_ms())
        for _ in range(100):
            clock.advance(COUNT_RETENTION_MS)
            fleet_size.record_count(1)
        assert fleet_size.count == 4

    def test_routers_that_left_the_registry_stop_counting(self):
        """Guards against a share that stays small after the fleet has shrunk."""
        clock = ManualClock(1_000_000)
        fleet_size = FleetSize(clock)
        fleet_size.record_own_reading(25, clock.now_ms())
        for _ in range(4):
            clock.advance(REGISTRY_VALIDITY_MS)
            fleet_size.record_own_reading(4, clock.now_ms())
        assert fleet_size.count == 4

    def test_a_peer_that_the_registry_lacks_counts(self):
        """Guards against a new router that others know only from its reports."""
        clock = ManualClock(1_000_000)
        fleet_size = FleetSize(clock)
        fleet_size.record_own_reading(4, clock.now_ms())
        fleet_size.record_count(5)
        assert fleet_size.count == 5

    def test_an_old_reading_does_not_settle_a_router(self):
        """Guards against a share that rests on a registry that has changed since."""
        clock = ManualClock(1_000_000)
        fleet_size = make_budget(clock, router_count=4).fleet_size
        assert fleet_size.is_settled(WINDOW_S * 1_000)
        clock.advance(REGISTRY_VALIDITY_MS + 1)
        assert not fleet_size.is_settled(WINDOW_S * 1_000)

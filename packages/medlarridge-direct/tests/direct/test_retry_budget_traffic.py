"""The retry budget of all routers under traffic that changes, however it is split.

All routers know the fleet, are in touch, and take every retry that their budgets allow,
which is the worst case.
"""

from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.fleet_size import (
    JOIN_DELAY_MS,
    FleetSize,
)
from medlarridge_direct._internal.coordination.retry_budget import RetryBudget
from medlarridge_direct._internal.settings import RetrySettings

POOL = "models"
STEP_MS = 50
WINDOW_S = 10
WINDOW_STEPS = WINDOW_S * 1_000 // STEP_MS
STEPS_PER_S = 1_000 // STEP_MS
RATIO, SLACK = 0.2, 56
PLAY_S = 60
PROFILES = 60
MAX_REQUESTS_PER_S = 600
MAX_READ_DELAY_STEPS = STEPS_PER_S
"""The platform's clients give up a request that is not read within a second."""


@dataclass
class SentRetry:
    """A retry that arrives at its server some steps after it was sent."""

    router: RetryBudget
    arrives_at_step: int


@dataclass(repr=False)
class BudgetFleet:
    """Budgets of routers, and what all of them together do in each step.

    ``requests`` counts requests when their clients send them, ``arrivals`` retries when
    they reach a server.
    """

    router_count: int
    ratio: float = RATIO
    slack: float = SLACK
    clock: ManualClock = field(default_factory=lambda: ManualClock(1_000_000))
    requests: list[int] = field(default_factory=list)
    arrivals: list[int] = field(default_factory=list)
    unread: list[tuple[int, int]] = field(default_factory=list)
    on_their_way: list[SentRetry] = field(default_factory=list)

    def __post_init__(self):
        self.limits = RetrySettings(
            ratio=self.ratio, slack=self.slack, window_s=WINDOW_S
        )
        self.routers = [self.new_router() for _ in range(self.router_count)]
        for router in self.routers:
            router.fleet_size.record_joined()
        self.clock.advance(JOIN_DELAY_MS + WINDOW_S * 1_000)

    def new_router(self):
        return RetryBudget(self.clock, self.limits, FleetSize(self.clock))

    def restart(self, number):
        """Replace a router by a process that remembers nothing and has no slack."""
        self.routers[number] = self.new_router()

    def step(self, requests_by_router, read_delay_steps=0, travel_steps=0, spend=True):
        """Let clients send requests, and routers send all retries they may."""
        now_step = len(self.requests)
        self.requests.append(sum(requests_by_router))
        self.arrivals.append(0)
        for number, count in enumerate(requests_by_router):
            self.unread += [(now_step + read_delay_steps, number)] * count
        self.read_requests(now_step)
        for router in self.routers:
            router.fleet_size.record_own_reading(self.router_count, self.clock.now_ms())
            while spend and router.take(POOL):
                self.on_their_way.append(SentRetry(router, now_step + travel_steps))
        self.receive_retries(now_step)
        self.clock.advance(STEP_MS)

    def read_requests(self, now_step):
        for _, number in filter(lambda each: each[0] <= now_step, self.unread):
            self.routers[number].count_request(POOL)
        self.unread = [each for each in self.unread if each[0] > now_step]

    def receive_retries(self, now_step):
        for sent in self.on_their_way:
            if sent.arrives_at_step <= now_step:
                self.arrivals[now_step] += 1
                sent.router.end_retry(POOL)
        self.on_their_way = [
            sent for sent in self.on_their_way if sent.arrives_at_step > now_step
        ]

    def excess(self):
        """Return the largest number of arrivals beyond the budget in any window."""
        requests = [0, *accumulate(self.requests)]
        arrivals = [0, *accumulate(self.arrivals)]

        def count(sums, start, length=WINDOW_STEPS):
            last = len(sums) - 1
            return sums[min(max(start + length, 0), last)] - sums[max(start, 0)]

        return max(
            count(arrivals, start)
            - self.slack
            - self.ratio
            * max(
                count(requests, start),
                count(requests, start - WINDOW_STEPS),
                count(requests, start - WINDOW_STEPS // 2),
            )
            for start in range(len(self.requests))
        )

    def most_in_a_window(self):
        """Return the largest number of arrivals in any window."""
        arrivals = [0, *accumulate(self.arrivals)]
        return max(
            arrivals[start + WINDOW_STEPS] - arrivals[start]
            for start in range(len(arrivals) - WINDOW_STEPS)
        )


def random_rate(random, busy_share):
    """Return requests a second of the next second: none, most, or any number."""
    if random.random() < 0.3:
        return random.randrange(MAX_REQUESTS_PER_S + 1)
    return MAX_REQUESTS_PER_S if random.random() < busy_share else 0


def split(random, total, parts):
    """Split a number at random, now and then leaving everything to one part."""
    if random.random() < 0.2:
        counts = [0] * parts
        counts[random.randrange(parts)] = total
        return counts
    cuts = sorted(random.randrange(total + 1) for _ in range(parts - 1))
    return [
        after - before for before, after in zip([0, *cuts], [*cuts, total], strict=True)
    ]


class TestUnevenTraffic:
    @pytest.mark.parametrize("seed", range(PROFILES))
    def test_the_budget_holds_in_every_window(self, seed):
        """Guards against retries that follow a peak of requests (incident BUDGET)."""
        random = Random(seed)
        fleet = BudgetFleet(random.choice([1, 4, 7]))
        busy_share = random.random()
        for _ in range(PLAY_S):
            per_step = random_rate(random, busy_share) // STEPS_PER_S
            failing = random.random() < 0.5
            for _ in range(STEPS_PER_S):
                counts = split(random, per_step, fleet.router_count)
                fleet.step(counts, spend=failing)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("seed", range(12))
    def test_the_budget_holds_with_long_lulls_and_peaks(self, seed):
        """Guards against a peak that the windows of its retries do not contain."""
        random = Random(seed)
        fleet = BudgetFleet(4)
        while len(fleet.requests) < PLAY_S * STEPS_PER_S:
            per_step = random.choice([0, 0, 1, 30])
            spend = random.random() < 0.6
            for _ in range(random.randrange(1, 8 * STEPS_PER_S)):
                fleet.step(split(random, per_step, 4), spend=spend)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("phase_s", [2, 5, 8, 10])
    def test_the_budget_holds_when_traffic_moves_between_routers(self, phase_s):
        """Guards against a sum over routers of maxima that each has in its own time."""
        fleet = BudgetFleet(4, slack=8)
        for second in range(PLAY_S):
            counts = [0] * 4
            counts[second // phase_s % 4] = 20
            for _ in range(STEPS_PER_S):
                fleet.step(counts)
        assert fleet.excess() <= 0


class TestDelays:
    @pytest.mark.parametrize("seed", range(12))
    def test_the_budget_holds_for_arrivals_after_a_delay(self, seed):
        """Guards against retries that a link holds up and lets through together."""
        random = Random(seed)
        fleet = BudgetFleet(4)
        for second in range(PLAY_S):
            per_step = random.choice([0, 5, 20])
            held_until = (second // 7 + 1) * 7 * STEPS_PER_S
            for _ in range(STEPS_PER_S):
                travel_steps = held_until - len(fleet.requests) if seed % 2 else 0
                fleet.step(split(random, per_step, 4), travel_steps=travel_steps)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("seed", range(12))
    def test_the_budget_holds_for_requests_that_are_read_late(self, seed):
        """Guards against requests that count after their window has ended."""
        random = Random(seed)
        fleet = BudgetFleet(4)
        for _ in range(PLAY_S):
            per_step = random.choice([0, 0, 5, 30])
            delay = random.randrange(MAX_READ_DELAY_STEPS + 1)
            for _ in range(STEPS_PER_S):
                fleet.step(split(random, per_step, 4), read_delay_steps=delay)
        assert fleet.excess() <= 0


class TestRestarts:
    @pytest.mark.parametrize("seed", range(12))
    def test_the_budget_holds_through_any_number_of_restarts(self, seed):
        """Guards against processes that have forgotten what they spent."""
        random = Random(seed)
        fleet = BudgetFleet(4)
        busy_share = random.random()
        for _ in range(PLAY_S):
            per_step = random_rate(random, busy_share) // STEPS_PER_S
            failing = random.random() < 0.5
            for _ in range(STEPS_PER_S):
                if random.random() < 0.03:
                    fleet.restart(random.randrange(4))
                fleet.step(split(random, per_step, 4), spend=failing)
        assert fleet.excess() <= 0


class TestSteadyTraffic:
    """What the rule before this one gave to steady traffic must remain."""

    FORMER_SHARE = 0.8

    @pytest.mark.parametrize("per_step", [1, 3, 15, 50])
    @pytest.mark.parametrize("router_count", [1, 4])
    def test_gets_as_many_retries_as_before(self, per_step, router_count):
        """Guards against a budget that holds since it gives little."""
        fleet = BudgetFleet(router_count)
        for step in range(PLAY_S * STEPS_PER_S):
            counts = [0] * router_count
            for each in range(per_step):
                counts[(step * per_step + each) % router_count] += 1
            fleet.step(counts)
        share = (RATIO * per_step * WINDOW_STEPS + SLACK) / router_count
        former = router_count * int(self.FORMER_SHARE * share)
        assert fleet.most_in_a_window() >= former
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("per_step", [1, 2, 3])
    def test_gets_as_many_soon_after_servers_begin_to_fail(self, per_step):
        """Guards against requests of one crashed server that wait for the budget."""
        fleet = BudgetFleet(1)
        for _ in range(3 * WINDOW_STEPS):
            fleet.step([per_step], spend=False)
        for _ in range(STEPS_PER_S):
            fleet.step([per_step])
        allowed = RATIO * per_step * WINDOW_STEPS + SLACK
        assert sum(fleet.arrivals[-STEPS_PER_S:]) >= int(self.FORMER_SHARE * allowed)

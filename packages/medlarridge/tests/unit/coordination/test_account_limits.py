from random import Random

import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.account_limits import (
    MAX_THROTTLES,
    REPORTS_PER_TICK,
    AccountLimiter,
    Allowed,
    LimitDirectory,
)
from medlarridge._internal.protocol.limits import Throttle, Throttles, Usage
from medlarridge._internal.protocol.tables import AccountLimit


class Directory(LimitDirectory):
    def __init__(self, homes, limit=None):
        self.homes = homes
        self.limit = limit

    def home_of(self, key):
        return self.homes.get(key.account, "home")

    def limit_of(self, key):
        return self.limit

    def random_peers(self, count):
        return [f"peer{number}" for number in range(count)]


class TestAccountLimiter:
    def setup_method(self):
        self.clock = ManualClock()
        limit = AccountLimit(requests_per_s=10, burst=10)
        self.directory = Directory({}, limit)
        self.router = self.limiter("router")

    def limiter(self, address, number=1):
        return AccountLimiter(
            self.clock, Random(number), address, number, self.directory
        )

    def throttle(self, fraction=0.5, ttl_ms=5_000, home=9, sequence=1, account="a"):
        return Throttle("r", account, fraction, ttl_ms, home, sequence)

    def admitted(self, count, account="a", gap_ms=100):
        allowed = 0
        for _ in range(count):
            self.clock.advance(gap_ms)
            allowed += isinstance(self.router.admit("r", account), Allowed)
        return allowed

    def test_applies_a_throttle_evenly_until_it_expires(self):
        """Guards against uneven admission and throttles that never expire."""
        self.router.receive(Throttles([self.throttle(fraction=0.25)]))
        assert self.admitted(40) == 10
        self.clock.advance(1_000)
        assert self.admitted(40) == 40

    def test_older_throttles_do_not_replace_newer_ones(self):
        """Guards against gossip that restores an outdated throttle."""
        self.router.merge([self.throttle(0.5, sequence=2)])
        self.router.merge([self.throttle(0.9, ttl_ms=9_000, sequence=1)])
        self.router.merge([self.throttle(0.9, ttl_ms=4_000, home=8, sequence=7)])
        assert [each.fraction for each in self.router.gossip()] == [0.5]
        self.clock.advance(1_000)
        assert self.router.gossip()[0].ttl_ms == 4_000
        self.router.merge([self.throttle(0.1, ttl_ms=9_000, home=8, sequence=1)])
        assert [each.fraction for each in self.router.gossip()] == [0.1]

    def test_ignores_invalid_throttles_and_bounds_their_number(self):
        """Guards against a faulty peer that blocks an account or exhausts memory."""
        self.router.merge([self.throttle(-1.0), self.throttle(7.0)])
        self.router.merge([self.throttle(0.5, ttl_ms=-1)])
        assert self.router.gossip() == []
        for number in range(MAX_THROTTLES + 10):
            self.router.merge([self.throttle(ttl_ms=10**9, account=str(number))])
        assert len(self.router.applied) == MAX_THROTTLES
        self.clock.advance(15_000)
        assert self.router.gossip() == []

    def test_local_bucket_limits_one_router_immediately(self):
        """Guards against an unlimited surge before the home has replied."""
        assert self.admitted(100, gap_ms=0) == 10
        assert self.admitted(100, gap_ms=10) == 10

    @pytest.mark.parametrize("accounts", [2, 20])
    def test_reports_estimate_the_true_count_in_few_messages(self, accounts):
        """Guards against biased samples and a message per account."""
        self.directory.homes = {str(each): f"h{each}" for each in range(accounts)}
        sums = dict.fromkeys(self.directory.homes, 0.0)
        rounds = 400
        for _ in range(rounds):
            for account in sums:
                for _ in range(1 + int(account) % 3):
                    self.router.admit("r", account)
            reports = self.router.tick()
            assert len(reports) <= REPORTS_PER_TICK
            for report in reports:
                for usage in report.message.usages:
                    sums[usage.account] += usage.count * usage.scale
        for account, total in sums.items():
            expected = rounds * (1 + int(account) % 3)
            assert total == pytest.approx(expected, rel=0 if accounts == 2 else 0.4)


class TestAccountHome:
    def setup_method(self):
        self.clock = ManualClock()
        limit = AccountLimit(requests_per_s=10, burst=10)
        self.directory = Directory({}, limit)
        self.home = AccountLimiter(
            self.clock, Random(1), "home", 1, self.directory
        ).home

    def report(self, per_s, seconds, scale=1.0):
        throttles = []
        for _ in range(seconds):
            self.clock.advance(1_000)
            throttles.append(self.home.add(Usage("r", "a", per_s, scale)))
            throttles += self.home.tick()
        return [each for each in throttles if each is not None]

    def test_throttles_a_surge_to_the_limit_and_lifts_the_throttle(self):
        """Guards against a throttle that does not follow the request rate."""
        assert self.report(8, 60) == []
        assert self.report(100, 30)[-1].fraction == pytest.approx(0.1, rel=0.1)
        assert self.report(5, 60)[-1].fraction == 1.0
        self.clock.advance(300_000)
        self.home.tick()
        assert self.home.entries == {}

    def test_does_not_throttle_on_few_large_samples(self):
        """Guards against throttling a quiet account because of a sampling error."""
        for _ in range(30):
            assert self.report(1, 1, scale=40.0) == []
            self.clock.advance(5_000)
        assert self.report(3, 1, scale=40.0) == []

    def test_allows_a_burst(self):
        """Guards against refusing bursts within the configured ``burst``."""
        self.directory.limit = AccountLimit(requests_per_s=10, burst=200)
        assert self.report(100, 1) == []
        assert self.report(100, 2) != []

    def test_removes_accounts_without_a_limit(self):
        """Guards against throttles that remain after their limit was removed."""
        self.report(100, 10)
        self.directory.limit = None
        assert self.home.tick() == [] and self.home.entries == {}

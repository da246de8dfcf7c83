from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.account_limits import (
    AccountLimiter,
    Allowed,
    LimitDirectory,
)
from medlarridge._internal.protocol.tables import AccountLimit

scenarios("account_limits.feature")


class Fleet(LimitDirectory):
    """Routers with an account limiter each, which exchange messages without loss."""

    def __init__(self, count, limit):
        self.clock = ManualClock()
        self.random = Random(1)
        self.limit = AccountLimit(requests_per_s=limit, burst=limit)
        self.routers = {
            str(number): AccountLimiter(
                self.clock, Random(number), str(number), number, self
            )
            for number in range(count)
        }
        self.admitted = []
        self.offered_per_s = 0

    def home_of(self, key):
        return min(self.routers)

    def limit_of(self, key):
        return self.limit

    def random_peers(self, count):
        return self.random.choices(list(self.routers), k=count)

    def run_one_second(self, account, request_count):
        admitted = 0
        for _ in range(request_count):
            self.clock.advance(1_000 // request_count)
            router = self.random.choice(list(self.routers.values()))
            admitted += isinstance(router.admit("route", account), Allowed)
        self.admitted.append(admitted)
        self.offered_per_s = request_count
        pending = [
            outgoing for router in self.routers.values() for outgoing in router.tick()
        ]
        while pending:
            outgoing = pending.pop()
            if outgoing.to in self.routers:
                pending += self.routers[outgoing.to].receive(outgoing.message)


@given(
    parsers.parse("{count:d} routers and a limit of {limit:d} requests a second"
                  " per account"),
    target_fixture="fleet",
)  # fmt: skip
def routers_with_limit(count, limit):
    return Fleet(count, limit)


@when(
    parsers.parse('account "{account}" sends {rate:d} requests a second'
                  " for {seconds:d} s")
)  # fmt: skip
def send(fleet, account, rate, seconds):
    for _ in range(seconds):
        fleet.run_one_second(account, rate)


@when("its home dies")
def home_dies(fleet):
    del fleet.routers[min(fleet.routers)]


@then(parsers.parse("the last 10 s admitted at most {factor:f} times the limit"))
def admission_bounded(fleet, factor):
    mean = sum(fleet.admitted[-10:]) / 10
    assert 0.5 * fleet.limit.requests_per_s < mean
    assert mean <= factor * fleet.limit.requests_per_s


@then("the last 10 s admitted every request")
def all_admitted(fleet):
    assert sum(fleet.admitted[-10:]) == 10 * fleet.offered_per_s

"""Fleet-wide account limits while one account surges tenfold."""

import bisect
import itertools
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec
import xxhash

from medlarridge._internal.clock import MS_PER_S, ManualClock
from medlarridge._internal.coordination.account_limits import (
    REPORT_INTERVAL_MS,
    AccountLimiter,
    Allowed,
    LimitDirectory,
    LimitKey,
    Outgoing,
)
from medlarridge._internal.protocol.tables import AccountLimit

from ..report import Row
from . import measure

SEED = 2203
ROUTE = "chat"
STEP_MS = 50
SURGE_START_MS = 30_000
END_MS = 75_000
STEADY_FROM_MS = 55_000
SURGE_FACTOR = 10
LIMIT_FACTOR = 2.0
"""Limit over the usual rate, so a usual account is well within its limit."""
MIN_LIMIT_PER_S = 2.0
DATAGRAM_OVERHEAD_BYTES = 28
MAX_BYTES_PER_S = 3_000
THROTTLED_BELOW = 1.25
"""Admitted rate over the limit, below which a surge counts as cut."""
CUT_WINDOW_S = 5
"""Window of that rate; over one second a low limit is exceeded by chance."""


@dataclass(frozen=True)
class Fleet:
    """Size of a measurement; ``surging`` holds the ranks of accounts that surge."""

    routers: int
    accounts: int
    requests_per_s: float
    surging: tuple[int, ...]


class Directory(LimitDirectory):
    """Homes by hash, shared by all routers of the simulation."""

    def __init__(self, fleet: Fleet, limits: list[AccountLimit], random: Random):
        self.fleet = fleet
        self.limits = limits
        self.random = random
        self.homes = {
            str(account): str(
                xxhash.xxh32_intdigest(str(account).encode()) % fleet.routers
            )
            for account in range(fleet.accounts)
        }

    def home_of(self, key: LimitKey) -> str:
        """Return the home of an account."""
        return self.homes[key.account]

    def limit_of(self, key: LimitKey) -> AccountLimit | None:
        """Return the limit of an account."""
        return self.limits[int(key.account)]

    def random_peers(self, count: int) -> list[str]:
        """Return random routers."""
        return [str(self.random.randrange(self.fleet.routers)) for _ in range(count)]


@dataclass
class Result:
    """What a run admitted and sent."""

    offered_innocent: int = 0
    throttled_innocent: int = 0
    admitted: Counter[tuple[int, int]] = field(default_factory=Counter)
    """Requests by account and second."""
    messages: int = 0
    sent_bytes: int = 0

    def admitted_per_s(self, account: int, start_s: int, end_s: int) -> float:
        """Return the mean admitted rate of a surging account."""
        seconds = range(start_s, end_s)
        return sum(self.admitted[account, each] for each in seconds) / len(seconds)

    def seconds_to_throttle(self, account: int, limit_per_s: float) -> float:
        """Return the seconds from the surge until the admitted rate is cut."""
        start = SURGE_START_MS // MS_PER_S
        for second in range(start, END_MS // MS_PER_S - CUT_WINDOW_S):
            rate = self.admitted_per_s(account, second, second + CUT_WINDOW_S)
            if rate <= THROTTLED_BELOW * limit_per_s:
                return second - start
        return float("inf")


class Simulation:
    """All routers of a fleet in one process."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.random = Random(SEED)
        self.clock = ManualClock()
        shares = [1 / (rank + 1) for rank in range(fleet.accounts)]
        total = sum(shares)
        self.rates = [fleet.requests_per_s * share / total for share in shares]
        limits = [
            AccountLimit(
                requests_per_s=max(MIN_LIMIT_PER_S, LIMIT_FACTOR * rate),
                burst=max(10, int(2 * rate)),
            )
            for rate in self.rates
        ]
        self.limits = limits
        directory = Directory(fleet, limits, self.random)
        self.routers = [
            AccountLimiter(
                self.clock, Random(SEED + 1 + number), str(number), number, directory
            )
            for number in range(fleet.routers)
        ]
        self.phases: dict[int, list[AccountLimiter]] = {}
        for router in self.routers:
            phase = self.random.randrange(0, REPORT_INTERVAL_MS, STEP_MS)
            self.phases.setdefault(phase, []).append(router)
        self.result = Result()

    def run(self) -> Result:
        """Run until the end, with a surge from ``SURGE_START_MS``."""
        rates = list(self.rates)
        cumulative = list(itertools.accumulate(rates))
        for now in range(0, END_MS, STEP_MS):
            self.clock.current_ms = now
            if now == SURGE_START_MS:
                for account in self.fleet.surging:
                    rates[account] *= SURGE_FACTOR
                cumulative = list(itertools.accumulate(rates))
            self.offer(cumulative, now)
            for router in self.phases.get(now % REPORT_INTERVAL_MS, ()):
                self.deliver(router.tick())
                self.gossip(router)
        return self.result

    def offer(self, cumulative: list[float], now: int) -> None:
        """Send the requests of one step to random routers."""
        left = self.random.expovariate(cumulative[-1] / MS_PER_S)
        while left < STEP_MS:
            point = self.random.random() * cumulative[-1]
            account = bisect.bisect(cumulative, point)
            router = self.random.choice(self.routers)
            allowed = isinstance(router.admit(ROUTE, str(account)), Allowed)
            if account in self.fleet.surging:
                self.result.admitted[account, now // MS_PER_S] += allowed
            else:
                self.result.offered_innocent += 1
                self.result.throttled_innocent += not allowed
            left += self.random.expovariate(cumulative[-1] / MS_PER_S)

    def deliver(self, outgoing: list[Outgoing]) -> None:
        """Deliver messages and what they cause; count them."""
        pending = list(outgoing)
        while pending:
            each = pending.pop()
            self.count(each.message)
            pending += self.routers[int(each.to)].receive(each.message)

    def gossip(self, router: AccountLimiter) -> None:
        """Exchange throttles with one random peer, on a probe and its answer."""
        peer = self.random.choice(self.routers)
        for source, target in ((router, peer), (peer, router)):
            throttles = source.gossip()
            if throttles:
                # The probe itself is part of the membership's traffic.
                self.result.sent_bytes += len(msgspec.msgpack.encode(throttles))
                self.deliver(target.merge(throttles))

    def count(self, message: object) -> None:
        """Count a message of its own."""
        self.result.messages += 1
        size = len(msgspec.msgpack.encode(message)) + DATAGRAM_OVERHEAD_BYTES
        self.result.sent_bytes += size


@measure.scenario("account-limits")
def account_limit_rows() -> list[Row]:
    """Measure a small fleet and one of the target size."""
    rows = []
    for fleet in (
        Fleet(4, 10, 200, (3,)),
        Fleet(1_100, 11_000, 15_000, (20, 200)),
    ):
        rows += fleet_rows(fleet)
    return rows


def fleet_rows(fleet: Fleet) -> list[Row]:
    """Return the rows of one fleet."""
    simulation = Simulation(fleet)
    result = simulation.run()
    name = f"account limits, {fleet.routers} routers"
    rows = []
    for account in fleet.surging:
        limit = simulation.limits[account].requests_per_s
        offered = simulation.rates[account] * SURGE_FACTOR
        end_s = END_MS // MS_PER_S
        admitted = result.admitted_per_s(account, STEADY_FROM_MS // MS_PER_S, end_s)
        rows += [
            Row(
                f"{name}, limit {limit:.3g}/s: admitted",
                admitted / limit,
                "of limit",
                baseline=f"no limit {offered / limit:.1f}; seed {SEED}",
            ),
            Row(
                f"{name}, limit {limit:.3g}/s: until cut",
                result.seconds_to_throttle(account, limit),
                "s",
            ),
        ]
    router_seconds = fleet.routers * END_MS / MS_PER_S
    sent_per_s = result.sent_bytes / router_seconds
    counter_calls = 2 * fleet.requests_per_s / fleet.routers
    return [
        *rows,
        Row(
            f"{name}: innocent requests throttled",
            100 * result.throttled_innocent / result.offered_innocent,
            "%",
        ),
        Row(f"{name}: messages", result.messages / router_seconds, "per router s"),
        Row(
            f"{name}: traffic",
            sent_per_s,
            "B/router/s",
            f"<= {MAX_BYTES_PER_S}",
            f"a counter call per request: {counter_calls:.0f} messages/s",
            sent_per_s <= MAX_BYTES_PER_S,
        ),
    ]

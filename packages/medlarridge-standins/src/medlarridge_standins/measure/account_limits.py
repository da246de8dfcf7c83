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
"""Ratio of an account's limit to its usual rate; usual traffic stays well within it."""
MIN_LIMIT_PER_S = 2.0
DATAGRAM_OVERHEAD_BYTES = 28
MAX_BYTES_PER_S = 3_000
MAX_THROTTLED_RATIO = 1.25
"""Highest ratio of the admitted rate to the limit at which a surge counts as cut."""
THROTTLE_WINDOW_S = 5
"""Window for the admitted rate; within one second, random arrivals can exceed a low
limit."""


@dataclass(frozen=True)
class FleetSettings:
    """Size of a simulated fleet; ``surging`` holds the ranks of accounts that surge."""

    routers: int
    accounts: int
    requests_per_s: float
    surging: tuple[int, ...]


class HashLimitDirectory(LimitDirectory):
    """Directory shared by all simulated routers; picks home routers by hash."""

    def __init__(
        self, fleet: FleetSettings, limits: list[AccountLimit], random: Random
    ):
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
        """Return the home router of an account."""
        return self.homes[key.account]

    def limit_of(self, key: LimitKey) -> AccountLimit | None:
        """Return the limit of an account."""
        return self.limits[int(key.account)]

    def random_peers(self, count: int) -> list[str]:
        """Return random routers, possibly with repetitions."""
        return [str(self.random.randrange(self.fleet.routers)) for _ in range(count)]


@dataclass
class Result:
    """Requests admitted and messages sent in a run."""

    offered_others: int = 0
    throttled_others: int = 0
    admitted: Counter[tuple[int, int]] = field(default_factory=Counter)
    """Admitted requests of the surging accounts, by account and second."""
    messages: int = 0
    sent_bytes: int = 0

    def admitted_per_s(self, account: int, start_s: int, end_s: int) -> float:
        """Return the mean admitted rate of a surging account in a period."""
        seconds = range(start_s, end_s)
        return sum(self.admitted[account, each] for each in seconds) / len(seconds)

    def seconds_to_throttle(self, account: int, limit_per_s: float) -> float:
        """Return the seconds from the start of the surge until it is cut."""
        start = SURGE_START_MS // MS_PER_S
        for second in range(start, END_MS // MS_PER_S - THROTTLE_WINDOW_S):
            rate = self.admitted_per_s(account, second, second + THROTTLE_WINDOW_S)
            if rate <= MAX_THROTTLED_RATIO * limit_per_s:
                return second - start
        return float("inf")


class Simulation:
    """Simulation of all routers of a fleet."""

    def __init__(self, fleet: FleetSettings) -> None:
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
        directory = HashLimitDirectory(fleet, limits, self.random)
        self.routers = [
            AccountLimiter(
                self.clock, Random(SEED + 1 + number), str(number), number, directory
            )
            for number in range(fleet.routers)
        ]
        self.routers_by_phase: dict[int, list[AccountLimiter]] = {}
        for router in self.routers:
            phase_ms = self.random.randrange(0, REPORT_INTERVAL_MS, STEP_MS)
            self.routers_by_phase.setdefault(phase_ms, []).append(router)
        self.result = Result()

    def run(self) -> Result:
        """Run until ``END_MS``, with a surge from ``SURGE_START_MS``."""
        rates = list(self.rates)
        cumulative_rates = list(itertools.accumulate(rates))
        for now_ms in range(0, END_MS, STEP_MS):
            self.clock.current_ms = now_ms
            if now_ms == SURGE_START_MS:
                for account in self.fleet.surging:
                    rates[account] *= SURGE_FACTOR
                cumulative_rates = list(itertools.accumulate(rates))
            self.offer_requests(cumulative_rates, now_ms)
            for router in self.routers_by_phase.get(now_ms % REPORT_INTERVAL_MS, ()):
                self.deliver(router.tick())
                self.gossip(router)
        return self.result

    def offer_requests(self, cumulative_rates: list[float], now_ms: int) -> None:
        """Send the requests of one step to random routers."""
        offset_ms = self.random.expovariate(cumulative_rates[-1] / MS_PER_S)
        while offset_ms < STEP_MS:
            point = self.random.random() * cumulative_rates[-1]
            account = bisect.bisect(cumulative_rates, point)
            router = self.random.choice(self.routers)
            allowed = isinstance(router.admit(ROUTE, str(account)), Allowed)
            if account in self.fleet.surging:
                self.result.admitted[account, now_ms // MS_PER_S] += allowed
            else:
                self.result.offered_others += 1
                self.result.throttled_others += not allowed
            offset_ms += self.random.expovariate(cumulative_rates[-1] / MS_PER_S)

    def deliver(self, outgoing: list[Outgoing]) -> None:
        """Deliver and count messages and the messages sent in reaction to them."""
        pending = list(outgoing)
        while pending:
            each = pending.pop()
            self.count_message(each.message)
            pending += self.routers[int(each.to)].receive(each.message)

    def gossip(self, router: AccountLimiter) -> None:
        """Exchange throttles with a random peer, as on a probe and its reply."""
        peer = self.random.choice(self.routers)
        for source, target in ((router, peer), (peer, router)):
            throttles = source.gossip()
            if throttles:
                # The datagram itself counts as traffic of the membership protocol.
                self.result.sent_bytes += len(msgspec.msgpack.encode(throttles))
                self.deliver(target.merge(throttles))

    def count_message(self, message: object) -> None:
        """Count a message that is sent in its own datagram."""
        self.result.messages += 1
        size = len(msgspec.msgpack.encode(message)) + DATAGRAM_OVERHEAD_BYTES
        self.result.sent_bytes += size


@measure.scenario("account-limits")
def account_limit_rows() -> list[Row]:
    """Measure a small fleet and a fleet of the target size."""
    rows = []
    for fleet in (
        FleetSettings(4, 10, 200, (3,)),
        FleetSettings(1_100, 11_000, 15_000, (20, 200)),
    ):
        rows += fleet_rows(fleet)
    return rows


def fleet_rows(fleet: FleetSettings) -> list[Row]:
    """Simulate one fleet and return its rows."""
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
            100 * result.throttled_others / result.offered_others,
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

"""Fleet-wide rate limits per client account without a shared counter.

Each router counts the requests that it receives and reports a sample of the counts to
the home router of the account. The home estimates the fleet-wide rate and returns a
throttle: the fraction of requests that each router may admit. Throttles expire, so
they stop soon after their home fails. Requests are counted before throttling, so the
estimate does not depend on the fraction and the control loop cannot oscillate.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple, Protocol

from ..clock import MS_PER_S, Clock
from ..protocol.limits import LimitMessage, Throttle, Throttles, Usage, UsageReport
from ..protocol.tables import AccountLimit

REPORT_INTERVAL_MS = 1_000
REPORTS_PER_TICK = 3
"""Homes that a router may report to in one interval. In a fleet of up to four routers
there are at most three other homes, so reports are complete instead of sampled."""
MAX_USAGES_PER_REPORT = 16
THROTTLE_TTL_MS = 15_000
THROTTLE_RENEWAL_MS = 5_000
"""Interval at which a home renews a throttle. Two renewals in a row may be lost before
it expires."""
FAST_WINDOW_MS = 3_000
SLOW_WINDOW_MS = 20_000
SIGNIFICANT_CHANGE = 0.2
"""Relative change of a fraction that is sent at once instead of with the next renewal.
The first estimate after a surge is too low, because the window is not yet full."""
MIN_CHANGE_INTERVAL_MS = 1_000
CHANGE_DEVIATIONS = 3.0
"""Standard deviations by which the two windows must differ to reset the slow one."""
START_DEVIATIONS = 3.0
"""Standard deviations by which an estimate must exceed the limit before throttling
starts. A sampled report stands for about 14 requests, so an account with little traffic
can seem to exceed a low limit by chance."""
MAX_LOCAL_BUCKETS = 4_096
MAX_THROTTLES = 1_024
MAX_GOSSIPED_THROTTLES = 4
"""Throttles in one gossip datagram; each takes about 50 bytes."""
PUSH_FANOUT = 3
MAX_PUSHES_PER_TICK = 3
"""Limits the traffic when many accounts surge at once. Gossip spreads the rest."""
IDLE_RATE_PER_S = 0.01
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 30_000
FLOAT_TOLERANCE = 1e-9


class LimitKey(NamedTuple):
    """A route and client account that share one limit."""

    route: str
    account: str


@dataclass(frozen=True)
class Allowed:
    """The request is within the limit, as far as this router knows."""


@dataclass(frozen=True)
class Throttled:
    """The request is over the account's limit."""

    retry_after_ms: int


@dataclass(frozen=True)
class Outgoing:
    """A message to send to the address of another router."""

    to: str
    message: LimitMessage


class LimitDirectory(Protocol):
    """Lookups that a limiter needs; the daemon implements them."""

    def home_of(self, key: LimitKey) -> str:
        """Return the address of the account's home router, empty if there is none."""
        ...

    def limit_of(self, key: LimitKey) -> AccountLimit | None:
        """Return the configured limit, ``None`` if there is none."""
        ...

    def random_peers(self, count: int) -> list[str]:
        """Return the addresses of random other live routers."""
        ...


@dataclass
class DecayedRate:
    """Rate over an exponentially decaying window, with its variance.

    ``variance_sum`` decays twice as fast as ``total``, because it sums squared weights.
    """

    window_ms: int
    updated_ms: int
    total: float = 0.0
    variance_sum: float = 0.0

    def decay(self, now_ms: int) -> None:
        """Apply the decay since the last update."""
        factor = math.exp((self.updated_ms - now_ms) / self.window_ms)
        self.total *= factor
        self.variance_sum *= factor * factor
        self.updated_ms = now_ms

    def add(self, weight: float, variance: float) -> None:
        """Add requests; ``decay`` must be called first."""
        self.total += weight
        self.variance_sum += variance

    def per_s(self) -> float:
        """Return the rate in requests a second."""
        return self.total * MS_PER_S / self.window_ms

    def variance(self) -> float:
        """Return the variance of the rate."""
        return self.variance_sum * (MS_PER_S / self.window_ms) ** 2


class RateEstimate:
    """Rate over a slow window that is reset from a fast window after a change.

    The slow window gives a small error in steady state; the fast window detects a
    surge within seconds.
    """

    def __init__(self, now_ms: int) -> None:
        self.fast = DecayedRate(FAST_WINDOW_MS, now_ms)
        self.slow = DecayedRate(SLOW_WINDOW_MS, now_ms)

    def add(self, usage: Usage, now_ms: int) -> None:
        """Add one reported usage."""
        weight = usage.count * usage.scale
        # A complete count has only the variance of the arrivals (Poisson).
        variance = float(usage.count) if usage.scale == 1.0 else weight * weight
        for rate in (self.fast, self.slow):
            rate.decay(now_ms)
            rate.add(weight, variance)

    def update(self, now_ms: int) -> None:
        """Apply the decay and reset the slow window after a significant change."""
        self.fast.decay(now_ms)
        self.slow.decay(now_ms)
        difference = abs(self.fast.per_s() - self.slow.per_s())
        deviation = math.sqrt(self.fast.variance() + self.slow.variance())
        if difference > CHANGE_DEVIATIONS * deviation:
            window_ratio = SLOW_WINDOW_MS / FAST_WINDOW_MS
            self.slow.total = self.fast.total * window_ratio
            # The slow window is now as uncertain as the fast one.
            self.slow.variance_sum = (
                self.fast.variance_sum * window_ratio * window_ratio
            )

    def per_s(self) -> float:
        """Return the estimated rate in requests a second."""
        return self.slow.per_s()

    def deviation_per_s(self) -> float:
        """Return the standard deviation of the estimated rate."""
        return math.sqrt(self.slow.variance())


@dataclass
class HomeEntry:
    """Estimate and throttle of one account on one route, at its home."""

    estimate: RateEstimate
    excess_requests: float = 0.0
    """Requests above the limit that have not drained yet, compared with ``burst``."""
    updated_ms: int = 0
    throttling: bool = False
    renewed_ms: int = 0
    fraction: float = 1.0


class AccountHome:
    """Holds the estimates and throttles of the accounts whose home is this router."""

    def __init__(
        self, clock: Clock, instance_number: int, directory: LimitDirectory
    ) -> None:
        self.clock = clock
        self.instance_number = instance_number
        self.directory = directory
        self.entries: dict[LimitKey, HomeEntry] = {}
        self.sequence = 0

    def add(self, usage: Usage) -> Throttle | None:
        """Count a reported usage; return a throttle to send, if one is due."""
        now = self.clock.now_ms()
        key = LimitKey(usage.route, usage.account)
        limit = self.directory.limit_of(key)
        if limit is None:
            return None
        entry = self.entries.get(key)
        if entry is None:
            entry = HomeEntry(RateEstimate(now), updated_ms=now)
            self.entries[key] = entry
        drained_requests = limit.requests_per_s * (now - entry.updated_ms) / MS_PER_S
        entry.excess_requests = (
            max(0.0, entry.excess_requests - drained_requests)
            + usage.count * usage.scale
        )
        entry.updated_ms = now
        entry.estimate.add(usage, now)
        return self.decide(key, entry, limit)

    def tick(self) -> list[Throttle]:
        """Return the throttles to renew or lift; remove idle accounts."""
        due = []
        for key, entry in list(self.entries.items()):
            limit = self.directory.limit_of(key)
            if limit is None:
                del self.entries[key]
            elif (throttle := self.decide(key, entry, limit)) is not None:
                due.append(throttle)
            elif not entry.throttling and entry.estimate.per_s() < IDLE_RATE_PER_S:
                del self.entries[key]
        return due

    def decide(
        self, key: LimitKey, entry: HomeEntry, limit: AccountLimit
    ) -> Throttle | None:
        """Start, renew or lift a throttle; return it if it is due to be sent."""
        now = self.clock.now_ms()
        entry.estimate.update(now)
        rate = entry.estimate.per_s()
        if entry.throttling:
            if rate <= limit.requests_per_s:
                entry.throttling = False
                return self.throttle(key, 1.0)
            if not self.is_due(entry, limit.requests_per_s / rate):
                return None
        else:
            margin = START_DEVIATIONS * entry.estimate.deviation_per_s()
            is_over_limit = rate - margin > limit.requests_per_s
            if not is_over_limit or entry.excess_requests <= limit.burst:
                return None
        entry.throttling = True
        entry.renewed_ms = now
        entry.fraction = limit.requests_per_s / rate
        return self.throttle(key, entry.fraction)

    def is_due(self, entry: HomeEntry, fraction: float) -> bool:
        """Return whether a throttle must be renewed or has changed significantly."""
        age_ms = self.clock.now_ms() - entry.renewed_ms
        if age_ms < MIN_CHANGE_INTERVAL_MS:
            return False
        return age_ms >= THROTTLE_RENEWAL_MS or has_changed(entry.fraction, fraction)

    def current(self, key: LimitKey) -> Throttle | None:
        """Return the active throttle, updated to the current estimate."""
        entry = self.entries.get(key)
        limit = self.directory.limit_of(key)
        if entry is None or limit is None or not entry.throttling:
            return None
        rate = max(entry.estimate.per_s(), limit.requests_per_s)
        return self.throttle(key, limit.requests_per_s / rate)

    def throttle(self, key: LimitKey, fraction: float) -> Throttle:
        """Return a throttle with the next sequence number."""
        self.sequence += 1
        return Throttle(
            key.route,
            key.account,
            round(fraction, 4),
            THROTTLE_TTL_MS,
            self.instance_number,
            self.sequence,
        )


@dataclass
class AppliedThrottle:
    """A throttle that is active at this router.

    ``credit`` gains ``fraction`` with each request, and a request is admitted when it
    reaches 1. Unlike a random choice, this keeps the admitted rate exact even over a
    few requests.
    """

    throttle: Throttle
    expires_ms: int
    credit: float
    times_sent: int = 0


@dataclass
class LocalBucket:
    """Token bucket that allows one router the whole limit of an account."""

    tokens: float
    updated_ms: int

    def take(self, limit: AccountLimit, now_ms: int) -> bool:
        """Take one token; return whether there was one."""
        gained = limit.requests_per_s * (now_ms - self.updated_ms) / MS_PER_S
        self.tokens = min(float(limit.burst), self.tokens + gained)
        self.updated_ms = now_ms
        if self.tokens < 1.0 - FLOAT_TOLERANCE:
            return False
        self.tokens -= 1.0
        return True


@dataclass
class UsageByAccount:
    """Requests counted since the last report, for the accounts of one home."""

    counts: dict[LimitKey, int] = field(default_factory=dict)
    total: int = 0


class AccountLimiter:
    """Enforces account limits at one router.

    The owner calls ``admit`` for each request, ``tick`` every ``REPORT_INTERVAL_MS``
    and ``receive`` for each ``LimitMessage``, and sends the messages that ``tick`` and
    ``receive`` return. ``gossip`` and ``merge`` exchange throttles through the gossip
    of the membership.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        address: str,
        instance_number: int,
        directory: LimitDirectory,
    ) -> None:
        self.clock = clock
        self.random = random
        self.address = address
        self.directory = directory
        self.home = AccountHome(clock, instance_number, directory)
        self.counts: dict[LimitKey, int] = {}
        self.applied: OrderedDict[LimitKey, AppliedThrottle] = OrderedDict()
        self.buckets: OrderedDict[LimitKey, LocalBucket] = OrderedDict()
        self.pushes_left = MAX_PUSHES_PER_TICK

    def admit(self, route: str, account: str) -> Allowed | Throttled:
        """Count a request and decide whether it is within the account's limit."""
        key = LimitKey(route, account)
        limit = self.directory.limit_of(key)
        if limit is None:
            return Allowed()
        self.counts[key] = self.counts.get(key, 0) + 1
        now = self.clock.now_ms()
        fraction = 1.0
        if (applied := self.throttle_of(key, now)) is not None:
            fraction = applied.throttle.fraction
            applied.credit += fraction
            if applied.credit < 1.0 - FLOAT_TOLERANCE:
                return self.throttled_decision(limit, fraction)
            applied.credit -= 1.0
        if not self.bucket(key, limit, now).take(limit, now):
            return self.throttled_decision(limit, fraction)
        return Allowed()

    def tick(self) -> list[Outgoing]:
        """Return the usage reports and renewed throttles to send."""
        self.pushes_left = MAX_PUSHES_PER_TICK
        now = self.clock.now_ms()
        for key in [k for k, each in self.applied.items() if each.expires_ms <= now]:
            del self.applied[key]
        outgoing = self.apply_and_push(self.home.tick())
        usages = self.take_usages_by_home()
        if (own_usage := usages.pop(self.address, None)) is not None:
            outgoing += self.apply_and_push(self.count_at_home(usages_of(own_usage)))
        usages.pop("", None)
        return outgoing + self.reports(usages)

    def receive(self, message: LimitMessage) -> list[Outgoing]:
        """Handle a usage report or throttles from a peer; return messages to send."""
        if isinstance(message, Throttles):
            return self.merge(message.throttles)
        outgoing = self.apply_and_push(self.count_at_home(message.usages))
        keys = {LimitKey(usage.route, usage.account) for usage in message.usages}
        current = [self.home.current(key) for key in keys]
        reply = [throttle for throttle in current if throttle is not None]
        if reply:
            outgoing.append(Outgoing(message.sender, Throttles(reply)))
        return outgoing

    def merge(self, throttles: list[Throttle]) -> list[Outgoing]:
        """Apply throttles from a peer; push on those that changed significantly."""
        changed = []
        for throttle in throttles:
            current_throttle = self.throttle_of(
                LimitKey(throttle.route, throttle.account), self.clock.now_ms()
            )
            before = current_throttle.throttle.fraction if current_throttle else 1.0
            if self.apply(throttle) and has_changed(before, throttle.fraction):
                changed.append(throttle)
        return self.push(changed)

    def gossip(self, max_count: int = MAX_GOSSIPED_THROTTLES) -> list[Throttle]:
        """Return the least often sent throttles, with their remaining time to live."""
        now = self.clock.now_ms()
        active = [each for each in self.applied.values() if each.expires_ms > now]
        active.sort(key=lambda each: each.times_sent)
        for each in active[:max_count]:
            each.times_sent += 1
        return [
            with_ttl(each.throttle, each.expires_ms - now)
            for each in active[:max_count]
        ]

    def take_usages_by_home(self) -> dict[str, UsageByAccount]:
        """Return and reset the counted requests, grouped by home."""
        homes: dict[str, UsageByAccount] = {}
        for key, count in self.counts.items():
            usage = homes.setdefault(self.directory.home_of(key), UsageByAccount())
            usage.counts[key] = count
            usage.total += count
        self.counts = {}
        return homes

    def reports(self, usages: dict[str, UsageByAccount]) -> list[Outgoing]:
        """Report to all homes if they are few, otherwise to a random sample.

        A home is drawn with a probability proportional to its requests, and its counts
        are scaled by the inverse, so their expected value is the true count.
        """
        if len(usages) <= REPORTS_PER_TICK:
            return [
                outgoing
                for to, usage in usages.items()
                for outgoing in self.report(to, usages_of(usage))
            ]
        homes = list(usages)
        weights = [usages[to].total for to in homes]
        total = sum(weights)
        outgoing = []
        for to in self.random.choices(homes, weights, k=REPORTS_PER_TICK):
            scale = total / (REPORTS_PER_TICK * usages[to].total)
            outgoing += self.report(to, usages_of(usages[to], scale))
        return outgoing

    def report(self, to: str, usages: list[Usage]) -> list[Outgoing]:
        """Split usages into report messages to one home."""
        size = MAX_USAGES_PER_REPORT
        return [
            Outgoing(to, UsageReport(self.address, usages[start : start + size]))
            for start in range(0, len(usages), size)
        ]

    def count_at_home(self, usages: list[Usage]) -> list[Throttle]:
        """Add usages to this home; return the throttles to send."""
        due = [self.home.add(usage) for usage in usages]
        return [throttle for throttle in due if throttle is not None]

    def apply_and_push(self, throttles: list[Throttle]) -> list[Outgoing]:
        """Apply throttles issued by this home and push them to peers."""
        for throttle in throttles:
            self.apply(throttle)
        return self.push(throttles)

    def push(self, throttles: list[Throttle]) -> list[Outgoing]:
        """Send throttles to a few peers unless the pushes of this tick are used up."""
        if not throttles or not self.pushes_left:
            return []
        self.pushes_left -= 1
        message = Throttles(throttles[:MAX_GOSSIPED_THROTTLES])
        peers = self.directory.random_peers(PUSH_FANOUT)
        return [Outgoing(peer, message) for peer in peers]

    def apply(self, throttle: Throttle) -> bool:
        """Apply a throttle if it is valid and newer; return whether it was applied."""
        now = self.clock.now_ms()
        key = LimitKey(throttle.route, throttle.account)
        ttl_ms = min(throttle.ttl_ms, THROTTLE_TTL_MS)
        expires_ms = now + ttl_ms
        current_throttle = self.throttle_of(key, now)
        if ttl_ms <= 0 or not 0.0 <= throttle.fraction <= 1.0:
            return False
        if current_throttle is not None and not is_newer(
            throttle, expires_ms, current_throttle
        ):
            return False
        credit = current_throttle.credit if current_throttle else self.random.random()
        self.applied[key] = AppliedThrottle(throttle, expires_ms, credit)
        self.applied.move_to_end(key)
        if len(self.applied) > MAX_THROTTLES:
            self.applied.popitem(last=False)
        return True

    def throttle_of(self, key: LimitKey, now_ms: int) -> AppliedThrottle | None:
        """Return the active throttle of an account."""
        applied = self.applied.get(key)
        return applied if applied and applied.expires_ms > now_ms else None

    def bucket(self, key: LimitKey, limit: AccountLimit, now_ms: int) -> LocalBucket:
        """Return the local bucket of an account; evict the least recently used."""
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = LocalBucket(float(limit.burst), now_ms)
        self.buckets.move_to_end(key)
        if len(self.buckets) > MAX_LOCAL_BUCKETS:
            self.buckets.popitem(last=False)
        return bucket

    def throttled_decision(self, limit: AccountLimit, fraction: float) -> Throttled:
        """Return the refusal with a jittered retry delay."""
        per_request_ms = MS_PER_S / limit.requests_per_s / max(fraction, 0.001)
        jittered = int(per_request_ms * self.random.uniform(1.0, 2.0))
        return Throttled(min(max(jittered, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))


def has_changed(before: float, after: float) -> bool:
    """Return whether a fraction has changed enough to be sent at once."""
    return abs(after - before) > SIGNIFICANT_CHANGE * before


def usages_of(usage: UsageByAccount, scale: float = 1.0) -> list[Usage]:
    """Return the counts for one home as usages."""
    return [
        Usage(key.route, key.account, count, scale)
        for key, count in usage.counts.items()
    ]


def with_ttl(throttle: Throttle, ttl_ms: int) -> Throttle:
    """Return a copy of a throttle with another time to live."""
    return Throttle(
        throttle.route,
        throttle.account,
        throttle.fraction,
        ttl_ms,
        throttle.home,
        throttle.sequence,
    )


def is_newer(
    throttle: Throttle, expires_ms: int, current_throttle: AppliedThrottle
) -> bool:
    """Return whether a throttle replaces the current one.

    Sequence numbers order the throttles of one home. Between two homes, such as before
    and after a failure, the throttle that expires later was issued later.
    """
    if throttle.home == current_throttle.throttle.home:
        return throttle.sequence > current_throttle.throttle.sequence
    return expires_ms > current_throttle.expires_ms

"""Fleet-wide limits per client account without a counter per request.

Each router counts the requests it is offered and reports a sample to the home
router of the account. The home estimates the fleet-wide rate and returns the
fraction that may be admitted. Fractions expire, so nothing outlives its home for
long. Usage is counted before throttling; the estimate therefore does not depend on
the fraction and the control loop cannot oscillate.
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
"""Reports that a router may send in one interval. Up to four routers have at most
three other homes, so their reports are complete and not a sample."""
MAX_USAGES_PER_REPORT = 16
THROTTLE_TTL_MS = 15_000
REFRESH_MS = 5_000
"""Interval at which a home renews a throttle; two renewals may be lost."""
FAST_WINDOW_MS = 3_000
SLOW_WINDOW_MS = 20_000
CHANGED_SHARE = 0.2
"""Relative change of a fraction that is spread at once instead of by renewal. The
first estimate after a surge is low, because the window is not yet full."""
MIN_CHANGE_INTERVAL_MS = 1_000
CHANGE_DEVIATIONS = 3.0
START_DEVIATIONS = 3.0
"""Standard deviations by which an estimate must exceed the limit before throttling
starts. A sampled report stands for about 14 requests, so a quiet account can seem to
exceed a low limit by chance."""
MAX_LOCAL_BUCKETS = 4_096
MAX_THROTTLES = 1_024
MAX_GOSSIPED = 4
"""Throttles in one gossip datagram, about 50 bytes each."""
PUSH_FANOUT = 3
MAX_PUSHES_PER_TICK = 3
"""Bounds the traffic when many accounts surge at once; gossip carries the rest."""
IDLE_RATE_PER_S = 0.01
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 30_000
FLOAT_TOLERANCE = 1e-9


class LimitKey(NamedTuple):
    """What a limit applies to."""

    route: str
    account: str


@dataclass(frozen=True)
class Allowed:
    """The request is within the limit as far as the router knows."""


@dataclass(frozen=True)
class Throttled:
    """The request is over the account's limit."""

    retry_after_ms: int


@dataclass(frozen=True)
class Outgoing:
    """A message to send to a process address."""

    to: str
    message: LimitMessage


class LimitDirectory(Protocol):
    """What a limiter asks its surroundings; the daemon implements it."""

    def home_of(self, key: LimitKey) -> str:
        """Return the address of the account's home, empty if there is none."""
        ...

    def limit_of(self, key: LimitKey) -> AccountLimit | None:
        """Return the limit in force."""
        ...

    def random_peers(self, count: int) -> list[str]:
        """Return addresses of other live routers."""
        ...


@dataclass
class DecayedRate:
    """Rate over an exponentially decaying window, with its variance.

    ``variance_sum`` decays twice as fast, because it sums squared weights.
    """

    window_ms: int
    updated_ms: int
    total: float = 0.0
    variance_sum: float = 0.0

    def decay(self, now_ms: int) -> None:
        """Let the sums decay up to now."""
        factor = math.exp((self.updated_ms - now_ms) / self.window_ms)
        self.total *= factor
        self.variance_sum *= factor * factor
        self.updated_ms = now_ms

    def add(self, weight: float, variance: float) -> None:
        """Add requests; call ``decay`` first."""
        self.total += weight
        self.variance_sum += variance

    def per_s(self) -> float:
        """Return the rate in requests a second."""
        return self.total * MS_PER_S / self.window_ms

    def variance(self) -> float:
        """Return the variance of the rate."""
        return self.variance_sum * (MS_PER_S / self.window_ms) ** 2


class RateEstimate:
    """Rate from a slow window, replaced by a fast one after a change.

    The slow window gives a small error in steady state; the fast window notices a
    surge within seconds.
    """

    def __init__(self, now_ms: int) -> None:
        self.fast = DecayedRate(FAST_WINDOW_MS, now_ms)
        self.slow = DecayedRate(SLOW_WINDOW_MS, now_ms)

    def add(self, usage: Usage, now_ms: int) -> None:
        """Add one reported usage."""
        weight = usage.count * usage.scale
        # A complete count only has the variance of the arrivals themselves.
        variance = float(usage.count) if usage.scale == 1.0 else weight * weight
        for rate in (self.fast, self.slow):
            rate.decay(now_ms)
            rate.add(weight, variance)

    def update(self, now_ms: int) -> None:
        """Move to the present and follow a significant change."""
        self.fast.decay(now_ms)
        self.slow.decay(now_ms)
        difference = abs(self.fast.per_s() - self.slow.per_s())
        deviation = math.sqrt(self.fast.variance() + self.slow.variance())
        if difference > CHANGE_DEVIATIONS * deviation:
            ratio = SLOW_WINDOW_MS / FAST_WINDOW_MS
            self.slow.total = self.fast.total * ratio
            # The slow window now holds no more evidence than the fast one.
            self.slow.variance_sum = self.fast.variance_sum * ratio * ratio

    def per_s(self) -> float:
        """Return the estimated rate in requests a second."""
        return self.slow.per_s()

    def deviation_per_s(self) -> float:
        """Return the standard deviation of the estimate."""
        return math.sqrt(self.slow.variance())


@dataclass
class HomeEntry:
    """What the home knows about one account on one route."""

    estimate: RateEstimate
    excess: float = 0.0
    """Requests beyond the limit, compared with the burst that is allowed."""
    updated_ms: int = 0
    throttling: bool = False
    refreshed_ms: int = 0
    fraction: float = 1.0


class AccountHome:
    """Estimates and throttles of the accounts whose home is this router."""

    def __init__(
        self, clock: Clock, instance_number: int, directory: LimitDirectory
    ) -> None:
        self.clock = clock
        self.instance_number = instance_number
        self.directory = directory
        self.entries: dict[LimitKey, HomeEntry] = {}
        self.sequence = 0

    def add(self, usage: Usage) -> Throttle | None:
        """Count a reported usage; return a throttle to spread, if one is due."""
        now = self.clock.now_ms()
        key = LimitKey(usage.route, usage.account)
        limit = self.directory.limit_of(key)
        if limit is None:
            return None
        entry = self.entries.get(key)
        if entry is None:
            entry = HomeEntry(RateEstimate(now), updated_ms=now)
            self.entries[key] = entry
        drained = limit.requests_per_s * (now - entry.updated_ms) / MS_PER_S
        entry.excess = max(0.0, entry.excess - drained) + usage.count * usage.scale
        entry.updated_ms = now
        entry.estimate.add(usage, now)
        return self.decide(key, entry, limit)

    def tick(self) -> list[Throttle]:
        """Return the throttles to renew or to lift and forget idle accounts."""
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
        """Start, renew or lift a throttle; return it if it is due to be spread."""
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
            over = rate - margin > limit.requests_per_s
            if not over or entry.excess <= limit.burst:
                return None
        entry.throttling = True
        entry.refreshed_ms = now
        entry.fraction = limit.requests_per_s / rate
        return self.throttle(key, entry.fraction)

    def is_due(self, entry: HomeEntry, fraction: float) -> bool:
        """Return whether a throttle must be renewed or has changed much."""
        age_ms = self.clock.now_ms() - entry.refreshed_ms
        if age_ms < MIN_CHANGE_INTERVAL_MS:
            return False
        return age_ms >= REFRESH_MS or has_changed(entry.fraction, fraction)

    def current(self, key: LimitKey) -> Throttle | None:
        """Return the throttle in force with the present estimate."""
        entry = self.entries.get(key)
        limit = self.directory.limit_of(key)
        if entry is None or limit is None or not entry.throttling:
            return None
        rate = max(entry.estimate.per_s(), limit.requests_per_s)
        return self.throttle(key, limit.requests_per_s / rate)

    def throttle(self, key: LimitKey, fraction: float) -> Throttle:
        """Return a new throttle message."""
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
    """A throttle in force at this router.

    ``credit`` spreads the admitted requests evenly instead of at random, which
    keeps the admitted rate exact also over a few requests.
    """

    throttle: Throttle
    expires_ms: int
    credit: float
    times_sent: int = 0


@dataclass
class LocalBucket:
    """Token bucket with the whole limit, at one router."""

    tokens: float
    updated_ms: int

    def take(self, limit: AccountLimit, now_ms: int) -> bool:
        """Take one token if there is one."""
        gained = limit.requests_per_s * (now_ms - self.updated_ms) / MS_PER_S
        self.tokens = min(float(limit.burst), self.tokens + gained)
        self.updated_ms = now_ms
        if self.tokens < 1.0 - FLOAT_TOLERANCE:
            return False
        self.tokens -= 1.0
        return True


@dataclass
class HomeUsage:
    """Requests counted for one home since the last report."""

    counts: dict[LimitKey, int] = field(default_factory=dict)
    total: int = 0


class AccountLimiter:
    """Account limits at one router.

    The owner calls ``admit`` for each request, ``tick`` once per
    ``REPORT_INTERVAL_MS`` and ``receive`` for each ``LimitMessage``, and sends what
    the last two return. ``gossip`` and ``merge`` connect it to the gossip of the
    membership.
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
                return self.throttled(limit, fraction)
            applied.credit -= 1.0
        if not self.bucket(key, limit, now).take(limit, now):
            return self.throttled(limit, fraction)
        return Allowed()

    def tick(self) -> list[Outgoing]:
        """Return the reports and renewed throttles that are due."""
        self.pushes_left = MAX_PUSHES_PER_TICK
        now = self.clock.now_ms()
        for key in [k for k, each in self.applied.items() if each.expires_ms <= now]:
            del self.applied[key]
        outgoing = self.spread(self.home.tick())
        usages = self.usages_by_home()
        if (own := usages.pop(self.address, None)) is not None:
            outgoing += self.spread(self.count_at_home(complete(own)))
        usages.pop("", None)
        return outgoing + self.reports(usages)

    def receive(self, message: LimitMessage) -> list[Outgoing]:
        """Handle a report or throttles from a peer."""
        if isinstance(message, Throttles):
            return self.merge(message.throttles)
        outgoing = self.spread(self.count_at_home(message.usages))
        keys = {LimitKey(usage.route, usage.account) for usage in message.usages}
        current = [self.home.current(key) for key in keys]
        answer = [throttle for throttle in current if throttle is not None]
        if answer:
            outgoing.append(Outgoing(message.sender, Throttles(answer)))
        return outgoing

    def merge(self, throttles: list[Throttle]) -> list[Outgoing]:
        """Apply throttles from a peer; return pushes of those that changed much."""
        changed = []
        for throttle in throttles:
            known = self.throttle_of(
                LimitKey(throttle.route, throttle.account), self.clock.now_ms()
            )
            before = known.throttle.fraction if known else 1.0
            if self.apply(throttle) and has_changed(before, throttle.fraction):
                changed.append(throttle)
        return self.push(changed)

    def gossip(self, most: int = MAX_GOSSIPED) -> list[Throttle]:
        """Return the throttles that were sent least often, with their time left."""
        now = self.clock.now_ms()
        live = [each for each in self.applied.values() if each.expires_ms > now]
        live.sort(key=lambda each: each.times_sent)
        for each in live[:most]:
            each.times_sent += 1
        return [with_ttl(each.throttle, each.expires_ms - now) for each in live[:most]]

    def usages_by_home(self) -> dict[str, HomeUsage]:
        """Take the counted requests, grouped by home."""
        homes: dict[str, HomeUsage] = {}
        for key, count in self.counts.items():
            usage = homes.setdefault(self.directory.home_of(key), HomeUsage())
            usage.counts[key] = count
            usage.total += count
        self.counts = {}
        return homes

    def reports(self, usages: dict[str, HomeUsage]) -> list[Outgoing]:
        """Report everything if it takes few messages, otherwise a sample.

        A home is drawn with a probability proportional to its requests and its
        counts are scaled by the inverse, so the expected value is the true count.
        """
        if len(usages) <= REPORTS_PER_TICK:
            return [
                outgoing
                for to, usage in usages.items()
                for outgoing in self.report(to, complete(usage))
            ]
        homes = list(usages)
        weights = [usages[to].total for to in homes]
        total = sum(weights)
        outgoing = []
        for to in self.random.choices(homes, weights, k=REPORTS_PER_TICK):
            scale = total / (REPORTS_PER_TICK * usages[to].total)
            outgoing += self.report(to, complete(usages[to], scale))
        return outgoing

    def report(self, to: str, usages: list[Usage]) -> list[Outgoing]:
        """Return the messages for one home."""
        size = MAX_USAGES_PER_REPORT
        return [
            Outgoing(to, UsageReport(self.address, usages[start : start + size]))
            for start in range(0, len(usages), size)
        ]

    def count_at_home(self, usages: list[Usage]) -> list[Throttle]:
        """Count usages at this home and return the throttles that are due."""
        due = [self.home.add(usage) for usage in usages]
        return [throttle for throttle in due if throttle is not None]

    def spread(self, throttles: list[Throttle]) -> list[Outgoing]:
        """Apply throttles of this home and push them to peers."""
        for throttle in throttles:
            self.apply(throttle)
        return self.push(throttles)

    def push(self, throttles: list[Throttle]) -> list[Outgoing]:
        """Send throttles to a few peers, as far as the budget allows."""
        if not throttles or not self.pushes_left:
            return []
        self.pushes_left -= 1
        message = Throttles(throttles[:MAX_GOSSIPED])
        peers = self.directory.random_peers(PUSH_FANOUT)
        return [Outgoing(peer, message) for peer in peers]

    def apply(self, throttle: Throttle) -> bool:
        """Apply a throttle unless a newer one is known; return whether it is new."""
        now = self.clock.now_ms()
        key = LimitKey(throttle.route, throttle.account)
        ttl_ms = min(throttle.ttl_ms, THROTTLE_TTL_MS)
        expires_ms = now + ttl_ms
        known = self.throttle_of(key, now)
        if ttl_ms <= 0 or not 0.0 <= throttle.fraction <= 1.0:
            return False
        if known is not None and not is_newer(throttle, expires_ms, known):
            return False
        credit = known.credit if known else self.random.random()
        self.applied[key] = AppliedThrottle(throttle, expires_ms, credit)
        self.applied.move_to_end(key)
        if len(self.applied) > MAX_THROTTLES:
            self.applied.popitem(last=False)
        return True

    def throttle_of(self, key: LimitKey, now_ms: int) -> AppliedThrottle | None:
        """Return the throttle in force for an account."""
        applied = self.applied.get(key)
        return applied if applied and applied.expires_ms > now_ms else None

    def bucket(self, key: LimitKey, limit: AccountLimit, now_ms: int) -> LocalBucket:
        """Return the local bucket of an account; drop the least recently used."""
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = LocalBucket(float(limit.burst), now_ms)
        self.buckets.move_to_end(key)
        if len(self.buckets) > MAX_LOCAL_BUCKETS:
            self.buckets.popitem(last=False)
        return bucket

    def throttled(self, limit: AccountLimit, fraction: float) -> Throttled:
        """Return the refusal with a jittered time after which to come back."""
        per_request_ms = MS_PER_S / limit.requests_per_s / max(fraction, 0.001)
        jittered = int(per_request_ms * self.random.uniform(1.0, 2.0))
        return Throttled(min(max(jittered, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))


def has_changed(before: float, after: float) -> bool:
    """Return whether a fraction has changed enough to be spread at once."""
    return abs(after - before) > CHANGED_SHARE * before


def complete(usage: HomeUsage, scale: float = 1.0) -> list[Usage]:
    """Return all counts for one home as usages."""
    return [
        Usage(key.route, key.account, count, scale)
        for key, count in usage.counts.items()
    ]


def with_ttl(throttle: Throttle, ttl_ms: int) -> Throttle:
    """Return a throttle with the time that is left."""
    return Throttle(
        throttle.route,
        throttle.account,
        throttle.fraction,
        ttl_ms,
        throttle.home,
        throttle.sequence,
    )


def is_newer(throttle: Throttle, expires_ms: int, known: AppliedThrottle) -> bool:
    """Return whether a throttle replaces a known one.

    Sequences order the throttles of one home. Between homes, such as before and
    after a failure, the one that expires later was issued later.
    """
    if throttle.home == known.throttle.home:
        return throttle.sequence > known.throttle.sequence
    return expires_ms > known.expires_ms

"""What is known of the slowness of one server, and the evidence that it rests on."""

from math import exp, log

from msgspec import Struct, field

MEMORY_MS = 700
"""Time constant with which evidence fades. A change is followed by two thirds within it,
and the pace of a shared VM, which changes many times a second, is averaged."""

MEMORY_PER_PEER_MS = 4
MAX_MEMORY_MS = 2_500
"""What each router adds to the time constant, half of the time by which it lengthens the
interval of reports, and the longest one."""

MAX_WEIGHT = 60.0
"""Observations that evidence counts for at most, so that it fades within 2 s."""

PRIOR_WEIGHT = 0.7
"""Observations that the assumption counts for that a server is as its pool."""

PACE_WEIGHT = 0.1
"""Weight of a reported pace: it covers one moment of the VM, not what a request takes."""

LATE_RATIO = 2.0
LATE_WEIGHT = 2.0
"""A request that waits for more than this multiple of the usual time counts before it is
answered, as so many observations."""

MIN_LATE_MS = 200
"""Shorter waits are not late, whatever is usual; they may be the router's own delay."""

MAX_SLOWNESS = 16.0
MIN_SLOWNESS = 0.25
MAX_LOG_RATIO = log(MAX_SLOWNESS)

DEAD_BAND = log(1.25)
"""Deviation from the pool that counts as none, in logarithms. It keeps the noise of few
observations from moving work."""


MIN_SHARE = 0.05
"""Share of its usual requests that the slowest server gets, so that it is observed."""

RISE_PER_MS = log(4) / 1_000
"""Rate at which the share of a server rises again, as a logarithm."""

SLOW_BEGIN = 2.0
SLOW_END = 1.4
"""Slowness from which a server counts as slow and below which it no longer does."""

RELAPSE_MS = 10_000
RELAPSE_FACTOR = 0.1
MAX_RELAPSES = 2
"""A server that is slow again within this time may be slow because of what it gets: its
share rises more slowly then, so that it stays near what it takes well."""


class Evidence(Struct):
    """Weighted sum of observations, whose weight fades with time."""

    weight: float = 0.0
    total: float = 0.0
    at_ms: int = 0
    memory_ms: float = MEMORY_MS

    def fade(self, now_ms: int) -> None:
        """Reduce the weight for the time since the last call."""
        if now_ms > self.at_ms:
            kept = exp((self.at_ms - now_ms) / self.memory_ms)
            self.weight *= kept
            self.total *= kept
            self.at_ms = now_ms

    def add(self, now_ms: int, value: float, weight: float = 1.0) -> None:
        """Add an observation."""
        self.fade(now_ms)
        self.weight += weight
        self.total += weight * value
        if self.weight > MAX_WEIGHT:
            self.total *= MAX_WEIGHT / self.weight
            self.weight = MAX_WEIGHT

    @property
    def mean(self) -> float:
        """Return the mean of the observations, 0 without any."""
        return self.total / self.weight if self.weight > 0 else 0.0


class WaitingRequest(Struct):
    """A request of this router without a first event yet.

    ``usual_ms`` is the time after which a usual server would have answered.
    """

    sent_ms: int
    tokens: int
    usual_ms: float


class ServerEstimate(Struct):
    """State of one server.

    Values of evidence are logarithms of times in relation to the usual ones. ``own`` are
    the observations of this router, ``unreported`` those since its last report, and
    ``peers`` those of the other routers, which are relative to their level of the pool.
    ``share`` is the one of its usual requests that it should get, which falls at once and
    rises gradually; ``relapses`` counts how often it was slow again within a time after
    ``restrained_ms``, when its share was last below 1 because it was slow.
    ``pace`` is that of the server's VM. ``waiting`` are this router's requests without a
    first event, the oldest first, and ``waiting_tokens`` their tokens. ``occupancy`` is
    the class of the number of requests that run there.
    """

    pool: str
    key: int
    own: Evidence = field(default_factory=Evidence)
    unreported: Evidence = field(default_factory=Evidence)
    peers: Evidence = field(default_factory=Evidence)
    pace: Evidence = field(default_factory=Evidence)
    waiting: dict[int, WaitingRequest] = field(default_factory=dict)
    waiting_tokens: int = 0
    running: int = 0
    queued: int = 0
    load_ms: int = -60_000
    occupancy: int = 0
    slowness: float = 1.0
    log_slowness: float = 0.0
    observed_ms: int = 0
    share: float = 1.0
    updated_ms: int = 0
    is_slow: bool = False
    relapses: int = 0
    is_restrained: bool = False
    restrained_ms: int = -60_000

    @property
    def is_usual(self) -> bool:
        """Return whether the server counts as its pool."""
        return self.log_slowness == 0.0

    def observe(self, now_ms: int, log_ratio: float, weight: float = 1.0) -> None:
        """Add an observation of this router."""
        limited = max(-MAX_LOG_RATIO, min(log_ratio, MAX_LOG_RATIO))
        self.own.add(now_ms, limited, weight)
        self.unreported.add(now_ms, limited, weight)
        self.observed_ms = now_ms

    def set_memory(self, routers: int) -> None:
        """Set the time constant for a number of routers that are heard."""
        memory_ms = min(MEMORY_MS + MEMORY_PER_PEER_MS * routers, MAX_MEMORY_MS)
        for each in (self.own, self.peers, self.unreported, self.pace):
            each.memory_ms = memory_ms

    def fade(self, now_ms: int) -> None:
        """Reduce the weight of old evidence."""
        self.own.fade(now_ms)
        self.peers.fade(now_ms)
        self.pace.fade(now_ms)

    def late_ratio(self, now_ms: int) -> float:
        """Return by how much the oldest waiting request exceeds its usual time."""
        oldest = next(iter(self.waiting.values()), None)
        if oldest is None or not oldest.usual_ms:
            return 0.0
        return (now_ms - oldest.sent_ms) / max(oldest.usual_ms, MIN_LATE_MS)

    def update(self, now_ms: int, level: float, pace_level: float) -> None:
        """Compute the slowness in relation to the level of the pool."""
        weight = self.own.weight + self.peers.weight
        total = self.own.total - self.own.weight * level + self.peers.total
        if self.pace.weight:
            pace_weight = PACE_WEIGHT * self.pace.weight
            weight += pace_weight
            total += pace_weight * (self.pace.mean - pace_level)
        late_ratio = self.late_ratio(now_ms)
        if late_ratio > LATE_RATIO:
            late = min(log(late_ratio), MAX_LOG_RATIO) - level
            if late * weight > total:
                weight += LATE_WEIGHT
                total += LATE_WEIGHT * late
        value = total / (weight + PRIOR_WEIGHT)
        if abs(value) < DEAD_BAND:
            value = 0.0
        self.log_slowness = value
        self.slowness = max(MIN_SLOWNESS, min(exp(value), MAX_SLOWNESS))
        self.update_share(now_ms)

    def update_share(self, now_ms: int) -> None:
        """Compute the share of its usual requests that the server should get."""
        is_slow = self.slowness >= (SLOW_END if self.is_slow else SLOW_BEGIN)
        if is_slow and not self.is_slow:
            is_relapse = now_ms - self.restrained_ms < RELAPSE_MS
            self.relapses = min(self.relapses + 1, MAX_RELAPSES) if is_relapse else 0
            self.is_restrained = True
        self.is_slow = is_slow
        rise = RISE_PER_MS * RELAPSE_FACTOR**self.relapses
        highest = self.share * exp(rise * min(now_ms - self.updated_ms, RELAPSE_MS))
        self.share = max(MIN_SHARE, min(1.0, 1.0 / self.slowness, highest))
        self.updated_ms = now_ms
        if self.is_restrained:
            self.restrained_ms = now_ms
            self.is_restrained = is_slow or self.share < 1

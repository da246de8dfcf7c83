"""What each server of a pool takes well, as this router and its peers observe it.

The estimate of a server is its slowness in comparison with its pool. Observations are
compared with what usual servers take at like occupancy; the median of the servers is the
level of the pool. The work for an observation does not depend on the number of servers
or routers; figures are computed from the evidence when they are older than
``REFRESH_MS``.
"""

from collections.abc import Iterable
from math import exp, log
from random import Random
from statistics import median

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.configuration import Pool
from ..protocol.peer_messages import ReportedSlowness
from ..protocol.requests import ServerLoad
from ..protocol.servers import BackendServer
from ..settings import Switch
from .attempt_timing import AttemptTiming
from .hashing import instance_key
from .load_view import LoadView
from .pool_reference import PoolReference, occupancy_class
from .prompt_backlog import PromptBacklog
from .server_estimate import (
    DEAD_BAND,
    MAX_WEIGHT,
    MIN_SLOWNESS,
    Evidence,
    ServerEstimate,
)

REFRESH_MS = 50
"""Age up to which computed figures are used."""

MIN_OBSERVED_SERVERS = 3
"""Servers with observations from which their median is the level of the pool. With
fewer, the usual times alone are compared with."""

NOT_RUN_RATIO = 4.0
"""Slowness for which a response counts that the server did not run the request."""

MAX_REPORTED = 40
"""Servers in one report."""

LOAD_TTL_MS = 300
"""Time for which the load that a server reports is better than the count of attempts."""

FORGET_MS = 60_000
EXPIRY_INTERVAL_MS = 5_000
"""Time without observations after which a server is forgotten, and interval of checks."""

CHANGE_INTERVAL_MS = 5_000
MAX_CHANGES = 10
"""Interval at which a server is logged at most as slow or not, and the changes that are
logged at once."""


class LoggedState(Struct, frozen=True):
    """Whether a server was logged as slow, and when that changed."""

    is_slow: bool
    changed_ms: int


NEVER_LOGGED = LoggedState(is_slow=False, changed_ms=-CHANGE_INTERVAL_MS)


class PoolFigures(Struct):
    """Reference and servers of a pool; ``level`` is the median of its servers."""

    reference: PoolReference = field(default_factory=PoolReference)
    servers: dict[str, ServerEstimate] = field(default_factory=dict)
    level: float = 0.0
    refreshed_ms: int = -REFRESH_MS


class ServerCapacity:
    """Estimates how slow servers are in comparison with their pools.

    ``switch`` is the setting. ``called_for`` tells whether the deployment calls for the
    estimates: a server has reported a pace.
    """

    def __init__(
        self, clock: Clock, random: Random, load: LoadView | None = None
    ) -> None:
        self.clock = clock
        self.random = random
        self.load = LoadView(clock) if load is None else load
        self.switch = Switch.AUTO
        self.called_for = False
        self.pools: dict[str, PoolFigures] = {}
        self.servers: dict[str, ServerEstimate] = {}
        self.by_key: dict[int, ServerEstimate] = {}
        self.peer_backlog = PromptBacklog(clock)
        self.logged: dict[str, LoggedState] = {}
        self.next_expiry_ms = 0
        self.last_number = 0

    # Activation

    @property
    def is_on(self) -> bool:
        """Return whether anything is observed and reported."""
        if self.switch is Switch.AUTO:
            return self.called_for
        return self.switch is Switch.ON

    def is_active(self, pool: Pool) -> bool:
        """Return whether the estimates of a pool are to be used.

        Once they are called for by one pool of a deployment, they are used for all.
        """
        return self.is_on

    # Figures

    def slowness(self, instance: str) -> float:
        """Return how slow a server is: 1.0 as its pool, 4.0 four times slower."""
        estimate = self.servers.get(instance)
        if estimate is None:
            return 1.0
        self.refresh(estimate.pool)
        return estimate.slowness

    def share(self, instance: str) -> float:
        """Return the share of its usual requests that a server should get, 0 to 1."""
        estimate = self.servers.get(instance)
        if estimate is None:
            return 1.0
        self.refresh(estimate.pool)
        return estimate.share

    def backlog_tokens(self, instance: str) -> int:
        """Return the prompt tokens sent to a server that have had no first event."""
        estimate = self.servers.get(instance)
        own = 0 if estimate is None else estimate.waiting_tokens
        return own + self.peer_backlog.totals.get(instance_key(instance), 0)

    def backlog_ms(self, instance: str) -> float:
        """Return the time in which a server processes the prompts that wait there.

        These are the prompts that this router and its peers have sent and that have had
        no first event yet.
        """
        estimate = self.servers.get(instance)
        if estimate is None:
            return 0.0
        token_ms = self.pools[estimate.pool].reference.token_ms
        return self.backlog_tokens(instance) * token_ms * self.slowness(instance)

    def expected_first_ms(
        self, server: BackendServer, uncached_tokens: int, route: str = ""
    ) -> float:
        """Return the time to the first event of a request sent to a server now.

        For a plain call, it is the time to its response, 0 if nothing is known.
        """
        usual_ms = self.usual_first_ms(server, uncached_tokens, route)
        return usual_ms * self.slowness(server.instance)

    def usual_first_ms(
        self, server: BackendServer, uncached_tokens: int, route: str = ""
    ) -> float:
        """Return the time to the first event if the server is as its pool.

        What waits at the server comes first, and a request for which no slot is free
        waits until one is.
        """
        figures = self.pools.get(server.pool)
        if figures is None:
            return 0.0
        reference = figures.reference
        in_flight = self.load.in_flight(server.instance)
        tokens = uncached_tokens + self.backlog_tokens(server.instance)
        occupancy = occupancy_class(in_flight + 1)
        first_ms = reference.usual_first_ms(tokens, occupancy, route)
        excess = in_flight + 1 - server.slots
        estimate = self.servers.get(server.instance)
        if estimate is not None and estimate.queued and self.is_fresh(estimate):
            excess = max(excess, estimate.queued + 1)
        if excess > 0:
            first_ms += reference.duration_ms * excess / max(server.slots, 1)
        return first_ms

    def is_fresh(self, estimate: ServerEstimate) -> bool:
        """Return whether the load that a server has reported is still that of now."""
        return self.clock.now_ms() - estimate.load_ms <= LOAD_TTL_MS

    def usual_duration_ms(self, pool: str) -> float:
        """Return the usual duration of a request of a pool, 0 if it is not known."""
        figures = self.pools.get(pool)
        return 0.0 if figures is None else figures.reference.duration_ms

    def refresh(self, pool: str) -> None:
        """Compute the figures of a pool again unless that was done a moment ago."""
        figures = self.pools[pool]
        now_ms = self.clock.now_ms()
        if now_ms - figures.refreshed_ms < REFRESH_MS:
            return
        figures.refreshed_ms = now_ms
        estimates = figures.servers.values()
        for estimate in estimates:
            estimate.set_memory(len(self.load.peers))
            estimate.fade(now_ms)
        figures.level = level_of(estimate.own for estimate in estimates)
        pace_level = level_of(estimate.pace for estimate in estimates)
        for instance, estimate in figures.servers.items():
            running = self.load.in_flight(instance)
            if self.is_fresh(estimate):
                running = estimate.running
            estimate.occupancy = occupancy_class(running)
            estimate.update(now_ms, figures.level, pace_level)

    # Observations

    def new_timing(
        self, pool: Pool, server: BackendServer, route: str, uncached_tokens: int
    ) -> AttemptTiming | None:
        """Return what observes an attempt, None if nothing is to be observed."""
        if not self.is_active(pool):
            return None
        return AttemptTiming(self, server, route, uncached_tokens)

    def estimate_of(self, server: BackendServer) -> ServerEstimate:
        """Return the state of a server; it is created with the first observation."""
        estimate = self.servers.get(server.instance)
        if estimate is None:
            figures = self.pools.setdefault(server.pool, PoolFigures())
            key = instance_key(server.instance)
            estimate = ServerEstimate(server.pool, key)
            estimate.observed_ms = self.clock.now_ms()
            figures.servers[server.instance] = estimate
            self.servers[server.instance] = estimate
            self.by_key[key] = estimate
        return estimate

    def reference_of(self, server: BackendServer) -> PoolReference:
        """Return the reference of a server's pool."""
        return self.pools.setdefault(server.pool, PoolFigures()).reference

    def record_load(self, server: BackendServer, load: ServerLoad) -> None:
        """Record the load that a server has reported in a response."""
        if load.pace_percent is not None:
            self.called_for = True
        if not self.is_on:
            return
        estimate = self.estimate_of(server)
        now_ms = self.clock.now_ms()
        estimate.running, estimate.queued = load.running, load.waiting
        estimate.load_ms = now_ms
        if load.pace_percent:
            estimate.pace.add(now_ms, log(load.pace_percent / 100))

    def record_not_run(self, server: BackendServer) -> None:
        """Record that a server refused a request because of its load."""
        if self.is_on:
            self.estimate_of(server).observe(self.clock.now_ms(), log(NOT_RUN_RATIO))

    # Exchange with the peers

    def reported_slowness(self) -> list[ReportedSlowness]:
        """Return what was observed since the last report of servers that deviate."""
        if not self.is_on:
            return []
        now_ms = self.clock.now_ms()
        entries = []
        for figures in self.pools.values():
            for estimate in figures.servers.values():
                unreported, estimate.unreported = (
                    estimate.unreported,
                    Evidence(memory_ms=estimate.own.memory_ms),
                )
                if not unreported.weight:
                    continue
                unreported.fade(now_ms)
                deviation = unreported.mean - figures.level
                if unreported.weight < 0.5 or (
                    abs(deviation) < DEAD_BAND and estimate.is_usual
                ):
                    continue
                entries.append(
                    ReportedSlowness(
                        estimate.key,
                        round(100 * max(exp(deviation), MIN_SLOWNESS / 2)),
                        max(round(unreported.weight), 1),
                        max(now_ms - estimate.observed_ms, 0),
                    )
                )
        if len(entries) > MAX_REPORTED:
            entries.sort(key=lambda entry: -entry.slowness_percent)
        return entries[:MAX_REPORTED]

    def reported_waiting(self) -> dict[int, int]:
        """Return the prompt tokens of this router that wait, by instance key."""
        if not self.is_on:
            return {}
        return {
            estimate.key: estimate.waiting_tokens
            for estimate in self.servers.values()
            if estimate.waiting_tokens
        }

    def apply_report(
        self,
        router_id: int,
        slow_servers: list[ReportedSlowness],
        waiting_tokens: dict[int, int],
    ) -> None:
        """Take over what a peer has observed since its last report."""
        if slow_servers or waiting_tokens:
            self.called_for = True
        if not self.is_on:
            return
        now_ms = self.clock.now_ms()
        for entry in slow_servers[:MAX_REPORTED]:
            estimate = self.by_key.get(entry.instance_key)
            if estimate is not None and entry.slowness_percent > 0:
                faded = exp(-max(entry.age_ms, 0) / estimate.peers.memory_ms)
                weight = max(min(entry.observations, MAX_WEIGHT), 0) * faded
                estimate.peers.add(now_ms, log(entry.slowness_percent / 100), weight)
        self.peer_backlog.apply_report(router_id, waiting_tokens)

    # Housekeeping

    def prepare(self, servers: Iterable[BackendServer]) -> None:
        """Prepare for the reports of peers on servers that this router has not used."""
        for server in servers:
            self.estimate_of(server)

    def expire(self, listed: Iterable[BackendServer]) -> None:
        """Discard the reports of silent peers, and servers that are no longer listed."""
        now_ms = self.clock.now_ms()
        self.peer_backlog.expire()
        if now_ms < self.next_expiry_ms or not self.is_on:
            return
        self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        listed = list(listed)
        self.prepare(listed)
        instances = {server.instance for server in listed}
        for instance, estimate in list(self.servers.items()):
            is_old = now_ms - estimate.observed_ms > FORGET_MS
            if is_old and instance not in instances and not estimate.waiting:
                del self.servers[instance]
                del self.pools[estimate.pool].servers[instance]
                self.by_key.pop(estimate.key, None)
                self.logged.pop(instance, None)

    def changes(self) -> list[tuple[str, float, bool]]:
        """Return servers found slow or usual again: instance, slowness, whether slow.

        A server is returned at most once in an interval.
        """
        if not self.is_on:
            return []
        now_ms = self.clock.now_ms()
        changed = []
        for instance, estimate in self.servers.items():
            known = self.logged.get(instance, NEVER_LOGGED)
            self.refresh(estimate.pool)
            is_slow = estimate.is_slow
            if is_slow != known.is_slow and (
                now_ms - known.changed_ms >= CHANGE_INTERVAL_MS
            ):
                changed.append((instance, estimate.slowness, is_slow))
        for instance, _, is_slow in changed[:MAX_CHANGES]:
            self.logged[instance] = LoggedState(is_slow, now_ms)
        return changed[:MAX_CHANGES]


def level_of(evidence: Iterable[Evidence]) -> float:
    """Return the median of the servers that have observations, 0 with too few."""
    means = [each.mean for each in evidence if each.weight >= 1]
    return median(means) if len(means) >= MIN_OBSERVED_SERVERS else 0.0

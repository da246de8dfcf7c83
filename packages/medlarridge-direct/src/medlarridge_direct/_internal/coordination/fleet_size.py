"""Number of routers that share the limits of the whole fleet.

Each router spends its own part of such a limit without asking the others, so one that
takes the number of routers for too small exceeds the limit. Routers that are not heard
may be working: only the registry in the store tells that a router is gone, and only a
router that knows the registry may spend its part.
"""

from collections import deque

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

REGISTRY_VALIDITY_MS = 25_000
"""Age up to which a reading of the registry is relied on. Each router that reaches the
store reads it every 20 s."""

STALE_READ_MS = 5_000
"""Time by which the store's answer may lag behind, since the registry is read without
asking for the newest state."""

JOIN_DELAY_MS = REGISTRY_VALIDITY_MS + STALE_READ_MS
"""Time after its registration for which a router spends no part: until then, others may
rely on readings in which it is missing."""

COUNT_RETENTION_MS = 2 * REGISTRY_VALIDITY_MS
"""Time for which a larger count stays in force. Entries that the store has lost are
written again in less."""

UNKNOWN_FLEET_SIZE = 64
"""Assumed number of routers before the registry is known for the first time."""


class FleetSize(Struct):
    """Counts of routers, from the registry and from peers.

    ``joined_ms`` is when this router was first known to be registered, and
    ``confirmed_ms`` the time of the newest known reading of the registry, by this router
    or by a peer. ``own_count`` and ``own_read_ms`` are those of this router's last
    reading. ``counts`` holds pairs of a time and a count, counts descending.
    """

    clock: Clock
    joined_ms: int | None = None
    confirmed_ms: int | None = None
    own_count: int = 0
    own_read_ms: int | None = None
    counts: deque[tuple[int, int]] = field(default_factory=deque)

    def record_joined(self) -> None:
        """Record that the registry lists this router."""
        if self.joined_ms is None:
            self.joined_ms = self.clock.now_ms()

    def record_own_reading(self, count: int, read_ms: int) -> None:
        """Record how many routers the registry listed when this router read it."""
        self.own_count, self.own_read_ms = count, read_ms
        self.record_reading(count, read_ms)

    def record_reading(self, count: int, read_ms: int) -> None:
        """Record how many routers the registry listed at ``read_ms``."""
        self.record_count(count)
        self.confirmed_ms = max(read_ms, self.confirmed_ms or 0)

    def record_count(self, count: int) -> None:
        """Record that there are at least so many routers."""
        while self.counts and self.counts[-1][1] <= count:
            self.counts.pop()
        self.counts.append((self.clock.now_ms(), count))

    @property
    def count(self) -> int:
        """Return how many routers may share a limit.

        A larger count is given up only when later readings of the registry have not
        repeated it. Without readings, nothing tells that routers are gone.
        """
        if self.confirmed_ms is None:
            return UNKNOWN_FLEET_SIZE
        oldest_ms = self.confirmed_ms - COUNT_RETENTION_MS
        while len(self.counts) > 1 and self.counts[0][0] < oldest_ms:
            self.counts.popleft()
        return self.counts[0][1]

    def own_reading_age_ms(self) -> int | None:
        """Return the age of this router's last reading, or None if there was none."""
        if self.own_read_ms is None:
            return None
        return self.clock.now_ms() - self.own_read_ms

    def is_settled(self, window_ms: int) -> bool:
        """Return whether this router may spend its part of a limit.

        All others must count it by now, and their retries from before that must have
        left the limit's window. Its own reading, or that of a peer, must be recent.
        """
        now_ms = self.clock.now_ms()
        return (
            self.joined_ms is not None
            and now_ms - self.joined_ms >= JOIN_DELAY_MS + window_ms
            and self.confirmed_ms is not None
            and now_ms - self.confirmed_ms <= REGISTRY_VALIDITY_MS
        )

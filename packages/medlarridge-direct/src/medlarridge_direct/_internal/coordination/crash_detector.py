"""Detection of crashing requests: matches broken attempts with servers that go down."""

from collections import deque
from dataclasses import dataclass, field

from medlarridge._internal.clock import Clock

from .crash_guard import CrashGuard

CRASH_WINDOW_MS = 6_000
"""A server that is found down within this time after a broken attempt counts as crashed
by it. This may take a while: a lapsed entry leaves the server list after three
heartbeats, and the list is read once a second."""


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection was lost before its response was complete."""

    fingerprint: int
    broken_ms: int


@dataclass(frozen=True, slots=True)
class Strike:
    """A request that was running on a server when the server went down."""

    fingerprint: int
    server: str


@dataclass(slots=True)
class CrashDetector:
    """Broken attempts by server, kept until the server is down or they expire."""

    clock: Clock
    guard: CrashGuard
    broken: dict[str, deque[BrokenAttempt]] = field(default_factory=dict)

    def record_broken(self, fingerprint: int, server: str) -> None:
        """Record a broken attempt."""
        attempts = self.broken.setdefault(server, deque(maxlen=256))
        attempts.append(BrokenAttempt(fingerprint, self.clock.now_ms()))

    def record_down(self, server: str) -> list[Strike]:
        """Record that a server is down; return the new strikes that follow from it."""
        oldest_ms = self.clock.now_ms() - CRASH_WINDOW_MS
        strikes = []
        for attempt in self.broken.pop(server, ()):
            if attempt.broken_ms >= oldest_ms and self.guard.add_strike(
                attempt.fingerprint, server
            ):
                strikes.append(Strike(attempt.fingerprint, server))
        return strikes

    def expire(self) -> None:
        """Discard the broken attempts of servers that stayed up."""
        oldest_ms = self.clock.now_ms() - CRASH_WINDOW_MS
        for server in list(self.broken):
            if self.broken[server][-1].broken_ms < oldest_ms:
                del self.broken[server]

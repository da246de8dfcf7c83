"""Connects broken attempts with servers that go down, to find crashing requests."""

from collections import deque
from dataclasses import dataclass, field

from medlarridge._internal.clock import Clock

from .crash_guard import CrashGuard

CONFIRM_MS = 6_000
"""Time after a broken attempt in which its server's end counts as a crash: a lapsed
entry leaves the list after three heartbeats, and the list is read once a second."""


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection was lost before its answer was complete."""

    fingerprint: int
    broken_ms: int


@dataclass(frozen=True, slots=True)
class Strike:
    """A request that ran at a server that went down."""

    fingerprint: int
    server: str


@dataclass(slots=True)
class CrashDetector:
    """Broken attempts by server, until the server is known to live or to be down."""

    clock: Clock
    guard: CrashGuard
    broken: dict[str, deque[BrokenAttempt]] = field(default_factory=dict)

    def record_broken(self, fingerprint: int, server: str) -> None:
        """Remember a broken attempt."""
        attempts = self.broken.setdefault(server, deque(maxlen=256))
        attempts.append(BrokenAttempt(fingerprint, self.clock.now_ms()))

    def record_down(self, server: str) -> list[Strike]:
        """Record that a server is down; return the strikes that are new."""
        oldest_ms = self.clock.now_ms() - CONFIRM_MS
        strikes = []
        for attempt in self.broken.pop(server, ()):
            if attempt.broken_ms >= oldest_ms and self.guard.add_strike(
                attempt.fingerprint, server
            ):
                strikes.append(Strike(attempt.fingerprint, server))
        return strikes

    def expire(self) -> None:
        """Forget broken attempts at servers that stayed up."""
        oldest_ms = self.clock.now_ms() - CONFIRM_MS
        for server in list(self.broken):
            if self.broken[server][-1].broken_ms < oldest_ms:
                del self.broken[server]

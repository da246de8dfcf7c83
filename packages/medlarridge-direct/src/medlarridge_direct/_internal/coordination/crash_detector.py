"""Detection of crashes: matches broken attempts with servers that go down."""

from collections import deque

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from .crash_guard import CrashGuard
from .crashing_parts import CrashingParts
from .part_crashes import PartCrash

CRASH_WINDOW_MS = 6_000
"""A server that is found down within this time after a broken attempt counts as crashed
by it. This may take a while: a lapsed entry leaves the server list after three
heartbeats, and the list is read once a second."""


class BrokenAttempt(Struct, frozen=True):
    """An attempt whose connection was lost before its response was complete.

    ``parts`` are those under which its server may have crashed, and ``server_start``
    distinguishes starts with the same instance.
    """

    fingerprint: int
    broken_ms: int
    parts: tuple[str, ...] = ()
    server_start: str = ""


class Strike(Struct, frozen=True):
    """A request that was running on a server when the server went down.

    ``server`` distinguishes starts with the same instance.
    """

    fingerprint: int
    server: str


class CrashDetector(Struct):
    """Broken attempts by server, kept until the server is down or they expire."""

    clock: Clock
    guard: CrashGuard
    crashing_parts: CrashingParts
    broken: dict[str, deque[BrokenAttempt]] = field(default_factory=dict)

    def record_broken(
        self,
        fingerprint: int,
        server: str,
        parts: tuple[str, ...] = (),
        server_start: str = "",
    ) -> None:
        """Record a broken attempt, and the parts under which the server may crash."""
        attempts = self.broken.setdefault(server, deque(maxlen=256))
        attempts.append(
            BrokenAttempt(fingerprint, self.clock.now_ms(), parts, server_start)
        )

    def record_down(self, server: str, ended: bool = True) -> list[Strike | PartCrash]:
        """Record that a server is down; return the new evidence that follows from it.

        Only a server that has certainly ``ended`` is evidence against prompt parts.
        """
        now_ms = self.clock.now_ms()
        attempts = [
            attempt
            for attempt in self.broken.get(server, ())
            if attempt.broken_ms >= now_ms - CRASH_WINDOW_MS
        ]
        evidence: list[Strike | PartCrash] = []
        for attempt in attempts:
            start = attempt.server_start or server
            if self.guard.add_strike(attempt.fingerprint, start):
                evidence.append(Strike(attempt.fingerprint, start))
        if not ended:
            return evidence
        self.broken.pop(server, None)
        for attempt in attempts:
            for part in attempt.parts:
                crash = PartCrash(
                    part, attempt.server_start, now_ms - attempt.broken_ms
                )
                if self.crashing_parts.add_crash(crash):
                    evidence.append(crash)
        return evidence

    def expire(self) -> None:
        """Discard the broken attempts of servers that stayed up."""
        oldest_ms = self.clock.now_ms() - CRASH_WINDOW_MS
        for server in list(self.broken):
            if self.broken[server][-1].broken_ms < oldest_ms:
                del self.broken[server]

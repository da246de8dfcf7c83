"""Times for which servers send nothing although they work.

An engine is quiet while it processes long prompts, a service while it computes. How long
that takes differs between pools and changes with their load, so it is observed.
"""

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

WINDOW_MS = 10_000
"""The longest quiet time is taken over this time and the window before it."""

MIN_TIMEOUT_MS = 300
MAX_TIMEOUT_MS = 2_000
"""Bounds of the timeout. The upper one limits the effect of a server that stopped and
went on later."""

TIMEOUT_FACTOR = 1.5
"""Timeout as a multiple of the longest quiet time."""


class LongestQuietTime(Struct):
    """Longest quiet time in the current window and in the one before it."""

    window: int = 0
    current_ms: int = 0
    previous_ms: int = 0

    def roll(self, window: int) -> None:
        """Move on to a window."""
        if window == self.window:
            return
        self.previous_ms = self.current_ms if window == self.window + 1 else 0
        self.current_ms = 0
        self.window = window


class QuietTimes(Struct):
    """Longest quiet times by pool.

    ``responding`` tells whether a response was under way: its next piece is due sooner
    than the first byte of a response.
    """

    clock: Clock
    longest: dict[tuple[str, bool], LongestQuietTime] = field(default_factory=dict)

    def record(self, pool: str, responding: bool, quiet_ms: int) -> None:
        """Record that a server went on after a quiet time."""
        entry = self.longest.setdefault((pool, responding), LongestQuietTime())
        entry.roll(self.clock.now_ms() // WINDOW_MS)
        entry.current_ms = max(entry.current_ms, quiet_ms)

    def timeout_ms(self, pool: str, responding: bool) -> float:
        """Return the quiet time after which a server of the pool counts as silent."""
        entry = self.longest.get((pool, responding))
        if entry is None:
            return MIN_TIMEOUT_MS
        entry.roll(self.clock.now_ms() // WINDOW_MS)
        longest_ms = max(entry.current_ms, entry.previous_ms)
        return min(max(TIMEOUT_FACTOR * longest_ms, MIN_TIMEOUT_MS), MAX_TIMEOUT_MS)

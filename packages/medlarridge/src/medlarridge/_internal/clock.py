"""Clocks in integer milliseconds."""

import time
from typing import Protocol

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of the current time."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary, fixed origin."""
        ...


class SystemClock:
    """Monotonic clock that also advances while the VM is suspended.

    A process must notice that it was paused, and a clock that stops during a
    suspension would hide the pause.
    """

    def now_ms(self) -> int:
        """Return milliseconds since the VM was started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class WallClock:
    """Time since the Unix epoch, for records shared between processes."""

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NS_PER_MS


class ManualClock:
    """Clock that is advanced explicitly, for tests and simulations."""

    def __init__(self, start_ms: int = 0) -> None:
        self.current_ms = start_ms

    def now_ms(self) -> int:
        """Return the time that was set."""
        return self.current_ms

    def advance(self, delta_ms: int) -> None:
        """Move the clock forward."""
        if delta_ms < 0:
            raise ValueError("a clock cannot move backwards")
        self.current_ms += delta_ms

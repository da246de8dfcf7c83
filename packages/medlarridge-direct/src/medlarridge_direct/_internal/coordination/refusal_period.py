"""Periods in which a router refuses requests for want of memory."""

from msgspec import Struct

from medlarridge._internal.clock import Clock

from .memory_account import MemoryAccount

QUIET_MS = 5_000
"""Time without a refusal after which a period has ended; clients retry within 2 s."""


class RefusalPeriod(Struct):
    """Tells when refusals for want of memory begin and end.

    ``refused`` counts those of the current period, or of the last one.
    """

    clock: Clock
    account: MemoryAccount
    seen: int = 0
    refused: int = 0
    last_ms: int | None = None

    def update(self) -> bool | None:
        """Return True if a period has begun, False if it has ended, else None."""
        new, self.seen = self.account.refused - self.seen, self.account.refused
        now_ms = self.clock.now_ms()
        if new:
            begins = self.last_ms is None
            self.refused = new if begins else self.refused + new
            self.last_ms = now_ms
            return True if begins else None
        if self.last_ms is not None and now_ms - self.last_ms >= QUIET_MS:
            self.last_ms = None
            return False
        return None

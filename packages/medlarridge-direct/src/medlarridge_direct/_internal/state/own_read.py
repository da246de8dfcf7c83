"""The time at which this router itself last read something from the store."""

from msgspec import Struct

from medlarridge._internal.clock import Clock


class OwnRead(Struct):
    """Time of the last read; None before the first one."""

    clock: Clock
    read_ms: int | None = None

    def record(self, read_ms: int) -> None:
        """Record that the content was the newest in the store at ``read_ms``."""
        self.read_ms = max(read_ms, self.read_ms or 0)

    def age_ms(self) -> int | None:
        """Return the time since the last read, or None if there was none."""
        return None if self.read_ms is None else self.clock.now_ms() - self.read_ms

"""How long the requests of each route take, to tell which still fit before a stop."""

from collections import deque

from msgspec import Struct, field

SAMPLES = 32
"""Number of the latest requests of a route that are kept."""

MARGIN = 1.25
"""Factor by which a request may take longer than all of these."""


class RouteDurations(Struct):
    """Durations of the latest answered requests, by route."""

    samples_ms: dict[str, deque[int]] = field(default_factory=dict)

    def record(self, route: str, duration_ms: int) -> None:
        """Record how long a request took."""
        samples = self.samples_ms.setdefault(route, deque(maxlen=SAMPLES))
        samples.append(duration_ms)

    def expected_ms(self, route: str, timeout_ms: int) -> int:
        """Return how long a request is likely to take at most.

        Without samples it may take as long as its route allows.
        """
        samples = self.samples_ms.get(route)
        longest_ms = int(MARGIN * max(samples)) if samples else timeout_ms
        return min(longest_ms, timeout_ms)

"""How long the requests of each route take, to tell which are likely to end in time."""

from collections import deque

from msgspec import Struct, field

SAMPLES = 32
"""Number of the latest requests of a route that are kept."""

MIN_SAMPLES = 8
"""Number of requests below which nothing is estimated."""

MARGIN = 1.25
"""Factor by which a request may take longer than all of these."""


class RouteDurations(Struct):
    """Durations of the latest requests that servers answered with success, by route.

    The longest of them is no bound: use it where a wrong guess loses nothing.
    """

    samples_ms: dict[str, deque[int]] = field(default_factory=dict)

    def record(self, route: str, duration_ms: int) -> None:
        """Record how long a request took until its response was complete."""
        samples = self.samples_ms.setdefault(route, deque(maxlen=SAMPLES))
        samples.append(duration_ms)

    def estimate_ms(self, route: str) -> int | None:
        """Return how long a request is likely to take at most, None if unknown."""
        samples = self.samples_ms.get(route, ())
        if len(samples) < MIN_SAMPLES:
            return None
        return int(MARGIN * max(samples))

"""What the usual servers of a pool take for their work, as this router observes it."""

from math import exp, log, log2

from msgspec import Struct, field

CLASSES_PER_DOUBLING = 2
"""Classes of occupancy in each doubling of the number of requests that run."""

PAUSE_STEP = 0.02
CALL_STEP = 0.1
"""Share of the deviation by which an observation moves a reference, in logarithms. There
are several observations of pauses a second for each stream, and one for each call."""

MAX_DEVIATION = 0.5
"""Deviation to which a step is limited, so that single stalls hardly count."""

SMALL_PROMPT_TOKENS = 256
"""Prompts up to this size tell the time to the first event without processing; longer
ones tell the time of each token."""


def occupancy_class(running: int) -> int:
    """Return the class of a number of requests that run at a server."""
    return round(CLASSES_PER_DOUBLING * log2(max(running, 1)))


def move_towards(average: float, observed: float, step: float) -> float:
    """Return a positive average after an observation; 0 stands for none yet."""
    if observed <= 0:
        return average
    if not average:
        return observed
    deviation = log(observed / average)
    return average * exp(step * max(-MAX_DEVIATION, min(deviation, MAX_DEVIATION)))


class OccupancyCurve(Struct):
    """Usual times by class of occupancy, as logarithms of milliseconds.

    A class that is new is bounded by its neighbour: with more requests, work takes as
    long or longer, but not longer than in proportion to them. A server that slows down
    more than that is slow.
    """

    step: float
    log_ms: dict[int, float] = field(default_factory=dict)

    def log_ratio(self, occupancy: int, time_ms: float, believed: float) -> float:
        """Return the logarithm of a time in relation to the usual one.

        ``believed`` is that of the server's slowness, which a new class starts from.
        """
        observed = log(max(time_ms, 1.0))
        usual = self.log_ms.get(occupancy)
        if usual is None:
            usual = self.bounded(occupancy, observed - believed)
            self.log_ms[occupancy] = usual
        return observed - usual

    def bounded(self, occupancy: int, log_ms: float) -> float:
        """Return a time within the bounds that the nearest known class gives."""
        if not self.log_ms:
            return log_ms
        nearest = min(self.log_ms, key=lambda known: abs(known - occupancy))
        neighbour = self.log_ms[nearest]
        proportional = neighbour + (occupancy - nearest) * log(2) / CLASSES_PER_DOUBLING
        low, high = sorted((neighbour, proportional))
        return max(low, min(log_ms, high))

    def teach(self, occupancy: int, log_ratio: float) -> None:
        """Move the usual time towards one that was observed."""
        limited = max(-MAX_DEVIATION, min(log_ratio, MAX_DEVIATION))
        self.log_ms[occupancy] += self.step * limited

    def usual_ms(self, occupancy: int) -> float:
        """Return the usual time, 0 if nothing was observed."""
        if not self.log_ms:
            return 0.0
        log_ms = self.log_ms.get(occupancy)
        if log_ms is None:
            nearest = min(self.log_ms, key=lambda known: abs(known - occupancy))
            log_ms = self.bounded(occupancy, self.log_ms[nearest])
        return exp(log_ms)


class PoolReference(Struct):
    """Usual times of a pool.

    ``pauses`` are between the events of streams, ``calls`` the durations of plain calls
    by route. ``first_ms`` is the time to a first event without a prompt to process and
    ``token_ms`` the time for each token of it. ``duration_ms`` is that of a request from
    its start to its end.
    """

    pauses: OccupancyCurve = field(default_factory=lambda: OccupancyCurve(PAUSE_STEP))
    calls: dict[str, OccupancyCurve] = field(default_factory=dict)
    first_ms: float = 0.0
    token_ms: float = 0.0
    duration_ms: float = 0.0

    def calls_of(self, route: str) -> OccupancyCurve:
        """Return the durations of the calls of a route."""
        return self.calls.setdefault(route, OccupancyCurve(CALL_STEP))

    def usual_first_ms(self, tokens: int, occupancy: int, route: str = "") -> float:
        """Return the usual time to a first event, or to a plain response."""
        if route in self.calls:
            return self.calls[route].usual_ms(occupancy)
        if self.first_ms or self.token_ms:
            return self.first_ms + tokens * self.token_ms
        known = [curve.usual_ms(occupancy) for curve in self.calls.values()]
        return sum(known) / len(known) if known else 0.0

    def teach_first(self, time_ms: float, tokens: int) -> None:
        """Learn from the time to a first event; ``tokens`` were processed until then."""
        if tokens <= SMALL_PROMPT_TOKENS:
            observed_ms = time_ms - tokens * self.token_ms
            self.first_ms = move_towards(self.first_ms, observed_ms, CALL_STEP)
        else:
            observed_ms = (time_ms - self.first_ms) / tokens
            self.token_ms = move_towards(self.token_ms, observed_ms, CALL_STEP)

    def teach_duration(self, time_ms: float) -> None:
        """Learn from the duration of a request."""
        self.duration_ms = move_towards(self.duration_ms, time_ms, CALL_STEP)

"""Load bound: decides whether an engine may take on more work.

Load is outstanding work in tokens divided by the engine's weight.
docs/decisions/load-bound.md states when the bound holds.
"""

from dataclasses import dataclass

STALE_AFTER_MS = 3000
FLOOR_REQUESTS = 2
USUAL_WORK_SAMPLES = 64


@dataclass(frozen=True)
class MeanEstimate:
    """What an engine knows about the mean load of its pool.

    ``mean`` is the lower of the newest value and the average over the last 2 s,
    ``spread`` the difference between the highest and lowest value in that time,
    ``own_load`` this engine's load when it was last counted, and ``error`` the
    standard error of a value that does not cover all members.
    """

    mean: float
    age_ms: int
    spread: float = 0.0
    own_load: float = 0.0
    error: float = 0.0


@dataclass(frozen=True)
class Admitted:
    """The work fits; ``load`` is the engine's load with it."""

    load: float


@dataclass(frozen=True)
class OverBound:
    """The work does not fit; ``excess`` is the load above the limit."""

    load: float
    limit: float
    excess: float


class LoadBound:
    """Limit of an engine's load as a multiple of the pool's mean load.

    The floor is two requests of the usual work, an average over the work offered
    to this engine, or the request alone on an idle engine.
    """

    def __init__(self, bound: float, floor_requests: int = FLOOR_REQUESTS) -> None:
        self.bound = bound
        self.floor_requests = floor_requests
        self.usual_work = 0.0

    def observe(self, work: float) -> None:
        """Update the usual work with the work of an offered request."""
        if self.usual_work == 0.0:
            self.usual_work = work
        else:
            self.usual_work += (work - self.usual_work) / USUAL_WORK_SAMPLES

    def admit(
        self, own_load: float, work: float, weight: float, mean: MeanEstimate | None
    ) -> Admitted | OverBound:
        """Decide about work in tokens; ``own_load`` is the load before it."""
        load = own_load + work / weight
        floor = max(work, self.floor_requests * self.usual_work) / weight
        limit = max(floor, self.limit(mean))
        if load <= limit:
            return Admitted(load)
        return OverBound(load, limit, load - limit)

    def limit(self, mean: MeanEstimate | None) -> float:
        """Return the highest load that the estimate allows."""
        if mean is None:
            return 0.0
        limit = self.bound * reduced_mean(mean)
        if mean.age_ms > STALE_AFTER_MS:
            return min(limit, mean.own_load)
        return limit


def reduced_mean(mean: MeanEstimate) -> float:
    """Return the mean less a safety margin for staleness and sampling."""
    return max(0.0, mean.mean - MARGIN_SPREAD * mean.spread - MARGIN_ERROR * mean.error)


# The pool's mean may have fallen since it was measured, about as fast as it moved
# in the last 2 s.
MARGIN_SPREAD = 0.25
# A round that missed members is a sample; three standard errors cover it.
MARGIN_ERROR = 3.0

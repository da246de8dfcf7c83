"""Load bound: decides whether an engine may take on more work.

Load is outstanding work in tokens divided by the engine's weight.
docs/decisions/load-bound.md states when the bound holds.
"""

from dataclasses import dataclass

STALE_AFTER_MS = 3000
FLOOR_REQUESTS = 2
AVERAGE_WORK_SAMPLES = 64


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

    The limit is never below a floor: two requests of the usual work, one such request
    above the mean, or the offered request alone. Without the second, a pool could not
    grow past three requests an engine at a bound of 1.25, since a fourth is more than
    the bound times three. Above four requests an engine the floor has no effect.

    The ``sole_member`` of a pool is the mean and is never above the bound.
    """

    def __init__(self, bound: float) -> None:
        self.bound = bound
        self.average_work = 0.0
        self.sole_member = False

    def observe(self, work: float) -> None:
        """Update the usual work, an average over the work admitted here."""
        if self.average_work == 0.0:
            self.average_work = work
        else:
            self.average_work += (work - self.average_work) / AVERAGE_WORK_SAMPLES

    def admit(
        self, own_load: float, work: float, weight: float, mean: MeanEstimate | None
    ) -> Admitted | OverBound:
        """Decide about work in tokens; ``own_load`` is the load before it."""
        load = own_load + work / weight
        limit = self.limit(load, work, weight, mean)
        if load <= limit:
            return Admitted(load)
        return OverBound(load, limit, load - limit)

    def limit(
        self, load: float, work: float, weight: float, mean: MeanEstimate | None
    ) -> float:
        """Return the highest load after admission; ``load`` includes the work."""
        least = self.least(work, weight)
        if self.sole_member:
            return max(least, load)
        if mean is None:
            return least
        known = reduced_mean(mean)
        limit = self.scale(known, weight)
        if mean.age_ms > STALE_AFTER_MS:
            limit = min(limit, mean.own_load)
        return max(least, limit)

    def least(self, work: float, weight: float) -> float:
        """Return the part of the floor that needs no mean."""
        return max(work, FLOOR_REQUESTS * self.average_work) / weight

    def scale(self, mean: float, weight: float) -> float:
        """Return the limit that belongs to a mean load."""
        return max(self.bound * mean, mean + self.average_work / weight)


def reduced_mean(mean: MeanEstimate) -> float:
    """Return the mean less a safety margin for staleness and sampling."""
    return max(0.0, mean.mean - MARGIN_SPREAD * mean.spread - MARGIN_ERROR * mean.error)


# The pool's mean may have fallen since it was measured, about as fast as it moved
# in the last 2 s.
MARGIN_SPREAD = 0.25
# A round that missed members is a sample; three standard errors cover it.
MARGIN_ERROR = 3.0

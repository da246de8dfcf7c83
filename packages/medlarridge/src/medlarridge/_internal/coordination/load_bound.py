"""Load bound: decides whether an engine may admit more work.

The load is the outstanding work in tokens divided by the engine's weight.
docs/decisions/load-bound.md states under which conditions the bound holds.
"""

from dataclasses import dataclass

STALE_AFTER_MS = 3000
FLOOR_REQUESTS = 2
AVERAGE_WORK_SAMPLES = 64


@dataclass(frozen=True)
class MeanEstimate:
    """Estimate of the mean load of a pool.

    ``mean`` is the newest value, ``spread`` the difference between the highest and
    the lowest value of the last 2 s, ``own_load`` this engine's load when it was last
    counted, and ``error`` the standard error of a mean that does not cover all
    members.
    """

    mean: float
    age_ms: int
    spread: float = 0.0
    own_load: float = 0.0
    error: float = 0.0


@dataclass(frozen=True)
class Admitted:
    """The work is admitted; ``load`` is the engine's load including it."""

    load: float


@dataclass(frozen=True)
class OverBound:
    """The work is not admitted; ``excess`` is the load above the limit."""

    load: float
    limit: float
    excess: float


class LoadBound:
    """Limit of an engine's load as a multiple of the pool's mean load.

    The limit is never below the highest of three floors: two requests of average
    work, the mean plus one such request, and the offered request alone. Without the
    second floor, a pool with a bound of 1.25 could not grow beyond three requests per
    engine, since a fourth exceeds the bound times three. Above four requests per
    engine the floors have no effect.

    The load of the ``sole_member`` of a pool is itself the mean, so it is never above
    the bound.
    """

    def __init__(self, bound: float) -> None:
        self.bound = bound
        self.average_work = 0.0
        self.sole_member = False

    def observe(self, work: float) -> None:
        """Update the moving average of the work of admitted requests."""
        if self.average_work == 0.0:
            self.average_work = work
        else:
            self.average_work += (work - self.average_work) / AVERAGE_WORK_SAMPLES

    def admit(
        self, own_load: float, work: float, weight: float, mean: MeanEstimate | None
    ) -> Admitted | OverBound:
        """Decide on work in tokens; ``own_load`` is the load before admission."""
        load = own_load + work / weight
        limit = self.limit(load, work, weight, mean)
        if load <= limit:
            return Admitted(load)
        return OverBound(load, limit, load - limit)

    def limit(
        self, load: float, work: float, weight: float, mean: MeanEstimate | None
    ) -> float:
        """Return the highest load after admission; ``load`` includes the work."""
        floor = self.floor(work, weight)
        if self.sole_member:
            return max(floor, load)
        if mean is None:
            return floor
        safe_mean = conservative_mean(mean)
        limit = self.limit_for_mean(safe_mean, weight)
        if mean.age_ms > STALE_AFTER_MS:
            limit = min(limit, mean.own_load)
        return max(floor, limit)

    def floor(self, work: float, weight: float) -> float:
        """Return the floor of the limit that does not depend on the mean."""
        return max(work, FLOOR_REQUESTS * self.average_work) / weight

    def limit_for_mean(self, mean: float, weight: float) -> float:
        """Return the limit for a mean load."""
        return max(self.bound * mean, mean + self.average_work / weight)


def conservative_mean(mean: MeanEstimate) -> float:
    """Return the mean minus a safety margin for staleness and sampling error."""
    return max(
        0.0,
        mean.mean - SPREAD_MARGIN_FACTOR * mean.spread - STANDARD_ERRORS * mean.error,
    )


# The mean may have fallen since it was measured, about as fast as it changed in the
# last 2 s.
SPREAD_MARGIN_FACTOR = 0.25
# The mean of a round that missed members is that of a sample. Its true value is
# almost always within three standard errors.
STANDARD_ERRORS = 3.0

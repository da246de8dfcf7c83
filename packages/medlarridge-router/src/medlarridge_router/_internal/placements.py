"""Placement per pool, rebuilt when the members of the fleet change."""

from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.fleet import FleetView


class PoolPlacements:
    """Caches the placement of each pool for one revision of the fleet."""

    def __init__(self, fleet: FleetView) -> None:
        self.fleet = fleet
        self.placements: dict[str, Placement] = {}
        self.revision = -1

    def for_pool(self, pool: str) -> Placement:
        """Return the placement of a pool's current members."""
        if self.revision != self.fleet.revision:
            self.revision = self.fleet.revision
            self.placements.clear()
        placement = self.placements.get(pool)
        if placement is None:
            placement = Placement(
                self.fleet.members_of(pool), self.fleet.held_down(pool)
            )
            self.placements[pool] = placement
        return placement

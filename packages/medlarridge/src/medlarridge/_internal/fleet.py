"""View of the fleet that the daemons use."""

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Protocol

from .coordination.membership import Observation
from .identity import Member
from .protocol.tables import Tables


class FleetView(Protocol):
    """Members and configuration in force, as known to one process."""

    @property
    def generation(self) -> int:
        """Return the generation of the configuration in force."""
        ...

    @property
    def tables(self) -> Tables:
        """Return the tables in force."""
        ...

    @property
    def ready(self) -> bool:
        """Return whether the configuration is confirmed."""
        ...

    @property
    def revision(self) -> Hashable:
        """Return a value that changes whenever the members or pools change."""
        ...

    def members_of(self, pool: str) -> list[Member]:
        """Return the members of a pool that may take work."""
        ...

    def held_down(self, pool: str) -> set[str]:
        """Return the addresses of members that are not a home because they flapped."""
        ...

    def observe_generation(self, generation: int, address: str) -> None:
        """Record that the process at an address has a generation."""
        ...

    def observe(self, address: str, number: int, observation: Observation) -> None:
        """Record what a request showed about the state of a member."""
        ...


@dataclass
class StaticFleet:
    """A fleet with fixed members and tables, for embedding and tests."""

    tables: Tables
    members: list[Member] = field(default_factory=list)
    generation: int = 1
    revision: int = 0
    ready: bool = True

    def members_of(self, pool: str) -> list[Member]:
        """Return the members of a pool that are not draining."""
        return [m for m in self.members if m.pool == pool and not m.draining]

    def observe_generation(self, generation: int, address: str) -> None:
        """Ignore the generation, because this fleet has only one."""

    def observe(self, address: str, number: int, observation: Observation) -> None:
        """Ignore the observation, because the members do not change."""

    def held_down(self, pool: str) -> set[str]:
        """Return no addresses, because members of this fleet do not flap."""
        return set()

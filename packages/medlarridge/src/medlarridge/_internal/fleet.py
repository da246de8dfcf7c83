"""What a daemon needs to know about the fleet."""

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Protocol

from .coordination.membership import Observation
from .identity import Member
from .protocol.tables import Tables


class FleetView(Protocol):
    """Members and the configuration in force, as one process sees them."""

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
        """Return the addresses that are no chat's home after flapping."""
        ...

    def observe_generation(self, generation: int, address: str) -> None:
        """Note that the process at an address knows a generation."""
        ...

    def observe(self, address: str, number: int, observation: Observation) -> None:
        """Note what a request showed of a member."""
        ...


@dataclass
class StaticFleet:
    """A fleet that does not change by itself, for embedding and tests."""

    tables: Tables
    members: list[Member] = field(default_factory=list)
    generation: int = 1
    revision: int = 0
    ready: bool = True

    def members_of(self, pool: str) -> list[Member]:
        """Return the members of a pool that are not draining."""
        return [m for m in self.members if m.pool == pool and not m.draining]

    def observe_generation(self, generation: int, address: str) -> None:
        """Ignore the generation: this fleet has only one."""

    def observe(self, address: str, number: int, observation: Observation) -> None:
        """Ignore what a request showed: the members do not change."""

    def held_down(self, pool: str) -> set[str]:
        """Return no address: members of this fleet do not flap."""
        return set()

"""Backend servers as the platform's store lists them."""

from dataclasses import dataclass
from enum import StrEnum


class ServerState(StrEnum):
    """State that a server reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One entry of the list.

    ``instance`` names one start of a server, and ``started_at`` (milliseconds since
    the Unix epoch, 0 if unknown) tells two starts with the same instance apart.
    ``cold_ms`` is how much longer the server is slow after its start.
    """

    instance: str
    host: str
    port: int
    pool: str
    data_centre: str
    state: ServerState
    slots: int
    cold_ms: int = 0
    started_at: int = 0

    @property
    def address(self) -> str:
        """Return host and port as text."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ServerListing:
    """All servers at one revision of the store; ``malformed`` entries were left out."""

    revision: int
    servers: tuple[BackendServer, ...]
    malformed: int = 0

"""Backend servers as listed in the platform's store.

Routers exchange these types by field name: renaming a field breaks the exchange with
routers of another version.
"""

from collections.abc import Iterable, Set
from enum import StrEnum

from msgspec import Struct

from .revision import Revision


class ServerState(StrEnum):
    """State that a server reports about itself."""

    READY = "ready"
    DRAINING = "draining"


class BackendServer(Struct, frozen=True):
    """One entry of the server list.

    ``instance`` identifies one start of a server, and ``started_at`` (milliseconds
    since the Unix epoch, 0 if unknown) distinguishes two starts with the same instance.
    ``sequence`` counts what the server has written of itself since its start.
    ``slots`` is the number of requests that the server can run concurrently.
    ``cold_ms`` is the remaining time for which the server is slow after its start.
    Streams of servers with different ``software_version`` do not fit together; routers
    of a build without this field cannot exchange lists with this one.
    """

    instance: str
    host: str
    port: int
    pool: str
    data_centre: str
    state: ServerState
    slots: int
    software_version: str
    cold_ms: int = 0
    started_at: int = 0
    sequence: int = 0

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"

    @property
    def start(self) -> str:
        """Return what distinguishes this start from all others."""
        return f"{self.instance}/{self.started_at}"


class ServerListing(Struct, frozen=True):
    """All servers at one revision of the store.

    ``malformed`` is the number of entries that were skipped.
    """

    revision: Revision
    servers: tuple[BackendServer, ...]
    malformed: int = 0

    def with_changes(
        self, revision: Revision, changed: Iterable[BackendServer], removed: Set[str]
    ) -> "ServerListing":
        """Return the list at a later revision."""
        servers = {server.instance: server for server in self.servers}
        servers |= {server.instance: server for server in changed}
        return ServerListing(
            revision,
            tuple(
                server
                for instance, server in servers.items()
                if instance not in removed
            ),
            self.malformed,
        )

"""Servers that were draining or gone lately.

When the store comes back from an older copy, its list may show them as ready again.
"""

from msgspec import Struct, field
from msgspec.structs import replace

from medlarridge._internal.clock import Clock

from ..protocol.peer_messages import Departure
from ..protocol.revision import Revision
from ..protocol.servers import BackendServer, ServerState

ERA_SETTLE_MS = 6_000
"""Time after the first list of an era for which an entry may be a remnant of the older
copy. The platform removes the entry of a server that is silent for three heartbeats."""

LEFT_RETENTION_MS = 60_000
"""Time for which a server is remembered that was draining or gone: longer than the age
of a copy from which the store may come back."""


class LeftServer(Struct, frozen=True):
    """The last entry of a server that was draining or gone, and when that was seen."""

    started_at: int
    sequence: int
    era: int
    left_ms: int

    def covers(self, server: BackendServer) -> bool:
        """Return whether an entry is not newer than the last one of this server."""
        return server.started_at == self.started_at and server.sequence <= self.sequence


class LeftServers(Struct):
    """The servers that left, by instance.

    ``ignored`` are those that the list of the current era shows as ready.
    ``era_listed_ms`` is the time of the first list of that era.
    """

    clock: Clock
    by_instance: dict[str, LeftServer] = field(default_factory=dict)
    ignored: set[str] = field(default_factory=set)
    era_listed_ms: int | None = None

    def begin_era(self) -> None:
        """Record that the first list of an era arrives now."""
        self.era_listed_ms = self.clock.now_ms()

    def remember(self, server: BackendServer, era: int) -> None:
        """Remember the last entry of a server that is draining or gone."""
        self.by_instance[server.instance] = LeftServer(
            server.started_at, server.sequence, era, self.clock.now_ms()
        )

    def remember_departure(self, departure: Departure) -> None:
        """Remember a server that a peer has seen leave."""
        known = self.by_instance.get(departure.instance)
        if known is None or known.sequence <= departure.sequence:
            self.by_instance[departure.instance] = LeftServer(
                departure.started_at,
                departure.sequence,
                departure.revision.era,
                self.clock.now_ms(),
            )

    def forget_old(self) -> None:
        """Forget the servers that left long ago."""
        oldest_ms = self.clock.now_ms() - LEFT_RETENTION_MS
        for instance, left in list(self.by_instance.items()):
            if left.left_ms < oldest_ms:
                del self.by_instance[instance]

    def ignore_remnants(
        self, listed: dict[str, BackendServer], known: set[str], era: int
    ) -> None:
        """Drop entries of an older copy that show servers which had left as ready.

        ``known`` servers count as draining instead. The entry of a server counts again
        once the server has written it, or when a silent server would have been removed
        from the list.
        """
        self.ignored = set()
        for instance in list(self.by_instance):
            server = listed.get(instance)
            if server is None or server.state is not ServerState.READY:
                continue
            if not self.is_remnant(server, era):
                del self.by_instance[instance]
                continue
            self.ignored.add(instance)
            if instance in known:
                listed[instance] = replace(server, state=ServerState.DRAINING)
            else:
                del listed[instance]

    def is_remnant(self, server: BackendServer, era: int) -> bool:
        """Return whether the entry of a server may date from before it left."""
        left = self.by_instance.get(server.instance)
        settled = (
            self.era_listed_ms is not None
            and self.clock.now_ms() - self.era_listed_ms > ERA_SETTLE_MS
        )
        return (
            left is not None and left.era < era and not settled and left.covers(server)
        )

    def ignored_departures(self) -> list[Departure]:
        """Return the servers whose entries in the list are ignored."""
        return [
            Departure(instance, left.started_at, Revision(left.era, 0), left.sequence)
            for instance, left in self.by_instance.items()
            if instance in self.ignored
        ]

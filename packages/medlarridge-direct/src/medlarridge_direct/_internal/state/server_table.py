"""Table of the servers that the router may use.

It follows the store's server list, with one exception: entries that lapsed during an
outage of the store are kept until the servers have had time to register again.
"""

from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from medlarridge._internal.clock import Clock

from ..protocol.servers import BackendServer, ServerListing, ServerState
from .own_read import OwnRead

STORE_OUTAGE_MS = 1_500
"""Time without a new list that counts as an outage of the store. The list is read at
least once a second."""

REREGISTRATION_MS = 2_200
"""Time after an outage within which servers whose entries lapsed register again. The
platform specifies two seconds."""


DEPARTED_RETENTION_MS = 2_000
"""Time for which prompt parts may be fetched from a server that left the list. The
platform lets servers serve at least this long after their entries are removed."""


class ServerChangeKind(StrEnum):
    """How a server differs from the previous list.

    ``LAPSED`` servers are missing but kept for a while, ``GONE`` ones are removed.
    """

    ADDED = "added"
    RESTARTED = "restarted"
    DRAINING = "draining"
    LAPSED = "lapsed"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ServerChange:
    """A change of one server."""

    server: BackendServer
    kind: ServerChangeKind


@dataclass(frozen=True, slots=True)
class DepartedServer:
    """A server that left the list, and the time at which this was detected."""

    server: BackendServer
    departed_ms: int


@dataclass(slots=True)
class ServerTable:
    """The newest server list, lapsed entries that are kept, and servers that left.

    ``outdated`` is set while a peer is known to have a newer list. ``confirmed_ms`` is
    the last time at which the list was known to be the newest, and ``own_read`` the
    last time at which this router itself read it from the store. ``leaving`` holds the
    servers that a peer has seen leave since the revision of the list, by instance with
    the revision at which they left.
    """

    clock: Clock
    by_instance: dict[str, BackendServer] = field(default_factory=dict)
    ready_by_pool: dict[str, list[BackendServer]] = field(default_factory=dict)
    all_by_pool: dict[str, list[BackendServer]] = field(default_factory=dict)
    lapsed: set[str] = field(default_factory=set)
    revision: int = 0
    digest: int = 0
    listing: ServerListing | None = None
    confirmed_ms: int | None = None
    leaving: dict[str, int] = field(default_factory=dict)
    outdated: bool = False
    keep_lapsed_until_ms: int = 0
    departed: dict[str, DepartedServer] = field(default_factory=dict)
    own_read: OwnRead = field(init=False)

    def __post_init__(self) -> None:
        self.own_read = OwnRead(self.clock)

    def update(self, listing: ServerListing, read_ms: int) -> list[ServerChange]:
        """Apply a list that was requested at ``read_ms``; return the changes."""
        self.outdated = False
        if self.confirmed_ms is not None and (
            listing.revision < self.revision
            or (listing.revision == self.revision and read_ms <= self.confirmed_ms)
        ):
            return []
        after_outage = (
            self.confirmed_ms is not None
            and read_ms - self.confirmed_ms > STORE_OUTAGE_MS
        )
        if after_outage:
            self.keep_lapsed_until_ms = read_ms + REREGISTRATION_MS
        self.confirmed_ms = max(read_ms, self.confirmed_ms or 0)
        self.revision = listing.revision
        listed = {server.instance: server for server in listing.servers}
        changes = [
            *self.diff_listed(listed),
            *self.diff_missing(listed, read_ms, after_outage),
        ]
        self.by_instance = listed
        self.leaving = {
            instance: revision
            for instance, revision in self.leaving.items()
            if revision > listing.revision
        }
        self.rebuild_indexes()
        self.digest = listing_digest(listing)
        self.listing = listing
        return changes

    def record_departure(self, instance: str, started_at: int, revision: int) -> bool:
        """Stop using a server that a peer has seen leave; return whether it was used.

        The rest of the change follows with the list of that revision.
        """
        server = self.by_instance.get(instance)
        if (
            server is None
            or server.started_at != started_at
            or server.state is not ServerState.READY
            or revision <= self.revision
            or instance in self.leaving
        ):
            return False
        self.leaving[instance] = revision
        self.rebuild_indexes()
        return True

    def confirm(self, read_ms: int) -> None:
        """Record that the list was still the newest at ``read_ms``.

        While lapsed entries are kept, this does nothing: only a list that this router
        reads can drop them.
        """
        if (
            self.confirmed_ms is not None
            and read_ms > self.confirmed_ms
            and not self.lapsed
        ):
            self.confirmed_ms = read_ms

    def diff_listed(self, listed: dict[str, BackendServer]) -> list[ServerChange]:
        """Return the changes of servers that are in the new list."""
        changes = []
        for instance, server in listed.items():
            departed = self.departed.pop(instance, None)
            previous = self.by_instance.get(instance)
            self.lapsed.discard(instance)
            if departed and departed.server.started_at != server.started_at:
                changes.append(ServerChange(server, ServerChangeKind.RESTARTED))
                continue
            if previous is None:
                changes.append(ServerChange(server, ServerChangeKind.ADDED))
            elif previous.started_at != server.started_at:
                changes.append(ServerChange(server, ServerChangeKind.RESTARTED))
            elif previous.state is not server.state:
                changes.append(ServerChange(server, ServerChangeKind.DRAINING))
        return changes

    def diff_missing(
        self, listed: dict[str, BackendServer], now_ms: int, after_outage: bool
    ) -> list[ServerChange]:
        """Return the changes of servers that are missing from the new list.

        Entries that lapsed during an outage are added back to ``listed`` for a while.
        Only the first list after the outage can lack such entries; a server that is
        missing from a later list has left.
        """
        addresses = {server.address for server in listed.values()}
        changes = []
        for instance, server in self.by_instance.items():
            if instance in listed:
                continue
            keep = (
                (after_outage or instance in self.lapsed)
                and now_ms < self.keep_lapsed_until_ms
                and server.state is ServerState.READY
                and server.address not in addresses
            )
            if keep:
                listed[instance] = server
                if instance not in self.lapsed:
                    self.lapsed.add(instance)
                    changes.append(ServerChange(server, ServerChangeKind.LAPSED))
            else:
                self.lapsed.discard(instance)
                if server.address not in addresses:
                    self.departed[instance] = DepartedServer(
                        server, self.clock.now_ms()
                    )
                changes.append(ServerChange(server, ServerChangeKind.GONE))
        return changes

    def rebuild_indexes(self) -> None:
        """Group all servers and the ready ones by pool, in a fixed order."""
        self.all_by_pool = {}
        self.ready_by_pool = {}
        for server in sorted(self.by_instance.values(), key=lambda each: each.instance):
            self.all_by_pool.setdefault(server.pool, []).append(server)
            if (
                server.state is ServerState.READY
                and server.instance not in self.leaving
            ):
                self.ready_by_pool.setdefault(server.pool, []).append(server)

    def ready(self, pool: str) -> list[BackendServer]:
        """Return the servers of a pool that accept requests."""
        return self.ready_by_pool.get(pool, [])

    def in_pool(self, pool: str) -> list[BackendServer]:
        """Return all servers of a pool, including draining ones."""
        return self.all_by_pool.get(pool, [])

    def fetch_sources(self, pool: str) -> list[BackendServer]:
        """Return the servers of a pool from which prompt parts may be fetched.

        These include draining servers and those that have just left the list.
        """
        oldest_ms = self.clock.now_ms() - DEPARTED_RETENTION_MS
        departed = [
            each.server
            for each in self.departed.values()
            if each.departed_ms >= oldest_ms and each.server.pool == pool
        ]
        return [*self.in_pool(pool), *departed]

    def remove_expired_departed(self) -> list[str]:
        """Remove departed servers after the retention time; return their instances."""
        oldest_ms = self.clock.now_ms() - DEPARTED_RETENTION_MS
        expired = [
            instance
            for instance, each in self.departed.items()
            if each.departed_ms < oldest_ms
        ]
        for instance in expired:
            del self.departed[instance]
        return expired

    def age_ms(self) -> int | None:
        """Return the age of the list, or None if no list was read yet."""
        return (
            None
            if self.confirmed_ms is None
            else self.clock.now_ms() - self.confirmed_ms
        )


def listing_digest(listing: ServerListing) -> int:
    """Return a digest that is equal on all routers with the same list."""
    entries = sorted(
        f"{server.instance} {server.address} {server.state} {server.started_at}"
        for server in listing.servers
    )
    return xxhash.xxh64_intdigest("\n".join(entries).encode())

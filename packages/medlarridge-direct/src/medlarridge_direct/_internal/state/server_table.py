"""Table of the servers that the router may use.

It follows the store's server list, with two exceptions. Entries that lapsed during an
outage of the store, or that are missing because the store came back from an older copy,
are kept until the servers have had time to register again. And a server that was
draining or gone is not used again because an older copy shows it as ready.
"""

from collections.abc import Callable
from enum import StrEnum

import xxhash
from msgspec import Struct
from msgspec.structs import replace

from medlarridge._internal.clock import Clock

from ..protocol.peer_messages import Departure
from ..protocol.revision import NO_REVISION, Revision
from ..protocol.servers import BackendServer, ServerListing, ServerState
from .left_servers import LeftServers
from .own_read import OwnRead
from .pool_versions import PoolVersions

STORE_OUTAGE_MS = 2_000
"""Time without a new list that counts as an outage of the store. When the router that
reads the list fails, the others take over in less time."""

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


class ServerChange(Struct, frozen=True):
    """A change of one server."""

    server: BackendServer
    kind: ServerChangeKind


class DepartedServer(Struct, frozen=True):
    """A server that left the list, and the time at which this was detected."""

    server: BackendServer
    departed_ms: int


class EraChange(Struct, frozen=True):
    """What the first list of a new era of the store has changed.

    ``missing`` servers are kept for a while, ``ignored`` entries show servers as ready
    that had left before.
    """

    before: Revision
    after: Revision
    missing: list[str]
    ignored: list[str]


def ignore_era_change(change: EraChange) -> None:
    """Do nothing about a new era."""


class ServerTable:
    """The newest server list, lapsed entries that are kept, and servers that left.

    ``outdated`` is set while a peer is known to have a newer list. ``confirmed_ms`` is
    the last time at which the list was known to be the newest, ``store_seen_ms`` the
    last time at which a router is known to have reached the store, and ``own_read`` the
    last time at which this router itself read the list. ``leaving`` holds the servers
    that a peer has seen leave since the revision of the list, and ``left`` those that
    were draining or gone lately. ``on_era_change`` is called with the first list of an
    era.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_instance: dict[str, BackendServer] = {}
        self.ready_by_pool: dict[str, list[BackendServer]] = {}
        self.all_by_pool: dict[str, list[BackendServer]] = {}
        self.lapsed: set[str] = set()
        self.revision: Revision = NO_REVISION
        self.digest = 0
        self.listing: ServerListing | None = None
        self.confirmed_ms: int | None = None
        self.store_seen_ms: int | None = None
        self.leaving: dict[str, Departure] = {}
        self.left = LeftServers(clock)
        self.refused_by_era = 0
        self.on_era_change: Callable[[EraChange], None] = ignore_era_change
        self.outdated = False
        self.keep_lapsed_until_ms = 0
        self.departed: dict[str, DepartedServer] = {}
        self.own_read = OwnRead(clock)
        self.versions = PoolVersions(clock)

    def update(self, listing: ServerListing, read_ms: int) -> list[ServerChange]:
        """Apply a list that was requested at ``read_ms``; return the changes."""
        self.outdated = False
        if listing.revision.era < self.revision.era:
            self.refused_by_era += 1
        if self.confirmed_ms is not None and (
            listing.revision < self.revision
            or (listing.revision == self.revision and read_ms <= self.confirmed_ms)
        ):
            return []
        age_before_ms = self.age_ms()
        before, in_new_era = self.revision, self.begin_era_if_new(listing.revision)
        after_outage = in_new_era or (
            self.store_seen_ms is not None
            and read_ms - self.store_seen_ms > STORE_OUTAGE_MS
        )
        if after_outage:
            self.keep_lapsed_until_ms = read_ms + REREGISTRATION_MS
        self.confirmed_ms = max(read_ms, self.confirmed_ms or 0)
        self.store_seen_ms = max(read_ms, self.store_seen_ms or 0)
        self.revision = listing.revision
        listed = {server.instance: server for server in listing.servers}
        self.left.ignore_remnants(listed, set(self.by_instance), listing.revision.era)
        changes = [
            *self.diff_listed(listed),
            *self.diff_missing(listed, read_ms, after_outage),
        ]
        self.by_instance = listed
        # Lists of an earlier era may lack what was written before the new one began.
        self.versions.record(listed.values(), None if in_new_era else age_before_ms)
        self.leaving = {
            instance: departure
            for instance, departure in self.leaving.items()
            if departure.revision > listing.revision
        }
        for change in changes:
            if change.kind in (ServerChangeKind.DRAINING, ServerChangeKind.GONE):
                self.left.remember(change.server, listing.revision.era)
        self.left.forget_old()
        self.rebuild_indexes()
        self.digest = listing_digest(listing)
        self.listing = listing
        if in_new_era:
            self.on_era_change(
                EraChange(
                    before,
                    self.revision,
                    sorted(self.lapsed),
                    sorted(self.left.ignored),
                )
            )
        return changes

    def begin_era_if_new(self, revision: Revision) -> bool:
        """Prepare for a list of a new era; return whether the list is of one.

        The revision at which a server was leaving does not come any more, so such
        servers count as left until they write again.
        """
        if self.confirmed_ms is None or revision.era > self.revision.era:
            self.left.begin_era()
        if self.confirmed_ms is None or revision.era <= self.revision.era:
            return False
        for instance, departure in list(self.leaving.items()):
            server = self.by_instance.get(instance)
            if departure.revision.era < revision.era:
                self.left.remember_departure(departure)
                del self.leaving[instance]
                if server is not None:
                    self.stop_using(server)
        return True

    def stop_using(self, server: BackendServer) -> None:
        """Treat a server as draining until its next entry."""
        self.by_instance[server.instance] = replace(server, state=ServerState.DRAINING)

    def record_departure(self, departure: Departure) -> bool:
        """Stop using a server that a peer has seen leave; return whether it was used.

        The rest of the change follows with the list of that revision. A departure in an
        earlier era than that of the list is followed by no list.
        """
        server = self.by_instance.get(departure.instance)
        if departure.revision.era < self.revision.era:
            return self.record_earlier_departure(departure, server)
        if (
            server is None
            or server.started_at != departure.started_at
            or server.state is not ServerState.READY
            or departure.revision <= self.revision
            or departure.instance in self.leaving
        ):
            return False
        self.leaving[departure.instance] = departure
        self.rebuild_indexes()
        return True

    def record_earlier_departure(
        self, departure: Departure, server: BackendServer | None
    ) -> bool:
        """Stop using a server whose entry dates from before it left."""
        if server is not None and server.state is ServerState.DRAINING:
            return False
        self.left.remember_departure(departure)
        if server is None or not self.left.is_remnant(server, self.revision.era):
            return False
        self.left.ignored.add(server.instance)
        self.stop_using(server)
        self.rebuild_indexes()
        return True

    def confirm(self, read_ms: int) -> None:
        """Record that the list was still the newest at ``read_ms``.

        While lapsed entries are kept, the list still ages: only a list that this router
        reads can drop them. The store was no less available for that.
        """
        if self.store_seen_ms is not None:
            self.store_seen_ms = max(read_ms, self.store_seen_ms)
        if (
            self.confirmed_ms is not None
            and read_ms > self.confirmed_ms
            and not self.lapsed
        ):
            self.versions.record_gap(read_ms - self.confirmed_ms)
            self.confirmed_ms = read_ms

    @property
    def has_expired_entries(self) -> bool:
        """Return whether lapsed entries are due to be dropped by the next list."""
        return bool(self.lapsed) and self.clock.now_ms() >= self.keep_lapsed_until_ms

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
                draining = server.state is ServerState.DRAINING
                kind = ServerChangeKind.DRAINING if draining else ServerChangeKind.ADDED
                changes.append(ServerChange(server, kind))
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
                and instance not in self.leaving
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

    def starts(self) -> set[str]:
        """Return the starts of the listed servers."""
        return {server.start for server in self.by_instance.values()}

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
        f" {server.software_version}"
        for server in listing.servers
    )
    return xxhash.xxh64_intdigest("\n".join(entries).encode())

"""Which servers are cold: slow after a start, so that they take few requests a second.

A server counts as cold for as long as any source says so. Each source errs on the long
side: a time that is left when something was written is counted from when it was read.
"""

from collections.abc import Callable, Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from medlarridge._internal.clock import Clock

from ..protocol.configuration import Pool
from ..protocol.servers import BackendServer, ServerListing

MAX_COLD_MS = 60_000
"""Longest time for which one statement is relied on; servers that stay cold say so again
with each of their entries."""


def find_no_pool(name: str) -> Pool | None:
    """Return None: without a configuration no pool has a cold rate."""
    return None


def never_returned(data_centre: str) -> int | None:
    """Return None: no data centre was evacuated."""
    return None


def ignore_cold(start: str, source: str) -> None:
    """Do nothing about a server that has become cold."""


class SeenEntry(Struct, frozen=True):
    """The newest entry of a server, and until when the server is cold by it."""

    server: BackendServer
    until_ms: int


class ColdStatement(Struct, frozen=True):
    """What a response said, with the times at which it was asked for and heard."""

    asked_ms: int
    heard_ms: int
    until_ms: int


class ColdServers(Struct):
    """The cold servers of pools that have a cold rate, by start of a server.

    ``returned_ms_ago`` tells how long ago the evacuation of a data centre was taken back,
    None if it was not. ``starts`` has the listed start of each id, and ``cold_entries``
    the starts whose entries say that they are cold. ``on_cold`` is called with the start
    of a server that has become cold by evidence of this router, and the source of it.
    """

    clock: Clock
    enabled: bool = False
    find_pool: Callable[[str], Pool | None] = find_no_pool
    returned_ms_ago: Callable[[str], int | None] = never_returned
    on_cold: Callable[[str, str], None] = ignore_cold
    entries: dict[str, SeenEntry] = field(default_factory=dict)
    starts: dict[str, str] = field(default_factory=dict)
    cold_entries: set[str] = field(default_factory=set)
    data_centres: set[str] = field(default_factory=set)
    told: dict[str, ColdStatement] = field(default_factory=dict)
    closed_until_ms: dict[str, int] = field(default_factory=dict)
    peer_until_ms: dict[str, int] = field(default_factory=dict)

    # Sources

    def apply_list(self, servers: Iterable[BackendServer]) -> None:
        """Take over the entries of a list.

        An entry was written at an unknown time before it is first seen, so its time is
        counted from now. A newer entry replaces an older one, also what it said.
        """
        if not self.enabled:
            return
        now_ms = self.clock.now_ms()
        entries = {}
        for server in servers:
            seen = self.entries.get(server.start)
            if seen is not None and not is_newer(server, seen.server):
                entries[server.start] = seen
                continue
            if seen is not None:
                self.closed_until_ms.pop(server.start, None)
            until_ms = now_ms + min(server.cold_ms, MAX_COLD_MS)
            entries[server.start] = SeenEntry(server, until_ms)
        was_cold = {
            start
            for start in self.cold_entries
            if self.entries[start].until_ms > now_ms
        }
        self.entries = entries
        self.cold_entries = {
            start for start, seen in entries.items() if seen.until_ms > now_ms
        }
        self.starts = {seen.server.instance: start for start, seen in entries.items()}
        self.data_centres = {seen.server.data_centre for seen in entries.values()}
        for start in self.cold_entries - was_cold:
            self.report_cold(start, "entry")

    def record_response(self, start: str, cold_ms: int | None, asked_ms: int) -> None:
        """Record for how long a server stays cold, by a response that has just arrived.

        A response that was asked for before the last one had arrived can be the older
        one, so it can make the time only longer.
        """
        if not self.enabled or cold_ms is None:
            return
        now_ms = self.clock.now_ms()
        until_ms = now_ms + min(cold_ms, MAX_COLD_MS)
        known = self.told.get(start)
        if known is None and cold_ms == 0:
            return
        if known is not None and asked_ms <= known.heard_ms:
            until_ms = max(until_ms, known.until_ms)
        self.told[start] = ColdStatement(asked_ms, now_ms, until_ms)
        if until_ms > now_ms and (known is None or known.until_ms <= now_ms):
            self.report_cold(start, "response")

    def record_closed(self, server: BackendServer) -> None:
        """Record that a server closed or refused a connection.

        It may have started again under the same id, so it counts as cold until an entry
        is seen that it wrote after the one that is known now.
        """
        pool = self.cold_pool(server.pool)
        if pool is None:
            return
        now_ms = self.clock.now_ms()
        is_new = self.closed_until_ms.get(server.start, 0) <= now_ms
        self.closed_until_ms[server.start] = now_ms + pool.cold_ms
        if is_new:
            self.report_cold(server.start, "connection")

    def record_closed_instance(self, instance: str) -> None:
        """Record that the listed server with an id closed or refused a connection."""
        start = self.starts.get(instance)
        if start is not None:
            self.record_closed(self.entries[start].server)

    def apply_peer(self, start: str, left_ms: int) -> None:
        """Take over what a peer has found itself; it is not reported any further."""
        if self.enabled and left_ms > 0:
            until_ms = self.clock.now_ms() + min(left_ms, MAX_COLD_MS)
            self.peer_until_ms[start] = max(until_ms, self.peer_until_ms.get(start, 0))

    def report_cold(self, start: str, source: str) -> None:
        """Tell the others of a server that has become cold, if its pool has a rate."""
        seen = self.entries.get(start)
        if seen is not None and self.cold_pool(seen.server.pool) is not None:
            self.on_cold(start, source)

    def aged(self, listing: ServerListing) -> ServerListing:
        """Return a list as a copy for a peer, whose entries say what time is left now.

        A router that does not read the store keeps the entries of a calm list for long.
        """
        if not self.enabled or not any(each.cold_ms for each in listing.servers):
            return listing
        now_ms = self.clock.now_ms()
        servers = []
        for server in listing.servers:
            seen = self.entries.get(server.start)
            if server.cold_ms and seen is not None:
                left_ms = max(seen.until_ms - now_ms, 0)
                server = replace(server, cold_ms=min(left_ms, server.cold_ms))
            servers.append(server)
        return replace(listing, servers=tuple(servers))

    # What follows

    def cold_pool(self, name: str) -> Pool | None:
        """Return a pool if its cold servers have a limit."""
        pool = self.find_pool(name) if self.enabled else None
        return pool if pool is not None and pool.cold_per_s > 0 else None

    def limit_per_s(self, start: str) -> float | None:
        """Return the requests a second that a server takes, None if it is not cold."""
        if not self.enabled:
            return None
        seen = self.entries.get(start)
        if seen is None or not (
            start in self.cold_entries
            or start in self.told
            or start in self.closed_until_ms
            or start in self.peer_until_ms
            or self.has_returned(seen.server.data_centre)
        ):
            return None
        if not self.left_ms(start):
            return None
        pool = self.cold_pool(seen.server.pool)
        return None if pool is None else pool.cold_per_s

    def left_ms(self, start: str) -> int:
        """Return for how long a listed server still counts as cold, 0 if it does not."""
        until_ms = max(self.untils_ms(start).values(), default=0)
        return max(until_ms - self.clock.now_ms(), 0)

    def untils_ms(self, start: str) -> dict[str, int]:
        """Return until when each source says that a listed server is cold."""
        seen = self.entries.get(start)
        if seen is None:
            return {}
        told = self.told.get(start)
        return {
            "entry": seen.until_ms,
            "response": 0 if told is None else told.until_ms,
            "connection": self.closed_until_ms.get(start, 0),
            "peer": self.peer_until_ms.get(start, 0),
            "evacuation": self.returned_until_ms(seen.server),
        }

    def sources(self, start: str) -> list[str]:
        """Return the sources by which a server is cold."""
        now_ms = self.clock.now_ms()
        return [
            source
            for source, until_ms in self.untils_ms(start).items()
            if until_ms > now_ms
        ]

    def own_until_ms(self, start: str) -> int:
        """Return until when a server is cold by what only this router may have seen."""
        told = self.told.get(start)
        return max(
            0 if told is None else told.until_ms, self.closed_until_ms.get(start, 0)
        )

    def returned_until_ms(self, server: BackendServer) -> int:
        """Return until when a server counts as cold after an evacuation."""
        returned_ms = self.returned_ms_ago(server.data_centre)
        pool = None if returned_ms is None else self.cold_pool(server.pool)
        if pool is None or returned_ms is None:
            return 0
        return self.clock.now_ms() - returned_ms + pool.cold_ms

    def has_returned(self, data_centre: str) -> bool:
        """Return whether the evacuation of a data centre was taken back lately."""
        returned_ms = self.returned_ms_ago(data_centre)
        return returned_ms is not None and returned_ms < MAX_COLD_MS

    def cold(self) -> dict[str, int]:
        """Return the cold servers of pools with a cold rate, and the times left."""
        if not self.enabled:
            return {}
        starts = {
            *self.cold_entries,
            *self.told,
            *self.closed_until_ms,
            *self.peer_until_ms,
        }
        returned = {each for each in self.data_centres if self.has_returned(each)}
        if returned:
            starts |= {
                start
                for start, seen in self.entries.items()
                if seen.server.data_centre in returned
            }
        return {
            start: self.left_ms(start)
            for start in starts
            if self.limit_per_s(start) is not None
        }

    def pools(self) -> set[str]:
        """Return the pools that have a cold server and a cold rate."""
        return {self.entries[start].server.pool for start in self.cold()}

    def reported(self, limit: int) -> list[tuple[str, int]]:
        """Return what this router has found itself, for its reports.

        What is in no list comes first. What peers have told is left out: two routers
        that repeat it to each other would never come to an end.
        """
        if not self.enabled:
            return []
        now_ms = self.clock.now_ms()
        found = []
        for start in {*self.cold_entries, *self.told, *self.closed_until_ms}:
            seen = self.entries.get(start)
            if seen is None or self.cold_pool(seen.server.pool) is None:
                continue
            own_ms = self.own_until_ms(start)
            until_ms = max(seen.until_ms, own_ms)
            if until_ms > now_ms:
                found.append((own_ms <= now_ms, start, until_ms - now_ms))
        return [(start, left_ms) for _, start, left_ms in sorted(found)[:limit]]

    def expire(self) -> None:
        """Forget what has ended."""
        now_ms = self.clock.now_ms()
        self.cold_entries = {
            start
            for start in self.cold_entries
            if self.entries[start].until_ms > now_ms
        }
        for untils in (self.closed_until_ms, self.peer_until_ms):
            for start in [each for each, until in untils.items() if until <= now_ms]:
                del untils[start]
        for start in [
            start
            for start, told in self.told.items()
            if max(told.until_ms, told.heard_ms + MAX_COLD_MS) <= now_ms
        ]:
            del self.told[start]


def is_newer(server: BackendServer, known: BackendServer) -> bool:
    """Return whether an entry was written after a known one of the same start.

    Without a sequence, one that names more time was written after it.
    """
    if server.sequence or known.sequence:
        return server.sequence > known.sequence
    return server.cold_ms > known.cold_ms

"""Software versions that the servers of each pool have had lately."""

from collections.abc import Iterable

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.servers import BackendServer

MAX_GAP_MS = 2_000
"""Age of the server list above which a version may have come and gone unseen."""


class PoolVersions(Struct):
    """Versions in the newest list, and when the others were last listed, by pool.

    ``since_ms`` is the time from which on all versions are known by lists.
    ``stored_read_ms`` is the time at which the complete set of a pool's versions was read
    from the store.
    """

    clock: Clock
    listed: dict[str, set[str]] = field(default_factory=dict)
    last_listed_ms: dict[tuple[str, str], int] = field(default_factory=dict)
    since_ms: int | None = None
    stored_read_ms: dict[str, int] = field(default_factory=dict)

    def record(self, servers: Iterable[BackendServer], gap_ms: int | None) -> None:
        """Record a server list; ``gap_ms`` is how old the one before it had become."""
        now_ms = self.clock.now_ms()
        self.record_gap(gap_ms)
        for pool, versions in self.listed.items():
            for version in versions:
                self.last_listed_ms[pool, version] = now_ms
        self.listed = {}
        for server in servers:
            self.listed.setdefault(server.pool, set()).add(server.software_version)

    def record_gap(self, gap_ms: int | None) -> None:
        """Record how old the list had become before it was read or confirmed again.

        An equal list does not tell that no version came and went in between.
        """
        if gap_ms is None or gap_ms > MAX_GAP_MS:
            self.since_ms = self.clock.now_ms()

    def record_stored(self, pool: str, versions: Iterable[str], read_ms: int) -> None:
        """Record that all versions of a pool up to ``read_ms`` are these."""
        self.stored_read_ms[pool] = read_ms
        for version in versions:
            last_ms = self.last_listed_ms.get((pool, version), read_ms)
            self.last_listed_ms[pool, version] = max(last_ms, read_ms)

    def listed_throughout(self, span_ms: int) -> bool:
        """Return whether lists show all versions of the last ``span_ms``."""
        oldest_ms = self.clock.now_ms() - span_ms
        return self.since_ms is not None and self.since_ms <= oldest_ms

    def is_known(self, pool: str, span_ms: int) -> bool:
        """Return whether all versions of the last ``span_ms`` are known.

        A set that was read before the lists began says nothing of the time in between.
        """
        if self.listed_throughout(span_ms):
            return True
        read_ms = self.stored_read_ms.get(pool)
        return (
            read_ms is not None
            and self.since_ms is not None
            and read_ms >= self.since_ms
        )

    def recent(self, pool: str, span_ms: int) -> set[str]:
        """Return the versions of a pool in the last ``span_ms``, as far as known."""
        oldest_ms = self.clock.now_ms() - span_ms
        return self.listed.get(pool, set()) | {
            version
            for (other_pool, version), listed_ms in self.last_listed_ms.items()
            if other_pool == pool and listed_ms >= oldest_ms
        }

    def only_version(self, pool: str, span_ms: int) -> str | None:
        """Return the one version that a pool had during the last ``span_ms``.

        Return None if there was another one, or if that is not known.
        """
        if not self.is_known(pool, span_ms):
            return None
        versions = self.recent(pool, span_ms)
        return next(iter(versions)) if len(versions) == 1 else None

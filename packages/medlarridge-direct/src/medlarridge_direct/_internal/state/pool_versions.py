"""Software versions that the servers of each pool have had lately."""

from collections.abc import Iterable

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.servers import BackendServer

MAX_GAP_MS = 2_000
"""Age of the server list above which a version may have come and gone unseen."""


class PoolVersions(Struct):
    """Versions in the newest list, and when the others were last listed, by pool.

    ``since_ms`` is the time from which on all versions are known.
    """

    clock: Clock
    listed: dict[str, set[str]] = field(default_factory=dict)
    last_listed_ms: dict[tuple[str, str], int] = field(default_factory=dict)
    since_ms: int | None = None

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

    def only_version(self, pool: str, span_ms: int) -> str | None:
        """Return the one version that a pool had during the last ``span_ms``.

        Return None if there was another one, or if that is not known.
        """
        oldest_ms = self.clock.now_ms() - span_ms
        if self.since_ms is None or self.since_ms > oldest_ms:
            return None
        versions = self.listed.get(pool, set()) | {
            version
            for (other_pool, version), listed_ms in self.last_listed_ms.items()
            if other_pool == pool and listed_ms >= oldest_ms
        }
        return next(iter(versions)) if len(versions) == 1 else None

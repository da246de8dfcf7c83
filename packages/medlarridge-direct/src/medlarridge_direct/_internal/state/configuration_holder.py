"""The configuration in force at this router, which only a newer one replaces."""

from medlarridge._internal.clock import Clock

from ..protocol.configuration import ClientLimits, Configuration, Pool
from ..protocol.revision import NO_REVISION, Revision
from .own_read import OwnRead

DEFAULT_LIMITS = ClientLimits()


class ConfigurationHolder:
    """Holds the newest known configuration.

    ``missing`` is set while the store is known to have none, as before its first start.
    ``outdated`` is set while the store or a peer is known to have a newer one.
    ``store_is_older`` is set while the store shows an older configuration, or none,
    since it came back from an older copy. ``peer_version`` is the last newer version
    that a peer reported. ``watched_revision`` is the revision of the store up to which
    no newer configuration exists. ``confirmed_ms`` is the last time at which the
    configuration was known to be the newest, and ``own_read`` the last time at which
    this router read it.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.current: Configuration | None = None
        self.missing = False
        self.outdated = False
        self.store_is_older = False
        self.peer_version = 0
        self.watched_revision = NO_REVISION
        self.refused_by_era = 0
        self.confirmed_ms: int | None = None
        self.own_read = OwnRead(clock)

    def apply_read(
        self, configuration: Configuration | None, read_ms: int, revision: Revision
    ) -> bool:
        """Apply what the store had at a revision; return whether it was newer.

        A store that shows an older configuration, or none, confirms nothing: it may
        have lost a newer one, which the operator writes again.
        """
        if self.refuse_older(revision):
            self.outdated = False
            return False
        version = 0 if configuration is None else configuration.version
        self.store_is_older = version < self.version
        if not self.store_is_older:
            self.own_read.record(read_ms)
        if configuration is None:
            self.record_missing(read_ms, revision)
            return False
        return self.apply_if_newer(configuration, read_ms, revision)

    def apply_if_newer(
        self,
        configuration: Configuration,
        read_ms: int,
        watched_revision: Revision = NO_REVISION,
    ) -> bool:
        """Apply a configuration read at ``read_ms``; return whether it was newer."""
        self.outdated = False
        self.watched_revision = max(self.watched_revision, watched_revision)
        if configuration.version >= self.version:
            self.confirm(read_ms)
        if self.current is not None and configuration.version <= self.current.version:
            return False
        self.current = configuration
        self.missing = False
        return True

    def apply_unchanged(self, read_ms: int, revision: Revision) -> None:
        """Record that a watch found no change up to a revision."""
        if self.refuse_older(revision):
            return
        self.watched_revision = revision
        if not self.store_is_older:
            self.confirm(read_ms)
            self.own_read.record(read_ms)

    def refuse_older(self, revision: Revision) -> bool:
        """Return whether a result is older than what is known, as a late one is."""
        if revision.era < self.watched_revision.era:
            self.refused_by_era += 1
        return revision < self.watched_revision

    @property
    def is_known(self) -> bool:
        """Return whether the configuration, or that there is none, has been read."""
        return self.current is not None or self.missing

    def record_missing(self, read_ms: int, store_revision: Revision) -> None:
        """Record that the store had no configuration at a revision."""
        self.outdated = False
        self.watched_revision = max(self.watched_revision, store_revision)
        if self.current is None:
            self.missing = True
            self.confirm(read_ms)

    def record_peer(self, version: int, watched_revision: Revision) -> None:
        """Record what a peer reported."""
        if watched_revision.era > self.watched_revision.era:
            # Only a read tells whether the store shows an older configuration now.
            self.outdated = True
        elif version == self.version:
            self.watched_revision = max(self.watched_revision, watched_revision)
        if version > self.version:
            self.peer_version = version
            self.outdated = True

    @property
    def peer_has_newer(self) -> bool:
        """Return whether a peer has a newer configuration."""
        return self.peer_version > self.version

    def confirm(self, read_ms: int) -> None:
        """Record that the current configuration was the newest at ``read_ms``."""
        self.confirmed_ms = max(read_ms, self.confirmed_ms or 0)

    @property
    def version(self) -> int:
        """Return the version of the configuration, or 0 if there is none."""
        return 0 if self.current is None else self.current.version

    def limits(self) -> ClientLimits:
        """Return the limits for clients, or the defaults without a configuration."""
        return DEFAULT_LIMITS if self.current is None else self.current.limits

    def find_pool(self, name: str) -> Pool | None:
        """Return a configured pool, or None."""
        return None if self.current is None else self.current.pools.get(name)

    def age_ms(self) -> int | None:
        """Return the time since the configuration was last known to be the newest."""
        if self.confirmed_ms is None:
            return None
        return self.clock.now_ms() - self.confirmed_ms

"""The configuration in force at this router, which only a newer one replaces."""

from medlarridge._internal.clock import Clock

from ..protocol.configuration import ClientLimits, Configuration
from .own_read import OwnRead

DEFAULT_LIMITS = ClientLimits()


class ConfigurationHolder:
    """Holds the newest known configuration.

    ``missing`` is set while the store is known to have none, as before its first start.
    ``outdated`` is set while the store or a peer is known to have a newer one.
    ``peer_revision`` is the last newer revision that a peer reported.
    ``watched_revision`` is the revision of the store up to which no newer configuration
    exists. ``confirmed_ms`` is the last time at which the configuration was known to be
    the newest, and ``own_read`` the last time at which this router read it.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.current: Configuration | None = None
        self.missing = False
        self.outdated = False
        self.peer_revision = 0
        self.watched_revision = 0
        self.confirmed_ms: int | None = None
        self.own_read = OwnRead(clock)

    def apply_if_newer(
        self, configuration: Configuration, read_ms: int, watched_revision: int = 0
    ) -> bool:
        """Apply a configuration read at ``read_ms``; return whether it was newer."""
        self.outdated = False
        if configuration.revision >= self.revision:
            self.confirm(read_ms)
            self.watched_revision = max(
                self.watched_revision, watched_revision, configuration.revision
            )
        if self.current is not None and configuration.revision <= self.current.revision:
            return False
        self.current = configuration
        self.missing = False
        return True

    @property
    def is_known(self) -> bool:
        """Return whether the configuration, or that there is none, has been read."""
        return self.current is not None or self.missing

    def record_missing(self, read_ms: int, store_revision: int) -> None:
        """Record that the store had no configuration at a revision."""
        self.missing = True
        self.outdated = False
        self.watched_revision = max(self.watched_revision, store_revision)
        self.confirm(read_ms)

    def record_peer_revision(self, revision: int, watched_revision: int) -> None:
        """Record the revisions that a peer reported."""
        if revision == self.revision:
            self.watched_revision = max(self.watched_revision, watched_revision)
        elif revision > self.revision:
            self.peer_revision = revision
            self.outdated = True

    @property
    def peer_has_newer(self) -> bool:
        """Return whether a peer has a newer configuration."""
        return self.peer_revision > self.revision

    def confirm(self, read_ms: int) -> None:
        """Record that the current configuration was the newest at ``read_ms``."""
        self.confirmed_ms = max(read_ms, self.confirmed_ms or 0)

    @property
    def revision(self) -> int:
        """Return the revision of the configuration, or 0 if there is none."""
        return 0 if self.current is None else self.current.revision

    def limits(self) -> ClientLimits:
        """Return the limits for clients, or the defaults without a configuration."""
        return DEFAULT_LIMITS if self.current is None else self.current.limits

    def age_ms(self) -> int | None:
        """Return the time since the configuration was last known to be the newest."""
        if self.confirmed_ms is None:
            return None
        return self.clock.now_ms() - self.confirmed_ms

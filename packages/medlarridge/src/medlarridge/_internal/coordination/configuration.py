"""The configuration in force at one node, and when to refresh it; does no I/O."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..clock import MS_PER_S, Clock
from ..errors import CodecError
from ..events import register
from ..log import log_event
from ..protocol.gossip import ConfigurationDelta
from ..protocol.tables import Tables
from ..state.keys import ACCEPTED_CONFIGURATION
from .accepted_configuration import Configuration

STORE_READS_PER_S = 20
"""Target rate of polls of the store by the whole fleet."""
MIN_POLL_INTERVAL_MS = 2000
LATE_TICK_MS = 3000
FULL_READ_POLLS = 8
"""One poll in this many reads the whole configuration. The others read only the small
status object, which is written after the configuration and may lag behind it."""
CONFIRMING_PEERS = 3
RETRY_INTERVAL_MS = 1000
MAX_RETRY_INTERVAL_MS = 30_000
UNKNOWN_GENERATION_TIMEOUT_MS = 60_000
UNCONFIRMED_GRACE_MS = 10_000
"""After this time without the store, replies of unconfirmed peers count too. Otherwise
no process could be confirmed again after all were paused together."""

CONFIGURATION_APPLIED = register(3110, "INFO", "configuration is in force")
CONFIGURATION_REFUSED = register(3111, "WARNING", "configuration is refused")
CONFIRMATION_NEEDED = register(3112, "WARNING", "configuration must be confirmed")
CONFIGURATION_CONFIRMED = register(3113, "INFO", "configuration is confirmed")
UNKNOWN_GENERATION_DROPPED = register(
    3114, "WARNING", "announced generation does not exist"
)


@dataclass(frozen=True)
class ReadStore:
    """Read the accepted configuration; call ``store_replied`` or ``store_failed``."""


@dataclass(frozen=True)
class ReadStatus:
    """Read ``status/tables``; call ``status_replied`` with its generation."""


@dataclass(frozen=True)
class AskPeers:
    """Request a delta from random peers; call ``peer_replied`` for each reply."""

    count: int
    since: int


@dataclass(frozen=True)
class FetchDelta:
    """Request a delta from one peer; call ``peer_replied`` with its reply."""

    address: str
    since: int


@dataclass(frozen=True)
class AnnounceGeneration:
    """Announce the generation to random peers at once."""


ConfigurationAction = (
    ReadStore | ReadStatus | AskPeers | FetchDelta | AnnounceGeneration
)
Listener = Callable[[Configuration], None]


class ConfigurationHolder:
    """Holds the configuration in force and decides when to refresh it.

    After the start and after a pause, the configuration must be confirmed by the store
    or by several peers. Until then ``ready`` is false and the process serves no
    requests.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        """Start without a configuration.

        The owner keeps ``nodes`` (size of the fleet) and ``peers`` (number of known
        peers, once the member list is complete) up to date.
        """
        self.clock = clock
        self.random = random
        self.current = Configuration()
        self.newest_generation = 0
        self.newest_since_ms = 0
        self.confirmed = False
        self.nodes = 1
        self.peers = CONFIRMING_PEERS
        self.listeners: list[Listener] = []
        self.confirming_peers: set[str] = set()
        self.unconfirmed_peers: set[str] = set()
        now_ms = clock.now_ms()
        self.last_tick_ms = now_ms
        self.unconfirmed_since_ms = now_ms
        self.next_poll_ms = now_ms
        self.next_retry_ms = now_ms
        self.retry_interval_ms = RETRY_INTERVAL_MS
        self.polls = 0

    # State for the daemons.

    @property
    def ready(self) -> bool:
        """Return whether requests may be served under this configuration."""
        return self.confirmed

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 before the first."""
        return self.current.generation

    @property
    def tables(self) -> Tables:
        """Return both tables in force."""
        return self.current.tables

    @property
    def is_outdated(self) -> bool:
        """Return whether a newer generation is known to exist."""
        return self.newest_generation > self.generation

    def delta_since(self, since: int) -> ConfigurationDelta:
        """Return the delta for a peer that has generation ``since``."""
        return self.current.delta(since, self.confirmed)

    # Events.

    def tick(self) -> list[ConfigurationAction]:
        """Return the actions that are due; call this about every 250 ms."""
        now_ms = self.clock.now_ms()
        if now_ms - self.last_tick_ms >= LATE_TICK_MS:
            self.require_confirmation(now_ms)
        self.last_tick_ms = now_ms
        if not self.confirmed or self.is_outdated:
            if now_ms < self.next_retry_ms:
                return []
            return self.retry(now_ms)
        if now_ms < self.next_poll_ms:
            return []
        self.schedule_poll(now_ms)
        self.polls += 1
        return [ReadStore() if self.polls % FULL_READ_POLLS == 0 else ReadStatus()]

    def record_peer_generation(
        self, generation: int, address: str
    ) -> list[ConfigurationAction]:
        """Handle the generation that a peer has announced in a message."""
        now_ms = self.clock.now_ms()
        if generation <= self.generation:
            return []
        if generation <= self.newest_generation and now_ms < self.next_retry_ms:
            return []
        self.newest_generation = max(generation, self.newest_generation)
        self.newest_since_ms = now_ms
        self.retry_interval_ms = RETRY_INTERVAL_MS
        self.next_retry_ms = now_ms + self.jittered(RETRY_INTERVAL_MS)
        return [FetchDelta(address, self.generation)]

    def store_replied(self, value: bytes | None) -> list[ConfigurationAction]:
        """Handle the object read from the store, ``None`` if it does not exist."""
        actions: list[ConfigurationAction] = []
        if value is not None:
            try:
                stored = Configuration.from_json(value, ACCEPTED_CONFIGURATION)
            except CodecError as error:
                log_event(CONFIGURATION_REFUSED, reason=str(error))
                return []
            actions = self.apply_if_newer(stored)
        self.confirm("store")
        self.drop_unknown_generation()
        return actions

    def status_replied(self, generation: int) -> list[ConfigurationAction]:
        """Handle the generation from the status object."""
        return [ReadStore()] if generation > self.generation else []

    def store_failed(self) -> list[ConfigurationAction]:
        """Handle a failed read of the store."""
        if self.confirmed and not self.is_outdated:
            return []
        return [AskPeers(CONFIRMING_PEERS, self.generation)]

    def peer_replied(
        self, address: str, delta: ConfigurationDelta | None
    ) -> list[ConfigurationAction]:
        """Handle the reply of a peer, ``None`` if there was none."""
        if delta is None:
            return []
        actions: list[ConfigurationAction] = []
        if delta.generation > self.generation:
            try:
                applied = self.current.apply(delta, address)
            except CodecError as error:
                log_event(CONFIGURATION_REFUSED, reason=str(error))
                return [FetchDelta(address, 0)] if delta.since else []
            actions = self.apply_if_newer(applied)
        self.count_reply(address, delta.confirmed)
        return actions

    def apply_if_newer(self, configuration: Configuration) -> list[ConfigurationAction]:
        """Apply a configuration if its generation is higher than the current one."""
        if configuration.generation <= self.generation:
            return []
        self.current = configuration
        self.newest_generation = max(self.newest_generation, configuration.generation)
        log_event(CONFIGURATION_APPLIED, generation=configuration.generation)
        for listener in self.listeners:
            listener(configuration)
        return [AnnounceGeneration()]

    # Refreshing.

    def require_confirmation(self, now_ms: int) -> None:
        """Set the configuration as unconfirmed, for example after a pause."""
        self.confirmed = False
        self.unconfirmed_since_ms = now_ms
        self.confirming_peers.clear()
        self.unconfirmed_peers.clear()
        self.next_retry_ms = now_ms
        self.retry_interval_ms = RETRY_INTERVAL_MS
        log_event(CONFIRMATION_NEEDED, generation=self.generation)

    def confirm(self, source: str) -> None:
        """Set the configuration as confirmed by a source."""
        if self.confirmed:
            return
        self.confirmed = True
        self.confirming_peers.clear()
        self.unconfirmed_peers.clear()
        self.schedule_poll(self.clock.now_ms())
        log_event(CONFIGURATION_CONFIRMED, generation=self.generation, source=source)

    def count_reply(self, address: str, confirmed: bool) -> None:
        """Confirm the configuration once enough peers have replied."""
        if self.confirmed:
            return
        (self.confirming_peers if confirmed else self.unconfirmed_peers).add(address)
        confirming_peers = set(self.confirming_peers)
        waited_ms = self.clock.now_ms() - self.unconfirmed_since_ms
        if waited_ms >= UNCONFIRMED_GRACE_MS:
            confirming_peers |= self.unconfirmed_peers
        if self.generation and len(confirming_peers) >= min(
            CONFIRMING_PEERS, self.peers
        ):
            self.confirm("peers")

    def retry(self, now_ms: int) -> list[ConfigurationAction]:
        """Read the store again; if only outdated, ask a peer half of the time."""
        self.next_retry_ms = now_ms + self.jittered(self.retry_interval_ms)
        self.retry_interval_ms = min(2 * self.retry_interval_ms, MAX_RETRY_INTERVAL_MS)
        if self.confirmed and self.random.random() < 1 / 2:
            return [AskPeers(1, self.generation)]
        return [ReadStore()]

    def schedule_poll(self, now_ms: int) -> None:
        """Schedule the next poll so that the total rate of the fleet stays constant."""
        interval_ms = max(
            MIN_POLL_INTERVAL_MS, self.nodes * MS_PER_S // STORE_READS_PER_S
        )
        self.next_poll_ms = now_ms + self.jittered(interval_ms)

    def drop_unknown_generation(self) -> None:
        """Drop an announced generation that the store still does not have."""
        waited_ms = self.clock.now_ms() - self.newest_since_ms
        if self.is_outdated and waited_ms >= UNKNOWN_GENERATION_TIMEOUT_MS:
            log_event(UNKNOWN_GENERATION_DROPPED, generation=self.newest_generation)
            self.newest_generation = self.generation

    def jittered(self, interval_ms: int) -> int:
        """Return the interval times a random factor between 0.5 and 1.5."""
        return interval_ms // 2 + self.random.randrange(interval_ms)

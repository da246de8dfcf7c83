"""The configuration in force at one node; does no I/O."""

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
"""Reads of the accepted configuration by the whole fleet."""
MIN_POLL_INTERVAL_MS = 2000
LATE_TICK_MS = 3000
FULL_READ_POLLS = 8
"""Every such poll reads the whole configuration. The others read only the small
status object, which is written after it and may therefore be behind."""
CONFIRMING_PEERS = 3
RETRY_INTERVAL_MS = 1000
MAX_RETRY_INTERVAL_MS = 30_000
MENTION_TIMEOUT_MS = 60_000
UNCONFIRMED_GRACE_MS = 10_000
"""After this time without the store, answers of peers that are themselves unconfirmed
count too: when all processes were paused together, nobody is confirmed."""

CONFIGURATION_APPLIED = register(3110, "INFO", "configuration is in force")
CONFIGURATION_REFUSED = register(3111, "WARNING", "configuration is refused")
CONFIRMATION_NEEDED = register(3112, "WARNING", "configuration must be confirmed")
CONFIGURATION_CONFIRMED = register(3113, "INFO", "configuration is confirmed")
MENTION_DROPPED = register(3114, "WARNING", "mentioned generation does not exist")


@dataclass(frozen=True)
class ReadStore:
    """Read the accepted configuration and call ``store_replied``."""


@dataclass(frozen=True)
class ReadStatus:
    """Read ``status/tables`` and call ``status_replied`` with its generation."""


@dataclass(frozen=True)
class AskPeers:
    """Ask random peers for a delta and call ``peer_replied`` for each."""

    count: int
    since: int


@dataclass(frozen=True)
class FetchDelta:
    """Ask one peer for a delta and call ``peer_replied``."""

    address: str
    since: int


@dataclass(frozen=True)
class AnnounceGeneration:
    """Tell random peers of the generation at once."""


ConfigurationAction = (
    ReadStore | ReadStatus | AskPeers | FetchDelta | AnnounceGeneration
)
Listener = Callable[[Configuration], None]


class ConfigurationHolder:
    """Holds the newest known configuration and says when to refresh it.

    ``ready`` is false until the configuration is confirmed: at the start and after
    a pause, either the store or several peers must have been asked. A process that
    is not ready serves nothing.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        """Start without a configuration.

        The shell keeps ``nodes`` (size of the fleet) and ``peers`` (known peers,
        once the member list is complete) up to date.
        """
        self.clock = clock
        self.random = random
        self.current = Configuration()
        self.wanted = 0
        self.wanted_since_ms = 0
        self.confirmed = False
        self.nodes = 1
        self.peers = CONFIRMING_PEERS
        self.listeners: list[Listener] = []
        self.answers: set[str] = set()
        self.unconfirmed_answers: set[str] = set()
        now_ms = clock.now_ms()
        self.last_tick_ms = now_ms
        self.unconfirmed_since_ms = now_ms
        self.next_poll_ms = now_ms
        self.next_retry_ms = now_ms
        self.retry_interval_ms = RETRY_INTERVAL_MS
        self.polls = 0

    # What the daemons read.

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
        return self.wanted > self.generation

    def delta_since(self, since: int) -> ConfigurationDelta:
        """Return the answer to a peer that has generation ``since``."""
        return self.current.delta(since, self.confirmed)

    # Events.

    def tick(self) -> list[ConfigurationAction]:
        """Handle the passing of time; call it about every 250 ms."""
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
        self.plan_poll(now_ms)
        self.polls += 1
        return [ReadStore() if self.polls % FULL_READ_POLLS == 0 else ReadStatus()]

    def record_peer_generation(
        self, generation: int, address: str
    ) -> list[ConfigurationAction]:
        """Handle a message from a process with a given generation."""
        now_ms = self.clock.now_ms()
        if generation <= self.generation:
            return []
        if generation <= self.wanted and now_ms < self.next_retry_ms:
            return []
        self.wanted = max(generation, self.wanted)
        self.wanted_since_ms = now_ms
        self.retry_interval_ms = RETRY_INTERVAL_MS
        self.next_retry_ms = now_ms + self.jittered(RETRY_INTERVAL_MS)
        return [FetchDelta(address, self.generation)]

    def store_replied(self, value: bytes | None) -> list[ConfigurationAction]:
        """Handle the object read from the store, nothing if there is none."""
        actions: list[ConfigurationAction] = []
        if value is not None:
            try:
                read = Configuration.from_json(value, ACCEPTED_CONFIGURATION)
            except CodecError as error:
                log_event(CONFIGURATION_REFUSED, reason=str(error))
                return []
            actions = self.offer(read)
        self.confirm("store")
        self.drop_unfounded_mention()
        return actions

    def status_replied(self, generation: int) -> list[ConfigurationAction]:
        """Handle the generation that the status object names."""
        return [ReadStore()] if generation > self.generation else []

    def store_failed(self) -> list[ConfigurationAction]:
        """Handle a failed read of the store."""
        if self.confirmed and not self.is_outdated:
            return []
        return [AskPeers(CONFIRMING_PEERS, self.generation)]

    def peer_replied(
        self, address: str, delta: ConfigurationDelta | None
    ) -> list[ConfigurationAction]:
        """Handle the answer of a peer, nothing if it gave none."""
        if delta is None:
            return []
        actions: list[ConfigurationAction] = []
        if delta.generation > self.generation:
            try:
                applied = self.current.apply(delta, address)
            except CodecError as error:
                log_event(CONFIGURATION_REFUSED, reason=str(error))
                return [FetchDelta(address, 0)] if delta.since else []
            actions = self.offer(applied)
        self.count_answer(address, delta.confirmed)
        return actions

    def offer(self, configuration: Configuration) -> list[ConfigurationAction]:
        """Put a configuration in force unless it is older than the current one."""
        if configuration.generation <= self.generation:
            return []
        self.current = configuration
        self.wanted = max(self.wanted, configuration.generation)
        log_event(CONFIGURATION_APPLIED, generation=configuration.generation)
        for listener in self.listeners:
            listener(configuration)
        return [AnnounceGeneration()]

    # Refreshing.

    def require_confirmation(self, now_ms: int) -> None:
        """Stop serving until the configuration is known to be current."""
        self.confirmed = False
        self.unconfirmed_since_ms = now_ms
        self.answers.clear()
        self.unconfirmed_answers.clear()
        self.next_retry_ms = now_ms
        self.retry_interval_ms = RETRY_INTERVAL_MS
        log_event(CONFIRMATION_NEEDED, generation=self.generation)

    def confirm(self, source: str) -> None:
        """Record that the configuration is as new as the source knows."""
        if self.confirmed:
            return
        self.confirmed = True
        self.answers.clear()
        self.unconfirmed_answers.clear()
        self.plan_poll(self.clock.now_ms())
        log_event(CONFIGURATION_CONFIRMED, generation=self.generation, source=source)

    def count_answer(self, address: str, confirmed: bool) -> None:
        """Confirm the configuration once enough peers have answered."""
        if self.confirmed:
            return
        (self.answers if confirmed else self.unconfirmed_answers).add(address)
        answers = set(self.answers)
        waited_ms = self.clock.now_ms() - self.unconfirmed_since_ms
        if waited_ms >= UNCONFIRMED_GRACE_MS:
            answers |= self.unconfirmed_answers
        if self.generation and len(answers) >= min(CONFIRMING_PEERS, self.peers):
            self.confirm("peers")

    def retry(self, now_ms: int) -> list[ConfigurationAction]:
        """Ask the store again, or peers when the store does not help."""
        self.next_retry_ms = now_ms + self.jittered(self.retry_interval_ms)
        self.retry_interval_ms = min(2 * self.retry_interval_ms, MAX_RETRY_INTERVAL_MS)
        if self.confirmed and self.random.random() < 1 / 2:
            return [AskPeers(1, self.generation)]
        return [ReadStore()]

    def plan_poll(self, now_ms: int) -> None:
        """Plan the next read so that the fleet's total rate stays constant."""
        interval_ms = max(
            MIN_POLL_INTERVAL_MS, self.nodes * MS_PER_S // STORE_READS_PER_S
        )
        self.next_poll_ms = now_ms + self.jittered(interval_ms)

    def drop_unfounded_mention(self) -> None:
        """Stop looking for a generation that the store has not had for a while."""
        waited_ms = self.clock.now_ms() - self.wanted_since_ms
        if self.is_outdated and waited_ms >= MENTION_TIMEOUT_MS:
            log_event(MENTION_DROPPED, generation=self.wanted)
            self.wanted = self.generation

    def jittered(self, interval_ms: int) -> int:
        """Return the interval times a random factor between 0.5 and 1.5."""
        return interval_ms // 2 + self.random.randrange(interval_ms)

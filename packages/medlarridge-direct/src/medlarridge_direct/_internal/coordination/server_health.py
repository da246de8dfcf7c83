"""Passive health checks of servers, based on the attempts of this router.

- Unreachable: the server refuses connections, or another server now has its address.
  It gets no work for a back-off period.
- Silent: attempts are waiting but no byte arrives on any connection for longer than
  servers of its pool are quiet while they work, so the server may hang or be cut off.
  It gets no work except occasional probe requests. An attempt that is still waiting
  after a later one was answered does not count: its response was lost. Nor does one
  of whose response more has come than its client has read.
- Failing: a share of the attempts fails. The server gets work only when the others are
  at their load limit, because the whole pool is needed when most of it fails.
- Malformed: the server has sent bytes that are no HTTP, or far too many for what they
  carry. It counts as failing at once, and after each back-off it gets one request, until
  it has answered one whole.
"""

from collections.abc import Callable
from enum import StrEnum

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from .quiet_times import MIN_TIMEOUT_MS, QuietTimes


class AttemptResult(StrEnum):
    """Result of an attempt as far as it concerns the server's health."""

    ANSWERED = "answered"
    FAILED = "failed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    REPLACED = "replaced"
    MALFORMED = "malformed"


UNREACHABLE_RESULTS = frozenset({AttemptResult.UNREACHABLE, AttemptResult.REPLACED})
"""Results after which the instance is known not to serve requests."""

EWMA_WEIGHT = 0.25
"""Weight of the newest attempt in the moving average of failures. Three failures in a
row raise the average above one half."""
FAILING_SHARE = 0.4
"""Share of failed attempts from which a server counts as failing."""
POOL_SILENT_SHARE = 0.5
"""If a larger share of a pool is silent, the router itself is probably cut off."""
MIN_AVOID_MS = 500
MAX_AVOID_MS = 4_000
"""Bounds of the back-off of an avoided server and of the interval of probes. Both
double while the server fails."""

SILENCE_TIMEOUT_MS = MIN_TIMEOUT_MS
"""Shortest time without a byte after which a server with attempts in flight counts as
silent. A busy engine produces tokens for some request every few milliseconds."""
PEER_AVOID_MS = 300
"""Time for which a peer's finding is valid. Peers repeat it with each report."""
UNNAMED_MEMORY_MS = 60_000
"""Time for which a server that did not name the request in a response gets each request
on a new connection, where the response can be to no other one."""
RECENT_RESPONSE_MS = 500
"""A response that this router got within this time outweighs the finding of a peer."""


def has_nothing_unread() -> bool:
    """Return that nothing of a response waits for its client."""
    return False


class WaitingAttempt(Struct):
    """An attempt in flight; both times are equal until the first bytes arrive.

    ``has_unread`` tells whether more has come that this router has not taken yet, since
    the client reads slowly.
    """

    sent_ms: int
    last_received_ms: int
    has_unread: Callable[[], bool] = has_nothing_unread

    @property
    def responding(self) -> bool:
        """Return whether a part of the response has arrived."""
        return self.last_received_ms > self.sent_ms


class InstanceHealth(Struct):
    """Health of one server instance.

    ``failed_share`` is a moving average of failures. ``detected_locally`` tells whether
    the last failure was one of this router's attempts and not the report of a peer.
    ``waiting`` holds the attempts in flight, by number, that count towards silence.
    ``silent_since_ms`` is the time of the last received byte, or the time at which the
    first of these attempts was sent if that is later. A silent server may be probed
    from ``next_probe_ms`` on. Until ``unnamed_until_ms`` its responses are expected not
    to name their requests. ``malformed_number`` is the newest attempt at the time when it
    last sent malformed bytes, None if it is sound, and ``cause`` what these were.
    """

    pool: str = ""
    failed_share: float = 0.0
    avoid_until_ms: int = 0
    avoid_ms: int = 0
    unreachable: bool = False
    last_response_ms: int | None = None
    detected_locally: bool = False
    waiting: dict[int, WaitingAttempt] = field(default_factory=dict)
    silent_since_ms: int = 0
    next_probe_ms: int = 0
    probe_interval_ms: int = MIN_AVOID_MS
    unnamed_until_ms: int = 0
    malformed_number: int | None = None
    cause: str = ""


class ServerHealth(Struct):
    """Health of all servers, by instance.

    ``last_number`` is the number of the newest attempt.
    """

    clock: Clock
    quiet_times: QuietTimes
    servers: dict[str, InstanceHealth] = field(default_factory=dict)
    last_number: int = 0

    def record_sent(
        self,
        instance: str,
        pool: str,
        has_unread: Callable[[], bool] = has_nothing_unread,
    ) -> int:
        """Record that an attempt was sent to a server; return the attempt's number."""
        health = self.servers.setdefault(instance, InstanceHealth())
        health.pool = pool
        now_ms = self.clock.now_ms()
        if not health.waiting:
            health.silent_since_ms = now_ms
            health.probe_interval_ms = MIN_AVOID_MS
            health.next_probe_ms = now_ms + SILENCE_TIMEOUT_MS + MIN_AVOID_MS
        elif now_ms >= health.next_probe_ms:
            health.probe_interval_ms = min(2 * health.probe_interval_ms, MAX_AVOID_MS)
            health.next_probe_ms = now_ms + health.probe_interval_ms
        if health.malformed_number is not None and now_ms >= health.avoid_until_ms:
            # The back-off is over, and this is the one request that the server gets.
            self.begin_avoiding(health)
        self.last_number += 1
        health.waiting[self.last_number] = WaitingAttempt(now_ms, now_ms, has_unread)
        return self.last_number

    def record_received(self, instance: str, number: int) -> None:
        """Record that bytes of the response to an attempt arrived."""
        health = self.servers.get(instance)
        if health is None:
            return
        now_ms = self.clock.now_ms()
        self.quiet_times.record(
            health.pool, is_responding(health), now_ms - health.silent_since_ms
        )
        health.silent_since_ms = now_ms
        health.probe_interval_ms = MIN_AVOID_MS
        health.next_probe_ms = now_ms + SILENCE_TIMEOUT_MS + MIN_AVOID_MS
        attempt = health.waiting.get(number)
        if attempt is None:
            return
        if not attempt.responding:
            drop_overtaken(health, attempt)
        attempt.last_received_ms = now_ms

    def record_ended(self, instance: str, number: int) -> None:
        """Record that an attempt is no longer in flight."""
        health = self.servers.get(instance)
        if health is not None:
            health.waiting.pop(number, None)

    def is_silent(self, instance: str, now_ms: int) -> bool:
        """Return whether a quiet server must be taken for one that stopped."""
        health = self.servers.get(instance)
        if health is None or not health.waiting:
            return False
        timeout_ms = self.silence_timeout_ms(instance)
        if self.quiet_ms(instance, now_ms) <= timeout_ms:
            return False
        # What a slow client has not read yet tells nothing about the server.
        waiting = health.waiting.values()
        owed = [attempt for attempt in waiting if not attempt.has_unread()]
        if len(owed) == len(waiting):
            return True
        since_ms = min((attempt.last_received_ms for attempt in owed), default=now_ms)
        return now_ms - since_ms > timeout_ms

    def quiet_ms(self, instance: str, now_ms: int) -> int:
        """Return for how long a server has sent nothing."""
        return now_ms - self.servers[instance].silent_since_ms

    def silence_timeout_ms(self, instance: str) -> float:
        """Return for how long a server may be quiet before it counts as silent."""
        health = self.servers[instance]
        return self.quiet_times.timeout_ms(health.pool, is_responding(health))

    def is_probe_due(self, instance: str, now_ms: int, repeatable: bool) -> bool:
        """Return whether a silent server may get a request as a probe.

        Only ``repeatable`` requests are used at first. After the longest back-off, any
        request is: a dead server would have left the server list by then.
        """
        health = self.servers[instance]
        if now_ms - health.silent_since_ms > SILENCE_TIMEOUT_MS + MAX_AVOID_MS:
            return now_ms >= health.next_probe_ms
        return repeatable and now_ms >= health.next_probe_ms

    def silent_instances(self) -> set[str]:
        """Return the servers that are silent while attempts wait for them."""
        now_ms = self.clock.now_ms()
        return {each for each in self.servers if self.is_silent(each, now_ms)}

    def record_whole(self, instance: str, number: int) -> None:
        """Record that the response to an attempt was received whole."""
        health = self.servers.get(instance)
        if health is None or health.malformed_number is None:
            return
        if number > health.malformed_number:
            health.malformed_number = None
            health.cause = ""
            health.avoid_ms = 0
            health.avoid_until_ms = 0

    def begin_avoiding(self, health: InstanceHealth) -> None:
        """Begin a back-off, twice as long as the last one."""
        health.avoid_ms = min(max(2 * health.avoid_ms, MIN_AVOID_MS), MAX_AVOID_MS)
        health.avoid_until_ms = self.clock.now_ms() + health.avoid_ms

    def record_result(
        self, instance: str, result: AttemptResult, cause: str = ""
    ) -> bool:
        """Record the result of an attempt; return whether it starts a back-off."""
        health = self.servers.setdefault(instance, InstanceHealth())
        failed = result is not AttemptResult.ANSWERED
        health.failed_share += EWMA_WEIGHT * (failed - health.failed_share)
        if not failed:
            health.unreachable = False
            health.last_response_ms = self.clock.now_ms()
            if health.failed_share < FAILING_SHARE and health.malformed_number is None:
                health.avoid_ms = 0
                health.avoid_until_ms = 0
            return False
        health.unreachable = result in UNREACHABLE_RESULTS
        health.detected_locally = True
        if result is AttemptResult.MALFORMED:
            was_sound = health.malformed_number is None
            health.malformed_number = self.last_number
            health.cause = cause
            if was_sound:
                self.begin_avoiding(health)
            return was_sound
        if not health.unreachable and health.failed_share < FAILING_SHARE:
            return False
        now_ms = self.clock.now_ms()
        if now_ms < health.avoid_until_ms:
            return False
        self.begin_avoiding(health)
        if result is AttemptResult.REPLACED:
            health.avoid_ms = MAX_AVOID_MS
            health.avoid_until_ms = now_ms + health.avoid_ms
        return True

    def record_unnamed(self, instance: str) -> None:
        """Record that a server has sent a response that does not name its request."""
        health = self.servers.setdefault(instance, InstanceHealth())
        health.unnamed_until_ms = self.clock.now_ms() + UNNAMED_MEMORY_MS

    def names_requests(self, instance: str) -> bool:
        """Return whether a server is expected to name requests in its responses."""
        health = self.servers.get(instance)
        return health is None or self.clock.now_ms() >= health.unnamed_until_ms

    def reachable(self, instances: list[str], repeatable: bool = False) -> set[str]:
        """Return the servers of a pool that are neither unreachable nor silent.

        A silent server is included if a probe is due and the request may serve as one,
        see ``is_probe_due``. If more than half of the pool is silent, silence does not
        count.
        """
        now_ms = self.clock.now_ms()
        silent = {each for each in instances if self.is_silent(each, now_ms)}
        if len(silent) > POOL_SILENT_SHARE * len(instances):
            silent = set()
        return {
            each
            for each in instances
            if not self.is_unreachable(each, now_ms)
            and (each not in silent or self.is_probe_due(each, now_ms, repeatable))
        }

    def failing(self, instances: list[str]) -> set[str]:
        """Return the servers of a pool that are in a back-off after failures."""
        now_ms = self.clock.now_ms()
        return {
            each
            for each in instances
            if each in self.servers and now_ms < self.servers[each].avoid_until_ms
        }

    def is_unreachable(self, instance: str, now_ms: int) -> bool:
        """Return whether the server is in a back-off because it is unreachable."""
        health = self.servers.get(instance)
        return (
            health is not None and health.unreachable and now_ms < health.avoid_until_ms
        )

    def was_unreachable(self, instance: str) -> bool:
        """Return whether the server was unreachable at the last attempt or report."""
        health = self.servers.get(instance)
        return health is not None and health.unreachable

    def unreachable_instances(self) -> list[str]:
        """Return the servers that this router itself found unreachable or silent."""
        now_ms = self.clock.now_ms()
        return [
            instance
            for instance, health in self.servers.items()
            if (health.detected_locally and self.is_unreachable(instance, now_ms))
            or self.is_silent(instance, now_ms)
        ]

    def record_peer_unreachable(self, instance: str) -> None:
        """Avoid a server that a peer cannot reach, unless it responded here recently.

        The back-off is short, since peers repeat their findings.
        """
        health = self.servers.setdefault(instance, InstanceHealth())
        now_ms = self.clock.now_ms()
        if health.last_response_ms is not None and (
            now_ms - health.last_response_ms < RECENT_RESPONSE_MS
        ):
            return
        if now_ms >= health.avoid_until_ms:
            health.unreachable = True
            health.detected_locally = False
            health.avoid_until_ms = now_ms + PEER_AVOID_MS

    def reset(self, instance: str) -> None:
        """Forget the health of a server that left or restarted."""
        self.servers.pop(instance, None)


def is_responding(health: InstanceHealth) -> bool:
    """Return whether the response to an attempt in flight is under way."""
    return any(waiting.responding for waiting in health.waiting.values())


def drop_overtaken(health: InstanceHealth, answered: WaitingAttempt) -> None:
    """Drop attempts that had been silent for the timeout when ``answered`` was sent.

    The server works, so their responses were lost and say nothing about its health.
    """
    silent_before_ms = answered.sent_ms - SILENCE_TIMEOUT_MS
    overtaken = [
        number
        for number, waiting in health.waiting.items()
        if waiting.last_received_ms <= silent_before_ms
    ]
    for number in overtaken:
        del health.waiting[number]

"""Which servers are avoided for a while, judged from the attempts of this router.

A server that refuses connections, or whose address another server has now, gets no work
at once. So does one from which nothing arrives on any connection while attempts wait for
it; it may be hanging or cut off. An attempt that later ones overtook says nothing: its
answer was lost. A silent server is tried again now and then. One that fails a share of
its answers gets work only when the others are at their load bound: when most of a pool
fails, all of it is needed.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from medlarridge._internal.clock import Clock


class AttemptResult(StrEnum):
    """What an attempt says about the health of its server."""

    ANSWERED = "answered"
    FAILED = "failed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    REPLACED = "replaced"


GONE = frozenset({AttemptResult.UNREACHABLE, AttemptResult.REPLACED})
"""Results that say that no server answers under this instance."""

SAMPLE_WEIGHT = 0.25
"""Weight of the newest attempt; three failures in a row bring the share over half."""
FAILING_SHARE = 0.4
"""Share of failed attempts from which a server counts as failing."""
POOL_SILENT_SHARE = 0.5
"""Share of silent servers from which this router, and not a server, is cut off."""
MIN_AVOID_MS = 500
MAX_AVOID_MS = 4_000
"""Bounds of the time for which a server is avoided; it doubles while it fails."""

SILENCE_TIMEOUT_MS = 300
"""Time without a byte from a server with attempts in flight; a busy engine produces
tokens for some request every few milliseconds."""
PEER_AVOID_MS = 300
"""Time for which a peer's finding counts; it is repeated with each report."""
ANSWERED_LATELY_MS = 500
"""Age of an answer that outweighs what a peer found on its own path."""


@dataclass(slots=True)
class WaitingAttempt:
    """When an attempt was sent and when its last bytes came, if any did."""

    sent_ms: int
    last_ms: int


@dataclass(slots=True)
class Health:
    """What is known about one start of a server.

    ``waiting`` holds the attempts whose silence would be the server's. At ``trial_ms``
    a silent server is tried again.
    """

    failed_share: float = 0.0
    avoid_until_ms: int = 0
    avoid_ms: int = 0
    unreachable: bool = False
    answered_ms: int | None = None
    found_here: bool = False
    waiting: dict[int, WaitingAttempt] = field(default_factory=dict)
    quiet_since_ms: int = 0
    trial_ms: int = 0
    trial_pause_ms: int = MIN_AVOID_MS


@dataclass(slots=True)
class ServerHealth:
    """Health of all servers."""

    clock: Clock
    servers: dict[str, Health] = field(default_factory=dict)
    attempts: int = 0

    def record_sent(self, instance: str) -> int:
        """Record that an attempt waits for a server; return its number."""
        health = self.servers.setdefault(instance, Health())
        now_ms = self.clock.now_ms()
        if not health.waiting:
            health.quiet_since_ms = now_ms
            health.trial_pause_ms = MIN_AVOID_MS
            health.trial_ms = now_ms + SILENCE_TIMEOUT_MS + MIN_AVOID_MS
        elif now_ms >= health.trial_ms:
            health.trial_pause_ms = min(2 * health.trial_pause_ms, MAX_AVOID_MS)
            health.trial_ms = now_ms + health.trial_pause_ms
        self.attempts += 1
        health.waiting[self.attempts] = WaitingAttempt(now_ms, now_ms)
        return self.attempts

    def record_received(self, instance: str, number: int) -> None:
        """Record that something of an attempt's answer arrived."""
        health = self.servers.get(instance)
        if health is None:
            return
        now_ms = self.clock.now_ms()
        health.quiet_since_ms = now_ms
        health.trial_pause_ms = MIN_AVOID_MS
        health.trial_ms = now_ms + SILENCE_TIMEOUT_MS + MIN_AVOID_MS
        attempt = health.waiting.get(number)
        if attempt is None:
            return
        if attempt.last_ms == attempt.sent_ms:
            forget_overtaken(health, attempt)
        attempt.last_ms = now_ms

    def record_ended(self, instance: str, number: int) -> None:
        """Record that an attempt no longer waits."""
        health = self.servers.get(instance)
        if health is not None:
            health.waiting.pop(number, None)

    def is_silent(self, instance: str, now_ms: int) -> bool:
        """Whether nothing arrives although attempts wait."""
        health = self.servers.get(instance)
        return (
            health is not None
            and bool(health.waiting)
            and now_ms - health.quiet_since_ms > SILENCE_TIMEOUT_MS
        )

    def is_due_for_trial(self, instance: str, now_ms: int, repeatable: bool) -> bool:
        """Whether a silent server should get a request, to see if it answers.

        After the longest time it gets any: a dead one has left the list by then.
        """
        health = self.servers[instance]
        if now_ms - health.quiet_since_ms > SILENCE_TIMEOUT_MS + MAX_AVOID_MS:
            return now_ms >= health.trial_ms
        return repeatable and now_ms >= health.trial_ms

    def silent_instances(self) -> set[str]:
        """Return the servers from which nothing arrives although attempts wait."""
        now_ms = self.clock.now_ms()
        return {each for each in self.servers if self.is_silent(each, now_ms)}

    def record_result(self, instance: str, result: AttemptResult) -> bool:
        """Record the result of an attempt; return whether the server became avoided."""
        health = self.servers.setdefault(instance, Health())
        failed = result is not AttemptResult.ANSWERED
        health.failed_share += SAMPLE_WEIGHT * (failed - health.failed_share)
        if not failed:
            health.unreachable = False
            health.answered_ms = self.clock.now_ms()
            if health.failed_share < FAILING_SHARE:
                health.avoid_ms = 0
                health.avoid_until_ms = 0
            return False
        health.unreachable = result in GONE
        health.found_here = True
        if not health.unreachable and health.failed_share < FAILING_SHARE:
            return False
        now_ms = self.clock.now_ms()
        if now_ms < health.avoid_until_ms:
            return False
        health.avoid_ms = min(max(2 * health.avoid_ms, MIN_AVOID_MS), MAX_AVOID_MS)
        if result is AttemptResult.REPLACED:
            health.avoid_ms = MAX_AVOID_MS
        health.avoid_until_ms = now_ms + health.avoid_ms
        return True

    def reachable(self, instances: list[str], repeatable: bool = False) -> set[str]:
        """Return the servers of a pool that answer, or all if that is in doubt.

        A silent one that is due for a trial counts if the request is ``repeatable``.
        """
        now_ms = self.clock.now_ms()
        silent = {each for each in instances if self.is_silent(each, now_ms)}
        if len(silent) > POOL_SILENT_SHARE * len(instances):
            silent = set()
        return {
            each
            for each in instances
            if not self.is_unreachable(each, now_ms)
            and (each not in silent or self.is_due_for_trial(each, now_ms, repeatable))
        }

    def failing(self, instances: list[str]) -> set[str]:
        """Return the servers of a pool that fail a share of their answers."""
        now_ms = self.clock.now_ms()
        return {
            each
            for each in instances
            if each in self.servers and now_ms < self.servers[each].avoid_until_ms
        }

    def is_unreachable(self, instance: str, now_ms: int) -> bool:
        """Whether the server does not accept connections."""
        health = self.servers.get(instance)
        return (
            health is not None and health.unreachable and now_ms < health.avoid_until_ms
        )

    def was_unreachable(self, instance: str) -> bool:
        """Whether the last attempt found nobody who answers for the server."""
        health = self.servers.get(instance)
        return health is not None and health.unreachable

    def unreachable_instances(self) -> list[str]:
        """Return the servers that do not answer this router at all."""
        now_ms = self.clock.now_ms()
        return [
            instance
            for instance, health in self.servers.items()
            if (health.found_here and self.is_unreachable(instance, now_ms))
            or self.is_silent(instance, now_ms)
        ]

    def record_peer_unreachable(self, instance: str) -> None:
        """Avoid a server that a peer cannot reach, unless it answered here lately."""
        health = self.servers.setdefault(instance, Health())
        now_ms = self.clock.now_ms()
        if health.answered_ms is not None and (
            now_ms - health.answered_ms < ANSWERED_LATELY_MS
        ):
            return
        if now_ms >= health.avoid_until_ms:
            health.unreachable = True
            health.found_here = False
            health.avoid_until_ms = now_ms + PEER_AVOID_MS

    def reset(self, instance: str) -> None:
        """Forget a server that left or was started again."""
        self.servers.pop(instance, None)


def forget_overtaken(health: Health, answered: WaitingAttempt) -> None:
    """Drop attempts that were silent before one was sent that has its answer now."""
    overtaken_ms = answered.sent_ms - SILENCE_TIMEOUT_MS
    overtaken = [
        number
        for number, waiting in health.waiting.items()
        if waiting.last_ms <= overtaken_ms
    ]
    for number in overtaken:
        del health.waiting[number]

"""Types and limits of the at-most-once ledger.

``ledger_shard`` makes the decisions for one shard of the ledger.
docs/decisions/at-most-once.md explains why a call runs at most once.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from ..clock import MS_PER_S, Clock
from ..state.keys import ledger_head_key
from .ledger_records import CallResult, LedgerEntry, call_key

SHARDS_PER_ROUTE = 16
"""Part of the store layout; must be the same in all processes of a fleet."""


@dataclass(frozen=True)
class Call:
    """A call with an idempotency key; ``deadline_ms`` is a time of the local clock."""

    route: str
    account: str
    key: str
    fingerprint: str
    deadline_ms: int

    @property
    def digest(self) -> bytes:
        """Return the digest that identifies the call in the ledger."""
        return call_key(self.route, self.account, self.key)

    @property
    def shard_key(self) -> str:
        """Return the key of the head object of the call's shard.

        The shard depends on the route and not on the pool, because a repeated call may
        be sent to another pool of the route and must still find its entry.
        """
        number = int.from_bytes(self.digest[:4], "big") % SHARDS_PER_ROUTE
        return ledger_head_key(self.route, number)


@dataclass(frozen=True)
class RunToken:
    """Right to run a call once, valid only in the process that received it."""

    shard_key: str
    entry: LedgerEntry
    run_before_ms: int


class UnknownReason(StrEnum):
    """Why it is unknown whether a call ran."""

    IN_PROGRESS = "in-progress"
    NO_RESULT = "no-result"


class RefusedReason(StrEnum):
    """Why a call was refused."""

    STORE_UNAVAILABLE = "store-unavailable"
    KEY_REUSED = "key-reused"
    SHARD_FULL = "shard-full"
    DEADLINE = "deadline"
    PAUSED = "paused"


@dataclass(frozen=True)
class Run:
    """The intent to run the call is stored, so the call may run once."""

    token: RunToken


@dataclass(frozen=True)
class Repeat:
    """The call has already run; ``result.kept`` is false if only its status is left."""

    result: CallResult


@dataclass(frozen=True)
class Unknown:
    """The call may have run, or may still be running."""

    reason: UnknownReason


@dataclass(frozen=True)
class Refused:
    """This copy of the call has not run and never will run."""

    reason: RefusedReason


LedgerDecision = Run | Repeat | Unknown | Refused


@dataclass(frozen=True)
class LedgerLimits:
    """Sizes, intervals and rates of the ledger of one process.

    ``flush_interval_ms`` is the minimum time between two writes of a shard,
    ``result_delay_ms`` the time for which a result may wait for the next batch, and
    ``wait_limit_ms`` the time for which a call waits for its decision. A head above
    ``seal_bytes`` moves entries to a segment; above ``head_bytes`` new calls are
    refused. ``segment_bytes`` limits the size of a merged segment and ``segments`` the
    number of segments. An entry that has no result after ``abandoned_after_ms`` may be
    moved to a segment as well.
    """

    flush_interval_ms: int = 20
    result_delay_ms: int = 500
    wait_limit_ms: int = 2000
    seal_bytes: int = 32 * 1024
    head_bytes: int = 96 * 1024
    segment_bytes: int = 512 * 1024
    segments: int = 64
    batch_calls: int = 256
    abandoned_after_ms: int = 15 * 60 * 1000
    conflict_backoff_ms: int = 5
    max_conflict_backoff_ms: int = 200
    outage_backoff_ms: int = 50
    max_outage_backoff_ms: int = 1000
    writes_per_s: float = 20.0
    write_burst: int = 20


class WriteBudget:
    """Token bucket for the store writes of one process."""

    def __init__(self, limits: LedgerLimits, now_ms: int) -> None:
        self.limits = limits
        self.tokens = float(limits.write_burst)
        self.updated_ms = now_ms

    def reserve(self, now_ms: int) -> int:
        """Reserve a write; return the time at which it may start.

        Reservations are granted in order, so that no shard starves.
        """
        rate = self.limits.writes_per_s / MS_PER_S
        self.tokens += (now_ms - self.updated_ms) * rate
        self.tokens = min(self.tokens, float(self.limits.write_burst)) - 1
        self.updated_ms = now_ms
        return now_ms + max(0, ceil(-self.tokens / rate))


MAX_PAUSE_MS = 30_000
PAUSE_GRACE_MS = 15_000


class PauseGuard:
    """Detects pauses of the process.

    After a pause, sockets may still hold copies of calls that are older than the
    retention of their keys. New calls are refused until those have been read.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_tick_ms = clock.now_ms()
        self.refuse_until_ms = self.last_tick_ms

    def tick(self) -> None:
        """Check for a pause since the last tick; call this every few seconds."""
        now_ms = self.clock.now_ms()
        if now_ms - self.last_tick_ms > MAX_PAUSE_MS:
            self.refuse_until_ms = now_ms + PAUSE_GRACE_MS
        self.last_tick_ms = now_ms

    def recently_paused(self) -> bool:
        """Return whether received calls may be older than they appear."""
        self.tick()
        return self.last_tick_ms < self.refuse_until_ms

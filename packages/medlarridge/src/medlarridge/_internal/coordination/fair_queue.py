"""Fair queue in front of one backend server.

Entries are queued by priority class and client account. Weighted fair queueing selects
the class, so a higher priority gets a larger share of the server but no class starves.
Within a class, deficit round robin selects the account. The cost of an entry is its
work in tokens.

An account with a large share of the running work is *heavy*, any other is *light*.
Heavy accounts must leave a reserve free below the load bound. Without the reserve, a
light account would find the server full during a surge and have to wait until a running
request ends, however fair the order of the queue is.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from ..clock import MS_PER_S, Clock

PRIORITIES = 10
QUANTUM_TOKENS = 4_000
"""Work of a typical request, so that one round nearly always covers an entry."""
HEAVY_START_SHARE = 0.95
HEAVY_END_SHARE = 0.5
"""Shares of the running work of the largest account at which an account becomes heavy
and, while it has a backlog, stops being heavy. With a single threshold, several surging
accounts would alternate between heavy and light and use up the reserve in turn."""
RESERVE_MISS_RATE = 0.02
"""Target share of light entries that find the reserve used up. It is below 5%, so that
waiting for the reserve does not affect the 95th percentile."""
RESERVE_STEP_PLACES = 0.5
MAX_CORRECTION_PLACES = 32.0
MAX_RESERVE_SHARE = 0.25
"""Maximum size of the reserve as a share of the running work."""
AVERAGING_WEIGHT = 0.05
EXPIRY_TICK_MS = 10
RETRY_AFTER_JITTER = 0.25


class ShedReason(StrEnum):
    """Why an entry was rejected or removed from the queue without running."""

    WAIT_EXCEEDS_DEADLINE = "wait-exceeds-deadline"
    WAIT_EXCEEDS_MAXIMUM = "wait-exceeds-maximum"
    EXPIRED = "expired"
    QUEUE_FULL = "queue-full"
    OVER_BOUND = "over-bound"


@dataclass(frozen=True)
class QueueLimits:
    """Limits of a queue."""

    max_wait_ms: int = 5_000
    max_entries: int = 2_000
    min_retry_after_ms: int = 200
    max_retry_after_ms: int = 30_000


@dataclass(eq=False, slots=True)
class QueueEntry:
    """A waiting or running request.

    All times are on the queue's clock. Higher priorities are more urgent.
    """

    key: str
    account: str
    work_tokens: int
    deadline_ms: int
    priority: int = 0
    queued_ms: int = 0
    started_ms: int = 0
    expires_ms: int = 0
    queued_as_light: bool = False


@dataclass(frozen=True)
class Queued:
    """The entry was queued; ``expected_wait_ms`` is an estimate."""

    entry: QueueEntry
    expected_wait_ms: int


@dataclass(frozen=True)
class Shed:
    """The entry was dropped without running."""

    entry: QueueEntry
    reason: ShedReason
    retry_after_ms: int


Admit = Callable[[int], bool]
"""Returns whether additional work, in tokens, fits below the load bound now.

It must count ``FairQueue.running_tokens`` as load. It must be monotone: if it rejects
an amount of work, it rejects any larger amount.
"""


@dataclass(eq=False, slots=True)
class AccountQueue:
    """Waiting entries of one account in one priority class."""

    account: str
    entries: OrderedDict[str, QueueEntry] = field(default_factory=OrderedDict)
    queued_tokens: int = 0
    deficit_tokens: int = 0

    def head(self) -> QueueEntry:
        """Return the oldest entry."""
        return next(iter(self.entries.values()))


Ring = OrderedDict[str, AccountQueue]


@dataclass(eq=False)
class PriorityClass:
    """Account queues of one priority, in a ring of light and a ring of heavy accounts.

    ``work_per_weight`` is the dispatched work divided by the weight of the class, that
    is, its virtual time in weighted fair queueing.
    """

    weight: int
    work_per_weight: float = 0.0
    queued_tokens: int = 0
    light: Ring = field(default_factory=OrderedDict)
    heavy: Ring = field(default_factory=OrderedDict)

    def find(self, account: str) -> AccountQueue | None:
        """Return the queue of an account, ``None`` if it has no entries."""
        return self.light.get(account) or self.heavy.get(account)

    def append_to_ring(self, queue: AccountQueue, heavy: bool) -> None:
        """Move an account queue to the end of the heavy or light ring."""
        self.light.pop(queue.account, None)
        self.heavy.pop(queue.account, None)
        (self.heavy if heavy else self.light)[queue.account] = queue

    def remove(self, account: str) -> None:
        """Remove an account without entries from both rings."""
        self.light.pop(account, None)
        self.heavy.pop(account, None)

    @property
    def backlogged(self) -> bool:
        """Whether any entry of this class is waiting."""
        return bool(self.light or self.heavy)


class ExpiryIndex:
    """Timer wheel of the entries' expiry times, with constant cost per entry."""

    def __init__(self, now_ms: int) -> None:
        self.next_tick = now_ms // EXPIRY_TICK_MS
        self.ticks: dict[int, dict[str, QueueEntry]] = {}

    def add(self, entry: QueueEntry) -> None:
        """Add an entry to the tick of its expiry."""
        if not self.ticks:
            # Skips all ticks of an idle period in one step.
            self.next_tick = max(self.next_tick, entry.queued_ms // EXPIRY_TICK_MS)
        tick = max(self.next_tick, entry.expires_ms // EXPIRY_TICK_MS)
        self.ticks.setdefault(tick, {})[entry.key] = entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that is no longer waiting."""
        tick = max(entry.expires_ms, entry.queued_ms) // EXPIRY_TICK_MS
        if (bucket := self.ticks.get(tick)) is not None:
            bucket.pop(entry.key, None)
            if not bucket:
                del self.ticks[tick]

    def pop_due(self, now_ms: int) -> Iterator[QueueEntry]:
        """Remove and yield the entries of all ticks that have passed."""
        current_tick = now_ms // EXPIRY_TICK_MS
        while self.ticks and self.next_tick < current_tick:
            yield from self.ticks.pop(self.next_tick, {}).values()
            self.next_tick += 1
        self.next_tick = current_tick


class ReserveEstimate:
    """Estimates the reserve that light accounts need to find room on the server.

    The estimate is a model plus a correction from observation. A place is room for one
    light entry of average size. While the reserve is in use only light entries start,
    so the number of free places is a birth-death process: it falls with each light
    start and rises with each end. If a share s of the entries is light, all of r places
    are in use for about s ** r of the time. Requests differ in size, so the model alone
    is too low. Each light entry that had to wait raises the correction and each that
    started at once lowers it; the two balance at ``RESERVE_MISS_RATE``.
    """

    def __init__(self) -> None:
        self.light_share = 0.5
        self.light_tokens = float(QUANTUM_TOKENS)
        self.correction_places = 0.0

    def add(self, entry: QueueEntry) -> None:
        """Update the estimate with an entry that starts."""
        weight = AVERAGING_WEIGHT
        light = entry.queued_as_light
        self.light_share += weight * (float(light) - self.light_share)
        if light:
            self.light_tokens += weight * (entry.work_tokens - self.light_tokens)
            waited = entry.started_ms > entry.queued_ms
            step = RESERVE_STEP_PLACES * (float(waited) - RESERVE_MISS_RATE)
            corrected = max(0.0, self.correction_places + step)
            self.correction_places = min(corrected, MAX_CORRECTION_PLACES)

    def tokens(self) -> int:
        """Return the work that heavy accounts must leave free."""
        share = min(max(self.light_share, 0.01), 0.99)
        places = math.log(RESERVE_MISS_RATE) / math.log(share)
        return int((places + self.correction_places) * self.light_tokens)


class FairQueue:
    """Holds the waiting and running entries of one backend server.

    The owner calls ``dispatch`` after each ``offer`` and ``finish`` and after each
    change of the load bound, and ``expire`` at least every ``EXPIRY_TICK_MS`` while
    entries are waiting.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        admit: Admit,
        limits: QueueLimits | None = None,
    ) -> None:
        self.clock = clock
        self.random = random
        self.admit = admit
        self.limits = limits or QueueLimits()
        self.classes = [PriorityClass(1 + priority) for priority in range(PRIORITIES)]
        self.waiting: dict[str, QueueEntry] = {}
        self.running: dict[str, QueueEntry] = {}
        self.running_tokens = 0
        self.running_by_account: dict[str, int] = {}
        self.queued_by_account: dict[str, int] = {}
        self.queued_tokens = 0
        self.largest_account_tokens = 0
        self.mean_run_ms = 0.0
        self.virtual_time = 0.0
        self.expiry = ExpiryIndex(clock.now_ms())
        self.reserve = ReserveEstimate()

    def offer(self, entry: QueueEntry) -> Queued | Shed:
        """Queue an entry, or shed it if it cannot start in time."""
        if entry.key in self.waiting or entry.key in self.running:
            raise ValueError(f"entry {entry.key} is already queued or running")
        if not 0 <= entry.priority < PRIORITIES:
            raise ValueError(f"priority {entry.priority} is outside 0-{PRIORITIES - 1}")
        if entry.work_tokens < 1:
            raise ValueError(f"work_tokens of entry {entry.key} must be positive")
        now = self.clock.now_ms()
        entry.queued_ms = now
        entry.expires_ms = min(entry.deadline_ms, now + self.limits.max_wait_ms)
        wait_ms = self.expected_wait_ms(entry)
        if (reason := self.shed_reason(entry, wait_ms)) is not None:
            return self.shed(entry, reason)
        self.insert(entry)
        return Queued(entry, wait_ms)

    def shed_reason(self, entry: QueueEntry, wait_ms: int) -> ShedReason | None:
        """Return why an entry cannot be queued, ``None`` if it can."""
        if len(self.waiting) >= self.limits.max_entries:
            return ShedReason.QUEUE_FULL
        if not self.fits_when_idle(entry):
            return ShedReason.OVER_BOUND
        if entry.queued_ms + wait_ms >= entry.deadline_ms:
            return ShedReason.WAIT_EXCEEDS_DEADLINE
        if wait_ms > self.limits.max_wait_ms:
            return ShedReason.WAIT_EXCEEDS_MAXIMUM
        return None

    def dispatch(self) -> list[QueueEntry]:
        """Start all entries that fit now; return them."""
        started = []
        while (entry := self.start_next()) is not None:
            started.append(entry)
        return started

    def expire(self) -> list[Shed]:
        """Remove and return the entries whose deadline or maximum wait has passed."""
        shed = []
        for entry in self.expiry.pop_due(self.clock.now_ms()):
            self.remove_waiting(entry)
            shed.append(self.shed(entry, ShedReason.EXPIRED))
        return shed

    def cancel(self, key: str) -> bool:
        """Remove an entry from the queue; return whether it was waiting."""
        entry = self.waiting.get(key)
        if entry is None:
            return False
        self.remove_waiting(entry)
        return True

    def finish(self, key: str) -> None:
        """Remove a running entry that has ended or was cancelled."""
        entry = self.running.pop(key, None)
        if entry is None:
            return
        self.adjust_running(entry.account, -entry.work_tokens)
        run_ms = self.clock.now_ms() - entry.started_ms
        weight = AVERAGING_WEIGHT if self.mean_run_ms else 1.0
        self.mean_run_ms += weight * (run_ms - self.mean_run_ms)
        if not self.is_heavy(entry.account, HEAVY_END_SHARE):
            self.move_to_light(entry.account)

    def expected_wait_ms(self, entry: QueueEntry) -> int:
        """Estimate how long an entry would wait if it were queued now.

        The service rate is the running work divided by the mean run time of a request
        (Little's law). Under round robin, the work served before the entry is at most
        the account's own backlog times the number of waiting accounts, and at most the
        whole queue.
        """
        own_tokens = self.queued_by_account.get(entry.account, 0)
        accounts = len(self.queued_by_account) + (own_tokens == 0)
        tokens_ahead = min(own_tokens * accounts, self.queued_tokens)
        if not tokens_ahead or not self.running_tokens:
            return 0
        return int(tokens_ahead * self.mean_run_ms / self.running_tokens)

    def is_heavy(self, account: str, share: float = HEAVY_START_SHARE) -> bool:
        """Return whether an account's running work reaches a share of the largest."""
        own_tokens = self.running_by_account.get(account, 0)
        return own_tokens > 0 and own_tokens >= share * self.largest_account_tokens

    def adjust_running(self, account: str, tokens: int) -> None:
        """Add a positive or negative amount to the running work of an account."""
        before = self.running_by_account.get(account, 0)
        self.running_tokens += tokens
        add_tokens(self.running_by_account, account, tokens)
        if tokens > 0:
            self.largest_account_tokens = max(
                self.largest_account_tokens, before + tokens
            )
        elif before == self.largest_account_tokens:
            # Linear in the accounts with running work, which are few.
            self.largest_account_tokens = max(
                self.running_by_account.values(), default=0
            )

    def fits_when_idle(self, entry: QueueEntry) -> bool:
        """Return whether an entry could start if this queue had nothing running."""
        additional_tokens = entry.work_tokens - self.running_tokens
        return additional_tokens <= 0 or self.admit(additional_tokens)

    def start_next(self) -> QueueEntry | None:
        """Start the next entry if it fits; return it."""
        backlogged = [each for each in self.classes if each.backlogged]
        for each in sorted(backlogged, key=lambda one: one.work_per_weight):
            if each.light:
                queue = self.next_queue(each.light)
                if not self.admit(queue.head().work_tokens):
                    # Nothing else starts until this entry fits, otherwise smaller
                    # entries could overtake it indefinitely.
                    return None
                return self.start(each, queue, light=True)
            queue = self.next_queue(each.heavy)
            if self.admit(queue.head().work_tokens + self.reserved_tokens()):
                return self.start(each, queue, light=False)
        return None

    def reserved_tokens(self) -> int:
        """Return the current reserve, limited to a share of the running work."""
        max_reserve_tokens = int(MAX_RESERVE_SHARE * self.running_tokens)
        return min(self.reserve.tokens(), max_reserve_tokens)

    def next_queue(self, ring: Ring) -> AccountQueue:
        """Return the next account queue by deficit round robin.

        Each round adds one quantum to the deficit of an account. An account is skipped
        at most work / quantum times before its deficit covers its oldest entry.
        """
        while True:
            account, queue = next(iter(ring.items()))
            work = queue.head().work_tokens
            if queue.deficit_tokens >= work:
                return queue
            if len(ring) == 1:
                queue.deficit_tokens = work
                return queue
            queue.deficit_tokens += QUANTUM_TOKENS
            ring.move_to_end(account)

    def start(
        self, priority_class: PriorityClass, queue: AccountQueue, light: bool
    ) -> QueueEntry:
        """Move the oldest entry of an account queue to the running entries."""
        entry = queue.head()
        queue.deficit_tokens -= entry.work_tokens
        self.virtual_time = max(self.virtual_time, priority_class.work_per_weight)
        priority_class.work_per_weight += entry.work_tokens / priority_class.weight
        self.remove_waiting(entry)
        entry.started_ms = self.clock.now_ms()
        self.running[entry.key] = entry
        self.adjust_running(entry.account, entry.work_tokens)
        self.reserve.add(entry)
        if queue.entries and light and self.is_heavy(entry.account):
            priority_class.append_to_ring(queue, heavy=True)
        return entry

    def insert(self, entry: QueueEntry) -> None:
        """Add an entry to the end of its account's queue."""
        priority_class = self.classes[entry.priority]
        if not priority_class.backlogged:
            # An idle class accumulates no credit.
            priority_class.work_per_weight = max(
                priority_class.work_per_weight, self.virtual_time
            )
        heavy = self.is_heavy(entry.account)
        entry.queued_as_light = not heavy
        queue = priority_class.find(entry.account)
        if queue is None:
            queue = AccountQueue(entry.account)
            priority_class.append_to_ring(queue, heavy)
        queue.entries[entry.key] = entry
        queue.queued_tokens += entry.work_tokens
        priority_class.queued_tokens += entry.work_tokens
        self.waiting[entry.key] = entry
        self.queued_tokens += entry.work_tokens
        add_tokens(self.queued_by_account, entry.account, entry.work_tokens)
        self.expiry.add(entry)

    def remove_waiting(self, entry: QueueEntry) -> None:
        """Remove an entry from all indexes of waiting entries."""
        del self.waiting[entry.key]
        priority_class = self.classes[entry.priority]
        queue = priority_class.find(entry.account)
        assert queue is not None
        del queue.entries[entry.key]
        queue.queued_tokens -= entry.work_tokens
        priority_class.queued_tokens -= entry.work_tokens
        self.queued_tokens -= entry.work_tokens
        add_tokens(self.queued_by_account, entry.account, -entry.work_tokens)
        self.expiry.remove(entry)
        if not queue.entries:
            priority_class.remove(entry.account)

    def move_to_light(self, account: str) -> None:
        """Move the queues of an account from the heavy to the light rings."""
        for each in self.classes:
            if (queue := each.heavy.get(account)) is not None:
                each.append_to_ring(queue, heavy=False)

    def shed(self, entry: QueueEntry, reason: ShedReason) -> Shed:
        """Return the result for a dropped entry, with a jittered retry delay."""
        jitter = 1 + self.random.uniform(0, RETRY_AFTER_JITTER)
        wait_ms = max(self.expected_wait_ms(entry), self.mean_run_ms)
        bounded = min(
            max(int(wait_ms * jitter), self.limits.min_retry_after_ms),
            self.limits.max_retry_after_ms,
        )
        return Shed(entry, reason, bounded)


def retry_after_s(retry_after_ms: int) -> int:
    """Convert a delay to the whole seconds of a Retry-After header, at least 1."""
    return max(1, math.ceil(retry_after_ms / MS_PER_S))


def add_tokens(totals: dict[str, int], account: str, tokens: int) -> None:
    """Add to the total of an account; remove it when it reaches zero."""
    total = totals.get(account, 0) + tokens
    if total:
        totals[account] = total
    else:
        del totals[account]

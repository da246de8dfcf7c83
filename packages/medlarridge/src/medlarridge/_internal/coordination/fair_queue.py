"""Fair queue in front of one backend server.

Entries wait per priority class and client account. A class is chosen by weighted
fair queueing, so a higher priority gets more of the server but no class starves;
inside a class the accounts take turns by deficit round robin. The cost of an entry
is its work in tokens.

An account that holds much of the running work is *heavy*. Heavy
accounts may only fill the server up to a reserve below the load bound. Without
this reserve a light account would always find the server full during a surge and
wait for a running request to end, however fair the order of the queue is.
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
"""Work of a usual request, so that one pass over an account nearly always suffices."""
BECOMES_HEAVY_SHARE = 0.95
STAYS_HEAVY_SHARE = 0.5
"""Shares of the largest account's running work. An account becomes heavy when it
is about the largest. While its backlog lasts it stays heavy down to half of the
largest, otherwise several surging accounts would take turns in using the reserve."""
RESERVE_MISS_RATE = 0.02
"""Aim for the share of light entries that find the reserve used up. It stays below
5% so that waiting for the reserve does not show in the 95th percentile."""
RESERVE_GAIN_PLACES = 0.5
MAX_CORRECTION_PLACES = 32.0
MAX_RESERVE_SHARE = 0.25
"""Largest share of the running work that the reserve may withhold."""
AVERAGING_WEIGHT = 0.05
EXPIRY_TICK_MS = 10
RETRY_AFTER_JITTER = 0.25


class ShedReason(StrEnum):
    """Why an entry leaves the queue without having run."""

    WAIT_EXCEEDS_DEADLINE = "wait-exceeds-deadline"
    WAIT_EXCEEDS_MAXIMUM = "wait-exceeds-maximum"
    EXPIRED = "expired"
    QUEUE_FULL = "queue-full"
    OVER_BOUND = "over-bound"


@dataclass(frozen=True)
class QueueLimits:
    """Bounds of a queue."""

    max_wait_ms: int = 5_000
    max_entries: int = 2_000
    min_retry_after_ms: int = 200
    max_retry_after_ms: int = 30_000


@dataclass(eq=False, slots=True)
class QueueEntry:
    """A request that waits or runs; ``deadline_ms`` is a time of the clock.

    Higher priorities are more urgent.
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
    """The entry waits; ``expected_wait_ms`` is an estimate."""

    entry: QueueEntry
    expected_wait_ms: int


@dataclass(frozen=True)
class Shed:
    """The entry did not run and is no longer in the queue."""

    entry: QueueEntry
    reason: ShedReason
    retry_after_ms: int


Admit = Callable[[int], bool]
"""Whether more work in tokens fits now.

It must count the work in ``FairQueue.running_tokens`` as load and be monotone in
the work.
"""


@dataclass(eq=False, slots=True)
class AccountQueue:
    """The waiting entries of one account in one priority class."""

    account: str
    entries: OrderedDict[str, QueueEntry] = field(default_factory=OrderedDict)
    queued_tokens: int = 0
    deficit_tokens: int = 0

    def head(self) -> QueueEntry:
        """Return the entry that is next."""
        return next(iter(self.entries.values()))


Ring = OrderedDict[str, AccountQueue]


@dataclass(eq=False)
class PriorityClass:
    """Account queues of one priority, in two rings.

    ``served`` is the work dispatched so far divided by the weight of the class,
    the virtual time of weighted fair queueing.
    """

    weight: int
    served: float = 0.0
    queued_tokens: int = 0
    light: Ring = field(default_factory=OrderedDict)
    heavy: Ring = field(default_factory=OrderedDict)

    def find(self, account: str) -> AccountQueue | None:
        """Return the queue of an account, if it has entries here."""
        return self.light.get(account) or self.heavy.get(account)

    def place(self, queue: AccountQueue, heavy: bool) -> None:
        """Put an account queue at the end of the ring it belongs to."""
        self.light.pop(queue.account, None)
        self.heavy.pop(queue.account, None)
        (self.heavy if heavy else self.light)[queue.account] = queue

    def remove(self, account: str) -> None:
        """Remove an account that has no entries left."""
        self.light.pop(account, None)
        self.heavy.pop(account, None)

    @property
    def backlogged(self) -> bool:
        """Whether any entry waits."""
        return bool(self.light or self.heavy)


class ExpiryIndex:
    """Entries by the tick at which they expire, in constant time per entry."""

    def __init__(self, now_ms: int) -> None:
        self.next_tick = now_ms // EXPIRY_TICK_MS
        self.ticks: dict[int, dict[str, QueueEntry]] = {}

    def add(self, entry: QueueEntry) -> None:
        """Add an entry under its time of expiry."""
        if not self.ticks:
            # Skips the ticks of an idle time at once.
            self.next_tick = max(self.next_tick, entry.queued_ms // EXPIRY_TICK_MS)
        tick = max(self.next_tick, entry.expires_ms // EXPIRY_TICK_MS)
        self.ticks.setdefault(tick, {})[entry.key] = entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that no longer waits."""
        tick = max(entry.expires_ms, entry.queued_ms) // EXPIRY_TICK_MS
        if (bucket := self.ticks.get(tick)) is not None:
            bucket.pop(entry.key, None)
            if not bucket:
                del self.ticks[tick]

    def pop_due(self, now_ms: int) -> Iterator[QueueEntry]:
        """Remove and yield the entries of all ticks that have passed."""
        last = now_ms // EXPIRY_TICK_MS
        while self.ticks and self.next_tick < last:
            yield from self.ticks.pop(self.next_tick, {}).values()
            self.next_tick += 1
        self.next_tick = last


class ReserveEstimate:
    """Size of the reserve that keeps light accounts from finding a full server.

    The reserve starts from a model and is corrected by what light entries see.
    Model: while the reserve is in use only light entries start, so the number of
    free places is a birth-death process that falls with each light start and rises
    with each end. With a share s of the work being light, all of r places are in
    use for about s ** r of the time. Requests differ in size, so the model alone
    is too low; each light entry that had to wait raises the correction and each
    that started at once lowers it, in balance at ``RESERVE_MISS_RATE``.
    """

    def __init__(self) -> None:
        self.light_share = 0.5
        self.light_tokens = float(QUANTUM_TOKENS)
        self.correction_places = 0.0

    def add(self, entry: QueueEntry) -> None:
        """Count one entry that starts."""
        weight = AVERAGING_WEIGHT
        light = entry.queued_as_light
        self.light_share += weight * (float(light) - self.light_share)
        if light:
            self.light_tokens += weight * (entry.work_tokens - self.light_tokens)
            waited = entry.started_ms > entry.queued_ms
            step = RESERVE_GAIN_PLACES * (float(waited) - RESERVE_MISS_RATE)
            corrected = max(0.0, self.correction_places + step)
            self.correction_places = min(corrected, MAX_CORRECTION_PLACES)

    def tokens(self) -> int:
        """Return the work that heavy accounts must leave free."""
        share = min(max(self.light_share, 0.01), 0.99)
        places = math.log(RESERVE_MISS_RATE) / math.log(share)
        return int((places + self.correction_places) * self.light_tokens)


class FairQueue:
    """Waiting and running entries of one backend server.

    The owner calls ``dispatch`` after each ``offer``, ``finish`` and change of the
    load bound, and ``expire`` at least every ``EXPIRY_TICK_MS`` while entries wait.
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
        self.largest_tokens = 0
        self.mean_run_ms = 0.0
        self.virtual_time = 0.0
        self.expiry = ExpiryIndex(clock.now_ms())
        self.reserve = ReserveEstimate()

    def offer(self, entry: QueueEntry) -> Queued | Shed:
        """Queue an entry, or shed it if it would wait too long."""
        if entry.key in self.waiting or entry.key in self.running:
            raise ValueError(f"entry {entry.key} is queued twice")
        if not 0 <= entry.priority < PRIORITIES:
            raise ValueError(f"priority {entry.priority} is not in 0-{PRIORITIES - 1}")
        if entry.work_tokens < 1:
            raise ValueError(f"entry {entry.key} has no work")
        now = self.clock.now_ms()
        entry.queued_ms = now
        entry.expires_ms = min(entry.deadline_ms, now + self.limits.max_wait_ms)
        wait_ms = self.expected_wait_ms(entry)
        if (reason := self.shed_reason(entry, wait_ms)) is not None:
            return self.shed(entry, reason)
        self.insert(entry)
        return Queued(entry, wait_ms)

    def shed_reason(self, entry: QueueEntry, wait_ms: int) -> ShedReason | None:
        """Return why an entry cannot wait here, or nothing if it can."""
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
        """Start all entries that fit now and return them."""
        started = []
        while (entry := self.start_next()) is not None:
            started.append(entry)
        return started

    def expire(self) -> list[Shed]:
        """Remove the entries that have waited too long."""
        shed = []
        for entry in self.expiry.pop_due(self.clock.now_ms()):
            self.remove_waiting(entry)
            shed.append(self.shed(entry, ShedReason.EXPIRED))
        return shed

    def cancel(self, key: str) -> bool:
        """Remove a waiting entry; return whether it was waiting."""
        entry = self.waiting.get(key)
        if entry is None:
            return False
        self.remove_waiting(entry)
        return True

    def finish(self, key: str) -> None:
        """Release the work of a running entry that has ended or was cancelled."""
        entry = self.running.pop(key, None)
        if entry is None:
            return
        self.change_running(entry.account, -entry.work_tokens)
        run_ms = self.clock.now_ms() - entry.started_ms
        weight = AVERAGING_WEIGHT if self.mean_run_ms else 1.0
        self.mean_run_ms += weight * (run_ms - self.mean_run_ms)
        if not self.is_heavy(entry.account, STAYS_HEAVY_SHARE):
            self.move_to_light(entry.account)

    def expected_wait_ms(self, entry: QueueEntry) -> int:
        """Estimate the wait of an entry that joins the queue now.

        The rate is the running work over the mean time that a request runs
        (Little's law). Under round robin an account's backlog takes at most its
        own size times the number of waiting accounts, and at most the whole queue.
        """
        own = self.queued_by_account.get(entry.account, 0)
        accounts = len(self.queued_by_account) + (own == 0)
        ahead = min(own * accounts, self.queued_tokens)
        if not ahead or not self.running_tokens:
            return 0
        return int(ahead * self.mean_run_ms / self.running_tokens)

    def is_heavy(self, account: str, share: float = BECOMES_HEAVY_SHARE) -> bool:
        """Return whether an account runs at least a share of the largest one."""
        own = self.running_by_account.get(account, 0)
        return own > 0 and own >= share * self.largest_tokens

    def change_running(self, account: str, tokens: int) -> None:
        """Add work to the running total of an account, or subtract it."""
        before = self.running_by_account.get(account, 0)
        self.running_tokens += tokens
        add(self.running_by_account, account, tokens)
        if tokens > 0:
            self.largest_tokens = max(self.largest_tokens, before + tokens)
        elif before == self.largest_tokens:
            # Costs one step per account with running work, which are few.
            self.largest_tokens = max(self.running_by_account.values(), default=0)

    def fits_when_idle(self, entry: QueueEntry) -> bool:
        """Return whether an entry could start if nothing else ran here."""
        beyond = entry.work_tokens - self.running_tokens
        return beyond <= 0 or self.admit(beyond)

    def start_next(self) -> QueueEntry | None:
        """Start the next entry if it fits."""
        backlogged = [each for each in self.classes if each.backlogged]
        for each in sorted(backlogged, key=lambda one: one.served):
            if each.light:
                queue = self.next_queue(each.light)
                if not self.admit(queue.head().work_tokens):
                    # A smaller entry must not overtake for ever, so nothing starts
                    # until this one fits.
                    return None
                return self.start(each, queue, light=True)
            queue = self.next_queue(each.heavy)
            if self.admit(queue.head().work_tokens + self.reserved_tokens()):
                return self.start(each, queue, light=False)
        return None

    def reserved_tokens(self) -> int:
        """Return the work that heavy accounts must leave free now."""
        most = int(MAX_RESERVE_SHARE * self.running_tokens)
        return min(self.reserve.tokens(), most)

    def next_queue(self, ring: Ring) -> AccountQueue:
        """Return the account queue whose turn it is.

        Each pass gives an account one quantum. An account whose head is larger
        than its deficit is passed over at most work / quantum times.
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
        """Move the head of an account queue to the running entries."""
        entry = queue.head()
        queue.deficit_tokens -= entry.work_tokens
        self.virtual_time = max(self.virtual_time, priority_class.served)
        priority_class.served += entry.work_tokens / priority_class.weight
        self.remove_waiting(entry)
        entry.started_ms = self.clock.now_ms()
        self.running[entry.key] = entry
        self.change_running(entry.account, entry.work_tokens)
        self.reserve.add(entry)
        if queue.entries and light and self.is_heavy(entry.account):
            priority_class.place(queue, heavy=True)
        return entry

    def insert(self, entry: QueueEntry) -> None:
        """Add an entry to the end of its account's queue."""
        priority_class = self.classes[entry.priority]
        if not priority_class.backlogged:
            # A class that was idle does not claim the time in which it was idle.
            priority_class.served = max(priority_class.served, self.virtual_time)
        heavy = self.is_heavy(entry.account)
        entry.queued_as_light = not heavy
        queue = priority_class.find(entry.account)
        if queue is None:
            queue = AccountQueue(entry.account)
            priority_class.place(queue, heavy)
        queue.entries[entry.key] = entry
        queue.queued_tokens += entry.work_tokens
        priority_class.queued_tokens += entry.work_tokens
        self.waiting[entry.key] = entry
        self.queued_tokens += entry.work_tokens
        add(self.queued_by_account, entry.account, entry.work_tokens)
        self.expiry.add(entry)

    def remove_waiting(self, entry: QueueEntry) -> None:
        """Take an entry out of all indexes of waiting entries."""
        del self.waiting[entry.key]
        priority_class = self.classes[entry.priority]
        queue = priority_class.find(entry.account)
        assert queue is not None
        del queue.entries[entry.key]
        queue.queued_tokens -= entry.work_tokens
        priority_class.queued_tokens -= entry.work_tokens
        self.queued_tokens -= entry.work_tokens
        add(self.queued_by_account, entry.account, -entry.work_tokens)
        self.expiry.remove(entry)
        if not queue.entries:
            priority_class.remove(entry.account)

    def move_to_light(self, account: str) -> None:
        """Move an account that is no longer heavy to the light rings."""
        for each in self.classes:
            if (queue := each.heavy.get(account)) is not None:
                each.place(queue, heavy=False)

    def shed(self, entry: QueueEntry, reason: ShedReason) -> Shed:
        """Return the answer to an entry that is shed, with a jittered hint."""
        jitter = 1 + self.random.uniform(0, RETRY_AFTER_JITTER)
        wait_ms = max(self.expected_wait_ms(entry), self.mean_run_ms)
        bounded = min(
            max(int(wait_ms * jitter), self.limits.min_retry_after_ms),
            self.limits.max_retry_after_ms,
        )
        return Shed(entry, reason, bounded)


def retry_after_s(retry_after_ms: int) -> int:
    """Return the value of a Retry-After header, which is in whole seconds."""
    return max(1, math.ceil(retry_after_ms / MS_PER_S))


def add(totals: dict[str, int], account: str, tokens: int) -> None:
    """Change the total of an account; drop it when nothing is left."""
    total = totals.get(account, 0) + tokens
    if total:
        totals[account] = total
    else:
        del totals[account]

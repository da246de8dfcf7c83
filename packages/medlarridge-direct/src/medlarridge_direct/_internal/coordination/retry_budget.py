"""Retry budget of each pool.

The budget limits the retries that reach servers in any window, for all routers together.
The requests of a window may be counted in the window itself, in the one before it, or in
the one half a window before it, whichever has most.

To avoid coordination calls, each process keeps a limit of its own for every window:

    retries <= ratio * (0.2 * requests in the window
                        + 0.8 * requests in the window before it) + share of the slack

A weighted mean of two windows is at most the larger one, and the limit is linear in the
requests. So the sum of these limits over any split of the requests, over routers and
over processes that follow each other on a router, is at most the budget. Times that the
router cannot know are taken at their worst: a request may have been sent earlier than it
was read, and a retry may arrive later than it was sent. docs/design.md has the proof.
"""

from collections import deque
from enum import Enum, auto
from itertools import accumulate
from math import ceil
from typing import Protocol

from msgspec import Struct, field

from medlarridge._internal.clock import MS_PER_S, Clock

from .fleet_size import FleetSize

WINDOW_WEIGHT = 0.2
"""Weight of the requests in the window of a retry; they allow retries at once."""

WINDOW_BEFORE_WEIGHT = 1 - WINDOW_WEIGHT
"""Weight of the requests in the window before; they allow many retries when servers
begin to fail."""

SLOT_MS = 200
"""Resolution of the history. A slot that is only partly in a window counts for retries,
and for requests with the smaller weight."""

MAX_READ_DELAY_MS = 1_000
"""Time within which a request is read after its client sent it; the platform's clients
give up after this."""

MAX_ARRIVAL_DELAY_MS = 2_500
"""Time within which a retry arrives or is lost: its connection is opened within 200 ms
and closed when bytes are not acknowledged for 2 s."""

NETWORK_DELAY_MS = 100
"""Time for which bytes may be under way after their connection was closed."""


class RetryEnd(Enum):
    """What is known of a retry when its attempt has ended or got a response.

    One that ``MAY_ARRIVE``, or an earlier attempt of its request, may be on its way.
    """

    NOT_SENT = auto()
    ARRIVED = auto()
    MAY_ARRIVE = auto()


END_DELAYS_MS = {
    RetryEnd.ARRIVED: NETWORK_DELAY_MS,
    RetryEnd.MAY_ARRIVE: MAX_ARRIVAL_DELAY_MS,
}
"""Time for which a retry may still arrive."""


class RetryBudgetLimits(Protocol):
    """Retries allowed in a sliding window: a ratio of the requests, plus a slack.

    The limits hold for all routers together.
    """

    ratio: float
    slack: float
    window_s: float


class PoolHistory(Struct):
    """Requests and retries of one pool, counted by slot.

    ``requests`` ends with the count of ``newest_slot``. ``ended_retries`` counts retries
    by the last slot in which they may have arrived; ``open_retries`` may still arrive.
    """

    newest_slot: int
    requests: deque[int] = field(default_factory=lambda: deque([0]))
    ended_retries: dict[int, int] = field(default_factory=dict)
    open_retries: int = 0

    def advance(self, now_slot: int, window_slots: int) -> None:
        """Move to the present slot, and drop what no window contains any more."""
        kept_slots = 2 * window_slots + 1
        passed_slots = now_slot - self.newest_slot
        if not passed_slots and len(self.requests) == kept_slots:
            return
        self.newest_slot = now_slot
        self.requests.extend([0] * min(passed_slots, kept_slots))
        while len(self.requests) > kept_slots:
            self.requests.popleft()
        while len(self.requests) < kept_slots:
            self.requests.appendleft(0)
        for slot in [
            each for each in self.ended_retries if each < now_slot - kept_slots
        ]:
            del self.ended_retries[slot]


class RetryBudget(Struct):
    """Share of this process in the budgets of all pools."""

    clock: Clock
    limits: RetryBudgetLimits
    fleet_size: FleetSize
    pools: dict[str, PoolHistory] = field(default_factory=dict)

    def count_request(self, pool: str) -> None:
        """Count a request from a client."""
        self.history(pool).requests[-1] += 1

    def remaining(self, pool: str) -> float:
        """Return the number of retries that this router may still send now."""
        return self.least_left(self.history(pool)) + self.slack_share()

    def least_left(self, history: PoolHistory) -> float:
        """Return how much of the ratio's part is left in the tightest window.

        A retry that is sent now is in the windows that began within the last window's
        length, and in those that begin before it has arrived.
        """
        window_slots = self.window_slots
        first_start = history.newest_slot - window_slots
        last_start = self.slot(MAX_ARRIVAL_DELAY_MS)
        # Item n counts the requests before slot n, for the slots of the history and
        # those in which a retry may arrive.
        requests_before = list(accumulate(history.requests, initial=0))
        requests = requests_before[-1]
        requests_before += [requests] * (last_start - history.newest_slot - 1)
        window_excess_ms = window_slots * SLOT_MS - self.window_ms
        skipped_slots = min(
            ceil((MAX_READ_DELAY_MS + window_excess_ms) / SLOT_MS) + 1, window_slots
        )
        before_previous_windows = requests_before[
            skipped_slots : len(requests_before) - window_slots + skipped_slots
        ]
        retries_from = accumulate(
            (
                history.ended_retries.get(slot, 0)
                for slot in range(last_start, first_start - 1, -1)
            ),
            initial=history.open_retries,
        )
        next(retries_from)
        windows = zip(
            reversed(requests_before),
            reversed(before_previous_windows),
            retries_from,
            strict=False,
        )
        return min(
            self.limits.ratio
            * (
                WINDOW_WEIGHT * (requests - before_start)
                + WINDOW_BEFORE_WEIGHT * (before_start - before_previous)
            )
            - retries
            for before_start, before_previous, retries in windows
        )

    def slack_share(self) -> float:
        """Return this router's share of the slack."""
        if not self.fleet_size.is_settled(self.window_ms):
            return 0.0
        return self.limits.slack / self.fleet_size.count

    @property
    def window_ms(self) -> int:
        """Return the length of the sliding window."""
        return int(self.limits.window_s * MS_PER_S)

    @property
    def window_slots(self) -> int:
        """Return the number of slots that contain a window."""
        return ceil(self.window_ms / SLOT_MS)

    def take(self, pool: str) -> bool:
        """Take one retry from the budget; return whether one was available.

        ``end_retry`` must follow.
        """
        if self.remaining(pool) < 1:
            return False
        self.history(pool).open_retries += 1
        return True

    def end_retry(self, pool: str, end: RetryEnd = RetryEnd.ARRIVED) -> None:
        """Record what is known of a retry; one that was not sent does not count."""
        history = self.history(pool)
        history.open_retries -= 1
        if end is not RetryEnd.NOT_SENT:
            slot = self.slot(END_DELAYS_MS[end])
            history.ended_retries[slot] = history.ended_retries.get(slot, 0) + 1

    def open_retries(self) -> int:
        """Return how many retries may still be on their way."""
        return sum(history.open_retries for history in self.pools.values())

    def slot(self, delay_ms: int = 0) -> int:
        """Return the number of the slot that is in force after a delay."""
        return (self.clock.now_ms() + delay_ms) // SLOT_MS

    def history(self, pool: str) -> PoolHistory:
        """Return the history of a pool without what no window needs any more."""
        history = self.pools.setdefault(pool, PoolHistory(self.slot()))
        history.advance(self.slot(), self.window_slots)
        return history

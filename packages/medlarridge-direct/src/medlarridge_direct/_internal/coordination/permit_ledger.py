"""Permits to send requests to servers that name a limit for all routers together.

One router at a time, the keeper of a pool, gives out the permits for its servers. A
permit counts from the moment it is given until a window after the last moment at which
its request may arrive. So no window has more arrivals than its permits, however the
requests are split over routers and however late they arrive. docs/design.md has the
proof.
"""

from math import ceil

from msgspec import Struct, field

from medlarridge._internal.clock import MS_PER_S, Clock

from .retry_budget import MAX_ARRIVAL_DELAY_MS

WINDOW_MS = 2_000
"""Window in which a server gets no more than its limit allows. Two of them make the
four seconds of the platform's rule."""

MAX_WINDOW_MS = 10_000
"""Window in which a server may get one request, however low its limit is: nobody would
notice otherwise that the limit has ended."""

COLD_WINDOW_MS = 1_000
"""Window in which a cold server gets no more than its rate: the second of the platform's
rule."""

EXPIRY_INTERVAL_MS = 500

PERMIT_VALIDITY_MS = 300
"""Time from asking for a permit within which its request must be sent: an exchange with
the keeper, and a new connection to the server."""

MAX_OPEN_MS = PERMIT_VALIDITY_MS + MAX_ARRIVAL_DELAY_MS
"""Time from giving a permit until its request has arrived or is lost."""


def window_ms(limit_per_s: float) -> int:
    """Return the window for a limit; it is longer if a limit is below one in it."""
    if limit_per_s * WINDOW_MS >= MS_PER_S:
        return WINDOW_MS
    if limit_per_s * MAX_WINDOW_MS <= MS_PER_S:
        return MAX_WINDOW_MS
    return ceil(MS_PER_S / limit_per_s)


def capacity(limit_per_s: float) -> int:
    """Return the number of requests that a server may get in a window."""
    return max(int(limit_per_s * window_ms(limit_per_s) / MS_PER_S), 1)


class ServerLimit(Struct, frozen=True):
    """The requests a second that a server takes; with both limits, both hold.

    ``per_s`` is what the server names, ``cold_per_s`` the rate of a cold server.
    """

    per_s: float | None = None
    cold_per_s: float | None = None

    def windows(self) -> list[tuple[int, int]]:
        """Return pairs of a window and the number of requests that fit into it."""
        windows = []
        if self.per_s is not None:
            windows.append((window_ms(self.per_s), capacity(self.per_s)))
        if self.cold_per_s is not None:
            windows.append((COLD_WINDOW_MS, max(int(self.cold_per_s), 1)))
        return windows

    def strictest(self) -> tuple[int, int]:
        """Return the window, and its number of requests, that allows fewest a second."""
        return min(self.windows(), key=lambda each: each[1] / each[0])

    def permits_in_window(self) -> float:
        """Return the permits in ``WINDOW_MS``, of a lower limit those in its window."""
        window, count = self.strictest()
        return count * max(WINDOW_MS / window, 1)

    def rate_per_s(self) -> float:
        """Return the requests a second that the server takes."""
        return min(each for each in (self.per_s, self.cold_per_s) if each is not None)


class PermitLedger(Struct):
    """The permits of one pool; ``end_ms`` has when each has arrived at the latest.

    ``unknown_until_ms`` is when requests of permits that are not in this ledger, of an
    earlier keeper, have arrived at the latest, None if there were none.
    ``next_number`` continues from a random number, so that messages about the permits
    of an earlier process are not taken for those of this one.
    """

    clock: Clock
    next_number: int = 1
    unknown_until_ms: int | None = None
    expired_ms: int = 0
    end_ms: dict[str, dict[int, int]] = field(default_factory=dict)
    starts: dict[int, str] = field(default_factory=dict)

    def free(
        self, start: str, limit_per_s: float | None, cold_per_s: float | None = None
    ) -> int:
        """Return how many permits may be given now for a server with a limit."""
        limit = ServerLimit(limit_per_s, cold_per_s)
        return min(
            self.free_in_window(self.ends(start, window), window, count)
            for window, count in limit.windows()
        )

    def ends(self, start: str, window: int) -> list[int]:
        """Return the ends of the permits that count in a window for a server.

        For a cold server those of all starts with its id count: a request that was sent
        to the earlier start reaches the new one at the same address.
        """
        if window != COLD_WINDOW_MS:
            return list(self.end_ms.get(start, {}).values())
        same_id = start.rpartition("/")[0] + "/"
        return [
            end
            for each, ends in self.end_ms.items()
            if each == start or each.startswith(same_id)
            for end in ends.values()
        ]

    def free_in_window(self, ends: list[int], window: int, count: int) -> int:
        """Return how many permits may be given so that a window has ``count`` at most."""
        window_start_ms = self.clock.now_ms() - window
        if (
            self.unknown_until_ms is not None
            and self.unknown_until_ms > window_start_ms
        ):
            return 0
        return count - sum(end > window_start_ms for end in ends)

    def free_in_ms(
        self, start: str, limit_per_s: float | None, cold_per_s: float | None = None
    ) -> int:
        """Return after which time a permit can be free, as far as is known now."""
        free_ms = 0
        for window, count in ServerLimit(limit_per_s, cold_per_s).windows():
            ends = sorted(self.ends(start, window))
            if self.free_in_window(ends, window, count) > 0:
                continue
            first_end_ms = ends[max(len(ends) - count, 0)] if ends else 0
            first_end_ms = max(first_end_ms, self.unknown_until_ms or 0)
            free_ms = max(free_ms, first_end_ms + window)
        return max(free_ms - self.clock.now_ms(), 1) if free_ms else 0

    def give(self, start: str) -> int:
        """Give a permit for a server; return its number."""
        if self.clock.now_ms() - self.expired_ms >= EXPIRY_INTERVAL_MS:
            self.expire()
        number = self.next_number
        self.next_number += 1
        self.end_ms.setdefault(start, {})[number] = self.clock.now_ms() + MAX_OPEN_MS
        self.starts[number] = start
        return number

    def end(self, number: int, sent: bool) -> None:
        """Record that the request of a permit has arrived by now, or was not sent."""
        start = self.starts.get(number)
        if start is None:
            return
        if sent:
            ends = self.end_ms[start]
            ends[number] = min(ends[number], self.clock.now_ms())
        else:
            self.drop(number)

    def drop(self, number: int) -> None:
        """Remove a permit."""
        start = self.starts.pop(number)
        del self.end_ms[start][number]
        if not self.end_ms[start]:
            del self.end_ms[start]

    def expire(self) -> None:
        """Remove the permits that no window contains any more."""
        self.expired_ms = self.clock.now_ms()
        oldest_ms = self.clock.now_ms() - MAX_WINDOW_MS
        for number in [
            number
            for start, ends in self.end_ms.items()
            for number, end in ends.items()
            if end <= oldest_ms
        ]:
            self.drop(number)

    def ends_after_ms(self) -> dict[str, list[int]]:
        """Return the ends of the permits of each server, from now on."""
        self.expire()
        now_ms = self.clock.now_ms()
        return {
            start: [end - now_ms for end in ends.values()]
            for start, ends in self.end_ms.items()
        }

    def add_ends(self, ends_after_ms: dict[str, list[int]]) -> None:
        """Add the permits that an earlier keeper has handed over."""
        now_ms = self.clock.now_ms()
        for start, ends in ends_after_ms.items():
            for after_ms in ends:
                number = self.give(start)
                self.end_ms[start][number] = now_ms + min(after_ms, MAX_OPEN_MS)

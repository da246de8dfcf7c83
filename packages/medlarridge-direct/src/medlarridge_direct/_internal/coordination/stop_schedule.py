"""When a router that got the stop signal takes requests, and when its work ends."""

from msgspec import Struct

from medlarridge._internal.clock import Clock

from ..protocol.accepted_request import LATE_DELIVERY_MS

BALANCER_REMOVAL_MS = 2_500
"""Time after which a stopping router normally gets no new connections: the load balancer
probes once a second and removes it after two failed probes."""

STOP_MARGIN_MS = 500
"""Time between the end of the work of a stopping router and the moment it would be
killed."""

EXIT_MS = 100
"""Time before the kill at which the last connections are closed."""

RELEASE_MARGIN_MS = 50
"""Time that is left for these connections after the calls to the store."""


class Misfit(Struct, frozen=True):
    """Why a request does not fit: the time left, and the longer one that it needs."""

    left_ms: int
    needs_ms: int


class StopSchedule:
    """The times of one stop, None until the stop signal has come.

    ``work_ends_ms`` is the time at which requests in flight are ended and after which
    none is taken, ``exits_ms`` the time at which the last connections are closed.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.began_ms: int | None = None
        self.work_ends_ms: int | None = None
        self.exits_ms: int | None = None

    def begin(self, grace_ms: int) -> None:
        """Begin the stop; the grace that was in force at the first signal counts."""
        if self.began_ms is None:
            self.began_ms = self.clock.now_ms()
            self.work_ends_ms = self.began_ms + max(grace_ms - STOP_MARGIN_MS, 0)
            self.exits_ms = self.began_ms + max(grace_ms - EXIT_MS, 0)

    def end(self) -> None:
        """End the work now, as no request is in flight or the time has come."""
        assert self.work_ends_ms is not None
        self.work_ends_ms = min(self.work_ends_ms, self.clock.now_ms())

    def has_ended(self) -> bool:
        """Return whether the work has ended."""
        return self.work_ends_ms is not None and (
            self.clock.now_ms() >= self.work_ends_ms
        )

    def removed_ms(self) -> int:
        """Return when the load balancer has reacted, or the work ends if it is sooner."""
        assert self.began_ms is not None
        assert self.work_ends_ms is not None
        return min(self.began_ms + BALANCER_REMOVAL_MS, self.work_ends_ms)

    def release_left_ms(self) -> int:
        """Return the time that calls to the store may take before the exit."""
        assert self.exits_ms is not None
        return max(self.exits_ms - RELEASE_MARGIN_MS - self.clock.now_ms(), 0)

    @property
    def has_begun(self) -> bool:
        """Return whether the stop signal has come."""
        return self.began_ms is not None

    def since_ms(self, time_ms: int) -> int | None:
        """Return how long after the stop signal a time is, None before the signal."""
        return None if self.began_ms is None else time_ms - self.began_ms

    def takes_all(self) -> bool:
        """Return whether requests are taken now however long they may last."""
        return self.is_before_removal(self.clock.now_ms())

    def is_before_removal(self, time_ms: int) -> bool:
        """Return whether the load balancer may not have reacted yet at a time.

        Until then a stopping router serves as far as possible.
        """
        return not self.has_begun or time_ms < self.removed_ms()

    def find_misfit(
        self, deadline_at_ms: int, must_be_bounded: bool, estimate_ms: int | None
    ) -> Misfit | None:
        """Return why a request may not be taken now, None if it may.

        One that ``must_be_bounded`` has no true answer but its server's once it was
        sent, so it must have ended by its deadline. For others the estimate tells
        whether taking them is useful, if there is one: an error can replace their
        response when the work ends, and they may be repeated.
        """
        if self.takes_all():
            return None
        assert self.work_ends_ms is not None
        now_ms = self.clock.now_ms()
        needs_ms = deadline_at_ms + LATE_DELIVERY_MS - now_ms
        if not must_be_bounded and estimate_ms is not None:
            needs_ms = min(needs_ms, estimate_ms)
        left_ms = self.work_ends_ms - now_ms
        if left_ms > 0 and needs_ms <= left_ms:
            return None
        return Misfit(left_ms, needs_ms)

    def may_begin_incomplete(self, taken_ms: int, deadline_at_ms: int) -> bool:
        """Return whether a buffered response may begin before it is complete.

        Once it has begun, no error can replace it, so it is bounded like a stream.
        """
        return (
            self.work_ends_ms is None
            or self.is_before_removal(taken_ms)
            or deadline_at_ms + LATE_DELIVERY_MS <= self.work_ends_ms
        )

"""When a router that got the stop signal takes requests, and when its work ends."""

from medlarridge._internal.clock import Clock

BALANCER_REMOVAL_MS = 2_500
"""Time after which a stopping router normally gets no new connections: the load balancer
probes once a second and removes it after two failed probes."""

STOP_MARGIN_MS = 500
"""Time between the end of the work of a stopping router and the moment it would be
killed."""


class StopSchedule:
    """The times of one stop, None until the stop signal has come.

    ``work_ends_ms`` is the time at which requests in flight are ended.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.began_ms: int | None = None
        self.work_ends_ms: int | None = None

    def begin(self, grace_ms: int) -> None:
        """Begin the stop; the grace that was in force at the first signal counts."""
        if self.began_ms is None:
            self.began_ms = self.clock.now_ms()
            self.work_ends_ms = self.began_ms + grace_ms - STOP_MARGIN_MS

    @property
    def has_begun(self) -> bool:
        """Return whether the stop signal has come."""
        return self.began_ms is not None

    def since_ms(self, time_ms: int) -> int | None:
        """Return how long after the stop signal a time is, None before the signal."""
        return None if self.began_ms is None else time_ms - self.began_ms

    def takes_all(self) -> bool:
        """Return whether requests are taken however long they may last.

        Until the load balancer reacts, a stopping router serves as far as possible.
        """
        return (
            self.began_ms is None
            or self.clock.now_ms() < self.began_ms + BALANCER_REMOVAL_MS
        )

    def left_ms(self) -> int | None:
        """Return the time until the work ends, None without a stop."""
        if self.work_ends_ms is None:
            return None
        return self.work_ends_ms - self.clock.now_ms()

"""Observation of one attempt: its first event, the pauses of its stream, its end."""

from math import log
from typing import TYPE_CHECKING

from medlarridge._internal.clock import Clock

from ..protocol.servers import BackendServer
from .server_estimate import WaitingRequest

if TYPE_CHECKING:
    from .server_capacity import ServerCapacity

PAUSE_WINDOW_MS = 120
"""Time over which the pauses of a stream are averaged to one observation. Several events
may come with one read."""

MAX_READ_DELAY_MS = 40
"""Delay between two reads of a stream, caused by its client, above which the pauses of
that time do not tell anything of the server."""

MIN_CENSORED_RATIO = 1.5
"""A request that ended without a first event counts from this multiple of its usual time
on: the server would have taken longer."""


class AttemptTiming:
    """Times of one attempt, which become observations of its server.

    ``usual_ms`` is the time in which a usual server would bring the first event, and
    ``ahead_tokens`` the prompt tokens that the server has to process before.
    """

    __slots__ = (
        "ahead_tokens",
        "capacity",
        "estimate",
        "is_open",
        "number",
        "occupancy",
        "read_ms",
        "reference",
        "route",
        "sent_ms",
        "server",
        "tokens",
        "usual_ms",
        "window_events",
        "window_ms",
    )

    def __init__(
        self,
        capacity: "ServerCapacity",
        server: BackendServer,
        route: str,
        tokens: int,
    ) -> None:
        self.capacity = capacity
        self.server = server
        self.route = route
        self.tokens = tokens
        self.estimate = capacity.estimate_of(server)
        self.reference = capacity.reference_of(server)
        self.is_open = False
        self.number = 0
        self.ahead_tokens = 0
        self.occupancy = 0
        self.usual_ms = 0.0
        self.sent_ms = 0
        self.read_ms = 0
        self.window_ms: int | None = None
        self.window_events = 0

    @property
    def clock(self) -> Clock:
        """Return the clock."""
        return self.capacity.clock

    def begin(self) -> None:
        """Record that the request was sent."""
        capacity, estimate = self.capacity, self.estimate
        capacity.refresh(estimate.pool)
        self.usual_ms = capacity.usual_first_ms(self.server, self.tokens, self.route)
        self.ahead_tokens = self.tokens + capacity.backlog_tokens(self.server.instance)
        self.occupancy = estimate.occupancy
        self.sent_ms = self.clock.now_ms()
        capacity.last_number += 1
        self.number = capacity.last_number
        self.is_open = True
        estimate.waiting[self.number] = WaitingRequest(
            self.sent_ms, self.tokens, self.usual_ms
        )
        estimate.waiting_tokens += self.tokens

    def end_wait(self) -> bool:
        """Stop to count as waiting; return whether the request did."""
        if self.estimate.waiting.pop(self.number, None) is None:
            return False
        self.estimate.waiting_tokens -= self.tokens
        return True

    def resume_read(self) -> None:
        """Record that the next part is read for, after the client took the last one."""
        if (
            self.window_ms is not None
            and self.clock.now_ms() - self.read_ms > MAX_READ_DELAY_MS
        ):
            self.window_ms = None

    def add_events(self, events: int) -> None:
        """Record that a part of the stream came; ``events`` is the count so far."""
        now_ms = self.clock.now_ms()
        self.read_ms = now_ms
        if not events:
            return
        if self.end_wait():
            self.observe_first(now_ms)
        if self.window_ms is None:
            self.window_ms, self.window_events = now_ms, events
            return
        elapsed_ms = now_ms - self.window_ms
        if elapsed_ms >= PAUSE_WINDOW_MS and events > self.window_events:
            self.observe_pause(now_ms, elapsed_ms / (events - self.window_events))
            self.window_ms, self.window_events = now_ms, events

    def observe_first(self, now_ms: int) -> None:
        """Observe the time to the first event."""
        elapsed_ms = max(now_ms - self.sent_ms, 1)
        if self.usual_ms:
            self.estimate.observe(now_ms, log(elapsed_ms / self.usual_ms))
        if self.estimate.is_usual:
            self.reference.teach_first(elapsed_ms, self.ahead_tokens)

    def observe_pause(self, now_ms: int, pause_ms: float) -> None:
        """Observe the mean pause between the last events."""
        estimate, curve = self.estimate, self.reference.pauses
        occupancy = estimate.occupancy
        ratio = curve.log_ratio(occupancy, pause_ms, estimate.log_slowness)
        estimate.observe(now_ms, ratio)
        if estimate.is_usual:
            curve.teach(occupancy, ratio)

    def end(self, successful: bool, is_stream: bool) -> None:
        """Observe the end of a complete response; errors tell nothing."""
        now_ms = self.clock.now_ms()
        waited = self.end_wait()
        if not successful:
            return
        duration_ms = max(now_ms - self.sent_ms, 1)
        estimate = self.estimate
        if waited and not is_stream:
            curve = self.reference.calls_of(self.route)
            ratio = curve.log_ratio(self.occupancy, duration_ms, estimate.log_slowness)
            estimate.observe(now_ms, ratio)
            if estimate.is_usual:
                curve.teach(self.occupancy, ratio)
        if estimate.is_usual:
            self.reference.teach_duration(duration_ms)

    def close(self) -> None:
        """End the observation of an attempt that may not have been answered."""
        if not self.is_open:
            return
        self.is_open = False
        if not self.end_wait() or not self.usual_ms:
            return
        now_ms = self.clock.now_ms()
        ratio = (now_ms - self.sent_ms) / self.usual_ms
        if ratio > MIN_CENSORED_RATIO:
            self.estimate.observe(now_ms, log(ratio))

"""An attempt in progress: its record, its task and its current connection."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.coordination.attempts import (
    RESUME_GRACE_MS,
    AttemptRecord,
    AttemptStream,
)
from medlarridge._internal.protocol.codec import encode_frame
from medlarridge._internal.protocol.messages import Attempt, Heartbeat
from medlarridge._internal.transport.asgi import HttpResponse
from medlarridge._internal.transport.notifier import Notifier

from .server_result import ServerResult

HEARTBEAT_MS = 1_000
FRAMES_PER_WRITE = 16


class HeartbeatSource(Protocol):
    """Gives the hints that ride on heartbeats."""

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat."""
        ...


class Superseded(Exception):
    """A newer connection has taken over the answer."""


@dataclass
class LiveAttempt:
    """An attempt that is queued or running."""

    attempt: Attempt
    record: AttemptRecord
    stream: AttemptStream
    produced: Notifier = field(default_factory=Notifier)
    consumed: Notifier = field(default_factory=Notifier)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    connection: int = 0
    idle_since_ms: int | None = None
    result: ServerResult | None = None
    maybe_sent: bool = False
    """The backend server may have seen the call."""
    may_send: Callable[[], bool] = lambda: True
    """Asked right before the first byte goes to the backend server."""
    on_data: Callable[[bytes], None] = lambda data: None
    """Told each piece of the answer as it comes from the backend server."""

    @property
    def ended(self) -> bool:
        """Return whether the router has been or will be told the end."""
        return self.record.refusal is not None or self.stream.end is not None

    def allow_send(self) -> bool:
        """Return whether the call may be sent, and note that it now is."""
        if not self.may_send():
            return False
        self.maybe_sent = True
        return True

    def is_over(self, now_ms: int) -> bool:
        """Return whether no router comes back for the answer any more.

        An answer that a slow router is still reading is not over.
        """
        stream = self.stream
        taken = stream.delivered == stream.next_number
        if not self.ended or not (taken or stream.detached_ms is not None):
            self.idle_since_ms = None
            return False
        if self.idle_since_ms is None:
            self.idle_since_ms = now_ms
        return now_ms - self.idle_since_ms >= RESUME_GRACE_MS

    async def write(self, data: bytes) -> None:
        """Add a piece of the answer; waits while the router is slow."""
        self.on_data(data)
        while not self.stream.has_room():
            await self.consumed.wait()
        self.stream.append(data)
        self.produced.notify_all()


class Delivery:
    """Sends the frames of an attempt over one connection."""

    def __init__(
        self, live: LiveAttempt, response: HttpResponse, from_chunk: int
    ) -> None:
        self.live = live
        self.response = response
        self.head_sent = from_chunk > 0
        self.accepted_sent = from_chunk > 0
        live.connection += 1
        self.connection = live.connection
        live.stream.rewind(from_chunk)

    async def run(self, heartbeat: HeartbeatSource) -> None:
        """Deliver frames until the attempt ends."""
        while True:
            if self.connection != self.live.connection:
                raise Superseded
            # A wake-up that comes while frames are being sent must not be missed.
            event = self.live.produced.event
            data = self.next_data()
            if data:
                await self.response.write(data)
                self.live.consumed.notify_all()
            elif self.is_done():
                return
            else:
                with anyio.move_on_after(HEARTBEAT_MS / MS_PER_S):
                    await event.wait()
                    continue
                await self.response.write(encode_frame(heartbeat.heartbeat()))

    def next_data(self) -> bytes:
        """Return the encoded frames that can be sent now."""
        record, stream = self.live.record, self.live.stream
        if record.refusal is not None:
            return b""
        frames = []
        if stream.accepted is not None and not self.accepted_sent:
            self.accepted_sent = True
            frames.append(stream.accepted)
        if stream.head is not None and not self.head_sent:
            self.head_sent = True
            frames.append(stream.head)
        while len(frames) < FRAMES_PER_WRITE and (chunk := stream.take()):
            frames.append(chunk)
        return b"".join(encode_frame(frame) for frame in frames)

    def is_done(self) -> bool:
        """Return whether only the last frame is missing."""
        return self.live.record.refusal is not None or (
            self.live.stream.end is not None
            and self.live.stream.delivered == self.live.stream.next_number
        )

    def detach(self, clock: Clock) -> None:
        """Note that the connection is gone, unless a newer one took over."""
        if self.connection == self.live.connection:
            self.live.stream.detached_ms = clock.now_ms()

"""Attempts in progress and the delivery of their responses to routers."""

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
    """Provides heartbeats with the load and the configuration generation."""

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat."""
        ...


class Superseded(Exception):
    """A newer connection has taken over the delivery of the response."""


@dataclass
class LiveAttempt:
    """An attempt that is queued, running, or kept for its router to resume."""

    attempt: Attempt
    record: AttemptRecord
    stream: AttemptStream
    produced: Notifier = field(default_factory=Notifier)
    consumed: Notifier = field(default_factory=Notifier)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    connection_number: int = 0
    idle_since_ms: int | None = None
    result: ServerResult | None = None
    maybe_sent: bool = False
    """Whether the backend server may have received the call."""
    may_send: Callable[[], bool] = lambda: True
    """Called immediately before the first byte is sent; ``False`` prevents the call."""
    on_data: Callable[[bytes], None] = lambda data: None
    """Called with each piece of the response of the backend server."""

    @property
    def ended(self) -> bool:
        """Return whether the attempt has been refused or has ended."""
        return self.record.refusal is not None or self.stream.end is not None

    def try_mark_sent(self) -> bool:
        """Mark the call as possibly sent; return ``False`` if it must not be sent."""
        if not self.may_send():
            return False
        self.maybe_sent = True
        return True

    def is_removable(self, now_ms: int) -> bool:
        """Return whether the time to resume the response has passed.

        A response that a slow router is still reading is kept.
        """
        stream = self.stream
        fully_delivered = stream.delivered == stream.next_number
        if not self.ended or not (fully_delivered or stream.detached_ms is not None):
            self.idle_since_ms = None
            return False
        if self.idle_since_ms is None:
            self.idle_since_ms = now_ms
        return now_ms - self.idle_since_ms >= RESUME_GRACE_MS

    async def write(self, data: bytes) -> None:
        """Append a piece of the response; wait while the buffer is full."""
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
        live.connection_number += 1
        self.connection_number = live.connection_number
        live.stream.rewind(from_chunk)

    async def run(self, heartbeat: HeartbeatSource) -> None:
        """Send frames and heartbeats until only the final frame is left."""
        while True:
            if self.connection_number != self.live.connection_number:
                raise Superseded
            # Taken before the write, so that a notification during it is not missed.
            produced_event = self.live.produced.event
            data = self.next_data()
            if data:
                await self.response.write(data)
                self.live.consumed.notify_all()
            elif self.is_done():
                return
            else:
                with anyio.move_on_after(HEARTBEAT_MS / MS_PER_S):
                    await produced_event.wait()
                    continue
                await self.response.write(encode_frame(heartbeat.heartbeat()))

    def next_data(self) -> bytes:
        """Return the next frames in encoded form, empty if there are none."""
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
        """Return whether all frames but the final one have been sent."""
        return self.live.record.refusal is not None or (
            self.live.stream.end is not None
            and self.live.stream.delivered == self.live.stream.next_number
        )

    def detach(self, clock: Clock) -> None:
        """Record the loss of the connection unless a newer one has replaced it."""
        if self.connection_number == self.live.connection_number:
            self.live.stream.detached_ms = clock.now_ms()

"""Router side of an attempt: connection, resume and cancel."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Protocol

import anyio
import httpx
import msgspec

from ..clock import MS_PER_S, Clock
from ..coordination.response_assembler import (
    ResponseAssembler,
    ResponseError,
    ResponsePhase,
)
from ..errors import CodecError
from ..protocol.codec import FrameReader, encode_frame
from ..protocol.messages import Attempt, End, NotRun, Refusal, ResponseHead
from .auth import SharedKey

SILENCE_MS = 3_000
"""Time without a frame after which a connection counts as silent; sidecars send
a heartbeat every second."""

CONNECT_TIMEOUT_MS = 1_000
MIN_PIECES = 4
"""Pieces of an answer from which the time between them says something."""
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
RESUME_HEADER = "x-medlarridge-resume"
FRAMES_TYPE = "application/x-medlarridge-frames"


class AttemptEndState(StrEnum):
    """What the router knows at the end of an attempt."""

    ENDED = "ended"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    LOST = "lost"


@dataclass(frozen=True)
class AttemptEnd:
    """End of an attempt as the router sees it."""

    state: AttemptEndState
    detail: str = ""
    refusal: NotRun | None = None
    end: End | None = None


class ResponseSink(Protocol):
    """Receiver of an answer; its methods wait while the caller is slow."""

    async def write_head(self, head: ResponseHead) -> None:
        """Take the status and headers."""
        ...

    async def write_data(self, data: bytes) -> None:
        """Take the next piece of the body."""
        ...


class LinkBroken(Exception):
    """The current connection cannot give the rest of the answer."""


class AttemptForgotten(Exception):
    """The sidecar no longer has the rest of the answer."""


class AttemptClient:
    """One attempt at one sidecar, over as many connections as it takes."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        key: SharedKey,
        address: str,
        attempt: Attempt,
        clock: Clock,
        random: Random,
        on_generation: Callable[[int, str], None],
    ) -> None:
        self.client = client
        self.key = key
        self.address = address
        self.attempt = attempt
        self.clock = clock
        self.random = random
        self.on_generation = on_generation
        self.deadline_ms = clock.now_ms() + attempt.deadline_ms
        self.assembler = ResponseAssembler(address)
        self.head_taken = False
        self.maybe_sent = False
        self.unreachable = False
        self.connections = 0
        self.started_ms = clock.now_ms()
        self.first_data_ms: int | None = None
        self.last_data_ms = 0
        self.pieces = 0

    async def run(self, sink: ResponseSink) -> AttemptEnd:
        """Deliver the answer to the sink and return how the attempt ended."""
        delay_ms = RECONNECT_MIN_MS
        detail = "deadline passed"
        with anyio.move_on_after(self.remaining_ms() / MS_PER_S):
            while True:
                try:
                    await self.connect(sink)
                except LinkBroken as error:
                    detail = str(error)
                except AttemptForgotten as error:
                    return AttemptEnd(AttemptEndState.LOST, str(error))
                result = self.result(detail)
                if result is not None:
                    return result
                await anyio.sleep(self.random.uniform(0.5, 1) * delay_ms / MS_PER_S)
                delay_ms = min(delay_ms * 2, RECONNECT_MAX_MS)
        state = AttemptEndState.LOST if self.maybe_sent else AttemptEndState.NOT_SENT
        return AttemptEnd(state, detail)

    def remaining_ms(self) -> int:
        """Return the time left until the deadline."""
        return max(self.deadline_ms - self.clock.now_ms(), 0)

    def result(self, detail: str) -> AttemptEnd | None:
        """Return the end of the attempt, or nothing if it must reconnect."""
        assembler = self.assembler
        if assembler.phase is ResponsePhase.ENDED:
            return AttemptEnd(AttemptEndState.ENDED, end=assembler.end)
        if assembler.phase is ResponsePhase.REFUSED and assembler.refusal is not None:
            return self.refused(assembler.refusal)
        if not self.maybe_sent:
            return AttemptEnd(AttemptEndState.NOT_SENT, detail)
        return None

    def refused(self, refusal: NotRun) -> AttemptEnd:
        """Interpret a refusal.

        A new instance at the address knows nothing of an attempt that an earlier
        connection may have delivered to its predecessor.
        """
        if refusal.reason is Refusal.WRONG_INSTANCE and self.connections > 1:
            return AttemptEnd(AttemptEndState.LOST, "the sidecar was restarted")
        return AttemptEnd(AttemptEndState.REFUSED, refusal.detail, refusal=refusal)

    async def connect(self, sink: ResponseSink) -> None:
        """Read the answer from one new connection."""
        headers = self.key.headers()
        if self.head_taken:
            headers[RESUME_HEADER] = str(self.assembler.next_chunk)
        attempt = msgspec.structs.replace(
            self.attempt, deadline_ms=max(self.remaining_ms(), 1)
        )
        url = f"http://{self.address}/attempts"
        timeout = httpx.Timeout(
            SILENCE_MS / MS_PER_S, connect=CONNECT_TIMEOUT_MS / MS_PER_S
        )
        try:
            async with self.client.stream(
                "POST",
                url,
                content=encode_frame(attempt),
                headers=headers,
                timeout=timeout,
            ) as reply:
                self.count_connection()
                await self.read(reply, sink)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            self.unreachable = not isinstance(error, httpx.PoolTimeout)
            raise LinkBroken(f"cannot connect: {error}") from error
        except httpx.TransportError as error:
            self.count_connection()
            raise LinkBroken(f"connection lost: {error!r}") from error
        except (CodecError, ResponseError) as error:
            raise LinkBroken(str(error)) from error

    def count_connection(self) -> None:
        """Note that the sidecar may have received the attempt."""
        self.unreachable = False
        self.maybe_sent = True
        self.connections += 1

    async def read(self, reply: httpx.Response, sink: ResponseSink) -> None:
        """Read frames until the attempt ends."""
        if reply.status_code == httpx.codes.GONE:
            raise AttemptForgotten("the sidecar cannot resume the answer")
        if reply.status_code != httpx.codes.OK:
            await reply.aread()
            raise LinkBroken(f"sidecar answered {reply.status_code}")
        reader = FrameReader(self.address)
        assembler = self.assembler
        async for piece in reply.aiter_raw():
            for frame in reader.feed(piece):
                data = assembler.add(frame)
                if assembler.head is not None and not self.head_taken:
                    self.head_taken = True
                    await sink.write_head(assembler.head)
                if data:
                    self.note_piece()
                    await sink.write_data(data)
            if assembler.generation > self.attempt.generation:
                self.on_generation(assembler.generation, self.address)
        if assembler.phase not in (ResponsePhase.ENDED, ResponsePhase.REFUSED):
            raise LinkBroken("connection closed before the end of the answer")

    def note_piece(self) -> None:
        """Note the arrival of a piece of the answer."""
        self.last_data_ms = self.clock.now_ms()
        self.pieces += 1
        if self.first_data_ms is None:
            self.first_data_ms = self.last_data_ms

    def mean_piece_interval_ms(self) -> float | None:
        """Return the mean time between pieces, nothing for a single one."""
        if self.first_data_ms is None or self.pieces < MIN_PIECES:
            return None
        return (self.last_data_ms - self.first_data_ms) / (self.pieces - 1)

    async def cancel(self) -> None:
        """Tell the sidecar to stop the work; best effort."""
        url = (
            f"http://{self.address}/attempts/"
            f"{self.attempt.request_id}/{self.attempt.number}/cancel"
        )
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            try:
                await self.client.post(url, headers=self.key.headers())
            except httpx.TransportError:
                return

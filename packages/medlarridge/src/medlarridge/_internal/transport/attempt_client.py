"""Router's client of an attempt at a sidecar: send, resume and cancel."""

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

SILENCE_TIMEOUT_MS = 3_000
"""Read timeout of a connection; sidecars send a heartbeat every second."""

CONNECT_TIMEOUT_MS = 1_000
MIN_PIECES_FOR_INTERVAL = 4
"""Below this number of pieces, the mean time between them is not meaningful."""
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
RESUME_HEADER = "x-medlarridge-resume"
FRAMES_CONTENT_TYPE = "application/x-medlarridge-frames"


class AttemptEndState(StrEnum):
    """How an attempt ended, as far as the router knows."""

    ENDED = "ended"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    LOST = "lost"


@dataclass(frozen=True)
class AttemptEnd:
    """End of an attempt, as far as the router knows."""

    state: AttemptEndState
    detail: str = ""
    refusal: NotRun | None = None
    end: End | None = None


class ResponseSink(Protocol):
    """Receiver of a response; its methods wait while the caller is slow."""

    async def write_head(self, head: ResponseHead) -> None:
        """Write the status and headers."""
        ...

    async def write_data(self, data: bytes) -> None:
        """Write the next piece of the body."""
        ...


class ConnectionBroken(Exception):
    """The current connection cannot deliver the rest of the response."""


class AttemptNotResumable(Exception):
    """The sidecar no longer has the rest of the response."""


class AttemptClient:
    """Client of one attempt at one sidecar; reconnects until the attempt ends."""

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
        self.head_written = False
        self.maybe_sent = False
        self.unreachable = False
        self.connections = 0
        self.started_ms = clock.now_ms()
        self.first_piece_ms: int | None = None
        self.last_piece_ms = 0
        self.pieces = 0

    async def run(self, sink: ResponseSink) -> AttemptEnd:
        """Write the response to the sink and return how the attempt ended."""
        delay_ms = RECONNECT_MIN_MS
        detail = "deadline passed"
        with anyio.move_on_after(self.remaining_ms() / MS_PER_S):
            while True:
                try:
                    await self.run_connection(sink)
                except ConnectionBroken as error:
                    detail = str(error)
                except AttemptNotResumable as error:
                    return AttemptEnd(AttemptEndState.LOST, str(error))
                end = self.end_if_known(detail)
                if end is not None:
                    return end
                await anyio.sleep(self.random.uniform(0.5, 1) * delay_ms / MS_PER_S)
                delay_ms = min(delay_ms * 2, RECONNECT_MAX_MS)
        state = AttemptEndState.LOST if self.maybe_sent else AttemptEndState.NOT_SENT
        return AttemptEnd(state, detail)

    def remaining_ms(self) -> int:
        """Return the time left until the deadline."""
        return max(self.deadline_ms - self.clock.now_ms(), 0)

    def end_if_known(self, detail: str) -> AttemptEnd | None:
        """Return the end of the attempt, or None if it must reconnect."""
        assembler = self.assembler
        if assembler.phase is ResponsePhase.ENDED:
            return AttemptEnd(AttemptEndState.ENDED, end=assembler.end)
        if assembler.phase is ResponsePhase.REFUSED and assembler.refusal is not None:
            return self.refused_end(assembler.refusal)
        if not self.maybe_sent:
            return AttemptEnd(AttemptEndState.NOT_SENT, detail)
        return None

    def refused_end(self, refusal: NotRun) -> AttemptEnd:
        """Return the end of an attempt that the sidecar refused.

        If the sidecar was restarted, an earlier connection may have delivered the
        attempt to the previous instance, so it may have run.
        """
        if refusal.reason is Refusal.WRONG_INSTANCE and self.connections > 1:
            return AttemptEnd(AttemptEndState.LOST, "the sidecar was restarted")
        return AttemptEnd(AttemptEndState.REFUSED, refusal.detail, refusal=refusal)

    async def run_connection(self, sink: ResponseSink) -> None:
        """Open a connection and read the response from it."""
        headers = self.key.headers()
        if self.head_written:
            headers[RESUME_HEADER] = str(self.assembler.next_chunk)
        attempt = msgspec.structs.replace(
            self.attempt, deadline_ms=max(self.remaining_ms(), 1)
        )
        url = f"http://{self.address}/attempts"
        timeout = httpx.Timeout(
            SILENCE_TIMEOUT_MS / MS_PER_S, connect=CONNECT_TIMEOUT_MS / MS_PER_S
        )
        try:
            async with self.client.stream(
                "POST",
                url,
                content=encode_frame(attempt),
                headers=headers,
                timeout=timeout,
            ) as response:
                self.record_connection()
                await self.read_frames(response, sink)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            self.unreachable = not isinstance(error, httpx.PoolTimeout)
            raise ConnectionBroken(f"cannot connect: {error}") from error
        except httpx.TransportError as error:
            self.record_connection()
            raise ConnectionBroken(f"connection lost: {error!r}") from error
        except (CodecError, ResponseError) as error:
            raise ConnectionBroken(str(error)) from error

    def record_connection(self) -> None:
        """Record that the sidecar may have received the attempt."""
        self.unreachable = False
        self.maybe_sent = True
        self.connections += 1

    async def read_frames(self, response: httpx.Response, sink: ResponseSink) -> None:
        """Read frames until the attempt ends."""
        if response.status_code == httpx.codes.GONE:
            raise AttemptNotResumable("the sidecar cannot resume the response")
        if response.status_code != httpx.codes.OK:
            await response.aread()
            raise ConnectionBroken(
                f"sidecar responded with status {response.status_code}"
            )
        reader = FrameReader(self.address)
        assembler = self.assembler
        async for piece in response.aiter_raw():
            for frame in reader.feed(piece):
                data = assembler.add(frame)
                if assembler.head is not None and not self.head_written:
                    self.head_written = True
                    await sink.write_head(assembler.head)
                if data:
                    self.record_piece()
                    await sink.write_data(data)
            if assembler.generation > self.attempt.generation:
                self.on_generation(assembler.generation, self.address)
        if assembler.phase not in (ResponsePhase.ENDED, ResponsePhase.REFUSED):
            raise ConnectionBroken("connection closed before the end of the response")

    def record_piece(self) -> None:
        """Record the arrival of a piece of the response."""
        self.last_piece_ms = self.clock.now_ms()
        self.pieces += 1
        if self.first_piece_ms is None:
            self.first_piece_ms = self.last_piece_ms

    def mean_piece_interval_ms(self) -> float | None:
        """Return the mean time between pieces, or None if there are too few."""
        if self.first_piece_ms is None or self.pieces < MIN_PIECES_FOR_INTERVAL:
            return None
        return (self.last_piece_ms - self.first_piece_ms) / (self.pieces - 1)

    async def cancel(self) -> None:
        """Ask the sidecar to cancel the attempt; best effort."""
        url = (
            f"http://{self.address}/attempts/"
            f"{self.attempt.request_id}/{self.attempt.number}/cancel"
        )
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            try:
                await self.client.post(url, headers=self.key.headers())
            except httpx.TransportError:
                return

"""Assembly of a response from the frames of an attempt."""

from dataclasses import dataclass
from enum import StrEnum

from ..errors import MedlarridgeError
from ..protocol.messages import Chunk, End, Frame, Heartbeat, NotRun, ResponseHead


class ResponseError(MedlarridgeError):
    """The frames of an attempt are inconsistent."""


class ResponsePhase(StrEnum):
    """Progress of a response."""

    WAITING = "waiting"
    RUNNING = "running"
    REFUSED = "refused"
    ENDED = "ended"


@dataclass
class ResponseAssembler:
    """Assembles chunks in order, drops duplicates and detects gaps.

    After a lost connection the attempt resumes at ``next_chunk``.
    """

    peer: str
    phase: ResponsePhase = ResponsePhase.WAITING
    head: ResponseHead | None = None
    end: End | None = None
    refusal: NotRun | None = None
    next_chunk: int = 0
    generation: int = 0

    def add(self, frame: Frame) -> bytes:
        """Process a frame; return the new bytes of the body."""
        match frame:
            case NotRun():
                self.refusal = frame
                self.phase = ResponsePhase.REFUSED
                self.generation = max(self.generation, frame.generation)
            case ResponseHead():
                self.head = self.head or frame
                self.phase = ResponsePhase.RUNNING
            case Chunk():
                return self.add_chunk(frame)
            case Heartbeat():
                self.generation = max(self.generation, frame.generation)
            case End():
                self.add_end(frame)
        return b""

    def add_chunk(self, chunk: Chunk) -> bytes:
        """Return the data of the next chunk, empty for a duplicate."""
        if chunk.number < self.next_chunk:
            return b""
        if chunk.number > self.next_chunk:
            raise ResponseError(
                f"received chunk {chunk.number}, expected {self.next_chunk}",
                step="assemble response",
                peer=self.peer,
            )
        self.next_chunk += 1
        return chunk.data

    def add_end(self, end: End) -> None:
        """Accept the end of the response if no chunk is missing."""
        if end.chunks != self.next_chunk:
            raise ResponseError(
                f"response ended after {end.chunks} chunks, received {self.next_chunk}",
                step="assemble response",
                peer=self.peer,
            )
        self.end = end
        self.phase = ResponsePhase.ENDED

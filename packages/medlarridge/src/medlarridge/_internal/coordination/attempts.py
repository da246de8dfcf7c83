"""Register of the attempts that a sidecar has seen."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..clock import Clock
from ..protocol.messages import Accepted, Attempt, Chunk, End, NotRun, ResponseHead

UNSENT_WINDOW_BYTES = 256 * 1024
"""Bytes that may wait for a slow router before the sidecar stops reading."""

RETAINED_BYTES = 1024 * 1024
"""Bytes of delivered chunks kept, since delivery to the socket is not receipt."""

RECORD_GRACE_MS = 30_000
"""Time beyond its deadline during which a copy of an attempt is recognised."""

RESUME_GRACE_MS = 15_000
"""Time that an attempt may go without a connection from a router."""


@dataclass
class AttemptStream:
    """The answer of an accepted attempt, kept so that a router can resume it."""

    started_ms: int
    accepted: Accepted | None = None
    head: ResponseHead | None = None
    end: End | None = None
    chunks: deque[Chunk] = field(default_factory=deque)
    next_number: int = 0
    delivered: int = 0
    retained_bytes: int = 0
    unsent_bytes: int = 0
    detached_ms: int | None = None

    @property
    def first_number(self) -> int:
        """Return the number of the oldest chunk that is still kept."""
        return self.next_number - len(self.chunks)

    def append(self, data: bytes) -> None:
        """Add the next piece of the body."""
        self.chunks.append(Chunk(self.next_number, data))
        self.next_number += 1
        self.retained_bytes += len(data)
        self.unsent_bytes += len(data)

    def has_room(self) -> bool:
        """Return whether more of the answer may be read from the server."""
        return self.unsent_bytes < UNSENT_WINDOW_BYTES

    def can_resume(self, from_number: int) -> bool:
        """Return whether all chunks from a number on are still kept."""
        return self.first_number <= from_number <= self.next_number

    def rewind(self, from_number: int) -> None:
        """Continue delivery at a chunk number, for a new connection."""
        self.delivered = from_number
        self.detached_ms = None
        self.unsent_bytes = sum(
            len(chunk.data) for chunk in self.chunks if chunk.number >= from_number
        )

    def take(self) -> Chunk | None:
        """Return the next chunk to deliver, or nothing if all were delivered."""
        if self.delivered >= self.next_number:
            return None
        chunk = self.chunks[self.delivered - self.first_number]
        self.delivered += 1
        self.unsent_bytes -= len(chunk.data)
        self.trim()
        return chunk

    def trim(self) -> None:
        """Drop delivered chunks above the limit of kept bytes."""
        while (
            self.retained_bytes > RETAINED_BYTES and self.first_number < self.delivered
        ):
            self.retained_bytes -= len(self.chunks.popleft().data)

    def release(self) -> None:
        """Drop the kept chunks of an ended answer."""
        self.chunks.clear()
        self.retained_bytes = self.unsent_bytes = 0

    def is_abandoned(self, now_ms: int) -> bool:
        """Return whether no router has come back for the answer in time."""
        return (
            self.detached_ms is not None
            and now_ms - self.detached_ms >= RESUME_GRACE_MS
        )


@dataclass
class AttemptRecord:
    """What became of an attempt: refused for good, or accepted with a stream."""

    expires_ms: int
    refusal: NotRun | None = None
    stream: AttemptStream | None = None


AttemptKey = tuple[str, int]


class AttemptRegister:
    """Attempts by request id and attempt number.

    A record outlives the attempt's deadline, since its router stops sending copies
    then. So a copy never runs again and a refusal stays true.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.records: dict[AttemptKey, AttemptRecord] = {}
        self.by_expiry: deque[tuple[int, AttemptKey]] = deque()

    def find(self, request_id: str, number: int) -> AttemptRecord | None:
        """Return the record of an attempt."""
        return self.records.get((request_id, number))

    def refuse(self, attempt: Attempt, refusal: NotRun) -> NotRun:
        """Record that an attempt is not run, now or later."""
        record = self.add(attempt)
        if record.stream is not None:
            raise ValueError("an open attempt must be withdrawn")
        record.refusal = refusal
        return refusal

    def open(self, attempt: Attempt) -> AttemptStream:
        """Record that an attempt is queued or runs."""
        record = self.add(attempt)
        if record.refusal is not None:
            raise ValueError("a refused attempt cannot be opened")
        record.stream = AttemptStream(self.clock.now_ms())
        return record.stream

    def withdraw(self, attempt: Attempt, refusal: NotRun) -> NotRun:
        """Turn an open attempt into a refused one.

        Only for work that was never handed to the backend server.
        """
        record = self.records[(attempt.request_id, attempt.number)]
        if record.stream is None or record.stream.head is not None:
            raise ValueError("only an open attempt without an answer is withdrawn")
        record.stream = None
        record.refusal = refusal
        return refusal

    def add(self, attempt: Attempt) -> AttemptRecord:
        """Return the record of an attempt, a new one if there is none."""
        key = (attempt.request_id, attempt.number)
        record = self.records.get(key)
        if record is None:
            keep_ms = max(attempt.deadline_ms, 0) + RECORD_GRACE_MS
            record = AttemptRecord(self.clock.now_ms() + keep_ms)
            self.records[key] = record
            self.by_expiry.append((record.expires_ms, key))
        return record

    def streams(self) -> Iterator[tuple[AttemptKey, AttemptStream]]:
        """Yield the streams that have not ended."""
        for key, record in self.records.items():
            if record.stream is not None and record.stream.end is None:
                yield key, record.stream

    def purge(self) -> None:
        """Forget ended attempts whose time is over."""
        now_ms = self.clock.now_ms()
        for _ in range(len(self.by_expiry)):
            expires_ms, key = self.by_expiry.popleft()
            record = self.records[key]
            running = record.stream is not None and record.stream.end is None
            if expires_ms > now_ms or running:
                self.by_expiry.append((expires_ms, key))
            else:
                del self.records[key]

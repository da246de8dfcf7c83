"""Register of the attempts that a sidecar has received."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..clock import Clock
from ..protocol.messages import Accepted, Attempt, Chunk, End, NotRun, ResponseHead

UNSENT_WINDOW_BYTES = 256 * 1024
"""Undelivered bytes at which the sidecar stops reading from the server, so that a slow
router does not fill its memory."""

MAX_RETAINED_BYTES = 1024 * 1024
"""Chunks are kept up to this size after delivery, because bytes that were written to
the socket may not have been received."""

RECORD_GRACE_MS = 30_000
"""Time after its deadline for which an attempt is kept to recognise duplicates."""

RESUME_GRACE_MS = 15_000
"""Time after which an attempt without a connection from a router is abandoned."""


@dataclass
class AttemptStream:
    """Response of an accepted attempt, buffered so that a router can resume it.

    ``delivered`` is the number of the next chunk to deliver. ``detached_ms`` is the
    time at which the router's connection was lost, ``None`` while there is one.
    """

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
        """Return the number of the oldest buffered chunk."""
        return self.next_number - len(self.chunks)

    def append(self, data: bytes) -> None:
        """Append a chunk of the body."""
        self.chunks.append(Chunk(self.next_number, data))
        self.next_number += 1
        self.retained_bytes += len(data)
        self.unsent_bytes += len(data)

    def has_room(self) -> bool:
        """Return whether more of the response may be read from the server."""
        return self.unsent_bytes < UNSENT_WINDOW_BYTES

    def can_resume(self, from_number: int) -> bool:
        """Return whether all chunks from a number on are still buffered."""
        return self.first_number <= from_number <= self.next_number

    def rewind(self, from_number: int) -> None:
        """Restart delivery at a chunk number for a new connection."""
        self.delivered = from_number
        self.detached_ms = None
        self.unsent_bytes = sum(
            len(chunk.data) for chunk in self.chunks if chunk.number >= from_number
        )

    def take(self) -> Chunk | None:
        """Return the next chunk to deliver, ``None`` if all were delivered."""
        if self.delivered >= self.next_number:
            return None
        chunk = self.chunks[self.delivered - self.first_number]
        self.delivered += 1
        self.unsent_bytes -= len(chunk.data)
        self.drop_delivered_chunks()
        return chunk

    def drop_delivered_chunks(self) -> None:
        """Drop the oldest delivered chunks while the buffer is over its limit."""
        while (
            self.retained_bytes > MAX_RETAINED_BYTES
            and self.first_number < self.delivered
        ):
            self.retained_bytes -= len(self.chunks.popleft().data)

    def release(self) -> None:
        """Free the chunks of a response that has ended."""
        self.chunks.clear()
        self.retained_bytes = self.unsent_bytes = 0

    def is_abandoned(self, now_ms: int) -> bool:
        """Return whether no router has reconnected within the grace period."""
        return (
            self.detached_ms is not None
            and now_ms - self.detached_ms >= RESUME_GRACE_MS
        )


@dataclass
class AttemptRecord:
    """State of an attempt: either finally refused or accepted with a stream."""

    expires_ms: int
    refusal: NotRun | None = None
    stream: AttemptStream | None = None


AttemptKey = tuple[str, int]


class AttemptRegister:
    """Holds attempts by request id and attempt number.

    A record is kept beyond the deadline of its attempt, after which routers send no
    more duplicates. So a duplicate never runs again, and a refusal remains final.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.records: dict[AttemptKey, AttemptRecord] = {}
        self.by_expiry: deque[tuple[int, AttemptKey]] = deque()

    def find(self, request_id: str, number: int) -> AttemptRecord | None:
        """Return the record of an attempt, ``None`` if there is none."""
        return self.records.get((request_id, number))

    def refuse(self, attempt: Attempt, refusal: NotRun) -> NotRun:
        """Record that an attempt is refused and will never run."""
        record = self.add(attempt)
        if record.stream is not None:
            raise ValueError("an open attempt must be withdrawn, not refused")
        record.refusal = refusal
        return refusal

    def open(self, attempt: Attempt) -> AttemptStream:
        """Record that an attempt is queued or running."""
        record = self.add(attempt)
        if record.refusal is not None:
            raise ValueError("a refused attempt cannot be opened")
        record.stream = AttemptStream(self.clock.now_ms())
        return record.stream

    def withdraw(self, attempt: Attempt, refusal: NotRun) -> NotRun:
        """Refuse an open attempt.

        Only allowed if the attempt was never sent to the backend server.
        """
        record = self.records[(attempt.request_id, attempt.number)]
        if record.stream is None or record.stream.head is not None:
            raise ValueError("only an open attempt without a response can be withdrawn")
        record.stream = None
        record.refusal = refusal
        return refusal

    def add(self, attempt: Attempt) -> AttemptRecord:
        """Return the record of an attempt; create it if there is none."""
        key = (attempt.request_id, attempt.number)
        record = self.records.get(key)
        if record is None:
            retention_ms = max(attempt.deadline_ms, 0) + RECORD_GRACE_MS
            record = AttemptRecord(self.clock.now_ms() + retention_ms)
            self.records[key] = record
            self.by_expiry.append((record.expires_ms, key))
        return record

    def streams(self) -> Iterator[tuple[AttemptKey, AttemptStream]]:
        """Yield the keys and streams of attempts that have not ended."""
        for key, record in self.records.items():
            if record.stream is not None and record.stream.end is None:
                yield key, record.stream

    def purge(self) -> None:
        """Remove the records of ended attempts that have expired."""
        now_ms = self.clock.now_ms()
        for _ in range(len(self.by_expiry)):
            expires_ms, key = self.by_expiry.popleft()
            record = self.records[key]
            running = record.stream is not None and record.stream.end is None
            if expires_ms > now_ms or running:
                self.by_expiry.append((expires_ms, key))
            else:
                del self.records[key]

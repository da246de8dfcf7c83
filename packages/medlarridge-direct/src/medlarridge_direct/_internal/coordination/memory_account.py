"""Account of the bytes that a router holds for others, and how far they may grow.

Whoever asks for more than a part of the free share is stopped, so the largest holders
stop first and a small one always finds room. What cannot be stopped, as the body of a
request, is refused; what can wait, as the response of a server, is read no further.
"""

from msgspec import Struct, field

KIB = 1_024
MIB = 1_048_576

DEFAULT_MEMORY_MB = 300
MIN_MEMORY_MB = 192
"""Memory below which the share of bodies is too small for several large ones."""

FIXED_BYTES = 96 * MIB
"""Memory beside the account: interpreter, libraries, tables and idle connections."""

ALLOCATION_FACTOR = 1.25
"""Resident memory for each byte of the account, by the allocator's fragments."""

REQUESTS_SHARE = 0.35
BODIES_SHARE = 0.3
ANSWERS_SHARE = 0.2
CONTROL_SHARE = 0.15
"""Parts of the bound: what each request in flight may hold in any case, bodies of
requests, responses beyond that, and responses of the store, peers and servers' reports."""

FLOOR_BYTES = 4 * KIB
"""Bytes of a response that may always be held, so that each one goes on."""

READ_BYTES = 64 * KIB
"""Bytes that are read at once while memory is free."""

WRITE_LIMIT_BYTES = 16 * KIB
"""Unsent bytes beyond which a writer waits for a slow reader."""

SMALL_REQUEST_BYTES = 8 * KIB
"""Bytes of a request that are counted with the request itself."""

REQUEST_BYTES = SMALL_REQUEST_BYTES + 2 * WRITE_LIMIT_BYTES + 3 * FLOOR_BYTES
"""Bytes that a request in flight may hold in any case."""

HEADER_BYTES = 160
"""Bytes that the objects of one header cost beside its text."""

BODY_PART = 2
ANSWER_PART = 16
"""One body may have a half of what is free for bodies, one response a sixteenth of what
is free for responses."""


class MemoryShares(Struct, frozen=True):
    """Limits of an account: requests in flight, and bytes of each kind."""

    requests: int
    bodies: int
    answers: int
    control: int


def share_memory(memory_mb: int) -> MemoryShares:
    """Return the limits for a process that is killed beyond ``memory_mb``."""
    bound = int((memory_mb * MIB - FIXED_BYTES) / ALLOCATION_FACTOR)
    return MemoryShares(
        requests=int(bound * REQUESTS_SHARE) // REQUEST_BYTES,
        bodies=int(bound * BODIES_SHARE),
        answers=int(bound * ANSWERS_SHARE),
        control=int(bound * CONTROL_SHARE),
    )


class MemoryAccount(Struct, eq=False):
    """Bytes held now, by kind, and whether more may be held.

    ``refused`` counts the requests that were refused for want of memory.
    """

    shares: MemoryShares = field(
        default_factory=lambda: share_memory(DEFAULT_MEMORY_MB)
    )
    requests: int = 0
    bodies: int = 0
    answers: int = 0
    control: int = 0
    refused: int = 0

    def may_take_request(self) -> bool:
        """Return whether another request may be in flight."""
        return self.requests < self.shares.requests

    def fits_body(self, size: int) -> bool:
        """Return whether a request of this size may be held beside the present ones."""
        return size <= (self.shares.bodies - self.bodies) // BODY_PART

    def answer_limit(self, most: int) -> int:
        """Return how far one buffer of a response may grow, ``most`` if memory is free."""
        free = self.shares.answers - self.answers
        return max(min(most, free // ANSWER_PART), FLOOR_BYTES)

    def read_size(self) -> int:
        """Return how many bytes of a response are read at once."""
        return (
            READ_BYTES if self.answer_limit(READ_BYTES) == READ_BYTES else FLOOR_BYTES
        )

    def used_shares(self) -> dict[str, float]:
        """Return the used share of each limit, by kind."""
        return {
            "requests": self.requests / self.shares.requests,
            "bodies": self.bodies / self.shares.bodies,
            "answers": self.answers / self.shares.answers,
            "control": self.control / self.shares.control,
        }

    def control_left(self) -> int:
        """Return by how much responses for the router itself may grow."""
        return self.shares.control - self.control


class HeldRequest:
    """Bytes that are held for one request, from its head until its response is sent.

    Its first ``small_bytes`` are counted with the requests in flight.
    """

    def __init__(
        self, account: MemoryAccount, small_bytes: int = SMALL_REQUEST_BYTES
    ) -> None:
        self.account = account
        self.small_bytes = small_bytes
        self.size = 0

    def grow_to(self, size: int) -> bool:
        """Hold this many bytes; return False, and hold no more, if there is no room."""
        wanted = max(size - self.small_bytes, 0)
        if wanted > self.size:
            self.account.bodies -= self.size
            fits = self.account.fits_body(wanted)
            self.size = wanted if fits else self.size
            self.account.bodies += self.size
            return fits
        return True

    def shrink_to(self, size: int) -> None:
        """Hold this many bytes at most."""
        kept = min(max(size - self.small_bytes, 0), self.size)
        self.account.bodies += kept - self.size
        self.size = kept

    def release(self) -> None:
        """Hold nothing any more."""
        self.shrink_to(0)


class HeldAnswer:
    """Bytes that one buffer holds of a server's response."""

    def __init__(self, account: MemoryAccount) -> None:
        self.account = account
        self.size = 0

    def set(self, size: int) -> None:
        """Hold this many bytes."""
        self.account.answers += size - self.size
        self.size = size

    def release(self) -> None:
        """Hold nothing any more."""
        self.set(0)


class HeldControl:
    """Bytes that are held of a response for the router itself."""

    def __init__(self, account: MemoryAccount) -> None:
        self.account = account
        self.size = 0

    def grow_to(self, size: int) -> bool:
        """Hold this many bytes; return False, and hold no more, if there is no room."""
        if size - self.size > self.account.control_left():
            return False
        self.account.control += size - self.size
        self.size = size
        return True

    def release(self) -> None:
        """Hold nothing any more."""
        self.account.control -= self.size
        self.size = 0

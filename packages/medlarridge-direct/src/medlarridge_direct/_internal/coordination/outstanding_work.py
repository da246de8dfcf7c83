"""What the requests in flight hold at each server, against the memory of one server.

A server crashes when the requests that it holds exceed its memory. A request holds the
tokens of its own, those of the shared parts of its prompt, which count once for all
requests of this router, and the output that it is expected to have.

Each router reports its tokens without the shared parts that a server had cached before:
the router that brought them reports them. So a part that all routers use does not count
once for each of them, but at most twice for each router that looks.
"""

from collections.abc import Sequence, Set

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.configuration import Pool
from ..protocol.requests import PromptPart, RequestMetadata
from ..protocol.servers import BackendServer
from .hashing import instance_key
from .load_view import LoadView
from .part_crashes import part_key
from .prompt_cache_index import shared_prefix

BODY_FACTOR = 2.0
BODY_ALLOWANCE = 4_194_304
"""Body bytes that a server may hold of this router's requests: a multiple of the mean of
its pool, and the largest body that clients may send by default."""

OUTPUT_WEIGHT = 0.05
"""Weight of one response in the moving average of a pool's output."""

OUTPUT_MARGIN = 1.25
MIN_OUTPUT_SHARE = 0.25
"""The expected output is the average with a margin, since an event may hold several
tokens, and at least a quarter of the longest output."""


class RequestSize(Struct, frozen=True):
    """What a request holds at a server: tokens of its prompt, output and body bytes.

    ``shared`` are the parts of its prompt that other requests may share; ``own_tokens``
    are the others, and ``max_output`` is the longest output.
    """

    shared: tuple[PromptPart, ...] = ()
    own_tokens: int = 0
    max_output: int = 0
    body_bytes: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the prompt at a server that caches nothing of it."""
        return self.own_tokens + sum(part.tokens for part in self.shared)


def request_size(
    metadata: RequestMetadata, prompt: Sequence[PromptPart], body_bytes: int
) -> RequestSize:
    """Return the size of a request; ``prompt`` is empty if it uses no cached parts."""
    shared = tuple(shared_prefix(prompt))
    named = sum(part.tokens for part in prompt)
    return RequestSize(
        shared,
        max(metadata.prompt_tokens, named) - sum(part.tokens for part in shared),
        metadata.max_output_tokens,
        body_bytes,
    )


KeyedParts = list[tuple[str, int]]
"""Keys of shared parts and their tokens."""


def keyed_parts(size: RequestSize) -> KeyedParts:
    """Return the shared parts of a request by their keys."""
    return [(part_key(part.part_id), part.tokens) for part in size.shared]


class HeldPart(Struct):
    """A shared part that requests of this router use at a server.

    ``brought`` tells that the server did not have it before these requests.
    """

    tokens: int
    uses: int = 0
    brought: bool = False


class ServerWork(Struct):
    """What the requests of this router hold at one server.

    ``tokens`` are those of single requests, ``shared_tokens`` those of shared parts, and
    ``brought_tokens`` those of the parts that these requests brought.
    """

    tokens: int = 0
    shared_tokens: int = 0
    brought_tokens: int = 0
    body_bytes: int = 0
    requests: int = 0
    parts: dict[str, HeldPart] = field(default_factory=dict)

    def hold_part(self, key: str, tokens: int, brought: bool) -> None:
        """Count the use of a shared part."""
        part = self.parts.get(key)
        if part is None:
            part = self.parts[key] = HeldPart(tokens)
            self.shared_tokens += tokens
        part.uses += 1
        if brought and not part.brought:
            part.brought = True
            self.brought_tokens += part.tokens

    def release_part(self, key: str) -> None:
        """Stop counting the use of a shared part."""
        part = self.parts[key]
        part.uses -= 1
        if not part.uses:
            del self.parts[key]
            self.shared_tokens -= part.tokens
            self.brought_tokens -= part.tokens if part.brought else 0


class HeldWork(Struct, frozen=True):
    """What one attempt holds at a server."""

    instance: str
    tokens: int
    body_bytes: int
    parts: tuple[str, ...]


class OutstandingWork:
    """Tokens and body bytes of the requests in flight at each server.

    ``peers`` has the tokens that peers have reported, by router and instance key.
    ``output_shares`` are the moving averages of output against its maximum, by pool.
    """

    def __init__(self, clock: Clock) -> None:
        self.own: dict[str, ServerWork] = {}
        self.peers = LoadView(clock)
        self.output_shares: dict[str, float] = {}

    # What is held

    def begin(
        self, pool: Pool, instance: str, size: RequestSize, cached_tokens: int
    ) -> HeldWork:
        """Count a request; the server has the first ``cached_tokens`` of its prompt.

        One that an empty server cannot hold counts with its body alone, since the server
        rejects it.
        """
        work = self.own.setdefault(instance, ServerWork())
        tokens, shared = 0, ()
        if self.fits_empty_server(pool, size):
            tokens = size.own_tokens + self.expected_output(pool, size)
            shared = size.shared
        work.tokens += tokens
        work.body_bytes += size.body_bytes
        work.requests += 1
        parts = tuple(part_key(part.part_id) for part in shared)
        for key, part in zip(parts, shared, strict=True):
            work.hold_part(key, part.tokens, brought=cached_tokens < part.tokens)
            cached_tokens -= part.tokens
        return HeldWork(instance, tokens, size.body_bytes, parts)

    def end(self, held: HeldWork) -> None:
        """Stop counting a request."""
        work = self.own[held.instance]
        work.tokens -= held.tokens
        work.body_bytes -= held.body_bytes
        work.requests -= 1
        for key in held.parts:
            work.release_part(key)
        if not work.requests:
            del self.own[held.instance]

    def held_tokens(self, instance: str) -> int:
        """Return the tokens that requests of all routers hold at a server."""
        work = self.own.get(instance)
        peers = self.peers.in_flight(instance)
        return peers if work is None else peers + work.tokens + work.shared_tokens

    def body_bytes(self, instance: str) -> int:
        """Return the body bytes of this router's requests at a server."""
        work = self.own.get(instance)
        return 0 if work is None else work.body_bytes

    def added_tokens(self, pool: Pool, instance: str, size: RequestSize) -> int:
        """Return the tokens that a request would add to those at a server."""
        return self.add_to(instance, self.needed_tokens(pool, size), keyed_parts(size))

    def add_to(self, instance: str, needed: int, parts: KeyedParts) -> int:
        """Return the part of the needed tokens that a server does not hold yet."""
        work = self.own.get(instance)
        if work is None or not work.parts:
            return needed
        return needed - sum(tokens for key, tokens in parts if key in work.parts)

    def needed_tokens(self, pool: Pool, size: RequestSize) -> int:
        """Return the tokens of a request at a server that holds nothing of it."""
        return size.prompt_tokens + self.expected_output(pool, size)

    # Output

    def record_output(self, pool: Pool, max_output: int, events: int) -> None:
        """Record how many events a response had, at least one token each."""
        if max_output <= 0:
            return
        known = self.output_shares.get(pool.name, 1.0)
        share = min(events / max_output, 1.0)
        self.output_shares[pool.name] = known + OUTPUT_WEIGHT * (share - known)

    def expected_output(self, pool: Pool, size: RequestSize) -> int:
        """Return the tokens of output that a request is expected to have."""
        share = OUTPUT_MARGIN * self.output_shares.get(pool.name, 1.0)
        return round(size.max_output * min(max(share, MIN_OUTPUT_SHARE), 1.0))

    # Peers

    def report(self) -> dict[int, int]:
        """Return the tokens of this router by instance key, for its peers."""
        return {
            instance_key(instance): work.tokens + work.brought_tokens
            for instance, work in self.own.items()
        }

    def apply_report(self, router_id: int, held_tokens: dict[int, int]) -> None:
        """Replace the previous report of a peer."""
        if held_tokens or router_id in self.peers.peers:
            self.peers.apply_report(router_id, held_tokens)

    def expire(self) -> None:
        """Discard the reports of peers that stopped reporting."""
        self.peers.expire()

    # Placement

    def full_servers(
        self, pool: Pool, servers: Sequence[BackendServer], size: RequestSize
    ) -> set[str]:
        """Return the servers at which a request would exceed the memory or the bytes.

        A request that an empty server cannot hold exceeds none: the server rejects it.
        """
        if not self.fits_empty_server(pool, size):
            return set()
        instances = [server.instance for server in servers]
        total = sum(self.body_bytes(instance) for instance in instances)
        body_limit = BODY_ALLOWANCE + BODY_FACTOR * total / max(len(instances), 1)
        needed, parts = self.needed_tokens(pool, size), keyed_parts(size)
        return {
            instance
            for instance in instances
            if self.held_tokens(instance) + self.add_to(instance, needed, parts)
            > pool.cache_tokens
            or self.body_bytes(instance) + size.body_bytes > body_limit
        }

    def fits_empty_server(self, pool: Pool, size: RequestSize) -> bool:
        """Return whether the memory of a server without requests can hold a request."""
        return self.needed_tokens(pool, size) <= pool.cache_tokens

    def room(self, pool: Pool, instance: str, size: RequestSize) -> int:
        """Return the tokens that are free at a server beside a request."""
        added = self.added_tokens(pool, instance, size)
        return pool.cache_tokens - self.held_tokens(instance) - added

    def put_full_last(
        self,
        pool: Pool,
        ranked: list[BackendServer],
        size: RequestSize,
        failing: Set[str] = frozenset(),
    ) -> list[BackendServer]:
        """Return ranked servers with the full ones last, those with most room first."""
        full = self.full_servers(pool, ranked, size)
        if not full:
            return ranked
        last = [server for server in ranked if server.instance in full]
        last.sort(
            key=lambda server: (
                server.instance in failing,
                -self.room(pool, server.instance, size),
            )
        )
        return [server for server in ranked if server.instance not in full] + last

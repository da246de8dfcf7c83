"""Order in which the servers of a pool are tried for a request.

A request with a prompt goes to a server that caches the shared prefix of the prompt, or
else to the least loaded of the first servers by rendezvous hashing, as long as the server
is under the load limit. Other requests go to the least loaded server.
"""

from collections.abc import Sequence, Set
from random import Random

from msgspec import Struct, field

from ..protocol.requests import PromptPart
from ..protocol.servers import BackendServer
from .hashing import hash_to_fraction
from .load_view import LoadView
from .processing_pace import ProcessingPace
from .prompt_cache_index import PromptCacheIndex, affinity_key, shared_prefix

LOAD_ALLOWANCE = 2.5
"""Attempts that a server may carry beyond ``load_factor`` times the mean of its pool.
The platform allows 3; the difference is a margin for late reports of peers."""

COLD_LOAD_FACTOR = 1.5
"""Factor applied to the load of a server that is still slow after its start."""

NEW_PROMPT_CHOICES = 4
"""Number of servers by rendezvous hashing of which the least loaded one gets a prompt
that none caches. With more choices, routers that get the prompt at the same time send it
to different servers."""

MIN_FETCH_TOKENS = 64
"""Fetching fewer cached tokens from another server is not worth a call."""


class Placement(Struct):
    """Ranks the servers of a pool for a request.

    ``data_centre`` is that of this router. ``load_factor`` is the multiple of the mean
    load of a pool up to which a server takes work while others are under the limit.
    """

    random: Random
    load: LoadView
    cache_index: PromptCacheIndex
    data_centre: str
    load_factor: float = 2.0
    pace: ProcessingPace = field(default_factory=ProcessingPace)

    def processing_ms_left(
        self, server: BackendServer, prompt: Sequence[PromptPart]
    ) -> float:
        """Return for how long a server still processes shared parts of a prompt.

        The time is estimated from when the parts were sent to the server.
        """
        now_ms = self.cache_index.clock.now_ms()
        left_ms = 0.0
        for part in shared_prefix(prompt):
            holding = self.cache_index.holders(part.part_id).get(server.instance)
            if holding is None:
                break
            if holding.since_ms:
                duration_ms = self.pace.duration_ms(server.pool, part.tokens)
                left_ms = max(left_ms, holding.since_ms + duration_ms - now_ms)
        return left_ms

    def rank(
        self,
        servers: Sequence[BackendServer],
        prompt: Sequence[PromptPart],
        failing: Set[str] = frozenset(),
        limit: float | None = None,
        limited: Set[str] = frozenset(),
        cold: Set[str] | None = None,
    ) -> list[BackendServer]:
        """Return the servers in the order in which they should be tried.

        ``failing`` servers come after the others, and servers over the load ``limit``
        come last. The limit defaults to that of the given servers. For a prompt,
        ``limited`` servers, which take only some requests a second, come after others:
        a chat that begins there, or stays without need, would have to move later. ``cold``
        servers count as more loaded for other requests; by default these are the ones
        whose entries say so.
        """
        if limit is None:
            limit = self.load_limit(servers)
        key = affinity_key(prompt)
        holders = {} if key is None else self.cache_index.holders(key)

        def sort_key(server: BackendServer) -> tuple:
            load = self.load.in_flight(server.instance)
            if load + 1 > limit:
                return True, server.instance in failing, load
            if key is None:
                preference = self.load_sort_key(server, cold)
            else:
                is_holder = server.instance in holders
                preference = (
                    not is_holder,
                    server.instance in limited,
                    -hash_to_fraction(key, server.instance),
                )
            return False, server.instance in failing, *preference

        ranked = sorted(servers, key=sort_key)
        if key is not None and not holders:
            choices = [
                server
                for server in ranked[:NEW_PROMPT_CHOICES]
                if sort_key(server)[:2] == (False, False)
            ]
            move_least_loaded_first(ranked, choices, self.load)
        return ranked

    def load_limit(self, servers: Sequence[BackendServer]) -> float:
        """Return the load up to which a server takes work before others are tried."""
        return LOAD_ALLOWANCE + self.load_factor * self.load.mean(
            server.instance for server in servers
        )

    def load_sort_key(
        self, server: BackendServer, cold: Set[str] | None = None
    ) -> tuple[float, bool, float]:
        """Return a sort key: load per slot, then own data centre first, then random."""
        load = (self.load.in_flight(server.instance) + 1) / max(server.slots, 1)
        is_cold = server.cold_ms > 0 if cold is None else server.instance in cold
        if is_cold:
            load *= COLD_LOAD_FACTOR
        return load, server.data_centre != self.data_centre, self.random.random()

    def fetch_source(
        self,
        server: BackendServer,
        prompt: Sequence[PromptPart],
        others: Sequence[BackendServer],
    ) -> BackendServer | None:
        """Return the server from which ``server`` should fetch cached prompt parts.

        Return None if no other server caches enough tokens that ``server`` lacks.
        """
        cached = self.cache_index.cached_tokens(prompt, server.instance)
        by_instance = {other.instance: other for other in others if other is not server}
        source, tokens = self.cache_index.best_source(prompt, list(by_instance))
        if source is None or tokens - cached < MIN_FETCH_TOKENS:
            return None
        return by_instance[source]


def move_least_loaded_first(
    ranked: list[BackendServer], choices: Sequence[BackendServer], load: LoadView
) -> None:
    """Move the least loaded of some servers to the front of a list."""
    if choices:
        best = min(choices, key=lambda server: load.in_flight(server.instance))
        ranked.remove(best)
        ranked.insert(0, best)

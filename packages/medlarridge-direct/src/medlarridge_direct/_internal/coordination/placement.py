"""Order in which the servers of a pool are tried for a request.

Requests with a prompt go to a server that holds the shared part of it, then by
rendezvous hashing, among servers under the load bound. Others go to the least loaded.
"""

from collections.abc import Sequence, Set
from dataclasses import dataclass
from random import Random

from ..protocol.requests import PromptPart
from ..protocol.servers import BackendServer
from .hashing import hash_to_fraction
from .load_view import LoadView
from .prompt_cache_index import PromptCacheIndex, affinity_key

LOAD_FLOOR = 2.5
"""A server takes work up to the settings' multiple of the pool's mean load plus
this floor. The platform's rule allows 3 more than the multiple; reports of peers lag."""

COLD_FACTOR = 1.5
"""Load of a server that is slow after its start counts for this many times."""

MIN_FETCHED_TOKENS = 64
"""Cached tokens below which fetching them from another server is not worth a call."""


@dataclass(slots=True)
class Placement:
    """Chooses servers.

    ``data_centre`` is the router's own, ``load_factor`` the multiple of the pool's mean
    load up to which a server takes work while others have room.
    """

    random: Random
    load: LoadView
    cache_index: PromptCacheIndex
    data_centre: str
    load_factor: float = 2.0

    def rank(
        self,
        servers: Sequence[BackendServer],
        prompt: Sequence[PromptPart],
        failing: Set[str] = frozenset(),
        limit: float | None = None,
    ) -> list[BackendServer]:
        """Return the servers in the order in which they should be tried.

        Servers over ``limit`` come last, ``failing`` ones before them. Without it, the
        limit is that of the given servers.
        """
        if limit is None:
            limit = self.load_limit(servers)
        key = affinity_key(prompt)
        holders = {} if key is None else self.cache_index.holders(key)

        def order(server: BackendServer) -> tuple:
            load = self.load.in_flight(server.instance)
            if load + 1 > limit:
                return True, server.instance in failing, load
            if key is None:
                fit = self.load_key(server)
            else:
                holds = server.instance in holders
                fit = not holds, -hash_to_fraction(key, server.instance)
            return False, server.instance in failing, *fit

        return sorted(servers, key=order)

    def load_limit(self, servers: Sequence[BackendServer]) -> float:
        """Return the load up to which a server takes work while others have room."""
        return LOAD_FLOOR + self.load_factor * self.load.mean(
            server.instance for server in servers
        )

    def load_key(self, server: BackendServer) -> tuple[float, bool, float]:
        """Rank by load per slot; near servers first where loads are equal."""
        load = (self.load.in_flight(server.instance) + 1) / max(server.slots, 1)
        if server.cold_ms > 0:
            load *= COLD_FACTOR
        return load, server.data_centre != self.data_centre, self.random.random()

    def fetch_source(
        self,
        server: BackendServer,
        prompt: Sequence[PromptPart],
        others: Sequence[BackendServer],
    ) -> BackendServer | None:
        """Return a server from which the chosen one should fetch cached parts."""
        held = self.cache_index.cached_tokens(prompt, server.instance)
        by_instance = {other.instance: other for other in others if other is not server}
        source, tokens = self.cache_index.best_source(prompt, list(by_instance))
        if source is None or tokens - held < MIN_FETCHED_TOKENS:
            return None
        return by_instance[source]

"""Order in which the servers of a pool are tried for a request.

Requests with a prompt go to the server that last read the shared part of it, then by
rendezvous hashing, among servers under the load bound. Others go to the least loaded.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from medlarridge._internal.clock import Clock

from ..protocol.requests import PromptPart
from ..protocol.servers import BackendServer
from .hashing import hash_point
from .load_view import LoadView

LOAD_FACTOR = 1.6
LOAD_FLOOR = 2.0
"""A server takes a prompt up to this multiple of the pool's mean load plus the floor.
The platform's bound is a factor of 2 and 3 more; reports of peers lag."""

HOME_MS = 30_000
MAX_HOMES = 20_000
"""How long and how many homes of prompts are remembered; servers evict the parts that
were not used for longest."""

COLD_FACTOR = 1.5
"""Load of a server that is slow after its start counts for this many times."""


@dataclass(slots=True)
class Home:
    """Server that read a part of a prompt, and when."""

    instance: str
    used_ms: int


@dataclass(slots=True)
class Placement:
    """Chooses servers; ``data_centre`` is the router's own."""

    clock: Clock
    random: Random
    load: LoadView
    data_centre: str
    homes: OrderedDict[str, Home] = field(default_factory=OrderedDict)

    def rank(
        self, servers: Sequence[BackendServer], prompt: Sequence[PromptPart]
    ) -> list[BackendServer]:
        """Return the servers in the order in which they should be tried."""
        if not servers:
            return []
        key = shared_key(prompt)
        if key is None:
            return self.by_load(servers)
        return self.by_prompt(servers, key)

    def by_load(self, servers: Sequence[BackendServer]) -> list[BackendServer]:
        """Rank by load per slot; near servers first where loads are equal."""
        return sorted(servers, key=self.load_key)

    def load_key(self, server: BackendServer) -> tuple[float, bool, float]:
        """Return the key by which servers without prompt cache are ranked."""
        load = (self.load.of(server.instance) + 1) / max(server.slots, 1)
        if server.cold_ms > 0:
            load *= COLD_FACTOR
        return load, server.data_centre != self.data_centre, self.random.random()

    def by_prompt(
        self, servers: Sequence[BackendServer], key: str
    ) -> list[BackendServer]:
        """Rank by home, then by rendezvous hash; overloaded servers come last."""
        limit = LOAD_FLOOR + LOAD_FACTOR * self.load.mean(
            server.instance for server in servers
        )
        home = self.homes.get(key)
        at_home = home.instance if home is not None else None

        def order(server: BackendServer) -> tuple[bool, bool, float]:
            load = self.load.of(server.instance)
            over = load + 1 > limit
            if over:
                return True, False, load
            return False, server.instance != at_home, -hash_point(key, server.instance)

        return sorted(servers, key=order)

    def note_home(self, prompt: Sequence[PromptPart], instance: str) -> str | None:
        """Remember where a prompt is read; return its key if the home is new."""
        key = shared_key(prompt)
        if key is None:
            return None
        known = self.homes.get(key)
        self.set_home(key, instance)
        return key if known is None or known.instance != instance else None

    def set_home(self, key: str, instance: str) -> None:
        """Remember the home of a key."""
        self.homes[key] = Home(instance, self.clock.now_ms())
        self.homes.move_to_end(key)
        oldest_ms = self.clock.now_ms() - HOME_MS
        while self.homes:
            first = next(iter(self.homes.values()))
            if first.used_ms >= oldest_ms and len(self.homes) <= MAX_HOMES:
                break
            self.homes.popitem(last=False)

    def forget_server(self, instance: str) -> None:
        """Forget the prompts of a server that left or lost its memory."""
        gone = [key for key, home in self.homes.items() if home.instance == instance]
        for key in gone:
            del self.homes[key]


def shared_key(prompt: Sequence[PromptPart]) -> str | None:
    """Return the last part that other requests share.

    The last part of a prompt belongs to the request or its session.
    """
    if not prompt:
        return None
    return prompt[-2].part_id if len(prompt) > 1 else prompt[0].part_id

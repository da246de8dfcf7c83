"""Configuration of the router: routes, pools, client accounts and limits.

Routers exchange these types by field name: renaming a field breaks the exchange with
routers of another version.
"""

from enum import StrEnum

from msgspec import Struct, field

Place = tuple[str, str]
"""Host and path prefix of a route."""


class RouteKind(StrEnum):
    """Kind of a route, on which it depends whether its requests may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


class PoolShare(Struct, frozen=True):
    """A pool of a route and its weight in the route's traffic split."""

    pool: str
    weight: float


class Route(Struct, frozen=True):
    """A route: the requests it matches, their pools, and how they are handled.

    ``objective_ms`` is the target latency, 0 if there is none. ``priority`` 0 is the
    most urgent. ``uses_prompt_cache`` marks routes whose requests name the parts of
    their prompt. The streams of a ``resumable`` route can be continued on another
    server. ``gap_ms`` is the target for the longest pause between two events of a
    stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[PoolShare, ...]
    timeout_ms: int
    objective_ms: int
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    uses_prompt_cache: bool = False
    resumable: bool = False
    gap_ms: int = 0

    @property
    def place(self) -> Place:
        """Return where the route is reached."""
        return self.host, self.path_prefix

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may already have run may be run again."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class Pool(Struct, frozen=True):
    """A pool of backend servers.

    ``max_connections`` is the limit for all routers together. ``runs_models`` marks
    pools of model engines. A server that is cold, for ``cold_ms`` after its start, takes
    ``cold_per_s`` requests a second from all routers together, 0 if there is no such
    limit. ``cache_tokens`` is the number of tokens that the memory of one server holds,
    0 if it is not known.
    """

    name: str
    max_connections: int
    runs_models: bool = False
    cold_per_s: float = 0.0
    cold_ms: int = 0
    cache_tokens: int = 0


class Account(Struct, frozen=True):
    """A client account; its priority, if set, overrides that of the route."""

    name: str
    priority: int | None = None


class ClientLimits(Struct, frozen=True):
    """Limits on the size of client requests and on the time that clients may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(Struct):
    """One version of the configuration.

    ``version`` is the operator's and orders the configurations, also when the store
    shows an older one again. ``accounts`` maps API keys to accounts. ``requires_key``
    tells whether routes that are not public require the key of an account; it holds
    also when no account has a key. ``malformed`` is the number of routes, pools and
    accounts that were left out. ``by_host`` holds the routes of each host, the longest
    prefix first.
    """

    version: int
    routes: tuple[Route, ...] = ()
    pools: dict[str, Pool] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    requires_key: bool = False
    malformed: int = 0
    by_host: dict[str, list[Route]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        # A router of an earlier version sends the keys alone.
        self.requires_key = self.requires_key or bool(self.accounts)
        self.by_host = {}
        for route in self.routes:
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_pool(self, name: str) -> Pool:
        """Return a pool of a route; one that is not configured has no connections."""
        return self.pools.get(name) or Pool(name, max_connections=0)


def effective_priority(route: Route, account: Account | None) -> int:
    """Return the priority of a request; 0 is the most urgent."""
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority

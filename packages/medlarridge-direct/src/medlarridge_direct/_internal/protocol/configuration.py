"""Configuration in force: routes, pools, client accounts, limits."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool of a route and its weight in the split."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route: which requests it takes, where they go and what they are promised.

    ``priority`` 0 is the most urgent. ``uses_prompt_cache`` marks routes whose requests
    name the parts of their prompt. ``gap_ms`` is the longest pause between two events
    of a stream that is still on time.
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
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of backend servers; ``max_connections`` holds for all routers together."""

    name: str
    max_connections: int
    runs_models: bool = False


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; its priority, if set, takes precedence over the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(slots=True)
class Configuration:
    """One accepted version of the configuration.

    ``revision`` orders versions as the store accepted them.
    """

    version: int
    revision: int
    routes: tuple[Route, ...] = ()
    pools: dict[str, Pool] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    by_host: dict[str, list[Route]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.by_host = {}
        for route in self.routes:
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def requires_key(self) -> bool:
        """Whether requests on routes that are not public need an account's key."""
        return bool(self.accounts)


def effective_priority(route: Route, account: Account | None) -> int:
    """Return the priority of a request, 0 being the most urgent."""
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority

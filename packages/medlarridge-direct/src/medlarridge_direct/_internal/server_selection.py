"""Selection and order of the servers that a request may be sent to."""

from collections.abc import Sequence, Set

from .components import RouterComponents
from .coordination.capacity_placement import CapacityPlacement
from .coordination.outstanding_work import RequestSize
from .protocol.configuration import Pool
from .protocol.requests import PromptPart
from .protocol.servers import BackendServer


def rank_servers(
    components: RouterComponents,
    pool: Pool,
    prompt: Sequence[PromptPart],
    tried: Set[str] = frozenset(),
    repeatable: bool = False,
    software_version: str | None = None,
    held_back: Set[str] = frozenset(),
    size: RequestSize | None = None,
) -> list[BackendServer]:
    """Return the servers of a pool that may be tried, best first.

    A ``repeatable`` request may be used to probe a server that has been silent. A stream
    that has begun goes on only at servers of its ``software_version``; one that begins
    goes to servers of versions that are ``held_back`` only if there are no others. Servers
    that want no requests are left out; those that want none of a peer come after others.
    Those whose memory a request of ``size`` would exceed come last.
    """
    notices = components.notices
    ready_servers = servers_that_accept(components, pool)
    instances = [server.instance for server in ready_servers]
    reachable = components.health.reachable(instances, repeatable)
    untried = select_untried(ready_servers, tried, software_version)
    candidates = [
        server for server in untried if server.instance in reachable
    ] or untried
    candidates = [
        server for server in candidates if server.software_version not in held_back
    ] or candidates
    failing = components.health.failing(instances) | {
        server.instance for server in candidates if notices.rests_for_peer(server.start)
    }
    load_limit = pool_load_limit(components, pool)
    limited = {
        server.instance
        for server in candidates
        if notices.has_recent_limit(server.start)
    }
    cold = None
    if components.cold_servers.cold_pool(pool.name) is not None:
        cold = {
            server.instance
            for server in candidates
            if components.cold_servers.limit_per_s(server.start) is not None
        }
        limited |= cold
    if components.capacity.is_active(pool):
        placement = CapacityPlacement(components.placement, components.capacity, cold)
        ranked = placement.rank(candidates, prompt, failing, load_limit, limited)
    else:
        ranked = components.placement.rank(
            candidates, prompt, failing, load_limit, limited, cold
        )
    if size is None or not counts_outstanding_work(components, pool):
        return ranked
    return components.outstanding.put_full_last(pool, ranked, size, failing)


def counts_outstanding_work(components: RouterComponents, pool: Pool) -> bool:
    """Return whether what requests hold at the servers of a pool is counted."""
    return pool.cache_tokens > 0 and components.capacity.is_active(pool)


def has_reachable_server(
    components: RouterComponents,
    pool: Pool,
    tried: Set[str],
    software_version: str | None,
) -> bool:
    """Return whether a repeatable request can go to another server that is reachable.

    A server with a limit counts, although it may turn out to have no permit left.
    """
    ready_servers = servers_that_accept(components, pool)
    instances = [server.instance for server in ready_servers]
    reachable = components.health.reachable(instances, repeatable=True)
    return any(
        server.instance in reachable
        for server in select_untried(ready_servers, tried, software_version)
    )


def servers_that_accept(
    components: RouterComponents, pool: Pool
) -> list[BackendServer]:
    """Return the ready servers of a pool that want requests and may get them."""
    return [
        server
        for server in servers_not_evacuated(components, pool)
        if components.notices.accepts(server.start)
    ]


def servers_not_evacuated(
    components: RouterComponents, pool: Pool
) -> list[BackendServer]:
    """Return the ready servers of a pool whose data centres take requests."""
    ready = components.servers.ready(pool.name)
    evacuations = components.evacuations
    if evacuations.accepts_all:
        return ready
    return [server for server in ready if evacuations.accepts(server.data_centre)]


def all_evacuated(
    components: RouterComponents, pool: Pool, software_version: str | None = None
) -> bool:
    """Return whether a pool has ready servers, but only in evacuated data centres.

    Only those of a software version count if one is given.
    """
    ready = select_untried(
        components.servers.ready(pool.name), frozenset(), software_version
    )
    return bool(ready) and all(
        components.evacuations.is_evacuated(server.data_centre) for server in ready
    )


def select_untried(
    servers: Sequence[BackendServer], tried: Set[str], software_version: str | None
) -> list[BackendServer]:
    """Return the servers that were not tried, of one software version if it is given."""
    return [
        server
        for server in servers
        if server.instance not in tried
        and software_version in (None, server.software_version)
    ]


def pool_load_limit(components: RouterComponents, pool: Pool) -> float:
    """Return the load up to which a server of a pool takes work before others are tried.

    The limit refers to all servers of the pool. While data centres are evacuated, their
    servers carry less and less of its load. It refers to the usable servers once none of
    them could be under it, since the order by load alone would ignore what they cache.
    """
    counted = servers_in_load_mean(components, pool)
    limit = components.placement.load_limit(counted)
    evacuations = components.evacuations
    if evacuations.accepts_all:
        return limit
    usable = [server for server in counted if evacuations.accepts(server.data_centre)]
    load = components.load
    if len(usable) < len(counted) and all(
        load.in_flight(server.instance) + 1 > limit for server in usable
    ):
        limit = max(limit, components.placement.load_limit(usable))
    return limit


def servers_in_load_mean(
    components: RouterComponents, pool: Pool
) -> Sequence[BackendServer]:
    """Return the servers of a pool whose mean load determines the load limit.

    Servers that need permits do not count if there are others: they cannot take their part.
    Silent servers count, since they may be working for other routers, and so do
    draining ones, which still finish their requests. Unreachable servers count only if
    all are unreachable.
    """
    now_ms = components.clock.now_ms()
    pool_servers = components.servers.in_pool(pool.name)
    reachable = [
        server
        for server in pool_servers
        if not components.health.is_unreachable(server.instance, now_ms)
    ]
    unlimited = [
        server for server in reachable if not components.permits.is_needed(server)
    ]
    return unlimited or reachable or pool_servers

"""Selection and order of the servers that a request may be sent to."""

from collections.abc import Sequence, Set

from .components import RouterComponents
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
) -> list[BackendServer]:
    """Return the servers of a pool that may be tried, best first.

    A ``repeatable`` request may be used to probe a server that has been silent. A stream
    that has begun goes on only at servers of its ``software_version``; one that begins
    goes to servers of versions that are ``held_back`` only if there are no others. Servers
    that want no requests are left out; those that want none of a peer come after others.
    """
    notices = components.notices
    ready_servers = [
        server
        for server in components.servers.ready(pool.name)
        if notices.accepts(server.start)
    ]
    instances = [server.instance for server in ready_servers]
    reachable = components.health.reachable(instances, repeatable)
    untried = [
        server
        for server in ready_servers
        if server.instance not in tried
        and software_version in (None, server.software_version)
    ]
    candidates = [
        server for server in untried if server.instance in reachable
    ] or untried
    candidates = [
        server for server in candidates if server.software_version not in held_back
    ] or candidates
    failing = components.health.failing(instances) | {
        server.instance for server in candidates if notices.rests_for_peer(server.start)
    }
    load_limit = components.placement.load_limit(servers_in_load_mean(components, pool))
    limited = {
        server.instance
        for server in candidates
        if notices.has_recent_limit(server.start)
    }
    return components.placement.rank(candidates, prompt, failing, load_limit, limited)


def servers_in_load_mean(
    components: RouterComponents, pool: Pool
) -> Sequence[BackendServer]:
    """Return the servers of a pool whose mean load determines the load limit.

    Servers with a limit do not count if there are others: they cannot take their part.
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

"""Which servers a request may be sent to, and in which order."""

from collections.abc import Sequence, Set

from .parts import RouterParts
from .protocol.configuration import Pool
from .protocol.requests import PromptPart
from .protocol.servers import BackendServer


def rank_servers(
    parts: RouterParts,
    pool: Pool,
    prompt: Sequence[PromptPart],
    tried: Set[str] = frozenset(),
    repeatable: bool = False,
) -> list[BackendServer]:
    """Return the servers of a pool that may be tried, the next one first.

    A ``repeatable`` request may be a trial for a server that was silent.
    """
    listed = parts.servers.ready(pool.name)
    instances = [each.instance for each in listed]
    reachable = parts.health.reachable(instances, repeatable)
    left = [each for each in listed if each.instance not in tried]
    candidates = [each for each in left if each.instance in reachable] or left
    failing = parts.health.failing(instances)
    limit = parts.placement.load_limit(sharing_load(parts, pool))
    return parts.placement.rank(candidates, prompt, failing, limit)


def sharing_load(parts: RouterParts, pool: Pool) -> Sequence[BackendServer]:
    """Return the servers of a pool whose mean load bounds that of each.

    A server that is silent here may work for other routers, and one that drains still
    works on what it has.
    """
    now_ms = parts.clock.now_ms()
    known = parts.servers.in_pool(pool.name)
    return [
        each for each in known if not parts.health.is_unreachable(each.instance, now_ms)
    ] or known

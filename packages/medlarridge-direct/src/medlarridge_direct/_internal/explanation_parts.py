"""What explanations tell of servers and requests, see ``explanation_registry``."""

from .explanation_registry import (
    Decision,
    Facts,
    exclusion,
    request_facts,
    server_facts,
)
from .protocol.requests import PromptPart
from .protocol.servers import BackendServer, ServerState
from .server_selection import counts_outstanding_work

# Servers


@server_facts
def explain_version(decision: Decision, server: BackendServer) -> Facts:
    """Tell the software version."""
    return {"version": server.software_version}


@server_facts
def explain_capacity(decision: Decision, server: BackendServer) -> Facts:
    """Tell what the server takes well, by the estimates of this router."""
    capacity = decision.components.capacity
    if not capacity.is_active(decision.pool):
        return {}
    slowness = capacity.slowness(server.instance)
    load = decision.components.load.in_flight(server.instance)
    uncached = uncached_tokens(decision, server)
    return {
        "work_units": round((load + 1) * slowness, 1),
        "slowness": round(slowness, 2),
        "share": round(capacity.share(server.instance), 2),
        "expected_first_ms": round(
            capacity.expected_first_ms(server, uncached, decision.accepted.route.name)
        ),
        "backlog_ms": round(capacity.backlog_ms(server.instance)),
    }


@server_facts
def explain_outstanding_work(decision: Decision, server: BackendServer) -> Facts:
    """Tell what requests hold at the server, and whether this one has room."""
    if not counts_outstanding_work(decision.components, decision.pool):
        return {}
    outstanding = decision.components.outstanding
    size = decision.run.attempts.size
    facts: Facts = {
        "outstanding_tokens": outstanding.held_tokens(server.instance),
        "room_tokens": outstanding.room(decision.pool, server.instance, size),
        "body_bytes": outstanding.body_bytes(server.instance),
    }
    if server.instance in decision.full:
        facts["full"] = True
    return facts


@server_facts
def explain_cold(decision: Decision, server: BackendServer) -> Facts:
    """Tell how long the server stays cold, and by which sources that is known."""
    cold = decision.components.cold_servers
    rate_per_s = cold.limit_per_s(server.start)
    if rate_per_s is None:
        return {}
    return {
        "cold_left_ms": cold.left_ms(server.start),
        "cold_by": " ".join(cold.sources(server.start)),
        "cold_per_s": rate_per_s,
    }


@server_facts
def explain_limit(decision: Decision, server: BackendServer) -> Facts:
    """Tell the limit of the server and when a permit may be free."""
    permits = decision.components.permits
    if not permits.is_needed(server):
        return {}
    facts: Facts = {"needs_permit": True}
    limit = decision.components.notices.limit_per_s(server.start)
    if limit is not None:
        facts["limit_per_s"] = limit
    free_at_ms = permits.free_at_ms.get(server.start, 0)
    free_in_ms = free_at_ms - decision.components.clock.now_ms()
    if free_in_ms > 0:
        facts["permit_in_ms"] = free_in_ms
    return facts


@server_facts
def explain_return(decision: Decision, server: BackendServer) -> Facts:
    """Tell whether the server's data centre was taken back lately."""
    ago_ms = decision.components.evacuations.returned_ms_ago(server.data_centre)
    return {} if ago_ms is None else {"data_centre_returned_ms_ago": ago_ms}


@server_facts
def explain_peer_rest(decision: Decision, server: BackendServer) -> Facts:
    """Tell whether the server has asked another router for rest."""
    if decision.components.notices.rests_for_peer(server.start):
        return {"rests_for_a_peer": True}
    return {}


def uncached_tokens(decision: Decision, server: BackendServer) -> int:
    """Return the tokens of the prompt that a server has to process."""
    metadata = decision.accepted.metadata
    tokens = metadata.prompt_tokens or count_tokens(metadata.prompt)
    cache_index = decision.components.placement.cache_index
    return max(tokens - cache_index.cached_tokens(decision.prompt, server.instance), 0)


def count_tokens(prompt: tuple[PromptPart, ...]) -> int:
    """Return the tokens of all parts of a prompt."""
    return sum(part.tokens for part in prompt)


# Servers that are left out


@exclusion
def is_draining(decision: Decision, server: BackendServer) -> str | None:
    """Tell whether the server's entry says that it takes no new work."""
    return None if server.state is ServerState.READY else "draining"


@exclusion
def is_evacuated(decision: Decision, server: BackendServer) -> str | None:
    """Tell whether the server's data centre takes no work."""
    evacuations = decision.components.evacuations
    if evacuations.accepts(server.data_centre):
        return None
    if not evacuations.is_known:
        return "evacuations are not known yet"
    return f"data centre {server.data_centre} is evacuated"


@exclusion
def is_leaving(decision: Decision, server: BackendServer) -> str | None:
    """Tell whether the server has said that it leaves."""
    return "leaving" if decision.components.notices.is_leaving(server.start) else None


@exclusion
def rests(decision: Decision, server: BackendServer) -> str | None:
    """Tell whether the server wants no request of this router for now."""
    left_ms = decision.components.notices.rest_left_ms(server.start)
    return f"rests for {left_ms} ms" if left_ms else None


@exclusion
def is_unreachable(decision: Decision, server: BackendServer) -> str | None:
    """Tell whether the server does not respond."""
    health = decision.components.health
    now_ms = decision.components.clock.now_ms()
    if health.is_unreachable(server.instance, now_ms):
        return "unreachable"
    return "silent" if health.is_silent(server.instance, now_ms) else None


@exclusion
def has_other_version(decision: Decision, server: BackendServer) -> str | None:
    """Tell whether a stream cannot go on, or should not begin, at the version."""
    continuity = decision.run.attempts.continuity
    version = server.software_version
    if continuity.software_version not in (None, version):
        return f"version {version}, the stream began at {continuity.software_version}"
    if version in continuity.held_back_versions(decision.pool):
        return f"version {version} takes no new streams yet"
    return None


# The request


@request_facts
def explain_size(decision: Decision) -> Facts:
    """Tell what the request holds at a server, if that is counted."""
    if not counts_outstanding_work(decision.components, decision.pool):
        return {}
    size = decision.run.attempts.size
    expected = decision.components.outstanding.expected_output(decision.pool, size)
    facts: Facts = {
        "prompt_tokens": size.prompt_tokens,
        "expected_output_tokens": expected,
        "memory_tokens": decision.pool.cache_tokens,
    }
    if not decision.components.outstanding.fits_empty_server(decision.pool, size):
        facts["larger_than_an_empty_server"] = True
    return facts


@request_facts
def explain_evacuations(decision: Decision) -> Facts:
    """Tell which data centres take no work, and when that was last confirmed."""
    evacuations = decision.components.evacuations
    if not evacuations.learned_ms:
        return {}
    facts: Facts = {"evacuated": " ".join(sorted(evacuations.learned_ms))}
    age_ms = evacuations.age_ms()
    if age_ms is not None:
        facts["evacuations_confirmed_ms_ago"] = age_ms
    return facts

"""Explanation of which server a request would get, from the router's current state."""

import msgspec
from msgspec.structs import replace

from . import explanation_parts  # noqa: F401 (registers its functions)
from .coordination.admission import RefusalReason
from .coordination.hashing import stream_key
from .coordination.placement import Placement
from .coordination.prompt_cache_index import affinity_key
from .explanation_admission import judge
from .explanation_registry import (
    Decision,
    Facts,
    collect_exclusions,
    collect_request_facts,
    collect_server_facts,
)
from .protocol.accepted_request import AcceptedRequest
from .protocol.configuration import Configuration
from .protocol.requests import ClientRequest, PromptPart, RequestMetadata
from .protocol.servers import BackendServer
from .request_attempts import MIN_ATTEMPT_TIME_MS, GiveUpReason
from .request_handler import Rejection, RequestHandler
from .request_run import RequestRun
from .server_selection import counts_outstanding_work, pool_load_limit

EXPLAIN_PATH = b"/explain"


class ExplainRequest(msgspec.Struct, frozen=True):
    """Properties of a request that affect the selection of its server.

    ``prompt`` lists the IDs of the prompt's parts and their numbers of tokens.
    ``resumes`` is the ID of the request that began a stream which is taken up after the
    event ``resume_after``. Other fields are as in ``RequestMetadata``.
    """

    host: str
    path: str
    account: str = ""
    prompt: list[tuple[str, int]] = []
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    body_bytes: int = 0
    deadline_ms: int | None = None
    resumes: str | None = None
    resume_after: str | None = None


class Candidate(msgspec.Struct, frozen=True):
    """A server that may be tried and its known state; the first one is selected."""

    server: str
    address: str
    data_centre: str
    load: int
    held_tokens: int
    over_limit: bool
    reachable: bool
    failing: bool
    facts: Facts = {}


class LeftOutServer(msgspec.Struct, frozen=True):
    """A listed server of the pool that would not be tried, and why."""

    server: str
    address: str
    data_centre: str
    reasons: list[str]


class Explanation(msgspec.Struct, frozen=True):
    """How a request would be handled; an age is None if nothing was read yet.

    ``evacuated`` are the data centres whose servers are no candidates.
    ``retry_after_ms`` is the time to return that a refused request would be told.
    """

    outcome: str
    configuration: int
    configuration_age_ms: int | None
    list_revision: str
    list_age_ms: int | None
    evacuated: list[str] = []
    evacuations_age_ms: int | None = None
    route: str = ""
    pool: str = ""
    load_limit: float = 0.0
    decided_by: str = ""
    candidates: list[Candidate] = []
    left_out: list[LeftOutServer] = []
    facts: Facts = {}
    retry_after_ms: int | None = None


def explain(handler: RequestHandler, explain_request: ExplainRequest) -> Explanation:
    """Return how the router would handle a request now, without sending anything."""
    components = handler.components
    ages = {
        "configuration": components.configuration.version,
        "configuration_age_ms": components.configuration.age_ms(),
        "list_revision": str(components.servers.revision),
        "list_age_ms": components.servers.age_ms(),
        "evacuated": sorted(components.evacuations.learned_ms),
        "evacuations_age_ms": components.evacuations.age_ms(),
    }
    try:
        accepted = accept_explain_request(handler, explain_request)
    except Rejection as rejection:
        return Explanation(f"{rejection.status}: {rejection.reason}", **ages)
    decision = decide(handler, accepted, explain_request)
    reason = find_refusal(decision)
    return Explanation(
        outcome=describe_target(decision) if reason is None else f"503: {reason}",
        route=accepted.route.name,
        pool=decision.pool.name,
        load_limit=round(decision.load_limit, 2),
        decided_by=selection_reason(decision),
        candidates=describe_candidates(decision),
        left_out=describe_left_out(decision),
        facts=collect_request_facts(decision),
        retry_after_ms=None if reason is None else retry_after_ms(decision, reason),
        **ages,
    )


def decide(
    handler: RequestHandler, accepted: AcceptedRequest, explain_request: ExplainRequest
) -> Decision:
    """Return the decision on a request as it would be run."""
    components = handler.components
    # Nothing is sent, so there is neither a response nor a log.
    run = RequestRun(components, accepted, response=None, log=None)  # type: ignore[arg-type]
    attempts = run.attempts
    attempts.size = replace(attempts.size, body_bytes=explain_request.body_bytes)
    if attempts.continuity.takes_up_stream:
        take_up_stream(run)
    ranked = [] if is_unknown_stream(run) else attempts.rank_servers()
    full: set[str] = set()
    if counts_outstanding_work(components, attempts.pool):
        full = components.outstanding.full_servers(attempts.pool, ranked, attempts.size)
    return Decision(
        components=components,
        accepted=accepted,
        run=run,
        pool=attempts.pool,
        prompt=attempts.prompt_reuse.prompt,
        ranked=ranked,
        load_limit=pool_load_limit(components, attempts.pool),
        full=full,
    )


def take_up_stream(run: RequestRun) -> None:
    """Find where a stream began, by what this router knows without asking the store."""
    attempts = run.attempts
    continuity, components = attempts.continuity, run.components
    resumes = continuity.metadata.resumes
    if resumes is not None:
        continuity.origin = components.stream_origins.find(stream_key(resumes))
    if continuity.origin is None:
        continuity.origin = continuity.infer_from_only_version(attempts.pool)
    if continuity.origin is None:
        return
    configuration = components.configuration.current
    pool = continuity.origin.pool
    if configuration is None or all(each.pool != pool for each in run.route.pools):
        continuity.origin = None
        return
    attempts.pool = configuration.find_pool(pool)
    run.accepted = replace(run.accepted, pool=attempts.pool)


def is_unknown_stream(run: RequestRun) -> bool:
    """Return whether the request takes up a stream of which this router knows nothing."""
    continuity = run.attempts.continuity
    return continuity.takes_up_stream and continuity.origin is None


def find_refusal(decision: Decision) -> GiveUpReason | None:
    """Return why the request would be refused at once, or None if it would be sent."""
    run, components = decision.run, decision.components
    attempts = run.attempts
    if is_unknown_stream(run):
        return GiveUpReason.UNKNOWN_STREAM
    if components.stop_schedule.has_ended():
        return GiveUpReason.STOPPING
    if attempts.remaining_ms() < MIN_ATTEMPT_TIME_MS:
        return GiveUpReason.DEADLINE
    if components.crashing_parts.holds_any(attempts.shared_parts):
        return GiveUpReason.CRASHING_PART
    if not decision.ranked:
        return attempts.reason_without_server()
    verdict = judge(decision)
    if verdict is not None and verdict.reason is RefusalReason.LATE:
        return GiveUpReason.LATE
    return None if reachable_targets(decision) else GiveUpReason.SERVER_LIMITS


def reachable_targets(decision: Decision) -> list[BackendServer]:
    """Return the servers that may be tried; without a keeper there are no permits."""
    permits = decision.components.permits
    lease = permits.leases.get(decision.pool.name)
    if (lease is not None and lease.held) or permits.find_keeper(decision.pool.name):
        return list(decision.ranked)
    return [server for server in decision.ranked if not permits.is_needed(server)]


def describe_target(decision: Decision) -> str:
    """Return to which server the request would be sent first."""
    first = reachable_targets(decision)[0]
    needed = decision.components.permits.is_needed(first)
    return f"sent to {first.instance}" + (" if it gets a permit" if needed else "")


def retry_after_ms(decision: Decision, reason: GiveUpReason) -> int:
    """Return the time to return that a refused client would be told, or the earliest."""
    verdict = judge(decision)
    if verdict is not None and verdict.reason == reason:
        return verdict.return_ms
    return decision.run.retry_after_ms(reason)


def describe_candidates(decision: Decision) -> list[Candidate]:
    """Return the servers that may be tried, in their order."""
    components = decision.components
    instances = [
        server.instance for server in components.servers.ready(decision.pool.name)
    ]
    reachable = components.health.reachable(instances)
    failing = components.health.failing(instances)
    load, cache_index = components.load, components.placement.cache_index
    return [
        Candidate(
            server=server.instance,
            address=server.address,
            data_centre=server.data_centre,
            load=load.in_flight(server.instance),
            held_tokens=cache_index.cached_tokens(decision.prompt, server.instance),
            over_limit=load.in_flight(server.instance) + 1 > decision.load_limit,
            reachable=server.instance in reachable,
            failing=server.instance in failing,
            facts=collect_server_facts(decision, server),
        )
        for server in decision.ranked
    ]


def describe_left_out(decision: Decision) -> list[LeftOutServer]:
    """Return the listed servers of the pool that would not be tried."""
    ranked = {server.instance for server in decision.ranked}
    return [
        LeftOutServer(
            server.instance,
            server.address,
            server.data_centre,
            collect_exclusions(decision, server) or ["others are preferred"],
        )
        for server in decision.components.servers.in_pool(decision.pool.name)
        if server.instance not in ranked
    ]


def accept_explain_request(
    handler: RequestHandler, explain_request: ExplainRequest
) -> AcceptedRequest:
    """Return the request as it would be accepted, or raise ``Rejection``."""
    configuration = handler.components.configuration.current
    metadata = RequestMetadata(
        request_id="explained",
        host=explain_request.host.lower(),
        deadline_ms=explain_request.deadline_ms,
        account_key=find_key(configuration, explain_request.account),
        prompt=tuple(
            PromptPart(part, tokens) for part, tokens in explain_request.prompt
        ),
        resume_after=explain_request.resume_after,
        resumes=explain_request.resumes,
        prompt_tokens=explain_request.prompt_tokens,
        max_output_tokens=explain_request.max_output_tokens,
    )
    request = ClientRequest(
        method=b"GET",
        target=explain_request.path.encode(),
        headers=[],
        body=b"",
        received_ms=handler.components.clock.now_ms(),
        keep_alive=True,
    )
    return handler.accept(request, metadata)


def find_key(configuration: Configuration | None, account: str) -> str | None:
    """Return a key of an account, or None if it has none."""
    keys = {} if configuration is None else configuration.accounts
    return next((key for key, each in keys.items() if each.name == account), None)


def selection_reason(decision: Decision) -> str:
    """Return why the first server ranks before the others."""
    if not decision.ranked:
        return "nothing to choose from"
    first = decision.ranked[0].instance
    placement = decision.components.placement
    if first in decision.full:
        return "most room, the request would exceed the memory of all servers"
    if placement.load.in_flight(first) + 1 > decision.load_limit:
        return "least load, all servers are over the load limit"
    learned = decision.components.capacity.is_active(decision.pool)
    return preference_reason(placement, first, affinity_key(decision.prompt), learned)


def preference_reason(
    placement: Placement, first: str, key: str | None, learned: bool
) -> str:
    """Return why a server under the load limit is preferred to others."""
    if key is None:
        return "least work for its slots" if learned else "least load for its slots"
    if first in placement.cache_index.holders(key):
        return "holds the shared part of the prompt"
    if learned:
        return "least expected time for the prompt, of servers drawn by their work"
    return "rendezvous hashing of the shared part, which no server with room holds"

"""Registry of what an explanation tells of a request and of each server.

Each part of the router adds its lines by a decorated function, and returns nothing while
it does not apply. These functions change no state.
"""

from collections.abc import Callable, Sequence, Set

from msgspec import Struct

from .components import RouterComponents
from .protocol.accepted_request import AcceptedRequest
from .protocol.configuration import Pool
from .protocol.requests import PromptPart
from .protocol.servers import BackendServer
from .request_run import RequestRun

Facts = dict[str, str | int | float | bool]
"""Named facts in the order in which they are shown. True shows the name alone."""


class Decision(Struct, frozen=True):
    """The decision on a request that is explained.

    ``run`` is the request as it would be run, ``ranked`` the servers in the order in
    which they would be tried, and ``full`` those whose memory it would exceed.
    """

    components: RouterComponents
    accepted: AcceptedRequest
    run: RequestRun
    pool: Pool
    prompt: Sequence[PromptPart]
    ranked: Sequence[BackendServer]
    load_limit: float
    full: Set[str] = frozenset()


ExplainServer = Callable[[Decision, BackendServer], Facts]
ExplainExclusion = Callable[[Decision, BackendServer], str | None]
ExplainRequestFacts = Callable[[Decision], Facts]

SERVER_FACTS: list[ExplainServer] = []
EXCLUSIONS: list[ExplainExclusion] = []
REQUEST_FACTS: list[ExplainRequestFacts] = []


def server_facts(function: ExplainServer) -> ExplainServer:
    """Register what is told of a server."""
    SERVER_FACTS.append(function)
    return function


def exclusion(function: ExplainExclusion) -> ExplainExclusion:
    """Register a reason for which a server is left out."""
    EXCLUSIONS.append(function)
    return function


def request_facts(function: ExplainRequestFacts) -> ExplainRequestFacts:
    """Register what is told of the request itself."""
    REQUEST_FACTS.append(function)
    return function


def collect_server_facts(decision: Decision, server: BackendServer) -> Facts:
    """Return all facts on a server."""
    facts: Facts = {}
    for function in SERVER_FACTS:
        facts |= function(decision, server)
    return facts


def collect_exclusions(decision: Decision, server: BackendServer) -> list[str]:
    """Return all reasons for which a server is left out."""
    reasons = [function(decision, server) for function in EXCLUSIONS]
    return [reason for reason in reasons if reason is not None]


def collect_request_facts(decision: Decision) -> Facts:
    """Return all facts on the request."""
    facts: Facts = {}
    for function in REQUEST_FACTS:
        facts |= function(decision)
    return facts

"""Sample servers, routes, prompts and configurations for tests."""

from medlarridge_direct._internal.protocol.configuration import (
    Account,
    Configuration,
    Pool,
    PoolShare,
    Route,
    RouteKind,
)
from medlarridge_direct._internal.protocol.requests import PromptPart
from medlarridge_direct._internal.protocol.revision import Revision
from medlarridge_direct._internal.protocol.servers import (
    BackendServer,
    ServerListing,
    ServerState,
)


def server(instance="s-1", pool="models", port=8000, **changes):
    fields = {
        "instance": instance,
        "host": "10.0.0.1",
        "port": port,
        "pool": pool,
        "data_centre": "anfa",
        "state": ServerState.READY,
        "slots": 64,
        "software_version": "v1",
    }
    return BackendServer(**(fields | changes))


def servers(count, **changes):
    return [server(f"s-{i}", port=8000 + i, **changes) for i in range(count)]


def listing(*listed, revision=1, era=0):
    return ServerListing(Revision(era, revision), tuple(listed))


def prompt(session="chat-1", tokens=10_000, own="own"):
    return (
        PromptPart("system", 500),
        PromptPart(session, tokens),
        PromptPart(own, 300),
    )


def route(kind=RouteKind.IDEMPOTENT, **changes):
    fields = {
        "name": "r-1",
        "host": "desk.example",
        "path_prefix": "/plan/",
        "kind": kind,
        "pools": (PoolShare("models", 1.0),),
        "timeout_ms": 5_000,
        "objective_ms": 500,
        "max_attempts": 2,
    }
    return Route(**(fields | changes))


def configuration(*routes, version=5, keys=("key-1",), **changes):
    return Configuration(
        version=version,
        routes=routes or (route(),),
        pools={"models": Pool("models", 300, runs_models=True)},
        accounts={key: Account("planners") for key in keys},
        **changes,
    )

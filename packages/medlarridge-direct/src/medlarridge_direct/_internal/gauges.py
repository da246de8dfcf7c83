"""Gauges of a router's current state."""

from collections.abc import Callable, Sized

from medlarridge._internal.clock import MS_PER_S

from .components import RouterComponents
from .logs import Log
from .request_handler import RequestHandler
from .state.peer_table import PeerTable


def add_gauges(
    components: RouterComponents,
    handler: RequestHandler,
    peers: PeerTable,
    client_connections: Sized,
    log: Log,
    is_ready: Callable[[], bool],
) -> None:
    """Register the gauges of a router in its metrics."""
    add = components.metrics.add_gauge
    add("in_flight", "Requests in flight.", lambda: handler.in_flight)
    add("connections", "Connections of clients.", lambda: len(client_connections))
    add("ready", "1 while the router is ready.", lambda: float(is_ready()))
    add("peers", "Routers heard from lately.", lambda: len(peers.live_peers()))
    add(
        "store_reachable",
        "1 while the store answers this router.",
        lambda: float(peers.store_reachable),
    )
    add(
        "list_age_seconds",
        "Age of the server list, -1 without one.",
        lambda: age_in_seconds(components.servers.age_ms()),
    )
    add(
        "configuration_age_seconds",
        "Time since the configuration was known to be the newest, or -1.",
        lambda: age_in_seconds(components.configuration.age_ms()),
    )
    add(
        "configuration_version",
        "Version in force.",
        lambda: components.configuration.version,
    )
    add(
        "store_era",
        "Era of the store that the server list is from.",
        lambda: components.servers.revision.era,
    )
    add(
        "store_results_refused",
        "Results of an earlier era of the store that came late.",
        lambda: (
            components.servers.refused_by_era + components.configuration.refused_by_era
        ),
    )
    add(
        "data_centres_evacuated",
        "Data centres that get no requests.",
        lambda: len(components.evacuations.learned_ms),
    )
    add(
        "evacuations_age_seconds",
        "Time since the evacuations were known to be the newest, or -1.",
        lambda: age_in_seconds(components.evacuations.age_ms()),
    )
    add("servers", "Servers listed.", lambda: len(components.servers.by_instance))
    add(
        "servers_unreachable",
        "Servers that accept no connection of this router.",
        lambda: len(components.health.unreachable_instances()),
    )
    add(
        "servers_limited",
        "Servers that name a limit of requests a second.",
        lambda: sum(1 for _ in components.notices.limited()),
    )
    add(
        "servers_cold",
        "Servers that count as cold and take a few requests a second.",
        lambda: len(components.cold_servers.cold()),
    )
    add(
        "servers_at_rest",
        "Servers that want no request of this router for a time.",
        lambda: len(components.notices.rests()),
    )
    add(
        "servers_leaving",
        "Servers that have said that they leave.",
        lambda: len(components.notices.leaving),
    )
    add(
        "permits_given",
        "Permits that this router got for servers with a limit.",
        lambda: components.permits.given,
    )
    add(
        "permits_refused",
        "Requests of this router for which no permit was free.",
        lambda: components.permits.refused,
    )
    add(
        "permits_unanswered",
        "Requests for a permit that the keeper did not answer in time.",
        lambda: components.permits.unanswered,
    )
    add(
        "permit_pools_kept",
        "Pools whose permits this router gives out.",
        lambda: sum(lease.held for lease in components.permits.leases.values()),
    )
    add(
        "server_notices_malformed",
        "Responses in which a server said something of itself that could not be read.",
        lambda: components.notices.malformed,
    )
    add(
        "server_connects",
        "New connections to servers since the start.",
        lambda: components.connections.connections_opened,
    )
    capacity = components.capacity
    add(
        "learned_capacity",
        "1 while the capacity of servers is learned and used.",
        lambda: float(capacity.is_on),
    )
    add(
        "servers_slow",
        "Servers that are logged as slower than their pools.",
        lambda: sum(state.is_slow for state in capacity.logged.values()),
    )
    add(
        "slowest_server",
        "Slowness of the slowest server, 1 as its pool.",
        lambda: max(map(capacity.slowness, capacity.servers), default=1.0),
    )
    add(
        "prompt_tokens_waiting",
        "Prompt tokens sent by all routers that have had no first event.",
        lambda: sum(map(capacity.backlog_tokens, capacity.servers)),
    )
    add("log_lines_dropped", "Log lines dropped.", lambda: log.total_dropped)
    add(
        "streams_known",
        "Streams whose origin is known, of all routers.",
        lambda: len(components.stream_origins.streams),
    )
    add(
        "streams_awaiting_record",
        "Streams of this router that need a record which is not stored.",
        lambda: len(components.stream_records.awaited),
    )
    add(
        "streams_not_stored",
        "Streams whose first event was sent before their record was stored.",
        lambda: components.metrics.streams_not_stored,
    )
    add(
        "streams_without_room",
        "Streams that need a record for which this router has no room.",
        lambda: components.stream_records.dropped,
    )
    add(
        "routers",
        "Routers that share the limits of the fleet.",
        lambda: components.fleet_size.count,
    )
    add(
        "retry_slack",
        "Retries of this router's share beyond the ratio.",
        components.retry_budget.slack_share,
    )
    add(
        "prompt_parts_suspected",
        "Prompt parts that ran on servers when these went down.",
        lambda: len(components.crashing_parts.suspects),
    )
    add(
        "prompt_parts_refused",
        "Prompt parts that are refused because servers crash under them.",
        lambda: len(components.crashing_parts.refused),
    )
    add(
        "prompt_parts_on_probation",
        "Prompt parts whose requests run one after the other.",
        lambda: len(components.crashing_parts.probation),
    )
    admission = components.admission
    add(
        "admission_pressure",
        "Wait of the most urgent requests against what their objective leaves for it, "
        "the largest of the pools that refuse requests; 0 without any.",
        admission.pressure,
    )
    add(
        "admission_refused_share",
        "Largest share of a rank that is refused for more urgent requests.",
        admission.refused_share,
    )
    add(
        "admission_pools_refusing",
        "Pools to which requests are refused by rank or account.",
        lambda: len(admission.refusing),
    )
    memory = components.memory
    add(
        "memory_bodies_bytes",
        "Bytes of requests that are held, beyond a small part of each.",
        lambda: memory.bodies,
    )
    add(
        "memory_answers_bytes",
        "Bytes of responses that are held.",
        lambda: memory.answers,
    )
    add(
        "memory_control_bytes",
        "Bytes of responses for the router itself that are held.",
        lambda: memory.control,
    )
    add(
        "requests_refused_for_memory",
        "Requests refused since there was no memory for them.",
        lambda: memory.refused,
    )
    add(
        "retries_open",
        "Retries sent that are not known to have arrived or failed.",
        components.retry_budget.open_retries,
    )


def age_in_seconds(age_ms: int | None) -> float:
    """Return an age in seconds, or -1 if there is none."""
    return -1.0 if age_ms is None else age_ms / MS_PER_S

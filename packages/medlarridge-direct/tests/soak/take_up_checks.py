"""Checks of streams that clients take up at routers that were restarted."""

from collections import defaultdict

from .observations import Observations, ReadySpan
from .request_records import SentRequest

MIN_TAKEN_UP = 12
"""Number of streams from which the share that goes on is checked."""
MIN_SHARE = 0.5
"""Share of the streams taken up that goes on, of the share of new ones that begins."""
IN_TOUCH_S = 3.0
"""Time for which a router is ready before it is bound to know what it should."""
KNOWN_S = 2.0
"""Time after which routers know of a server that has registered."""
STREAM_POOL = "talk"
MIN_SERVERS = 2
"""Servers of the stream's version that must serve."""


def check_take_ups(observations: Observations) -> list[str]:
    """Check that streams go on if servers of their version and routers are there."""
    spans = {(span.router, span.process): span for span in observations.ready_spans}
    servers = find_server_times(observations.records)
    new, taken_up = [], defaultdict(list)
    for request in observations.requests:
        span = spans.get((request.router, request.process))
        if not (request.kind.repeatable and request.kind.stream):
            continue
        if request.left and not request.status:
            continue
        if span is None or not is_in_touch(request, span):
            continue
        if request.first is None:
            new.append(request)
        elif serving_servers(request, servers) >= MIN_SERVERS:
            taken_up[request.stream_id].append(request)
    if len(taken_up) < MIN_TAKEN_UP or not new:
        return []
    went_on = sum(
        any(each.status == 200 for each in requests) for requests in taken_up.values()
    )
    began = sum(request.status == 200 for request in new)
    if went_on / len(taken_up) >= MIN_SHARE * began / len(new):
        return []
    return [
        f"LOST: of {len(taken_up)} streams that clients took up, {went_on} went on, "
        f"though servers of their version served; of {len(new)} new ones {began} began"
    ]


def is_in_touch(request: SentRequest, span: ReadySpan) -> bool:
    """Return whether a router was ready for long enough and to the end."""
    return (
        request.sent_s >= span.ready_s + IN_TOUCH_S and request.ended_s <= span.ended_s
    )


def find_server_times(records: list[dict]) -> dict[str, tuple[str, float, float]]:
    """Return version, first and last time of service of each server of streams."""
    versions: dict[str, str] = {}
    first_s: dict[str, float] = {}
    last_s: dict[str, float] = {}
    for record in sorted(records, key=lambda record: record["at"]):
        if record.get("pool") != STREAM_POOL:
            continue
        server = record["server"]
        if record["event"] == "acked" and record["state"] == "ready":
            versions[server] = record.get("version", "")
            first_s.setdefault(server, record["at"])
        elif record["event"] in ("told-to-stop", "crashed"):
            last_s.setdefault(server, record["at"])
    return {
        server: (version, first_s[server], last_s.get(server, float("inf")))
        for server, version in versions.items()
    }


def serving_servers(
    request: SentRequest, servers: dict[str, tuple[str, float, float]]
) -> int:
    """Return how many servers of a stream's version served throughout a request."""
    return sum(
        version == request.version
        and first_s + KNOWN_S <= request.sent_s
        and request.ended_s <= last_s
        for version, first_s, last_s in servers.values()
    )

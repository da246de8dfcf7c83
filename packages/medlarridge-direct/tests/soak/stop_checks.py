"""Checks of what becomes of the requests at routers that are told to stop."""

from collections import defaultdict

from .observations import Observations, RouterStop
from .request_records import SentRequest

LOSS_SLACK_S = 0.2
"""Time after the last byte of a request within which it may cross a close."""
LOSS_SLACK_UNTIMED_S = 2.0
"""Replaces ``LOSS_SLACK_S`` in untimed runs, whose clients notice a close late."""
EARLY_S = 3.0
"""Time after SIGTERM up to which a sent request may be cut if its server works on it in
the last sixth of the grace."""
LAST_SHARE = 1 / 6
DEADLINE_SLACK_S = 0.1
"""Time before its deadline from which the end of a request does not count as a loss."""
SERVER_OUTCOMES = ("lost", "junk", "cut", "unframed")
"""Outcomes of requests whose connection a server closed or reset."""


def check_stops(observations: Observations) -> list[str]:
    """Check that no request is lost at a router that is told to stop.

    Requests that the router cannot have read, and streams that were sent soon and ran
    until the grace ended, do not count.
    """
    stops = {(stop.router, stop.process): stop for stop in observations.stops}
    records = defaultdict(list)
    for record in observations.records:
        if "id" in record:
            records[record["id"]].append(record)
    violations = []
    for request in observations.requests:
        stop = stops.get((request.router, request.process))
        if stop is None or stop.killed or request.complete or request.left:
            continue
        if is_lost(request, stop, records[request.request_id], observations.timed):
            violations.append(describe(request, stop, records[request.request_id]))
    return violations


def is_lost(
    request: SentRequest, stop: RouterStop, records: list[dict], timed: bool
) -> bool:
    """Return whether a stopping router is to blame for a request without an answer."""
    if not stop.sigterm_s <= request.ended_s <= stop.exited_s + 1:
        return False
    deadline_s = request.sent_s + request.kind.deadline_ms / 1000
    if request.ended_s >= deadline_s - DEADLINE_SLACK_S:
        return False
    if any(each.get("how") in SERVER_OUTCOMES for each in records):
        return False
    passed_on = any(each["event"] in ("run", "rejected") for each in records)
    slack_s = LOSS_SLACK_S if timed else LOSS_SLACK_UNTIMED_S
    was_read = stop.was_ready and request.ended_s > request.written_s + slack_s
    if not (passed_on or was_read):
        return False
    return not (
        request.written_s <= stop.sigterm_s + EARLY_S and ran_to_the_end(stop, records)
    )


def ran_to_the_end(stop: RouterStop, records: list[dict]) -> bool:
    """Return whether a server worked on a request in the last sixth of the grace."""
    last_s = stop.sigterm_s + stop.grace_s * (1 - LAST_SHARE)
    started = [each["at"] for each in records if each["event"] == "run"]
    ended = [each["at"] for each in records if each["event"] == "ended"]
    still_runs = len(started) > len(ended)
    return bool(started) and (still_runs or max(ended) >= last_s)


def describe(request: SentRequest, stop: RouterStop, records: list[dict]) -> str:
    """Return a line about a lost request, with times in seconds after SIGTERM."""
    events = ", ".join(
        f"{each['event']} {each['at'] - stop.sigterm_s:.2f}" for each in records
    )
    return (
        f"LOST: {request.request_id} {request.kind.prefix} at router {request.router}: "
        f"sent {request.written_s - stop.sigterm_s:.2f} s after SIGTERM, ended "
        f"{request.ended_s - stop.sigterm_s:.2f} s after it, status {request.status}, "
        f"at servers: {events or 'nothing'}; {request.lost}"
    )

"""The promises, checked from what clients and servers saw."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from .clients import PROMISES, Sent
from .engine_process import LEAST_EVENT_S

MAX_ATTEMPTS = 2
"""Bound of the routes whose requests may be repeated."""
ROUND_MS = 2
"""Deadlines are passed on in whole milliseconds."""
RETRY_RATIO = 0.2
RETRY_SLACK = 10
RETRY_WINDOW_S = 10.0
DRAIN_S = 2.0
LEAVE_S = 0.5
LEAVES_ALLOWED = 3
"""Requests that may go on longer than ``LEAVE_S`` after their clients left."""
SERVED_SHARE = 0.95
"""Share of requests that must be served once all faults are over."""


@dataclass(slots=True)
class Seen:
    """All that clients and servers saw in one run of the soak."""

    sent: list[Sent] = field(default_factory=list)
    records: list[dict] = field(default_factory=list)
    """What servers reported; ``server`` names the start of the server."""
    other: list[str] = field(default_factory=list)
    """Violations found while the run went on."""
    calm_s: float = float("inf")
    """Time from which no fault disturbs anything; planned work goes on."""
    timed: bool = True
    """Whether promises about times are checked; other work on the host disturbs them."""

    def summary(self) -> str:
        """Say how much was played."""
        served = sum(sent.status == 200 and sent.complete for sent in self.sent)
        calm = len(self.calm())
        refused = sum(sent.status == 503 for sent in self.sent)
        lost = sum(bool(sent.lost) for sent in self.sent)
        return (
            f"{len(self.sent)} requests, {calm} of them after the faults; "
            f"{served} served, {refused} refused, {lost} lost; {len(self.runs())} runs"
        )

    def runs(self) -> list[dict]:
        """Return the runs at servers in order of time."""
        runs = [record for record in self.records if record["event"] == "run"]
        return sorted(runs, key=lambda run: run["at"])

    def calm(self) -> list[Sent]:
        """Return the requests that were sent after all faults."""
        return [sent for sent in self.sent if sent.sent_s >= self.calm_s]


def check_all(seen: Seen) -> list[str]:
    """Return what broke a promise."""
    found = list(seen.other)
    for sent in seen.sent:
        found += [f"{broken} ({sent.request_id})" for broken in sent.violations]
    found += check_runs(seen)
    found += check_retries(seen)
    found += check_calm(seen)
    if seen.timed:
        found += check_drains(seen)
        found += check_leavers(seen)
    return found


def check_runs(seen: Seen) -> list[str]:
    """Each run is a client's request, unchanged, and as often as its kind allows."""
    found = []
    known = {sent.request_id: sent for sent in seen.sent}
    by_id = defaultdict(list)
    for run in seen.runs():
        by_id[run["id"]].append(run)
    for request_id, runs in by_id.items():
        sent = known.get(request_id)
        if sent is None:
            found.append(f"UNASKED: no client sent {request_id}")
            continue
        for run in runs:
            broken = [*compare(sent, run), *compare_time(sent, run, runs[0])]
            found += [f"{each} ({request_id})" for each in broken]
        most = MAX_ATTEMPTS if sent.kind.repeatable else 1
        if len(runs) > most:
            rule = "BUDGET" if sent.kind.repeatable else "TWICE"
            where = [run["server"] for run in runs]
            found.append(f"{rule}: {request_id} ran {len(runs)} times at {where}")
        if sent.status in PROMISES and sent.complete and not sent.kind.repeatable:
            found.append(f"REFUSED: {request_id} got {sent.status} and ran")
    return found


def compare(sent: Sent, run: dict) -> list[str]:
    """Return how a run differs from what its client sent."""
    found = []
    if (run["method"], run["target"]) != (sent.method.decode(), sent.target):
        found.append("UNASKED: method or target changed")
    if run["body"] != sent.body_digest:
        found.append("UNASKED: body changed")
    if run["prompt"] != sent.prompt:
        found.append("UNASKED: prompt parts changed")
    if run["account"] != sent.account or run["key"]:
        found.append("UNASKED: wrong account, or the key was passed on")
    if run["after"] and not (sent.kind.stream and sent.kind.repeatable):
        found.append("ORDER: resumed a stream that may not be resumed")
    return found


def compare_time(sent: Sent, run: dict, first: dict) -> list[str]:
    """Return how the time that a server was given is wrong.

    Routers and servers that stand still take requests late without knowing it. What
    they do know: a resumed stream has used the time that its events took.
    """
    if not 0 < run["deadline_ms"] <= sent.kind.deadline_ms:
        return ["BUDGET: deadline missing or longer than the client's"]
    used_ms = int(run["after"] * LEAST_EVENT_S * 1000)
    left_ms = first["deadline_ms"] - used_ms + ROUND_MS
    if run is not first and run["after"] and run["deadline_ms"] > left_ms:
        return ["BUDGET: resumed with more time than is left"]
    return []


def check_retries(seen: Seen) -> list[str]:
    """Retries stay within a ratio of the requests, plus a slack, in each window."""
    first: set[str] = set()
    extra: dict[str, list[float]] = defaultdict(list)
    requests: dict[str, list[float]] = defaultdict(list)
    for sent in seen.sent:
        requests["talk" if sent.kind.stream else "desk"].append(sent.sent_s)
    arrivals = [
        record for record in seen.records if record["event"] in ("run", "rejected")
    ]
    for record in sorted(arrivals, key=lambda record: record["at"]):
        if record["id"] in first:
            extra[record["pool"]].append(record["at"])
        first.add(record["id"])
    found = []
    for pool, times in extra.items():
        asked = sorted(requests[pool])
        for end in times:
            begin = end - RETRY_WINDOW_S
            retries = bisect_right(times, end) - bisect_left(times, begin)
            counted = max(
                bisect_right(asked, end - back) - bisect_left(asked, begin - back)
                for back in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if retries > RETRY_RATIO * counted + RETRY_SLACK:
                found.append(f"BUDGET: {retries} retries for {counted} at {pool}")
                break
    return found


def check_calm(seen: Seen) -> list[str]:
    """Once the faults are over, requests are served and none is lost."""
    found = []
    ran = {run["id"] for run in seen.runs()}
    calm = [sent for sent in seen.calm() if sent.owed and not sent.left]
    for sent in calm:
        if sent.lost and sent.request_id in ran:
            found.append(f"LOST: {sent.request_id} to {sent.router}: {sent.lost}")
    served = sum(sent.status == 200 and sent.complete for sent in calm)
    owed = [sent for sent in calm if not (sent.lost and sent.request_id not in ran)]
    if served < SERVED_SHARE * len(owed):
        found.append(f"RECOVER: {served} of {len(owed)} served after the faults")
    return found


def check_drains(seen: Seen) -> list[str]:
    """A server that said it would leave gets no work after its time."""
    found = []
    left: dict[str, float] = {}
    for record in sorted(seen.records, key=lambda record: record["at"]):
        server = record["server"]
        if record["event"] == "acked" and record["state"] == "draining":
            left.setdefault(server, record["at"])
        elif (
            record["event"] == "run"
            and left.get(server, float("inf")) >= seen.calm_s
            and record["at"] > left.get(server, float("inf")) + DRAIN_S
        ):
            late_s = record["at"] - left[server]
            found.append(f"DRAIN: {record['id']} reached {server} after {late_s:.2f} s")
    return found


def check_leavers(seen: Seen) -> list[str]:
    """Servers stop soon after the clients of repeatable requests and streams left."""
    ended = {
        record["id"]: record["at"]
        for record in seen.records
        if record["event"] == "ended"
    }
    late = [
        sent
        for sent in seen.calm()
        if sent.left and ended.get(sent.request_id, 0) > sent.ended_s + LEAVE_S
    ]
    if len(late) <= LEAVES_ALLOWED:
        return []
    return [f"GONE: {len(late)} requests went on after their clients had left"]

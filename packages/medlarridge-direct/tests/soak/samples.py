"""Fabricated observations for the tests of the checks."""

from .checks import check_all
from .observations import Observations, ReadySpan, RouterStop
from .request_records import LONG_REQUEST_KINDS, REQUEST_KINDS, SentRequest

TALK, STORY, ORDER, PEEK, NOTE, READ = REQUEST_KINDS
LONG, TALE = LONG_REQUEST_KINDS


def make_request(kind=ORDER, **changes):
    fields = {
        "request_id": "c-1",
        "router": 0,
        "kind": kind,
        "method": kind.method,
        "target": "/a",
        "body": b"",
        "account": "account-a",
        "prompt": "",
        "sent_s": 10.0,
        "kept": True,
        "ended_s": 10.1,
        "status": 200,
        "complete": True,
    }
    return SentRequest(**(fields | changes))


def make_run(request, at=10.05, **changes):
    fields = {
        "event": "run",
        "at": at,
        "server": "i-1",
        "pool": "desk",
        "id": request.request_id,
        "method": request.method.decode(),
        "target": request.target,
        "body": request.body_digest,
        "account": request.account,
        "key": False,
        "prompt": request.prompt,
        "deadline_ms": 1_000,
        "after": 0,
    }
    return fields | changes


def make_stop(**changes):
    fields = {
        "router": 0,
        "process": 1,
        "sigterm_s": 100.0,
        "grace_s": 6.0,
        "was_ready": True,
        "exited_s": 105.5,
    }
    return RouterStop(**(fields | changes))


def make_span(**changes):
    fields = {"router": 0, "process": 1, "ready_s": 100.0}
    return ReadySpan(**(fields | changes))


def violated_rules(*requests, records=(), **changes):
    observations = Observations(
        requests=list(requests), records=list(records), **changes
    )
    return sorted({line.split(":")[0] for line in check_all(observations)})

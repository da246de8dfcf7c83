import subprocess
import sys

import pytest

from .checks import Seen, check_all
from .clients import KINDS, Sent
from .plan import make_plan
from .processes import ROOT, environment
from .run import ACTS

SHORT_S = 4.0
TALK, STORY, ORDER, READ = KINDS


class TestShortRun:
    @pytest.mark.parametrize("seed", [7, 11])
    def test_real_processes_keep_their_promises(self, seed, tmp_path):
        """Guards against promises that only hold between parts in one process."""
        words = ["--seed", str(seed), "--length", str(SHORT_S), "--untimed"]
        played = subprocess.run(
            [sys.executable, "-m", "soak", *words, "--keep", str(tmp_path)],
            cwd=ROOT,
            env=environment(),
            capture_output=True,
            text=True,
            check=False,
        )
        assert played.returncode == 0, played.stdout + played.stderr


class TestPlan:
    def test_a_seed_gives_the_same_plan_again(self):
        """Guards against a failure that cannot be played again."""
        assert make_plan(5, 9.0) == make_plan(5, 9.0)
        assert make_plan(5, 9.0) != make_plan(6, 9.0)

    def test_each_kind_of_fault_does_something(self):
        """Guards against faults that are planned and never happen."""
        planned = {fault.kind for seed in range(200) for fault in make_plan(seed, 9.0)}
        assert planned == set(ACTS)


def sent(kind=ORDER, **changes):
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
    return Sent(**(fields | changes))


def run(of, at=10.05, **changes):
    fields = {
        "event": "run",
        "at": at,
        "server": "i-1",
        "pool": "desk",
        "id": of.request_id,
        "method": of.method.decode(),
        "target": of.target,
        "body": of.body_digest,
        "account": of.account,
        "key": False,
        "prompt": of.prompt,
        "deadline_ms": 1_000,
        "after": 0,
    }
    return fields | changes


def broken(*sent_requests, records=(), **changes):
    seen = Seen(sent=list(sent_requests), records=list(records), **changes)
    return sorted({line.split(":")[0] for line in check_all(seen)})


class TestChecks:
    """Each check finds what it is for, and nothing in a run without faults."""

    def test_a_request_that_ran_once_breaks_nothing(self):
        request = sent()
        assert broken(request, records=[run(request)]) == []

    def test_a_second_run_is_found(self):
        for kind, rule in ((ORDER, "TWICE"), (STORY, "TWICE")):
            request = sent(kind)
            records = [run(request), run(request, at=10.06, server="i-2")]
            assert broken(request, records=records) == [rule]

    def test_a_third_run_of_a_repeatable_request_is_found(self):
        request = sent(READ)
        records = [run(request, server=f"i-{number}") for number in range(3)]
        assert broken(request, records=records[:2]) == []
        assert broken(request, records=records) == ["BUDGET"]

    def test_a_refused_request_that_ran_is_found(self):
        request = sent(status=503)
        assert broken(request, records=[run(request)]) == ["REFUSED"]

    @pytest.mark.parametrize(
        "change",
        [
            {"id": "other"},
            {"body": "other"},
            {"target": "/b"},
            {"account": "account-b"},
            {"key": True},
            {"prompt": "aa:1"},
        ],
    )
    def test_a_request_that_no_client_sent_is_found(self, change):
        request = sent()
        assert broken(request, records=[run(request, **change)]) == ["UNASKED"]

    @pytest.mark.parametrize("deadline_ms", [-1, 0, 1_501])
    def test_a_wrong_deadline_is_found(self, deadline_ms):
        request = sent()
        records = [run(request, deadline_ms=deadline_ms)]
        assert broken(request, records=records) == ["BUDGET"]

    def test_a_stream_resumed_with_its_first_deadline_is_found(self):
        request = sent(TALK)
        first = run(request, deadline_ms=6_000)
        late = run(request, at=13.0, after=30, server="i-2", deadline_ms=6_000)
        assert broken(request, records=[first, late]) == ["BUDGET"]
        right = late | {"deadline_ms": 5_500}
        assert broken(request, records=[first, right]) == []

    def test_a_resumed_stream_that_may_not_be_is_found(self):
        request = sent(STORY)
        assert broken(request, records=[run(request, after=3)]) == ["ORDER"]

    def test_too_many_retries_are_found(self):
        requests = [sent(READ, request_id=f"c-{n}") for n in range(30)]
        records = [
            run(each, at=at, server=server)
            for each in requests
            for at, server in ((10.05, "i-1"), (10.06, "i-2"))
        ]
        assert broken(*requests, records=records) == ["BUDGET"]
        assert broken(*requests, records=records[:30]) == []

    def test_a_request_lost_after_the_faults_is_found(self):
        good = [sent(READ, request_id=f"c-{n}") for n in range(40)]
        lost = sent(request_id="c-lost", status=0, complete=False, lost="closed")
        records = [run(each) for each in (*good, lost)]
        assert broken(*good, lost, records=records, calm_s=9.0) == ["LOST"]
        assert broken(*good, lost, records=records, calm_s=11.0) == []

    def test_a_system_that_does_not_recover_is_found(self):
        requests = [sent(READ, request_id=f"c-{n}", status=503) for n in range(9)]
        assert broken(*requests, calm_s=9.0) == ["RECOVER"]

    def test_work_for_a_server_that_left_is_found(self):
        left = {"event": "acked", "state": "draining", "at": 9.0, "server": "i-1"}
        request = sent(sent_s=11.0)
        late = run(request, at=11.1)
        assert broken(request, records=[left, late], calm_s=8.0) == ["DRAIN"]
        early = run(request, at=10.9)
        assert broken(request, records=[left, early], calm_s=8.0) == []
        assert broken(request, records=[left, late], calm_s=8.0, timed=False) == []

    def test_work_for_clients_that_left_is_found(self):
        requests = [
            sent(READ, request_id=f"c-{n}", left=True, status=0, complete=False)
            for n in range(5)
        ]
        ends = [
            {"event": "ended", "at": 10.7, "server": "i-1", "id": each.request_id}
            for each in requests
        ]
        records = [run(each) for each in requests] + ends
        assert broken(*requests, records=records, calm_s=9.0) == ["GONE"]

import pytest

from .samples import LONG, make_request, make_run, make_stop, violated_rules


class TestLostAtAStop:
    """A stop with SIGTERM at 100 s and a grace of 6 s; the router ends at 105.5 s."""

    def lose(self, written_s, run_s=None, ended_s=105.5, server_end=(), **changes):
        fields = {
            "process": 1,
            "sent_s": written_s - 0.01,
            "written_s": written_s,
            "ended_s": ended_s,
            "complete": False,
            "lost": "connection lost",
        }
        request = make_request(LONG, **(fields | changes))
        records = []
        if run_s is not None:
            records.append(make_run(request, at=run_s, deadline_ms=15_000))
        for at_s, outcome in server_end:
            end = {"event": "ended", "at": at_s, "server": "i-1", "how": outcome}
            records.append(end | {"id": request.request_id})
        return request, records

    def violations(self, *arguments, stop=None, timed=True, **changes):
        request, records = self.lose(*arguments, **changes)
        stops = [stop or make_stop()]
        return violated_rules(request, records=records, stops=stops, timed=timed)

    def test_a_request_taken_late_and_given_up_is_found(self):
        """Guards against the incident LOST: a request taken long after SIGTERM."""
        late = {"server_end": [(105.7, "dropped")]}
        assert self.violations(103.5, 103.6, **late) == ["LOST"]
        assert self.violations(103.5, 103.6, **late, timed=False) == ["LOST"]

    def test_an_early_stream_that_runs_until_the_grace_ends_is_allowed(self):
        """Guards against blaming a router for what the users leave out."""
        assert self.violations(102.9, 103.0, server_end=[(105.7, "dropped")]) == []
        assert self.violations(102.9, 103.0) == []

    def test_an_early_request_whose_server_was_done_is_found(self):
        """Guards against an exception for each request that was sent early."""
        assert self.violations(102.9, 103.0, server_end=[(104.5, "done")]) == ["LOST"]

    def test_an_early_request_that_waited_in_the_router_is_found(self):
        """Guards against requests that wait for a permit until the grace ends."""
        assert self.violations(101.0) == ["LOST"]
        assert self.violations(101.0, timed=False) == ["LOST"]

    def test_a_request_that_crosses_the_close_is_allowed(self):
        """Guards against blaming a router for a request that it has not read."""
        assert self.violations(105.4) == []
        assert self.violations(104.0, ended_s=104.1) == []
        assert self.violations(104.0, stop=make_stop(was_ready=False)) == []

    def test_a_request_that_was_passed_on_at_once_is_found(self):
        """Guards against a slack that covers what servers have received."""
        assert self.violations(105.4, 105.45) == ["LOST"]
        stop = make_stop(was_ready=False)
        assert self.violations(104.0, 104.1, stop=stop) == ["LOST"]

    @pytest.mark.parametrize("outcome", ["lost", "junk", "cut", "unframed"])
    def test_a_request_whose_server_broke_off_is_allowed(self, outcome):
        """Guards against blaming a router for its servers."""
        assert self.violations(103.5, 103.6, server_end=[(105.4, outcome)]) == []

    def test_requests_that_end_otherwise_are_allowed(self):
        """Guards against counting clients that leave, deadlines and answers."""
        assert self.violations(103.5, 103.6, left=True) == []
        assert self.violations(103.5, 103.6, complete=True, lost="") == []
        assert self.violations(90.55, 90.6) == []

    def test_only_the_process_that_stopped_counts(self):
        """Guards against blaming a stop for what another process has lost."""
        assert self.violations(103.5, 103.6, process=2) == []
        assert self.violations(103.5, 103.6, router=1) == []
        assert self.violations(103.5, 103.6, stop=make_stop(killed=True)) == []
        assert self.violations(98.0, 98.1, ended_s=99.0) == []

import json

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.logs import (
    FINISHED,
    MAX_LINES_PER_S,
    READINESS,
    Log,
)


@pytest.fixture
def log(capfd):
    with capfd.disabled():
        clock = ManualClock(1_000_000)
    return Log(clock, "node-1")


def written(log, capfd):
    log.flush()
    return [json.loads(line) for line in capfd.readouterr().out.splitlines()]


class TestLines:
    def test_lines_of_requests_look_like_those_of_the_process(self, log, capfd):
        """Guards against readers of the log that know only one of the two forms."""
        log.event(READINESS, ready=True)
        log.request_event(FINISHED, request="r-1", status=200)
        first, second = written(log, capfd)
        assert list(first)[:6] == list(second)[:6]
        assert (first["code"], first["ready"]) == ("MR6140", True)
        assert (second["code"], second["request"]) == ("MR6002", "r-1")
        assert first["node"] == second["node"] == "node-1"
        assert first["time"][-6:] == second["time"][-6:] == "+00:00"

    def test_lines_of_requests_are_bounded_and_the_rest_is_counted(self, log, capfd):
        """Guards against a log that takes the processor under load."""
        for _ in range(MAX_LINES_PER_S + 5):
            log.request_event(FINISHED, request="r-1")
        assert len(written(log, capfd)) == MAX_LINES_PER_S
        assert log.total_dropped == 5
        log.clock.advance(1_000)
        log.request_event(FINISHED, request="r-2")
        dropped, line = written(log, capfd)
        assert (dropped["code"], dropped["lines"]) == ("MR6008", 5)
        assert line["request"] == "r-2"

    def test_changes_of_belief_are_never_dropped(self, log, capfd):
        """Guards against a busy second that hides what the router believed in it."""
        for _ in range(MAX_LINES_PER_S):
            log.request_event(FINISHED, request="r-1")
        log.event(READINESS, ready=False)
        assert written(log, capfd)[-1]["code"] == "MR6140"

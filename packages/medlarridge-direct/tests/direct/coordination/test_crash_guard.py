from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.crash_detector import (
    CONFIRM_MS,
    CrashDetector,
)
from medlarridge_direct._internal.coordination.crash_guard import (
    MAX_STRIKES,
    STRIKE_MS,
    CrashGuard,
    request_fingerprint,
)

DEADLY = request_fingerprint(b"POST", b"/plan/1", "planners", b"body")


class TestFingerprint:
    def test_a_repeated_request_is_recognised(self):
        """Guards against a crashing request that comes again under a new id."""
        assert request_fingerprint(b"POST", b"/plan/1", "planners", b"body") == DEADLY

    def test_other_requests_differ(self):
        """Guards against refusing the requests of others."""
        others = {
            request_fingerprint(b"GET", b"/plan/1", "planners", b"body"),
            request_fingerprint(b"POST", b"/plan/2", "planners", b"body"),
            request_fingerprint(b"POST", b"/plan/1", "clerks", b"body"),
            request_fingerprint(b"POST", b"/plan/1", "planners", b"other"),
        }
        assert len(others) == 4
        assert DEADLY not in others


class TestCrashGuard:
    def test_a_request_is_refused_after_its_third_server(self):
        """Guards against a request that takes down one server after another."""
        guard = CrashGuard(ManualClock(1_000_000))
        for number in range(MAX_STRIKES):
            assert not guard.should_refuse(DEADLY)
            guard.add_strike(DEADLY, f"s-{number}")
        assert guard.should_refuse(DEADLY)

    def test_the_same_server_counts_once(self):
        """Guards against counting one crash for each router that saw it."""
        guard = CrashGuard(ManualClock(1_000_000))
        for _ in range(MAX_STRIKES):
            guard.add_strike(DEADLY, "s-1")
        assert not guard.should_refuse(DEADLY)

    def test_strikes_end(self):
        """Guards against refusing a request for ever."""
        clock = ManualClock(1_000_000)
        guard = CrashGuard(clock)
        for number in range(MAX_STRIKES):
            guard.add_strike(DEADLY, f"s-{number}")
        clock.advance(STRIKE_MS + 1)
        assert not guard.should_refuse(DEADLY)


class TestCrashWatch:
    def test_a_lost_connection_alone_is_no_strike(self):
        """Guards against blaming requests for servers that lose single answers."""
        clock = ManualClock(1_000_000)
        watch = CrashDetector(clock, CrashGuard(clock))
        watch.record_broken(DEADLY, "s-1")
        clock.advance(CONFIRM_MS + 1)
        assert watch.record_down("s-1") == []

    def test_a_server_that_goes_down_strikes_what_ran_on_it(self):
        """Guards against missing the request that crashed a server."""
        clock = ManualClock(1_000_000)
        watch = CrashDetector(clock, CrashGuard(clock))
        watch.record_broken(DEADLY, "s-1")
        clock.advance(CONFIRM_MS // 2)
        assert [each.fingerprint for each in watch.record_down("s-1")] == [DEADLY]
        assert watch.record_down("s-1") == []

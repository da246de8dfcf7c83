from itertools import product

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.stop_schedule import (
    BALANCER_REMOVAL_MS,
    EXIT_MS,
    STOP_MARGIN_MS,
    StopSchedule,
)
from medlarridge_direct._internal.protocol.accepted_request import LATE_DELIVERY_MS

GRACE_MS = 8_000
WORK_MS = GRACE_MS - STOP_MARGIN_MS
START_MS = 1_000_000


def schedule_after(since_ms, grace_ms=GRACE_MS):
    schedule = StopSchedule(ManualClock(START_MS))
    schedule.begin(grace_ms)
    schedule.clock.advance(since_ms)
    return schedule


class TestTaking:
    def test_everything_is_taken_without_a_stop_and_until_the_balancer_reacts(self):
        """Guards against a fleet that refuses what its balancer still sends."""
        running = StopSchedule(ManualClock(START_MS))
        stopping = schedule_after(BALANCER_REMOVAL_MS - 1)
        for schedule in (running, stopping):
            assert schedule.find_misfit(START_MS + 60_000, True, None) is None
            assert schedule.may_begin_incomplete(START_MS, START_MS + 60_000)

    @pytest.mark.parametrize("since_ms", range(BALANCER_REMOVAL_MS, WORK_MS + 300, 100))
    def test_what_is_taken_later_can_end_before_the_work_does(self, since_ms):
        """Guards against a request that is taken and then given up (LOST)."""
        schedule = schedule_after(since_ms)
        now_ms = schedule.clock.now_ms()
        for left_ms, is_stream, estimate_ms in product(
            range(-300, 9_000, 50), (True, False), (None, 10, 5_000)
        ):
            ends_ms = now_ms + left_ms
            taken = schedule.find_misfit(ends_ms, is_stream, estimate_ms) is None
            bounded = ends_ms + LATE_DELIVERY_MS <= START_MS + WORK_MS
            assert schedule.may_begin_incomplete(now_ms, ends_ms) == bounded
            if taken and (is_stream or estimate_ms is None):
                assert bounded
            if taken:
                assert since_ms < WORK_MS

    def test_an_estimate_lets_a_buffered_response_in_and_no_stream(self):
        """Guards against a fleet that serves nothing while all routers stop."""
        schedule = schedule_after(BALANCER_REMOVAL_MS)
        ends_ms = schedule.clock.now_ms() + 60_000
        assert schedule.find_misfit(ends_ms, False, 4_000) is None
        misfit = schedule.find_misfit(ends_ms, True, 4_000)
        assert misfit.left_ms == WORK_MS - BALANCER_REMOVAL_MS
        assert misfit.needs_ms == 60_000 + LATE_DELIVERY_MS

    def test_nothing_is_taken_after_the_end(self):
        """Guards against requests that nobody waits for any more."""
        schedule = schedule_after(3_000)
        schedule.end()
        assert schedule.has_ended()
        assert schedule.find_misfit(schedule.clock.now_ms(), False, 1) is not None


class TestTimes:
    @pytest.mark.parametrize("grace_ms", [100, 400, 2_000, 8_000, 30_000])
    def test_the_times_are_in_order_and_before_the_kill(self, grace_ms):
        """Guards against a kill in the middle of the stop."""
        schedule = schedule_after(0, grace_ms)
        assert START_MS <= schedule.removed_ms() <= schedule.work_ends_ms
        assert schedule.work_ends_ms <= schedule.exits_ms
        assert schedule.exits_ms <= START_MS + max(grace_ms - EXIT_MS, 0)

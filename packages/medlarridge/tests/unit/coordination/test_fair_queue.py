from random import Random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.fair_queue import (
    FairQueue,
    Queued,
    QueueEntry,
    QueueLimits,
    Shed,
    ShedReason,
    retry_after_s,
)

WORK_TOKENS = 1_000


class TestFairQueue:
    def setup_method(self):
        self.clock = ManualClock(1_000)
        self.capacity_tokens = WORK_TOKENS
        self.count = 0
        self.queue = FairQueue(
            self.clock,
            Random(1),
            lambda work: self.queue.running_tokens + work <= self.capacity_tokens,
            QueueLimits(max_wait_ms=5_000, max_entries=50),
        )

    def offer(self, account="a", work=WORK_TOKENS, deadline_ms=60_000, priority=0):
        self.count += 1
        return self.queue.offer(
            QueueEntry(str(self.count), account, work, deadline_ms, priority)
        )

    def drain(self, run_ms=10):
        started = []
        while batch := self.queue.dispatch():
            started += batch
            self.clock.advance(run_ms)
            for entry in batch:
                self.queue.finish(entry.key)
        return started

    def test_accounts_get_equal_work(self):
        """Guards against an account that gains by sending many or large requests."""
        self.capacity_tokens = 4 * WORK_TOKENS
        for _ in range(20):
            self.offer("many")
        for _ in range(4):
            self.offer("large", work=4 * WORK_TOKENS)
        half = self.drain()[:12]
        work = sum(entry.work_tokens for entry in half if entry.account == "large")
        assert abs(work - sum(entry.work_tokens for entry in half) / 2) <= 4_000

    def test_surging_accounts_get_equal_running_work(self):
        """Guards against one surging account that takes the whole server."""
        self.queue.limits = QueueLimits(max_entries=500)
        self.capacity_tokens = 60 * WORK_TOKENS
        for _ in range(20):
            self.offer("large", work=4 * WORK_TOKENS)
        for _ in range(80):
            self.offer("many")
        self.queue.dispatch()
        shares = self.queue.running_by_account
        assert abs(shares["large"] - shares["many"]) <= 4 * WORK_TOKENS

    def test_priorities_share_without_starvation(self):
        """Guards against starvation of low priorities."""
        for priority in (0, 9):
            for _ in range(22):
                self.offer(priority=priority)
        order = [entry.priority for entry in self.drain()]
        assert order[:11].count(9) >= 9
        assert order[:12].count(0) >= 1

    def test_heavy_account_leaves_the_reserve_free(self):
        """Guards against a surge during which others wait for running requests."""
        self.capacity_tokens = 40 * WORK_TOKENS
        for _ in range(45):
            self.offer("surge")
        started = len(self.queue.dispatch())
        assert 30 <= started < 40
        self.offer("quiet")
        assert [entry.account for entry in self.queue.dispatch()] == ["quiet"]

    def test_sheds_entries_that_cannot_start_in_time(self):
        """Guards against queueing entries that expire before they can start."""
        self.offer()
        self.queue.dispatch()
        self.clock.advance(2_000)
        self.queue.finish("1")
        self.offer()
        self.queue.dispatch()
        assert isinstance(self.offer(), Queued)
        assert isinstance(self.offer(), Queued)
        soon = self.offer(deadline_ms=self.clock.now_ms() + 3_900)
        assert soon.reason is ShedReason.WAIT_EXCEEDS_DEADLINE
        assert 4_000 <= soon.retry_after_ms <= 6_000
        self.offer()
        assert self.offer().reason is ShedReason.WAIT_EXCEEDS_MAXIMUM
        other = self.offer("b")
        assert other.expected_wait_ms == 0

    def test_expires_at_deadline_and_maximum_wait(self):
        """Guards against entries that stay queued past their deadline."""
        self.offer()
        self.queue.dispatch()
        self.offer(deadline_ms=self.clock.now_ms() + 100)
        self.offer()
        self.clock.advance(90)
        assert self.queue.expire() == []
        self.clock.advance(20)
        assert [shed.entry.key for shed in self.queue.expire()] == ["2"]
        self.clock.advance(5_000)
        shed = self.queue.expire()
        assert [(each.entry.key, each.reason) for each in shed] == [
            ("3", ShedReason.EXPIRED)
        ]
        assert not self.queue.waiting

    def test_skips_the_ticks_of_an_idle_period(self):
        """Guards against stepping through every tick after hours without entries."""
        self.clock.advance(10**10)
        self.offer(deadline_ms=10**10 + 2_000)
        assert self.queue.expiry.next_tick == self.clock.now_ms() // 10
        self.clock.advance(2_000)
        assert len(self.queue.expire()) == 1

    def test_sheds_oversized_entries_and_when_full(self):
        """Guards against one oversized entry that blocks all others."""
        large = self.offer(work=2 * WORK_TOKENS)
        assert large.reason is ShedReason.OVER_BOUND
        results = [self.offer() for _ in range(51)]
        assert results[-1].reason is ShedReason.QUEUE_FULL

    def test_rejects_duplicates_and_bad_values(self):
        """Guards against two entries with one key and against corrupted totals."""
        self.offer()
        for entry in (
            QueueEntry("1", "a", 1, 9_000),
            QueueEntry("x", "a", 0, 9_000),
            QueueEntry("y", "a", 1, 9_000, priority=10),
        ):
            with pytest.raises(ValueError):
                self.queue.offer(entry)

    @seed(1)
    @settings(deadline=None, database=None)
    @given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 9)), max_size=120))
    def test_totals_match_entries_after_any_operations(self, operations):
        """Guards against wrong totals after entries end, expire or are cancelled."""
        self.setup_method()
        self.capacity_tokens = 3 * WORK_TOKENS
        for kind, value in operations:
            if kind <= 1:
                self.offer(f"a{value % 3}", 1 + 300 * value, 3_000, value)
            elif kind == 2:
                self.queue.cancel(str(value))
                self.queue.finish(next(iter(self.queue.running), ""))
            elif kind == 3:
                self.queue.dispatch()
            else:
                self.clock.advance(value * 50)
                self.queue.expire()
        waiting = self.queue.waiting.values()
        running = self.queue.running.values()
        assert self.queue.queued_tokens == sum(each.work_tokens for each in waiting)
        assert self.queue.running_tokens == sum(each.work_tokens for each in running)
        assert self.queue.running_tokens <= self.capacity_tokens
        now = self.clock.now_ms()
        assert all(each.expires_ms >= now - 3_000 for each in waiting)
        for entry in list(waiting):
            assert self.queue.cancel(entry.key)
        for entry in list(running):
            self.queue.finish(entry.key)
        assert not self.queue.queued_by_account and not self.queue.running_by_account
        assert not self.queue.expiry.ticks
        assert not any(each.backlogged for each in self.queue.classes)

    def test_retry_after_header_is_never_zero(self):
        """Guards against a Retry-After of 0, which makes clients retry at once."""
        assert (retry_after_s(1), retry_after_s(1_001)) == (1, 2)
        assert isinstance(self.offer(deadline_ms=500), Shed)

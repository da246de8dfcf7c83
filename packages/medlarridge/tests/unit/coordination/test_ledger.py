from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from medlarridge._internal.coordination.ledger import (
    Call,
    LedgerLimits,
    PauseGuard,
    Refused,
    RefusedReason,
    WriteBudget,
)
from medlarridge._internal.coordination.ledger_records import (
    KEY_RETENTION_MS,
    MAX_RESULT_BODY_BYTES,
    NO_RESULT,
    RESULT_RETENTION_MS,
    UNKNOWN_RETENTION_MS,
    CallResult,
    LedgerEntry,
    SegmentRef,
    ShardHead,
    decode_head,
    decode_segment,
    limit_size,
)
from medlarridge._internal.coordination.ledger_shard import LedgerShardView
from medlarridge._internal.coordination.steps import Get, Put, Wait
from medlarridge._internal.protocol.tables import MAX_DEADLINE_MS
from medlarridge._internal.state.store import CREATE, StoredObject
from medlarridge_standins.ledger_trial import (
    DECISION_TIMEOUT_MS,
    SHARD_KEY,
    SMALL_LIMITS,
    CallEnding,
    Fault,
    LedgerFuzzer,
    LedgerTrial,
    Outcome,
    run_crash_points,
    run_synchronously,
)
from medlarridge_standins.measure.ledger import LedgerLoad

MAX_UNDETECTED_PAUSE_MS = 30_000


def assert_at_most_once(counts):
    assert counts.duplicates == 0
    assert counts.wrong_repeated_results == 0


def run_until_granted(trial, index, faults=()):
    """Advance a sidecar until a call may run, with the given faults of head writes."""
    faults = list(faults)
    sidecar = trial.sidecars[index]
    for _ in range(50):
        call = sidecar.store_call
        is_write = call and call.result is None and isinstance(call.step, Put)
        fault = faults.pop(0) if is_write and faults else Fault.NONE
        if not sidecar.advance_store_call(fault):
            trial.advance(5)
        if sidecar.granted:
            return sidecar.granted[0]
    return None


def stored_head(trial):
    return decode_head(trial.store.objects[SHARD_KEY].value)


def stored_ages(trial, head):
    """Yield the entries of the head and its segments, with their ages."""
    for entry in head.entries:
        yield entry, head.time_ms - entry.at_ms
    for ref in head.segments:
        for entry in decode_segment(trial.store.objects[ref.name].value):
            yield entry, head.time_ms - entry.at_ms - ref.shift_ms


class TestLedgerShard:
    def test_any_fault_at_any_store_call(self):
        """Guards against a second run or a false outcome after a crash at any point."""
        counts = run_crash_points()
        assert counts.runs > 500
        assert_at_most_once(counts)
        assert counts.false_not_run == counts.unanswered == 0

    @settings(derandomize=True, max_examples=150, deadline=None, database=None)
    @given(random=st.randoms(use_true_random=False), keys=st.integers(1, 12))
    def test_random_interleavings(self, random, keys):
        """Guards against sequences of faults and pauses that no other test covers."""
        trial = LedgerFuzzer(random, keys, SMALL_LIMITS).run(150)
        assert_at_most_once(trial)
        assert trial.false_not_run() == 0
        assert all(copy.outcome is not None for copy in trial.copies)

    def test_long_random_interleavings(self):
        """Guards against faults that need many calls, segments and expiries."""
        for seed in range(120):
            limits = SMALL_LIMITS if seed % 2 else LedgerLimits()
            trial = LedgerFuzzer(Random(seed), 3 + seed % 20, limits).run(400)
            assert_at_most_once(trial)
            assert trial.false_not_run() == 0

    def test_intent_is_durable_before_the_call_may_run(self):
        """Guards against a run that leaves no record if the process crashes."""
        trial = LedgerTrial(Random(1))
        trial.send(0, "key")
        granted = run_until_granted(trial, 0)
        assert granted.token.entry in stored_head(trial).entries

    def test_ambiguous_writes_are_resolved_by_reading_back(self):
        """Guards against refusing, or running twice, after an ambiguous write."""
        for fault in (Fault.LOST_AFTER, Fault.LOST_BEFORE, Fault.LATE):
            trial = LedgerTrial(Random(1))
            trial.send(0, "key")
            granted = run_until_granted(trial, 0, [fault])
            assert [entry.token for entry in stored_head(trial).entries] == [
                granted.token.entry.token
            ]

    def test_late_write_of_a_refused_call_never_runs(self):
        """Guards against running a call that was already reported as not run."""
        trial = LedgerTrial(Random(1))
        copy = trial.send(0, "key")
        sidecar = trial.sidecars[0]
        while not (sidecar.store_call and isinstance(sidecar.store_call.step, Put)):
            sidecar.advance_store_call() or trial.advance(5)
        sidecar.advance_store_call(Fault.LATE)
        trial.advance(2500)
        sidecar.advance_store_call()
        assert copy.outcome is Outcome.NOT_RUN
        trial.settle()
        assert copy.executions == 0
        assert stored_head(trial).entries == []
        repeat = trial.send(1, "key")
        trial.settle()
        assert repeat.outcome is Outcome.COMPLETE

    def test_paused_holder_cannot_run_after_the_deadline(self):
        """Guards against a paused sidecar that runs a call after its deadline."""
        trial = LedgerTrial(Random(1))
        copy = trial.send(0, "key")
        granted = run_until_granted(trial, 0)
        trial.advance(2 * KEY_RETENTION_MS)
        trial.sidecars[0].advance_granted(granted, CallEnding.FINISH)
        assert (copy.outcome, copy.executions) == (Outcome.NOT_RUN, 0)

    def test_release_after_a_refused_start_waits_for_the_store(self):
        """Guards against a retry by another sidecar that finds the old intent."""
        trial = LedgerTrial(Random(1))
        trial.send(0, "key")
        token = run_until_granted(trial, 0).token
        trial.sidecars[0].granted.clear()
        trial.advance(KEY_RETENTION_MS)
        shard = trial.sidecars[0].shard
        assert not shard.start(token)
        released = []
        assert shard.release(token, lambda: released.append(True))
        trial.settle()
        assert released == [True]
        assert stored_head(trial).entries == []

    def test_token_can_be_used_only_once(self):
        """Guards against releasing or starting a call that has run."""
        trial = LedgerTrial(Random(1))
        trial.send(0, "key")
        token = run_until_granted(trial, 0).token
        shard = trial.sidecars[0].shard
        shard.finish(token, CallResult(200))
        assert not shard.release(token)
        assert not shard.start(token)

    def test_reused_key_is_refused(self):
        """Guards against returning the result of a different request."""
        trial = LedgerTrial(Random(1))
        trial.send(0, "key")
        run_until_granted(trial, 0)
        call = Call("invoices", "account", "key", "other", 60_000)
        decision = trial.sidecars[0].shard.begin(call).decision
        assert decision == Refused(RefusedReason.KEY_REUSED)

    def test_calls_share_one_write(self):
        """Guards against one store write per call, which exceeds the store's rate."""
        trial = LedgerTrial(Random(1))
        for number in range(50):
            trial.send(0, f"key {number}")
        run_until_granted(trial, 0)
        assert len(trial.sidecars[0].granted) == 50
        assert trial.store.calls["put"] == 1

    def test_full_shard_refuses_as_not_run(self):
        """Guards against a head that exceeds the maximum value size of the store."""
        trial = LedgerTrial(
            Random(1), limits=LedgerLimits(seal_bytes=500, head_bytes=1000)
        )
        for number in range(100):
            trial.send(0, f"key {number}")
        trial.settle()
        assert {copy.outcome for copy in trial.copies} == {Outcome.NOT_RUN}
        assert all(copy.executions == 0 for copy in trial.copies)
        assert trial.send(0, "key") and run_until_granted(trial, 0)

    def test_ages_never_exceed_real_time_with_several_writers(self):
        """Guards against early expiry and a ledger time that hardly advances."""
        for seed in range(20):
            random = Random(seed)
            trial = LedgerTrial(random, 3, SMALL_LIMITS)
            first_seen_ms = {}
            for number in range(60):
                trial.advance(random.choice([10, 5000, 20 * 60_000]))
                trial.send(random.randrange(3), f"key {number}")
                trial.advance_store_calls(20)
                trial.run_granted(
                    CallEnding.FINISH if number % 4 else CallEnding.NO_RESULT
                )
                trial.advance_store_calls(60)
                now_ms = trial.clock.now_ms()
                head = stored_head(trial)
                for entry, age_ms in stored_ages(trial, head):
                    known = (entry.token, entry.result is None)
                    seen_ms = first_seen_ms.setdefault(known, now_ms - 800)
                    assert age_ms <= now_ms - seen_ms
            assert now_ms // 2 < head.time_ms <= now_ms

    def test_entries_in_segments_are_found_by_others(self):
        """Guards against a second run after an entry was moved to a segment."""
        trial = LedgerTrial(Random(1), limits=SMALL_LIMITS)
        for number in range(20):
            trial.send(0, f"key {number}")
            trial.settle(40)
        assert stored_head(trial).segments
        repeats = [trial.send(1, f"key {number}") for number in range(20)]
        trial.settle()
        assert [copy.outcome for copy in repeats] == [Outcome.COMPLETE] * 20
        assert all(copy.executions == 0 for copy in repeats)

    def test_open_intent_is_moved_to_newer_segments(self):
        """Guards against a second run when the first process was paused for long."""
        trial = LedgerTrial(Random(1), limits=SMALL_LIMITS)
        trial.send(0, "key")
        run_until_granted(trial, 0)
        trial.sidecars[0].granted.clear()
        for number in range(40):
            trial.advance(3 * 60_000)
            trial.send(1, f"key {number}")
            trial.settle(40)
        repeat = trial.send(1, "key")
        trial.settle()
        assert repeat.outcome is Outcome.UNKNOWN

    def test_many_calls_without_result_do_not_fill_the_shard(self):
        """Guards against refusing all calls after many processes have died."""
        limits = LedgerLimits(seal_bytes=500, head_bytes=2000, segment_bytes=4000)
        trial = LedgerTrial(Random(1), limits=limits)
        for number in range(150):
            trial.send(number % 2, f"key {number}")
            trial.advance_store_calls()
            if number % 3:
                trial.run_granted(CallEnding.NO_RESULT)
            else:
                trial.crash(number % 2)
            trial.advance(60_000)
        for hour in range(4):
            trial.advance(KEY_RETENTION_MS)
            for number in range(10):
                fresh = trial.send(0, f"fresh {hour} {number}")
                trial.settle(40)
                assert fresh.outcome is Outcome.COMPLETE
        repeats = [trial.send(1, f"key {number}") for number in range(150)]
        trial.settle()
        assert {copy.outcome for copy in repeats} == {Outcome.UNKNOWN}

    def test_outdated_read_is_ignored(self):
        """Guards against resolving a write by a read from a lagging replica."""
        trial = LedgerTrial(Random(1))
        trial.send(0, "key")
        run_until_granted(trial, 0)
        shard = trial.sidecars[0].shard
        version = shard.view.version
        shard.view.version = None
        shard.on_result(
            Get(SHARD_KEY), Ok(StoredObject(SHARD_KEY, 0, b"\x93\0\x90\x90"))
        )
        assert shard.view.version is None
        shard.on_result(Get(SHARD_KEY), Ok(trial.store.objects[SHARD_KEY]))
        assert shard.view.version == version

    def test_clean_up_keeps_a_segment_that_may_become_referenced(self):
        """Guards against deleting a segment that another sidecar is about to use."""
        trial = LedgerTrial(Random(1))
        trial.send(0, "key")
        run_until_granted(trial, 0)
        version = trial.store.version_of(SHARD_KEY)
        prefix = f"{SHARD_KEY}/segments/"
        for base in (version - 1, version):
            run_synchronously(trial.store.put(f"{prefix}{base}-aa", b"\x90", CREATE))
        trial.settle(5)
        names = [name.key for name in run_synchronously(trial.store.list(prefix)).ok()]
        assert names == [f"{prefix}{version}-aa"]

    def test_malformed_head_refuses_calls(self):
        """Guards against running calls when earlier calls cannot be read."""
        trial = LedgerTrial(Random(1))
        run_synchronously(trial.store.put(SHARD_KEY, b"\xc1", CREATE))
        copy = trial.send(0, "key")
        trial.settle()
        assert (copy.outcome, copy.executions) == (Outcome.NOT_RUN, 0)

    def test_known_entry_is_used_during_an_outage(self):
        """Guards against reporting "not run" for a call with a recorded copy."""
        trial = LedgerTrial(Random(1))
        trial.send(0, "key")
        run_until_granted(trial, 0)
        trial.send(1, "other")
        run_until_granted(trial, 1)
        trial.store.available = False
        trial.advance(10)
        copy = trial.send(1, "key")
        trial.settle(100)
        assert copy.outcome is Outcome.UNKNOWN

    def test_two_processes_under_load_refuse_no_call(self):
        """Guards against write conflicts that use up the wait limit of calls."""
        load = LedgerLoad(150, process_count=2)
        load.run(duration_ms=8000)
        assert load.decided_count > 1000
        assert load.allowed_count == load.decided_count


class TestLedgerEntry:
    def test_retention(self):
        """Guards against expiry of an open intent and unlimited growth."""
        entry = LedgerEntry(b"key", b"print", b"token", 0)
        assert entry.unexpired(10**12) is entry
        done = entry.with_result(CallResult(200, [], b"body"), 0)
        assert done.unexpired(RESULT_RETENTION_MS - 1) is done
        assert done.unexpired(RESULT_RETENTION_MS).result == CallResult(200, kept=False)
        assert done.unexpired(KEY_RETENTION_MS - 1) is not None
        assert done.unexpired(KEY_RETENTION_MS) is None
        ended = entry.with_result(NO_RESULT, 0)
        assert ended.unexpired(KEY_RETENTION_MS) is ended
        assert ended.unexpired(UNKNOWN_RETENTION_MS) is None

    def test_key_is_kept_longer_than_late_copies(self):
        """Guards against a key that expires before the last copy of its call."""
        late_ms = MAX_DEADLINE_MS + MAX_UNDETECTED_PAUSE_MS + DECISION_TIMEOUT_MS
        assert late_ms < KEY_RETENTION_MS

    def test_large_results_are_not_kept(self):
        """Guards against large bodies that use up the shard."""
        body = b"x" * (MAX_RESULT_BODY_BYTES + 1)
        assert limit_size(CallResult(200, [], body)) == CallResult(200, kept=False)
        assert limit_size(CallResult(200, [], body[1:])).kept


class TestLedgerShardView:
    def test_times_in_segments_are_corrected(self):
        """Guards against a key that expires early because ``shift_ms`` is ignored."""
        entry = LedgerEntry(b"key", b"print", b"token", 0, CallResult(200))
        view = LedgerShardView()
        view.segments = {"name": {b"key": entry}}
        view.head = ShardHead(KEY_RETENTION_MS, [], [SegmentRef("name", 1, 10, 10)])
        assert view.find(b"key", KEY_RETENTION_MS) is not None
        assert view.find(b"key", KEY_RETENTION_MS + 10) is None

    def test_each_version_has_a_later_time(self):
        """Guards against treating a newer entry as older than the baseline."""
        view = LedgerShardView()
        view.set_head(ShardHead(5), 1, 0)
        assert view.next_times(0).time_ms > 5


class TestWriteBudget:
    def test_limits_the_rate(self):
        """Guards against overloading the store after an outage."""
        budget = WriteBudget(LedgerLimits(writes_per_s=10, write_burst=5), 0)
        starts_ms = [budget.reserve(0) for _ in range(25)]
        assert starts_ms[:5] == [0] * 5
        assert starts_ms[-1] == 2000
        assert starts_ms == sorted(starts_ms)
        assert budget.reserve(10_000) == 10_000

    def test_shard_waits_for_the_write_budget(self):
        """Guards against a shard that exceeds the write budget."""
        trial = LedgerTrial(
            Random(1), limits=LedgerLimits(writes_per_s=1, write_burst=1)
        )
        trial.send(0, "first")
        run_until_granted(trial, 0)
        trial.send(0, "second")
        trial.advance(100)
        assert isinstance(trial.sidecars[0].shard.next_step(), Wait)


class TestPauseGuard:
    def test_refuses_for_a_while_after_a_pause(self):
        """Guards against outdated copies of calls read from a socket after a pause."""
        clock = LedgerTrial(Random(1)).clock
        guard = PauseGuard(clock)
        clock.advance(MAX_UNDETECTED_PAUSE_MS)
        assert not guard.recently_paused()
        clock.advance(KEY_RETENTION_MS)
        assert guard.recently_paused()
        clock.advance(10_000)
        assert guard.recently_paused()
        clock.advance(10_000)
        assert not guard.recently_paused()

"""Cost of the at-most-once ledger per call at several sizes of a shard's head."""

import time
from collections.abc import Iterator
from itertools import count
from random import Random

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.ledger import (
    Call,
    LedgerLimits,
    Run,
    WriteBudget,
)
from medlarridge._internal.coordination.ledger_records import CallResult
from medlarridge._internal.coordination.ledger_shard import LedgerShard, PendingCall
from medlarridge._internal.coordination.steps import Put, Wait
from medlarridge._internal.state.memory import MemoryStore

from ..ledger_trial import run_synchronously, store_call
from ..report import Row
from . import capacity

HEAD_SIZES_KB = (1, 8, 16, 31)
BATCH_SIZES = (1, 10)
ROUNDS = 100
BODY_BYTES = 200
NS_PER_US = 1000


@capacity.scenario("ledger")
def ledger_cost() -> list[Row]:
    """Measure CPU time and written bytes per call."""
    rows = []
    for batch_size in BATCH_SIZES:
        for head_kb in HEAD_SIZES_KB:
            cpu_us, written_bytes = cost_per_call(head_kb * 1024, batch_size)
            name = f"ledger, head {head_kb} KB, {batch_size} calls a write"
            rows.append(Row(f"{name}: CPU time", cpu_us, "us per call"))
            rows.append(Row(f"{name}: written", written_bytes, "bytes per call"))
    return rows


def cost_per_call(head_bytes: int, batch_size: int) -> tuple[float, float]:
    """Return the CPU time (µs) and the written bytes per call for a head size."""
    clock = ManualClock()
    # High limits keep the head from being sealed during the measurement.
    limits = LedgerLimits(seal_bytes=10**6, head_bytes=10**6, writes_per_s=10**6)
    budget = WriteBudget(limits, 0)
    random = Random(1)
    shard = LedgerShard("s", 1, clock, random, limits, budget, count(1).__next__)
    store = MemoryStore()
    key_numbers = count()
    while "s" not in store.objects or len(store.objects["s"].value) < head_bytes:
        for call in flush_calls(shard, store, clock, key_numbers, 1)[0]:
            finish_call(shard, call)
    initial_head = store.objects["s"]
    cpu_ns = written_bytes = 0
    for _ in range(ROUNDS):
        calls, spent_ns, flushed_bytes = flush_calls(
            shard, store, clock, key_numbers, batch_size
        )
        cpu_ns += spent_ns
        written_bytes += flushed_bytes
        for call in calls:
            finish_call(shard, call)
        # Restore the initial head, so that each round starts at the same size. The
        # shard keeps the results of the calls and writes them with the next batch.
        store.objects["s"] = initial_head
        shard.view.version = None
        shard.highest_version = 0
        shard.own_entries.clear()
    call_count = ROUNDS * batch_size
    return cpu_ns / call_count / NS_PER_US, written_bytes / call_count


def finish_call(shard: LedgerShard, call: PendingCall) -> None:
    """Record the result of a call that was allowed to run."""
    assert isinstance(call.decision, Run)
    shard.finish(call.decision.token, CallResult(200, [], b"x" * BODY_BYTES))


def flush_calls(
    shard: LedgerShard,
    store: MemoryStore,
    clock: ManualClock,
    key_numbers: Iterator,
    batch_size: int,
) -> tuple[list[PendingCall], int, int]:
    """Begin calls and write them to the store.

    Returns the pending calls, the CPU time in nanoseconds without the store calls, and
    the written bytes.
    """
    calls = []
    spent_ns = written_bytes = 0
    started_ns = time.process_time_ns()
    for _ in range(batch_size):
        key = f"key {next(key_numbers)}"
        deadline_ms = clock.now_ms() + 60_000
        calls.append(shard.begin(Call("r", "account", key, key, deadline_ms)))
    while any(call.decision is None for call in calls):
        step = shard.next_step()
        if isinstance(step, Wait):
            clock.advance(step.until_ms - clock.now_ms())
            continue
        assert step is not None
        spent_ns += time.process_time_ns() - started_ns
        result = run_synchronously(store_call(store, step))
        started_ns = time.process_time_ns()
        if isinstance(step, Put):
            written_bytes += len(step.value)
        shard.on_result(step, result)
    spent_ns += time.process_time_ns() - started_ns
    return calls, spent_ns, written_bytes

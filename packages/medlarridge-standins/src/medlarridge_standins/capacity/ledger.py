"""Cost of the at-most-once ledger per call as the head of a shard fills."""

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

HEAD_KB = (1, 8, 16, 31)
BATCHES = (1, 10)
ROUNDS = 100
BODY_BYTES = 200
NS_PER_US = 1000


@capacity.scenario("ledger")
def ledger_cost() -> list[Row]:
    """Measure CPU time and written bytes per call."""
    rows = []
    for batch in BATCHES:
        for head_kb in HEAD_KB:
            cpu_us, written = cost(head_kb * 1024, batch)
            name = f"ledger, head {head_kb} KB, {batch} calls a write"
            rows.append(Row(f"{name}: CPU time", cpu_us, "us per call"))
            rows.append(Row(f"{name}: written", written, "bytes per call"))
    return rows


def cost(head_bytes: int, batch: int) -> tuple[float, float]:
    """Return CPU time (µs) and written bytes per call at a head of a given size."""
    clock = ManualClock()
    # A high limit keeps the head from being sealed while it is measured.
    limits = LedgerLimits(seal_bytes=10**6, head_bytes=10**6, writes_per_s=10**6)
    budget = WriteBudget(limits, 0)
    random = Random(1)
    shard = LedgerShard("s", 1, clock, random, limits, budget, count(1).__next__)
    store = MemoryStore()
    numbers = count()
    while "s" not in store.objects or len(store.objects["s"].value) < head_bytes:
        for ticket in flush(shard, store, clock, numbers, 1)[0]:
            finish(shard, ticket)
    start = store.objects["s"]
    cpu_ns = written = 0
    for _ in range(ROUNDS):
        tickets, spent_ns, sent = flush(shard, store, clock, numbers, batch)
        cpu_ns += spent_ns
        written += sent
        for ticket in tickets:
            finish(shard, ticket)
        # The head returns to its size; results are written with the next batch.
        store.objects["s"] = start
        shard.view.version = None
        shard.highest_version = 0
        shard.own_entries.clear()
    calls = ROUNDS * batch
    return cpu_ns / calls / NS_PER_US, written / calls


def finish(shard: LedgerShard, ticket: PendingCall) -> None:
    """Finish an allowed call."""
    assert isinstance(ticket.decision, Run)
    shard.finish(ticket.decision.token, CallResult(200, [], b"x" * BODY_BYTES))


def flush(
    shard: LedgerShard,
    store: MemoryStore,
    clock: ManualClock,
    numbers: Iterator,
    batch: int,
) -> tuple[list[PendingCall], int, int]:
    """Begin calls and write them; return their tickets, CPU time and bytes."""
    tickets = []
    spent_ns = written = 0
    started_ns = time.process_time_ns()
    for _ in range(batch):
        key = f"key {next(numbers)}"
        deadline_ms = clock.now_ms() + 60_000
        tickets.append(shard.begin(Call("r", "account", key, key, deadline_ms)))
    while any(ticket.decision is None for ticket in tickets):
        step = shard.next_step()
        if isinstance(step, Wait):
            clock.advance(step.until_ms - clock.now_ms())
            continue
        assert step is not None
        spent_ns += time.process_time_ns() - started_ns
        answer = run_synchronously(store_call(store, step))
        started_ns = time.process_time_ns()
        if isinstance(step, Put):
            written += len(step.value)
        shard.on_result(step, answer)
    spent_ns += time.process_time_ns() - started_ns
    return tickets, spent_ns, written

"""Guarantees and store writes of the at-most-once ledger."""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from medlarridge._internal.clock import MS_PER_S, ManualClock
from medlarridge._internal.coordination.ledger import (
    Call,
    LedgerLimits,
    Run,
    WriteBudget,
)
from medlarridge._internal.coordination.ledger_records import CallResult
from medlarridge._internal.coordination.ledger_shard import LedgerShard, PendingCall
from medlarridge._internal.coordination.steps import Put, StoreStep, Wait
from medlarridge._internal.state.memory import MemoryStore

from ..ledger_trial import (
    SMALL_LIMITS,
    LedgerFuzzer,
    TrialTotals,
    run_crash_pairs,
    run_crash_points,
    run_synchronously,
    store_call,
)
from ..report import Row
from . import measure

FUZZ_SEEDS = range(1000)
FUZZ_STEPS = 400
RATES_PER_S = (1, 10, 50, 150)
LOAD_SEED = 11
DURATION_MS = 60_000
STORE_LATENCY_MS = 5
MEAN_CALL_MS = 300
OWNED_SHARDS = 5
"""Shards of a route that each of three sidecars owns."""
SEAL_SIZES_KB = (2, 4, 8, 16, 32)
SEAL_RATE_PER_S = 10
WAIT_BASELINE = f"{STORE_LATENCY_MS} (one create)"
WRITES_BASELINE = "2 (create, update)"


@measure.scenario("ledger-crash-points")
def crash_points() -> list[Row]:
    """Inject each kind of fault at each store call of two competing sidecars."""
    return guarantee_rows("all crash points", run_crash_points())


@measure.scenario("ledger-crash-pairs")
def crash_pairs() -> list[Row]:
    """Inject each pair of faults at two store calls."""
    return guarantee_rows("pairs of crash points", run_crash_pairs())


@measure.scenario("ledger-interleavings")
def interleavings() -> list[Row]:
    """Run random interleavings with crashes, pauses and faults."""
    totals = TrialTotals()
    for seed in FUZZ_SEEDS:
        limits = SMALL_LIMITS if seed % 2 else LedgerLimits()
        totals.add(LedgerFuzzer(Random(seed), 3 + seed % 20, limits).run(FUZZ_STEPS))
    return guarantee_rows(f"interleavings, seeds 0-{FUZZ_SEEDS[-1]}", totals)


def guarantee_rows(title: str, totals: TrialTotals) -> list[Row]:
    """Return the rows that check the guarantees of the ledger."""

    def row(name: str, value: int) -> Row:
        return Row(f"ledger {title}: {name}", value, "", "0", met=value == 0)

    return [
        Row(f"ledger {title}: runs", totals.runs, "runs"),
        Row(f"ledger {title}: executions", totals.executions, "calls"),
        row("duplicate executions", totals.duplicates),
        row("untrue not run answers", totals.false_not_run),
        row("wrong or unanswered", totals.wrong_repeated_results + totals.unanswered),
    ]


@measure.scenario("ledger-writes")
def writes_per_call() -> list[Row]:
    """Count store writes per call of one sidecar at several call rates."""
    rows = []
    for rate in RATES_PER_S:
        rows += load_rows(f"{rate} calls/s at one sidecar", LedgerLoad(rate))
    return rows


@measure.scenario("ledger-two-owners")
def two_owners() -> list[Row]:
    """Count store writes when two sidecars believe they own the same shards."""
    rows = []
    for rate in RATES_PER_S:
        load = LedgerLoad(rate, process_count=2)
        rows += load_rows(f"{rate} calls/s at two owners", load)
    return rows


@measure.scenario("ledger-seal-size")
def seal_size() -> list[Row]:
    """Measure the bytes written per call for several sizes of a sealed head."""
    rows = []
    for seal_kb in SEAL_SIZES_KB:
        load = LedgerLoad(
            SEAL_RATE_PER_S, limits=LedgerLimits(seal_bytes=seal_kb * 1024)
        )
        load.run()
        name = f"ledger, {SEAL_RATE_PER_S} calls/s, heads sealed at {seal_kb} KB"
        written = load.written_bytes / load.decided_count
        rows.append(Row(f"{name}: written", written, "bytes per call"))
        writes = load.store.calls["put"] / load.decided_count
        rows.append(
            Row(f"{name}: writes", writes, "per call", baseline=WRITES_BASELINE)
        )
    return rows


def load_rows(title: str, load: "LedgerLoad") -> list[Row]:
    """Run a load and return its rows."""
    load.run()
    name = f"ledger, {title}, seed {LOAD_SEED}"
    writes = load.store.calls["put"] / load.decided_count
    waits = sorted(load.waits_ms)
    p95 = waits[int(len(waits) * 0.95)]
    refused = load.decided_count - load.allowed_count
    return [
        Row(f"{name}: writes", writes, "per call", baseline=WRITES_BASELINE),
        Row(f"{name}: wait p95", p95, "ms", baseline=WAIT_BASELINE),
        Row(f"{name}: refused", refused, "calls", "0", met=not refused),
    ]


class LedgerLoad:
    """Poisson arrivals at sidecars that own the same shards of a route."""

    def __init__(
        self,
        rate_per_s: float,
        process_count: int = 1,
        limits: LedgerLimits | None = None,
    ) -> None:
        self.rate_per_ms = rate_per_s / MS_PER_S
        self.random = Random(LOAD_SEED)
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.limits = limits or LedgerLimits()
        self.shards = [
            shard
            for number in range(1, process_count + 1)
            for shard in self.new_shards(number)
        ]
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = count()
        self.busy_shards: set[int] = set()
        self.pending_calls: list[tuple[LedgerShard, PendingCall]] = []
        self.waits_ms: list[int] = []
        self.decided_count = 0
        self.allowed_count = 0
        self.written_bytes = 0

    def new_shards(self, number: int) -> list[LedgerShard]:
        """Create the shards that one process owns."""
        budget = WriteBudget(self.limits, 0)
        counter = count(1).__next__
        return [
            LedgerShard(
                f"s/{index}",
                number,
                self.clock,
                self.random,
                self.limits,
                budget,
                counter,
            )
            for index in range(OWNED_SHARDS)
        ]

    def run(self, duration_ms: int = DURATION_MS) -> None:
        """Run the load on a manual clock."""
        next_ms = 0.0
        number = 0
        while self.clock.now_ms() < duration_ms:
            now_ms = self.clock.now_ms()
            while next_ms <= now_ms:
                self.begin_call(f"key {number}")
                number += 1
                next_ms += self.random.expovariate(self.rate_per_ms)
            while self.events and self.events[0][0] <= now_ms:
                heapq.heappop(self.events)[2]()
            for shard in self.shards:
                self.start_store_call(shard)
            self.collect_decisions()
            self.clock.advance(1)

    def begin_call(self, key: str) -> None:
        """Begin a call at a random shard."""
        shard = self.random.choice(self.shards)
        now_ms = self.clock.now_ms()
        call = Call("route", "account", key, key, now_ms + 60_000)
        self.pending_calls.append((shard, shard.begin(call)))

    def start_store_call(self, shard: LedgerShard) -> None:
        """Start the next store call of a shard, unless one is in progress."""
        if id(shard) in self.busy_shards:
            return
        step = shard.next_step()
        if step is None or isinstance(step, Wait):
            return
        self.busy_shards.add(id(shard))
        self.schedule(STORE_LATENCY_MS, lambda: self.finish_store_call(shard, step))

    def finish_store_call(self, shard: LedgerShard, step: StoreStep) -> None:
        """Perform the store call and pass its result to the shard."""
        self.busy_shards.discard(id(shard))
        if isinstance(step, Put):
            self.written_bytes += len(step.value)
        shard.on_result(step, run_synchronously(store_call(self.store, step)))

    def collect_decisions(self) -> None:
        """Run the allowed calls and discard those that waited too long."""
        now_ms = self.clock.now_ms()
        still_pending = []
        for shard, call in self.pending_calls:
            if now_ms - call.arrived_ms >= self.limits.wait_limit_ms:
                shard.discard(call)
            if call.decision is None:
                still_pending.append((shard, call))
                continue
            self.decided_count += 1
            self.waits_ms.append(now_ms - call.arrived_ms)
            if isinstance(call.decision, Run):
                self.allowed_count += 1
                self.schedule_finish(shard, call.decision)
        self.pending_calls = still_pending

    def schedule_finish(self, shard: LedgerShard, run: Run) -> None:
        """Schedule the end of a call after a random duration."""
        delay_ms = int(self.random.expovariate(1 / MEAN_CALL_MS))
        result = CallResult(200, [], b"x" * 200)
        self.schedule(delay_ms, lambda: shard.finish(run.token, result))

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (at_ms, next(self.sequence), action))

"""Promises and store writes of the at-most-once ledger."""

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
RATE_SEED = 11
DURATION_MS = 60_000
STORE_LATENCY_MS = 5
MEAN_CALL_MS = 300
OWNED_SHARDS = 5
"""Shards of a route that one of three sidecars owns."""
SEAL_KB = (2, 4, 8, 16, 32)
SEAL_RATE_PER_S = 10
STORE_TEXT = f"{STORE_LATENCY_MS} (one create)"
BASELINE = "2 (create, update)"


@measure.scenario("ledger-crash-points")
def crash_points() -> list[Row]:
    """Run every fault at every store call with two competing sidecars."""
    return promise_rows("all crash points", run_crash_points())


@measure.scenario("ledger-crash-pairs")
def crash_pairs() -> list[Row]:
    """Run every pair of faults at two store calls."""
    return promise_rows("pairs of crash points", run_crash_pairs())


@measure.scenario("ledger-interleavings")
def interleavings() -> list[Row]:
    """Run random interleavings with crashes, pauses and faults."""
    totals = TrialTotals()
    for seed in FUZZ_SEEDS:
        limits = SMALL_LIMITS if seed % 2 else LedgerLimits()
        totals.add(LedgerFuzzer(Random(seed), 3 + seed % 20, limits).run(FUZZ_STEPS))
    return promise_rows(f"interleavings, seeds 0-{FUZZ_SEEDS[-1]}", totals)


def promise_rows(title: str, totals: TrialTotals) -> list[Row]:
    """Return the rows for the promises of the ledger."""

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
        rows += load_rows(f"{rate} calls/s at one sidecar", Load(rate))
    return rows


@measure.scenario("ledger-two-owners")
def two_owners() -> list[Row]:
    """Count store writes when two sidecars believe they own the same shards."""
    rows = []
    for rate in RATES_PER_S:
        load = Load(rate, process_count=2)
        rows += load_rows(f"{rate} calls/s at two owners", load)
    return rows


@measure.scenario("ledger-seal-size")
def seal_size() -> list[Row]:
    """Count written bytes per call for several sizes at which a head is sealed."""
    rows = []
    for seal_kb in SEAL_KB:
        load = Load(SEAL_RATE_PER_S, limits=LedgerLimits(seal_bytes=seal_kb * 1024))
        load.run()
        name = f"ledger, {SEAL_RATE_PER_S} calls/s, heads sealed at {seal_kb} KB"
        written = load.written_bytes / load.answered
        rows.append(Row(f"{name}: written", written, "bytes per call"))
        writes = load.store.calls["put"] / load.answered
        rows.append(Row(f"{name}: writes", writes, "per call", baseline=BASELINE))
    return rows


def load_rows(title: str, load: "Load") -> list[Row]:
    """Run a load and return its rows."""
    load.run()
    name = f"ledger, {title}, seed {RATE_SEED}"
    writes = load.store.calls["put"] / load.answered
    waits = sorted(load.waits_ms)
    p95 = waits[int(len(waits) * 0.95)]
    refused = load.answered - load.allowed
    return [
        Row(f"{name}: writes", writes, "per call", baseline=BASELINE),
        Row(f"{name}: wait p95", p95, "ms", baseline=STORE_TEXT),
        Row(f"{name}: refused", refused, "calls", "0", met=not refused),
    ]


class Load:
    """Poisson arrivals at sidecars that own the same shards of a route."""

    def __init__(
        self,
        rate_per_s: float,
        process_count: int = 1,
        limits: LedgerLimits | None = None,
    ) -> None:
        self.rate_per_ms = rate_per_s / MS_PER_S
        self.random = Random(RATE_SEED)
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.limits = limits or LedgerLimits()
        self.shards = [
            shard
            for number in range(1, process_count + 1)
            for shard in self.new_shards(number)
        ]
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = count()
        self.busy: set[int] = set()
        self.waiting: list[tuple[LedgerShard, PendingCall]] = []
        self.waits_ms: list[int] = []
        self.answered = 0
        self.allowed = 0
        self.written_bytes = 0

    def new_shards(self, number: int) -> list[LedgerShard]:
        """Return the shards of one process."""
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
                self.arrive(f"key {number}")
                number += 1
                next_ms += self.random.expovariate(self.rate_per_ms)
            while self.events and self.events[0][0] <= now_ms:
                heapq.heappop(self.events)[2]()
            for shard in self.shards:
                self.step(shard)
            self.collect()
            self.clock.advance(1)

    def arrive(self, key: str) -> None:
        """Take a new call."""
        shard = self.random.choice(self.shards)
        now_ms = self.clock.now_ms()
        call = Call("route", "account", key, key, now_ms + 60_000)
        self.waiting.append((shard, shard.begin(call)))

    def step(self, shard: LedgerShard) -> None:
        """Start the next store call of a shard that has none."""
        if id(shard) in self.busy:
            return
        step = shard.next_step()
        if step is None or isinstance(step, Wait):
            return
        self.busy.add(id(shard))
        self.after(STORE_LATENCY_MS, lambda: self.answer(shard, step))

    def answer(self, shard: LedgerShard, step: StoreStep) -> None:
        """Perform the store call and pass its answer on."""
        self.busy.discard(id(shard))
        if isinstance(step, Put):
            self.written_bytes += len(step.value)
        shard.on_result(step, run_synchronously(store_call(self.store, step)))

    def collect(self) -> None:
        """Run the calls that were allowed and give up those that waited too long."""
        now_ms = self.clock.now_ms()
        undecided = []
        for shard, ticket in self.waiting:
            if now_ms - ticket.arrived_ms >= self.limits.wait_limit_ms:
                shard.discard(ticket)
            if ticket.decision is None:
                undecided.append((shard, ticket))
                continue
            self.answered += 1
            self.waits_ms.append(now_ms - ticket.arrived_ms)
            if isinstance(ticket.decision, Run):
                self.allowed += 1
                self.finish_later(shard, ticket.decision)
        self.waiting = undecided

    def finish_later(self, shard: LedgerShard, run: Run) -> None:
        """Finish a call after a random duration."""
        delay_ms = int(self.random.expovariate(1 / MEAN_CALL_MS))
        result = CallResult(200, [], b"x" * 200)
        self.after(delay_ms, lambda: shard.finish(run.token, result))

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (at_ms, next(self.order), action))

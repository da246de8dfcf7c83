"""Simulation of the at-most-once ledger with interleaved sidecars and store faults.

Nothing here blocks: a trial chooses which sidecar takes its next step, so each store
call can be issued, applied and completed at any time, or never.
"""

from collections.abc import Coroutine
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count, product
from random import Random
from typing import Any

from result import Err, Result

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.ledger import (
    Call,
    LedgerLimits,
    PauseGuard,
    Refused,
    Repeat,
    Run,
    RunToken,
    WriteBudget,
)
from medlarridge._internal.coordination.ledger_records import (
    KEY_RETENTION_MS,
    CallResult,
)
from medlarridge._internal.coordination.ledger_shard import LedgerShard, PendingCall
from medlarridge._internal.coordination.steps import (
    Delete,
    Get,
    ListNames,
    Put,
    StoreStep,
    Wait,
)
from medlarridge._internal.errors import StoreError, StoreErrorKind
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.state.store import ObjectStore

SHARD_KEY = "ledger/invoices/0"
DEADLINE_MS = 60_000
DECISION_TIMEOUT_MS = 2000


class Fault(StrEnum):
    """Fault injected into a store call."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"
    LATE = "late"
    CRASH_BEFORE = "crash-before"
    CRASH_AFTER = "crash-after"


class CallEnding(StrEnum):
    """How a granted call ends."""

    FINISH = "finish"
    NO_RESULT = "no-result"
    UNREACHABLE = "unreachable"


class Outcome(StrEnum):
    """Outcome reported to the caller."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass
class CallCopy:
    """A copy of a call, sent to one sidecar."""

    number: int
    key: str
    sent_ms: int
    outcome: Outcome | None = None
    executions: int = 0
    finished_ms: int | None = None


@dataclass
class GrantedCall:
    """A call that a sidecar is allowed to run."""

    token: RunToken
    copy: CallCopy
    started: bool = False


@dataclass
class PendingStoreCall:
    """The outstanding store call of a sidecar; it has a result once applied."""

    step: StoreStep
    result: Result | None = None


def run_synchronously(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine that completes without suspending."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError("the store call suspended instead of completing")


def store_call(store: ObjectStore, step: StoreStep) -> Coroutine[Any, Any, Result]:
    """Return the store call of a step."""
    match step:
        case Get(key):
            return store.get(key)
        case Put(key, value, expected_version):
            return store.put(key, value, expected_version)
        case Delete(key, version):
            return store.delete(key, version)
        case ListNames(prefix):
            return store.list(prefix)


class Sidecar:
    """A simulated sidecar with its view of the shard."""

    def __init__(self, trial: "LedgerTrial", number: int) -> None:
        self.trial = trial
        budget = WriteBudget(trial.limits, trial.clock.now_ms())
        self.shard = LedgerShard(
            SHARD_KEY,
            number,
            trial.clock,
            trial.random,
            trial.limits,
            budget,
            count(1).__next__,
        )
        self.pending_calls: list[tuple[PendingCall, CallCopy]] = []
        self.granted: list[GrantedCall] = []
        self.store_call: PendingStoreCall | None = None
        self.guard = PauseGuard(trial.clock)
        self.inbox: list[CallCopy] = []
        self.paused = False

    def begin(self, copy: CallCopy) -> None:
        """Begin a copy of a call, or queue it in the socket buffer while paused.

        The deadline counts from when the copy is read, because messages carry the
        remaining time and the time spent in the socket buffer is unknown.
        """
        if self.paused:
            self.inbox.append(copy)
            return
        if self.guard.recently_paused():
            copy.outcome = Outcome.NOT_RUN
            return
        deadline_ms = self.trial.clock.now_ms() + DEADLINE_MS
        call = Call("invoices", "account", copy.key, copy.key, deadline_ms)
        self.pending_calls.append((self.shard.begin(call), copy))
        self.report_decisions()

    def resume(self) -> None:
        """Resume after a pause and process the queued copies."""
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for copy in inbox:
            self.begin(copy)

    def report_decisions(self) -> None:
        """Report decisions to callers and discard calls undecided for too long."""
        now_ms = self.trial.clock.now_ms()
        for pending, copy in list(self.pending_calls):
            if (
                pending.decision is None
                and now_ms >= pending.arrived_ms + DECISION_TIMEOUT_MS
            ):
                self.shard.discard(pending)
            if pending.decision is None:
                continue
            self.pending_calls.remove((pending, copy))
            match pending.decision:
                case Run(token):
                    self.granted.append(GrantedCall(token, copy))
                case Repeat(result):
                    copy.outcome = Outcome.COMPLETE
                    self.trial.check_repeat(copy, result)
                case Refused():
                    copy.outcome = Outcome.NOT_RUN
                case _:
                    copy.outcome = Outcome.UNKNOWN

    def advance_store_call(self, fault: Fault = Fault.NONE) -> bool:
        """Issue, apply or complete the next store call; return False if none."""
        if self.store_call is None:
            step = self.shard.next_step()
            if step is None or isinstance(step, Wait):
                self.report_decisions()
                return False
            self.store_call = PendingStoreCall(step)
        elif self.store_call.result is None:
            self.store_call.result = self.trial.apply(self.store_call.step, fault)
        else:
            call, self.store_call = self.store_call, None
            self.shard.on_result(call.step, call.result)
        self.report_decisions()
        return True

    def advance_granted(self, granted: GrantedCall, ending: CallEnding) -> None:
        """Start a granted call or, if it is started, execute and end it."""
        if not granted.started:
            granted.started = self.shard.start(granted.token)
            if not granted.started:
                self.granted.remove(granted)
                granted.copy.outcome = Outcome.NOT_RUN
            return
        self.granted.remove(granted)
        if ending is CallEnding.UNREACHABLE:
            self.shard.release(granted.token)
            granted.copy.outcome = Outcome.NOT_RUN
            return
        self.trial.execute(granted.copy)
        if ending is CallEnding.FINISH:
            self.shard.finish(granted.token, result_of(granted.copy))
            granted.copy.finished_ms = self.trial.clock.now_ms()
            granted.copy.outcome = Outcome.COMPLETE
        else:
            self.shard.abandon(granted.token)
            granted.copy.outcome = Outcome.UNKNOWN


def result_of(copy: CallCopy) -> CallResult:
    """Return the server's result for a copy."""
    return CallResult(200, [], f"{copy.key} {copy.number}".encode())


@dataclass
class LedgerTrial:
    """Sidecars of one shard, the store, the server and the invariant checks."""

    random: Random
    sidecar_count: int = 2
    limits: LedgerLimits = field(default_factory=LedgerLimits)
    clock: ManualClock = field(default_factory=ManualClock)
    store: MemoryStore = field(default_factory=MemoryStore)
    copies: list[CallCopy] = field(default_factory=list)
    delayed_steps: list[StoreStep] = field(default_factory=list)
    in_transit: list[CallCopy] = field(default_factory=list)
    executions_by_key: dict[str, list[CallCopy]] = field(default_factory=dict)
    duplicates: int = 0
    wrong_repeated_results: int = 0

    def __post_init__(self) -> None:
        self.instance_numbers = count(1)
        self.sidecars = [self.new_sidecar() for _ in range(self.sidecar_count)]

    def new_sidecar(self) -> Sidecar:
        """Start a sidecar with a new instance number."""
        return Sidecar(self, next(self.instance_numbers))

    def send(self, index: int, key: str) -> CallCopy:
        """Send a copy of a call to a sidecar."""
        copy = CallCopy(len(self.copies), key, self.clock.now_ms())
        self.copies.append(copy)
        self.sidecars[index].begin(copy)
        return copy

    def crash(self, index: int) -> None:
        """Crash and replace a sidecar; its messages in transit may still arrive."""
        sidecar = self.sidecars[index]
        for granted in sidecar.granted:
            if granted.started:
                self.in_transit.append(granted.copy)
        if sidecar.store_call is not None and sidecar.store_call.result is None:
            self.delayed_steps.append(sidecar.store_call.step)
        for copy in (
            [copy for _, copy in sidecar.pending_calls]
            + [granted.copy for granted in sidecar.granted]
            + sidecar.inbox
        ):
            copy.outcome = Outcome.UNKNOWN
        self.sidecars[index] = self.new_sidecar()

    def apply(self, step: StoreStep, fault: Fault) -> Result:
        """Apply a store call with a fault and return its result."""
        if fault is Fault.UNAVAILABLE:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "trial", "store"))
        if fault is Fault.LATE:
            self.delayed_steps.append(step)
        if fault in (Fault.LOST_AFTER, Fault.NONE):
            result = run_synchronously(store_call(self.store, step))
            if fault is Fault.NONE:
                return result
        return Err(StoreError(StoreErrorKind.AMBIGUOUS, "trial", "store"))

    def execute(self, copy: CallCopy) -> None:
        """Execute a copy at the server and count it if it is a duplicate."""
        copy.executions += 1
        for earlier in self.executions_by_key.setdefault(copy.key, []):
            finished_ms = earlier.finished_ms
            if finished_ms is None or copy.sent_ms < finished_ms + KEY_RETENTION_MS:
                self.duplicates += 1
        self.executions_by_key[copy.key].append(copy)

    def check_repeat(self, copy: CallCopy, result: CallResult) -> None:
        """Count a repeated result that the server never returned for the key."""
        given = [
            result_of(earlier) for earlier in self.executions_by_key.get(copy.key, [])
        ]
        if not given or (result.kept and result not in given):
            self.wrong_repeated_results += 1

    def false_not_run(self) -> int:
        """Return the number of copies reported as not run that did run."""
        return sum(
            copy.outcome is Outcome.NOT_RUN and copy.executions > 0
            for copy in self.copies
        )

    def advance_store_calls(
        self, rounds: int = 60, write_fault: Fault = Fault.NONE
    ) -> None:
        """Advance the store calls of all sidecars that are not paused.

        ``write_fault`` is injected into the first write.
        """
        for _ in range(rounds):
            for sidecar in self.sidecars:
                if sidecar.paused:
                    continue
                call, fault = sidecar.store_call, Fault.NONE
                if call and call.result is None and isinstance(call.step, Put):
                    fault, write_fault = write_fault, Fault.NONE
                sidecar.advance_store_call(fault)
            self.advance(10)

    def run_granted(self, ending: CallEnding) -> None:
        """Run all granted calls to the given ending."""
        for sidecar in self.sidecars:
            while sidecar.granted:
                sidecar.advance_granted(sidecar.granted[0], ending)

    def settle(self, rounds: int = 200) -> None:
        """Run all sidecars without faults so that every caller gets an outcome."""
        for _ in range(rounds):
            while self.delayed_steps:
                run_synchronously(store_call(self.store, self.delayed_steps.pop()))
            for sidecar in self.sidecars:
                sidecar.resume()
                while sidecar.advance_store_call():
                    pass
                for granted in list(sidecar.granted):
                    sidecar.advance_granted(granted, CallEnding.FINISH)
            self.advance(25)

    def advance(self, delta_ms: int) -> None:
        """Advance the clock; timers fire on sidecars that are not paused."""
        self.clock.advance(delta_ms)
        for sidecar in self.sidecars:
            if not sidecar.paused:
                sidecar.guard.last_tick_ms = self.clock.now_ms()


@dataclass
class TrialTotals:
    """Totals over many trials."""

    runs: int = 0
    copies: int = 0
    executions: int = 0
    duplicates: int = 0
    false_not_run: int = 0
    wrong_repeated_results: int = 0
    unanswered: int = 0
    outcomes: dict[Outcome, int] = field(default_factory=dict)

    def add(self, trial: LedgerTrial) -> None:
        """Add the counts of a finished trial."""
        self.runs += 1
        self.copies += len(trial.copies)
        self.executions += sum(copy.executions for copy in trial.copies)
        self.duplicates += trial.duplicates
        self.false_not_run += trial.false_not_run()
        self.wrong_repeated_results += trial.wrong_repeated_results
        for copy in trial.copies:
            if copy.outcome is None:
                self.unanswered += 1
            else:
                self.outcomes[copy.outcome] = self.outcomes.get(copy.outcome, 0) + 1


@dataclass(frozen=True)
class CrashPoint:
    """Faults by store call ordinal for a run with two competing sidecars.

    The second sidecar receives the call in turn ``second_call_turn``.
    """

    faults: dict[int, Fault]
    ending: CallEnding
    second_call_turn: int


def run_crash_point(point: CrashPoint) -> tuple[LedgerTrial, bool]:
    """Run one crash point; also return whether all its store calls were reached."""
    trial = LedgerTrial(Random(len(point.faults)))
    trial.send(0, "key")
    applied = 0
    for turn in range(60):
        if turn == point.second_call_turn:
            trial.send(1, "key")
        for index in (0, 1):
            sidecar = trial.sidecars[index]
            fault = Fault.NONE
            if sidecar.store_call is not None and sidecar.store_call.result is None:
                applied += 1
                fault = point.faults.get(applied, Fault.NONE)
            if fault in (Fault.CRASH_BEFORE, Fault.CRASH_AFTER):
                if fault is Fault.CRASH_AFTER:
                    sidecar.advance_store_call()
                trial.crash(index)
                # The caller retries through the surviving sidecar.
                trial.send(1 - index, "key")
                continue
            sidecar.advance_store_call(fault)
            for granted in list(sidecar.granted):
                sidecar.advance_granted(granted, point.ending)
        trial.advance(10)
    trial.settle(100)
    for index in (0, 1):
        trial.send(index, "key")
    trial.settle(100)
    return trial, applied >= max(point.faults)


def run_crash_points() -> TrialTotals:
    """Run every fault at every store call with all endings and arrival turns."""
    totals = TrialTotals()
    for fault, ending in product(Fault, CallEnding):
        for second_call_turn in range(0, 16, 3):
            for ordinal in count(1):
                point = CrashPoint({ordinal: fault}, ending, second_call_turn)
                trial, reached = run_crash_point(point)
                if not reached:
                    break
                totals.add(trial)
    return totals


def run_crash_pairs() -> TrialTotals:
    """Run every pair of faults at two different store calls."""
    totals = TrialTotals()
    for first, second, ending in product(Fault, Fault, CallEnding):
        for early in range(1, MAX_PAIR_ORDINAL):
            for late in range(early + 1, MAX_PAIR_ORDINAL + 1):
                point = CrashPoint({early: first, late: second}, ending, 3)
                trial, reached = run_crash_point(point)
                if not reached:
                    break
                totals.add(trial)
    return totals


MAX_PAIR_ORDINAL = 12
ADVANCES_MS = [1, 5, 25, 25, 50] * 3 + [500, 2500, 61_000, 11 * 60_000, 70 * 60_000]
SMALL_LIMITS = LedgerLimits(seal_bytes=150, segment_bytes=600, head_bytes=1500)
"""Limits low enough that a few calls cause segments to be sealed and merged."""


class LedgerFuzzer:
    """Random interleaving of steps, faults, crashes, pauses and repeated calls."""

    def __init__(
        self, random: Random, keys: int = 3, limits: LedgerLimits | None = None
    ) -> None:
        self.random = random
        self.trial = LedgerTrial(
            self.random, sidecar_count=3, limits=limits or LedgerLimits()
        )
        self.keys = keys

    def run(self, steps: int) -> LedgerTrial:
        """Take random steps, then let the trial settle."""
        actions = (
            [self.step] * 60 + [self.advance_granted_call] * 12 + [self.advance] * 8
        )
        actions += [self.send] * 8 + [self.pause] * 2 + [self.crash] * 2
        actions += [self.deliver_delayed] * 3
        for _ in range(steps):
            self.random.choice(actions)()
        self.trial.settle()
        return self.trial

    def random_sidecar(self) -> Sidecar | None:
        """Return a random sidecar, or None if it is paused."""
        sidecar = self.random.choice(self.trial.sidecars)
        return None if sidecar.paused else sidecar

    def step(self) -> None:
        """Advance the store call of a sidecar, sometimes with a fault."""
        if (sidecar := self.random_sidecar()) is not None:
            faults = [Fault.NONE] * 12 + [
                Fault.UNAVAILABLE,
                Fault.LOST_BEFORE,
                Fault.LOST_AFTER,
                Fault.LATE,
            ]
            sidecar.advance_store_call(self.random.choice(faults))

    def advance_granted_call(self) -> None:
        """Advance a granted call of a random sidecar."""
        sidecar = self.random_sidecar()
        if sidecar is not None and sidecar.granted:
            granted = self.random.choice(sidecar.granted)
            sidecar.advance_granted(granted, self.random.choice(list(CallEnding)))

    def send(self) -> None:
        """Send a copy of a random call to a random sidecar."""
        index = self.random.randrange(len(self.trial.sidecars))
        self.trial.send(index, f"key {self.random.randrange(self.keys)}")

    def pause(self) -> None:
        """Pause a random sidecar, or resume it if it is paused."""
        sidecar = self.random.choice(self.trial.sidecars)
        if sidecar.paused:
            sidecar.resume()
        else:
            sidecar.paused = True

    def crash(self) -> None:
        """Crash a random sidecar."""
        self.trial.crash(self.random.randrange(len(self.trial.sidecars)))

    def advance(self) -> None:
        """Advance the clock, sometimes by more than the key retention."""
        self.trial.advance(self.random.choice(ADVANCES_MS))

    def deliver_delayed(self) -> None:
        """Deliver a delayed store call and a call sent by a crashed sidecar."""
        if self.trial.delayed_steps:
            index = self.random.randrange(len(self.trial.delayed_steps))
            run_synchronously(
                store_call(self.trial.store, self.trial.delayed_steps.pop(index))
            )
        if self.trial.in_transit:
            self.trial.execute(self.trial.in_transit.pop())

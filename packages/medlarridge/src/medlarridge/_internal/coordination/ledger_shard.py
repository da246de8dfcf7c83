"""Decisions about one shard of the at-most-once ledger, without input or output.

``LedgerShard`` gives the next store call to make and takes its answer;
``state.ledger_runner`` performs the calls.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from msgspec import MsgspecError
from result import Err, Ok, Result

from ..clock import Clock
from ..errors import StoreError, StoreErrorKind
from ..events import register
from ..log import log_event
from ..state.store import CREATE, ObjectName, StoredObject
from .ledger import (
    Call,
    LedgerDecision,
    LedgerLimits,
    Refused,
    RefusedReason,
    Repeat,
    Run,
    RunToken,
    Unknown,
    UnknownReason,
    WriteBudget,
)
from .ledger_records import (
    KEY_RETENTION_MS,
    NO_RESULT,
    CallResult,
    LedgerEntry,
    SegmentRef,
    ShardHead,
    decode_head,
    decode_segment,
    encode_head,
    encode_segment,
    fingerprint_digest,
    limited,
)
from .steps import Delete, Get, ListNames, Put, Step, Wait

MALFORMED = register(3000, "ERROR", "ledger object is malformed")
CONTENDED_WRITES = 10
"""Writes after a conflict before each of which an old view is read again."""
FRESH_MS = 10
INSTANCE_BYTES = 6
COUNTER_BYTES = 6


class PendingCall:
    """A call that waits for its decision.

    ``unresolved`` is the head version that a write of this intent expected, as
    long as it is open whether that write took effect.
    """

    def __init__(self, call: Call, token: bytes, arrived_ms: int) -> None:
        self.call = call
        self.key = call.digest
        self.fingerprint = fingerprint_digest(call.fingerprint)
        self.token = token
        self.arrived_ms = arrived_ms
        self.decision: LedgerDecision | None = None
        self.unresolved: int | None = None
        self.listener: Callable[[], None] | None = None

    def decide(self, decision: LedgerDecision) -> None:
        """Set the decision once and tell the listener."""
        if self.decision is not None:
            return
        self.decision = decision
        if self.listener is not None:
            self.listener()

    def entry(self, at_ms: int) -> LedgerEntry:
        """Return the intent to record."""
        return LedgerEntry(self.key, self.fingerprint, self.token, at_ms)


@dataclass(frozen=True)
class Change:
    """Pending change of an own entry: its result, or its release if there is none."""

    entry: LedgerEntry
    result: CallResult | None
    due_ms: int
    listener: Callable[[], None] | None = None


@dataclass(frozen=True)
class Flight:
    """The head write in flight and what depends on it."""

    head: ShardHead
    expected_version: int
    tickets: list[PendingCall]
    changes: list[Change]


@dataclass(frozen=True)
class Seal:
    """A segment that was created for one head version."""

    ref: SegmentRef
    entries: list[LedgerEntry]
    base_version: int
    moved: frozenset[bytes]
    merged: frozenset[str]


@dataclass(frozen=True)
class Reckoning:
    """Ledger time of the next version and the correction of newer entries.

    A process counts from the last version that it wrote, or the first it read: what
    was there then has aged by the time since on the local clock. Entries of others
    that are newer (``at_ms`` above ``known_ms``) keep the age that the current
    version gives them, so their times move by ``delta_ms`` with the ledger time.
    Without that, two processes that write in turn would hardly advance the time.
    """

    time_ms: int
    known_ms: int
    delta_ms: int

    def corrected(self, item: LedgerEntry) -> LedgerEntry:
        """Return an entry of the head with its time in the next version."""
        return item.shifted(self.delta_ms if item.at_ms > self.known_ms else 0)

    def corrected_ref(self, ref: SegmentRef) -> SegmentRef:
        """Return a segment with its times in the next version."""
        return ref.shifted(self.delta_ms if ref.newest_ms > self.known_ms else 0)


@dataclass
class LedgerShardView:
    """What a process knows of a shard."""

    head: ShardHead = field(default_factory=ShardHead)
    version: int | None = None
    confirmed_ms: int = 0
    known_ms: int | None = None
    known_at_ms: int = 0
    index: dict[bytes, LedgerEntry] = field(default_factory=dict)
    tokens: set[bytes] = field(default_factory=set)
    segments: dict[str, dict[bytes, LedgerEntry]] = field(default_factory=dict)

    def set_head(self, head: ShardHead, version: int, now_ms: int) -> None:
        """Take over a head that was in force at or before the given time."""
        self.head = head
        self.version = version
        self.confirmed_ms = now_ms
        if self.known_ms is None:
            self.set_known()
        self.index = {entry.key: entry for entry in head.entries}
        self.tokens = {entry.token for entry in head.entries}
        names = {ref.name for ref in head.segments}
        for name in self.segments.keys() - names:
            del self.segments[name]

    def set_known(self) -> None:
        """Count from the current head from now on."""
        self.known_ms = self.head.time_ms
        self.known_at_ms = self.confirmed_ms

    def reckon(self, now_ms: int) -> Reckoning:
        """Return the times of a version that is written now."""
        assert self.known_ms is not None
        # Versions follow each other by at least a round trip to the store, so a
        # step of 1 ms is no faster than real time.
        time_ms = max(self.time_ms(now_ms), self.head.time_ms + 1)
        counted_ms = self.known_ms + now_ms - self.known_at_ms
        delta_ms = max(0, counted_ms - time_ms)
        return Reckoning(time_ms + delta_ms, self.known_ms, delta_ms)

    def time_ms(self, now_ms: int) -> int:
        """Return the ledger time if the known version is still in force."""
        return self.head.time_ms + max(0, now_ms - self.confirmed_ms)

    def find(self, key: bytes, time_ms: int) -> LedgerEntry | None:
        """Return the newest entry of the key that has not expired."""
        sources = [(self.index, 0)]
        for ref in reversed(self.head.segments):
            sources.append((self.segments.get(ref.name, {}), ref.shift_ms))
        for source, shift_ms in sources:
            entry = source.get(key)
            if entry is not None:
                entry = entry.aged(time_ms - shift_ms)
            if entry is not None:
                return entry
        return None

    def missing_segment(self) -> str | None:
        """Return a segment that has not been read yet."""
        for ref in self.head.segments:
            if ref.name not in self.segments:
                return ref.name
        return None


class LedgerShard:
    """Ledger of one shard as one process sees it.

    Call ``next_step``, perform the step and pass its answer to ``on_answer``; one
    store call at a time. New work may arrive in between.
    """

    def __init__(
        self,
        key: str,
        instance_number: int,
        clock: Clock,
        random: Random,
        limits: LedgerLimits,
        budget: WriteBudget,
        counter: Callable[[], int],
    ) -> None:
        self.key = key
        self.instance_number = instance_number
        self.clock = clock
        self.random = random
        self.limits = limits
        self.budget = budget
        self.counter = counter
        self.view = LedgerShardView()
        self.highest_version = 0
        self.waiting: list[PendingCall] = []
        self.local: dict[bytes, LedgerEntry] = {}
        self.changes: dict[bytes, Change] = {}
        self.flight: Flight | None = None
        self.seal: Seal | None = None
        self.sweep_due = True
        self.garbage: list[ObjectName] = []
        self.failures = 0
        self.retry_at_ms = 0
        self.slot_ms: int | None = None
        self.contended = 0
        self.last_put_ms = clock.now_ms() - limits.flush_interval_ms

    # Calls of the sidecar

    def begin(self, call: Call) -> PendingCall:
        """Take a call; its ticket is decided now or after further steps."""
        now_ms = self.clock.now_ms()
        ticket = PendingCall(call, self.new_token(), now_ms)
        if not self.decide_local(ticket) and not self.decide_finished(ticket, now_ms):
            self.waiting.append(ticket)
        return ticket

    def give_up(self, ticket: PendingCall, reason: RefusedReason) -> None:
        """Refuse a ticket for good.

        Its token is discarded, so the call cannot run even if the intent is or
        becomes durable; in that case the intent is removed later.
        """
        if ticket.decision is not None:
            return
        in_flight = self.flight is not None and ticket in self.flight.tickets
        if ticket in self.waiting:
            self.waiting.remove(ticket)
        if in_flight or ticket.unresolved is not None:
            self.change(ticket.entry(0), None)
        entry = self.view.find(ticket.key, self.view.head.time_ms)
        if entry is None or entry.token == ticket.token or self.is_released(entry):
            ticket.decide(Refused(reason))
        else:
            # An earlier copy is recorded, although the record may be old.
            self.decide_entry(ticket, entry, UnknownReason.NO_RESULT)

    def discard(self, ticket: PendingCall) -> None:
        """Withdraw a ticket whose caller is gone."""
        if isinstance(ticket.decision, Run):
            self.release(ticket.decision.token)
        self.give_up(ticket, RefusedReason.STORE_UNAVAILABLE)

    def finish(self, token: RunToken, result: CallResult) -> None:
        """Record the result of a call that ran."""
        if self.local.get(token.entry.key) is not token.entry:
            return
        kept = limited(result)
        self.local[token.entry.key] = token.entry.finished(kept, token.entry.at_ms)
        self.change(token.entry, kept)

    def release(
        self, token: RunToken, listener: Callable[[], None] | None = None
    ) -> bool:
        """Record that a call provably never reached the server.

        Returns false if the token was used up before. The listener is told when
        other processes may run the call.
        """
        if self.local.get(token.entry.key) is token.entry:
            del self.local[token.entry.key]
        elif not self.is_being_released(token.entry):
            return False
        self.change(token.entry, None, listener)
        return True

    def abandon(self, token: RunToken) -> None:
        """Record that a call was sent and ended without a result.

        Copies of it are answered as unknown. Unlike an open intent the entry
        expires, because no process can still be about to run the call.
        """
        self.finish(token, NO_RESULT)

    def start(self, token: RunToken) -> bool:
        """Tell whether the call may be sent to the server now.

        After the deadline the answer is no and the token is released.
        """
        if self.local.get(token.entry.key) is not token.entry:
            return False
        if self.clock.now_ms() >= token.run_before_ms:
            self.release(token)
            return False
        return True

    # Steps

    def next_step(self) -> Step | None:
        """Return the next store call or wait, or nothing if there is no work."""
        now_ms = self.clock.now_ms()
        if not self.has_work():
            return self.clean_up_step()
        if now_ms < self.retry_at_ms:
            return Wait(self.retry_at_ms)
        if self.view.version is None:
            return Get(self.key)
        if self.waiting and (name := self.view.missing_segment()) is not None:
            return Get(name)
        self.decide_known(now_ms)
        if self.view.version is None:
            return Get(self.key)
        if not self.has_work():
            return self.clean_up_step()
        due_ms = self.due_ms(now_ms)
        if now_ms < due_ms:
            return Wait(due_ms)
        if self.contended and now_ms - self.view.confirmed_ms > FRESH_MS:
            # Another owner has probably written while this one waited its turn.
            return Get(self.key)
        return self.write_step(now_ms)

    def on_answer(self, step: Step, answer: Result) -> None:
        """Take the answer of a store call."""
        if isinstance(step, Delete):
            return
        if isinstance(step, ListNames):
            self.on_segments_listed(answer)
        elif isinstance(step, Get):
            if step.key == self.key:
                self.on_head_read(answer)
            else:
                self.on_segment_read(step, answer)
        elif step.key == self.key:
            self.on_head_written(answer)
        else:
            self.on_segment_written(answer)

    def has_work(self) -> bool:
        """Tell whether calls or changes wait for the store."""
        return bool(self.waiting or self.changes)

    def due_ms(self, now_ms: int) -> int:
        """Return when the next batch may be written."""
        due_ms = self.last_put_ms + self.limits.flush_interval_ms
        if not self.waiting:
            first_ms = min(change.due_ms for change in self.changes.values())
            due_ms = max(due_ms, first_ms)
        if now_ms >= due_ms and self.slot_ms is None:
            self.slot_ms = self.budget.reserve(now_ms)
        return due_ms if self.slot_ms is None else max(due_ms, self.slot_ms)

    def clean_up_step(self) -> Step | None:
        """Return the next step that removes unreferenced segments, if any."""
        if self.garbage:
            name = self.garbage.pop()
            return Delete(name.key, name.version)
        if self.sweep_due and self.view.version is not None:
            self.sweep_due = False
            return ListNames(f"{self.key}/segments/")
        return None

    # Decisions from what is known

    def decide_local(self, ticket: PendingCall) -> bool:
        """Decide from calls that run or ran in this process."""
        entry = self.local.get(ticket.key)
        if entry is not None:
            self.decide_entry(ticket, entry, UnknownReason.IN_PROGRESS)
        return entry is not None

    def decide_finished(self, ticket: PendingCall, now_ms: int) -> bool:
        """Decide from a finished entry of a possibly old head.

        A result never changes, so it may be repeated without asking the store.
        """
        entry = self.view.find(ticket.key, self.view.time_ms(now_ms))
        if entry is None or entry.result is None:
            return False
        self.decide_entry(ticket, entry, UnknownReason.NO_RESULT)
        return True

    def decide_entry(
        self, ticket: PendingCall, entry: LedgerEntry, reason: UnknownReason
    ) -> None:
        """Decide a ticket whose key is recorded."""
        if entry.fingerprint != ticket.fingerprint:
            ticket.decide(Refused(RefusedReason.KEY_REUSED))
        elif entry.result == NO_RESULT:
            ticket.decide(Unknown(UnknownReason.NO_RESULT))
        elif entry.result is not None:
            ticket.decide(Repeat(entry.result))
        else:
            ticket.decide(Unknown(reason))

    def decide_known(self, now_ms: int) -> None:
        """Decide the waiting tickets whose key is recorded."""
        time_ms = self.view.time_ms(now_ms)
        for ticket in list(self.waiting):
            if not self.decide_local(ticket):
                entry = self.view.find(ticket.key, time_ms)
                if entry is None or self.is_released(entry):
                    continue
                if entry.result is None and self.view.confirmed_ms < ticket.arrived_ms:
                    # The holder may have finished or released the call meanwhile.
                    self.view.version = None
                    continue
                self.decide_entry(ticket, entry, UnknownReason.NO_RESULT)
            self.waiting.remove(ticket)

    def is_released(self, entry: LedgerEntry) -> bool:
        """Tell whether this process is about to remove its own intent."""
        return self.is_being_released(entry) and entry.token in self.view.tokens

    def is_being_released(self, entry: LedgerEntry) -> bool:
        """Tell whether the release of an entry waits to be written."""
        change = self.changes.get(entry.token)
        return change is not None and change.result is None

    # Writing

    def write_step(self, now_ms: int) -> Step | None:
        """Return the write of the next batch, or of a segment that must precede it."""
        assert self.view.version is not None
        seal = self.seal
        if seal is not None and seal.base_version != self.view.version:
            self.seal = None
            self.sweep_due = True
        flight = self.build(now_ms)
        value = encode_head(flight.head)
        if len(value) > self.limits.seal_bytes and self.seal is None:
            step = self.seal_step()
            if step is not None:
                self.slot_ms = None
                return step
        if len(value) > self.limits.head_bytes and flight.tickets:
            for ticket in flight.tickets:
                self.give_up(ticket, RefusedReason.SHARD_FULL)
            return self.next_step()
        self.flight = flight
        self.last_put_ms = now_ms
        self.slot_ms = None
        return Put(self.key, value, flight.expected_version)

    def build(self, now_ms: int) -> Flight:
        """Return the next head and what depends on its write."""
        assert self.view.version is not None
        reckoning = self.view.reckon(now_ms)
        time_ms = reckoning.time_ms
        changes = list(self.changes.values())
        entries, segments = self.carried_over(reckoning)
        present = {entry.token for entry in entries}
        for change in changes:
            if change.result is not None and change.entry.token not in present:
                entries.append(change.entry.finished(change.result, time_ms))
        tickets = self.batch()
        entries += [ticket.entry(time_ms) for ticket in tickets]
        head = ShardHead(time_ms, entries, segments)
        return Flight(head, self.view.version, tickets, changes)

    def carried_over(
        self, reckoning: Reckoning
    ) -> tuple[list[LedgerEntry], list[SegmentRef]]:
        """Return the entries and segments that the next head keeps."""
        entries, segments = [], []
        time_ms = reckoning.time_ms
        moved = self.seal.moved if self.seal else frozenset()
        merged = self.seal.merged if self.seal else frozenset()
        for ref in self.view.head.segments:
            if ref.name in merged:
                continue
            ref = reckoning.corrected_ref(ref)
            if self.is_old(ref, time_ms) and not self.survivors(ref, time_ms):
                self.sweep_due = True
            else:
                segments.append(ref)
        if self.seal:
            segments.append(reckoning.corrected_ref(self.seal.ref))
        for entry in self.view.head.entries:
            if entry.token not in moved:
                entry = reckoning.corrected(entry)
                kept = self.changed(entry, time_ms).aged(time_ms)
                if kept is not None and not self.is_released(entry):
                    entries.append(kept)
        return entries, segments

    def changed(self, entry: LedgerEntry, time_ms: int) -> LedgerEntry:
        """Return the entry with its pending result, if there is one."""
        change = self.changes.get(entry.token)
        if change is None or change.result is None or entry.result is not None:
            return entry
        return entry.finished(change.result, time_ms)

    def is_old(self, ref: SegmentRef, time_ms: int) -> bool:
        """Tell whether all results of a segment that was read have expired."""
        old = time_ms - ref.newest_ms >= KEY_RETENTION_MS
        return old and ref.name in self.view.segments

    def survivors(self, ref: SegmentRef, time_ms: int) -> list[LedgerEntry]:
        """Return the entries of a segment that have not expired.

        In an old segment these are calls without a result. They move on to the
        next segment and not through the head, which they could fill.
        """
        entries = self.view.segments[ref.name].values()
        aged = [entry.shifted(ref.shift_ms).aged(time_ms) for entry in entries]
        return [entry for entry in aged if entry is not None]

    def batch(self) -> list[PendingCall]:
        """Return the tickets of the next write, at most one per key."""
        chosen: dict[bytes, PendingCall] = {}
        for ticket in self.waiting:
            chosen.setdefault(ticket.key, ticket)
        return list(chosen.values())[: self.limits.batch_calls]

    # Sealing

    def seal_step(self) -> Step | None:
        """Return the creation of a segment with entries that the head may drop.

        Times are those of the known head; the next head corrects the reference.
        """
        time_ms = self.view.head.time_ms
        moved = [entry for entry in self.view.head.entries if self.may_move(entry)]
        if not moved or self.view.version is None:
            return None
        merged, older = self.merge_candidates(moved, time_ms)
        if len(self.view.head.segments) - len(merged) >= self.limits.segments:
            return None
        entries = []
        for entry in older + moved:
            if (kept := entry.aged(time_ms)) is not None:
                entries.append(kept)
        value = encode_segment(entries)
        newest_ms = max(entry.at_ms for entry in entries) if entries else 0
        name = f"{self.key}/segments/{self.view.version}-{self.new_token().hex()}"
        self.seal = Seal(
            SegmentRef(name, len(value), newest_ms),
            entries,
            self.view.version,
            frozenset(entry.token for entry in moved),
            frozenset(merged),
        )
        return Put(name, value, CREATE)

    def may_move(self, entry: LedgerEntry) -> bool:
        """Tell whether an entry of the head may move to a segment."""
        if entry.token in self.changes:
            return False
        age_ms = self.view.head.time_ms - entry.at_ms
        return entry.result is not None or age_ms >= self.limits.abandoned_after_ms

    def merge_candidates(
        self, moved: list[LedgerEntry], time_ms: int
    ) -> tuple[list[str], list[LedgerEntry]]:
        """Return segments to merge, with what is left of their entries.

        These are the newest ones of similar size, and old ones.
        """
        size_bytes = len(encode_segment(moved))
        names: list[str] = []
        older: list[LedgerEntry] = []
        is_similar = True
        for ref in reversed(self.view.head.segments):
            if ref.name not in self.view.segments:
                break
            is_similar = is_similar and ref.size_bytes <= 2 * size_bytes
            if not is_similar and not self.is_old(ref, time_ms):
                continue
            entries = self.survivors(ref, time_ms)
            total_bytes = size_bytes + len(encode_segment(entries))
            if total_bytes > self.limits.segment_bytes:
                break
            size_bytes = total_bytes
            names.append(ref.name)
            older = entries + older
        return names, older

    # Answers

    def on_head_read(self, answer: Result[StoredObject | None, StoreError]) -> None:
        """Take the head that was read and settle writes with an open outcome."""
        now_ms = self.clock.now_ms()
        if isinstance(answer, Err):
            self.back_off(answer.err_value.kind)
            return
        stored = answer.ok_value
        version = stored.version if stored else CREATE
        if version < self.highest_version:
            self.back_off(StoreErrorKind.UNAVAILABLE)
            return
        self.highest_version = version
        try:
            head = decode_head(stored.value) if stored else ShardHead()
        except MsgspecError as error:
            log_event(MALFORMED, key=self.key, error=error)
            self.back_off(StoreErrorKind.UNAVAILABLE)
            return
        self.view.set_head(head, version, now_ms)
        if self.seal is not None and any(
            ref.name == self.seal.ref.name for ref in head.segments
        ):
            self.adopt_seal()
        for ticket in list(self.waiting):
            self.settle(ticket, version)

    def settle(self, ticket: PendingCall, version: int) -> None:
        """Decide whether the ticket's intent took effect, if the head tells."""
        if ticket.unresolved is None:
            return
        if ticket.token in self.view.tokens:
            self.waiting.remove(ticket)
            self.allow(ticket)
        elif version != ticket.unresolved:
            # The write expected a version that is gone, so it cannot land later.
            ticket.unresolved = None

    def on_segment_read(self, step: Get, answer: Result) -> None:
        """Take a segment; without it the head may be old and is read again."""
        if isinstance(answer, Err):
            self.back_off(answer.err_value.kind)
        elif answer.ok_value is None:
            self.view.version = None
            self.back_off(StoreErrorKind.CONFLICT)
        else:
            try:
                entries = decode_segment(answer.ok_value.value)
            except MsgspecError as error:
                log_event(MALFORMED, key=step.key, error=error)
                self.back_off(StoreErrorKind.UNAVAILABLE)
                return
            self.view.segments[step.key] = {entry.key: entry for entry in entries}

    def on_segments_listed(self, answer: Result[list[ObjectName], StoreError]) -> None:
        """Choose the segments to delete.

        A segment can only be referred to by the successor of the head version in
        its name. If that version is gone and the head does not refer to the
        segment, no head ever will.
        """
        version = self.view.version
        if isinstance(answer, Err) or version is None:
            return
        used = {ref.name for ref in self.view.head.segments}
        for name in answer.ok_value:
            base = name.key.rpartition("/")[2].partition("-")[0]
            if name.key not in used and base.isdigit() and int(base) < version:
                self.garbage.append(name)

    def on_head_written(self, answer: Result[int, StoreError]) -> None:
        """Take the outcome of the head write in flight."""
        flight = self.flight
        assert flight is not None
        self.flight = None
        now_ms = self.clock.now_ms()
        if isinstance(answer, Ok):
            self.on_head_durable(flight, answer.ok_value, now_ms)
            return
        kind = answer.err_value.kind
        if kind in (StoreErrorKind.AMBIGUOUS, StoreErrorKind.CONFLICT):
            # A conflict can hide an own write that a lower layer repeated, so it
            # is settled by reading back as well.
            self.view.version = None
            if kind is StoreErrorKind.CONFLICT:
                self.contended = CONTENDED_WRITES
            for ticket in flight.tickets:
                ticket.unresolved = flight.expected_version
        elif kind is StoreErrorKind.TOO_LARGE:
            for ticket in flight.tickets:
                self.give_up(ticket, RefusedReason.SHARD_FULL)
        self.back_off(kind)

    def on_head_durable(self, flight: Flight, version: int, now_ms: int) -> None:
        """Take over the written head, allow its calls and forget its changes."""
        self.failures = 0
        self.contended = max(0, self.contended - 1)
        self.highest_version = max(self.highest_version, version)
        if self.seal is not None:
            self.adopt_seal()
        self.view.set_head(flight.head, version, now_ms)
        self.view.set_known()
        for change in flight.changes:
            self.forget(change)
        for ticket in flight.tickets:
            if ticket.decision is None:
                self.waiting.remove(ticket)
                self.allow(ticket)

    def adopt_seal(self) -> None:
        """Keep the entries of the own segment that a head now refers to."""
        assert self.seal is not None
        entries = {entry.key: entry for entry in self.seal.entries}
        self.view.segments[self.seal.ref.name] = entries
        self.seal = None
        self.sweep_due = True

    def forget(self, change: Change) -> None:
        """Drop a change that is durable."""
        if self.changes.get(change.entry.token) is change:
            del self.changes[change.entry.token]
            if change.listener is not None:
                change.listener()
        local = self.local.get(change.entry.key)
        if local is not None and local.token == change.entry.token:
            del self.local[change.entry.key]

    def allow(self, ticket: PendingCall) -> None:
        """Let the call run."""
        entry = self.view.index[ticket.key]
        self.local[ticket.key] = entry
        ticket.decide(Run(RunToken(self.key, entry, ticket.call.deadline_ms)))

    def on_segment_written(self, answer: Result[int, StoreError]) -> None:
        """Take the outcome of creating a segment."""
        assert self.seal is not None
        if isinstance(answer, Err):
            self.seal = None
            self.sweep_due = True
            self.back_off(answer.err_value.kind)

    # Small helpers

    def change(
        self,
        entry: LedgerEntry,
        result: CallResult | None,
        listener: Callable[[], None] | None = None,
    ) -> None:
        """Note a change for the next batch.

        A result may wait for the next intent, a release makes a retry possible.
        """
        delay_ms = self.limits.result_delay_ms if result is not None else 0
        due_ms = self.clock.now_ms() + delay_ms
        self.changes[entry.token] = Change(entry, result, due_ms, listener)

    def back_off(self, kind: StoreErrorKind) -> None:
        """Wait with jitter before the next store call."""
        limits = self.limits
        if kind in (StoreErrorKind.CONFLICT, StoreErrorKind.AMBIGUOUS):
            base_ms, max_ms = limits.conflict_backoff_ms, limits.max_conflict_backoff_ms
        else:
            base_ms, max_ms = limits.outage_backoff_ms, limits.max_outage_backoff_ms
        delay_ms = min(max_ms, base_ms << min(self.failures, 10))
        self.failures += 1
        jittered_ms = int(delay_ms * self.random.uniform(0.5, 1.0))
        self.retry_at_ms = self.clock.now_ms() + jittered_ms

    def new_token(self) -> bytes:
        """Return bytes that no other intent or segment has."""
        return self.instance_number.to_bytes(
            INSTANCE_BYTES, "big"
        ) + self.counter().to_bytes(COUNTER_BYTES, "big")

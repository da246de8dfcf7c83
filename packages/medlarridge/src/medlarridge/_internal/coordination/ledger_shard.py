"""Decisions for one shard of the at-most-once ledger; does no I/O.

``LedgerShard`` returns the next store call to make and processes its result.
``state.ledger_runner`` makes the calls.
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
    limit_size,
)
from .steps import Delete, Get, ListNames, Put, Step, Wait

MALFORMED = register(3000, "ERROR", "ledger object is malformed")
REREAD_WRITES_AFTER_CONFLICT = 10
"""After a conflict, this many writes are each preceded by a read if the view is old."""
MAX_VIEW_AGE_MS = 10
INSTANCE_BYTES = 6
COUNTER_BYTES = 6


class PendingCall:
    """A call that waits for its decision.

    ``unresolved_version`` is set while it is unknown whether a write with this intent
    took effect. It is the head version that the write expected.
    """

    def __init__(self, call: Call, token: bytes, arrived_ms: int) -> None:
        self.call = call
        self.key = call.digest
        self.fingerprint = fingerprint_digest(call.fingerprint)
        self.token = token
        self.arrived_ms = arrived_ms
        self.decision: LedgerDecision | None = None
        self.unresolved_version: int | None = None
        self.listener: Callable[[], None] | None = None

    def decide(self, decision: LedgerDecision) -> None:
        """Set the decision, unless it is set already, and notify the listener."""
        if self.decision is not None:
            return
        self.decision = decision
        if self.listener is not None:
            self.listener()

    def entry(self, at_ms: int) -> LedgerEntry:
        """Return the intent to run the call, as an entry without a result."""
        return LedgerEntry(self.key, self.fingerprint, self.token, at_ms)


@dataclass(frozen=True)
class EntryChange:
    """Unwritten result of an own entry, or its release if the result is ``None``."""

    entry: LedgerEntry
    result: CallResult | None
    due_ms: int
    listener: Callable[[], None] | None = None


@dataclass(frozen=True)
class HeadWrite:
    """The head write in flight, with the calls and changes that it stores."""

    head: ShardHead
    expected_version: int
    pending_calls: list[PendingCall]
    changes: list[EntryChange]


@dataclass(frozen=True)
class NewSegment:
    """A segment that was created for the successor of ``base_version``.

    ``moved_tokens`` are the entries that it takes over from the head, ``merged_names``
    the older segments that it replaces.
    """

    ref: SegmentRef
    entries: list[LedgerEntry]
    base_version: int
    moved_tokens: frozenset[bytes]
    merged_names: frozenset[str]


@dataclass(frozen=True)
class VersionTimes:
    """Ledger time of the next version, and the correction of newer entries.

    The baseline of a process is the last version that it wrote, or the first that it
    read. Entries of that version have aged by the time that has passed since on the
    local clock, so the ledger time advances by it. Newer entries of other processes
    (``at_ms`` above ``baseline_ms``) keep the age that they have in the current
    version, so their times are moved by ``delta_ms``. Without this, the ledger time
    would hardly advance when two processes write in turn.
    """

    time_ms: int
    baseline_ms: int
    delta_ms: int

    def corrected_entry(self, entry: LedgerEntry) -> LedgerEntry:
        """Return an entry of the head with its time in the next version."""
        return entry.shifted(self.delta_ms if entry.at_ms > self.baseline_ms else 0)

    def corrected_ref(self, ref: SegmentRef) -> SegmentRef:
        """Return a segment reference with its times in the next version."""
        return ref.shifted(self.delta_ms if ref.newest_ms > self.baseline_ms else 0)


@dataclass
class LedgerShardView:
    """Last known state of a shard in one process.

    ``version`` is ``None`` if the head must be read again. ``confirmed_ms`` is the
    local time at which the head was known to be current. ``baseline_ms`` is the ledger
    time of the baseline (see ``VersionTimes``) and ``baseline_at_ms`` its local time.
    """

    head: ShardHead = field(default_factory=ShardHead)
    version: int | None = None
    confirmed_ms: int = 0
    baseline_ms: int | None = None
    baseline_at_ms: int = 0
    index: dict[bytes, LedgerEntry] = field(default_factory=dict)
    tokens: set[bytes] = field(default_factory=set)
    segments: dict[str, dict[bytes, LedgerEntry]] = field(default_factory=dict)

    def set_head(self, head: ShardHead, version: int, now_ms: int) -> None:
        """Set a head that was current at ``now_ms`` or before."""
        self.head = head
        self.version = version
        self.confirmed_ms = now_ms
        if self.baseline_ms is None:
            self.reset_baseline()
        self.index = {entry.key: entry for entry in head.entries}
        self.tokens = {entry.token for entry in head.entries}
        names = {ref.name for ref in head.segments}
        for name in self.segments.keys() - names:
            del self.segments[name]

    def reset_baseline(self) -> None:
        """Use the current head as the baseline of the ledger time."""
        self.baseline_ms = self.head.time_ms
        self.baseline_at_ms = self.confirmed_ms

    def next_times(self, now_ms: int) -> VersionTimes:
        """Return the times of a version that is written now."""
        assert self.baseline_ms is not None
        # There is at least one round trip to the store between two versions, so a
        # step of 1 ms does not run ahead of real time.
        time_ms = max(self.time_ms(now_ms), self.head.time_ms + 1)
        baseline_time_ms = self.baseline_ms + now_ms - self.baseline_at_ms
        delta_ms = max(0, baseline_time_ms - time_ms)
        return VersionTimes(time_ms + delta_ms, self.baseline_ms, delta_ms)

    def time_ms(self, now_ms: int) -> int:
        """Return the ledger time, provided that the known version is still current."""
        return self.head.time_ms + max(0, now_ms - self.confirmed_ms)

    def find(self, key: bytes, time_ms: int) -> LedgerEntry | None:
        """Return the newest unexpired entry of a key."""
        lookups = [(self.index, 0)]
        for ref in reversed(self.head.segments):
            lookups.append((self.segments.get(ref.name, {}), ref.shift_ms))
        for entries_by_key, shift_ms in lookups:
            entry = entries_by_key.get(key)
            if entry is not None:
                entry = entry.unexpired(time_ms - shift_ms)
            if entry is not None:
                return entry
        return None

    def missing_segment(self) -> str | None:
        """Return the name of a segment that has not been read yet."""
        for ref in self.head.segments:
            if ref.name not in self.segments:
                return ref.name
        return None


class LedgerShard:
    """One shard of the ledger in one process.

    The owner calls ``next_step``, executes the step and passes its result to
    ``on_result``, one store call at a time. New calls may arrive in between.
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
        self.own_entries: dict[bytes, LedgerEntry] = {}
        self.changes: dict[bytes, EntryChange] = {}
        self.head_write: HeadWrite | None = None
        self.new_segment: NewSegment | None = None
        self.cleanup_due = True
        self.unreferenced: list[ObjectName] = []
        self.failures = 0
        self.retry_at_ms = 0
        self.write_slot_ms: int | None = None
        self.rereads_left = 0
        self.last_put_ms = clock.now_ms() - limits.flush_interval_ms

    # Methods for the sidecar

    def begin(self, call: Call) -> PendingCall:
        """Accept a call; it is decided at once or after further steps."""
        now_ms = self.clock.now_ms()
        pending = PendingCall(call, self.new_token(), now_ms)
        if not self.decide_from_own_entries(pending) and not self.decide_from_result(
            pending, now_ms
        ):
            self.waiting.append(pending)
        return pending

    def give_up(self, pending: PendingCall, reason: RefusedReason) -> None:
        """Refuse a pending call permanently.

        Its token is discarded, so the call cannot run even if its intent is stored now
        or later. In that case the intent is removed by a later write.
        """
        if pending.decision is not None:
            return
        in_flight = (
            self.head_write is not None and pending in self.head_write.pending_calls
        )
        if pending in self.waiting:
            self.waiting.remove(pending)
        if in_flight or pending.unresolved_version is not None:
            self.record_change(pending.entry(0), None)
        entry = self.view.find(pending.key, self.view.head.time_ms)
        if (
            entry is None
            or entry.token == pending.token
            or self.is_stored_release_pending(entry)
        ):
            pending.decide(Refused(reason))
        else:
            # An earlier copy of the call is recorded, in a possibly outdated view.
            self.decide_entry(pending, entry, UnknownReason.NO_RESULT)

    def discard(self, pending: PendingCall) -> None:
        """Drop a pending call whose caller has disconnected."""
        if isinstance(pending.decision, Run):
            self.release(pending.decision.token)
        self.give_up(pending, RefusedReason.STORE_UNAVAILABLE)

    def finish(self, token: RunToken, result: CallResult) -> None:
        """Record the result of a call that ran."""
        if self.own_entries.get(token.entry.key) is not token.entry:
            return
        kept = limit_size(result)
        self.own_entries[token.entry.key] = token.entry.with_result(
            kept, token.entry.at_ms
        )
        self.record_change(token.entry, kept)

    def release(
        self, token: RunToken, listener: Callable[[], None] | None = None
    ) -> bool:
        """Record that a call certainly never reached the server.

        Return ``False`` if the token was already used. The listener is called when
        other processes may run the call.
        """
        if self.own_entries.get(token.entry.key) is token.entry:
            del self.own_entries[token.entry.key]
        elif not self.has_pending_release(token.entry):
            return False
        self.record_change(token.entry, None, listener)
        return True

    def abandon(self, token: RunToken) -> None:
        """Record that a call was sent but ended without a result.

        The outcome of its copies is unknown. Unlike an open intent, the entry expires,
        because no process can still run the call.
        """
        self.finish(token, NO_RESULT)

    def start(self, token: RunToken) -> bool:
        """Return whether the call may be sent to the server now.

        After the deadline it may not, and its token is released.
        """
        if self.own_entries.get(token.entry.key) is not token.entry:
            return False
        if self.clock.now_ms() >= token.run_before_ms:
            self.release(token)
            return False
        return True

    # Steps

    def next_step(self) -> Step | None:
        """Return the next store call or wait, ``None`` if there is no work."""
        now_ms = self.clock.now_ms()
        if not self.has_work():
            return self.clean_up_step()
        if now_ms < self.retry_at_ms:
            return Wait(self.retry_at_ms)
        if self.view.version is None:
            return Get(self.key)
        if self.waiting and (name := self.view.missing_segment()) is not None:
            return Get(name)
        self.decide_recorded(now_ms)
        if self.view.version is None:
            return Get(self.key)
        if not self.has_work():
            return self.clean_up_step()
        due_ms = self.due_ms(now_ms)
        if now_ms < due_ms:
            return Wait(due_ms)
        if self.rereads_left and now_ms - self.view.confirmed_ms > MAX_VIEW_AGE_MS:
            # Another process has probably written while this one waited.
            return Get(self.key)
        return self.write_step(now_ms)

    def on_result(self, step: Step, result: Result) -> None:
        """Handle the result of a store call."""
        if isinstance(step, Delete):
            return
        if isinstance(step, ListNames):
            self.on_segments_listed(result)
        elif isinstance(step, Get):
            if step.key == self.key:
                self.on_head_read(result)
            else:
                self.on_segment_read(step, result)
        elif step.key == self.key:
            self.on_head_written(result)
        else:
            self.on_segment_written(result)

    def has_work(self) -> bool:
        """Return whether calls or changes are waiting for the store."""
        return bool(self.waiting or self.changes)

    def due_ms(self, now_ms: int) -> int:
        """Return the time at which the next batch may be written."""
        due_ms = self.last_put_ms + self.limits.flush_interval_ms
        if not self.waiting:
            first_ms = min(change.due_ms for change in self.changes.values())
            due_ms = max(due_ms, first_ms)
        if now_ms >= due_ms and self.write_slot_ms is None:
            self.write_slot_ms = self.budget.reserve(now_ms)
        return due_ms if self.write_slot_ms is None else max(due_ms, self.write_slot_ms)

    def clean_up_step(self) -> Step | None:
        """Return the next step to delete unreferenced segments, ``None`` if done."""
        if self.unreferenced:
            name = self.unreferenced.pop()
            return Delete(name.key, name.version)
        if self.cleanup_due and self.view.version is not None:
            self.cleanup_due = False
            return ListNames(f"{self.key}/segments/")
        return None

    # Decisions from the known state

    def decide_from_own_entries(self, pending: PendingCall) -> bool:
        """Decide a call that runs or ran in this process; return whether it is one."""
        entry = self.own_entries.get(pending.key)
        if entry is not None:
            self.decide_entry(pending, entry, UnknownReason.IN_PROGRESS)
        return entry is not None

    def decide_from_result(self, pending: PendingCall, now_ms: int) -> bool:
        """Decide a call that has a result in the view; return whether it has.

        The view may be outdated, but a result never changes, so it can be repeated
        without a read from the store.
        """
        entry = self.view.find(pending.key, self.view.time_ms(now_ms))
        if entry is None or entry.result is None:
            return False
        self.decide_entry(pending, entry, UnknownReason.NO_RESULT)
        return True

    def decide_entry(
        self, pending: PendingCall, entry: LedgerEntry, reason: UnknownReason
    ) -> None:
        """Decide a pending call from the entry recorded under its key."""
        if entry.fingerprint != pending.fingerprint:
            pending.decide(Refused(RefusedReason.KEY_REUSED))
        elif entry.result == NO_RESULT:
            pending.decide(Unknown(UnknownReason.NO_RESULT))
        elif entry.result is not None:
            pending.decide(Repeat(entry.result))
        else:
            pending.decide(Unknown(reason))

    def decide_recorded(self, now_ms: int) -> None:
        """Decide the waiting calls whose keys are recorded in the view."""
        time_ms = self.view.time_ms(now_ms)
        for pending in list(self.waiting):
            if not self.decide_from_own_entries(pending):
                entry = self.view.find(pending.key, time_ms)
                if entry is None or self.is_stored_release_pending(entry):
                    continue
                if entry.result is None and self.view.confirmed_ms < pending.arrived_ms:
                    # The process that holds the token may have finished or released
                    # the call in the meantime, so the head is read again.
                    self.view.version = None
                    continue
                self.decide_entry(pending, entry, UnknownReason.NO_RESULT)
            self.waiting.remove(pending)

    def is_stored_release_pending(self, entry: LedgerEntry) -> bool:
        """Return whether an entry in the stored head is about to be removed."""
        return self.has_pending_release(entry) and entry.token in self.view.tokens

    def has_pending_release(self, entry: LedgerEntry) -> bool:
        """Return whether the release of an entry is waiting to be written."""
        change = self.changes.get(entry.token)
        return change is not None and change.result is None

    # Writing

    def write_step(self, now_ms: int) -> Step | None:
        """Return the write of the next batch, or of a segment that must precede it."""
        assert self.view.version is not None
        new_segment = self.new_segment
        if new_segment is not None and new_segment.base_version != self.view.version:
            self.new_segment = None
            self.cleanup_due = True
        head_write = self.build_head_write(now_ms)
        value = encode_head(head_write.head)
        if len(value) > self.limits.seal_bytes and self.new_segment is None:
            step = self.new_segment_step()
            if step is not None:
                self.write_slot_ms = None
                return step
        if len(value) > self.limits.head_bytes and head_write.pending_calls:
            for pending in head_write.pending_calls:
                self.give_up(pending, RefusedReason.SHARD_FULL)
            return self.next_step()
        self.head_write = head_write
        self.last_put_ms = now_ms
        self.write_slot_ms = None
        return Put(self.key, value, head_write.expected_version)

    def build_head_write(self, now_ms: int) -> HeadWrite:
        """Build the next head, with the calls and changes that it stores."""
        assert self.view.version is not None
        times = self.view.next_times(now_ms)
        time_ms = times.time_ms
        changes = list(self.changes.values())
        entries, segments = self.retained(times)
        present = {entry.token for entry in entries}
        for change in changes:
            if change.result is not None and change.entry.token not in present:
                entries.append(change.entry.with_result(change.result, time_ms))
        pending_calls = self.next_batch()
        entries += [pending.entry(time_ms) for pending in pending_calls]
        head = ShardHead(time_ms, entries, segments)
        return HeadWrite(head, self.view.version, pending_calls, changes)

    def retained(
        self, times: VersionTimes
    ) -> tuple[list[LedgerEntry], list[SegmentRef]]:
        """Return the entries and segments that the next head keeps."""
        entries, segments = [], []
        time_ms = times.time_ms
        moved_tokens = (
            self.new_segment.moved_tokens if self.new_segment else frozenset()
        )
        merged_names = (
            self.new_segment.merged_names if self.new_segment else frozenset()
        )
        for ref in self.view.head.segments:
            if ref.name in merged_names:
                continue
            ref = times.corrected_ref(ref)
            if self.has_expired_results(ref, time_ms) and not self.unexpired_entries(
                ref, time_ms
            ):
                self.cleanup_due = True
            else:
                segments.append(ref)
        if self.new_segment:
            segments.append(times.corrected_ref(self.new_segment.ref))
        for entry in self.view.head.entries:
            if entry.token not in moved_tokens:
                entry = times.corrected_entry(entry)
                kept = self.with_pending_result(entry, time_ms).unexpired(time_ms)
                if kept is not None and not self.is_stored_release_pending(entry):
                    entries.append(kept)
        return entries, segments

    def with_pending_result(self, entry: LedgerEntry, time_ms: int) -> LedgerEntry:
        """Return the entry with its unwritten result, if there is one."""
        change = self.changes.get(entry.token)
        if change is None or change.result is None or entry.result is not None:
            return entry
        return entry.with_result(change.result, time_ms)

    def has_expired_results(self, ref: SegmentRef, time_ms: int) -> bool:
        """Return whether a segment was read and all its results have expired."""
        is_expired = time_ms - ref.newest_ms >= KEY_RETENTION_MS
        return is_expired and ref.name in self.view.segments

    def unexpired_entries(self, ref: SegmentRef, time_ms: int) -> list[LedgerEntry]:
        """Return the unexpired entries of a segment.

        In an old segment these are calls without a result. They are moved directly to
        the next segment, because in the head they could exceed its size.
        """
        entries = self.view.segments[ref.name].values()
        shifted = [entry.shifted(ref.shift_ms).unexpired(time_ms) for entry in entries]
        return [entry for entry in shifted if entry is not None]

    def next_batch(self) -> list[PendingCall]:
        """Return the calls for the next write, at most one per key."""
        by_key: dict[bytes, PendingCall] = {}
        for pending in self.waiting:
            by_key.setdefault(pending.key, pending)
        return list(by_key.values())[: self.limits.batch_calls]

    # Segments

    def new_segment_step(self) -> Step | None:
        """Return the write of a new segment with entries to move out of the head.

        Its times are relative to the known head. The reference in the next head
        corrects them.
        """
        time_ms = self.view.head.time_ms
        moved_entries = [
            entry for entry in self.view.head.entries if self.may_move(entry)
        ]
        if not moved_entries or self.view.version is None:
            return None
        merged_names, merged_entries = self.merge_candidates(moved_entries, time_ms)
        if len(self.view.head.segments) - len(merged_names) >= self.limits.segments:
            return None
        entries = []
        for entry in merged_entries + moved_entries:
            if (kept := entry.unexpired(time_ms)) is not None:
                entries.append(kept)
        value = encode_segment(entries)
        newest_ms = max(entry.at_ms for entry in entries) if entries else 0
        name = f"{self.key}/segments/{self.view.version}-{self.new_token().hex()}"
        self.new_segment = NewSegment(
            SegmentRef(name, len(value), newest_ms),
            entries,
            self.view.version,
            frozenset(entry.token for entry in moved_entries),
            frozenset(merged_names),
        )
        return Put(name, value, CREATE)

    def may_move(self, entry: LedgerEntry) -> bool:
        """Return whether an entry of the head may be moved to a segment."""
        if entry.token in self.changes:
            return False
        age_ms = self.view.head.time_ms - entry.at_ms
        return entry.result is not None or age_ms >= self.limits.abandoned_after_ms

    def merge_candidates(
        self, moved_entries: list[LedgerEntry], time_ms: int
    ) -> tuple[list[str], list[LedgerEntry]]:
        """Return the segments to merge into a new one, and their unexpired entries.

        These are the newest segments of similar size, and those with expired results.
        """
        size_bytes = len(encode_segment(moved_entries))
        names: list[str] = []
        merged_entries: list[LedgerEntry] = []
        is_similar_size = True
        for ref in reversed(self.view.head.segments):
            if ref.name not in self.view.segments:
                break
            is_similar_size = is_similar_size and ref.size_bytes <= 2 * size_bytes
            if not is_similar_size and not self.has_expired_results(ref, time_ms):
                continue
            entries = self.unexpired_entries(ref, time_ms)
            total_bytes = size_bytes + len(encode_segment(entries))
            if total_bytes > self.limits.segment_bytes:
                break
            size_bytes = total_bytes
            names.append(ref.name)
            merged_entries = entries + merged_entries
        return names, merged_entries

    # Results of store calls

    def on_head_read(self, result: Result[StoredObject | None, StoreError]) -> None:
        """Set the head that was read and resolve ambiguous writes."""
        now_ms = self.clock.now_ms()
        if isinstance(result, Err):
            self.back_off(result.err_value.kind)
            return
        stored = result.ok_value
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
        if self.new_segment is not None and any(
            ref.name == self.new_segment.ref.name for ref in head.segments
        ):
            self.adopt_new_segment()
        for pending in list(self.waiting):
            self.resolve(pending, version)

    def resolve(self, pending: PendingCall, version: int) -> None:
        """Resolve whether the write of an intent took effect, if the head shows it."""
        if pending.unresolved_version is None:
            return
        if pending.token in self.view.tokens:
            self.waiting.remove(pending)
            self.allow_run(pending)
        elif version != pending.unresolved_version:
            # The version that the write expected is replaced, so it cannot succeed.
            pending.unresolved_version = None

    def on_segment_read(self, step: Get, result: Result) -> None:
        """Store a segment that was read; if it is missing, read the head again."""
        if isinstance(result, Err):
            self.back_off(result.err_value.kind)
        elif result.ok_value is None:
            self.view.version = None
            self.back_off(StoreErrorKind.CONFLICT)
        else:
            try:
                entries = decode_segment(result.ok_value.value)
            except MsgspecError as error:
                log_event(MALFORMED, key=step.key, error=error)
                self.back_off(StoreErrorKind.UNAVAILABLE)
                return
            self.view.segments[step.key] = {entry.key: entry for entry in entries}

    def on_segments_listed(self, result: Result[list[ObjectName], StoreError]) -> None:
        """Select the segments to delete.

        Only the successor of the head version in its name can start to reference a
        segment. If that version has been replaced and the current head does not
        reference the segment, no later head will.
        """
        version = self.view.version
        if isinstance(result, Err) or version is None:
            return
        referenced = {ref.name for ref in self.view.head.segments}
        for name in result.ok_value:
            base = name.key.rpartition("/")[2].partition("-")[0]
            if name.key not in referenced and base.isdigit() and int(base) < version:
                self.unreferenced.append(name)

    def on_head_written(self, result: Result[int, StoreError]) -> None:
        """Handle the result of the head write in flight."""
        head_write = self.head_write
        assert head_write is not None
        self.head_write = None
        now_ms = self.clock.now_ms()
        if isinstance(result, Ok):
            self.on_head_stored(head_write, result.ok_value, now_ms)
            return
        kind = result.err_value.kind
        if kind in (StoreErrorKind.AMBIGUOUS, StoreErrorKind.CONFLICT):
            # A conflict can also mean that a lower layer repeated this write after it
            # succeeded, so both cases are resolved by reading the head back.
            self.view.version = None
            if kind is StoreErrorKind.CONFLICT:
                self.rereads_left = REREAD_WRITES_AFTER_CONFLICT
            for pending in head_write.pending_calls:
                pending.unresolved_version = head_write.expected_version
        elif kind is StoreErrorKind.TOO_LARGE:
            for pending in head_write.pending_calls:
                self.give_up(pending, RefusedReason.SHARD_FULL)
        self.back_off(kind)

    def on_head_stored(self, head_write: HeadWrite, version: int, now_ms: int) -> None:
        """Set the written head, let its calls run and remove its changes."""
        self.failures = 0
        self.rereads_left = max(0, self.rereads_left - 1)
        self.highest_version = max(self.highest_version, version)
        if self.new_segment is not None:
            self.adopt_new_segment()
        self.view.set_head(head_write.head, version, now_ms)
        self.view.reset_baseline()
        for change in head_write.changes:
            self.remove_change(change)
        for pending in head_write.pending_calls:
            if pending.decision is None:
                self.waiting.remove(pending)
                self.allow_run(pending)

    def adopt_new_segment(self) -> None:
        """Cache the entries of the new segment, which the head now references."""
        assert self.new_segment is not None
        entries = {entry.key: entry for entry in self.new_segment.entries}
        self.view.segments[self.new_segment.ref.name] = entries
        self.new_segment = None
        self.cleanup_due = True

    def remove_change(self, change: EntryChange) -> None:
        """Remove a change that is stored and notify its listener."""
        if self.changes.get(change.entry.token) is change:
            del self.changes[change.entry.token]
            if change.listener is not None:
                change.listener()
        own = self.own_entries.get(change.entry.key)
        if own is not None and own.token == change.entry.token:
            del self.own_entries[change.entry.key]

    def allow_run(self, pending: PendingCall) -> None:
        """Allow a pending call to run."""
        entry = self.view.index[pending.key]
        self.own_entries[pending.key] = entry
        pending.decide(Run(RunToken(self.key, entry, pending.call.deadline_ms)))

    def on_segment_written(self, result: Result[int, StoreError]) -> None:
        """Handle the result of creating a segment."""
        assert self.new_segment is not None
        if isinstance(result, Err):
            self.new_segment = None
            self.cleanup_due = True
            self.back_off(result.err_value.kind)

    # Helpers

    def record_change(
        self,
        entry: LedgerEntry,
        result: CallResult | None,
        listener: Callable[[], None] | None = None,
    ) -> None:
        """Add a change to the next batch.

        A result may wait for the next intent. A release is urgent, because it allows
        another process to retry the call.
        """
        delay_ms = self.limits.result_delay_ms if result is not None else 0
        due_ms = self.clock.now_ms() + delay_ms
        self.changes[entry.token] = EntryChange(entry, result, due_ms, listener)

    def back_off(self, kind: StoreErrorKind) -> None:
        """Delay the next store call exponentially, with jitter."""
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
        """Return a token that is unique among all intents and segments."""
        return self.instance_number.to_bytes(
            INSTANCE_BYTES, "big"
        ) + self.counter().to_bytes(COUNTER_BYTES, "big")

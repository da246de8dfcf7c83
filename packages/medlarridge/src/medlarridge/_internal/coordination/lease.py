"""Lease in the object store with a fencing number; does no I/O.

The clocks of VMs are not synchronised. A contender therefore considers a lease expired
when it has seen the same version of the object for ``LEASE_MS`` on its own clock. A
holder can be paused at any moment, so ``is_held`` is only a hint: each effect must
either pass ``fencing`` to a receiver that refuses lower numbers, or be a conditional
update.
"""

from random import Random

import msgspec
from result import Err, Result

from ..clock import Clock
from ..errors import StoreError, StoreErrorKind
from ..events import register
from ..identity import Instance
from ..log import log_event
from ..state.keys import lease_key
from ..state.store import CREATE, StoredObject
from .steps import Get, Put, Step, Wait

LEASE_MS = 15_000
RENEW_INTERVAL_MS = 5_000
RENEW_JITTER = 0.2
HOLD_MARGIN_MS = 3_000
"""A holder regards its lease as lost this long before a contender may take over."""
ACQUIRED = register(3010, "INFO", "lease acquired")
LOST = register(3011, "WARNING", "lease lost")
MALFORMED = register(3012, "ERROR", "lease object is malformed")


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored state of a lease; it is free if it has no holder."""

    fencing: int = 0
    holder: Instance | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaseRecord)


class Lease:
    """Contends for a named lease on behalf of one process.

    The owner repeatedly calls ``next_step``, executes the step and passes the result to
    ``on_result``. The stored object must never be deleted, because the fencing numbers
    would start again.

    ``version_since_ms`` is the time at which the current version was first seen.
    ``unsettled_since_ms`` is the start of the earliest write with an unknown outcome.
    ``confirmed_ms`` is the time from which a contender counts ``LEASE_MS`` at the
    earliest.
    """

    def __init__(
        self, name: str, instance: Instance, clock: Clock, random: Random
    ) -> None:
        self.key = lease_key(name)
        self.instance = instance
        self.clock = clock
        self.random = random
        self.contending = True
        self.record = LeaseRecord()
        self.version: int | None = None
        self.last_version: int | None = None
        self.version_since_ms = 0
        self.confirmed_ms: int | None = None
        self.just_read = False
        self.next_ms = clock.now_ms()
        self.put_ms = 0
        self.unsettled_since_ms: int | None = None

    @property
    def fencing(self) -> int:
        """Return the fencing number of this process, 0 if it is not the holder."""
        return self.record.fencing if self.is_own() else 0

    def is_held(self) -> bool:
        """Return whether the lease is probably held; a pause can outdate the result."""
        if not self.is_own() or self.confirmed_ms is None:
            return False
        age_ms = self.clock.now_ms() - self.confirmed_ms
        return age_ms < LEASE_MS - HOLD_MARGIN_MS

    def is_own(self) -> bool:
        """Return whether this process is the holder in the last known record."""
        return self.record.holder == self.instance

    def resign(self) -> None:
        """Release the lease with the next step and stop contending."""
        self.contending = False
        self.next_ms = self.clock.now_ms()

    def next_step(self) -> Step:
        """Return the next store call, or a wait."""
        now_ms = self.clock.now_ms()
        if now_ms < self.next_ms:
            return Wait(self.next_ms)
        if self.version is None or (not self.is_own() and not self.just_read):
            return Get(self.key)
        self.just_read = False
        desired = self.desired_record(now_ms)
        if desired is None:
            self.next_ms = now_ms + self.interval_ms()
            return Wait(self.next_ms)
        self.put_ms = now_ms
        if self.unsettled_since_ms is None:
            self.unsettled_since_ms = now_ms
        return Put(self.key, _encoder.encode(desired), self.version)

    def desired_record(self, now_ms: int) -> LeaseRecord | None:
        """Return the record to write, ``None`` to leave the lease unchanged."""
        fencing = self.record.fencing
        if self.is_own():
            return LeaseRecord(fencing, self.instance if self.contending else None)
        expired = now_ms - self.version_since_ms >= LEASE_MS
        if self.contending and (self.record.holder is None or expired):
            return LeaseRecord(fencing + 1, self.instance)
        return None

    def on_result(self, step: Step, result: Result) -> None:
        """Handle the result of a store call."""
        if isinstance(step, Get):
            self.on_read(result)
        elif isinstance(step, Put):
            self.on_written(step, result)

    def on_read(self, result: Result[StoredObject | None, StoreError]) -> None:
        """Handle the result of a read."""
        if isinstance(result, Err):
            self.schedule_retry()
            return
        stored = result.ok_value
        try:
            record = _decoder.decode(stored.value) if stored else LeaseRecord()
        except msgspec.MsgspecError as error:
            log_event(MALFORMED, key=self.key, error=error)
            self.schedule_retry()
            return
        self.just_read = True
        self.adopt_record(record, stored.version if stored else CREATE)

    def on_written(self, step: Put, result: Result[int, StoreError]) -> None:
        """Handle the result of a write; read the record back if it is ambiguous."""
        if isinstance(result, Err):
            if result.err_value.kind is not StoreErrorKind.UNAVAILABLE:
                self.version = None
            elif self.unsettled_since_ms == self.put_ms:
                self.unsettled_since_ms = None
            self.schedule_retry()
            return
        self.unsettled_since_ms = self.put_ms
        self.adopt_record(_decoder.decode(step.value), result.ok_value)
        self.next_ms = self.clock.now_ms() + self.interval_ms()

    def adopt_record(self, record: LeaseRecord, version: int) -> None:
        """Set the current record and log a change of the holder."""
        was_own, was_fencing = self.is_own(), self.record.fencing
        if version != self.last_version:
            self.version_since_ms = self.clock.now_ms()
            if record.holder == self.instance:
                # No unsettled write started earlier, so no contender has seen this
                # version before then.
                self.confirmed_ms = self.unsettled_since_ms
            self.unsettled_since_ms = None
        self.version = self.last_version = version
        self.record = record
        if self.is_own() and not (was_own and was_fencing == record.fencing):
            log_event(ACQUIRED, key=self.key, fencing=record.fencing)
        elif was_own and not self.is_own() and self.contending:
            log_event(LOST, key=self.key, fencing=was_fencing)

    def schedule_retry(self) -> None:
        """Schedule a retry after a fifth of the jittered interval."""
        self.next_ms = self.clock.now_ms() + self.interval_ms() // 5

    def interval_ms(self) -> int:
        """Return the renewal interval with jitter."""
        factor = self.random.uniform(1 - RENEW_JITTER, 1 + RENEW_JITTER)
        return int(RENEW_INTERVAL_MS * factor)

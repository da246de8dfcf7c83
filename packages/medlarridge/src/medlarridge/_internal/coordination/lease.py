"""Lease in the store with a fencing number, decided without input or output.

The clocks of VMs are not synchronised, so a lease has lapsed for a contender when it
saw the object's version unchanged for the lease time on its own clock. A holder may
be paused at any moment: ``is_held`` is a hint, and each effect must carry
``fencing`` to something that refuses lower numbers, or be a conditional update.
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
HINT_MARGIN_MS = 3_000
"""A holder stops believing this long before a contender may take over."""
ACQUIRED = register(3010, "INFO", "lease acquired")
LOST = register(3011, "WARNING", "lease lost")
MALFORMED = register(3012, "ERROR", "lease object is malformed")


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the store holds; without a holder the lease is free."""

    fencing: int = 0
    holder: Instance | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaseRecord)


class Lease:
    """One process's part in the competition for a duty.

    Call ``next_step``, perform it and pass the answer to ``on_answer``, forever.
    The object must never be deleted, or the fencing number would start again.
    """

    def __init__(
        self, duty: str, instance: Instance, clock: Clock, random: Random
    ) -> None:
        self.key = lease_key(duty)
        self.instance = instance
        self.clock = clock
        self.random = random
        self.contending = True
        self.record = LeaseRecord()
        self.version: int | None = None
        self.version_seen: int | None = None
        self.observed_ms = 0
        self.confirmed_ms: int | None = None
        self.fresh = False
        self.next_ms = clock.now_ms()
        self.put_ms = 0
        self.open_since_ms: int | None = None

    @property
    def fencing(self) -> int:
        """Return the fencing number of the own term, 0 if there is none."""
        return self.record.fencing if self.is_own() else 0

    def is_held(self) -> bool:
        """Tell whether the lease is probably held; a pause can make this untrue."""
        if not self.is_own() or self.confirmed_ms is None:
            return False
        age_ms = self.clock.now_ms() - self.confirmed_ms
        return age_ms < LEASE_MS - HINT_MARGIN_MS

    def is_own(self) -> bool:
        """Tell whether the last known record names this process."""
        return self.record.holder == self.instance

    def resign(self) -> None:
        """Give the lease up with the next step and stop contending."""
        self.contending = False
        self.next_ms = self.clock.now_ms()

    def next_step(self) -> Step:
        """Return the next store call or wait."""
        now_ms = self.clock.now_ms()
        if now_ms < self.next_ms:
            return Wait(self.next_ms)
        if self.version is None or (not self.is_own() and not self.fresh):
            return Get(self.key)
        self.fresh = False
        wanted = self.wanted_record(now_ms)
        if wanted is None:
            self.next_ms = now_ms + self.interval_ms()
            return Wait(self.next_ms)
        self.put_ms = now_ms
        if self.open_since_ms is None:
            self.open_since_ms = now_ms
        return Put(self.key, _encoder.encode(wanted), self.version)

    def wanted_record(self, now_ms: int) -> LeaseRecord | None:
        """Return the record to write, or nothing to leave the lease as it is."""
        fencing = self.record.fencing
        if self.is_own():
            return LeaseRecord(fencing, self.instance if self.contending else None)
        lapsed = now_ms - self.observed_ms >= LEASE_MS
        if self.contending and (self.record.holder is None or lapsed):
            return LeaseRecord(fencing + 1, self.instance)
        return None

    def on_answer(self, step: Step, answer: Result) -> None:
        """Take the answer of a store call."""
        if isinstance(step, Get):
            self.on_read(answer)
        elif isinstance(step, Put):
            self.on_written(step, answer)

    def on_read(self, answer: Result[StoredObject | None, StoreError]) -> None:
        """Take the record that was read."""
        if isinstance(answer, Err):
            self.try_later()
            return
        stored = answer.ok_value
        try:
            record = _decoder.decode(stored.value) if stored else LeaseRecord()
        except msgspec.MsgspecError as error:
            log_event(MALFORMED, key=self.key, error=error)
            self.try_later()
            return
        self.fresh = True
        self.take_over(record, stored.version if stored else CREATE)

    def on_written(self, step: Put, answer: Result[int, StoreError]) -> None:
        """Take the outcome of a write; without a clear one read the record back."""
        if isinstance(answer, Err):
            if answer.err_value.kind is not StoreErrorKind.UNAVAILABLE:
                self.version = None
            elif self.open_since_ms == self.put_ms:
                self.open_since_ms = None
            self.try_later()
            return
        self.open_since_ms = self.put_ms
        self.take_over(_decoder.decode(step.value), answer.ok_value)
        self.next_ms = self.clock.now_ms() + self.interval_ms()

    def take_over(self, record: LeaseRecord, version: int) -> None:
        """Note the record that is in force."""
        was_own, was_fencing = self.is_own(), self.record.fencing
        if version != self.version_seen:
            self.observed_ms = self.clock.now_ms()
            if record.holder == self.instance:
                # No write with an open outcome started earlier, so no contender
                # saw this version earlier.
                self.confirmed_ms = self.open_since_ms
            self.open_since_ms = None
        self.version = self.version_seen = version
        self.record = record
        if self.is_own() and not (was_own and was_fencing == record.fencing):
            log_event(ACQUIRED, key=self.key, fencing=record.fencing)
        elif was_own and not self.is_own() and self.contending:
            log_event(LOST, key=self.key, fencing=was_fencing)

    def try_later(self) -> None:
        """Try again after a jittered part of the renewal interval."""
        self.next_ms = self.clock.now_ms() + self.interval_ms() // 5

    def interval_ms(self) -> int:
        """Return a jittered renewal or polling interval."""
        factor = self.random.uniform(1 - RENEW_JITTER, 1 + RENEW_JITTER)
        return int(RENEW_INTERVAL_MS * factor)

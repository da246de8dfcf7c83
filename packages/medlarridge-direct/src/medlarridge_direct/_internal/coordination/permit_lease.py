"""Lease of a pool's permits: at most one router gives them out at any time.

The lease lies in the platform's store. A router that writes it has it until a time
after it sent the write, on its own clock; another takes it only when the same record
has been there for longer than that, on the clock of the other. Whatever a router sees
of the fleet does not matter. When the store has come back from an older copy, what it
shows may be from before a lease that is in force, so a router first waits for as long
as such a lease could last.
"""

from msgspec import Struct

from medlarridge._internal.clock import Clock

from ..protocol.permit_leases import LeaseRecord, StoredLease
from ..protocol.revision import NO_REVISION, Revision
from .permit_ledger import MAX_OPEN_MS, PermitLedger

TERM_MS = 10_000
"""Time after a record was written, or was first seen, for which its router may have
requests of its permits on their way. An outage of the store that is shorter than this,
less ``MAX_OPEN_MS`` and a renewal, does not end the lease."""

RENEWAL_MS = 1_000
"""Age of a lease at which it is written again."""


class StoreEraView(Struct):
    """The era of the store, and since when this router knows of it.

    ``since_ms`` is None if no lease can have been written in an earlier era.
    """

    clock: Clock
    since_ms: int | None
    era: int | None = None

    def record(self, era: int) -> None:
        """Record the era of a response of the store."""
        if self.era is not None and era > self.era:
            self.since_ms = self.clock.now_ms()
        self.era = max(era, self.era or 0)

    def settled_ms(self) -> int:
        """Return when every lease of an earlier era has ended."""
        return 0 if self.since_ms is None else self.since_ms + TERM_MS


class PermitLease(Struct):
    """What this router knows of the lease of one pool, and its permits.

    ``written_ms`` is when the write was sent by which this router has the lease, None
    without one. ``seen_revision`` is the last revision of the record that was read or
    told, and ``seen_ms`` a time at which it had been written. ``free_from_ms`` is when this
    router may take the lease at the earliest, by the last read, and ``kept_unused_ms`` for
    how long it keeps a lease that is not needed.
    """

    clock: Clock
    node: str
    process: int
    started_ms: int
    era_view: StoreEraView
    ledger: PermitLedger
    written_ms: int | None = None
    revision: Revision | None = None
    seen_revision: Revision = NO_REVISION
    seen_ms: int = 0
    wanted_ms: int = 0
    next_read_ms: int = 0
    free_from_ms: int = 0
    kept_unused_ms: int = 0

    @property
    def held(self) -> bool:
        """Return whether this router may give out permits."""
        return (
            self.written_ms is not None
            and self.clock.now_ms() < self.written_ms + TERM_MS - MAX_OPEN_MS
        )

    def observe(self, revision: Revision, written_ms: int) -> None:
        """Record that the record had a revision, which was written by then."""
        if revision != self.seen_revision:
            self.seen_revision, self.seen_ms = revision, written_ms

    def unknown_until_ms(self, stored: StoredLease) -> int | None:
        """Return when the permits of earlier keepers have arrived at the latest.

        Return None if this router knows all of them. The lease must not be taken
        before ``may_take``.
        """
        now_ms, record = self.clock.now_ms(), stored.record
        if self.in_doubt(stored):
            return self.era_view.settled_ms() or None
        if record is None:
            return None
        if record.released:
            unknown_for_ms = record.unknown_for_ms
            return None if unknown_for_ms is None else now_ms + unknown_for_ms
        if record.node == self.node:
            return self.started_ms + MAX_OPEN_MS
        return self.seen_ms + TERM_MS

    def may_take(self, stored: StoredLease) -> bool:
        """Return whether a record that has just been read may be replaced."""
        now_ms, record = self.clock.now_ms(), stored.record
        if self.in_doubt(stored) and now_ms < self.era_view.settled_ms():
            self.free_from_ms = self.era_view.settled_ms()
            return False
        if record is None or record.released or record.node == self.node:
            return True
        self.observe(stored.revision, now_ms)
        self.free_from_ms = self.seen_ms + TERM_MS
        return now_ms >= self.seen_ms + TERM_MS

    def in_doubt(self, stored: StoredLease) -> bool:
        """Return whether a lease may be in force that the store has lost."""
        return stored.record is None or stored.record.era != stored.revision.era

    def may_renew(self, stored: StoredLease) -> bool:
        """Return whether the record that was read does not end a lease in force.

        While it is in force no other router has taken it, so another record that is
        there, or none, is of an older copy of the store.
        """
        record = stored.record
        return record is None or record.process == self.process or self.in_doubt(stored)

    def record(self) -> LeaseRecord:
        """Return the record by which this router takes or renews the lease."""
        return LeaseRecord(self.node, self.process, self.era_view.era or 0)

    def release_record(self) -> LeaseRecord:
        """Return the record that hands the lease and its permits to any router."""
        unknown_until_ms = self.ledger.unknown_until_ms
        return LeaseRecord(
            "",
            self.process,
            self.era_view.era or 0,
            self.ledger.ends_after_ms(),
            None
            if unknown_until_ms is None
            else unknown_until_ms - self.clock.now_ms(),
        )

    def begin(self, stored: StoredLease, revision: Revision, sent_ms: int) -> None:
        """Take the lease, which was written in place of ``stored``.

        If the last record is certainly this process's, its own permits are all there are.
        """
        record = stored.record
        if record is None or record.process != self.process or self.in_doubt(stored):
            self.ledger.unknown_until_ms = self.unknown_until_ms(stored)
            if record is not None and record.released:
                self.ledger.add_ends(record.ends_after_ms)
        self.renew(revision, sent_ms)

    def renew(self, revision: Revision, sent_ms: int) -> None:
        """Record that the lease was written."""
        self.observe(revision, sent_ms)
        self.revision, self.written_ms = revision, sent_ms

    def lose(self) -> None:
        """Stop giving out permits."""
        self.written_ms = self.revision = None

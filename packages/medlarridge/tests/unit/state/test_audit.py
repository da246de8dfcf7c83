from medlarridge._internal.clock import ManualClock
from medlarridge._internal.errors import StoreErrorKind
from medlarridge._internal.state.audit import AuditTrail
from medlarridge._internal.state.confirmed_put import put_confirmed
from medlarridge._internal.state.keys import audit_key
from medlarridge._internal.state.memory import MemoryStore, StoreFault
from medlarridge._internal.state.store import StoredObject

WHAT = "tables/routes"
CONTENTS = [StoredObject(WHAT, version, b"%d" % version) for version in (3, 7, 12)]


async def record_all(trail, contents=CONTENTS):
    before = None
    for content in contents:
        (await trail.record("maria", WHAT, before, content)).unwrap()
        before = content


class TestAuditTrail:
    async def test_lists_the_newest_first(self):
        """Guards against a history that is out of order or incomplete."""
        trail = AuditTrail(MemoryStore(), ManualClock(5))
        await record_all(trail)
        entries = (await trail.list(WHAT, 12, 10)).unwrap()
        assert [e.after for e in entries] == [b"12", b"7", b"3"]
        assert [e.before_version for e in entries] == [7, 3, 0]
        assert (entries[0].who, entries[0].time_ms) == ("maria", 5)
        assert len((await trail.list(WHAT, 12, 2)).unwrap()) == 2

    async def test_records_changes_of_other_subjects(self):
        """Guards against orders and drains that are not in the audit trail."""
        store = MemoryStore()
        trail = AuditTrail(store, ManualClock(9))
        what = "drains/10.0.0.1:7200"
        for _ in range(2):
            await trail.record_event("process", what, 9, b"serving", b"draining")
        assert [name.key for name in (await store.list("audit/")).unwrap()] == [
            audit_key(what, 9)
        ]
        entry = (await trail.entry(what, 9)).unwrap()
        assert (entry.who, entry.time_ms) == ("process", 9)
        assert (entry.before, entry.after) == (b"serving", b"draining")

    async def test_history_continues_after_a_missing_entry(self):
        """Guards against a history that ends at a change whose writer died before it
        wrote the entry."""
        store = MemoryStore()
        trail = AuditTrail(store, ManualClock())
        await record_all(trail)
        del store.objects[audit_key(WHAT, 7)]
        entries = (await trail.list(WHAT, 12, 10)).unwrap()
        assert [e.after_version for e in entries] == [12, 3]

    async def test_entry_is_never_changed(self):
        """Guards against a second writer that overwrites an entry."""
        trail = AuditTrail(MemoryStore(), ManualClock())
        await record_all(trail)
        again = await trail.record("hugo", WHAT, None, CONTENTS[0])
        assert again.is_ok()
        assert (await trail.entry(WHAT, 3)).unwrap().who == "maria"

    async def test_outage_and_malformed_entry_are_errors(self):
        """Guards against lost entries that are not reported."""
        store = MemoryStore()
        trail = AuditTrail(store, ManualClock())
        await record_all(trail)
        store.objects[audit_key(WHAT, 7)] = StoredObject("", 1, b"damaged")
        assert (await trail.list(WHAT, 12, 10)).is_err()
        store.available = False
        error = (await trail.record("maria", WHAT, None, CONTENTS[0])).unwrap_err()
        assert error.kind is StoreErrorKind.UNAVAILABLE


class TestPutConfirmed:
    async def test_reads_back_after_a_lost_response(self):
        """Guards against an error or a second write after a lost response."""
        for fault in (StoreFault.LOST_AFTER, StoreFault.LOST_BEFORE):
            store = MemoryStore(faults={1: fault})
            version = (await put_confirmed(store, "a", b"1", 0)).unwrap()
            assert store.objects["a"] == StoredObject("a", version, b"1")
            assert store.last_version == 1

    async def test_conflict_is_reported(self):
        """Guards against mistaking another writer's object for the written one."""
        store = MemoryStore()
        (await store.put("a", b"other", 0)).unwrap()
        for faults in ({}, {store.calls.total() + 2: StoreFault.LOST_BEFORE}):
            store.faults = faults
            error = (await put_confirmed(store, "a", b"1", 0)).unwrap_err()
            assert error.kind is StoreErrorKind.CONFLICT

    async def test_unreadable_store_leaves_the_write_ambiguous(self):
        """Guards against a definite result when it cannot be known."""
        store = MemoryStore(
            faults={1: StoreFault.LOST_AFTER, 2: StoreFault.UNAVAILABLE}
        )
        error = (await put_confirmed(store, "a", b"1", 0)).unwrap_err()
        assert error.kind is StoreErrorKind.AMBIGUOUS

    async def test_failed_repetition_leaves_the_write_ambiguous(self):
        """Guards against reporting that a write failed while its first attempt may still
        take effect."""
        reads = {4, 6}
        for answered in (set(), reads):
            # Calls alternate between writes and reads.
            down = {n: StoreFault.UNAVAILABLE for n in range(3, 8) if n not in answered}
            store = MemoryStore(faults={1: StoreFault.LOST_BEFORE, **down})
            error = (await put_confirmed(store, "a", b"1", 0)).unwrap_err()
            assert error.kind is StoreErrorKind.AMBIGUOUS

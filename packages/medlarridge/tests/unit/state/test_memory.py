from medlarridge._internal.errors import StoreErrorKind
from medlarridge._internal.state.memory import MemoryStore, StoreFault


class TestMemoryStore:
    async def test_refuses_update_of_an_old_version(self):
        """Guards against a lost update when two writers race."""
        store = MemoryStore()
        version = (await store.put("a", b"1", 0)).unwrap()
        assert (await store.put("a", b"2", version)).is_ok()
        assert (await store.put("a", b"3", version)).unwrap_err().kind is (
            StoreErrorKind.CONFLICT
        )
        assert (await store.get("a")).unwrap().value == b"2"

    async def test_write_with_a_lost_response_takes_effect(self):
        """Guards against tests in which an ambiguous write never takes effect, because
        the store does not apply a write whose response is lost."""
        store = MemoryStore(
            faults={1: StoreFault.LOST_AFTER, 2: StoreFault.LOST_BEFORE}
        )
        for key in ("after", "before"):
            error = (await store.put(key, b"x", 0)).unwrap_err()
            assert error.kind is StoreErrorKind.AMBIGUOUS
        assert (await store.get("after")).unwrap().value == b"x"
        assert (await store.get("before")).unwrap() is None

import anyio

from medlarridge._internal.coordination.steps import Put
from medlarridge._internal.errors import StoreErrorKind
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.state.step_executor import execute_step


class SilentStore(MemoryStore):
    """Store that applies a write but never responds."""

    async def put(self, key, value, expected_version):
        await super().put(key, value, expected_version)
        await anyio.sleep_forever()


class TestPerform:
    async def test_call_without_a_response_is_ambiguous(self):
        """Guards against waiting forever, and against reporting that a write failed
        although it took effect."""
        store = SilentStore()
        answer = await execute_step(store, Put("key", b"x", 0), timeout_ms=1)
        assert answer.err_value.kind is StoreErrorKind.AMBIGUOUS
        assert "key" in store.objects

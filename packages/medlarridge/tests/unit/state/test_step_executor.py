import anyio

from medlarridge._internal.coordination.steps import Put
from medlarridge._internal.errors import StoreErrorKind
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.state.step_executor import execute_step


class SilentStore(MemoryStore):
    """Store that takes a write and never answers."""

    async def put(self, key, value, expected_version):
        await super().put(key, value, expected_version)
        await anyio.sleep_forever()


class TestPerform:
    async def test_call_without_an_answer_is_ambiguous(self):
        """Guards against waiting forever, or calling a write that landed undone."""
        store = SilentStore()
        answer = await execute_step(store, Put("key", b"x", 0), timeout_ms=1)
        assert answer.err_value.kind is StoreErrorKind.AMBIGUOUS
        assert "key" in store.objects

"""Executes the store calls that decision classes request."""

import anyio
from result import Err, Result

from ..clock import MS_PER_S
from ..coordination.steps import Delete, Get, ListNames, Put, StoreStep
from ..errors import StoreError, StoreErrorKind
from .store import ObjectStore

STORE_TIMEOUT_MS = 2000


async def execute_step(
    store: ObjectStore, step: StoreStep, timeout_ms: int = STORE_TIMEOUT_MS
) -> Result:
    """Execute a store call; after a timeout it may have taken effect."""
    with anyio.move_on_after(timeout_ms / MS_PER_S):
        return await call_store(store, step)
    kind = StoreErrorKind.AMBIGUOUS
    return Err(StoreError(kind, "store call", "store", "timed out"))


async def call_store(store: ObjectStore, step: StoreStep) -> Result:
    """Call the method of the store for a step."""
    match step:
        case Get(key):
            return await store.get(key)
        case Put(key, value, expected_version):
            return await store.put(key, value, expected_version)
        case Delete(key, version):
            return await store.delete(key, version)
        case ListNames(prefix):
            return await store.list(prefix)

"""Performs the store calls that decision classes ask for."""

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
    """Perform a store call; one without an answer may have taken effect."""
    with anyio.move_on_after(timeout_ms / MS_PER_S):
        return await call(store, step)
    kind = StoreErrorKind.AMBIGUOUS
    return Err(StoreError(kind, "store call", "store", "no answer in time"))


async def call(store: ObjectStore, step: StoreStep) -> Result:
    """Pass a step to the store."""
    match step:
        case Get(key):
            return await store.get(key)
        case Put(key, value, expected_version):
            return await store.put(key, value, expected_version)
        case Delete(key, version):
            return await store.delete(key, version)
        case ListNames(prefix):
            return await store.list(prefix)

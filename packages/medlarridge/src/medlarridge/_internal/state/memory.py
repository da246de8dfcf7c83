"""In-memory object store with fault injection for tests."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

import anyio
from result import Err, Ok, Result

from ..clock import MS_PER_S
from ..errors import StoreError, StoreErrorKind
from .store import MAX_VALUE_BYTES, ObjectName, StoredObject

PEER = "memory store"


class StoreFault(StrEnum):
    """Fault of one call.

    ``LOST_BEFORE`` loses the request, ``LOST_AFTER`` the response to a request that
    took effect.
    """

    UNAVAILABLE = "unavailable"
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"


@dataclass
class MemoryStore:
    """Object store in the memory of one process.

    ``faults`` maps the number of a call (from 1, counted over all methods) to its
    fault. All calls fail while ``available`` is false.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    faults: dict[int, StoreFault] = field(default_factory=dict)
    available: bool = True
    calls: Counter[str] = field(default_factory=Counter)
    last_version: int = 0
    changed: anyio.Event | None = None

    async def get(self, key: str) -> Result[StoredObject | None, StoreError]:
        """Return the object, or None if it does not exist."""
        if (error := self.start_call("get", key)) is not None:
            return Err(error)
        return Ok(self.objects.get(key))

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, StoreError]:
        """Write the object if its version is as expected; return the new version."""
        fault = self.next_fault()
        if (error := self.start_call("put", key, fault)) is not None:
            return Err(error)
        if len(value) > MAX_VALUE_BYTES:
            return Err(self.error(StoreErrorKind.TOO_LARGE, "put", key))
        if self.version_of(key) != expected_version:
            return Err(self.error(StoreErrorKind.CONFLICT, "put", key))
        self.last_version += 1
        self.objects[key] = StoredObject(key, self.last_version, value)
        self.notify()
        if fault is StoreFault.LOST_AFTER:
            return Err(self.error(StoreErrorKind.AMBIGUOUS, "put", key))
        return Ok(self.last_version)

    async def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if its version is as expected."""
        fault = self.next_fault()
        if (error := self.start_call("delete", key, fault)) is not None:
            return Err(error)
        if self.version_of(key) != expected_version:
            return Err(self.error(StoreErrorKind.CONFLICT, "delete", key))
        self.objects.pop(key, None)
        self.notify()
        if fault is StoreFault.LOST_AFTER:
            return Err(self.error(StoreErrorKind.AMBIGUOUS, "delete", key))
        return Ok(None)

    async def list(self, prefix: str) -> Result[list[ObjectName], StoreError]:
        """Return the objects whose key starts with the prefix, sorted by key."""
        if (error := self.start_call("list", prefix)) is not None:
            return Err(error)
        return Ok(
            [
                ObjectName(key, stored.version)
                for key, stored in sorted(self.objects.items())
                if key.startswith(prefix)
            ]
        )

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> Result[StoredObject | None, StoreError]:
        """Wait for a version above ``after_version``; return None on a timeout."""
        if (error := self.start_call("watch", key)) is not None:
            return Err(error)
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            while self.version_of(key) <= after_version:
                if self.changed is None:
                    self.changed = anyio.Event()
                await self.changed.wait()
            return Ok(self.objects[key])
        return Ok(None)

    def next_fault(self) -> StoreFault | None:
        """Return the fault of the next call, if any."""
        return self.faults.get(self.calls.total() + 1)

    def start_call(
        self, step: str, key: str, fault: StoreFault | None = None
    ) -> StoreError | None:
        """Count the call and return the error that prevents its effect, if any."""
        fault = fault or self.next_fault()
        self.calls[step] += 1
        if not self.available or fault is StoreFault.UNAVAILABLE:
            return self.error(StoreErrorKind.UNAVAILABLE, step, key)
        if fault is StoreFault.LOST_BEFORE:
            return self.error(StoreErrorKind.AMBIGUOUS, step, key)
        return None

    def error(self, kind: StoreErrorKind, step: str, key: str) -> StoreError:
        """Return an error for a call on a key."""
        return StoreError(kind, step, PEER, key)

    def version_of(self, key: str) -> int:
        """Return the version of the object, 0 if it does not exist."""
        stored = self.objects.get(key)
        return stored.version if stored else 0

    def notify(self) -> None:
        """Wake all watchers."""
        if self.changed is not None:
            self.changed.set()
            self.changed = None

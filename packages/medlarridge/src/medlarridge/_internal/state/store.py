"""Interface of the platform's object store."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from ..errors import StoreError

MAX_VALUE_BYTES = 1024 * 1024
CREATE = 0
"""Expected version for an object that must not exist yet."""


@dataclass(frozen=True)
class StoredObject:
    """An object and the version at which it was read."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class ObjectName:
    """Key and version of an object in a listing."""

    key: str
    version: int


class ObjectStore(Protocol):
    """Objects with versions, conditional updates and watches."""

    async def get(self, key: str) -> Result[StoredObject | None, StoreError]:
        """Return the object, or None if it does not exist."""
        ...

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, StoreError]:
        """Write the object if its version is as expected; return the new version."""
        ...

    async def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if its version is as expected."""
        ...

    async def list(self, prefix: str) -> Result[list[ObjectName], StoreError]:
        """Return the objects whose key starts with the prefix, sorted by key."""
        ...

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> Result[StoredObject | None, StoreError]:
        """Wait for a version above ``after_version``; return None on a timeout."""
        ...

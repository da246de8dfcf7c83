"""Connections of one process of a local fleet, which can be cut at any moment."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import httpx
from result import Result

from medlarridge._internal.errors import StoreError
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.state.store import ObjectName, StoredObject

from .in_memory_transport import HttpExchange, InMemoryTransport


def no_hook(key: str) -> None:
    """Let a write pass."""


@dataclass
class LocalProcess(httpx.AsyncBaseTransport):
    """HTTP client and store client of one process.

    After ``cut`` no call has an effect or returns, as if the process had died.
    ``before_put`` and ``after_put`` are called around each write, the second one
    before the process gets the answer.
    """

    address: str
    transport: InMemoryTransport
    store: MemoryStore
    is_killed: bool = False
    calls: list[HttpExchange] = field(default_factory=list)
    before_put: Callable[[str], None] = no_hook
    after_put: Callable[[str], None] = no_hook

    def kill(self) -> None:
        """Break all connections of the process for good."""
        self.is_killed = True
        self.transport.stop(self.address)
        for exchange in self.calls:
            exchange.freeze()

    async def block_if_killed(self) -> None:
        """Wait for ever if the process has been cut."""
        if self.is_killed:
            await anyio.sleep_forever()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request."""
        await self.block_if_killed()
        response = await self.transport.handle_async_request(request)
        await self.block_if_killed()
        if isinstance(response.stream, HttpExchange):
            self.calls.append(response.stream)
        return response

    async def get(self, key: str) -> Result[StoredObject | None, StoreError]:
        """Read an object."""
        await self.block_if_killed()
        return await self.store.get(key)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, StoreError]:
        """Write an object."""
        self.before_put(key)
        await self.block_if_killed()
        written = await self.store.put(key, value, expected_version)
        self.after_put(key)
        await self.block_if_killed()
        return written

    async def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete an object."""
        await self.block_if_killed()
        return await self.store.delete(key, expected_version)

    async def list(self, prefix: str) -> Result[list[ObjectName], StoreError]:
        """List objects."""
        await self.block_if_killed()
        return await self.store.list(prefix)

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> Result[StoredObject | None, StoreError]:
        """Wait for a version of an object."""
        await self.block_if_killed()
        return await self.store.watch(key, after_version, timeout_ms)

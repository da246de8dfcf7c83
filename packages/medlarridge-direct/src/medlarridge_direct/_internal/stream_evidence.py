"""What the store says just now of the versions and pools at which streams begin.

A router that is cut off from the others, or that has stood still, may infer from what it
knew a moment ago that a stream began at the only version of a pool. In the meantime
servers of another version may have come and begun it.
"""

import asyncio

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .store_sync import StoreSync

MIN_INTERVAL_MS = 100
INTERVAL_PER_ROUTER_MS = 10
"""Shortest time between the begins of two reads of a router. It grows with the number of
routers: each read makes three calls, so all together make at most 300 calls a second."""


class StreamEvidence:
    """Reads server list, configuration and stored versions for unknown streams."""

    def __init__(self, components: RouterComponents, store_sync: StoreSync) -> None:
        self.components = components
        self.store_sync = store_sync
        self.current: asyncio.Task[bool] | None = None
        self.next: asyncio.Task[bool] | None = None
        self.next_read_ms = 0

    async def confirm(self) -> bool:
        """Read what the store holds now; return whether that succeeded.

        Calls that come while a read is under way share the next one, as the present one
        may miss what happened before the call.
        """
        if not self.store_sync.peers.store_reachable:
            return False
        if self.next is None:
            self.next = asyncio.create_task(self.read_after(self.current))
        return await asyncio.shield(self.next)

    def interval_ms(self) -> int:
        """Return the shortest time between the begins of two reads."""
        per_router_ms = INTERVAL_PER_ROUTER_MS * self.components.fleet_size.count
        return max(MIN_INTERVAL_MS, per_router_ms)

    async def read_after(self, previous: asyncio.Task[bool] | None) -> bool:
        """Read once the previous read has ended and its interval is over."""
        if previous is not None:
            await asyncio.wait((previous,))
        now_ms = self.components.clock.now_ms()
        await asyncio.sleep(max(self.next_read_ms - now_ms, 0) / MS_PER_S)
        self.current, self.next = self.next, None
        self.next_read_ms = self.components.clock.now_ms() + self.interval_ms()
        try:
            await self.store_sync.confirm_servers()
            await self.store_sync.confirm_configuration()
            await self.store_sync.version_sets.confirm()
        except TransportError:
            # Other tasks log that the store is lost.
            return False
        return True

"""Addresses of the routers, which each router registers in the platform's store."""

import asyncio
import contextlib
from typing import Protocol

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .protocol.platform_interface import PlatformStore
from .state.peer_table import PeerTable

MIN_REGISTRY_INTERVAL_MS = 1_000
MAX_REGISTRY_INTERVAL_MS = 20_000
"""First and longest interval at which the list of routers is read; it doubles. New
routers are also discovered by their reports."""


class ReachabilityRecorder(Protocol):
    """Records whether the store is reachable."""

    def __call__(self, reachable: bool, error: TransportError | None = None) -> None:
        """Record the result of a call to the store."""
        ...


class RouterRegistry:
    """Keeps this router registered, and reads which others are.

    ``lost`` is set when the store has lost the registration.
    """

    def __init__(
        self,
        components: RouterComponents,
        store: PlatformStore,
        peers: PeerTable,
        node: str,
        set_store_reachable: ReachabilityRecorder,
    ) -> None:
        self.components = components
        self.store = store
        self.peers = peers
        self.node = node
        self.set_store_reachable = set_store_reachable
        self.lost = asyncio.Event()

    async def run(self) -> None:
        """Register this router and read the addresses of the others.

        A list of routers may be old, so after a new era of the store the router is
        registered without looking.
        """
        delay_ms = MIN_REGISTRY_INTERVAL_MS
        while True:
            lost = self.lost.is_set()
            self.lost.clear()
            try:
                await self.register_if_missing(lost)
            except TransportError as error:
                self.set_store_reachable(False, error)
                if lost:
                    self.lost.set()
                    await asyncio.sleep(MIN_REGISTRY_INTERVAL_MS / MS_PER_S)
                    continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_ms / MS_PER_S):
                    await self.lost.wait()
            delay_ms = min(2 * delay_ms, MAX_REGISTRY_INTERVAL_MS)

    async def register_if_missing(self, lost: bool) -> None:
        """Read the addresses of the routers; register this one if it is missing."""
        if lost:
            self.components.metrics.store_rewrites["router"] += 1
            await self.register()
        requested_ms = self.components.clock.now_ms()
        self.components.metrics.store_calls["list-routers"] += 1
        routers = await self.store.list_routers()
        self.peers.register(routers.values())
        count = len(routers | {self.node: self.peers.own_address})
        self.components.fleet_size.record_own_reading(count, requested_ms)
        if routers.get(self.node) == self.peers.own_address:
            self.components.fleet_size.record_joined()
        elif not lost:
            await self.register()

    async def register(self) -> None:
        """Write the address of this router to the store."""
        self.components.metrics.store_calls["register-router"] += 1
        await self.store.register_router(self.node, *self.peers.own_address)
        self.components.fleet_size.record_joined()

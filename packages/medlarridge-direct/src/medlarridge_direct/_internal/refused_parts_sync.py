"""Refused prompt parts in the platform's store, for routers that all start together."""

import asyncio

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .protocol.platform_interface import PlatformStore
from .router_registry import ReachabilityRecorder
from .state.peer_table import PeerTable

SYNC_INTERVAL_MS = 1_000

MAX_READ_AGE_MS = 5_000
"""Age of the stored parts above which they are read again before a change: another
router may have written them."""

MAX_STORED_PARTS = 200
"""Limit of the stored parts; those with most crashes are stored."""


class RefusedPartsSync:
    """Reads the stored parts at the start, and writes changes if this router is first.

    ``stored`` are the parts with their numbers of crashes, None until they are read.
    """

    def __init__(
        self,
        components: RouterComponents,
        store: PlatformStore,
        peers: PeerTable,
        set_store_reachable: ReachabilityRecorder,
    ) -> None:
        self.components = components
        self.store = store
        self.peers = peers
        self.set_store_reachable = set_store_reachable
        self.stored: dict[str, int] | None = None
        self.read_ms = 0

    async def run(self) -> None:
        """Keep the stored parts and the refused ones the same."""
        while True:
            try:
                await self.sync()
            except TransportError as error:
                self.set_store_reachable(False, error)
            await asyncio.sleep(SYNC_INTERVAL_MS / MS_PER_S)

    def forget(self) -> None:
        """Read and write all parts again, since the store may have lost some."""
        self.stored = None

    async def sync(self) -> None:
        """Read the stored parts if that is due, and write what has changed."""
        if self.stored is None:
            await self.load({})
        if self.peers.live_rank() > 0 or self.refused() == self.stored:
            return
        if self.components.clock.now_ms() - self.read_ms > MAX_READ_AGE_MS:
            await self.load(self.stored or {})
        await self.write_changes()

    def refused(self) -> dict[str, int]:
        """Return the refused parts with most crashes and these numbers."""
        refused = self.components.crashing_parts.refused_crashes()
        most = sorted(refused, key=lambda part: (-refused[part], part))
        return {part: refused[part] for part in most[:MAX_STORED_PARTS]}

    async def load(self, known: dict[str, int]) -> None:
        """Read the stored parts, and refuse those that were not known."""
        self.count_call("list-refused-parts")
        read_ms = self.components.clock.now_ms()
        stored = await self.store.list_refused_parts()
        self.stored, self.read_ms = stored, read_ms
        for part, crashes in stored.items():
            if part not in known:
                self.components.crashing_parts.add_stored(part, crashes)

    async def write_changes(self) -> None:
        """Store the refused parts, and remove those that no longer are."""
        assert self.stored is not None
        refused = self.refused()
        for part, crashes in refused.items():
            if self.stored.get(part) != crashes:
                self.count_call("save-refused-part")
                await self.store.save_refused_part(part, crashes)
                self.stored[part] = crashes
        for part in self.stored.keys() - refused.keys():
            self.count_call("delete-refused-part")
            await self.store.delete_refused_part(part)
            del self.stored[part]

    def count_call(self, call: str) -> None:
        """Count a call to the store in the metrics."""
        self.components.metrics.store_calls[call] += 1

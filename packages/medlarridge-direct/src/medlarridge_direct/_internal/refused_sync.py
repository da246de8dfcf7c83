"""What is refused because servers crash under it, in the platform's store.

Routers that all start together have it from there.
"""

import asyncio

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .protocol.platform_interface import PlatformStore
from .router_registry import ReachabilityRecorder
from .state.peer_table import PeerTable

SYNC_INTERVAL_MS = 1_000

MAX_READ_AGE_MS = 5_000
"""Age of what is stored above which it is read again before a change: another router
may have written it."""

MAX_STORED = 200
"""Limit of the stored parts, and of the stored requests; those with most crashes are
stored."""


class RefusedSync:
    """Reads what is stored at the start, and writes changes if this router is first.

    ``subject`` names what is stored in the metrics. ``stored`` has the number of crashes
    by key, None until it is read.
    """

    subject = ""

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
        """Keep what is stored and what is refused the same."""
        while True:
            try:
                await self.sync()
            except TransportError as error:
                self.set_store_reachable(False, error)
            await asyncio.sleep(SYNC_INTERVAL_MS / MS_PER_S)

    def forget(self) -> None:
        """Read and write everything again, since the store may have lost some."""
        self.stored = None

    async def sync(self) -> None:
        """Read what is stored if that is due, and write what has changed."""
        if self.stored is None:
            await self.load({})
        if self.peers.live_rank() > 0 or self.refused() == self.stored:
            return
        if self.components.clock.now_ms() - self.read_ms > MAX_READ_AGE_MS:
            await self.load(self.stored or {})
        await self.write_changes()

    def refused(self) -> dict[str, int]:
        """Return the refused keys with most crashes and these numbers."""
        refused = self.find_refused()
        most = sorted(refused, key=lambda key: (-refused[key], key))
        return {key: refused[key] for key in most[:MAX_STORED]}

    async def load(self, known: dict[str, int]) -> None:
        """Read what is stored, and refuse what was not known."""
        self.count_call(f"list-{self.subject}s")
        read_ms = self.components.clock.now_ms()
        stored = await self.list_stored()
        self.stored, self.read_ms = stored, read_ms
        for key, crashes in stored.items():
            if key not in known:
                self.add_stored(key, crashes)

    async def write_changes(self) -> None:
        """Store what is refused, and remove what no longer is."""
        assert self.stored is not None
        refused = self.refused()
        for key, crashes in refused.items():
            if self.stored.get(key) != crashes:
                self.count_call(f"save-{self.subject}")
                await self.save(key, crashes)
                self.stored[key] = crashes
        for key in self.stored.keys() - refused.keys():
            self.count_call(f"delete-{self.subject}")
            await self.delete(key)
            del self.stored[key]

    def count_call(self, call: str) -> None:
        """Count a call to the store in the metrics."""
        self.components.metrics.store_calls[call] += 1


class RefusedPartsSync(RefusedSync):
    """Refused prompt parts."""

    subject = "refused-part"

    def find_refused(self) -> dict[str, int]:
        """Return the refused parts with their numbers of crashes."""
        return self.components.crashing_parts.refused_crashes()

    def add_stored(self, key: str, crashes: int) -> None:
        """Refuse a part that another router has stored."""
        self.components.crashing_parts.add_stored(key, crashes)

    async def list_stored(self) -> dict[str, int]:
        """Read the stored parts."""
        return await self.store.list_refused_parts()

    async def save(self, key: str, crashes: int) -> None:
        """Store a part."""
        await self.store.save_refused_part(key, crashes)

    async def delete(self, key: str) -> None:
        """Remove a part."""
        await self.store.delete_refused_part(key)


class RefusedRequestsSync(RefusedSync):
    """Requests that are refused, by their fingerprints."""

    subject = "refused-request"

    def find_refused(self) -> dict[str, int]:
        """Return the refused requests with their numbers of crashes."""
        refused = self.components.crash_guard.refused_crashes()
        return {
            f"{fingerprint:016x}": crashes for fingerprint, crashes in refused.items()
        }

    def add_stored(self, key: str, crashes: int) -> None:
        """Refuse a request that another router has stored."""
        try:
            fingerprint = int(key, 16)
        except ValueError:
            return
        self.components.crash_guard.add_stored(fingerprint, crashes)

    async def list_stored(self) -> dict[str, int]:
        """Read the stored requests."""
        return await self.store.list_refused_requests()

    async def save(self, key: str, crashes: int) -> None:
        """Store a request."""
        await self.store.save_refused_request(key, crashes)

    async def delete(self, key: str) -> None:
        """Remove a request."""
        await self.store.delete_refused_request(key)

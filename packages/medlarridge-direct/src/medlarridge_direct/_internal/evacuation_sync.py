"""Synchronization of the evacuated data centres with the platform's store.

The router that ranks first watches them. Its reports, which carry the whole state, change
and confirm that of the others. A router whose state is old asks the store itself.
"""

from collections.abc import Callable

from medlarridge._internal.errors import TransportError

from .logs import (
    DATA_CENTRE_EVACUATED,
    DATA_CENTRE_RETURNED,
    EVACUATION_HELD,
    Log,
)
from .protocol.evacuations import EvacuationSnapshot
from .protocol.platform_interface import HistoryGone
from .state.evacuations import EvacuationChange, Evacuations
from .store_sync import SHORT_WATCH_MS, StoreSync

WATCH_SHARE = 0.4
"""Longest wait of one watch, as a share of the bound. A state is old at half of the bound,
and the rest up to there is for the reports that confirm it. Longer watches would let the
other routers ask the store as well, and a broken one would be noticed too late."""

RANK_DELAY_MS = 150
"""The age at which the state is read grows by this for each rank, up to the maximum."""


class EvacuationSync:
    """Reads and watches the evacuations; ``on_change`` reports a change to the peers."""

    def __init__(self, store_sync: StoreSync, on_change: Callable[[], None]) -> None:
        self.store_sync = store_sync
        self.evacuations = store_sync.components.evacuations
        self.clock = store_sync.components.clock
        self.store = store_sync.store
        self.peers = store_sync.peers
        self.log = store_sync.log
        self.on_change = on_change

    async def run(self) -> None:
        """Keep the state up to date, if the deployment has evacuations."""
        if self.evacuations.is_used:
            await self.store_sync.poll(self.read_if_due)

    async def read_if_due(self) -> None:
        """Read the state if it is unknown or outdated, or watch it if that is due."""
        evacuations = self.evacuations
        if evacuations.outdated or not evacuations.is_known:
            await self.read()
            return
        is_first = self.peers.store_reader_rank() == 0
        max_age_ms = 0 if is_first else evacuations.half_bound_ms
        if self.store_sync.is_due(evacuations.age_ms(), max_age_ms, RANK_DELAY_MS):
            await self.watch(self.watch_ms if is_first else SHORT_WATCH_MS)

    @property
    def watch_ms(self) -> int:
        """Return the longest wait of one watch."""
        return int(WATCH_SHARE * (self.evacuations.bound_ms or 0))

    async def read(self) -> None:
        """Read the whole state."""
        requested_ms = self.clock.now_ms()
        self.store_sync.count_call("read-evacuations")
        snapshot = await self.store.read_evacuations()
        self.apply(snapshot, requested_ms)

    async def watch(self, wait_ms: int) -> None:
        """Wait once for a change, or read the whole state if changes were missed.

        The state is outdated if the watch fails.
        """
        evacuations = self.evacuations
        watched = EvacuationSnapshot(evacuations.revision, evacuations.listed)
        requested_ms = self.clock.now_ms()
        self.store_sync.count_call("watch-evacuations")
        try:
            snapshot = await self.store.watch_evacuations(watched, wait_ms)
        except HistoryGone:
            await self.read()
            return
        except TransportError:
            evacuations.outdated = True
            raise
        if evacuations.is_after_pause:
            # The response may have waited for the process since then.
            read_ms = requested_ms
        elif snapshot.data_centres == watched.data_centres:
            read_ms = self.store_sync.end_of_watch_ms(requested_ms, wait_ms)
        else:
            read_ms = self.clock.now_ms()
        self.apply(snapshot, read_ms)

    def apply(self, snapshot: EvacuationSnapshot, read_ms: int) -> None:
        """Apply what the store returned; log a change and report it at once."""
        self.store_sync.set_store_reachable(True)
        change = self.evacuations.apply(snapshot, read_ms)
        if change:
            log_change(self.log, self.evacuations, change)
            self.on_change()

    def tick(self) -> None:
        """Record that the process runs, and end what has lasted long enough."""
        self.evacuations.record_tick()
        change = self.evacuations.expire()
        if change:
            log_change(self.log, self.evacuations, change)


def log_change(
    log: Log,
    evacuations: Evacuations,
    change: EvacuationChange,
    from_peer: bool = False,
) -> None:
    """Log which data centres get no more requests and which are taken back."""
    revision = str(evacuations.revision)
    for event, data_centres in (
        (DATA_CENTRE_EVACUATED, change.evacuated),
        (EVACUATION_HELD, change.held),
        (DATA_CENTRE_RETURNED, change.returned),
    ):
        for data_centre in data_centres:
            log.event(event, data_centre=data_centre, revision=revision, peer=from_peer)

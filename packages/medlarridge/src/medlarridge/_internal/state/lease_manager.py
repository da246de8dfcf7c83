"""Background task that acquires, renews and resigns a lease."""

import anyio

from ..clock import MS_PER_S
from ..coordination.lease import Lease
from ..coordination.steps import Wait
from .step_executor import execute_step
from .store import ObjectStore

RESIGN_TIMEOUT_MS = 2000


class LeaseManager:
    """Contends for a lease, renews it while it is held, and resigns it at the end."""

    def __init__(self, store: ObjectStore, lease: Lease) -> None:
        self.store = store
        self.lease = lease

    async def run(self) -> None:
        """Contend and renew until cancelled."""
        while True:
            await self.run_step()

    async def resign(self) -> None:
        """Free the lease, so that another process need not wait until it expires."""
        self.lease.resign()
        with anyio.move_on_after(RESIGN_TIMEOUT_MS / MS_PER_S):
            while self.lease.is_own():
                await self.run_step()

    async def run_step(self) -> None:
        """Execute the next step of the lease."""
        step = self.lease.next_step()
        if isinstance(step, Wait):
            delay_ms = max(1, step.until_ms - self.lease.clock.now_ms())
            await anyio.sleep(delay_ms / MS_PER_S)
        else:
            self.lease.on_result(step, await execute_step(self.store, step))

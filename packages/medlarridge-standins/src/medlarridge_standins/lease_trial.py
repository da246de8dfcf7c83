"""Simulated contention for a lease between processes with different clocks."""

from random import Random

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.lease import Lease
from medlarridge._internal.coordination.steps import Wait
from medlarridge._internal.identity import Instance, Role
from medlarridge._internal.state.memory import MemoryStore

from .ledger_trial import run_synchronously, store_call

LEASE_NAME = "orders"
LEASE_KEY = f"leases/{LEASE_NAME}"
TICK_MS = 100


class LeaseTrial:
    """Processes that contend for one lease, each with its own clock."""

    def __init__(self, count: int = 2, seed: int = 0) -> None:
        self.store = MemoryStore()
        self.clocks = [ManualClock(1_000_000 * number) for number in range(count)]
        self.leases = [
            Lease(
                LEASE_NAME,
                Instance("127.0.0.1:1", number + 1, "anfa", "west", Role.SIDECAR),
                clock,
                Random(seed + number),
            )
            for number, clock in enumerate(self.clocks)
        ]

    def step(self, index: int) -> bool:
        """Execute the next step of a process; return False if it waits."""
        lease = self.leases[index]
        step = lease.next_step()
        if isinstance(step, Wait):
            return False
        lease.on_result(step, run_synchronously(store_call(self.store, step)))
        return True

    def run(self, duration_ms: int, paused: tuple[int, ...] = ()) -> None:
        """Advance all clocks and execute the steps of processes that are not paused."""
        for _ in range(duration_ms // TICK_MS):
            for clock in self.clocks:
                clock.advance(TICK_MS)
            for index in range(len(self.leases)):
                while index not in paused and self.step(index):
                    pass

    def holders(self) -> list[int]:
        """Return the fencing numbers of processes that consider the lease held."""
        return [lease.fencing for lease in self.leases if lease.is_held()]

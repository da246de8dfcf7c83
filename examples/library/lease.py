"""A paused lease holder is refused by the fencing number of its successor."""

from random import Random

import anyio

from medlarridge import Instance, ManualClock, Role
from medlarridge.coordination import Lease, Mark, Order, OrderGuard, OrderKind, Wait
from medlarridge.state import MemoryStore, OrderJournal, execute_step

SERVER = "10.0.0.9:7200"

clock = ManualClock()
store = MemoryStore()
journal = OrderJournal(store)
guard = OrderGuard(SERVER, instance_number=9)


def contender(number: int) -> Lease:
    """Return one process's part in the competition for the duty."""
    address = f"10.0.0.{number}:7100"
    instance = Instance(address, number, "manzanillo-a", "pacifico-mx", Role.ROUTER)
    return Lease("orders", instance, clock, Random(number))


async def run(lease: Lease, seconds: int) -> None:
    """Let one process perform its store calls while the time passes."""
    for _ in range(seconds):
        while not isinstance(step := lease.next_step(), Wait):
            lease.on_result(step, await execute_step(store, step))
        clock.advance(1_000)


async def order(fencing: int, number: int) -> str:
    """Record an order and pass it to the sidecar's guard, as the controller does."""
    mark = Mark(fencing, number)
    order = Order(SERVER, 9, OrderKind.LOAD_MODEL, "asistente", mark)
    recorded = await journal.record(order)
    refusal = await journal.check(guard, order)
    guard.finish(order)
    record = "recorded" if recorded.is_ok() else f"not recorded ({recorded.err()})"
    return f"{record}, {'accepted' if refusal is None else f'refused ({refusal})'}"


async def main() -> None:
    """Pause the first holder until the second one has taken over."""
    first, second = contender(1), contender(2)
    await run(first, 1)
    print("first holds:", first.is_held(), "fencing", first.fencing)
    print("order of the first:", await order(first.fencing, 1))

    # The first process does not run here; its own record still names it.
    await run(second, 30)
    print("second holds:", second.is_held(), "fencing", second.fencing)
    print("order of the second:", await order(second.fencing, 1))
    print("first believes that it owns the lease:", first.is_own())
    print("late order of the first:", await order(first.fencing, 2))
    await run(first, 10)
    print("after its next read:", first.is_own())


anyio.run(main)

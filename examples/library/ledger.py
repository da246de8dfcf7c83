"""Run an invoice dispatch at most once, even after a lost response."""

from random import Random

import anyio

from medlarridge import Instance, Role, SystemClock
from medlarridge.coordination import Call, CallResult, LedgerLimits, LedgerRun
from medlarridge.state import Ledger, MemoryStore

# Long enough for a heavily loaded machine.
WAIT_MS = 60_000

clock = SystemClock()
store = MemoryStore()
dispatched: list[str] = []


def ledger(number: int) -> Ledger:
    """Return the ledger of one sidecar; all ledgers share the store."""
    address = f"10.0.0.{number}:7200"
    instance = Instance(address, number, "agdal", "maghreb-west", Role.SIDECAR)
    limits = LedgerLimits(wait_limit_ms=WAIT_MS)
    return Ledger(store, instance, clock, Random(number), limits)


async def dispatch(ledger: Ledger, key: str, answered: bool = True) -> str:
    """Dispatch an invoice through a sidecar."""
    deadline_ms = clock.now_ms() + WAIT_MS
    call = Call("account-desk", "gallery-4", key, "digest of the body", deadline_ms)
    decision = await ledger.begin(call)
    if not isinstance(decision, LedgerRun):
        return f"{type(decision).__name__.lower()}, not run again"
    # Check right before the first byte is sent to the server.
    if not ledger.start(decision.token):
        return "too late, not run"
    dispatched.append(key)
    if not answered:
        await ledger.abandon(decision.token)
        return "sent, no answer came back"
    await ledger.finish(decision.token, CallResult(201))
    await ledger.drain(WAIT_MS)
    return "run"


async def main() -> None:
    """Send calls through two sidecars."""
    first, second = ledger(1), ledger(2)
    async with anyio.create_task_group() as tasks:
        await tasks.start(first.run)
        await tasks.start(second.run)
        print("invoice-1, first sidecar:", await dispatch(first, "invoice-1"))
        print("invoice-1, second sidecar:", await dispatch(second, "invoice-1"))
        print("invoice-2, first sidecar:", await dispatch(first, "invoice-2", False))
        print("invoice-2, second sidecar:", await dispatch(second, "invoice-2"))
        tasks.cancel_scope.cancel()
    print("dispatched:", dispatched)


anyio.run(main)

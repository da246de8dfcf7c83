from contextlib import asynccontextmanager
from random import Random

import anyio

from medlarridge._internal.clock import SystemClock
from medlarridge._internal.coordination.ledger import (
    Call,
    LedgerLimits,
    Refused,
    RefusedReason,
    Repeat,
    Run,
    Unknown,
)
from medlarridge._internal.coordination.ledger_records import CallResult
from medlarridge._internal.identity import Instance, Role
from medlarridge._internal.state.ledger_runner import Ledger
from medlarridge._internal.state.memory import MemoryStore, StoreFault

LIMITS = LedgerLimits(wait_limit_ms=50, flush_interval_ms=1, result_delay_ms=1)


class HangingStore(MemoryStore):
    """Store that never responds to reads."""

    async def get(self, key):
        await anyio.sleep_forever()


@asynccontextmanager
async def running(store, count=2):
    async with anyio.create_task_group() as tasks:
        ledgers = []
        for number in range(1, count + 1):
            instance = Instance("127.0.0.1:1", number, "anfa", "west", Role.SIDECAR)
            random = Random(number)
            ledger = Ledger(store, instance, SystemClock(), random, LIMITS)
            await tasks.start(ledger.run)
            ledgers.append(ledger)
        yield ledgers
        tasks.cancel_scope.cancel()


def call(key="key", left_ms=60_000):
    deadline_ms = SystemClock().now_ms() + left_ms
    return Call("invoices", "account", key, "print", deadline_ms)


class TestLedger:
    async def test_result_is_repeated_by_another_sidecar(self):
        """Guards against a second run when a call is repeated at another sidecar."""
        async with running(MemoryStore()) as (first, second):
            decision = await first.begin(call())
            assert isinstance(decision, Run)
            assert first.start(decision.token)
            assert isinstance(await second.begin(call()), Unknown)
            await first.finish(decision.token, CallResult(200, [], b"done"))
            assert await first.drain(5000)
            repeated = Repeat(CallResult(200, [], b"done"))
            assert await second.begin(call()) == repeated

    async def test_released_call_may_run_elsewhere(self):
        """Guards against a key that stays reserved although the call was never sent."""
        async with running(MemoryStore()) as (first, second):
            decision = await first.begin(call())
            assert await first.release(decision.token)
            assert isinstance(await second.begin(call()), Run)

    async def test_cancelled_caller_frees_the_key(self):
        """Guards against a key that stays reserved after its caller disconnected."""
        store = MemoryStore()
        async with running(store) as (first, second):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(first.begin, call())
                await anyio.sleep(0)
                tasks.cancel_scope.cancel()
            assert await first.drain(5000)
            assert isinstance(await second.begin(call()), Run)

    async def test_refuses_while_the_store_does_not_respond(self):
        """Guards against callers that wait for a store that fails or hangs."""
        for store in (MemoryStore(available=False), HangingStore()):
            async with running(store, 1) as (ledger,):
                decision = await ledger.begin(call())
                assert decision == Refused(RefusedReason.STORE_UNAVAILABLE)

    async def test_refuses_after_the_deadline(self):
        """Guards against running a call whose caller has stopped waiting."""
        async with running(MemoryStore(), 1) as (ledger,):
            decision = await ledger.begin(call(left_ms=0))
            assert decision == Refused(RefusedReason.DEADLINE)

    async def test_concurrent_calls_run_once_each(self):
        """Guards against lost or duplicate decisions under concurrency and faults."""
        random = Random(5)
        faults = {n: random.choice(list(StoreFault)) for n in range(3, 400, 3)}
        store = MemoryStore(faults=faults)
        decisions = []
        async with running(store) as ledgers:

            async def begin(ledger, key):
                decisions.append(await ledger.begin(call(key)))

            async with anyio.create_task_group() as tasks:
                for number in range(100):
                    for ledger in ledgers:
                        tasks.start_soon(begin, ledger, f"key {number % 50}")
        runs = [decision for decision in decisions if isinstance(decision, Run)]
        keys = {run.token.entry.key for run in runs}
        assert len(runs) == len(keys)
        assert len(decisions) == 200

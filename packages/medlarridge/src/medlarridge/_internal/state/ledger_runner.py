"""At-most-once ledger of a process; executes the store calls of its shards."""

from itertools import count
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..clock import MS_PER_S, Clock
from ..coordination.ledger import (
    Call,
    LedgerDecision,
    LedgerLimits,
    PauseGuard,
    Refused,
    RefusedReason,
    RunToken,
    WriteBudget,
)
from ..coordination.ledger_records import CallResult
from ..coordination.ledger_shard import LedgerShard
from ..coordination.steps import Wait
from ..identity import Instance
from .step_executor import execute_step
from .store import ObjectStore

TICK_INTERVAL_MS = 1000


class Ledger:
    """Runs calls with an idempotency key at most once.

    ``run`` must be active while the ledger is used.
    """

    def __init__(
        self,
        store: ObjectStore,
        instance: Instance,
        clock: Clock,
        random: Random,
        limits: LedgerLimits | None = None,
    ) -> None:
        self.store = store
        self.instance = instance
        self.clock = clock
        self.random = random
        self.limits = limits or LedgerLimits()
        self.write_budget = WriteBudget(self.limits, clock.now_ms())
        self.pause_guard = PauseGuard(clock)
        self.shards: dict[str, LedgerShard] = {}
        self.wake_events: dict[str, anyio.Event] = {}
        self.active_shards: set[str] = set()
        self.task_group: TaskGroup | None = None
        self.counter = count(1)

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Execute store calls until cancelled."""
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            self.pause_guard.tick()
            task_status.started()
            while True:
                await anyio.sleep(TICK_INTERVAL_MS / MS_PER_S)
                self.pause_guard.tick()

    async def begin(self, call: Call) -> LedgerDecision:
        """Return the decision on a call, which may run only if it is ``Run``."""
        if self.pause_guard.recently_paused():
            return Refused(RefusedReason.PAUSED)
        if self.clock.now_ms() >= call.deadline_ms:
            return Refused(RefusedReason.DEADLINE)
        shard = self.shard(call.shard_key)
        ticket = shard.begin(call)
        if ticket.decision is not None:
            return ticket.decision
        decided = anyio.Event()
        ticket.listener = decided.set
        self.wake(shard)
        left_ms = max(0, call.deadline_ms - self.clock.now_ms())
        wait_ms = min(self.limits.wait_limit_ms, left_ms)
        try:
            with anyio.move_on_after(wait_ms / MS_PER_S):
                await decided.wait()
        except BaseException:
            shard.discard(ticket)
            self.wake(shard)
            raise
        shard.give_up(ticket, RefusedReason.STORE_UNAVAILABLE)
        assert ticket.decision is not None
        return ticket.decision

    def start(self, token: RunToken) -> bool:
        """Return whether the call may be sent; to be called right before sending."""
        allowed = self.shard(token.shard_key).start(token)
        if not allowed:
            self.wake(self.shard(token.shard_key))
        return allowed

    async def finish(self, token: RunToken, result: CallResult) -> None:
        """Record the result of a call with the next batch."""
        self.shard(token.shard_key).finish(token, result)
        self.wake(self.shard(token.shard_key))

    async def release(self, token: RunToken) -> bool:
        """Free the key of a call that certainly never reached the server.

        Wait for a limited time until another sidecar may run the call, and return
        whether it may. Until then, other sidecars answer the call with unknown.
        """
        shard = self.shard(token.shard_key)
        released = anyio.Event()
        if shard.release(token, released.set):
            self.wake(shard)
            with anyio.move_on_after(self.limits.wait_limit_ms / MS_PER_S):
                await released.wait()
        return released.is_set()

    async def abandon(self, token: RunToken) -> None:
        """Record that a call was sent and ended without a result."""
        self.shard(token.shard_key).abandon(token)
        self.wake(self.shard(token.shard_key))

    async def drain(self, timeout_ms: int) -> bool:
        """Wait until all results are stored; return whether they are."""
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            while any(shard.has_work() for shard in self.shards.values()):
                await anyio.sleep(self.limits.flush_interval_ms / MS_PER_S)
            return True
        return False

    def shard(self, key: str) -> LedgerShard:
        """Return the shard with the given key of its head object."""
        if key not in self.shards:
            self.shards[key] = LedgerShard(
                key,
                self.instance.number,
                self.clock,
                self.random,
                self.limits,
                self.write_budget,
                self.counter.__next__,
            )
        return self.shards[key]

    def wake(self, shard: LedgerShard) -> None:
        """Ensure that a task executes the steps of the shard."""
        if shard.key in self.wake_events:
            self.wake_events[shard.key].set()
        if shard.key not in self.active_shards and self.task_group is not None:
            self.active_shards.add(shard.key)
            self.task_group.start_soon(self.run_shard, shard)

    async def run_shard(self, shard: LedgerShard) -> None:
        """Execute the steps of a shard until none is left."""
        try:
            while (step := shard.next_step()) is not None:
                if isinstance(step, Wait):
                    await self.wait_for_work(shard, step)
                else:
                    shard.on_result(step, await execute_step(self.store, step))
        finally:
            self.active_shards.discard(shard.key)

    async def wait_for_work(self, shard: LedgerShard, step: Wait) -> None:
        """Wait until the time of the step or until the shard has new work."""
        woken = self.wake_events[shard.key] = anyio.Event()
        delay_ms = max(1, step.until_ms - self.clock.now_ms())
        with anyio.move_on_after(delay_ms / MS_PER_S):
            await woken.wait()

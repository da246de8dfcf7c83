"""Servers lost and store calls while a caller repeats a request that crashes."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import anyio

from medlarridge._internal.clock import MS_PER_S, ManualClock
from medlarridge._internal.coordination.crash_guard import (
    CrashGuard,
    GuardRefusal,
    Refuse,
    Run,
    WaitIdle,
)
from medlarridge._internal.coordination.suspect_store_requests import ClaimRequest
from medlarridge._internal.coordination.suspect_table import MAX_NOTICES
from medlarridge._internal.protocol.suspects import SuspectNotices
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.state.suspect_store import SuspectStore

from ..report import Row
from . import measure

SEED = 2205
SERVERS = 30
RUNNING = 34
"""Requests on one server: 1,324 tokens/s at 26 ms a token."""
RUN_MS = 5_000
END_MS = 60_000
STEP_MS = 100
RESEND_MS = 500
RESTART_MS = 5_000
PUSH_FANOUT = 3
MAX_PUSHED = 100
"""Notices in one push; the requests of one server fit into two datagrams."""
CULPRIT = "culprit"
ROUTE = "chat"


async def no_sleep(seconds: float) -> None:
    """Return at once; the clock of the measurement is manual."""


@dataclass
class Waiting:
    """An innocent request that runs or waits for another try."""

    fingerprint: str
    struck_ms: int = -1
    server: int = -1
    ends_ms: int = 0
    held_at: int = -1
    """Server that is being emptied for this request."""


@dataclass
class Result:
    """What a run lost and cost."""

    lost: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    delays_ms: list[int] = field(default_factory=list)
    innocent_refused: int = 0
    messages: int = 0


class Simulation:
    """A pool whose servers are full of innocent requests, and one culprit."""

    def __init__(self, guarded: bool, copies: int) -> None:
        self.guarded = guarded
        self.copies = copies
        self.random = Random(SEED)
        self.clock = ManualClock(10**12)
        self.memory = MemoryStore()
        self.store = SuspectStore(self.memory, self.clock, self.random, no_sleep)
        self.guards = [CrashGuard(self.clock, f"{each}-0") for each in range(SERVERS)]
        self.up_ms = [0] * SERVERS
        self.result = Result()
        self.innocent = [Waiting(f"i{each}") for each in range(SERVERS * RUNNING)]
        self.culprits: dict[int, int] = {}

    async def run(self) -> Result:
        """Run until the end."""
        start = self.clock.now_ms()
        while (now := self.clock.now_ms() - start) < END_MS:
            for server, ends_ms in list(self.culprits.items()):
                if ends_ms <= now:
                    await self.crash(server, now)
            if now % RESEND_MS == 0:
                for _ in range(self.copies):
                    await self.send_culprit(now)
            for each in self.innocent:
                await self.step_innocent(each, now)
            if now % MS_PER_S == 0:
                self.spread()
            self.clock.advance(STEP_MS)
        self.result.calls = self.memory.calls
        return self.result

    async def crash(self, server: int, now: int) -> None:
        """Let a server die with all that it runs."""
        self.result.lost += 1
        self.up_ms[server] = now + RESTART_MS
        self.guards[server].server_died(f"{server}-{self.result.lost}")
        del self.culprits[server]
        for each in self.innocent:
            if each.server == server:
                each.server = -1
                each.struck_ms = now
        if self.guarded:
            await self.flush(server)
            if (
                message := self.guards[server].suspects.notices(MAX_PUSHED)
            ) is not None:
                self.push(message, PUSH_FANOUT)
        else:
            for guard in self.guards:
                guard.suspects.known.clear()

    async def send_culprit(self, now: int) -> None:
        """Send one copy to a random server that is up."""
        server = self.random.randrange(SERVERS)
        if self.up_ms[server] > now or CULPRIT in self.guards[server].running:
            return
        answer = await self.start(server, CULPRIT)
        if answer == Run():
            self.culprits[server] = now + self.random.randrange(STEP_MS, RUN_MS)

    async def step_innocent(self, each: Waiting, now: int) -> None:
        """End a request that is done, or try to start one."""
        if each.server >= 0:
            if each.ends_ms > now:
                return
            guard = self.guards[each.server]
            guard.finished(each.fingerprint, succeeded=True)
            if self.guarded:
                await self.flush(each.server)
            if each.struck_ms >= 0:
                self.result.delays_ms.append(now - RUN_MS - each.struck_ms)
            each.server = each.struck_ms = -1
        server = each.held_at
        if server < 0:
            server = self.random.randrange(SERVERS)
            if len(self.guards[server].running) > 2 * RUNNING:
                return
        each.held_at = -1
        if self.up_ms[server] > now:
            return
        answer = await self.start(server, each.fingerprint)
        if answer == Run():
            each.server, each.ends_ms = server, now + RUN_MS
        elif isinstance(answer, WaitIdle):
            each.held_at = server
        elif answer.reason is GuardRefusal.CRASHES_SERVERS:
            self.result.innocent_refused += 1

    async def start(self, server: int, fingerprint: str) -> Run | WaitIdle | Refuse:
        """Try to start a request at a server, or go on waiting there."""
        guard = self.guards[server]
        answer = guard.admit(fingerprint, ROUTE, fingerprint)
        if not isinstance(answer, ClaimRequest):
            return answer
        result = await self.store.apply(answer)
        return guard.claim_decided(answer, result.unwrap())

    async def flush(self, server: int) -> None:
        """Store what is pending at a server."""
        guard = self.guards[server]
        for request in list(guard.pending):
            guard.request_stored(request, (await self.store.apply(request)).unwrap())

    def spread(self) -> None:
        """Let each guard gossip to one other, as membership does."""
        for guard in self.guards if self.guarded else ():
            if (message := guard.suspects.notices(MAX_NOTICES)) is not None:
                self.push(message, 1)

    def push(self, message: SuspectNotices, fanout: int) -> None:
        """Deliver notices to random guards, which push on what is news to them."""
        pending = [(message, fanout)]
        while pending:
            message, fanout = pending.pop()
            for peer in self.random.sample(self.guards, fanout):
                self.result.messages += 1
                if (news := peer.suspects.receive(message)) is not None:
                    pending.append((news, PUSH_FANOUT))


@measure.scenario("crash-guard")
def crash_guard_rows() -> list[Row]:
    """Measure a caller that repeats one copy, and one that repeats four at once."""
    rows = []
    for copies in (1, 4):
        guarded = anyio.run(Simulation(True, copies).run)
        bare = anyio.run(Simulation(False, copies).run)
        name = f"crash guard, {copies} copies every {RESEND_MS} ms"
        struck = len(guarded.delays_ms)
        delays = sorted(guarded.delays_ms) or [0]
        rows += [
            Row(
                f"{name}: servers lost in 60 s",
                guarded.lost,
                "servers",
                baseline=f"no guard {bare.lost} of {SERVERS}; seed {SEED}",
            ),
            Row(
                f"{name}: writes per crash",
                guarded.calls["put"] / guarded.lost,
                "writes",
                baseline=f"{struck / guarded.lost:.0f} innocents struck per crash",
            ),
            Row(
                f"{name}: p95 delay of innocents",
                delays[int(0.95 * len(delays))],
                "ms",
            ),
            Row(
                f"{name}: innocents refused for an hour",
                guarded.innocent_refused,
                "requests",
                "0",
                met=guarded.innocent_refused == 0,
            ),
        ]
    return rows

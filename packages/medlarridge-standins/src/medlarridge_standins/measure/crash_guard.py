"""Servers lost and store calls while a caller repeats a request that crashes them."""

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
REQUESTS_PER_SERVER = 34
"""Concurrent requests on one server: 1,324 tokens/s at 26 ms per token."""
REQUEST_DURATION_MS = 5_000
END_MS = 60_000
STEP_MS = 100
RESEND_INTERVAL_MS = 500
RESTART_MS = 5_000
PUSH_FANOUT = 3
MAX_NOTICES_PER_PUSH = 100
"""Enough for all requests of one server; they fit into two datagrams."""
CULPRIT = "culprit"
ROUTE = "chat"


async def no_sleep(seconds: float) -> None:
    """Return without sleeping, because the simulation uses a manual clock."""


@dataclass
class InnocentRequest:
    """A harmless request that is running or waiting to be sent again."""

    fingerprint: str
    interrupted_ms: int = -1
    server: int = -1
    ends_ms: int = 0
    draining_server: int = -1
    """Server that takes no new work until this request can run alone, or -1."""


@dataclass
class Result:
    """Servers lost, and the cost of a run in store calls, delays and messages."""

    servers_lost: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    delays_ms: list[int] = field(default_factory=list)
    innocent_refused: int = 0
    messages: int = 0


class Simulation:
    """Simulation of a pool that is full of harmless requests, and one culprit.

    The culprit is the request that crashes its server.
    """

    def __init__(self, guarded: bool, copies: int) -> None:
        self.guarded = guarded
        self.copies = copies
        self.random = Random(SEED)
        self.clock = ManualClock(10**12)
        self.memory = MemoryStore()
        self.store = SuspectStore(self.memory, self.clock, self.random, no_sleep)
        self.guards = [CrashGuard(self.clock, f"{each}-0") for each in range(SERVERS)]
        self.up_at_ms = [0] * SERVERS
        self.result = Result()
        self.innocent_requests = [
            InnocentRequest(f"i{each}") for each in range(SERVERS * REQUESTS_PER_SERVER)
        ]
        self.culprit_ends_ms: dict[int, int] = {}

    async def run(self) -> Result:
        """Run until ``END_MS``."""
        start_ms = self.clock.now_ms()
        while (now_ms := self.clock.now_ms() - start_ms) < END_MS:
            for server, ends_ms in list(self.culprit_ends_ms.items()):
                if ends_ms <= now_ms:
                    await self.crash(server, now_ms)
            if now_ms % RESEND_INTERVAL_MS == 0:
                for _ in range(self.copies):
                    await self.send_culprit(now_ms)
            for each in self.innocent_requests:
                await self.step_innocent(each, now_ms)
            if now_ms % MS_PER_S == 0:
                self.gossip()
            self.clock.advance(STEP_MS)
        self.result.calls = self.memory.calls
        return self.result

    async def crash(self, server: int, now_ms: int) -> None:
        """Crash a server and interrupt all its requests."""
        self.result.servers_lost += 1
        self.up_at_ms[server] = now_ms + RESTART_MS
        self.guards[server].server_died(f"{server}-{self.result.servers_lost}")
        del self.culprit_ends_ms[server]
        for each in self.innocent_requests:
            if each.server == server:
                each.server = -1
                each.interrupted_ms = now_ms
        if self.guarded:
            await self.store_pending(server)
            if (
                message := self.guards[server].suspects.notices(MAX_NOTICES_PER_PUSH)
            ) is not None:
                self.push_notices(message, PUSH_FANOUT)
        else:
            for guard in self.guards:
                guard.suspects.known.clear()

    async def send_culprit(self, now_ms: int) -> None:
        """Send one copy of the culprit to a random server, if that server is up."""
        server = self.random.randrange(SERVERS)
        if self.up_at_ms[server] > now_ms or CULPRIT in self.guards[server].running:
            return
        decision = await self.start_request(server, CULPRIT)
        if decision == Run():
            self.culprit_ends_ms[server] = now_ms + self.random.randrange(
                STEP_MS, REQUEST_DURATION_MS
            )

    async def step_innocent(self, each: InnocentRequest, now_ms: int) -> None:
        """Finish a request whose time is over, or try to start one that waits."""
        if each.server >= 0:
            if each.ends_ms > now_ms:
                return
            guard = self.guards[each.server]
            guard.finished(each.fingerprint, succeeded=True)
            if self.guarded:
                await self.store_pending(each.server)
            if each.interrupted_ms >= 0:
                self.result.delays_ms.append(
                    now_ms - REQUEST_DURATION_MS - each.interrupted_ms
                )
            each.server = each.interrupted_ms = -1
        server = each.draining_server
        if server < 0:
            server = self.random.randrange(SERVERS)
            if len(self.guards[server].running) > 2 * REQUESTS_PER_SERVER:
                return
        each.draining_server = -1
        if self.up_at_ms[server] > now_ms:
            return
        decision = await self.start_request(server, each.fingerprint)
        if decision == Run():
            each.server, each.ends_ms = server, now_ms + REQUEST_DURATION_MS
        elif isinstance(decision, WaitIdle):
            each.draining_server = server
        elif decision.reason is GuardRefusal.CRASHES_SERVERS:
            self.result.innocent_refused += 1

    async def start_request(
        self, server: int, fingerprint: str
    ) -> Run | WaitIdle | Refuse:
        """Ask the guard of a server to admit a request; claim it if needed."""
        guard = self.guards[server]
        decision = guard.admit(fingerprint, ROUTE, fingerprint)
        if not isinstance(decision, ClaimRequest):
            return decision
        result = await self.store.apply(decision)
        return guard.claim_decided(decision, result.unwrap())

    async def store_pending(self, server: int) -> None:
        """Carry out the pending store requests of a server's guard."""
        guard = self.guards[server]
        for request in list(guard.pending):
            guard.request_stored(request, (await self.store.apply(request)).unwrap())

    def gossip(self) -> None:
        """Send the notices of each guard to one random guard, as membership does."""
        for guard in self.guards if self.guarded else ():
            if (message := guard.suspects.notices(MAX_NOTICES)) is not None:
                self.push_notices(message, 1)

    def push_notices(self, message: SuspectNotices, fanout: int) -> None:
        """Deliver notices to random guards, which forward those new to them."""
        pending = [(message, fanout)]
        while pending:
            message, fanout = pending.pop()
            for peer in self.random.sample(self.guards, fanout):
                self.result.messages += 1
                if (new_notices := peer.suspects.receive(message)) is not None:
                    pending.append((new_notices, PUSH_FANOUT))


@measure.scenario("crash-guard")
def crash_guard_rows() -> list[Row]:
    """Measure a caller that sends one copy at a time, and one that sends four."""
    rows = []
    for copies in (1, 4):
        guarded = anyio.run(Simulation(True, copies).run)
        unguarded = anyio.run(Simulation(False, copies).run)
        name = f"crash guard, {copies} copies every {RESEND_INTERVAL_MS} ms"
        delayed_count = len(guarded.delays_ms)
        delays = sorted(guarded.delays_ms) or [0]
        rows += [
            Row(
                f"{name}: servers lost in 60 s",
                guarded.servers_lost,
                "servers",
                baseline=f"no guard {unguarded.servers_lost} of {SERVERS}; seed {SEED}",
            ),
            Row(
                f"{name}: writes per crash",
                guarded.calls["put"] / guarded.servers_lost,
                "writes",
                baseline=f"{delayed_count / guarded.servers_lost:.0f} innocents struck per crash",
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

from random import Random

import msgspec
import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.crash_guard import (
    ISOLATION_WAIT_MS,
    CrashGuard,
    GuardRefusal,
    Refuse,
    Run,
    WaitIdle,
)
from medlarridge._internal.coordination.suspect_store_requests import (
    ClaimRequest,
    shard_of,
)
from medlarridge._internal.protocol.suspects import (
    Strike,
    Suspect,
    SuspectNotice,
    SuspectNotices,
    SuspectShard,
)
from medlarridge._internal.state.memory import MemoryStore, StoreFault
from medlarridge._internal.state.suspect_store import SuspectStore

START_MS = 10**12
SHARD = shard_of("r")


async def no_sleep(seconds):
    pass


class GuardCase:
    def setup_method(self):
        self.clock = ManualClock(START_MS)
        self.memory = MemoryStore()
        self.store = SuspectStore(self.memory, self.clock, Random(1), no_sleep)
        self.guard = CrashGuard(self.clock, "a-1")

    def learn(self, fingerprint, strikes, version=1, age_ms=0):
        notice = SuspectNotice(fingerprint, strikes, age_ms, version)
        return self.guard.suspects.receive(SuspectNotices([notice]))

    async def put_strikes(self, count, version=0):
        strikes = [Strike(f"b-{each}", START_MS) for each in range(count)]
        shard = SuspectShard({"x": Suspect(strikes)} if strikes else {})
        await self.memory.put(SHARD, msgspec.msgpack.encode(shard), version)

    async def flush(self, guard):
        for request in list(guard.pending):
            result = await self.store.apply(request)
            if result.is_ok():
                guard.request_stored(request, result.ok_value)

    async def start(self, guard, attempt, fingerprint):
        decision = guard.admit(attempt, "r", fingerprint)
        if isinstance(decision, ClaimRequest):
            result = await self.store.apply(decision)
            decision = guard.claim_decided(
                decision, result.ok_value if result.is_ok() else None
            )
        return decision


class TestCrashGuard(GuardCase):
    def test_admits_one_suspect_at_a_time(self):
        """Guards against a strike for a suspect that is caused by another suspect."""
        self.learn("x", 1)
        self.learn("y", 1)
        assert isinstance(self.guard.admit("1", "r", "x"), ClaimRequest)
        assert self.guard.admit("2", "r", "y").reason is GuardRefusal.SUSPECT_RUNS_HERE
        assert self.guard.admit("3", "r", "innocent") == Run()

    async def test_suspect_with_two_strikes_runs_alone(self):
        """Guards against refusing an innocent suspect that ran next to a culprit."""
        await self.put_strikes(2)
        self.guard.admit("old", "r", "other")
        self.learn("x", 2)
        wait = self.guard.admit("1", "r", "x")
        assert wait == WaitIdle(START_MS + ISOLATION_WAIT_MS)
        refused = self.guard.admit("2", "r", "new")
        assert refused.reason is GuardRefusal.SERVER_ISOLATED
        self.guard.finished("old", succeeded=True)
        assert await self.start(self.guard, "1", "x") == Run()
        assert isinstance(self.guard.admit("3", "r", "new"), Refuse)
        self.guard.finished("1", succeeded=True)
        assert self.guard.admit("3", "r", "new") == Run()

    def test_isolation_ends_if_the_server_does_not_become_idle(self):
        """Guards against a server that takes no work because of one suspect."""
        self.guard.admit("old", "r", "other")
        self.learn("x", 2)
        self.guard.admit("1", "r", "x")
        self.clock.advance(ISOLATION_WAIT_MS)
        refused = self.guard.admit("1", "r", "x")
        assert refused.reason is GuardRefusal.SERVER_NOT_IDLE
        assert self.guard.admit("2", "r", "new") == Run()

    async def test_late_notice_does_not_restore_a_cleared_suspect(self):
        """Guards against innocent requests that remain suspects."""
        await self.put_strikes(1)
        self.learn("x", 1)
        assert await self.start(self.guard, "1", "x") == Run()
        assert self.guard.running["1"].claim is not None
        self.guard.finished("1", succeeded=True)
        await self.flush(self.guard)
        assert self.guard.suspects.strikes_of("x") == 0
        self.learn("x", 1, version=1)
        assert self.guard.suspects.strikes_of("x") == 0
        assert self.guard.suspects.notices().notices[0].strikes == 0

    async def test_suspect_cleared_elsewhere_needs_no_write(self):
        """Guards against claims for suspects that other processes have cleared."""
        await self.put_strikes(2)
        self.learn("x", 2, version=1)
        await self.put_strikes(0, version=1)
        assert await self.start(self.guard, "1", "x") == Run()
        assert self.memory.calls["put"] == 2
        assert self.guard.suspects.strikes_of("x") == 0 and self.guard.isolation is None

    async def test_waiting_suspect_gets_no_strike_when_the_server_dies(self):
        """Guards against a strike for a request that never reached the server."""
        self.guard.admit("1", "r", "innocent")
        self.learn("x", 1)
        claim = self.guard.admit("2", "r", "x")
        self.guard.server_died("a-2")
        view = (await self.store.apply(claim)).unwrap()
        assert isinstance(self.guard.claim_decided(claim, view), Refuse)
        await self.flush(self.guard)
        view = (await self.store.read(SHARD)).unwrap()
        assert list(view.shard.suspects) == ["innocent"]
        assert not self.guard.pending

    def test_gossips_a_notice_a_limited_number_of_times(self):
        """Guards against endless gossip and against invalid notices."""
        assert self.learn("x", 1) is not None
        assert self.learn("x", 1) is None
        assert self.learn("y", -1) is None
        assert self.learn("y", 3, age_ms=-5) is None
        sent = 0
        while self.guard.suspects.notices() is not None:
            sent += 1
        assert sent == 12

    def test_unstored_strikes_count(self):
        """Guards against ignoring strikes while the store is down."""
        self.learn("x", 2, version=4)
        self.learn("x", 3, version=0)
        assert isinstance(self.guard.admit("1", "r", "x"), Refuse)

    async def test_only_a_run_alone_gives_the_third_strike(self):
        """Guards against refusing a request next to which others crashed the server."""
        for number in range(4):
            guard = CrashGuard(self.clock, f"b{number}")
            guard.admit("1", "r", "x")
            guard.admit("2", "r", "other")
            guard.server_died(f"b{number}'")
            await self.flush(guard)
        assert guard.suspects.strikes_of("x") == 2
        assert await self.start(guard, "1", "x") == Run()
        guard.server_died("again")
        assert guard.suspects.strikes_of("x") == 3


class TestSuspectStore(GuardCase):
    @pytest.mark.parametrize("fault", [StoreFault.LOST_BEFORE, StoreFault.LOST_AFTER])
    async def test_repeated_write_after_a_lost_reply_has_no_effect(self, fault):
        """Guards against a double claim or a lost strike when a reply is lost."""
        self.memory.faults = {2: fault, 5: fault}
        self.guard.admit("1", "r", "x")
        self.guard.server_died("a-2")
        await self.flush(self.guard)
        assert await self.start(self.guard, "2", "x") == Run()
        view = (await self.store.read(SHARD)).unwrap()
        assert len(view.shard.suspects["x"].strikes) == 1
        assert view.shard.suspects["x"].claim.server == "a-2"

    async def test_strikes_survive_a_restart(self):
        """Guards against running a culprit again after processes restart."""
        for server in ("a-1", "b-1", "c-1"):
            guard = CrashGuard(self.clock, server)
            for view in (await self.store.load()).unwrap():
                guard.suspects.learn_shard(view)
            assert await self.start(guard, "1", "x") == Run()
            guard.server_died(server + "'")
            await self.flush(guard)
        for view in (await self.store.load()).unwrap():
            self.guard.suspects.learn_shard(view)
        refusal = self.guard.admit("1", "r", "x")
        assert refusal.reason is GuardRefusal.CRASHES_SERVERS

    async def test_outage_refuses_suspects_and_keeps_strikes(self):
        """Guards against suspects that run without a claim during an outage."""
        self.memory.available = False
        self.guard.admit("1", "r", "x")
        self.guard.server_died("a-2")
        await self.flush(self.guard)
        refusal = await self.start(self.guard, "2", "x")
        assert refusal.reason is GuardRefusal.STORE_UNAVAILABLE
        assert self.guard.admit("3", "r", "other") == Run()
        self.memory.available = True
        await self.flush(self.guard)
        assert not self.guard.pending
        assert await self.start(self.guard, "4", "x") == Run()

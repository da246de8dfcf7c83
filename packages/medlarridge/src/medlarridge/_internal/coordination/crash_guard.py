"""Requests that crash servers.

Every request that runs on a server when it dies gets a strike. A suspect, that is a
fingerprint with a strike, runs only under a claim: a conditional update of the same
stored object that holds the strikes. So two claimed runs of one fingerprint never
overlap and a claim always sees all stored strikes. With two strikes a suspect runs
alone on its server; the strike of such a run is the third and refuses it everywhere.
Further strikes beside other requests do not refuse it, because the others may be
guilty. docs/decisions/crash-guard.md derives how many servers can be lost.

``CrashGuard`` holds the state of one process and does no I/O. It returns requests
that ``SuspectStore`` carries out and takes back what the store holds.
"""

import itertools
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import anyio
import msgspec
import xxhash
from result import Err, Ok, Result

from ..clock import MS_PER_S, Clock
from ..errors import StoreError, StoreErrorKind
from ..protocol.suspects import (
    Claim,
    Strike,
    Suspect,
    SuspectNotice,
    SuspectNotices,
    SuspectShard,
)
from ..protocol.tables import MAX_DEADLINE_MS
from ..state.store import CREATE, ObjectStore

SUSPECTS_PREFIX = "suspects/"
SHARDS = 64
REFUSED_STRIKES = 3
ISOLATED_STRIKES = 2
"""Strikes from which a suspect runs on a server with nothing else."""
MEMORY_MS = 3_600_000
CLAIM_MS = MAX_DEADLINE_MS + 30_000
"""Time after which a claim counts as a strike: its process died or was paused."""
ISOLATION_WAIT_MS = 10_000
"""Longest time for which a server is emptied for an isolated run."""
RETRY_AFTER_MS = 2_000
MAX_SUSPECTS_PER_SHARD = 2_000
MAX_KNOWN_SUSPECTS = 50_000
MAX_NOTICES = 6
"""Notices in one gossip datagram, about 30 bytes each."""
NOTICE_SENDS = 12
"""Times that a process gossips one notice, enough to reach thousands of nodes."""
MAX_STORE_TRIES = 8
STORE_BACKOFF_MS = 4
"""About the time of a call to the store, doubled with each try."""


def shard_of(route: str) -> str:
    """Return the key of the object that holds the suspects of a route.

    The requests that share a server mostly share a route, so one crash needs one
    write. A hash of the fingerprint would need a write for each of them. A
    fingerprint belongs to one route.
    """
    return f"{SUSPECTS_PREFIX}{xxhash.xxh32_intdigest(route.encode()) % SHARDS:02d}"


class GuardRefusal(StrEnum):
    """Why a request does not run here now."""

    CRASHES_SERVERS = "crashes-servers"
    SUSPECT_RUNS_HERE = "suspect-runs-here"
    SUSPECT_RUNS_ELSEWHERE = "suspect-runs-elsewhere"
    SERVER_ISOLATED = "server-isolated"
    SERVER_NOT_IDLE = "server-not-idle"
    STORE_UNAVAILABLE = "store-unavailable"


@dataclass(frozen=True)
class Run:
    """The request may run; the guard counts it as running."""


@dataclass(frozen=True)
class WaitIdle:
    """Hold other work back and ask again when nothing runs, or at the time."""

    until_ms: int


@dataclass(frozen=True)
class Refuse:
    """The request does not run here; only ``CRASHES_SERVERS`` holds everywhere."""

    reason: GuardRefusal
    retry_after_ms: int


@dataclass(frozen=True)
class ClaimRequest:
    """Ask the store for the right to run a suspect.

    ``unsaved`` is set if its strikes may not have reached the store yet.
    """

    shard: str
    fingerprint: str
    claim: Claim
    unsaved: bool = False


@dataclass(frozen=True)
class StrikeRequest:
    """Store a strike for each request that a dead server was running."""

    shard: str
    fingerprints: tuple[str, ...]
    strike: Strike


@dataclass(frozen=True)
class ClearRequest:
    """Remove the strikes that a request had when it succeeded."""

    shard: str
    fingerprint: str
    succeeded_ms: int


@dataclass(frozen=True)
class ReleaseRequest:
    """Give a claim back without a result, such as after a cancel."""

    shard: str
    fingerprint: str
    claim: Claim


StoreRequest = ClaimRequest | StrikeRequest | ClearRequest | ReleaseRequest


@dataclass(frozen=True)
class ShardView:
    """A shard as it was read or written."""

    key: str
    version: int
    shard: SuspectShard


@dataclass
class KnownSuspect:
    """What this process knows about a fingerprint."""

    strikes: int
    last_strike_ms: int
    version: int


@dataclass
class RunningRequest:
    """A request on the server beside this process.

    ``started`` is false while a suspect waits for its claim.
    """

    route: str
    fingerprint: str
    claim: Claim | None = None
    started: bool = True


@dataclass
class Isolation:
    """The attempt for which the server is kept free of other work."""

    attempt: str
    until_ms: int


@dataclass
class CrashGuard:
    """Crash suspicion at one sidecar; routers use only the table of suspects.

    ``clock`` gives the time since the epoch, because records are shared.
    ``server`` identifies one start of the backend server: two strikes with the same
    value count once. The owner carries out ``pending`` until the store takes it, and
    calls ``withdraw`` for an attempt that ends while it waits for an idle server.
    """

    clock: Clock
    server: str
    known: OrderedDict[str, KnownSuspect] = field(default_factory=OrderedDict)
    running: dict[str, RunningRequest] = field(default_factory=dict)
    isolation: Isolation | None = None
    pending: list[StrikeRequest | ClearRequest | ReleaseRequest] = field(
        default_factory=list
    )
    sends_left: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def admit(
        self, attempt: str, route: str, fingerprint: str
    ) -> Run | ClaimRequest | WaitIdle | Refuse:
        """Decide about an attempt; after a claim the answer is in ``claimed``."""
        if attempt in self.running:
            raise ValueError(f"attempt {attempt} is running already")
        now = self.clock.now_ms()
        strikes = self.strikes_of(fingerprint)
        if strikes >= REFUSED_STRIKES:
            return self.refuse_everywhere(fingerprint)
        if (holder := self.isolation) is not None:
            if holder.until_ms <= now and holder.attempt not in self.running:
                self.isolation = None
                if holder.attempt == attempt and self.running:
                    return Refuse(GuardRefusal.SERVER_NOT_IDLE, RETRY_AFTER_MS)
            elif holder.attempt != attempt:
                return Refuse(GuardRefusal.SERVER_ISOLATED, RETRY_AFTER_MS)
        if not strikes:
            self.running[attempt] = RunningRequest(route, fingerprint)
            return Run()
        if any(self.strikes_of(each.fingerprint) for each in self.running.values()):
            return Refuse(GuardRefusal.SUSPECT_RUNS_HERE, RETRY_AFTER_MS)
        if strikes >= ISOLATED_STRIKES and self.running:
            return self.wait_idle(attempt)
        claim = Claim(self.server, attempt, now, alone=strikes >= ISOLATED_STRIKES)
        return self.hold_for_claim(attempt, route, fingerprint, claim)

    def wait_idle(self, attempt: str) -> WaitIdle | Refuse:
        """Keep new work away until the server is idle, for a bounded time."""
        now = self.clock.now_ms()
        if self.isolation is None:
            self.isolation = Isolation(attempt, now + ISOLATION_WAIT_MS)
        return WaitIdle(self.isolation.until_ms)

    def hold_for_claim(
        self, attempt: str, route: str, fingerprint: str, claim: Claim
    ) -> ClaimRequest:
        """Count the suspect as running while the store decides about its claim."""
        self.running[attempt] = RunningRequest(route, fingerprint, claim, started=False)
        if claim.alone:
            self.isolation = Isolation(attempt, claim.at_ms + CLAIM_MS)
        unsaved = self.known[fingerprint].version == 0
        return ClaimRequest(shard_of(route), fingerprint, claim, unsaved)

    def claimed(self, request: ClaimRequest, view: ShardView | None) -> Run | Refuse:
        """Decide about a claim from the shard as stored, nothing if unavailable."""
        attempt = request.claim.attempt
        if view is None or attempt not in self.running:
            # The claim may have been stored although no answer came, or the server
            # died in the meantime.
            release = ReleaseRequest(request.shard, request.fingerprint, request.claim)
            self.pending.append(release)
            self.withdraw(attempt)
            return Refuse(GuardRefusal.STORE_UNAVAILABLE, RETRY_AFTER_MS)
        self.learn_shard(view)
        suspect = view.shard.suspects.get(request.fingerprint, Suspect())
        if not request.unsaved and suspect == Suspect():
            # It was cleared in the meantime and runs like any other request.
            self.learn(request.fingerprint, 0, self.clock.now_ms(), view.version)
            route = self.running[attempt].route
            self.withdraw(attempt)
            self.running[attempt] = RunningRequest(route, request.fingerprint)
            return Run()
        if suspect.claim == request.claim:
            self.running[attempt].started = True
            return Run()
        self.withdraw(attempt)
        if counted(suspect) >= REFUSED_STRIKES:
            return self.refuse_everywhere(request.fingerprint)
        return Refuse(GuardRefusal.SUSPECT_RUNS_ELSEWHERE, RETRY_AFTER_MS)

    def withdraw(self, attempt: str) -> None:
        """Forget an attempt that does not run after all."""
        self.running.pop(attempt, None)
        if self.isolation is not None and self.isolation.attempt == attempt:
            self.isolation = None

    def finished(self, attempt: str, succeeded: bool) -> None:
        """Count an attempt as ended and note in ``pending`` what the store learns."""
        request = self.running.get(attempt)
        self.withdraw(attempt)
        if request is None or not request.fingerprint:
            return
        shard = shard_of(request.route)
        if succeeded and self.strikes_of(request.fingerprint):
            now = self.clock.now_ms()
            self.pending.append(ClearRequest(shard, request.fingerprint, now))
        elif request.claim is not None:
            self.pending.append(
                ReleaseRequest(shard, request.fingerprint, request.claim)
            )

    def server_died(self, next_server: str) -> None:
        """Note a strike for every running request in ``pending``.

        The owner stores them before it ends the streams, so that a caller who sends
        the request again meets the strike. ``next_server`` identifies the next start
        of the server.
        """
        now = self.clock.now_ms()
        claims = [each.claim for each in self.running.values() if each.started]
        alone = any(claim is not None and claim.alone for claim in claims)
        strike = Strike(self.server, now, alone)
        by_shard: dict[str, set[str]] = {}
        for each in self.running.values():
            shard = shard_of(each.route)
            if not each.started and each.claim is not None:
                release = ReleaseRequest(shard, each.fingerprint, each.claim)
                self.pending.append(release)
            elif each.fingerprint:
                by_shard.setdefault(shard, set()).add(each.fingerprint)
                strikes = self.strikes_of(each.fingerprint) + 1
                counts = REFUSED_STRIKES if alone else min(strikes, ISOLATED_STRIKES)
                self.learn(each.fingerprint, counts, now, 0)
        requests = [
            StrikeRequest(shard, tuple(sorted(fingerprints)), strike)
            for shard, fingerprints in by_shard.items()
        ]
        self.pending += requests
        self.running.clear()
        self.isolation = None
        self.server = next_server

    def saved(
        self, request: StrikeRequest | ClearRequest | ReleaseRequest, view: ShardView
    ) -> None:
        """Take over the stored state after a pending request was carried out."""
        if request in self.pending:
            self.pending.remove(request)
        if (
            isinstance(request, ClearRequest)
            and request.fingerprint not in view.shard.suspects
        ):
            self.learn(request.fingerprint, 0, self.clock.now_ms(), view.version)
        self.learn_shard(view)

    def learn_shard(self, view: ShardView) -> None:
        """Take over the strikes of a shard that was read."""
        for fingerprint, suspect in view.shard.suspects.items():
            if suspect.strikes:
                last_ms = max(strike.at_ms for strike in suspect.strikes)
                self.learn(fingerprint, counted(suspect), last_ms, view.version)

    def learn(
        self, fingerprint: str, strikes: int, last_strike_ms: int, version: int
    ) -> bool:
        """Take over newer knowledge about a fingerprint; return whether it is new."""
        now = self.clock.now_ms()
        last_ms = min(last_strike_ms, now)
        known = self.known.get(fingerprint)
        if last_ms + MEMORY_MS <= now or not (known or strikes or version):
            return False
        if known is not None and not replaces(known, strikes, version):
            return False
        is_news = known is None or known.strikes != strikes
        # A cleared suspect is kept, so that a late notice does not bring it back.
        version = max(version, known.version if known else 0)
        self.known[fingerprint] = KnownSuspect(strikes, last_ms, version)
        self.known.move_to_end(fingerprint)
        if is_news:
            self.sends_left[fingerprint] = NOTICE_SENDS
        if len(self.known) > MAX_KNOWN_SUSPECTS:
            oldest, _ = self.known.popitem(last=False)
            self.sends_left.pop(oldest, None)
        return is_news

    def receive(self, message: SuspectNotices) -> SuspectNotices | None:
        """Learn from a peer; return what is news and should be pushed on."""
        now = self.clock.now_ms()
        news = [
            notice
            for notice in message.notices
            if notice.strikes >= 0
            and 0 <= notice.age_ms < MEMORY_MS
            and self.learn(
                notice.fingerprint, notice.strikes, now - notice.age_ms, notice.version
            )
        ]
        return SuspectNotices(news) if news else None

    def notices(self, most: int = MAX_NOTICES) -> SuspectNotices | None:
        """Return the notices that are due for gossip, in turn."""
        now = self.clock.now_ms()
        due = []
        for fingerprint in list(itertools.islice(self.sends_left, most)):
            left = self.sends_left.pop(fingerprint) - 1
            known = self.known.get(fingerprint)
            if known is None or known.last_strike_ms + MEMORY_MS <= now:
                continue
            if left:
                self.sends_left[fingerprint] = left
            age_ms = now - known.last_strike_ms
            due.append(SuspectNotice(fingerprint, known.strikes, age_ms, known.version))
        return SuspectNotices(due) if due else None

    def strikes_of(self, fingerprint: str) -> int:
        """Return the strikes that this process knows of, as they count."""
        known = self.known.get(fingerprint)
        if known is None:
            return 0
        if known.last_strike_ms + MEMORY_MS <= self.clock.now_ms():
            del self.known[fingerprint]
            return 0
        return known.strikes

    def refuse_everywhere(self, fingerprint: str) -> Refuse:
        """Return the refusal of a fingerprint with three strikes."""
        known = self.known[fingerprint]
        left_ms = known.last_strike_ms + MEMORY_MS - self.clock.now_ms()
        return Refuse(GuardRefusal.CRASHES_SERVERS, left_ms)


def replaces(known: KnownSuspect, strikes: int, version: int) -> bool:
    """Return whether knowledge of a version replaces what is known.

    Strikes that could not be stored have version 0 and only add to the stored ones.
    """
    if version > known.version:
        return True
    return version in (0, known.version) and strikes > known.strikes


def decide(
    shard: SuspectShard,
    request: StoreRequest,
    now_ms: int,
    is_gone: Callable[[str], bool],
) -> SuspectShard | None:
    """Return the shard after a request, nothing if it stays as it is.

    Every request may be applied twice with the effect of once, which makes it safe
    to repeat after an answer of the store was lost. ``is_gone`` tells whether the
    server of a claim is known to be dead.
    """
    suspects = {
        fingerprint: suspect
        for fingerprint, each in shard.suspects.items()
        if (suspect := expire(each, now_ms, is_gone)) is not None
    }
    match request:
        case StrikeRequest():
            for fingerprint in request.fingerprints:
                suspect = suspects.get(fingerprint, Suspect())
                suspects[fingerprint] = add_strike(suspect, request.strike)
        case ClaimRequest():
            suspect = suspects.get(request.fingerprint, Suspect())
            known = request.unsaved or suspect.strikes
            if known and may_claim(suspect, request.claim):
                claimed = Suspect(suspect.strikes, request.claim)
                suspects[request.fingerprint] = claimed
        case ClearRequest():
            suspect = suspects.pop(request.fingerprint, Suspect())
            if (rest := clear(suspect, request.succeeded_ms)) is not None:
                suspects[request.fingerprint] = rest
        case ReleaseRequest():
            suspect = suspects.get(request.fingerprint, Suspect())
            if suspect.claim == request.claim:
                suspects[request.fingerprint] = Suspect(suspect.strikes)
    result = SuspectShard(bound(suspects))
    return None if result == shard else result


def expire(
    suspect: Suspect, now_ms: int, is_gone: Callable[[str], bool]
) -> Suspect | None:
    """Return a suspect without what is too old, nothing if nothing is left.

    All strikes stay until an hour after the last one, so a refusal lasts an hour. A
    claim whose server is gone counts as a strike: most likely the VM died with it.
    """
    claim = suspect.claim
    if claim is not None and (
        claim.at_ms + CLAIM_MS <= now_ms or is_gone(claim.server)
    ):
        strike = Strike(claim.server, now_ms, claim.alone)
        suspect = add_strike(suspect, strike)
    last_ms = max((strike.at_ms for strike in suspect.strikes), default=0)
    if suspect.claim is None and last_ms + MEMORY_MS <= now_ms:
        return None
    return suspect


def clear(suspect: Suspect, succeeded_ms: int) -> Suspect | None:
    """Return what is later than a success, nothing if there is nothing.

    A clear may be stored late, after an outage of the store.
    """
    strikes = [strike for strike in suspect.strikes if strike.at_ms > succeeded_ms]
    claim = suspect.claim
    if claim is not None and claim.at_ms <= succeeded_ms:
        claim = None
    return Suspect(strikes, claim) if strikes or claim else None


def add_strike(suspect: Suspect, strike: Strike) -> Suspect:
    """Add a strike, once per start of a server, and end that server's claim."""
    strikes = suspect.strikes
    if all(each.server != strike.server for each in strikes):
        strikes = [*strikes, strike]
    claim = suspect.claim
    if claim is not None and claim.server == strike.server:
        claim = None
    return Suspect(strikes, claim)


def counted(suspect: Suspect) -> int:
    """Return the strikes as they count: the third only from a run alone."""
    if any(strike.alone for strike in suspect.strikes):
        return REFUSED_STRIKES
    return min(len(suspect.strikes), ISOLATED_STRIKES)


def may_claim(suspect: Suspect, claim: Claim) -> bool:
    """Return whether a suspect may run and no server runs it under a claim.

    With two strikes only a claim for a run alone is granted.
    """
    strikes = counted(suspect)
    if suspect.claim is not None or strikes >= REFUSED_STRIKES:
        return False
    return claim.alone or strikes < ISOLATED_STRIKES


def bound(suspects: dict[str, Suspect]) -> dict[str, Suspect]:
    """Drop the suspects with the fewest and oldest strikes from a full shard."""
    if len(suspects) <= MAX_SUSPECTS_PER_SHARD:
        return suspects

    def weight(item: tuple[str, Suspect]) -> tuple[int, int]:
        strikes = item[1].strikes
        return len(strikes), strikes[-1].at_ms if strikes else 0

    heaviest = sorted(suspects.items(), key=weight, reverse=True)
    return dict(heaviest[:MAX_SUSPECTS_PER_SHARD])


@dataclass
class SuspectStore:
    """Carries out store requests with conditional updates."""

    store: ObjectStore
    clock: Clock
    random: Random
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep
    is_gone: Callable[[str], bool] = lambda server: False

    async def load(self) -> Result[list[ShardView], StoreError]:
        """Return all shards, for a process that starts."""
        listed = await self.store.list(SUSPECTS_PREFIX)
        if isinstance(listed, Err):
            return listed
        views = []
        for name in listed.ok_value:
            read = await self.read(name.key)
            if isinstance(read, Err):
                return read
            views.append(read.ok_value)
        return Ok(views)

    async def carry_out(self, request: StoreRequest) -> Result[ShardView, StoreError]:
        """Apply a request and return the shard as it is stored afterwards."""
        error: StoreError | None = None
        for number in range(MAX_STORE_TRIES):
            if number:
                most_s = STORE_BACKOFF_MS * 2**number / MS_PER_S
                await self.sleep(self.random.uniform(0, most_s))
            result = await self.try_once(request)
            if isinstance(result, Ok):
                return result
            error = result.err_value
            if error.kind not in (StoreErrorKind.CONFLICT, StoreErrorKind.AMBIGUOUS):
                return result
            # Requests are idempotent: the next round sees whether this one took
            # effect.
        assert error is not None
        return Err(error)

    async def try_once(self, request: StoreRequest) -> Result[ShardView, StoreError]:
        """Read the shard, decide and write it if it changes."""
        read = await self.read(request.shard)
        if isinstance(read, Err):
            return read
        view = read.ok_value
        shard = decide(view.shard, request, self.clock.now_ms(), self.is_gone)
        if shard is None:
            return Ok(view)
        value = msgspec.msgpack.encode(shard)
        written = await self.store.put(view.key, value, view.version)
        if isinstance(written, Err):
            return written
        return Ok(ShardView(view.key, written.ok_value, shard))

    async def read(self, key: str) -> Result[ShardView, StoreError]:
        """Return one shard; a missing or malformed one is empty."""
        read = await self.store.get(key)
        if isinstance(read, Err):
            return read
        stored = read.ok_value
        if stored is None:
            return Ok(ShardView(key, CREATE, SuspectShard()))
        try:
            shard = msgspec.msgpack.decode(stored.value, type=SuspectShard)
        except msgspec.MsgspecError:
            shard = SuspectShard()
        return Ok(ShardView(key, stored.version, shard))

"""Requests that crash servers.

Every request that runs on a server when it dies gets a strike. A suspect, that is a
fingerprint with a strike, runs only under a claim: a conditional update of the same
stored object that holds the strikes. So two claimed runs of one fingerprint never
overlap and a claim always sees all stored strikes. With two strikes a suspect runs
alone on its server; the strike of such a run is the third and refuses it everywhere.
Further strikes beside other requests do not refuse it, because the others may be
guilty. docs/decisions/crash-guard.md derives how many servers can be lost.

``CrashGuard`` holds the state of one process and does no I/O. It returns requests
that ``state.suspect_store`` carries out and takes back what the store holds.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from ..clock import Clock
from ..protocol.suspects import Claim, Strike, Suspect
from .suspect_rules import (
    CLAIM_MS,
    ISOLATED_STRIKES,
    REFUSED_STRIKES,
    effective_strikes,
)
from .suspect_store_requests import (
    ClaimRequest,
    ClearRequest,
    ReleaseRequest,
    StrikeRequest,
    SuspectShardView,
    shard_of,
)
from .suspect_table import SuspectTable

ISOLATION_WAIT_MS = 10_000
"""Longest time for which a server is emptied for an isolated run."""
RETRY_AFTER_MS = 2_000


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
    running: dict[str, RunningRequest] = field(default_factory=dict)
    isolation: Isolation | None = None
    pending: list[StrikeRequest | ClearRequest | ReleaseRequest] = field(
        default_factory=list
    )
    suspects: SuspectTable = field(init=False)

    def __post_init__(self) -> None:
        self.suspects = SuspectTable(self.clock)

    def admit(
        self, attempt: str, route: str, fingerprint: str
    ) -> Run | ClaimRequest | WaitIdle | Refuse:
        """Decide about an attempt; after a claim the answer is in ``claim_decided``."""
        if attempt in self.running:
            raise ValueError(f"attempt {attempt} is running already")
        now = self.clock.now_ms()
        strikes = self.suspects.strikes_of(fingerprint)
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
        if any(
            self.suspects.strikes_of(each.fingerprint) for each in self.running.values()
        ):
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
        unsaved = self.suspects.known[fingerprint].version == 0
        return ClaimRequest(shard_of(route), fingerprint, claim, unsaved)

    def claim_decided(
        self, request: ClaimRequest, view: SuspectShardView | None
    ) -> Run | Refuse:
        """Decide about a claim from the shard as stored, nothing if unavailable."""
        attempt = request.claim.attempt
        if view is None or attempt not in self.running:
            # The claim may have been stored although no answer came, or the server
            # died in the meantime.
            release = ReleaseRequest(request.shard, request.fingerprint, request.claim)
            self.pending.append(release)
            self.withdraw(attempt)
            return Refuse(GuardRefusal.STORE_UNAVAILABLE, RETRY_AFTER_MS)
        self.suspects.learn_shard(view)
        suspect = view.shard.suspects.get(request.fingerprint, Suspect())
        if not request.unsaved and suspect == Suspect():
            # It was cleared in the meantime and runs like any other request.
            self.suspects.learn(
                request.fingerprint, 0, self.clock.now_ms(), view.version
            )
            route = self.running[attempt].route
            self.withdraw(attempt)
            self.running[attempt] = RunningRequest(route, request.fingerprint)
            return Run()
        if suspect.claim == request.claim:
            self.running[attempt].started = True
            return Run()
        self.withdraw(attempt)
        if effective_strikes(suspect) >= REFUSED_STRIKES:
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
        if succeeded and self.suspects.strikes_of(request.fingerprint):
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
                strikes = self.suspects.strikes_of(each.fingerprint) + 1
                counts = REFUSED_STRIKES if alone else min(strikes, ISOLATED_STRIKES)
                self.suspects.learn(each.fingerprint, counts, now, 0)
        requests = [
            StrikeRequest(shard, tuple(sorted(fingerprints)), strike)
            for shard, fingerprints in by_shard.items()
        ]
        self.pending += requests
        self.running.clear()
        self.isolation = None
        self.server = next_server

    def request_stored(
        self,
        request: StrikeRequest | ClearRequest | ReleaseRequest,
        view: SuspectShardView,
    ) -> None:
        """Take over the stored state after a pending request was carried out."""
        if request in self.pending:
            self.pending.remove(request)
        if (
            isinstance(request, ClearRequest)
            and request.fingerprint not in view.shard.suspects
        ):
            self.suspects.learn(
                request.fingerprint, 0, self.clock.now_ms(), view.version
            )
        self.suspects.learn_shard(view)

    def refuse_everywhere(self, fingerprint: str) -> Refuse:
        """Return the refusal of a fingerprint with three strikes."""
        left_ms = self.suspects.refused_for_ms(fingerprint)
        return Refuse(GuardRefusal.CRASHES_SERVERS, left_ms)

"""Guard against requests that crash backend servers.

When a server dies, every request that was running on it gets a strike. A fingerprint
with a strike is a suspect and runs only under a claim, which is a conditional update of
the stored object that holds its strikes. Two claimed runs of one fingerprint therefore
never overlap, and a claim always sees all stored strikes. With two strikes a suspect
runs alone on a server. If that server dies as well, the suspect gets its third strike
and is refused by all servers. Further strikes next to other requests do not lead to
refusal, because one of the others may be the cause. docs/decisions/crash-guard.md
derives how many servers can be lost.

``CrashGuard`` holds the state of one process and does no I/O. It returns requests that
``state.suspect_store`` applies, and is told the stored result.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from ..clock import Clock
from ..protocol.suspects import Claim, Strike, Suspect
from .suspect_rules import (
    CLAIM_TIMEOUT_MS,
    STRIKES_TO_ISOLATE,
    STRIKES_TO_REFUSE,
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
"""Maximum time to wait for a server to become idle for an isolated run."""
RETRY_AFTER_MS = 2_000


class GuardRefusal(StrEnum):
    """Why a request may not run on this server now."""

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
    """Hold other work back; call ``admit`` again when idle or at ``until_ms``."""

    until_ms: int


@dataclass(frozen=True)
class Refuse:
    """The request may not run here.

    Only ``CRASHES_SERVERS`` means that all other servers refuse it as well.
    """

    reason: GuardRefusal
    retry_after_ms: int


@dataclass
class RunningRequest:
    """A request on the backend server of this sidecar.

    ``started`` is false while a suspect waits for its claim.
    """

    route: str
    fingerprint: str
    claim: Claim | None = None
    started: bool = True


@dataclass
class Isolation:
    """Reservation of the whole server for one attempt."""

    attempt: str
    until_ms: int


@dataclass
class CrashGuard:
    """Crash guard of one sidecar; routers use only the ``SuspectTable``.

    ``clock`` gives the time since the epoch, because records are shared between
    processes. ``server`` identifies one start of the backend server; strikes with the
    same value count once. The owner applies the ``pending`` requests to the store,
    repeating them until they succeed, and calls ``withdraw`` for an attempt that ends
    while it waits for an idle server.
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
        """Decide whether an attempt may run.

        After a ``ClaimRequest`` the owner passes its result to ``claim_decided``, which
        returns the decision.
        """
        if attempt in self.running:
            raise ValueError(f"attempt {attempt} is already running")
        now = self.clock.now_ms()
        strikes = self.suspects.strikes_of(fingerprint)
        if strikes >= STRIKES_TO_REFUSE:
            return self.refuse_everywhere(fingerprint)
        if (isolation := self.isolation) is not None:
            if isolation.until_ms <= now and isolation.attempt not in self.running:
                self.isolation = None
                if isolation.attempt == attempt and self.running:
                    return Refuse(GuardRefusal.SERVER_NOT_IDLE, RETRY_AFTER_MS)
            elif isolation.attempt != attempt:
                return Refuse(GuardRefusal.SERVER_ISOLATED, RETRY_AFTER_MS)
        if not strikes:
            self.running[attempt] = RunningRequest(route, fingerprint)
            return Run()
        if any(
            self.suspects.strikes_of(each.fingerprint) for each in self.running.values()
        ):
            return Refuse(GuardRefusal.SUSPECT_RUNS_HERE, RETRY_AFTER_MS)
        if strikes >= STRIKES_TO_ISOLATE and self.running:
            return self.wait_until_idle(attempt)
        claim = Claim(self.server, attempt, now, alone=strikes >= STRIKES_TO_ISOLATE)
        return self.request_claim(attempt, route, fingerprint, claim)

    def wait_until_idle(self, attempt: str) -> WaitIdle | Refuse:
        """Reserve the server for an attempt until it is idle, for a limited time."""
        now = self.clock.now_ms()
        if self.isolation is None:
            self.isolation = Isolation(attempt, now + ISOLATION_WAIT_MS)
        return WaitIdle(self.isolation.until_ms)

    def request_claim(
        self, attempt: str, route: str, fingerprint: str, claim: Claim
    ) -> ClaimRequest:
        """Return the claim of a suspect; it counts as running until it is decided."""
        self.running[attempt] = RunningRequest(route, fingerprint, claim, started=False)
        if claim.alone:
            self.isolation = Isolation(attempt, claim.at_ms + CLAIM_TIMEOUT_MS)
        may_be_unstored = self.suspects.known[fingerprint].version == 0
        return ClaimRequest(shard_of(route), fingerprint, claim, may_be_unstored)

    def claim_decided(
        self, request: ClaimRequest, view: SuspectShardView | None
    ) -> Run | Refuse:
        """Decide whether an attempt may run after its claim was sent.

        ``view`` is the shard after the update, ``None`` if the store was unavailable.
        """
        attempt = request.claim.attempt
        if view is None or attempt not in self.running:
            # The claim may have been stored although the reply was lost, or the server
            # died in the meantime.
            release = ReleaseRequest(request.shard, request.fingerprint, request.claim)
            self.pending.append(release)
            self.withdraw(attempt)
            return Refuse(GuardRefusal.STORE_UNAVAILABLE, RETRY_AFTER_MS)
        self.suspects.learn_shard(view)
        suspect = view.shard.suspects.get(request.fingerprint, Suspect())
        if not request.may_be_unstored and suspect == Suspect():
            # Another process cleared it, so it runs without a claim.
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
        if effective_strikes(suspect) >= STRIKES_TO_REFUSE:
            return self.refuse_everywhere(request.fingerprint)
        return Refuse(GuardRefusal.SUSPECT_RUNS_ELSEWHERE, RETRY_AFTER_MS)

    def withdraw(self, attempt: str) -> None:
        """Remove an attempt that does not run, and end its isolation."""
        self.running.pop(attempt, None)
        if self.isolation is not None and self.isolation.attempt == attempt:
            self.isolation = None

    def finished(self, attempt: str, succeeded: bool) -> None:
        """Handle the end of an attempt; add the update of the store to ``pending``."""
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
        """Add a strike for every running request to ``pending``.

        The owner stores the strikes before it ends the response streams, so that they
        count when a caller retries. ``next_server`` identifies the next start of the
        server.
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
                strike_count = (
                    STRIKES_TO_REFUSE if alone else min(strikes, STRIKES_TO_ISOLATE)
                )
                self.suspects.learn(each.fingerprint, strike_count, now, 0)
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
        """Handle the stored result of a pending request."""
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
        """Return the refusal of a fingerprint that no server may run."""
        retry_after_ms = self.suspects.refused_for_ms(fingerprint)
        return Refuse(GuardRefusal.CRASHES_SERVERS, retry_after_ms)

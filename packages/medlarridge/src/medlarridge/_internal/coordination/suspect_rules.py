"""Rules for updating a stored shard of suspects with strikes and claims."""

from collections.abc import Callable

from ..protocol.suspects import Claim, Strike, Suspect, SuspectShard
from ..protocol.tables import MAX_DEADLINE_MS
from .suspect_store_requests import (
    ClaimRequest,
    ClearRequest,
    ReleaseRequest,
    StoreRequest,
    StrikeRequest,
)

STRIKES_TO_REFUSE = 3
STRIKES_TO_ISOLATE = 2
"""Number of strikes from which a suspect runs only on an otherwise idle server."""
STRIKE_RETENTION_MS = 3_600_000
CLAIM_TIMEOUT_MS = MAX_DEADLINE_MS + 30_000
"""Age at which a claim becomes a strike, since its process died or is paused."""
MAX_SUSPECTS_PER_SHARD = 2_000


def apply_request(
    shard: SuspectShard,
    request: StoreRequest,
    now_ms: int,
    is_dead: Callable[[str], bool],
) -> SuspectShard | None:
    """Return the shard after a request, ``None`` if it does not change.

    All requests are idempotent, so they can be repeated after a reply of the store was
    lost. ``is_dead`` returns whether the server of a claim is known to be dead.
    """
    suspects = {
        fingerprint: suspect
        for fingerprint, each in shard.suspects.items()
        if (suspect := expire_suspect(each, now_ms, is_dead)) is not None
    }
    match request:
        case StrikeRequest():
            for fingerprint in request.fingerprints:
                suspect = suspects.get(fingerprint, Suspect())
                suspects[fingerprint] = add_strike(suspect, request.strike)
        case ClaimRequest():
            suspect = suspects.get(request.fingerprint, Suspect())
            is_suspect = request.may_be_unstored or suspect.strikes
            if is_suspect and may_claim(suspect, request.claim):
                claimed = Suspect(suspect.strikes, request.claim)
                suspects[request.fingerprint] = claimed
        case ClearRequest():
            suspect = suspects.pop(request.fingerprint, Suspect())
            if (
                remaining := without_earlier(suspect, request.succeeded_ms)
            ) is not None:
                suspects[request.fingerprint] = remaining
        case ReleaseRequest():
            suspect = suspects.get(request.fingerprint, Suspect())
            if suspect.claim == request.claim:
                suspects[request.fingerprint] = Suspect(suspect.strikes)
    result = SuspectShard(evict_excess(suspects))
    return None if result == shard else result


def expire_suspect(
    suspect: Suspect, now_ms: int, is_dead: Callable[[str], bool]
) -> Suspect | None:
    """Apply expiry to a suspect; return ``None`` if nothing is left.

    All strikes are kept until an hour after the last one, so a refusal lasts an hour. A
    claim that timed out or whose server is dead becomes a strike, because most likely
    the VM died during the run.
    """
    claim = suspect.claim
    if claim is not None and (
        claim.at_ms + CLAIM_TIMEOUT_MS <= now_ms or is_dead(claim.server)
    ):
        strike = Strike(claim.server, now_ms, claim.alone)
        suspect = add_strike(suspect, strike)
    last_ms = max((strike.at_ms for strike in suspect.strikes), default=0)
    if suspect.claim is None and last_ms + STRIKE_RETENTION_MS <= now_ms:
        return None
    return suspect


def without_earlier(suspect: Suspect, succeeded_ms: int) -> Suspect | None:
    """Remove strikes and the claim up to a success; ``None`` if nothing is left.

    A success may be stored late, after an outage of the store, so later strikes stay.
    """
    strikes = [strike for strike in suspect.strikes if strike.at_ms > succeeded_ms]
    claim = suspect.claim
    if claim is not None and claim.at_ms <= succeeded_ms:
        claim = None
    return Suspect(strikes, claim) if strikes or claim else None


def add_strike(suspect: Suspect, strike: Strike) -> Suspect:
    """Add a strike, once per start of a server, and remove that server's claim."""
    strikes = suspect.strikes
    if all(each.server != strike.server for each in strikes):
        strikes = [*strikes, strike]
    claim = suspect.claim
    if claim is not None and claim.server == strike.server:
        claim = None
    return Suspect(strikes, claim)


def effective_strikes(suspect: Suspect) -> int:
    """Return the number of strikes, of which the third only counts from a run alone."""
    if any(strike.alone for strike in suspect.strikes):
        return STRIKES_TO_REFUSE
    return min(len(suspect.strikes), STRIKES_TO_ISOLATE)


def may_claim(suspect: Suspect, claim: Claim) -> bool:
    """Return whether a claim can be granted.

    The suspect must not be claimed or refused. With two strikes, only a claim for a run
    alone is granted.
    """
    strikes = effective_strikes(suspect)
    if suspect.claim is not None or strikes >= STRIKES_TO_REFUSE:
        return False
    return claim.alone or strikes < STRIKES_TO_ISOLATE


def evict_excess(suspects: dict[str, Suspect]) -> dict[str, Suspect]:
    """Evict the suspects with the fewest and oldest strikes from a full shard."""
    if len(suspects) <= MAX_SUSPECTS_PER_SHARD:
        return suspects

    def severity(item: tuple[str, Suspect]) -> tuple[int, int]:
        strikes = item[1].strikes
        return len(strikes), strikes[-1].at_ms if strikes else 0

    by_severity = sorted(suspects.items(), key=severity, reverse=True)
    return dict(by_severity[:MAX_SUSPECTS_PER_SHARD])

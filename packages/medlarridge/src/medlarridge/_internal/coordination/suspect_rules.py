"""How strikes and claims change a stored shard of suspects."""

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

REFUSED_STRIKES = 3
ISOLATED_STRIKES = 2
"""Strikes from which a suspect runs on a server with nothing else."""
STRIKE_RETENTION_MS = 3_600_000
CLAIM_MS = MAX_DEADLINE_MS + 30_000
"""Time after which a claim counts as a strike: its process died or was paused."""
MAX_SUSPECTS_PER_SHARD = 2_000


def apply_request(
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
    if suspect.claim is None and last_ms + STRIKE_RETENTION_MS <= now_ms:
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


def effective_strikes(suspect: Suspect) -> int:
    """Return the strikes as they count: the third only from a run alone."""
    if any(strike.alone for strike in suspect.strikes):
        return REFUSED_STRIKES
    return min(len(suspect.strikes), ISOLATED_STRIKES)


def may_claim(suspect: Suspect, claim: Claim) -> bool:
    """Return whether a suspect may run and no server runs it under a claim.

    With two strikes only a claim for a run alone is granted.
    """
    strikes = effective_strikes(suspect)
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

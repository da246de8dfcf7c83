"""What an explanation tells of the admission, without counting the request there."""

from msgspec import Struct
from msgspec.structs import replace

from .coordination.admission import (
    DEADLINE_MARGIN,
    ROOM_DEADLINE_MARGIN,
    RefusalReason,
)
from .coordination.request_rates import account_key
from .coordination.return_times import USEFUL_SHARE
from .explanation_registry import Decision, Facts, request_facts


class Verdict(Struct, frozen=True):
    """What the admission would decide.

    ``refused_share`` is the probability with which the request is refused, 1 if it would
    come too late. ``return_ms`` is when a refused client may return at the earliest;
    clients that were refused before it return first.
    """

    rank: int
    expected_ms: float
    left_ms: int
    has_room: bool
    pressure: float = 0.0
    refused_share: float = 0.0
    account_share: float = 0.0
    reason: RefusalReason | None = None
    return_ms: int = 0


def judge(decision: Decision) -> Verdict | None:
    """Return what the admission would decide now, None if it is not in use.

    A stream that is taken up is never refused by it.
    """
    attempts = decision.run.attempts
    request = attempts.admission
    if (
        not request.is_active(decision.pool)
        or not decision.ranked
        or attempts.continuity.takes_up_stream
    ):
        return None
    applicant = request.create_applicant(decision.pool)
    view = request.view_pool(decision.pool, decision.ranked, decision.prompt)
    verdict = Verdict(
        applicant.rank,
        view.expected_ms,
        applicant.remaining_ms,
        view.occupancy.has_room,
    )
    margin = ROOM_DEADLINE_MARGIN if verdict.has_room else DEADLINE_MARGIN
    if view.expected_ms > margin * applicant.remaining_ms:
        delay_ms = view.expected_ms - (1 - USEFUL_SHARE) * applicant.remaining_ms
        return replace(
            verdict,
            reason=RefusalReason.LATE,
            refused_share=1.0,
            return_ms=useful_ms(verdict, delay_ms),
        )
    shares = decision.components.admission.pool(decision.pool.name).shares
    if verdict.has_room or shares.decided is None:
        return verdict
    # The last decision is shown, since a new one would count as one on a request.
    key = account_key(applicant.pool, applicant.rank, applicant.account)
    of_rank = shares.decided.by_rank.get(applicant.rank, 0.0)
    of_account = shares.decided.by_account.get(key, 0.0)
    share = 1 - (1 - of_rank) * (1 - of_account)
    reason = RefusalReason.ACCOUNT if of_account > of_rank else RefusalReason.RANK
    delay_ms = max(view.expected_ms - shares.objective_ms(applicant.rank), 0.0)
    return replace(
        verdict,
        pressure=shares.decided.pressure,
        refused_share=share,
        account_share=of_account,
        reason=reason if share > 0 else None,
        return_ms=useful_ms(verdict, delay_ms),
    )


def useful_ms(verdict: Verdict, delay_ms: float) -> int:
    """Return a time to return that leaves the client time for another try."""
    return max(int(min(delay_ms, USEFUL_SHARE * verdict.left_ms)), 1)


@request_facts
def explain_admission(decision: Decision) -> Facts:
    """Tell rank, pressure and shares, and what a refused request would be told."""
    verdict = judge(decision)
    if verdict is None:
        return {}
    facts: Facts = {
        "rank": verdict.rank,
        "expected_first_ms": round(verdict.expected_ms),
        "left_ms": verdict.left_ms,
        "pool_has_room": verdict.has_room,
        "pressure": round(verdict.pressure, 2),
        "refused_share": round(verdict.refused_share, 2),
        "account_refused_share": round(verdict.account_share, 2),
    }
    if verdict.reason is not None:
        facts["if_refused"] = (
            f"503 {verdict.reason}, return after {verdict.return_ms} ms or later"
        )
    return facts

"""Responses to callers whose request failed."""

from dataclasses import dataclass

from medlarridge._internal.coordination.retry import (
    FailedAttempt,
    GiveUp,
    GiveUpReason,
    RefusedAttempt,
)
from medlarridge._internal.protocol.messages import Outcome, Refusal


@dataclass(frozen=True)
class Failure:
    """Response to a caller whose request failed."""

    outcome: Outcome
    status: int
    message: str
    retry_after_ms: int = 0


REFUSAL_STATUS = {
    Refusal.ACCOUNT_LIMIT: 429,
    Refusal.CRASHES_SERVERS: 422,
    Refusal.INVALID: 400,
    Refusal.DUPLICATE: 409,
}
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
DEADLINE_STATUS = 504


def failure_from_plan(plan: GiveUp, failed_attempt: FailedAttempt) -> Failure:
    """Return the response for a request that is not retried."""
    if isinstance(failed_attempt, RefusedAttempt):
        detail = failed_attempt.reply.detail or failed_attempt.reply.reason
    else:
        detail = failed_attempt.detail
    message = f"request {plan.outcome}: {plan.reason}: {detail}"
    if plan.outcome is Outcome.UNKNOWN:
        timed_out = plan.reason is GiveUpReason.DEADLINE
        status = DEADLINE_STATUS if timed_out else UNKNOWN_STATUS
        return Failure(plan.outcome, status, message)
    status = NOT_RUN_STATUS
    if plan.refusal is not None:
        status = REFUSAL_STATUS.get(plan.refusal, NOT_RUN_STATUS)
    return Failure(plan.outcome, status, message, plan.retry_after_ms)

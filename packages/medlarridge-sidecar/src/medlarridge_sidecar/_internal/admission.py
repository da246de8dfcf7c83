"""Ordered checks that an attempt must pass before it is admitted."""

from collections.abc import Callable
from dataclasses import dataclass

from medlarridge._internal.coordination.drain import Drain
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Instance
from medlarridge._internal.protocol.messages import Attempt, NotRun, Refusal


@dataclass
class AdmissionContext:
    """State of the sidecar on which the checks decide."""

    instance: Instance
    pool: str
    fleet: FleetView
    drain: Drain
    max_in_flight: int


Check = Callable[[AdmissionContext, Attempt], NotRun | None]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check. Checks run in the order of their registration."""
    CHECKS.append(function)
    return function


def first_refusal(context: AdmissionContext, attempt: Attempt) -> NotRun | None:
    """Return the first refusal, ``None`` if all checks pass."""
    for function in CHECKS:
        refusal = function(context, attempt)
        if refusal is not None:
            return refusal
    return None


def refuse(
    context: AdmissionContext,
    reason: Refusal,
    detail: str,
    retry_after_ms: int = 0,
) -> NotRun:
    """Return a refusal that carries the generation of the sidecar."""
    return NotRun(reason, context.fleet.generation, detail, retry_after_ms)


@check
def check_instance(context: AdmissionContext, attempt: Attempt) -> NotRun | None:
    """Refuse an attempt that targets an earlier instance at this address."""
    if attempt.target == context.instance.number:
        return None
    return refuse(
        context,
        Refusal.WRONG_INSTANCE,
        f"this is instance {context.instance.number}, not {attempt.target}",
    )


@check
def check_generation(context: AdmissionContext, attempt: Attempt) -> NotRun | None:
    """Refuse an attempt that was routed with an older configuration."""
    if attempt.generation >= context.fleet.generation:
        return None
    return refuse(
        context,
        Refusal.STALE_CONFIGURATION,
        f"generation {attempt.generation} is older than {context.fleet.generation}",
    )


@check
def check_pool(context: AdmissionContext, attempt: Attempt) -> NotRun | None:
    """Refuse an attempt for a pool that this server does not belong to."""
    if attempt.pool == context.pool:
        return None
    return refuse(
        context, Refusal.UNKNOWN_POOL, f"this server is in pool {context.pool}"
    )


@check
def check_draining(context: AdmissionContext, attempt: Attempt) -> NotRun | None:
    """Refuse new attempts while the sidecar is draining."""
    if not context.drain.leaving:
        return None
    return refuse(context, Refusal.DRAINING, "the server is leaving")


@check
def check_capacity(context: AdmissionContext, attempt: Attempt) -> NotRun | None:
    """Refuse attempts above the limit of attempts in flight."""
    if context.drain.in_flight < context.max_in_flight:
        return None
    return refuse(
        context, Refusal.LOAD_BOUND, "too many attempts in flight", retry_after_ms=1000
    )

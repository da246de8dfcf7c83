"""Decide whether, where and when a request is tried again.

A retry goes to the candidates that a refusal names, then to other members in the
same data centre, to members in other data centres, and to the next pool of the
route. Each stage is bounded, so a data centre that is lost is left after a few
attempts instead of after all of its members.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from ..clock import MS_PER_S, Clock
from ..identity import Member
from ..protocol.messages import NotRun, Outcome, Refusal

RETRY_SHARE = 0.1
FLOOR_RETRIES_PER_S = 0.2
"""Lets a router with little traffic retry at all."""
MAX_BUDGET_TOKENS = 10.0
MIN_RETRY_TOKENS = 1.0 - 1e-9
"""Ten shares of 0.1 add up to slightly less than one in floating point."""
FREE_REDIRECTS = 2
"""Refusals with candidates that cost no budget. A home over its load bound names
where the request fits; this is a normal step of placement for more than 10% of the
requests and costs no server any work."""
MAX_ATTEMPTS = 6
MAX_ATTEMPTS_PER_DATA_CENTRE = 2
MAX_ATTEMPTS_PER_POOL = 4
BACKOFF_BASE_MS = 20
BACKOFF_CAP_MS = 1_000
MIN_ATTEMPT_MS = 20
"""Time that an attempt needs to have any use."""
DEFAULT_RETRY_AFTER_MS = 1_000

FINAL_REFUSALS = frozenset(
    {
        Refusal.ACCOUNT_LIMIT,
        Refusal.CRASHES_SERVERS,
        Refusal.INVALID,
        Refusal.LEDGER_UNAVAILABLE,
    }
)
"""Refusals that every other sidecar would give as well."""
REDIRECTS = frozenset({Refusal.LOAD_BOUND, Refusal.DRAINING})
NOT_AGAIN = frozenset({Refusal.WRONG_INSTANCE, Refusal.DRAINING, Refusal.UNKNOWN_POOL})
"""Refusals after which the same instance is not asked again."""


@dataclass(frozen=True)
class Target:
    """The instance and pool that an attempt goes to."""

    address: str
    number: int
    pool: str
    data_centre: str = ""


@dataclass(frozen=True)
class RefusedAttempt:
    """The sidecar answered that it did not run the attempt."""

    target: Target
    reply: NotRun


@dataclass(frozen=True)
class NeverSent:
    """The connection failed before any byte of the attempt was sent."""

    target: Target
    detail: str = ""


@dataclass(frozen=True)
class Unanswered:
    """The connection failed after bytes were sent; the attempt may have run."""

    target: Target
    detail: str = ""


@dataclass(frozen=True)
class EndedUnknown:
    """The sidecar ended the attempt without knowing its outcome."""

    target: Target
    detail: str = ""


FailedAttempt = RefusedAttempt | NeverSent | Unanswered | EndedUnknown


@dataclass(frozen=True)
class RetryContext:
    """What is known about a request after its last attempt failed.

    ``ranked`` holds the members of each pool of the route in order of placement;
    ``pools`` is the route's order.
    """

    history: Sequence[FailedAttempt]
    remaining_ms: int
    repeatable: bool
    pools: Sequence[str]
    ranked: Mapping[str, Sequence[Member]]
    generation: int = 0


class GiveUpReason(StrEnum):
    """Why a request is not tried again."""

    REFUSED = "refused"
    MAY_HAVE_RUN = "may-have-run"
    DEADLINE = "deadline"
    BUDGET = "retry-budget"
    ATTEMPTS = "attempts"
    NO_MEMBER = "no-member"


@dataclass(frozen=True)
class RetryAttempt:
    """Send another attempt after a delay.

    If ``required_generation`` is set, the router first waits for this generation of
    the configuration, because the sidecar refuses older ones.
    """

    target: Target
    delay_ms: int
    required_generation: int = 0


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller now."""

    outcome: Outcome
    reason: GiveUpReason
    retry_after_ms: int
    refusal: Refusal | None = None


@dataclass
class RetryBudget:
    """Token bucket of one router and pool; each first attempt adds a share."""

    clock: Clock
    tokens: float = MAX_BUDGET_TOKENS
    updated_ms: int = field(init=False)

    def __post_init__(self) -> None:
        self.updated_ms = self.clock.now_ms()

    def add_request(self) -> None:
        """Count a first attempt."""
        self.refill(RETRY_SHARE)

    def take(self) -> bool:
        """Take the token of one retry, if there is one."""
        self.refill(0.0)
        if self.tokens < MIN_RETRY_TOKENS:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True

    def refill(self, share: float) -> None:
        """Add a share of a retry and the floor since the last call."""
        now = self.clock.now_ms()
        floor = FLOOR_RETRIES_PER_S * (now - self.updated_ms) / MS_PER_S
        self.tokens = min(MAX_BUDGET_TOKENS, self.tokens + share + floor)
        self.updated_ms = now


class RetryPlanner:
    """Retry decisions of one router."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self.clock = clock
        self.random = random
        self.budgets: dict[str, RetryBudget] = {}

    def budget(self, pool: str) -> RetryBudget:
        """Return the budget of a pool."""
        if pool not in self.budgets:
            self.budgets[pool] = RetryBudget(self.clock)
        return self.budgets[pool]

    def add_request(self, pool: str) -> None:
        """Count the first attempt of a request towards the budget of its pool."""
        self.budget(pool).add_request()

    def drop_pools(self, known: set[str]) -> None:
        """Forget the budgets of pools that no longer exist."""
        for pool in self.budgets.keys() - known:
            del self.budgets[pool]

    def plan(self, request: RetryContext) -> RetryAttempt | GiveUp:
        """Return the next attempt of a request, or the answer to its caller."""
        last = request.history[-1]
        if isinstance(last, RefusedAttempt) and last.reply.reason in FINAL_REFUSALS:
            return self.give_up(request, GiveUpReason.REFUSED)
        if not request.repeatable and may_have_run(request.history):
            return self.give_up(request, GiveUpReason.MAY_HAVE_RUN)
        redirects = sum(is_redirect(past) for past in request.history)
        charged = len(request.history) - min(redirects, FREE_REDIRECTS)
        if charged >= MAX_ATTEMPTS:
            return self.give_up(request, GiveUpReason.ATTEMPTS)
        target = next_target(request)
        if target is None:
            return self.give_up(request, GiveUpReason.NO_MEMBER)
        free = is_redirect(last) and redirects <= FREE_REDIRECTS
        delay_ms = 0 if free else self.backoff_ms(charged) + stated_delay_ms(last)
        if delay_ms + MIN_ATTEMPT_MS > request.remaining_ms:
            return self.give_up(request, GiveUpReason.DEADLINE)
        if not free and not self.budget(target.pool).take():
            return self.give_up(request, GiveUpReason.BUDGET)
        return RetryAttempt(target, delay_ms, newer_generation(request))

    def backoff_ms(self, failures: int) -> int:
        """Return an exponential delay with full jitter."""
        most = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** max(0, failures - 1))
        return self.random.randint(0, most)

    def give_up(self, request: RetryContext, reason: GiveUpReason) -> GiveUp:
        """Return the answer with what is known for certain."""
        replies = [
            past.reply for past in request.history if isinstance(past, RefusedAttempt)
        ]
        hint_ms = max((reply.retry_after_ms for reply in replies), default=0)
        if not hint_ms:
            hint_ms = DEFAULT_RETRY_AFTER_MS
            hint_ms += self.random.randint(0, DEFAULT_RETRY_AFTER_MS)
        unknown = may_have_run(request.history)
        last = request.history[-1]
        return GiveUp(
            Outcome.UNKNOWN if unknown else Outcome.NOT_RUN,
            reason,
            hint_ms,
            last.reply.reason if isinstance(last, RefusedAttempt) else None,
        )


def may_have_run(history: Sequence[FailedAttempt]) -> bool:
    """Return whether any attempt is not definitively not run.

    A refused duplicate is counted as possibly run, since the first copy of the
    attempt may be running.
    """
    return any(
        isinstance(past, Unanswered | EndedUnknown)
        or (isinstance(past, RefusedAttempt) and past.reply.reason is Refusal.DUPLICATE)
        for past in history
    )


def is_redirect(past: FailedAttempt) -> bool:
    """Return whether an attempt was refused with a place where it fits."""
    return (
        isinstance(past, RefusedAttempt)
        and past.reply.reason in REDIRECTS
        and bool(past.reply.candidates)
    )


def stated_delay_ms(past: FailedAttempt) -> int:
    """Return how long to wait before another member can be asked with any use.

    A crash suspect is refused while another one runs. Asked again at once, an
    innocent request that follows the culprit to the next server would use up its
    attempts before the culprit has ended.
    """
    if isinstance(past, RefusedAttempt) and past.reply.reason is Refusal.CRASH_SUSPECT:
        return past.reply.retry_after_ms
    return 0


def newer_generation(request: RetryContext) -> int:
    """Return the newer generation that a refusal names, 0 if there is none."""
    named = max(
        (
            past.reply.generation
            for past in request.history
            if isinstance(past, RefusedAttempt)
            and past.reply.reason is Refusal.STALE_CONFIGURATION
        ),
        default=0,
    )
    return named if named > request.generation else 0


def next_target(request: RetryContext) -> Target | None:
    """Return the next target in the stated order, or nothing if none is left."""
    last = request.history[-1]
    if (
        isinstance(last, RefusedAttempt)
        and last.reply.reason is Refusal.STALE_CONFIGURATION
    ):
        # The member is healthy; only the router's configuration was too old.
        earlier = [past.target for past in request.history[:-1]]
        if last.target not in earlier:
            return last.target
    tried = {(past.target.address, past.target.number) for past in request.history}
    for target in targets_in_order(request):
        if (target.address, target.number) not in tried:
            return target
    return repeated_target(request)


def targets_in_order(request: RetryContext) -> Iterator[Target]:
    """Yield candidates, the same data centre, other data centres, next pools."""
    last = request.history[-1].target
    yield from named_candidates(request)
    start = request.pools.index(last.pool) if last.pool in request.pools else 0
    for pool in [*request.pools[start:], *request.pools[:start]]:
        if attempts(request, pool) < MAX_ATTEMPTS_PER_POOL:
            yield from members_in_order(request, pool, last)


def named_candidates(request: RetryContext) -> Iterator[Target]:
    """Yield the candidates that the refusals name, those of the last one first."""
    for past in reversed(request.history):
        if not isinstance(past, RefusedAttempt):
            continue
        known = {
            (member.instance.address, member.instance.number): member
            for member in request.ranked.get(past.target.pool, ())
        }
        for named in past.reply.candidates:
            member = known.get((named.address, named.number))
            data_centre = member.instance.data_centre if member else ""
            yield Target(named.address, named.number, past.target.pool, data_centre)


def members_in_order(
    request: RetryContext, pool: str, last: Target
) -> Iterator[Target]:
    """Yield the members of a pool: last data centre first, exhausted ones never."""
    counts: dict[str, int] = {}
    for past in request.history:
        if past.target.pool == pool:
            data_centre = past.target.data_centre
            counts[data_centre] = counts.get(data_centre, 0) + 1
    members = [each for each in request.ranked.get(pool, ()) if not each.draining]
    here = [each for each in members if each.instance.data_centre == last.data_centre]
    others = [each for each in members if each.instance.data_centre != last.data_centre]
    for member in [*here, *others]:
        instance = member.instance
        if counts.get(instance.data_centre, 0) < MAX_ATTEMPTS_PER_DATA_CENTRE:
            yield Target(instance.address, instance.number, pool, instance.data_centre)


def repeated_target(request: RetryContext) -> Target | None:
    """Return an earlier target to ask again when all others were tried.

    Small pools, such as a ledger service on three servers, have no other members.
    """
    for past in request.history:
        refused = past.reply.reason if isinstance(past, RefusedAttempt) else None
        if refused in NOT_AGAIN or attempts(request, past.target.pool) >= (
            MAX_ATTEMPTS_PER_POOL
        ):
            continue
        if sum(each.target == past.target for each in request.history) == 1:
            return past.target
    return None


def attempts(request: RetryContext, pool: str) -> int:
    """Return how many attempts went to a pool."""
    return sum(past.target.pool == pool for past in request.history)

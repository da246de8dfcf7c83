"""Decide whether, where and when to retry a request.

Retries go to the candidates named in a refusal, then to other members in the same
data centre, to members in other data centres, and finally to the next pool of the
route. The number of attempts per data centre and per pool is limited, so a failed
data centre costs a few attempts instead of one for each of its members.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from ..clock import MS_PER_S, Clock
from ..identity import Member
from ..protocol.messages import NotRun, Outcome, Refusal

RETRY_RATIO = 0.1
MIN_RETRIES_PER_S = 0.2
"""Refill rate of the budget without traffic, so that a quiet router can retry."""
MAX_BUDGET_TOKENS = 10.0
MIN_RETRY_TOKENS = 1.0 - 1e-9
"""Tokens that a retry needs. Slightly below 1, because ten refills of 0.1 add up to
less than 1 in floating point."""
FREE_REDIRECTS = 2
"""Redirects per request that are not charged to the retry budget. A sidecar over its
load bound names members with room. This is a regular step of placement for more than
10% of the requests and causes no work on a server."""
MAX_ATTEMPTS = 6
MAX_ATTEMPTS_PER_DATA_CENTRE = 2
MAX_ATTEMPTS_PER_POOL = 4
BACKOFF_BASE_MS = 20
BACKOFF_CAP_MS = 1_000
MIN_ATTEMPT_TIME_MS = 20
"""Minimum time before the deadline for which an attempt is still worth starting."""
DEFAULT_RETRY_AFTER_MS = 1_000

FINAL_REFUSALS = frozenset(
    {
        Refusal.ACCOUNT_LIMIT,
        Refusal.CRASHES_SERVERS,
        Refusal.INVALID,
        Refusal.LEDGER_UNAVAILABLE,
    }
)
"""Refusals that any other sidecar would repeat, so a retry is pointless."""
REDIRECT_REFUSALS = frozenset({Refusal.LOAD_BOUND, Refusal.DRAINING})
NO_REPEAT_REFUSALS = frozenset(
    {Refusal.WRONG_INSTANCE, Refusal.DRAINING, Refusal.UNKNOWN_POOL}
)
"""Refusals after which the same instance is not tried again."""


@dataclass(frozen=True)
class Target:
    """The instance and pool that an attempt is sent to."""

    address: str
    number: int
    pool: str
    data_centre: str = ""


@dataclass(frozen=True)
class RefusedAttempt:
    """The sidecar replied that it did not run the attempt."""

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
    """State of a request after a failed attempt.

    ``history`` holds its failed attempts, the oldest first. ``pools`` lists the pools
    of the route in order of preference, and ``ranked`` the members of each pool in
    placement order.
    """

    history: Sequence[FailedAttempt]
    remaining_ms: int
    repeatable: bool
    pools: Sequence[str]
    ranked: Mapping[str, Sequence[Member]]
    generation: int = 0


class GiveUpReason(StrEnum):
    """Why a request is not retried."""

    REFUSED = "refused"
    MAY_HAVE_RUN = "may-have-run"
    DEADLINE = "deadline"
    BUDGET = "retry-budget"
    ATTEMPTS = "attempts"
    NO_MEMBER = "no-member"


@dataclass(frozen=True)
class RetryAttempt:
    """Send another attempt to ``target`` after a delay.

    If ``required_generation`` is not 0, the router must first apply that generation
    of the configuration, because the sidecar refuses older ones.
    """

    target: Target
    delay_ms: int
    required_generation: int = 0


@dataclass(frozen=True)
class GiveUp:
    """Stop retrying and respond to the caller."""

    outcome: Outcome
    reason: GiveUpReason
    retry_after_ms: int
    refusal: Refusal | None = None


@dataclass
class RetryBudget:
    """Token bucket of retries for one router and pool.

    Each first attempt adds ``RETRY_RATIO`` tokens, each retry takes one.
    """

    clock: Clock
    tokens: float = MAX_BUDGET_TOKENS
    updated_ms: int = field(init=False)

    def __post_init__(self) -> None:
        self.updated_ms = self.clock.now_ms()

    def count_request(self) -> None:
        """Add the share of a first attempt."""
        self.refill(RETRY_RATIO)

    def take(self) -> bool:
        """Take the token for one retry; return whether the budget allows it."""
        self.refill(0.0)
        if self.tokens < MIN_RETRY_TOKENS:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True

    def refill(self, share: float) -> None:
        """Add a share of a token, and the minimum rate since the last call."""
        now = self.clock.now_ms()
        floor = MIN_RETRIES_PER_S * (now - self.updated_ms) / MS_PER_S
        self.tokens = min(MAX_BUDGET_TOKENS, self.tokens + share + floor)
        self.updated_ms = now


class RetryPlanner:
    """Decides about the retries of one router."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self.clock = clock
        self.random = random
        self.budgets: dict[str, RetryBudget] = {}

    def budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool; create it on first use."""
        if pool not in self.budgets:
            self.budgets[pool] = RetryBudget(self.clock)
        return self.budgets[pool]

    def count_request(self, pool: str) -> None:
        """Add the first attempt of a request to the budget of its pool."""
        self.budget(pool).count_request()

    def drop_pools(self, known_pools: set[str]) -> None:
        """Remove the budgets of pools that no longer exist."""
        for pool in self.budgets.keys() - known_pools:
            del self.budgets[pool]

    def plan(self, context: RetryContext) -> RetryAttempt | GiveUp:
        """Return the next attempt of a request, or the response to its caller."""
        last = context.history[-1]
        if isinstance(last, RefusedAttempt) and last.reply.reason in FINAL_REFUSALS:
            return self.give_up(context, GiveUpReason.REFUSED)
        if not context.repeatable and may_have_run(context.history):
            return self.give_up(context, GiveUpReason.MAY_HAVE_RUN)
        redirects = sum(is_redirect(attempt) for attempt in context.history)
        charged_attempts = len(context.history) - min(redirects, FREE_REDIRECTS)
        if charged_attempts >= MAX_ATTEMPTS:
            return self.give_up(context, GiveUpReason.ATTEMPTS)
        target = next_target(context)
        if target is None:
            return self.give_up(context, GiveUpReason.NO_MEMBER)
        is_free = is_redirect(last) and redirects <= FREE_REDIRECTS
        delay_ms = (
            0 if is_free else self.backoff_ms(charged_attempts) + refusal_delay_ms(last)
        )
        if delay_ms + MIN_ATTEMPT_TIME_MS > context.remaining_ms:
            return self.give_up(context, GiveUpReason.DEADLINE)
        if not is_free and not self.budget(target.pool).take():
            return self.give_up(context, GiveUpReason.BUDGET)
        return RetryAttempt(target, delay_ms, newer_generation(context))

    def backoff_ms(self, failures: int) -> int:
        """Return an exponential delay with full jitter."""
        max_delay_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** max(0, failures - 1))
        return self.random.randint(0, max_delay_ms)

    def give_up(self, context: RetryContext, reason: GiveUpReason) -> GiveUp:
        """Return the final outcome; it is unknown if any attempt may have run."""
        replies = [
            attempt.reply
            for attempt in context.history
            if isinstance(attempt, RefusedAttempt)
        ]
        retry_after_ms = max((reply.retry_after_ms for reply in replies), default=0)
        if not retry_after_ms:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
            retry_after_ms += self.random.randint(0, DEFAULT_RETRY_AFTER_MS)
        is_unknown = may_have_run(context.history)
        last = context.history[-1]
        return GiveUp(
            Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN,
            reason,
            retry_after_ms,
            last.reply.reason if isinstance(last, RefusedAttempt) else None,
        )


def may_have_run(history: Sequence[FailedAttempt]) -> bool:
    """Return whether any of the attempts may have run.

    A refused duplicate counts as possibly run, since the first copy of the attempt
    may be running.
    """
    return any(
        isinstance(attempt, Unanswered | EndedUnknown)
        or (
            isinstance(attempt, RefusedAttempt)
            and attempt.reply.reason is Refusal.DUPLICATE
        )
        for attempt in history
    )


def is_redirect(attempt: FailedAttempt) -> bool:
    """Return whether an attempt was refused with candidates that have room."""
    return (
        isinstance(attempt, RefusedAttempt)
        and attempt.reply.reason in REDIRECT_REFUSALS
        and bool(attempt.reply.candidates)
    )


def refusal_delay_ms(attempt: FailedAttempt) -> int:
    """Return the delay that a refusal demands before any member is tried.

    A crash suspect is refused while another suspect runs. Without the delay, an
    innocent request that follows the culprit to the next server would use up its
    attempts before the culprit has ended.
    """
    if (
        isinstance(attempt, RefusedAttempt)
        and attempt.reply.reason is Refusal.CRASH_SUSPECT
    ):
        return attempt.reply.retry_after_ms
    return 0


def newer_generation(context: RetryContext) -> int:
    """Return the generation demanded by a refusal, 0 if none is newer than ours."""
    required = max(
        (
            attempt.reply.generation
            for attempt in context.history
            if isinstance(attempt, RefusedAttempt)
            and attempt.reply.reason is Refusal.STALE_CONFIGURATION
        ),
        default=0,
    )
    return required if required > context.generation else 0


def next_target(context: RetryContext) -> Target | None:
    """Return the next target to try, or ``None`` if none is left."""
    last = context.history[-1]
    if (
        isinstance(last, RefusedAttempt)
        and last.reply.reason is Refusal.STALE_CONFIGURATION
    ):
        # The member is healthy; only the router's configuration was too old.
        earlier = [attempt.target for attempt in context.history[:-1]]
        if last.target not in earlier:
            return last.target
    tried = {
        (attempt.target.address, attempt.target.number) for attempt in context.history
    }
    for target in ordered_targets(context):
        if (target.address, target.number) not in tried:
            return target
    return target_to_repeat(context)


def ordered_targets(context: RetryContext) -> Iterator[Target]:
    """Yield targets by preference.

    The order is: candidates named in refusals, members in the data centre of the last
    attempt, members in other data centres, members of the next pools.
    """
    last = context.history[-1].target
    yield from refusal_candidates(context)
    start = context.pools.index(last.pool) if last.pool in context.pools else 0
    for pool in [*context.pools[start:], *context.pools[:start]]:
        if attempts_in_pool(context, pool) < MAX_ATTEMPTS_PER_POOL:
            yield from ordered_members(context, pool, last)


def refusal_candidates(context: RetryContext) -> Iterator[Target]:
    """Yield the candidates named in refusals, those of the last refusal first."""
    for attempt in reversed(context.history):
        if not isinstance(attempt, RefusedAttempt):
            continue
        members_by_instance = {
            (member.instance.address, member.instance.number): member
            for member in context.ranked.get(attempt.target.pool, ())
        }
        for candidate in attempt.reply.candidates:
            member = members_by_instance.get((candidate.address, candidate.number))
            data_centre = member.instance.data_centre if member else ""
            yield Target(
                candidate.address, candidate.number, attempt.target.pool, data_centre
            )


def ordered_members(context: RetryContext, pool: str, last: Target) -> Iterator[Target]:
    """Yield the members of a pool, those in the last data centre first.

    Members that drain, and data centres that have used up their attempts, are
    skipped.
    """
    counts: dict[str, int] = {}
    for attempt in context.history:
        if attempt.target.pool == pool:
            data_centre = attempt.target.data_centre
            counts[data_centre] = counts.get(data_centre, 0) + 1
    members = [each for each in context.ranked.get(pool, ()) if not each.draining]
    same_data_centre = [
        each for each in members if each.instance.data_centre == last.data_centre
    ]
    other_data_centres = [
        each for each in members if each.instance.data_centre != last.data_centre
    ]
    for member in [*same_data_centre, *other_data_centres]:
        instance = member.instance
        if counts.get(instance.data_centre, 0) < MAX_ATTEMPTS_PER_DATA_CENTRE:
            yield Target(instance.address, instance.number, pool, instance.data_centre)


def target_to_repeat(context: RetryContext) -> Target | None:
    """Return an earlier target to try once more when all members were tried.

    Small pools, such as a ledger service on three servers, have no other members.
    """
    for attempt in context.history:
        refusal = attempt.reply.reason if isinstance(attempt, RefusedAttempt) else None
        if refusal in NO_REPEAT_REFUSALS or attempts_in_pool(
            context, attempt.target.pool
        ) >= (MAX_ATTEMPTS_PER_POOL):
            continue
        if sum(each.target == attempt.target for each in context.history) == 1:
            return attempt.target
    return None


def attempts_in_pool(context: RetryContext, pool: str) -> int:
    """Count the attempts that were sent to a pool."""
    return sum(attempt.target.pool == pool for attempt in context.history)

from random import Random

import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.retry import (
    EndedUnknown,
    GiveUp,
    GiveUpReason,
    NeverSent,
    RefusedAttempt,
    RetryAttempt,
    RetryContext,
    RetryPlanner,
    Target,
    Unanswered,
)
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.messages import (
    Candidate,
    NotRun,
    Outcome,
    Refusal,
)


def member(name, data_centre, pool="first", draining=False):
    return Member(
        Instance(name, 1, data_centre, "r", Role.SIDECAR), pool, draining=draining
    )


RANKED = {
    "first": [
        member("a0", "a", draining=True),
        member("a1", "a"),
        member("b1", "b"),
        member("a2", "a"),
        member("a3", "a"),
        member("b2", "b"),
    ],
    "next": [member("n1", "a", "next"), member("n2", "b", "next")],
    "last": [member("l1", "a", "last"), member("l2", "b", "last")],
}
A1 = Target("a1", 1, "first", "a")


def target(name, pool="first"):
    return Target(name, 1, pool, "a" if pool == "next" else name[0])


def refused(reason, at=A1, candidates=(), retry_after_ms=0):
    named = [Candidate(name, 1) for name in candidates]
    return RefusedAttempt(at, NotRun(reason, 7, "", retry_after_ms, named))


def retry_context(*history, remaining_ms=10_000, repeatable=True, ranked=RANKED):
    return RetryContext(
        history, remaining_ms, repeatable, ["first", "next", "last"], ranked, 5
    )


class TestRefusalDelay:
    def test_suspect_waits_as_long_as_the_refusal_says(self):
        """Guards against an innocent suspect that uses up its attempts at once."""
        planner = RetryPlanner(ManualClock(), Random(1))
        suspect = refused(Refusal.CRASH_SUSPECT, retry_after_ms=2_000)
        plan = planner.plan(retry_context(suspect))
        assert isinstance(plan, RetryAttempt)
        assert plan.delay_ms >= 2_000

    def test_suspect_without_time_gives_up_at_once(self):
        """Guards against a delayed response to a request that can no longer run."""
        planner = RetryPlanner(ManualClock(), Random(1))
        suspect = refused(Refusal.CRASH_SUSPECT, retry_after_ms=2_000)
        plan = planner.plan(retry_context(suspect, remaining_ms=1_000))
        assert isinstance(plan, GiveUp)
        assert plan.outcome is Outcome.NOT_RUN


class TestRetryPlanner:
    def setup_method(self):
        self.clock = ManualClock()
        self.planner = RetryPlanner(self.clock, Random(1))

    def test_tries_targets_by_preference(self):
        """Guards against skipping candidates or moving to the next pool too early."""
        history = [refused(Refusal.LOAD_BOUND, candidates=["a3"])]
        order = []
        while isinstance(
            plan := self.planner.plan(retry_context(*history)), RetryAttempt
        ):
            order.append(plan.target.address)
            history.append(NeverSent(plan.target))
        # The next pool starts in the data centre of the last attempt. Six attempts
        # are charged, besides the free redirect to a3.
        assert order == ["a3", "b1", "b2", "n2", "n1", "l1"]

    def test_tries_the_same_data_centre_before_others(self):
        """Guards against needless traffic between data centres."""
        plan = self.planner.plan(retry_context(NeverSent(A1)))
        assert plan.target == target("a2")

    @pytest.mark.parametrize(
        "attempt",
        [Unanswered(A1), EndedUnknown(A1), refused(Refusal.DUPLICATE)],
    )
    def test_never_repeats_what_may_have_run(self, attempt):
        """Guards against running non-repeatable work twice, such as an invoice."""
        history = [attempt, refused(Refusal.LOAD_BOUND, target("a2"), ["a3"])]
        plan = self.planner.plan(retry_context(*history, repeatable=False))
        assert (plan.outcome, plan.reason) == (
            Outcome.UNKNOWN,
            GiveUpReason.MAY_HAVE_RUN,
        )
        assert isinstance(self.planner.plan(retry_context(*history)), RetryAttempt)

    def test_retries_non_repeatable_work_that_was_not_run(self):
        """Guards against giving up calls that certainly did not run."""
        history = [NeverSent(A1), refused(Refusal.DRAINING, target("a2"))]
        plan = self.planner.plan(retry_context(*history, repeatable=False))
        assert isinstance(plan, RetryAttempt)

    def test_outcome_stays_unknown_after_a_later_refusal(self):
        """Guards against "not run" for a request whose first attempt may have run."""
        history = [EndedUnknown(A1), refused(Refusal.CRASHES_SERVERS, target("a2"))]
        plan = self.planner.plan(retry_context(*history))
        assert (plan.outcome, plan.refusal) == (
            Outcome.UNKNOWN,
            Refusal.CRASHES_SERVERS,
        )

    def test_gives_up_on_final_refusals_at_once(self):
        """Guards against trying a request on every server that each of them refuses."""
        plan = self.planner.plan(
            retry_context(refused(Refusal.ACCOUNT_LIMIT, retry_after_ms=700))
        )
        assert plan == GiveUp(
            Outcome.NOT_RUN, GiveUpReason.REFUSED, 700, Refusal.ACCOUNT_LIMIT
        )

    def test_retries_a_stale_refusal_with_the_required_generation(self):
        """Guards against a retry under the configuration that a sidecar refused."""
        plan = self.planner.plan(retry_context(refused(Refusal.STALE_CONFIGURATION)))
        assert (plan.target, plan.required_generation) == (A1, 7)

    def test_repeats_the_only_member_once_unless_it_drains(self):
        """Guards against giving up a small pool after one broken connection."""
        ranked = {"first": [RANKED["first"][1]]}
        plan = self.planner.plan(retry_context(NeverSent(A1), ranked=ranked))
        assert plan.target == A1
        plan = self.planner.plan(
            retry_context(refused(Refusal.DRAINING), ranked=ranked)
        )
        assert (plan.outcome, plan.reason) == (Outcome.NOT_RUN, GiveUpReason.NO_MEMBER)

    def test_gives_up_when_the_deadline_leaves_no_time(self):
        """Guards against attempts that cannot finish before the deadline."""
        plan = self.planner.plan(retry_context(NeverSent(A1), remaining_ms=10))
        assert plan.reason is GiveUpReason.DEADLINE

    def test_budget_bounds_retries_but_not_redirects(self):
        """Guards against retries that multiply the load of a failing pool."""
        plans = [self.planner.plan(retry_context(NeverSent(A1))) for _ in range(20)]
        retried = sum(isinstance(plan, RetryAttempt) for plan in plans)
        assert (retried, plans[-1].reason) == (10, GiveUpReason.BUDGET)
        redirect = refused(Refusal.LOAD_BOUND, candidates=["a3"])
        assert self.planner.plan(retry_context(redirect)) == RetryAttempt(
            target("a3"), 0
        )
        for _ in range(10):
            self.planner.count_request("first")
        assert isinstance(self.planner.plan(retry_context(NeverSent(A1))), RetryAttempt)
        self.clock.advance(5_000)
        assert isinstance(self.planner.plan(retry_context(NeverSent(A1))), RetryAttempt)

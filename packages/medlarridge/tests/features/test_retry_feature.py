from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.retry import (
    NeverSent,
    RetryAttempt,
    RetryContext,
    RetryPlanner,
    Target,
    Unanswered,
)
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.messages import Outcome

scenarios("retry.feature")

NAMES = ["a1", "a2", "a3", "b1", "b2"]
MEMBERS = [
    Member(Instance(name, 1, name[0], "r", Role.SIDECAR), "pool") for name in NAMES
]


class Call:
    """Call with the history of its failed attempts."""

    def __init__(self, planner, repeatable):
        self.planner = planner
        self.repeatable = repeatable
        self.history = []

    def plan(self):
        ranked = {"pool": MEMBERS}
        return self.planner.plan(
            RetryContext(self.history, 9_000, self.repeatable, ["pool"], ranked)
        )


def retry_target(name):
    return Target(name, 1, "pool", name[0])


@given("a call that must not be repeated", target_fixture="call")
def non_repeatable_call():
    return Call(RetryPlanner(ManualClock(), Random(1)), repeatable=False)


@when(parsers.parse('the connection to "{name}" breaks after sending'))
def connection_breaks_after_sending(call, name):
    call.history.append(Unanswered(retry_target(name)))


@then(parsers.parse('the caller is told "{outcome}" at once'))
def caller_told(call, outcome):
    assert call.plan().outcome is Outcome(outcome)


@given(
    parsers.parse("{count:d} requests in {seconds:d} s whose attempts all break"
                  " before sending"),
    target_fixture="calls",
)  # fmt: skip
def failing_requests(count, seconds):
    clock = ManualClock()
    planner = RetryPlanner(clock, Random(1))
    calls = []
    for _ in range(count):
        clock.advance(seconds * 1_000 // count)
        planner.count_request("pool")
        call = Call(planner, repeatable=True)
        call.history.append(NeverSent(retry_target("a1")))
        while isinstance(plan := call.plan(), RetryAttempt):
            call.history.append(NeverSent(plan.target))
        calls.append((call, plan))
    return calls


@then(parsers.parse("at most {most:f} attempts are made per request"))
def attempts_bounded(calls, most):
    attempts = sum(len(call.history) for call, _ in calls)
    assert len(calls) < attempts <= most * len(calls)


@then(parsers.parse('every caller is told "{outcome}"'))
def every_caller_told(calls, outcome):
    assert {plan.outcome for _, plan in calls} == {Outcome(outcome)}

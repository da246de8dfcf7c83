from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge_standins.ledger_trial import CallEnding, Fault, LedgerTrial, Outcome

scenarios("at_most_once.feature")

SIDECAR_INDEX = {"first": 0, "second": 1}


class World:
    """Ledger trial and the fault to inject into its next write."""

    def __init__(self):
        self.trial = LedgerTrial(Random(1))
        self.write_fault = Fault.NONE

    def advance_store_calls(self):
        self.trial.advance_store_calls(write_fault=self.write_fault)
        self.write_fault = Fault.NONE

    def run_call(self, ending):
        self.advance_store_calls()
        self.trial.run_granted(ending)
        self.advance_store_calls()


@pytest.fixture
def world():
    return World()


@given("two sidecars that share the ledger of a route")
def two_sidecars(world):
    assert len(world.trial.sidecars) == 2


@given("the store loses the answer of the next write after it took effect")
def lose_write_result(world):
    world.write_fault = Fault.LOST_AFTER


@given("the store is down")
def store_down(world):
    world.trial.store.available = False


@when("the store returns")
def store_returns(world):
    world.trial.store.available = True


@when(parsers.parse('the caller sends "{key}" through the {which} sidecar'))
def caller_sends(world, key, which):
    world.trial.send(SIDECAR_INDEX[which], key)


@when("the call runs and its result is recorded")
def run_and_record(world):
    world.run_call(CallEnding.FINISH)


@when("the call runs and the sidecar dies before its result is recorded")
def run_and_die(world):
    world.run_call(CallEnding.NO_RESULT)
    world.trial.crash(0)


@when("the sidecar dies before its first store call")
def sidecar_dies(world):
    world.trial.crash(0)


@when("the server cannot be reached")
def server_unreachable(world):
    world.run_call(CallEnding.UNREACHABLE)


@when("both sidecars work on it at the same time")
def both_sidecars_advance(world):
    world.trial.settle()


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(world, seconds):
    for _ in range(seconds * 100):
        world.trial.advance(10)
        world.trial.sidecars[0].advance_store_call()


@when(
    parsers.parse(
        "the first sidecar is paused for {minutes:d} minutes before it runs the call"
    )
)
def pause_first_sidecar(world, minutes):
    world.advance_store_calls()
    assert world.trial.sidecars[0].granted
    world.trial.sidecars[0].paused = True
    world.trial.advance(minutes * 60_000)
    world.advance_store_calls()


@then(parsers.parse('the caller is told "{outcome}"'))
def caller_told(world, outcome):
    world.advance_store_calls()
    assert world.trial.copies[-1].outcome == Outcome(outcome)


@then(parsers.parse('the caller is told "{outcome}" with the first result'))
def caller_told_first_result(world, outcome):
    caller_told(world, outcome)
    assert world.trial.wrong_repeated_results == 0


@then(parsers.re(r'"(?P<key>.*)" ran (?P<most>at most )?(?P<times>\d) times?'))
def check_run_count(world, key, most, times):
    executions = len(world.trial.executions_by_key.get(key, []))
    assert executions <= int(times) if most else executions == int(times)

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge_standins.ledger_trial import CallEnding, Fault, LedgerTrial, Outcome

scenarios("at_most_once.feature")

INDEX = {"first": 0, "second": 1}


class Scene:
    """Trial and the fault of the next write."""

    def __init__(self):
        self.trial = LedgerTrial(Random(1))
        self.write_fault = Fault.NONE

    def advance_store_calls(self):
        self.trial.advance_store_calls(write_fault=self.write_fault)
        self.write_fault = Fault.NONE

    def run(self, ending):
        self.advance_store_calls()
        self.trial.run_granted(ending)
        self.advance_store_calls()


@pytest.fixture
def scene():
    return Scene()


@given("two sidecars that share the ledger of a route")
def two_sidecars(scene):
    assert len(scene.trial.sidecars) == 2


@given("the store loses the answer of the next write after it took effect")
def lose_answer(scene):
    scene.write_fault = Fault.LOST_AFTER


@given("the store is down")
def store_down(scene):
    scene.trial.store.available = False


@when("the store returns")
def store_returns(scene):
    scene.trial.store.available = True


@when(parsers.parse('the caller sends "{key}" through the {which} sidecar'))
def send(scene, key, which):
    scene.trial.send(INDEX[which], key)


@when("the call runs and its result is recorded")
def run_and_record(scene):
    scene.run(CallEnding.FINISH)


@when("the call runs and the sidecar dies before its result is recorded")
def run_and_die(scene):
    scene.run(CallEnding.NO_RESULT)
    scene.trial.crash(0)


@when("the sidecar dies before its first store call")
def die(scene):
    scene.trial.crash(0)


@when("the server cannot be reached")
def unreachable(scene):
    scene.run(CallEnding.UNREACHABLE)


@when("both sidecars work on it at the same time")
def work_together(scene):
    scene.trial.settle()


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(scene, seconds):
    for _ in range(seconds * 100):
        scene.trial.advance(10)
        scene.trial.sidecars[0].advance_store_call()


@when(
    parsers.parse(
        "the first sidecar is paused for {minutes:d} minutes before it runs the call"
    )
)
def pause(scene, minutes):
    scene.advance_store_calls()
    assert scene.trial.sidecars[0].granted
    scene.trial.sidecars[0].paused = True
    scene.trial.advance(minutes * 60_000)
    scene.advance_store_calls()


@then(parsers.parse('the caller is told "{outcome}"'))
def told(scene, outcome):
    scene.advance_store_calls()
    assert scene.trial.copies[-1].outcome == Outcome(outcome)


@then(parsers.parse('the caller is told "{outcome}" with the first result'))
def told_result(scene, outcome):
    told(scene, outcome)
    assert scene.trial.wrong_repeated_results == 0


@then(parsers.re(r'"(?P<key>.*)" ran (?P<most>at most )?(?P<times>\d) times?'))
def ran(scene, key, most, times):
    executions = len(scene.trial.executions_by_key.get(key, []))
    assert executions <= int(times) if most else executions == int(times)

from random import Random

import anyio
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.crash_guard import (
    CrashGuard,
    GuardRefusal,
    Run,
)
from medlarridge._internal.coordination.suspect_rules import STRIKE_RETENTION_MS
from medlarridge._internal.coordination.suspect_store_requests import ClaimRequest
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.state.suspect_store import SuspectStore

scenarios("crash_guard.feature")

CULPRIT = "culprit"


async def no_sleep(seconds):
    pass


class Fleet:
    """Crash guards of several servers in front of one store of suspects."""

    def __init__(self, count):
        self.clock = ManualClock(10**12)
        self.store = SuspectStore(MemoryStore(), self.clock, Random(1), no_sleep)
        self.guards = [CrashGuard(self.clock, f"{number}-0") for number in range(count)]
        self.attempts = 0
        self.lost_servers = 0
        self.uninformed_starts = 0

    def start(self, number, fingerprint):
        guard = self.guards[number]
        self.attempts += 1
        attempt = str(self.attempts)
        suspected = guard.suspects.strike_count(fingerprint) > 0
        decision = guard.admit(attempt, "route", fingerprint)
        if isinstance(decision, ClaimRequest):
            view = anyio.run(self.store.apply, decision).unwrap()
            decision = guard.claim_decided(decision, view)
        if decision == Run() and fingerprint == CULPRIT:
            self.uninformed_starts += not suspected
        return attempt, decision

    def flush(self, number):
        guard = self.guards[number]
        for request in list(guard.pending):
            guard.request_stored(request, anyio.run(self.store.apply, request).unwrap())

    def server_dies(self, number):
        self.lost_servers += 1
        self.guards[number].server_died(f"{number}-{self.lost_servers}")
        self.flush(number)

    def exchange_notices(self):
        notices = [guard.suspects.notices(50) for guard in self.guards]
        for guard in self.guards:
            for message in notices:
                if message is not None:
                    guard.suspects.receive(message)

    def runs_culprit(self, number):
        return any(
            attempt.started and attempt.fingerprint == CULPRIT
            for attempt in self.guards[number].running.values()
        )

    def send_culprit_everywhere(self):
        started = []
        for number in range(len(self.guards)):
            if not self.runs_culprit(number):
                decision = self.start(number, CULPRIT)[1]
                started += [number] if decision == Run() else []
        return started


@given(parsers.parse("{count:d} servers in front of an available store"),
       target_fixture="fleet")  # fmt: skip
def servers_with_store(count):
    return Fleet(count)


@when(parsers.parse("{copies:d} copies of the culprit start before any server died"))
def copies_start(fleet, copies):
    for number in range(copies):
        assert fleet.start(number, CULPRIT)[1] == Run()
    fleet.copies = copies


@when(parsers.parse("{last:d} of their servers die only after two later runs"
                    " have died"))  # fmt: skip
def servers_die(fleet, last):
    for number in range(fleet.copies - last):
        fleet.server_dies(number)
    fleet.exchange_notices()
    for _ in range(10):
        started = fleet.send_culprit_everywhere()
        assert len(started) <= 1
        for number in started:
            fleet.server_dies(number)
        fleet.exchange_notices()
    for number in range(fleet.copies - last, fleet.copies):
        fleet.server_dies(number)
    fleet.exchange_notices()
    assert fleet.send_culprit_everywhere() == []


@then(parsers.parse("exactly {lost:d} servers are lost"))
def check_lost_count(fleet, lost):
    assert fleet.lost_servers == lost


@then("the culprit is refused on every server for an hour")
def refused_for_an_hour(fleet):
    fleet.clock.advance(STRIKE_RETENTION_MS - 1)
    for number in range(len(fleet.guards)):
        decision = fleet.start(number, CULPRIT)[1]
        assert decision.reason is GuardRefusal.CRASHES_SERVERS
    fleet.clock.advance(1)
    assert fleet.start(0, CULPRIT)[1] == Run()


@then(parsers.parse("in {orders:d} random orders no more than {extra:d} servers are"
                    " lost besides the copies that started without knowing"))  # fmt: skip
def loss_bounded_in_random_orders(fleet, orders, extra):
    most_extra_losses = 0
    for seed in range(orders):
        random = Random(seed)
        trial = Fleet(len(fleet.guards))
        for _ in range(60):
            trial.clock.advance(10)
            number = random.randrange(len(trial.guards))
            action = random.random()
            if trial.runs_culprit(number) and action < 0.5:
                trial.server_dies(number)
            elif action < 0.9 and not trial.runs_culprit(number):
                trial.start(number, CULPRIT)
            elif action > 0.97:
                trial.exchange_notices()
        for number in range(len(trial.guards)):
            if trial.runs_culprit(number):
                trial.server_dies(number)
        assert trial.lost_servers <= trial.uninformed_starts + extra
        most_extra_losses = max(
            most_extra_losses, trial.lost_servers - trial.uninformed_starts
        )
    assert most_extra_losses == extra


@when("an innocent request shares its server with a new culprit again and again")
def innocent_meets_culprits(fleet):
    fleet.decisions = []
    for number in range(10):
        fleet.start(number, f"culprit {number}")
        attempt, decision = fleet.start(number, "innocent")
        fleet.decisions.append(decision)
        if fleet.guards[number].isolation is not None:
            fleet.guards[number].withdraw(attempt)
        fleet.server_dies(number)
        fleet.exchange_notices()


@then("it is never refused everywhere")
def never_refused_everywhere(fleet):
    reasons = [getattr(decision, "reason", None) for decision in fleet.decisions]
    assert fleet.decisions[:2] == [Run(), Run()]
    assert GuardRefusal.CRASHES_SERVERS not in reasons


@then("it loses its strikes when it succeeds")
def loses_strikes(fleet):
    attempt, decision = fleet.start(15, "innocent")
    assert decision == Run()
    assert fleet.start(15, "new")[1].reason is GuardRefusal.SERVER_ISOLATED
    fleet.guards[15].finished(attempt, succeeded=True)
    fleet.flush(15)
    fleet.exchange_notices()
    assert {guard.suspects.strike_count("innocent") for guard in fleet.guards} == {0}

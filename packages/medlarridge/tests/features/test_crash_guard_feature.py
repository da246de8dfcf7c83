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
    def __init__(self, count):
        self.clock = ManualClock(10**12)
        self.store = SuspectStore(MemoryStore(), self.clock, Random(1), no_sleep)
        self.guards = [CrashGuard(self.clock, f"{number}-0") for number in range(count)]
        self.attempts = 0
        self.lost = 0
        self.unknowing = 0

    def start(self, number, fingerprint):
        guard = self.guards[number]
        self.attempts += 1
        attempt = str(self.attempts)
        knows = guard.suspects.strike_count(fingerprint) > 0
        answer = guard.admit(attempt, "route", fingerprint)
        if isinstance(answer, ClaimRequest):
            view = anyio.run(self.store.apply, answer).unwrap()
            answer = guard.claim_decided(answer, view)
        if answer == Run() and fingerprint == CULPRIT:
            self.unknowing += not knows
        return attempt, answer

    def flush(self, number):
        guard = self.guards[number]
        for request in list(guard.pending):
            guard.request_stored(request, anyio.run(self.store.apply, request).unwrap())

    def die(self, number):
        self.lost += 1
        self.guards[number].server_died(f"{number}-{self.lost}")
        self.flush(number)

    def spread(self):
        notices = [guard.suspects.notices(50) for guard in self.guards]
        for guard in self.guards:
            for message in notices:
                if message is not None:
                    guard.suspects.receive(message)

    def runs(self, number):
        return any(
            each.started and each.fingerprint == CULPRIT
            for each in self.guards[number].running.values()
        )

    def send_everywhere(self):
        started = []
        for number in range(len(self.guards)):
            if not self.runs(number):
                answer = self.start(number, CULPRIT)[1]
                started += [number] if answer == Run() else []
        return started


@given(parsers.parse("{count:d} servers in front of an available store"),
       target_fixture="fleet")  # fmt: skip
def servers(count):
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
        fleet.die(number)
    fleet.spread()
    for _ in range(10):
        started = fleet.send_everywhere()
        assert len(started) <= 1
        for number in started:
            fleet.die(number)
        fleet.spread()
    for number in range(fleet.copies - last, fleet.copies):
        fleet.die(number)
    fleet.spread()
    assert fleet.send_everywhere() == []


@then(parsers.parse("exactly {lost:d} servers are lost"))
def exactly(fleet, lost):
    assert fleet.lost == lost


@then("the culprit is refused on every server for an hour")
def refused(fleet):
    fleet.clock.advance(STRIKE_RETENTION_MS - 1)
    for number in range(len(fleet.guards)):
        answer = fleet.start(number, CULPRIT)[1]
        assert answer.reason is GuardRefusal.CRASHES_SERVERS
    fleet.clock.advance(1)
    assert fleet.start(0, CULPRIT)[1] == Run()


@then(parsers.parse("in {orders:d} random orders no more than {extra:d} servers are"
                    " lost besides the copies that started without knowing"))  # fmt: skip
def random_orders(fleet, orders, extra):
    worst = 0
    for seed in range(orders):
        random = Random(seed)
        one = Fleet(len(fleet.guards))
        for _ in range(60):
            one.clock.advance(10)
            number = random.randrange(len(one.guards))
            action = random.random()
            if one.runs(number) and action < 0.5:
                one.die(number)
            elif action < 0.9 and not one.runs(number):
                one.start(number, CULPRIT)
            elif action > 0.97:
                one.spread()
        for number in range(len(one.guards)):
            if one.runs(number):
                one.die(number)
        assert one.lost <= one.unknowing + extra
        worst = max(worst, one.lost - one.unknowing)
    assert worst == extra


@when("an innocent request shares its server with a new culprit again and again")
def innocent_meets_culprits(fleet):
    fleet.answers = []
    for number in range(10):
        fleet.start(number, f"culprit {number}")
        attempt, answer = fleet.start(number, "innocent")
        fleet.answers.append(answer)
        if fleet.guards[number].isolation is not None:
            fleet.guards[number].withdraw(attempt)
        fleet.die(number)
        fleet.spread()


@then("it is never refused everywhere")
def never_refused(fleet):
    reasons = [getattr(answer, "reason", None) for answer in fleet.answers]
    assert fleet.answers[:2] == [Run(), Run()]
    assert GuardRefusal.CRASHES_SERVERS not in reasons


@then("it loses its strikes when it succeeds")
def loses_strikes(fleet):
    attempt, answer = fleet.start(15, "innocent")
    assert answer == Run()
    assert fleet.start(15, "new")[1].reason is GuardRefusal.SERVER_ISOLATED
    fleet.guards[15].finished(attempt, succeeded=True)
    fleet.flush(15)
    fleet.spread()
    assert {guard.suspects.strike_count("innocent") for guard in fleet.guards} == {0}

from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.fair_queue import FairQueue, QueueEntry, Shed

scenarios("fair_queue.feature")

WORK_TOKENS = 1_000
RUN_MS = 2_000


class Server:
    def __init__(self, places):
        self.clock = ManualClock()
        self.queue = FairQueue(self.clock, Random(1), self.fits)
        self.places = places
        self.entries = []
        self.shed = []

    def fits(self, work):
        return self.queue.running_tokens + work <= self.places * WORK_TOKENS

    def send(self, account):
        key = str(len(self.entries))
        entry = QueueEntry(key, account, WORK_TOKENS, self.clock.now_ms() + 60_000)
        self.entries.append(entry)
        answer = self.queue.offer(entry)
        self.shed += [answer] if isinstance(answer, Shed) else []
        self.queue.dispatch()


@given(parsers.parse("a server with room for {places:d} requests"), target_fixture="it")
def server(places):
    return Server(places)


@when(parsers.parse('account "{account}" sends {count:d} requests'))
def send(it, account, count):
    for _ in range(count):
        it.send(account)


@then(parsers.parse('the requests of account "{account}" start at once'))
def start_at_once(it, account):
    keys = {each.key for each in it.entries if each.account == account}
    assert keys and keys <= it.queue.running.keys()


@then(parsers.parse("no more than {places:d} requests run"))
def bound(it, places):
    assert len(it.queue.running) <= places


@then(parsers.parse('after 20 s every request of account "{account}" has started'
                    " or was shed"))  # fmt: skip
def all_decided(it, account):
    for _ in range(2_000):
        it.clock.advance(10)
        it.shed += it.queue.expire()
        now = it.clock.now_ms()
        for entry in list(it.queue.running.values()):
            if entry.started_ms + RUN_MS <= now:
                it.queue.finish(entry.key)
        it.queue.dispatch()
        assert len(it.queue.running) <= it.places
    assert not it.queue.waiting
    assert 0 < len(it.shed) < sum(each.account == account for each in it.entries)


@then("every shed request was told when to come back")
def told(it):
    assert all(each.retry_after_ms >= 200 for each in it.shed)

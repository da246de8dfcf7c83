from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.fair_queue import FairQueue, QueueEntry, Shed

scenarios("fair_queue.feature")

WORK_TOKENS = 1_000
RUN_MS = 2_000


class Server:
    """Fair queue of a server that runs a fixed number of requests of equal work."""

    def __init__(self, max_running):
        self.clock = ManualClock()
        self.queue = FairQueue(self.clock, Random(1), self.fits)
        self.max_running = max_running
        self.entries = []
        self.shed = []

    def fits(self, work_tokens):
        return self.queue.running_tokens + work_tokens <= self.max_running * WORK_TOKENS

    def send(self, account):
        key = str(len(self.entries))
        entry = QueueEntry(key, account, WORK_TOKENS, self.clock.now_ms() + 60_000)
        self.entries.append(entry)
        result = self.queue.offer(entry)
        self.shed += [result] if isinstance(result, Shed) else []
        self.queue.dispatch()


@given(
    parsers.parse("a server with room for {places:d} requests"), target_fixture="server"
)
def server_with_room(places):
    return Server(places)


@when(parsers.parse('account "{account}" sends {count:d} requests'))
def send(server, account, count):
    for _ in range(count):
        server.send(account)


@then(parsers.parse('the requests of account "{account}" start at once'))
def account_starts_at_once(server, account):
    keys = {entry.key for entry in server.entries if entry.account == account}
    assert keys and keys <= server.queue.running.keys()


@then(parsers.parse("no more than {places:d} requests run"))
def running_bounded(server, places):
    assert len(server.queue.running) <= places


@then(parsers.parse('after 20 s every request of account "{account}" has started'
                    " or was shed"))  # fmt: skip
def all_started_or_shed(server, account):
    for _ in range(2_000):
        server.clock.advance(10)
        server.shed += server.queue.expire()
        now = server.clock.now_ms()
        for entry in list(server.queue.running.values()):
            if entry.started_ms + RUN_MS <= now:
                server.queue.finish(entry.key)
        server.queue.dispatch()
        assert len(server.queue.running) <= server.max_running
    assert not server.queue.waiting
    assert (
        0 < len(server.shed) < sum(entry.account == account for entry in server.entries)
    )


@then("every shed request was told when to come back")
def shed_have_retry_after(server):
    assert all(shed.retry_after_ms >= 200 for shed in server.shed)

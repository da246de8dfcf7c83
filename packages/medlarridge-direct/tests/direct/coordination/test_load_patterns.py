"""Load patterns that a fleet meets, played on the decisions alone.

Each router sees its own attempts at once and those of the others with a lag.
"""

from random import Random

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.load_view import LoadView
from medlarridge_direct._internal.coordination.placement import Placement
from medlarridge_direct._internal.coordination.prompt_cache_index import (
    PromptCacheIndex,
)

from ..samples import prompt, server, servers

ROUTERS = 5
REPORT_MS = 100
BOUND_FACTOR = 2.0
BOUND_FLOOR = 3.0
"""A server may carry twice the mean of its pool and 3 more."""
ALLOWED_SHARE = 0.03


class Fleet:
    """Routers that place work on servers and exchange reports."""

    def __init__(self, pool, seed=1):
        self.clock = ManualClock(1_000_000)
        self.random = Random(seed)
        self.pool = pool
        self.leaving = []
        self.routers = [
            Placement(
                Random(number),
                LoadView(self.clock),
                PromptCacheIndex(self.clock),
                "anfa",
                BOUND_FACTOR,
            )
            for number in range(ROUTERS)
        ]
        self.news = [[] for _ in range(ROUTERS)]
        self.running = []
        self.over_bound = 0
        self.sent = 0
        self.read_tokens = 0
        self.fetched_tokens = 0
        self.memory = {each.instance: set() for each in pool}

    def send(self, session, lasts_ms, tokens=10_000):
        number = self.random.randrange(ROUTERS)
        router = self.routers[number]
        parts = prompt(session, tokens)
        chosen = router.rank(self.pool, parts)[0]
        source = router.fetch_source(chosen, parts, [*self.pool, *self.leaving])
        self.news[number] += router.cache_index.record_prompt(parts, chosen.instance)
        router.load.begin_attempt(chosen.instance)
        self.take_prompt(chosen, source, session, tokens)
        self.running.append((self.clock.now_ms() + lasts_ms, number, chosen.instance))
        self.judge(chosen)

    def take_prompt(self, chosen, source, session, tokens):
        held = self.memory[chosen.instance]
        if session in held:
            return
        if source is not None and session in self.memory[source.instance]:
            self.fetched_tokens += tokens
        elif any(session in other for other in self.memory.values()):
            self.read_tokens += tokens
        held.add(session)

    def judge(self, chosen):
        loads = dict.fromkeys(self.memory, 0)
        for _, _, instance in self.running:
            loads[instance] += 1
        mean = sum(loads.values()) / len(loads)
        self.sent += 1
        if loads[chosen.instance] > BOUND_FACTOR * mean + BOUND_FLOOR:
            self.over_bound += 1

    def step(self, ms):
        self.clock.advance(ms)
        now_ms = self.clock.now_ms()
        for _, number, instance in [each for each in self.running if each[0] <= now_ms]:
            self.routers[number].load.end_attempt(instance)
        self.running = [each for each in self.running if each[0] > now_ms]
        if now_ms % REPORT_MS == 0:
            self.report()

    def report(self):
        for number, router in enumerate(self.routers):
            news, self.news[number] = self.news[number], []
            for other in self.routers:
                if other is router:
                    continue
                other.load.apply_report(number, dict(router.load.own))
                for part, instance in news:
                    other.cache_index.record(part, instance)

    def play(self, seconds, per_s, session_of, lasts_ms):
        for tick in range(seconds * 100):
            self.step(10)
            if self.random.random() < per_s / 100:
                self.send(session_of(tick), lasts_ms)


class TestHotPrompt:
    def test_a_prompt_with_a_third_of_the_traffic_spreads_under_the_bound(self):
        """Guards against one server that carries a chat everybody asks about."""
        fleet = Fleet(servers(9))

        def session_of(tick):
            hot = fleet.random.random() < 0.3
            return "hot" if hot else f"chat-{fleet.random.randrange(70)}"

        fleet.play(20, 40, session_of, lasts_ms=1_500)
        assert fleet.over_bound <= ALLOWED_SHARE * fleet.sent

    def test_copies_of_a_hot_prompt_are_fetched_and_not_read_again(self):
        """Guards against a long prompt that each server computes by itself."""
        fleet = Fleet(servers(9))
        fleet.play(20, 40, lambda tick: "hot", lasts_ms=1_500)
        assert fleet.fetched_tokens > 0
        assert fleet.read_tokens == 0


class TestBurst:
    def test_three_times_the_traffic_stays_under_the_bound(self):
        """Guards against servers that many routers choose before they hear of it."""
        fleet = Fleet(servers(9))

        def session_of(tick):
            return f"chat-{fleet.random.randrange(70)}"

        fleet.play(5, 30, session_of, lasts_ms=1_500)
        fleet.over_bound = fleet.sent = 0
        fleet.play(5, 90, session_of, lasts_ms=1_500)
        assert fleet.over_bound <= ALLOWED_SHARE * fleet.sent


class TestReleaseUnderLoad:
    def test_chats_of_replaced_servers_are_fetched_while_these_drain(self):
        """Guards against reading the chats of a released server again."""
        fleet = Fleet(servers(9))

        def session_of(tick):
            return f"chat-{tick % 20}"

        fleet.play(10, 40, session_of, lasts_ms=800)
        fetched_before = fleet.fetched_tokens
        fleet.leaving, staying = fleet.pool[:3], fleet.pool[3:]
        fresh = [server(f"new-{i}", port=9000 + i) for i in range(3)]
        for each in fresh:
            fleet.memory[each.instance] = set()
        fleet.pool = [*staying, *fresh]
        fleet.play(2, 40, session_of, lasts_ms=800)
        assert fleet.fetched_tokens > fetched_before
        assert fleet.read_tokens == 0

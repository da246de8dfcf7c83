"""Simulations of load patterns that run only the placement decisions, without I/O.

Each router sees its own attempts at once and those of the others with a delay.
"""

from random import Random

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination import placement
from medlarridge_direct._internal.coordination.load_view import LoadView
from medlarridge_direct._internal.coordination.placement import Placement
from medlarridge_direct._internal.coordination.prompt_cache_index import (
    PromptCacheIndex,
)

from ..samples import prompt, server, servers

ROUTERS = 5
REPORT_INTERVAL_MS = 100
BOUND_FACTOR = 2.0
BOUND_ALLOWANCE = 3.0
"""A server may carry twice the mean load of its pool plus 3 attempts."""
MAX_OVER_BOUND_SHARE = 0.03


class Fleet:
    """Routers that place requests on servers and exchange reports.

    ``caches`` holds the prompts that each server really caches. ``fetched_tokens`` and
    ``recomputed_tokens`` count the prompts that a server lacked but another one cached.
    """

    def __init__(self, pool, seed=1):
        self.clock = ManualClock(1_000_000)
        self.random = Random(seed)
        self.pool = pool
        self.draining = []
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
        self.pending_entries = [[] for _ in range(ROUTERS)]
        self.running = []
        self.over_bound = 0
        self.sent = 0
        self.recomputed_tokens = 0
        self.fetched_tokens = 0
        self.caches = {each.instance: set() for each in pool}

    def send(self, session, duration_ms, tokens=10_000):
        number = self.random.randrange(ROUTERS)
        router = self.routers[number]
        parts = prompt(session, tokens)
        chosen = router.rank(self.pool, parts)[0]
        source = router.fetch_source(chosen, parts, [*self.pool, *self.draining])
        self.pending_entries[number] += router.cache_index.record_prompt(
            parts, chosen.instance
        )
        router.load.begin_attempt(chosen.instance)
        self.process_prompt(chosen, source, session, tokens)
        self.running.append(
            (self.clock.now_ms() + duration_ms, number, chosen.instance)
        )
        self.check_load(chosen)

    def process_prompt(self, chosen, source, session, tokens):
        cached = self.caches[chosen.instance]
        if session in cached:
            return
        if source is not None and session in self.caches[source.instance]:
            self.fetched_tokens += tokens
        elif any(session in other for other in self.caches.values()):
            self.recomputed_tokens += tokens
        cached.add(session)

    def check_load(self, chosen):
        loads = dict.fromkeys(self.caches, 0)
        for _, _, instance in self.running:
            loads[instance] += 1
        mean = sum(loads.values()) / len(loads)
        self.sent += 1
        if loads[chosen.instance] > BOUND_FACTOR * mean + BOUND_ALLOWANCE:
            self.over_bound += 1

    def advance(self, ms):
        self.clock.advance(ms)
        now_ms = self.clock.now_ms()
        for _, number, instance in [each for each in self.running if each[0] <= now_ms]:
            self.routers[number].load.end_attempt(instance)
        self.running = [each for each in self.running if each[0] > now_ms]
        if now_ms % REPORT_INTERVAL_MS == 0:
            self.exchange_reports()

    def exchange_reports(self):
        for number, router in enumerate(self.routers):
            entries, self.pending_entries[number] = self.pending_entries[number], []
            for other in self.routers:
                if other is router:
                    continue
                other.load.apply_report(number, dict(router.load.own))
                for part, instance in entries:
                    other.cache_index.record(part, instance)

    def run(self, seconds, rate_per_s, session_of, duration_ms):
        for tick in range(seconds * 100):
            self.advance(10)
            if self.random.random() < rate_per_s / 100:
                self.send(session_of(tick), duration_ms)


class TestHotPrompt:
    def test_a_prompt_with_a_third_of_the_traffic_spreads_under_the_bound(self):
        """Guards against one server that gets all requests of a popular prompt."""
        fleet = Fleet(servers(9))

        def session_of(tick):
            hot = fleet.random.random() < 0.3
            return "hot" if hot else f"chat-{fleet.random.randrange(70)}"

        fleet.run(20, 40, session_of, duration_ms=1_500)
        assert fleet.over_bound <= MAX_OVER_BOUND_SHARE * fleet.sent

    def test_a_hot_prompt_is_fetched_and_not_recomputed(self):
        """Guards against a long prompt that each server processes by itself."""
        fleet = Fleet(servers(9))
        fleet.run(20, 40, lambda tick: "hot", duration_ms=1_500)
        assert fleet.fetched_tokens > 0
        assert fleet.recomputed_tokens == 0


class TestBurst:
    def test_three_times_the_traffic_stays_under_the_bound(self):
        """Guards against routers that choose the same server before the next report."""
        fleet = Fleet(servers(9))

        def session_of(tick):
            return f"chat-{fleet.random.randrange(70)}"

        fleet.run(5, 30, session_of, duration_ms=1_500)
        fleet.over_bound = fleet.sent = 0
        fleet.run(5, 90, session_of, duration_ms=1_500)
        assert fleet.over_bound <= MAX_OVER_BOUND_SHARE * fleet.sent


class TestManyChatsReturnAtOnce:
    """All caches are empty and many chats with long prompts return within seconds."""

    def busiest_share(self, seed):
        """Return the prompts that the busiest server processes against the mean."""
        fleet = Fleet(servers(9), seed)

        def session_of(tick):
            return f"chat-{fleet.random.randrange(72)}"

        fleet.run(3, 40, session_of, duration_ms=1_500)
        processed = [len(prompts) for prompts in fleet.caches.values()]
        return max(processed) / (sum(processed) / len(processed))

    def test_new_prompts_are_spread_better_than_by_hashing(self, monkeypatch):
        """Guards against a queue of long prompts at one server while others idle."""
        seeds = range(8)
        spread = sum(self.busiest_share(seed) for seed in seeds)
        monkeypatch.setattr(placement, "NEW_PROMPT_CHOICES", 1)
        assert spread < sum(self.busiest_share(seed) for seed in seeds)


class TestReleaseUnderLoad:
    def test_prompts_of_draining_servers_are_fetched(self):
        """Guards against recomputing the prompts of servers that a release replaces."""
        fleet = Fleet(servers(9))

        def session_of(tick):
            return f"chat-{tick % 20}"

        fleet.run(10, 40, session_of, duration_ms=800)
        fetched_before = fleet.fetched_tokens
        fleet.draining, staying = fleet.pool[:3], fleet.pool[3:]
        new = [server(f"new-{i}", port=9000 + i) for i in range(3)]
        for each in new:
            fleet.caches[each.instance] = set()
        fleet.pool = [*staying, *new]
        fleet.run(2, 40, session_of, duration_ms=800)
        assert fleet.fetched_tokens > fetched_before
        assert fleet.recomputed_tokens == 0

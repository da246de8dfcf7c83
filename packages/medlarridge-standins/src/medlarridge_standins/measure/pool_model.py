"""Model of a pool of engines and its chats, driving the real decision classes.

Time is a ``ManualClock`` moved from event to event. Engines have a true prefix cache
(least recently used first out, a limit in tokens), publish cache events late and with
gaps, and serve each request in an exponential time.
"""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from medlarridge._internal.clock import MS_PER_S, ManualClock
from medlarridge._internal.coordination.load_bound import FLOOR_REQUESTS, STALE_AFTER_MS
from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.coordination.pool_mean import WINDOW_MS, MeanMessage
from medlarridge._internal.coordination.prefix_index import CacheEvent, CacheEventKind
from medlarridge._internal.coordination.reuse_planner import (
    Refuse,
    Request,
    ReusePlanner,
    Run,
    Wait,
)
from medlarridge._internal.identity import Instance, Member, Role

SCRIPT_TOKENS = 800
MAX_CHAT_TOKENS = 8000
OUTPUT_TOKENS = 250
SERVICE_MS = 5000
PREFILL_TOKENS_PER_S = 10_000
IMPORT_TOKENS_PER_S = 100_000
IMPORT_OVERHEAD_MS = 10
SAMPLE_MS = 50
SKEW_SAMPLE_MS = 100
RANKED = 4
MAX_ATTEMPTS = 8
DATA_CENTRES = 3
HOLD_DOWN_MS = 30_000
LEAVE_MS = 30_000
CACHE_EVENT_LAG_MS = 2000
CACHE_EVENT_LOSS = 0.05
BOUND = 1.25
TOLERANCE = 1e-6


@dataclass
class Chat:
    """One chat; ``tokens`` is its length after the last answer."""

    name: str
    first_prompt: int
    tokens: int = 0
    once: bool = False


@dataclass
class Counts:
    """What is counted after the warm-up."""

    requests: int = 0
    attempts: int = 0
    reusable: int = 0
    found: int = 0
    imported: int = 0
    admissions: int = 0
    violations: int = 0
    above_instant: int = 0
    above_average: int = 0
    worst_admission: float = 0.0
    worst_skew: float = 0.0
    skew_sum: float = 0.0
    skew_samples: int = 0
    wait_ms: int = 0
    stale: int = 0
    age_sum: int = 0
    worst_age: int = 0
    moves: int = 0
    fetched: int = 0
    given_up: int = 0
    first_token_ms: list[int] = field(default_factory=list)

    @property
    def first_token_p95_ms(self) -> int:
        """Time from arrival to the first token at the 95th percentile."""
        ordered = sorted(self.first_token_ms)
        return ordered[len(ordered) * 95 // 100] if ordered else 0

    @property
    def reuse(self) -> float:
        """Share of the reusable tokens that were found or imported, in percent."""
        return 100 * (self.found + self.imported) / max(1, self.reusable)


@dataclass
class ModelEngine:
    """An engine and its sidecar."""

    member: Member
    planner: ReusePlanner
    capacity_tokens: int
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_total: int = 0
    alive: bool = True
    joined_ms: int = 0
    wake_ms: int = -1
    tokens: float = 0.0
    work: dict[str, float] = field(default_factory=dict)

    @property
    def load(self) -> float:
        """Outstanding work over weight."""
        return self.tokens / self.member.weight


@dataclass
class Job:
    """A request on its way."""

    chat: Chat
    request: Request
    router: int
    tried: list[str] = field(default_factory=list)
    arrived_ms: int = 0


@dataclass
class PoolModelSettings:
    """Parameters of a run."""

    seed: int = 7
    engines: int = 30
    in_flight: float = 8.0
    policy: str = "ours"
    routers: int = 8
    chats_per_engine: int = 100
    cache_share: float = 1.3
    duration_s: int = 240
    warm_up_s: int = 120
    datagram_loss: float = 0.01
    weights: tuple[float, ...] = (1.0,)
    view_lag_ms: int = 5000
    report_lag_ms: int = 0
    releases: bool = False


class PoolModel:
    """The pool, its routers and its chats."""

    def __init__(self, settings: PoolModelSettings) -> None:
        self.settings = settings
        self.random = Random(settings.seed)
        self.clock = ManualClock()
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.sequence = 0
        self.engines: dict[str, ModelEngine] = {}
        self.held: dict[str, int] = {}
        self.counts = Counts()
        self.routers = [Placement() for _ in range(settings.routers)]
        self.router_load: list[dict[str, int]] = [{} for _ in self.routers]
        self.turns = [self.random.randrange(1000) for _ in self.routers]
        self.jobs: dict[str, Job] = {}
        self.finishing: dict[str, int] = {}
        self.last_place: dict[str, str] = {}
        self.means: deque[tuple[int, float]] = deque()
        self.next_engine = 0
        self.view = 0
        self.seen: dict[Callable[..., None], int] = {}
        self.next_chat = 0
        for _ in range(settings.engines):
            self.add_engine()
        self.spread_views(0)
        count = settings.chats_per_engine * settings.engines
        self.idle_chats = [self.new_chat() for _ in range(count)]
        for chat in self.idle_chats:
            turns = self.random.randrange(12)
            chat.tokens = turns and min(
                MAX_CHAT_TOKENS, chat.first_prompt + turns * 500
            )

    # Events

    def schedule(
        self, delay_ms: float, action: Callable[..., None], *args: object
    ) -> None:
        """Schedule an action."""
        self.sequence += 1
        when = self.clock.now_ms() + max(0, round(delay_ms))
        heapq.heappush(self.events, (when, self.sequence, action, args))

    def run(self) -> Counts:
        """Run to the end and return the counts after the warm-up."""
        end_ms = self.settings.duration_s * MS_PER_S
        self.schedule(0, self.arrive)
        self.schedule(0, self.sample)
        self.schedule(self.settings.warm_up_s * MS_PER_S, self.reset_counts)
        while self.events and self.events[0][0] <= end_ms:
            when, _, action, args = heapq.heappop(self.events)
            self.clock.advance(when - self.clock.now_ms())
            action(*args)
        return self.counts

    def reset_counts(self) -> None:
        """End the warm-up."""
        self.counts = Counts()

    @property
    def measuring(self) -> bool:
        """Whether the warm-up is over."""
        return self.clock.now_ms() >= self.settings.warm_up_s * MS_PER_S

    # Engines

    def add_engine(self) -> ModelEngine:
        """Start an engine on a new VM."""
        number = self.next_engine
        self.next_engine += 1
        weights = self.settings.weights
        member = Member(
            Instance(
                f"10.0.{number // 250}.{number % 250}:7000",
                number + 1,
                f"dc-{number % DATA_CENTRES}",
                "region",
                Role.SIDECAR,
            ),
            "pool",
            weights[number % len(weights)],
        )
        capacity = round(
            self.settings.cache_share
            * self.settings.chats_per_engine
            * 5000
            * member.weight
        )
        planner = ReusePlanner(
            member,
            BOUND,
            self.clock,
            Random(self.settings.seed * 1000 + number),
            engine_can_release=self.settings.releases,
        )
        engine = ModelEngine(member, planner, capacity, joined_ms=self.clock.now_ms())
        self.engines[member.instance.address] = engine
        self.wake(engine)
        return engine

    def spread_views(self, lag_ms: int) -> None:
        """Tell all processes the member list, each after its own delay."""
        members = [e.member for e in self.engines.values() if e.alive]
        held = {a for a, until in self.held.items() if until > self.clock.now_ms()}
        self.view += 1
        updates = [router.update for router in self.routers]
        updates += [e.planner.set_members for e in self.engines.values() if e.alive]
        for update in updates:
            delay = self.random.uniform(0, lag_ms)
            self.schedule(delay, self.see, update, self.view, members, held)

    def see(
        self,
        update: Callable[..., None],
        view: int,
        members: list[Member],
        held: set[str],
    ) -> None:
        """Update a process unless it already knows a newer list."""
        if view > self.seen.get(update, 0):
            self.seen[update] = view
            update(members, held)

    def stop(self, address: str) -> None:
        """End an engine at once; its running requests are lost."""
        engine = self.engines[address]
        engine.alive = False
        for request_id, job in list(self.jobs.items()):
            if self.finishing.get(request_id) == id(engine):
                self.give_back(job)
        engine.tokens = 0.0
        engine.work.clear()
        # Detection takes as long as the suspicion of the membership protocol.
        self.schedule(self.settings.view_lag_ms, self.spread_views, 1000)

    def leave(self, address: str) -> None:
        """Let an engine hand over its prefixes, finish and stop."""
        engine = self.engines[address]
        engine.member = Member(
            engine.member.instance, "pool", engine.member.weight, True
        )
        self.spread_views(self.settings.view_lag_ms)
        if self.settings.policy == "ours":
            for notice in engine.planner.hand_over():
                self.send(engine, notice.address, notice.message)
        self.schedule(LEAVE_MS, self.stop, address)

    def replace(self, address: str, graceful: bool) -> None:
        """Replace an engine by one on a new VM with another address."""
        if graceful:
            self.leave(address)
        else:
            self.stop(address)
        self.add_engine()
        self.spread_views(self.settings.view_lag_ms)

    def flap(self, address: str, down_ms: int, up_ms: int) -> None:
        """Stop an engine and start it again, over and over."""
        self.stop(address)
        self.schedule(down_ms, self.start_again, address)
        self.schedule(down_ms + up_ms, self.flap, address, down_ms, up_ms)

    def lose_data_centre(self, data_centre: str) -> None:
        """Stop all engines of a data centre at once."""
        for address, engine in self.engines.items():
            if engine.member.instance.data_centre == data_centre:
                self.stop(address)

    def replace_routers(self) -> None:
        """Replace all routers by new ones that list the members in another order."""
        members = [e.member for e in self.engines.values() if e.alive]
        self.random.shuffle(members)
        self.routers = [Placement(members) for _ in self.routers]

    def start_again(self, address: str) -> None:
        """Start a stopped engine at the same address with an empty cache."""
        old = self.engines[address]
        planner = ReusePlanner(
            old.member,
            BOUND,
            self.clock,
            Random(self.random.getrandbits(32)),
            engine_can_release=self.settings.releases,
        )
        self.engines[address] = ModelEngine(
            old.member, planner, old.capacity_tokens, joined_ms=self.clock.now_ms()
        )
        self.held[address] = self.clock.now_ms() + HOLD_DOWN_MS
        self.wake(self.engines[address])
        self.spread_views(1000)
        self.schedule(HOLD_DOWN_MS + 1, self.spread_views, 1000)

    # Datagrams

    def send(self, sender: ModelEngine, address: str, message: object) -> None:
        """Send a datagram, which may be lost."""
        if self.random.random() >= self.settings.datagram_loss:
            self.schedule(
                1, self.deliver, sender.member.instance.address, address, message
            )

    def deliver(self, sender: str, address: str, message: MeanMessage) -> None:
        """Deliver a datagram."""
        engine = self.engines.get(address)
        if engine is None or not engine.alive:
            return
        for sent in engine.planner.receive(message, sender):
            self.send(engine, sent.address, sent.message)
        self.plan_ready(engine)
        self.fetch(engine)
        for chat in engine.planner.take_releases():
            if self.settings.releases:
                engine.cached_total -= engine.cache.pop(chat, 0)
        self.wake(engine)

    def wake(self, engine: ModelEngine) -> None:
        """Schedule the next tick of a sidecar."""
        now = self.clock.now_ms()
        due = max(now + 1, engine.planner.wake_ms)
        if engine.wake_ms <= now or due < engine.wake_ms:
            engine.wake_ms = due
            self.schedule(due - now, self.tick, engine, due)

    def tick(self, engine: ModelEngine, due_ms: int) -> None:
        """Tick a sidecar."""
        if not engine.alive or engine.wake_ms != due_ms:
            return
        for sent in engine.planner.tick():
            self.send(engine, sent.address, sent.message)
        self.wake(engine)

    # Chats and routers

    def new_chat(self) -> Chat:
        """Return a chat that has not been served."""
        self.next_chat += 1
        first = SCRIPT_TOKENS + self.random.randrange(500, 3000)
        return Chat(f"chat-{self.settings.seed}-{self.next_chat}", first)

    def arrive(self) -> None:
        """Let one chat send a request and schedule the next arrival."""
        self.schedule(self.random.expovariate(self.rate), self.arrive)
        if not self.idle_chats:
            return
        index = self.random.randrange(len(self.idle_chats))
        self.idle_chats[index], self.idle_chats[-1] = (
            self.idle_chats[-1],
            self.idle_chats[index],
        )
        self.submit(self.idle_chats.pop())

    @property
    def rate(self) -> float:
        """Requests a millisecond that keep the wanted number in flight."""
        return self.settings.engines * self.settings.in_flight / SERVICE_MS

    def surge(self, factor: float, until_ms: int, home: str = "") -> None:
        """Let one account send new chats, up to ``factor`` times the usual load.

        With ``home`` all of them have that engine as their home.
        """
        if self.clock.now_ms() < until_ms:
            delay = self.random.expovariate(self.rate * (factor - 1))
            self.schedule(delay, self.surge, factor, until_ms, home)
            chat = self.new_chat()
            while home and self.home_of(chat) != home:
                chat = self.new_chat()
            chat.once = True
            self.submit(chat)

    def home_of(self, chat: Chat) -> str:
        """Return the first in a chat's ranking at the first router."""
        return self.routers[0].rank(chat.name, 1, "region")[0].instance.address

    def submit(self, chat: Chat) -> None:
        """Send a request of a chat to a random router."""
        self.sequence += 1
        router = self.random.randrange(len(self.routers))
        ranked = self.routers[router].rank(chat.name, RANKED, "region")
        prompt = chat.tokens + self.random.randrange(100, 400)
        if chat.tokens == 0:
            prompt = chat.first_prompt
        request = Request(
            f"r{self.sequence}",
            chat.name,
            "route",
            prompt,
            OUTPUT_TOKENS,
            self.clock.now_ms() + 10_000,
            tuple(m.instance.address for m in ranked),
        )
        job = Job(chat, request, router, arrived_ms=self.clock.now_ms())
        self.jobs[request.id] = job
        self.attempt(job, self.first_target(job))

    def first_target(self, job: Job) -> str:
        """Return where the router's policy sends a request first."""
        policy = self.settings.policy
        members = self.routers[job.router].members
        if policy == "round robin":
            self.turns[job.router] += 1
            return members[self.turns[job.router] % len(members)].instance.address
        if policy == "least outstanding":
            loads = self.router_load[job.router]
            return min(
                (m.instance.address for m in members),
                key=lambda a: (loads.get(a, 0), self.random.random()),
            )
        return job.request.ranked[0]

    def attempt(self, job: Job, address: str) -> None:
        """Send an attempt to a sidecar."""
        self.counts.attempts += 1
        job.tried.append(address)
        self.schedule(1, self.offer, job, address)

    def offer(self, job: Job, address: str) -> None:
        """Let a sidecar decide about an attempt."""
        engine = self.engines[address]
        if not engine.alive or engine.member.draining:
            self.next_attempt(job, ())
        elif self.settings.policy == "ours":
            self.plan(engine, job)
        else:
            self.start(engine, job, None)

    def plan(self, engine: ModelEngine, job: Job) -> None:
        """Carry out the planner's decision."""
        if self.jobs.get(job.request.id) is not job:
            engine.planner.abandon(job.request.id)
            return
        if not engine.alive:
            engine.planner.abandon(job.request.id)
            self.next_attempt(job, ())
            return
        first = len(job.tried) == 1
        match engine.planner.plan(replace(job.request, first_attempt=first)):
            case Run() as run:
                self.start(engine, job, run)
            case Wait(until_ms, queries):
                for query in queries:
                    self.send(engine, query.address, query.message)
                delay = until_ms - self.clock.now_ms()
                self.schedule(delay, self.plan_again, engine, job)
            case Refuse(candidates):
                self.next_attempt(job, tuple(c.address for c in candidates))

    def plan_again(self, engine: ModelEngine, job: Job) -> None:
        """Plan a request whose waiting time has ended."""
        if job.request.id in engine.planner.waiting:
            self.plan(engine, job)

    def plan_ready(self, engine: ModelEngine) -> None:
        """Plan the requests that may now be decided."""
        for request_id in engine.planner.take_ready():
            if request_id in self.jobs:
                self.plan(engine, self.jobs[request_id])
            else:
                engine.planner.abandon(request_id)

    def next_attempt(self, job: Job, candidates: tuple[str, ...]) -> None:
        """Try the next candidate, or start over after a pause."""
        for address in (*candidates, *job.request.ranked):
            if address not in job.tried:
                self.schedule(1, self.attempt, job, address)
                return
        if len(job.tried) >= MAX_ATTEMPTS:
            self.counts.given_up += 1
            self.give_back(job)
            return
        job.tried.append("")
        members = self.routers[job.router].members
        target = members[self.random.randrange(len(members))].instance.address
        self.schedule(100, self.attempt, job, target)

    def give_back(self, job: Job) -> None:
        """End a request without an answer."""
        self.jobs.pop(job.request.id, None)
        self.finishing.pop(job.request.id, None)
        if not job.chat.once:
            self.idle_chats.append(job.chat)

    # Running requests

    def start(self, engine: ModelEngine, job: Job, run: Run | None) -> None:
        """Run a request on an engine and count what it found."""
        chat, request = job.chat, job.request
        address = engine.member.instance.address
        usable = min(chat.tokens, request.prompt_tokens)
        local = min(usable, engine.cache.get(chat.name, 0))
        imported = 0
        if run is not None and run.import_from:
            source = self.engines.get(run.import_from)
            if source is not None and source.alive:
                held = source.cache.get(chat.name, 0)
                imported = max(0, min(usable, held, run.import_tokens) - local)
        if run is not None:
            self.check_bound(engine, run)
        self.count_start(job, address, local, imported)
        work = run.work if run else self.baseline_work(request, local)
        self.set_work(engine, request.id, work)
        loads = self.router_load[job.router]
        loads[address] = loads.get(address, 0) + 1
        self.finishing[request.id] = id(engine)
        if imported:
            self.store(engine, chat.name, local + imported)
        missing = request.prompt_tokens - max(local + imported, SCRIPT_TOKENS)
        prefill_ms = MS_PER_S * max(0, missing) / PREFILL_TOKENS_PER_S
        if imported:
            prefill_ms += IMPORT_OVERHEAD_MS + MS_PER_S * imported / IMPORT_TOKENS_PER_S
        waited_ms = self.clock.now_ms() - job.arrived_ms
        self.counts.first_token_ms.append(round(waited_ms + prefill_ms))
        self.schedule(prefill_ms, self.first_token, engine, request)
        self.schedule(
            self.random.expovariate(1 / SERVICE_MS),
            self.finish,
            engine,
            job,
            max(local, min(SCRIPT_TOKENS, request.prompt_tokens)),
            imported,
        )

    def baseline_work(self, request: Request, local: int) -> float:
        """Return the work of a request under a policy without a planner."""
        missing = request.prompt_tokens - max(local, SCRIPT_TOKENS)
        return 0.04 * max(0, missing) + request.output_tokens

    def count_start(self, job: Job, address: str, local: int, imported: int) -> None:
        """Count reuse beyond the script prefix."""
        counts, chat = self.counts, job.chat
        counts.requests += 1
        counts.wait_ms += self.clock.now_ms() - job.arrived_ms
        counts.reusable += max(0, chat.tokens - SCRIPT_TOKENS)
        counts.found += max(0, local - SCRIPT_TOKENS)
        counts.imported += imported - max(0, min(imported, SCRIPT_TOKENS - local))
        last = self.last_place.get(chat.name)
        counts.moves += last is not None and last != address
        self.last_place[chat.name] = address

    def first_token(self, engine: ModelEngine, request: Request) -> None:
        """Note the end of the prefill.

        The exponential service time says nothing about the work that remains, so the
        output counts in full until the end.
        """
        if self.finishing.get(request.id) != id(engine):
            return
        self.set_work(engine, request.id, request.output_tokens)
        self.tell(engine, engine.planner.progress, request.id, 0)

    def set_work(self, engine: ModelEngine, request_id: str, work: float) -> None:
        """Change the true outstanding work of a request."""
        engine.tokens += work - engine.work.pop(request_id, 0.0)
        if work:
            engine.work[request_id] = work

    def tell(
        self, engine: ModelEngine, method: Callable[..., list | None], *args: object
    ) -> None:
        """Report to the sidecar what the engine did, with the engine's lag."""
        if self.settings.policy == "ours":
            self.schedule(self.settings.report_lag_ms, self.told, engine, method, args)

    def told(
        self, engine: ModelEngine, method: Callable[..., list | None], args: tuple
    ) -> None:
        """Let the sidecar act on a report of its engine."""
        if engine.alive:
            for sent in method(*args) or ():
                self.send(engine, sent.address, sent.message)
            self.plan_ready(engine)

    def finish(self, engine: ModelEngine, job: Job, cached: int, imported: int) -> None:
        """End a request and let its chat pause."""
        request = job.request
        if self.finishing.get(request.id) != id(engine):
            return
        del self.finishing[request.id], self.jobs[request.id]
        self.router_load[job.router][engine.member.instance.address] -= 1
        job.chat.tokens = request.prompt_tokens + OUTPUT_TOKENS
        self.store(engine, job.chat.name, job.chat.tokens)
        self.set_work(engine, request.id, 0.0)
        self.tell(
            engine,
            engine.planner.finish,
            request.id,
            cached,
            imported,
            job.chat.tokens,
        )
        if job.chat.once:
            return
        if job.chat.tokens >= MAX_CHAT_TOKENS:
            self.last_place.pop(job.chat.name, None)
            job.chat = self.new_chat()
        self.idle_chats.append(job.chat)

    def fetch(self, engine: ModelEngine) -> None:
        """Import a prefix in the background."""
        while (fetch := engine.planner.take_fetch()) is not None:
            source = self.engines.get(fetch.holder)
            held = 0
            if source is not None and source.alive:
                held = source.cache.get(fetch.chat, 0)
            cached = engine.cache.get(fetch.chat, 0)
            if held > cached:
                self.store(engine, fetch.chat, held)
                self.counts.fetched += held - cached
            for sent in engine.planner.finish_fetch(fetch, max(held, cached)):
                self.send(engine, sent.address, sent.message)

    def store(self, engine: ModelEngine, chat: str, tokens: int) -> None:
        """Cache a prefix, evicting the least recently used ones."""
        engine.cached_total += tokens - engine.cache.pop(chat, 0)
        engine.cache[chat] = tokens
        while engine.cached_total > engine.capacity_tokens and len(engine.cache) > 1:
            evicted, size = engine.cache.popitem(last=False)
            engine.cached_total -= size
            if self.random.random() >= CACHE_EVENT_LOSS:
                event = CacheEvent(CacheEventKind.REMOVED, self.clock.now_ms(), evicted)
                delay = self.random.uniform(0, CACHE_EVENT_LAG_MS)
                self.schedule(delay, engine.planner.apply, event)

    # Checks

    def true_mean(self, accounted: bool = False) -> float:
        """Return the pool's mean load at this instant.

        ``accounted`` is the work that sidecars have not yet seen end, otherwise the
        work that engines still have to do. Leaving engines do not count, and new
        ones do once all member lists name them.
        """
        latest = self.clock.now_ms() - self.settings.view_lag_ms
        members = [
            e
            for e in self.engines.values()
            if e.alive
            and not e.member.draining
            and (e.joined_ms <= latest or e.joined_ms == 0)
        ]
        weight = sum(e.member.weight for e in members)
        total = sum(e.planner.tokens if accounted else e.tokens for e in members)
        return total / weight

    def sample(self) -> None:
        """Record the true mean and the skew."""
        self.schedule(SAMPLE_MS, self.sample)
        now = self.clock.now_ms()
        self.means.append((now, self.true_mean(accounted=True)))
        while self.means[0][0] < now - STALE_AFTER_MS:
            self.means.popleft()
        mean = self.true_mean()
        if now % SKEW_SAMPLE_MS == 0 and mean > 0 and self.measuring:
            skew = max(e.load for e in self.engines.values() if e.alive) / mean
            self.counts.worst_skew = max(self.counts.worst_skew, skew)
            self.counts.skew_sum += skew
            self.counts.skew_samples += 1

    def check_bound(self, engine: ModelEngine, run: Run) -> None:
        """Check an admission against docs/decisions/load-bound.md."""
        counts, planner, weight = self.counts, engine.planner, engine.member.weight
        counts.admissions += 1
        load, usual = planner.load, planner.bound.average_work
        estimate = planner.mean.estimate()
        age_ms = estimate.age_ms if estimate else 0
        counts.age_sum += age_ms
        counts.worst_age = max(counts.worst_age, age_ms)
        counts.stale += age_ms > STALE_AFTER_MS
        if load <= max(run.work, FLOOR_REQUESTS * usual) / weight:
            return
        instant = self.true_mean(accounted=True)
        counts.worst_admission = max(counts.worst_admission, load / instant)
        counts.above_instant += load > BOUND * instant + TOLERANCE
        now = self.clock.now_ms()
        recent = [m for at, m in self.means if at >= now - WINDOW_MS] + [instant]
        counts.above_average += load > BOUND * sum(recent) / len(recent) + TOLERANCE
        since = now - min(max(WINDOW_MS, age_ms), STALE_AFTER_MS)
        highest = max([instant] + [m for at, m in self.means if at >= since])
        limit = max(BOUND * highest, highest + usual / weight)
        if age_ms > STALE_AFTER_MS:
            limit = estimate.own_load
        counts.violations += load > limit + TOLERANCE

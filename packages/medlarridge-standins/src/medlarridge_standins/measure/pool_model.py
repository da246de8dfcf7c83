"""Discrete-event simulation of a pool of engines, driving the real decision classes.

Time is a ``ManualClock`` that advances from event to event. Each simulated engine has a
prefix cache with LRU eviction and a limit in tokens, publishes its cache events late
and loses some of them, and serves requests with exponentially distributed durations.
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

SHARED_PREFIX_TOKENS = 800
MAX_CHAT_TOKENS = 8000
OUTPUT_TOKENS = 250
SERVICE_MS = 5000
PREFILL_TOKENS_PER_S = 10_000
IMPORT_TOKENS_PER_S = 100_000
IMPORT_OVERHEAD_MS = 10
SAMPLE_MS = 50
SKEW_SAMPLE_MS = 100
RANKED_COUNT = 4
MAX_ATTEMPTS = 8
DATA_CENTRE_COUNT = 3
HOLD_DOWN_MS = 30_000
DRAIN_MS = 30_000
CACHE_EVENT_LAG_MS = 2000
CACHE_EVENT_LOSS = 0.05
LOAD_BOUND = 1.25
LOAD_TOLERANCE = 1e-6


@dataclass
class Chat:
    """A chat; ``tokens`` is its length after the last response."""

    name: str
    first_prompt_tokens: int
    tokens: int = 0
    single_request: bool = False


@dataclass
class Counts:
    """Counters of a run, reset at the end of the warm-up."""

    requests: int = 0
    attempts: int = 0
    reusable_tokens: int = 0
    found_tokens: int = 0
    imported_tokens: int = 0
    admissions: int = 0
    violations: int = 0
    above_current_mean: int = 0
    above_window_mean: int = 0
    worst_admission_load: float = 0.0
    worst_skew: float = 0.0
    skew_sum: float = 0.0
    skew_samples: int = 0
    wait_ms: int = 0
    stale_admissions: int = 0
    age_sum_ms: int = 0
    worst_age_ms: int = 0
    moves: int = 0
    fetched_tokens: int = 0
    given_up: int = 0
    first_token_ms: list[int] = field(default_factory=list)

    @property
    def first_token_p95_ms(self) -> int:
        """The 95th percentile of the time from arrival to the first token."""
        ordered = sorted(self.first_token_ms)
        return ordered[len(ordered) * 95 // 100] if ordered else 0

    @property
    def reuse_percent(self) -> float:
        """Share of the reusable tokens that were found or imported, in percent."""
        return (
            100
            * (self.found_tokens + self.imported_tokens)
            / max(1, self.reusable_tokens)
        )


@dataclass
class ModelEngine:
    """A simulated engine and its sidecar."""

    member: Member
    planner: ReusePlanner
    capacity_tokens: int
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    alive: bool = True
    joined_ms: int = 0
    wake_ms: int = -1
    outstanding_tokens: float = 0.0
    work_by_request: dict[str, float] = field(default_factory=dict)

    @property
    def load(self) -> float:
        """Outstanding work divided by the weight."""
        return self.outstanding_tokens / self.member.weight


@dataclass
class PendingRequest:
    """A request that has not ended, and the addresses tried so far."""

    chat: Chat
    request: Request
    router: int
    tried_addresses: list[str] = field(default_factory=list)
    arrived_ms: int = 0


@dataclass
class PoolModelSettings:
    """Parameters of a run."""

    seed: int = 7
    engines: int = 30
    in_flight: float = 8.0
    """Mean number of usual requests in flight per engine."""
    policy: str = "ours"
    routers: int = 8
    chats_per_engine: int = 100
    cache_share: float = 1.3
    """Cache capacity of an engine relative to 5,000 tokens for each of its chats."""
    duration_s: int = 240
    warm_up_s: int = 120
    datagram_loss: float = 0.01
    weights: tuple[float, ...] = (1.0,)
    member_list_lag_ms: int = 5000
    report_lag_ms: int = 0
    engine_can_release: bool = False


class PoolModel:
    """Simulation of a pool, its routers and its chats."""

    def __init__(self, settings: PoolModelSettings) -> None:
        self.settings = settings
        self.random = Random(settings.seed)
        self.clock = ManualClock()
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.sequence = 0
        self.engines: dict[str, ModelEngine] = {}
        self.held_down_until: dict[str, int] = {}
        self.counts = Counts()
        self.routers = [Placement() for _ in range(settings.routers)]
        self.router_load: list[dict[str, int]] = [{} for _ in self.routers]
        self.round_robin_turns = [self.random.randrange(1000) for _ in self.routers]
        self.pending_requests: dict[str, PendingRequest] = {}
        self.serving_engine_ids: dict[str, int] = {}
        self.last_addresses: dict[str, str] = {}
        self.recent_means: deque[tuple[int, float]] = deque()
        self.engine_count = 0
        self.member_list_version = 0
        self.applied_versions: dict[Callable[..., None], int] = {}
        self.chat_count = 0
        for _ in range(settings.engines):
            self.add_engine()
        self.distribute_member_list(0)
        count = settings.chats_per_engine * settings.engines
        self.idle_chats = [self.new_chat() for _ in range(count)]
        for chat in self.idle_chats:
            turns = self.random.randrange(12)
            chat.tokens = turns and min(
                MAX_CHAT_TOKENS, chat.first_prompt_tokens + turns * 500
            )

    # Events

    def schedule(
        self, delay_ms: float, action: Callable[..., None], *args: object
    ) -> None:
        """Schedule an action."""
        self.sequence += 1
        due_ms = self.clock.now_ms() + max(0, round(delay_ms))
        heapq.heappush(self.events, (due_ms, self.sequence, action, args))

    def run(self) -> Counts:
        """Run to the end and return the counts after the warm-up."""
        end_ms = self.settings.duration_s * MS_PER_S
        self.schedule(0, self.arrive)
        self.schedule(0, self.sample)
        self.schedule(self.settings.warm_up_s * MS_PER_S, self.reset_counts)
        while self.events and self.events[0][0] <= end_ms:
            due_ms, _, action, args = heapq.heappop(self.events)
            self.clock.advance(due_ms - self.clock.now_ms())
            action(*args)
        return self.counts

    def reset_counts(self) -> None:
        """End the warm-up by starting new counters."""
        self.counts = Counts()

    @property
    def measuring(self) -> bool:
        """Whether the warm-up is over."""
        return self.clock.now_ms() >= self.settings.warm_up_s * MS_PER_S

    # Engines

    def add_engine(self) -> ModelEngine:
        """Start an engine on a new VM."""
        number = self.engine_count
        self.engine_count += 1
        weights = self.settings.weights
        member = Member(
            Instance(
                f"10.0.{number // 250}.{number % 250}:7000",
                number + 1,
                f"dc-{number % DATA_CENTRE_COUNT}",
                "region",
                Role.SIDECAR,
            ),
            "pool",
            weights[number % len(weights)],
        )
        capacity_tokens = round(
            self.settings.cache_share
            * self.settings.chats_per_engine
            * 5000
            * member.weight
        )
        planner = ReusePlanner(
            member,
            LOAD_BOUND,
            self.clock,
            Random(self.settings.seed * 1000 + number),
            engine_can_release=self.settings.engine_can_release,
        )
        engine = ModelEngine(
            member, planner, capacity_tokens, joined_ms=self.clock.now_ms()
        )
        self.engines[member.instance.address] = engine
        self.schedule_tick(engine)
        return engine

    def distribute_member_list(self, lag_ms: int) -> None:
        """Deliver the member list to all processes, each after a random delay."""
        members = [e.member for e in self.engines.values() if e.alive]
        held_down = {
            a
            for a, until in self.held_down_until.items()
            if until > self.clock.now_ms()
        }
        self.member_list_version += 1
        updates = [router.update for router in self.routers]
        updates += [e.planner.set_members for e in self.engines.values() if e.alive]
        for update in updates:
            delay_ms = self.random.uniform(0, lag_ms)
            self.schedule(
                delay_ms,
                self.update_member_list,
                update,
                self.member_list_version,
                members,
                held_down,
            )

    def update_member_list(
        self,
        update: Callable[..., None],
        version: int,
        members: list[Member],
        held_down: set[str],
    ) -> None:
        """Update the members of a process unless it already has a newer list."""
        if version > self.applied_versions.get(update, 0):
            self.applied_versions[update] = version
            update(members, held_down)

    def stop(self, address: str) -> None:
        """Stop an engine immediately; its running requests are lost."""
        engine = self.engines[address]
        engine.alive = False
        for request_id, pending in list(self.pending_requests.items()):
            if self.serving_engine_ids.get(request_id) == id(engine):
                self.end_without_response(pending)
        engine.outstanding_tokens = 0.0
        engine.work_by_request.clear()
        # Other processes notice after the suspicion time of the membership protocol.
        self.schedule(
            self.settings.member_list_lag_ms, self.distribute_member_list, 1000
        )

    def drain(self, address: str) -> None:
        """Drain an engine: hand over its prefixes, finish its requests and stop it."""
        engine = self.engines[address]
        engine.member = Member(
            engine.member.instance, "pool", engine.member.weight, True
        )
        self.distribute_member_list(self.settings.member_list_lag_ms)
        if self.settings.policy == "ours":
            for notice in engine.planner.hand_over():
                self.send(engine, notice.address, notice.message)
        self.schedule(DRAIN_MS, self.stop, address)

    def replace(self, address: str, graceful: bool) -> None:
        """Replace an engine by one on a new VM with a different address."""
        if graceful:
            self.drain(address)
        else:
            self.stop(address)
        self.add_engine()
        self.distribute_member_list(self.settings.member_list_lag_ms)

    def flap(self, address: str, down_ms: int, up_ms: int) -> None:
        """Stop and restart an engine repeatedly."""
        self.stop(address)
        self.schedule(down_ms, self.restart, address)
        self.schedule(down_ms + up_ms, self.flap, address, down_ms, up_ms)

    def lose_data_centre(self, data_centre: str) -> None:
        """Stop all engines of a data centre at the same time."""
        for address, engine in self.engines.items():
            if engine.member.instance.data_centre == data_centre:
                self.stop(address)

    def replace_routers(self) -> None:
        """Replace all routers by new ones whose member lists have another order."""
        members = [e.member for e in self.engines.values() if e.alive]
        self.random.shuffle(members)
        self.routers = [Placement(members) for _ in self.routers]

    def restart(self, address: str) -> None:
        """Restart a stopped engine at the same address with an empty cache."""
        stopped = self.engines[address]
        planner = ReusePlanner(
            stopped.member,
            LOAD_BOUND,
            self.clock,
            Random(self.random.getrandbits(32)),
            engine_can_release=self.settings.engine_can_release,
        )
        self.engines[address] = ModelEngine(
            stopped.member,
            planner,
            stopped.capacity_tokens,
            joined_ms=self.clock.now_ms(),
        )
        self.held_down_until[address] = self.clock.now_ms() + HOLD_DOWN_MS
        self.schedule_tick(self.engines[address])
        self.distribute_member_list(1000)
        self.schedule(HOLD_DOWN_MS + 1, self.distribute_member_list, 1000)

    # Datagrams

    def send(self, sender: ModelEngine, address: str, message: object) -> None:
        """Send a datagram, which may be lost."""
        if self.random.random() >= self.settings.datagram_loss:
            self.schedule(
                1, self.deliver, sender.member.instance.address, address, message
            )

    def deliver(self, sender: str, address: str, message: MeanMessage) -> None:
        """Deliver a datagram to a sidecar and act on what it changes."""
        engine = self.engines.get(address)
        if engine is None or not engine.alive:
            return
        for sent in engine.planner.receive(message, sender):
            self.send(engine, sent.address, sent.message)
        self.plan_ready(engine)
        self.run_fetches(engine)
        for chat in engine.planner.take_releases():
            if self.settings.engine_can_release:
                engine.cached_tokens -= engine.cache.pop(chat, 0)
        self.schedule_tick(engine)

    def schedule_tick(self, engine: ModelEngine) -> None:
        """Schedule the next tick of a sidecar."""
        now_ms = self.clock.now_ms()
        due_ms = max(now_ms + 1, engine.planner.wake_ms)
        if engine.wake_ms <= now_ms or due_ms < engine.wake_ms:
            engine.wake_ms = due_ms
            self.schedule(due_ms - now_ms, self.tick, engine, due_ms)

    def tick(self, engine: ModelEngine, due_ms: int) -> None:
        """Run the tick of a sidecar unless another one was scheduled since."""
        if not engine.alive or engine.wake_ms != due_ms:
            return
        for sent in engine.planner.tick():
            self.send(engine, sent.address, sent.message)
        self.schedule_tick(engine)

    # Chats and routers

    def new_chat(self) -> Chat:
        """Create a chat without any previous request."""
        self.chat_count += 1
        first_prompt_tokens = SHARED_PREFIX_TOKENS + self.random.randrange(500, 3000)
        return Chat(f"chat-{self.settings.seed}-{self.chat_count}", first_prompt_tokens)

    def arrive(self) -> None:
        """Submit a request of a random idle chat and schedule the next arrival."""
        self.schedule(self.random.expovariate(self.arrivals_per_ms), self.arrive)
        if not self.idle_chats:
            return
        index = self.random.randrange(len(self.idle_chats))
        self.idle_chats[index], self.idle_chats[-1] = (
            self.idle_chats[-1],
            self.idle_chats[index],
        )
        self.submit(self.idle_chats.pop())

    @property
    def arrivals_per_ms(self) -> float:
        """Requests per millisecond that keep the configured number in flight."""
        return self.settings.engines * self.settings.in_flight / SERVICE_MS

    def surge(self, factor: float, until_ms: int, home: str = "") -> None:
        """Submit requests of new chats until the load is ``factor`` times the usual.

        The surge ends at ``until_ms``. If ``home`` is given, all these chats have that
        engine as their home.
        """
        if self.clock.now_ms() < until_ms:
            delay_ms = self.random.expovariate(self.arrivals_per_ms * (factor - 1))
            self.schedule(delay_ms, self.surge, factor, until_ms, home)
            chat = self.new_chat()
            while home and self.home_of(chat) != home:
                chat = self.new_chat()
            chat.single_request = True
            self.submit(chat)

    def home_of(self, chat: Chat) -> str:
        """Return the address that the first router ranks first for a chat."""
        return self.routers[0].rank(chat.name, 1, "region")[0].instance.address

    def submit(self, chat: Chat) -> None:
        """Submit a request of a chat to a random router."""
        self.sequence += 1
        router = self.random.randrange(len(self.routers))
        ranked = self.routers[router].rank(chat.name, RANKED_COUNT, "region")
        prompt_tokens = chat.tokens + self.random.randrange(100, 400)
        if chat.tokens == 0:
            prompt_tokens = chat.first_prompt_tokens
        request = Request(
            f"r{self.sequence}",
            chat.name,
            "route",
            prompt_tokens,
            OUTPUT_TOKENS,
            self.clock.now_ms() + 10_000,
            tuple(m.instance.address for m in ranked),
        )
        pending = PendingRequest(chat, request, router, arrived_ms=self.clock.now_ms())
        self.pending_requests[request.id] = pending
        self.send_attempt(pending, self.first_target(pending))

    def first_target(self, pending: PendingRequest) -> str:
        """Return the address that the policy selects for the first attempt."""
        policy = self.settings.policy
        members = self.routers[pending.router].members
        if policy == "round robin":
            self.round_robin_turns[pending.router] += 1
            return members[
                self.round_robin_turns[pending.router] % len(members)
            ].instance.address
        if policy == "least outstanding":
            loads = self.router_load[pending.router]
            return min(
                (m.instance.address for m in members),
                key=lambda a: (loads.get(a, 0), self.random.random()),
            )
        return pending.request.ranked[0]

    def send_attempt(self, pending: PendingRequest, address: str) -> None:
        """Send an attempt to a sidecar."""
        self.counts.attempts += 1
        pending.tried_addresses.append(address)
        self.schedule(1, self.receive_attempt, pending, address)

    def receive_attempt(self, pending: PendingRequest, address: str) -> None:
        """Let a sidecar run, redirect or refuse an attempt."""
        engine = self.engines[address]
        if not engine.alive or engine.member.draining:
            self.next_attempt(pending, ())
        elif self.settings.policy == "ours":
            self.plan_request(engine, pending)
        else:
            self.start_request(engine, pending, None)

    def plan_request(self, engine: ModelEngine, pending: PendingRequest) -> None:
        """Ask the planner of a sidecar for a decision and carry it out."""
        if self.pending_requests.get(pending.request.id) is not pending:
            engine.planner.abandon(pending.request.id)
            return
        if not engine.alive:
            engine.planner.abandon(pending.request.id)
            self.next_attempt(pending, ())
            return
        is_first = len(pending.tried_addresses) == 1
        match engine.planner.plan(replace(pending.request, first_attempt=is_first)):
            case Run() as run:
                self.start_request(engine, pending, run)
            case Wait(until_ms, queries):
                for query in queries:
                    self.send(engine, query.address, query.message)
                delay_ms = until_ms - self.clock.now_ms()
                self.schedule(delay_ms, self.resume_waiting, engine, pending)
            case Refuse(candidates):
                self.next_attempt(pending, tuple(c.address for c in candidates))

    def resume_waiting(self, engine: ModelEngine, pending: PendingRequest) -> None:
        """Plan a request again when its waiting time has ended."""
        if pending.request.id in engine.planner.waiting:
            self.plan_request(engine, pending)

    def plan_ready(self, engine: ModelEngine) -> None:
        """Plan the waiting requests that the planner can now decide."""
        for request_id in engine.planner.take_ready():
            if request_id in self.pending_requests:
                self.plan_request(engine, self.pending_requests[request_id])
            else:
                engine.planner.abandon(request_id)

    def next_attempt(
        self, pending: PendingRequest, candidates: tuple[str, ...]
    ) -> None:
        """Try the next candidate, or a random member after a pause."""
        for address in (*candidates, *pending.request.ranked):
            if address not in pending.tried_addresses:
                self.schedule(1, self.send_attempt, pending, address)
                return
        if len(pending.tried_addresses) >= MAX_ATTEMPTS:
            self.counts.given_up += 1
            self.end_without_response(pending)
            return
        pending.tried_addresses.append("")
        members = self.routers[pending.router].members
        target = members[self.random.randrange(len(members))].instance.address
        self.schedule(100, self.send_attempt, pending, target)

    def end_without_response(self, pending: PendingRequest) -> None:
        """End a request without a response and return its chat to the idle ones."""
        self.pending_requests.pop(pending.request.id, None)
        self.serving_engine_ids.pop(pending.request.id, None)
        if not pending.chat.single_request:
            self.idle_chats.append(pending.chat)

    # Running requests

    def start_request(
        self, engine: ModelEngine, pending: PendingRequest, run: Run | None
    ) -> None:
        """Run a request on an engine and count the prefix tokens that it reuses."""
        chat, request = pending.chat, pending.request
        address = engine.member.instance.address
        reusable_tokens = min(chat.tokens, request.prompt_tokens)
        local_tokens = min(reusable_tokens, engine.cache.get(chat.name, 0))
        imported_tokens = 0
        if run is not None and run.import_from:
            source = self.engines.get(run.import_from)
            if source is not None and source.alive:
                source_tokens = source.cache.get(chat.name, 0)
                imported_tokens = max(
                    0,
                    min(reusable_tokens, source_tokens, run.import_tokens)
                    - local_tokens,
                )
        if run is not None:
            self.check_bound(engine, run)
        self.count_reuse(pending, address, local_tokens, imported_tokens)
        work = run.work if run else self.baseline_work(request, local_tokens)
        self.set_work(engine, request.id, work)
        loads = self.router_load[pending.router]
        loads[address] = loads.get(address, 0) + 1
        self.serving_engine_ids[request.id] = id(engine)
        if imported_tokens:
            self.cache_prefix(engine, chat.name, local_tokens + imported_tokens)
        prefill_tokens = request.prompt_tokens - max(
            local_tokens + imported_tokens, SHARED_PREFIX_TOKENS
        )
        prefill_ms = MS_PER_S * max(0, prefill_tokens) / PREFILL_TOKENS_PER_S
        if imported_tokens:
            prefill_ms += (
                IMPORT_OVERHEAD_MS + MS_PER_S * imported_tokens / IMPORT_TOKENS_PER_S
            )
        waited_ms = self.clock.now_ms() - pending.arrived_ms
        self.counts.first_token_ms.append(round(waited_ms + prefill_ms))
        self.schedule(prefill_ms, self.finish_prefill, engine, request)
        self.schedule(
            self.random.expovariate(1 / SERVICE_MS),
            self.finish_request,
            engine,
            pending,
            max(local_tokens, min(SHARED_PREFIX_TOKENS, request.prompt_tokens)),
            imported_tokens,
        )

    def baseline_work(self, request: Request, local_tokens: int) -> float:
        """Return the work of a request under a baseline policy, without a planner."""
        prefill_tokens = request.prompt_tokens - max(local_tokens, SHARED_PREFIX_TOKENS)
        return 0.04 * max(0, prefill_tokens) + request.output_tokens

    def count_reuse(
        self,
        pending: PendingRequest,
        address: str,
        local_tokens: int,
        imported_tokens: int,
    ) -> None:
        """Count the reuse of a request beyond the prefix shared by all chats."""
        counts, chat = self.counts, pending.chat
        counts.requests += 1
        counts.wait_ms += self.clock.now_ms() - pending.arrived_ms
        counts.reusable_tokens += max(0, chat.tokens - SHARED_PREFIX_TOKENS)
        counts.found_tokens += max(0, local_tokens - SHARED_PREFIX_TOKENS)
        counts.imported_tokens += imported_tokens - max(
            0, min(imported_tokens, SHARED_PREFIX_TOKENS - local_tokens)
        )
        last = self.last_addresses.get(chat.name)
        counts.moves += last is not None and last != address
        self.last_addresses[chat.name] = address

    def finish_prefill(self, engine: ModelEngine, request: Request) -> None:
        """Remove the prefill from the work of a request.

        With exponential service times the remaining time does not depend on the elapsed
        time, so the output counts in full until the request ends.
        """
        if self.serving_engine_ids.get(request.id) != id(engine):
            return
        self.set_work(engine, request.id, request.output_tokens)
        self.report_to_planner(engine, engine.planner.progress, request.id, 0)

    def set_work(self, engine: ModelEngine, request_id: str, work: float) -> None:
        """Set the true outstanding work of a request."""
        engine.outstanding_tokens += work - engine.work_by_request.pop(request_id, 0.0)
        if work:
            engine.work_by_request[request_id] = work

    def report_to_planner(
        self, engine: ModelEngine, method: Callable[..., list | None], *args: object
    ) -> None:
        """Report an event of the engine to its sidecar after the report lag."""
        if self.settings.policy == "ours":
            self.schedule(
                self.settings.report_lag_ms, self.apply_report, engine, method, args
            )

    def apply_report(
        self, engine: ModelEngine, method: Callable[..., list | None], args: tuple
    ) -> None:
        """Pass a report of the engine to the planner of its sidecar."""
        if engine.alive:
            for sent in method(*args) or ():
                self.send(engine, sent.address, sent.message)
            self.plan_ready(engine)

    def finish_request(
        self,
        engine: ModelEngine,
        pending: PendingRequest,
        cached_tokens: int,
        imported_tokens: int,
    ) -> None:
        """End a request and return its chat to the idle ones."""
        request = pending.request
        if self.serving_engine_ids.get(request.id) != id(engine):
            return
        del self.serving_engine_ids[request.id], self.pending_requests[request.id]
        self.router_load[pending.router][engine.member.instance.address] -= 1
        pending.chat.tokens = request.prompt_tokens + OUTPUT_TOKENS
        self.cache_prefix(engine, pending.chat.name, pending.chat.tokens)
        self.set_work(engine, request.id, 0.0)
        self.report_to_planner(
            engine,
            engine.planner.finish,
            request.id,
            cached_tokens,
            imported_tokens,
            pending.chat.tokens,
        )
        if pending.chat.single_request:
            return
        if pending.chat.tokens >= MAX_CHAT_TOKENS:
            self.last_addresses.pop(pending.chat.name, None)
            pending.chat = self.new_chat()
        self.idle_chats.append(pending.chat)

    def run_fetches(self, engine: ModelEngine) -> None:
        """Import the prefixes that the planner fetches in the background."""
        while (fetch := engine.planner.take_fetch()) is not None:
            source = self.engines.get(fetch.holder)
            source_tokens = 0
            if source is not None and source.alive:
                source_tokens = source.cache.get(fetch.chat, 0)
            own_tokens = engine.cache.get(fetch.chat, 0)
            if source_tokens > own_tokens:
                self.cache_prefix(engine, fetch.chat, source_tokens)
                self.counts.fetched_tokens += source_tokens - own_tokens
            for sent in engine.planner.finish_fetch(
                fetch, max(source_tokens, own_tokens)
            ):
                self.send(engine, sent.address, sent.message)

    def cache_prefix(self, engine: ModelEngine, chat: str, tokens: int) -> None:
        """Cache a prefix, and evict the least recently used ones above the limit."""
        engine.cached_tokens += tokens - engine.cache.pop(chat, 0)
        engine.cache[chat] = tokens
        while engine.cached_tokens > engine.capacity_tokens and len(engine.cache) > 1:
            evicted_chat, evicted_tokens = engine.cache.popitem(last=False)
            engine.cached_tokens -= evicted_tokens
            if self.random.random() >= CACHE_EVENT_LOSS:
                event = CacheEvent(
                    CacheEventKind.REMOVED, self.clock.now_ms(), evicted_chat
                )
                delay_ms = self.random.uniform(0, CACHE_EVENT_LAG_MS)
                self.schedule(delay_ms, engine.planner.apply, event)

    # Checks

    def true_mean(self, accounted: bool = False) -> float:
        """Return the pool's mean load at this instant.

        With ``accounted``, load is the work that sidecars have not yet seen end;
        otherwise it is the work that engines still have to do. Draining engines do not
        count, and new engines count once all member lists contain them.
        """
        latest_join_ms = self.clock.now_ms() - self.settings.member_list_lag_ms
        members = [
            e
            for e in self.engines.values()
            if e.alive
            and not e.member.draining
            and (e.joined_ms <= latest_join_ms or e.joined_ms == 0)
        ]
        weight = sum(e.member.weight for e in members)
        total = sum(
            e.planner.tokens if accounted else e.outstanding_tokens for e in members
        )
        return total / weight

    def sample(self) -> None:
        """Record the true mean load and the skew."""
        self.schedule(SAMPLE_MS, self.sample)
        now_ms = self.clock.now_ms()
        self.recent_means.append((now_ms, self.true_mean(accounted=True)))
        while self.recent_means[0][0] < now_ms - STALE_AFTER_MS:
            self.recent_means.popleft()
        mean = self.true_mean()
        if now_ms % SKEW_SAMPLE_MS == 0 and mean > 0 and self.measuring:
            skew = max(e.load for e in self.engines.values() if e.alive) / mean
            self.counts.worst_skew = max(self.counts.worst_skew, skew)
            self.counts.skew_sum += skew
            self.counts.skew_samples += 1

    def check_bound(self, engine: ModelEngine, run: Run) -> None:
        """Check an admission against the bound in docs/decisions/load-bound.md.

        Uses the true loads of the engines, independently of the planner.
        """
        counts, planner, weight = self.counts, engine.planner, engine.member.weight
        counts.admissions += 1
        load, average_work = planner.load, planner.bound.average_work
        estimate = planner.mean.estimate()
        age_ms = estimate.age_ms if estimate else 0
        counts.age_sum_ms += age_ms
        counts.worst_age_ms = max(counts.worst_age_ms, age_ms)
        counts.stale_admissions += age_ms > STALE_AFTER_MS
        if load <= max(run.work, FLOOR_REQUESTS * average_work) / weight:
            return
        current_mean = self.true_mean(accounted=True)
        counts.worst_admission_load = max(
            counts.worst_admission_load, load / current_mean
        )
        counts.above_current_mean += load > LOAD_BOUND * current_mean + LOAD_TOLERANCE
        now_ms = self.clock.now_ms()
        window_means = [
            m for at_ms, m in self.recent_means if at_ms >= now_ms - WINDOW_MS
        ] + [current_mean]
        counts.above_window_mean += (
            load > LOAD_BOUND * sum(window_means) / len(window_means) + LOAD_TOLERANCE
        )
        since_ms = now_ms - min(max(WINDOW_MS, age_ms), STALE_AFTER_MS)
        highest_mean = max(
            [current_mean] + [m for at_ms, m in self.recent_means if at_ms >= since_ms]
        )
        max_load = max(LOAD_BOUND * highest_mean, highest_mean + average_work / weight)
        if age_ms > STALE_AFTER_MS:
            max_load = estimate.own_load
        counts.violations += load > max_load + LOAD_TOLERANCE

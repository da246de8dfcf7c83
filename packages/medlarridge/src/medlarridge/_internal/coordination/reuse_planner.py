"""Admission of requests to one engine, with reuse of cached prompt prefixes.

A sidecar creates one ``ReusePlanner``. It combines the prefix index, the load bound
and this sidecar's share in the computation of the pool mean.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from ..clock import Clock
from ..identity import Member
from ..protocol.messages import Candidate
from .load_bound import LoadBound, OverBound
from .placement import Placement
from .pool_mean import MeanMessage, Outgoing, PoolMean
from .prefix_index import CacheEvent, PrefixEntry, PrefixIndex
from .reuse_costs import ReuseCosts
from .reuse_messages import (
    HandOver,
    LoadAnswer,
    LoadQuery,
    PrefixAnswer,
    PrefixQuery,
    Release,
    ReuseMessage,
    ReuseOutgoing,
    Served,
)

MAX_WAIT_MS = 600
SOLE_MEMBER_AFTER_MS = 10_000
"""A process that has just started lists no other member until it has joined the fleet,
so the sole member of a pool is exempt from the load bound only after this delay."""
LAST_RESORT_WAIT_MS = 600
LAST_RESORT_CHECK_MS = 100
"""A burst on an idle pool exceeds the bound on every engine until the pool mean has
been measured again, which takes one or two rounds."""
FIRST_TOKEN_TARGET_MS = 760
# Part of the first-token target that is reserved for the response to reach the client.
CLIENT_LATENCY_RESERVE_MS = 60
PREFIX_QUERY_PEERS = 2
QUERY_TIMEOUT_MS = 20
# An import, or a query to peers, must save more time than its own overhead.
MIN_IMPORT_SAVING_MS = 20
MAX_CANDIDATES = 3
# Capacity is often available well before the expected time. Moving a chat leaves a
# copy on the previous engine, which cannot drop it.
EARLY_CAPACITY_FACTOR = 3
LOAD_QUERY_PEERS = 3
FULL_LOAD_PERMILLE = 1000
MAX_FETCHES = 256
MIN_REMAINING_SHARE = 0.1
SERVED_RETRY_MS = 500
MAX_SERVED_SENDS = 3
COMPLETION_WINDOW_MS = 10_000


@dataclass(frozen=True)
class Request:
    """An attempt, as far as the planner needs it.

    ``latest_start_ms`` is on the planner's clock. ``ranked`` holds addresses in the
    order of the chat's ranking; the first one is its home. A home redirects only the
    first attempt to the holder of the prefix, so redirects cannot loop.
    ``last_resort`` is set if other engines have already refused the request, so that
    another refusal would most likely end it.
    """

    id: str
    chat: str
    route: str
    prompt_tokens: int
    output_tokens: int
    latest_start_ms: int
    ranked: tuple[str, ...] = ()
    import_from: str = ""
    first_attempt: bool = True
    last_resort: bool = False


@dataclass(frozen=True)
class Run:
    """Run the request here; its work is reserved.

    If ``import_from`` is set, the caller first imports the blocks between
    ``cached_tokens`` and ``import_tokens`` from that engine. ``work`` is the amount
    that the request adds to the load.
    """

    cached_tokens: int
    work: float
    import_from: str = ""
    import_tokens: int = 0


@dataclass(frozen=True)
class Wait:
    """Send ``queries``; plan the request again at ``until_ms`` or when it is ready."""

    until_ms: int
    queries: tuple[ReuseOutgoing, ...] = ()


@dataclass(frozen=True)
class Refuse:
    """Refuse the request; candidates are in order of preference.

    ``moved`` means that this engine may have capacity, but the first candidate holds
    a longer prefix of the chat.
    """

    candidates: tuple[Candidate, ...]
    retry_after_ms: int
    moved: bool = False


@dataclass(frozen=True)
class Fetch:
    """Import the blocks of a prefix after ``cached_tokens`` in the background."""

    chat: str
    cached_tokens: int
    tokens: int
    holder: str


@dataclass
class Running:
    """A running request; ``remaining`` is the part of its work counted in the load."""

    request: Request
    work: float
    remaining: float
    cached_tokens: int
    import_from: str
    import_tokens: int
    chat_known: bool


@dataclass
class ServedNotice:
    """A ``Served`` message that the chat's home has not yet acknowledged."""

    home: str
    tokens: int
    due_ms: int
    send_count: int = 1


@dataclass
class Waiting:
    """A request for which no decision has been made yet."""

    request: Request
    since_ms: int
    work: float
    prefix_query_deadline_ms: int = 0
    pending_prefix_peers: set[str] = field(default_factory=set)
    holders: dict[str, int] = field(default_factory=dict)
    load_query_number: int = 0
    load_query_deadline_ms: int = 0
    pending_load_peers: set[str] = field(default_factory=set)
    peer_load_permille: dict[str, int] = field(default_factory=dict)


class ReusePlanner:
    """Decides for one engine whether and when a request runs, and which prefix it uses.

    The caller calls ``plan`` for each request until the result is ``Run`` or
    ``Refuse``. After ``Run`` it calls ``progress``, and then either ``finish`` or
    ``abandon`` once. It also calls ``abandon`` for a waiting request that is
    cancelled. After ``receive``, ``progress``, ``finish`` and ``abandon`` it plans
    the requests returned by ``take_ready`` again.
    """

    def __init__(
        self,
        member: Member,
        bound: float,
        clock: Clock,
        random: Random,
        costs: ReuseCosts | None = None,
        engine_can_release: bool = True,
    ) -> None:
        self.member = member
        self.address = member.instance.address
        self.weight = member.weight
        self.clock = clock
        self.random = random
        self.costs = costs or ReuseCosts()
        # Whether the pool's engines can drop a prefix on request. If they cannot,
        # importing a copy back to the home would displace other prefixes, so the home
        # only records which engine holds the prefix.
        self.engine_can_release = engine_can_release
        self.accepts_work: Callable[[], bool] = lambda: True
        self.bound = LoadBound(bound)
        self.mean = PoolMean(self.address, clock, random, member.weight)
        self.index = PrefixIndex()
        self.placement = Placement()
        self.placement_with_draining = Placement()
        self.draining_addresses: set[str] = set()
        self.members: dict[str, Member] = {}
        self.peers: list[str] = []
        self.running: dict[str, Running] = {}
        self.waiting: dict[str, Waiting] = {}
        self.ready: list[str] = []
        self.fetches: deque[Fetch] = deque()
        self.releases: list[str] = []
        self.notices: dict[str, ServedNotice] = {}
        self.finished_work: deque[tuple[int, float]] = deque()
        self.finished_work_total = 0.0
        self.tokens = 0.0
        self.sole_member_since_ms: int | None = None

    @property
    def load(self) -> float:
        """Return the outstanding work divided by the engine's weight."""
        return self.tokens / self.weight

    def set_members(
        self, members: Iterable[Member], held_down: Collection[str] = ()
    ) -> None:
        """Replace the list of the pool's sidecars, which may include this one."""
        members = list(members)
        departed = self.members.keys() - {m.instance.address for m in members}
        self.members = {m.instance.address: m for m in members}
        self.mean.set_members(a for a, m in self.members.items() if not m.draining)
        serving = {a for a, m in self.members.items() if not m.draining}
        if serving != {self.address}:
            self.sole_member_since_ms = None
        elif self.sole_member_since_ms is None:
            self.sole_member_since_ms = self.clock.now_ms()
        others = [m for m in members if m.instance.address != self.address]
        self.placement.update(others, held_down)
        # Draining members may still hold prefixes. To find them, they are ranked as if
        # they were not draining.
        self.draining_addresses = {a for a, m in self.members.items() if m.draining}
        self.placement_with_draining.update(
            [msgspec.structs.replace(m, draining=False) for m in members]
            if self.draining_addresses
            else []
        )
        region = self.member.instance.region
        same_region = [m for m in self.placement.members if m.instance.region == region]
        self.peers = [m.instance.address for m in same_region or self.placement.members]
        for address in departed:
            self.index.forget_holder(address)

    # Admission

    def plan(self, request: Request) -> Run | Wait | Refuse:
        """Decide on a request; ``Run`` reserves its work."""
        now = self.clock.now_ms()
        sole_member_since_ms = self.sole_member_since_ms
        self.bound.sole_member = (
            sole_member_since_ms is not None
            and now - sole_member_since_ms >= SOLE_MEMBER_AFTER_MS
        )
        if request.id not in self.waiting:
            redirect = self.redirect(request)
            if redirect is not None:
                return redirect
        waiting = self.waiting.get(request.id) or self.add_waiting(request, now)
        entry = self.index.get(request.chat)
        local_tokens = self.local_tokens(request, entry)
        holder, holder_tokens = self.choose_holder(
            request, entry, waiting, local_tokens
        )
        work = self.work(request, max(local_tokens, holder_tokens))
        waiting.work = work
        estimate = self.mean.estimate()
        admission = self.bound.admit(self.load, work, self.weight, estimate)
        if isinstance(admission, OverBound):
            return self.wait_or_refuse(waiting, entry, local_tokens, admission)
        if waiting.pending_prefix_peers and now < waiting.prefix_query_deadline_ms:
            return Wait(waiting.prefix_query_deadline_ms)
        if not holder and not waiting.prefix_query_deadline_ms:
            queries = self.query_prefixes(waiting, local_tokens)
            if queries:
                return Wait(waiting.prefix_query_deadline_ms, queries)
        chat_known = entry is not None and entry.tokens > 0
        self.start_running(
            Running(
                request, work, work, local_tokens, holder, holder_tokens, chat_known
            )
        )
        return Run(local_tokens, work, holder, holder_tokens)

    def redirect(self, request: Request) -> Refuse | None:
        """Return a redirect of a moved chat to its holder, if it should stay there.

        Engines that cannot drop a prefix keep the copy left by a move until it is the
        least recently used one. A chat that stays with the engine that served it last
        leaves one unused copy; a chat that returns to its home leaves two.
        """
        entry = self.index.get(request.chat)
        if (
            self.engine_can_release
            or entry is None
            or not request.first_attempt
            or not request.ranked
            or request.ranked[0] != self.address
            or entry.other_holder not in self.members
            or entry.other_holder in self.draining_addresses
        ):
            return None
        holder_tokens = min(entry.other_holder_tokens, request.prompt_tokens)
        # Redirect even after a short last turn: running here would leave an unused
        # copy on the holder.
        if holder_tokens - self.local_tokens(request, entry) < self.costs.block_tokens:
            return None
        number = self.members[entry.other_holder].instance.number
        return Refuse((Candidate(entry.other_holder, number, True),), 0, moved=True)

    def add_waiting(self, request: Request, now_ms: int) -> Waiting:
        """Register a request that is planned for the first time."""
        waiting = Waiting(request, now_ms, 0.0)
        self.waiting[request.id] = waiting
        return waiting

    def work(self, request: Request, reused_tokens: int) -> float:
        """Return the work of a request that reuses part of its prompt."""
        missing_tokens = max(0, request.prompt_tokens - reused_tokens)
        return missing_tokens * self.costs.prefill_work + max(1, request.output_tokens)

    def local_tokens(self, request: Request, entry: PrefixEntry | None) -> int:
        """Return the length of the prefix that is probably cached here."""
        shared = self.index.shared_tokens(request.route)
        return min(request.prompt_tokens, max(shared, entry.tokens if entry else 0))

    def choose_holder(
        self,
        request: Request,
        entry: PrefixEntry | None,
        waiting: Waiting,
        local_tokens: int,
    ) -> tuple[str, int]:
        """Return the engine to import from and the length of the prefix it holds.

        If an import would not save enough time, return an empty address and 0.
        """
        holders = dict(waiting.holders)
        if entry is not None and entry.other_holder:
            holders[entry.other_holder] = entry.other_holder_tokens
        if request.import_from and not waiting.prefix_query_deadline_ms:
            holders.setdefault(request.import_from, request.prompt_tokens)
        holders.pop(self.address, None)
        if not holders:
            return "", 0
        holder = max(holders, key=lambda a: (holders[a], a))
        tokens = min(holders[holder], request.prompt_tokens)
        if self.import_saving_ms(tokens - local_tokens) < MIN_IMPORT_SAVING_MS:
            return "", 0
        return holder, tokens

    def import_saving_ms(self, tokens: int) -> float:
        """Return the time that importing the tokens saves compared with prefilling."""
        if tokens < self.costs.block_tokens:
            return 0.0
        return self.costs.prefill_ms(tokens) - self.costs.import_ms(tokens)

    def query_prefixes(
        self, waiting: Waiting, local_tokens: int
    ) -> tuple[ReuseOutgoing, ...]:
        """Return prefix queries to the next members in the ranking, on a local miss."""
        request = waiting.request
        missing_tokens = request.prompt_tokens - local_tokens
        if (
            not request.chat
            or self.import_saving_ms(missing_tokens) < MIN_IMPORT_SAVING_MS
        ):
            return ()
        peers = [a for a in request.ranked if a != self.address][:PREFIX_QUERY_PEERS]
        region = self.member.instance.region
        for member in self.placement_with_draining.rank(request.chat, 1, region):
            if member.instance.address in self.draining_addresses:
                peers.append(member.instance.address)
        waiting.pending_prefix_peers = set(peers)
        waiting.prefix_query_deadline_ms = self.clock.now_ms() + QUERY_TIMEOUT_MS
        return tuple(ReuseOutgoing(a, PrefixQuery(request.chat)) for a in peers)

    def start_running(self, running: Running) -> None:
        """Register a request as running and add its work to the load."""
        request_id = running.request.id
        self.waiting.pop(request_id, None)
        self.running[request_id] = running
        self.bound.observe(running.work)
        self.add_tokens(running.work)

    def wait_or_refuse(
        self,
        waiting: Waiting,
        entry: PrefixEntry | None,
        local_tokens: int,
        admission: OverBound,
    ) -> Wait | Refuse:
        """Wait for capacity while that costs less than losing the local prefix."""
        now = self.clock.now_ms()
        request = waiting.request
        until_ms = min(
            waiting.since_ms + self.max_wait_ms(request, local_tokens),
            request.latest_start_ms,
        )
        if request.last_resort and now < until_ms:
            return Wait(min(until_ms, now + LAST_RESORT_CHECK_MS))
        work_ahead = 0.0
        for other in self.waiting.values():
            if other is waiting:
                break
            work_ahead += other.work
        expected_ms = self.completion_ms(admission.excess * self.weight + work_ahead)
        if now < until_ms and now + self.required_wait_ms(expected_ms) <= until_ms:
            return Wait(until_ms)
        if not waiting.load_query_deadline_ms:
            queries = self.query_loads(waiting, entry)
            if queries:
                return Wait(waiting.load_query_deadline_ms, queries)
        elif waiting.pending_load_peers and now < waiting.load_query_deadline_ms:
            return Wait(waiting.load_query_deadline_ms)
        del self.waiting[request.id]
        return Refuse(self.candidates(waiting, entry), round(expected_ms))

    def query_loads(
        self, waiting: Waiting, entry: PrefixEntry | None
    ) -> tuple[ReuseOutgoing, ...]:
        """Return load queries to the engine that last served the chat and to others.

        Peers are queried at the time of the refusal so that the router gets fresh
        loads. With loads collected in advance, many engines would spill to the same
        few targets.
        """
        count = min(LOAD_QUERY_PEERS, len(self.peers))
        peers = set(self.random.sample(self.peers, count))
        if entry is not None and entry.other_holder in self.members:
            peers.add(entry.other_holder)
        waiting.pending_load_peers = peers
        waiting.load_query_number = self.random.getrandbits(32)
        waiting.load_query_deadline_ms = self.clock.now_ms() + QUERY_TIMEOUT_MS
        query = LoadQuery(waiting.load_query_number, round(waiting.work))
        return tuple(ReuseOutgoing(a, query) for a in sorted(peers))

    def max_wait_ms(self, request: Request, local_tokens: int) -> int:
        """Return how long a request may wait here in order to use its cached prefix."""
        if request.last_resort:
            return LAST_RESORT_WAIT_MS
        saved_tokens = local_tokens - self.index.shared_tokens(request.route)
        if saved_tokens < self.costs.block_tokens:
            return 0
        missing_ms = self.costs.prefill_ms(request.prompt_tokens - local_tokens)
        slack_ms = FIRST_TOKEN_TARGET_MS - CLIENT_LATENCY_RESERVE_MS - missing_ms
        max_ms = min(MAX_WAIT_MS, slack_ms)
        if self.engine_can_release:
            max_ms = min(max_ms, self.costs.prefill_ms(saved_tokens))
        return max(0, round(max_ms))

    def required_wait_ms(self, expected_ms: float) -> float:
        """Return the wait that must fit before the deadline for a request to wait."""
        return (
            expected_ms
            if self.engine_can_release
            else expected_ms / EARLY_CAPACITY_FACTOR
        )

    def completion_ms(self, work: float) -> float:
        """Return the expected time until the given amount of work has finished."""
        now = self.clock.now_ms()
        self.drop_old_work(now)
        rate = max(self.finished_work_total, 1.0) / COMPLETION_WINDOW_MS
        return work / rate

    def candidates(
        self, waiting: Waiting, entry: PrefixEntry | None
    ) -> tuple[Candidate, ...]:
        """Return the engine that last served the chat, then members by rising load.

        Members that would refuse the request come last.
        """
        last_server = entry.other_holder if entry is not None else ""
        loads = waiting.peer_load_permille

        def sort_key(address: str) -> tuple[bool, bool, int]:
            load_permille = loads.get(address, FULL_LOAD_PERMILLE)
            return (
                load_permille > FULL_LOAD_PERMILLE,
                address != last_server,
                load_permille,
            )

        addresses = dict.fromkeys([*loads, last_server, *waiting.request.ranked])
        chosen = [a for a in addresses if a in self.members and a != self.address]
        chosen.sort(key=sort_key)
        return tuple(
            Candidate(a, self.members[a].instance.number, a == last_server)
            for a in chosen[:MAX_CANDIDATES]
        )

    # Running requests

    def progress(self, request_id: str, generated_tokens: int) -> None:
        """Record how many tokens a request has generated so far, at least one.

        The first token means that the prefill is done. A share of the output stays in
        the load until the request ends, since it may be longer than expected.
        """
        running = self.running.get(request_id)
        if running is None:
            return
        output = max(1, running.request.output_tokens)
        remaining = max(output * MIN_REMAINING_SHARE, output - generated_tokens)
        if remaining < running.remaining:
            self.add_tokens(remaining - running.remaining)
            running.remaining = remaining
            self.ready = list(self.waiting)

    def import_failed(self, request_id: str) -> None:
        """Add the work of the prefill that replaces a failed import.

        This must be called before the first token.
        """
        running = self.running.get(request_id)
        if running is None or not running.import_from:
            return
        prefill = self.work(running.request, running.cached_tokens) - running.work
        running.work += prefill
        running.remaining += prefill
        self.add_tokens(prefill)

    def finish(
        self,
        request_id: str,
        cached_tokens: int,
        imported_tokens: int,
        total_tokens: int,
    ) -> list[ReuseOutgoing]:
        """Record the end of a request and what the engine reported about it.

        ``cached_tokens`` is the length of the prefix that was cached before the
        import, ``imported_tokens`` the number of tokens that the import added, and
        ``total_tokens`` the length of the prefix that is cached now.
        """
        running = self.release(request_id)
        if running is None:
            return []
        request = running.request
        if not request.chat:
            return []
        if running.import_from and cached_tokens + imported_tokens < min(
            running.import_tokens, request.prompt_tokens
        ):
            self.index.forget_other_holder(request.chat, running.import_from)
        if not running.chat_known and not imported_tokens:
            self.index.record_new_chat(request.route, cached_tokens)
        home = request.ranked[0] if request.ranked else self.address
        away_from_home = home != self.address
        now = self.clock.now_ms()
        self.index.record(request.chat, total_tokens, now, away_from_home)
        self.notices.pop(request.chat, None)
        if away_from_home:
            return [self.notify(request.chat, ServedNotice(home, total_tokens, now))]
        if imported_tokens:
            release = Release(request.chat, total_tokens)
            return [ReuseOutgoing(running.import_from, release)]
        return []

    def notify(self, chat: str, notice: ServedNotice) -> ReuseOutgoing:
        """Tell the home that this engine served the chat, and schedule a retry."""
        notice.due_ms = self.clock.now_ms() + SERVED_RETRY_MS
        self.notices[chat] = notice
        return ReuseOutgoing(notice.home, Served(chat, notice.tokens))

    @property
    def wake_ms(self) -> int:
        """Return the time at which ``tick`` must be called next."""
        due = [n.due_ms for n in self.notices.values()]
        return min([self.mean.wake_ms, *due])

    def tick(self) -> list[Outgoing | ReuseOutgoing]:
        """Run due rounds of the pool mean and repeat unacknowledged notices."""
        now = self.clock.now_ms()
        sent: list[Outgoing | ReuseOutgoing] = [*self.mean.tick()]
        for chat, notice in list(self.notices.items()):
            if now < notice.due_ms:
                continue
            del self.notices[chat]
            if notice.send_count < MAX_SERVED_SENDS:
                notice.send_count += 1
                sent.append(self.notify(chat, notice))
        return sent

    def abandon(self, request_id: str) -> None:
        """Remove a waiting or running request that ended without a response."""
        if self.waiting.pop(request_id, None) is None:
            self.release(request_id)

    def release(self, request_id: str) -> Running | None:
        """Remove a running request and subtract its remaining work from the load."""
        running = self.running.pop(request_id, None)
        if running is None:
            return None
        self.add_tokens(-running.remaining)
        now = self.clock.now_ms()
        self.finished_work.append((now, running.work))
        self.finished_work_total += running.work
        self.drop_old_work(now)
        self.ready = list(self.waiting)
        return running

    def drop_old_work(self, now_ms: int) -> None:
        """Drop finished work that is older than the window of the completion rate."""
        while (
            self.finished_work
            and self.finished_work[0][0] < now_ms - COMPLETION_WINDOW_MS
        ):
            self.finished_work_total -= self.finished_work.popleft()[1]

    def add_tokens(self, tokens: float) -> None:
        """Add to the outstanding work, or subtract from it if negative."""
        self.tokens = max(0.0, self.tokens + tokens) if self.running else 0.0
        self.mean.tokens = self.tokens

    def take_ready(self) -> list[str]:
        """Return the waiting requests to plan again, the longest waiting first."""
        ready, self.ready = self.ready, []
        return [request_id for request_id in ready if request_id in self.waiting]

    # Messages and cache events

    def receive(
        self, message: MeanMessage | ReuseMessage, sender: str
    ) -> list[Outgoing | ReuseOutgoing]:
        """Handle a datagram from another sidecar."""
        match message:
            case PrefixQuery():
                return [ReuseOutgoing(sender, self.answer_prefix_query(message))]
            case PrefixAnswer():
                self.receive_prefix_answer(message, sender)
            case LoadQuery():
                return [ReuseOutgoing(sender, self.answer_load_query(message))]
            case LoadAnswer():
                self.receive_load_answer(message, sender)
            case Served():
                return self.receive_served(message, sender)
            case HandOver():
                self.queue_fetch(message.chat, message.tokens, message.holder)
            case Release():
                self.receive_release(message, sender)
            case _:
                return list(self.mean.receive(message, sender))
        return []

    def answer_prefix_query(self, query: PrefixQuery) -> PrefixAnswer:
        """Answer which prefix of a chat this engine holds."""
        entry = self.index.get(query.chat)
        if entry is None:
            return PrefixAnswer(query.chat, 0)
        return PrefixAnswer(
            query.chat, entry.tokens, entry.other_holder, entry.other_holder_tokens
        )

    def receive_prefix_answer(self, answer: PrefixAnswer, sender: str) -> None:
        """Record which engines hold prefixes of the chats of waiting requests."""
        for waiting in self.waiting.values():
            if (
                waiting.request.chat != answer.chat
                or sender not in waiting.pending_prefix_peers
            ):
                continue
            waiting.pending_prefix_peers.discard(sender)
            if answer.tokens:
                waiting.holders[sender] = answer.tokens
            if answer.other_holder in self.members:
                waiting.holders[answer.other_holder] = answer.other_holder_tokens
            if not waiting.pending_prefix_peers:
                self.ready.append(waiting.request.id)

    def answer_load_query(self, query: LoadQuery) -> LoadAnswer:
        """Answer how close the work would bring this engine to its limit.

        A server that is down has no load. Without the check it would appear to be the
        best target for all requests that its peers refuse.
        """
        if not self.accepts_work():
            return LoadAnswer(query.number, 2 * FULL_LOAD_PERMILLE)
        load = self.load + query.work / self.weight
        limit = self.bound.limit(load, query.work, self.weight, self.mean.estimate())
        load_permille = FULL_LOAD_PERMILLE * load / max(limit, 1.0)
        return LoadAnswer(query.number, math.ceil(load_permille))

    def receive_load_answer(self, answer: LoadAnswer, sender: str) -> None:
        """Record a peer's answer to a load query."""
        for waiting in self.waiting.values():
            if (
                waiting.load_query_number == answer.number
                and sender in waiting.pending_load_peers
            ):
                waiting.pending_load_peers.discard(sender)
                waiting.peer_load_permille[sender] = answer.load_permille
                if not waiting.pending_load_peers:
                    self.ready.append(waiting.request.id)

    def apply(self, event: CacheEvent) -> None:
        """Apply a cache event of the engine."""
        self.index.apply(event)

    # Draining

    def hand_over(self) -> list[ReuseOutgoing]:
        """Return a notice for each cached chat to the next member of its ranking.

        The most recently used chats come first, since there may not be enough time
        for all of them before the engine stops.
        """
        notices = []
        for chat, entry in self.index.most_recently_used():
            next_members = self.placement.rank(
                chat, 1, self.member.instance.region, other_regions=True
            )
            if next_members:
                holder, tokens = self.address, entry.tokens
                if entry.other_holder_tokens > tokens:
                    holder, tokens = entry.other_holder, entry.other_holder_tokens
                notices.append(
                    ReuseOutgoing(
                        next_members[0].instance.address, HandOver(chat, tokens, holder)
                    )
                )
        return notices

    # Background imports

    def receive_served(self, notice: Served, sender: str) -> list[ReuseOutgoing]:
        """Record or fetch what another engine added to a chat whose home is here."""
        if not self.engine_can_release:
            self.index.record_other_holder(notice.chat, sender, notice.tokens)
            return [ReuseOutgoing(sender, Release(notice.chat, 0))]
        entry = self.index.get(notice.chat)
        if entry is not None and entry.tokens >= notice.tokens:
            return [ReuseOutgoing(sender, Release(notice.chat, entry.tokens))]
        self.queue_fetch(notice.chat, notice.tokens, sender)
        return []

    def queue_fetch(self, chat: str, tokens: int, holder: str) -> None:
        """Queue the import of the prefix of a chat whose home is this engine.

        After a spill the home fetches the blocks that the spill target added, and the
        target may then drop its copy, because caches are too small for duplicates.
        When an engine drains, the next member of each chat's ranking fetches its
        prefix.
        """
        entry = self.index.get(chat)
        cached = entry.tokens if entry else 0
        if holder == self.address or cached >= tokens:
            return
        self.index.record_other_holder(chat, holder, tokens)
        if len(self.fetches) < MAX_FETCHES:
            self.fetches.append(Fetch(chat, cached, tokens, holder))

    def take_fetch(self) -> Fetch | None:
        """Return the next background import, if any."""
        while self.fetches:
            fetch = self.fetches.popleft()
            entry = self.index.get(fetch.chat)
            if entry is not None and entry.other_holder == fetch.holder:
                return fetch
        return None

    def finish_fetch(self, fetch: Fetch, tokens: int) -> list[ReuseOutgoing]:
        """Record the prefix cached here after a background import; 0 if it failed."""
        if tokens < fetch.tokens:
            self.index.forget_other_holder(fetch.chat, fetch.holder)
        if tokens <= 0:
            return []
        self.index.record(fetch.chat, tokens, self.clock.now_ms())
        return [ReuseOutgoing(fetch.holder, Release(fetch.chat, tokens))]

    def receive_release(self, release: Release, sender: str) -> None:
        """Let the engine drop a prefix that the chat's home holds as well.

        A message with fewer tokens than are cached here only acknowledges the notice.
        """
        self.notices.pop(release.chat, None)
        entry = self.index.get(release.chat)
        if entry is None or not entry.away_from_home or entry.tokens > release.tokens:
            return
        entry.tokens = 0
        entry.other_holder, entry.other_holder_tokens = sender, release.tokens
        self.releases.append(release.chat)

    def take_releases(self) -> list[str]:
        """Return the chats whose prefix the engine may evict first."""
        releases, self.releases = self.releases, []
        return releases

"""Admission of requests to one engine, with reuse of cached prompt prefixes.

``ReusePlanner`` is the object that a sidecar wires: it holds the prefix index, the
load bound and this sidecar's part in the pool mean.
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
ALONE_AFTER_MS = 10_000
"""A process that has just started knows only itself until it has joined the fleet."""
LAST_RESORT_WAIT_MS = 600
LAST_RESORT_CHECK_MS = 100
"""A burst on an idle pool is over the bound everywhere until the pool's mean has been
measured again, which takes a round or two."""
FIRST_TOKEN_MS = 760
# Time from the first token target that is kept for the way to the caller.
FIRST_TOKEN_RESERVE_MS = 60
ASK_PEERS = 2
ASK_TIMEOUT_MS = 20
# An import or a question to peers has to save more than its own disturbance.
MIN_GAIN_MS = 20
MAX_CANDIDATES = 3
# Room often comes well before it is expected, and a move costs the engine left
# behind a copy that it cannot drop.
EARLY_ROOM_FACTOR = 3
PROBE_PEERS = 3
FULL_SHARE = 1000
MAX_FETCHES = 256
MIN_REMAINING_SHARE = 0.1
SERVED_RETRY_MS = 500
SERVED_TRIES = 3
DRAIN_WINDOW_MS = 10_000


@dataclass(frozen=True)
class Request:
    """What the planner needs to know of an attempt.

    ``latest_start_ms`` is on the planner's clock. ``ranked`` are addresses, the
    chat's home first. A home sends only the first attempt on to the holder of the
    prefix, so redirects cannot loop. ``last_resort`` says that others have refused
    the request already, so a refusal here would most likely be its last.
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

    If ``import_from`` is set, first import the blocks between ``cached_tokens`` and
    ``import_tokens`` from there. ``work`` is what the request adds to the load.
    """

    cached_tokens: int
    work: float
    import_from: str = ""
    import_tokens: int = 0


@dataclass(frozen=True)
class Wait:
    """Send ``queries``, then plan again at ``until_ms`` or when reported ready."""

    until_ms: int
    queries: tuple[ReuseOutgoing, ...] = ()


@dataclass(frozen=True)
class Refuse:
    """Refuse the request; candidates are in order of preference.

    ``moved`` means that there may be room here, but the first candidate holds more
    of the prefix.
    """

    candidates: tuple[Candidate, ...]
    retry_after_ms: int
    moved: bool = False


@dataclass(frozen=True)
class Fetch:
    """A background import of the blocks of a prefix after ``cached_tokens``."""

    chat: str
    cached_tokens: int
    tokens: int
    holder: str


@dataclass
class Running:
    """A request whose work is counted in the load."""

    request: Request
    work: float
    remaining: float
    cached_tokens: int
    import_from: str
    import_tokens: int
    known: bool


@dataclass
class Notice:
    """A ``Served`` message that the home has not answered."""

    home: str
    tokens: int
    due_ms: int
    tries: int = 1


@dataclass
class Waiting:
    """A request that has been offered but not decided."""

    request: Request
    since_ms: int
    work: float
    asked_until_ms: int = 0
    unanswered: set[str] = field(default_factory=set)
    holders: dict[str, int] = field(default_factory=dict)
    probe_number: int = 0
    probed_until_ms: int = 0
    probed: set[str] = field(default_factory=set)
    shares: dict[str, int] = field(default_factory=dict)


class ReusePlanner:
    """Decides for one engine whether, when and from which prefix a request runs.

    Use: ``plan`` each request until it returns ``Run`` or ``Refuse``; after ``Run``
    call ``progress`` and exactly one of ``finish`` and ``abandon``; call ``abandon``
    for a waiting request that is given up. After each ``receive``, ``finish`` and
    ``abandon`` plan the requests of ``take_ready`` again.
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
        # Whether the pool's engines drop a prefix on request. If not, a copy fetched
        # back to the home would displace other prefixes, and the home only remembers
        # the holder.
        self.engine_can_release = engine_can_release
        self.accepts_work: Callable[[], bool] = lambda: True
        self.bound = LoadBound(bound)
        self.mean = PoolMean(self.address, clock, random, member.weight)
        self.index = PrefixIndex()
        self.placement = Placement()
        self.earlier = Placement()
        self.leaving: set[str] = set()
        self.members: dict[str, Member] = {}
        self.peers: list[str] = []
        self.running: dict[str, Running] = {}
        self.waiting: dict[str, Waiting] = {}
        self.ready: list[str] = []
        self.fetches: deque[Fetch] = deque()
        self.releases: list[str] = []
        self.notices: dict[str, Notice] = {}
        self.finished_work: deque[tuple[int, float]] = deque()
        self.finished_total = 0.0
        self.tokens = 0.0
        self.alone_since_ms: int | None = None

    @property
    def load(self) -> float:
        """Outstanding work divided by the engine's weight."""
        return self.tokens / self.weight

    def set_members(
        self, members: Iterable[Member], held_down: Collection[str] = ()
    ) -> None:
        """Replace the list of the pool's sidecars; this one may be in it."""
        members = list(members)
        gone = self.members.keys() - {m.instance.address for m in members}
        self.members = {m.instance.address: m for m in members}
        self.mean.set_members(a for a, m in self.members.items() if not m.draining)
        serving = {a for a, m in self.members.items() if not m.draining}
        if serving != {self.address}:
            self.alone_since_ms = None
        elif self.alone_since_ms is None:
            self.alone_since_ms = self.clock.now_ms()
        others = [m for m in members if m.instance.address != self.address]
        self.placement.update(others, held_down)
        # Members that are leaving, ranked as before, may still hold prefixes.
        self.leaving = {a for a, m in self.members.items() if m.draining}
        self.earlier.update(
            [msgspec.structs.replace(m, draining=False) for m in members]
            if self.leaving
            else []
        )
        region = self.member.instance.region
        near = [m for m in self.placement.members if m.instance.region == region]
        self.peers = [m.instance.address for m in near or self.placement.members]
        for address in gone:
            self.index.forget_holder(address)

    # Decision

    def plan(self, request: Request) -> Run | Wait | Refuse:
        """Decide about a request; a ``Run`` reserves its work."""
        now = self.clock.now_ms()
        since_ms = self.alone_since_ms
        self.bound.sole_member = (
            since_ms is not None and now - since_ms >= ALONE_AFTER_MS
        )
        if request.id not in self.waiting:
            redirect = self.redirect(request)
            if redirect is not None:
                return redirect
        waiting = self.waiting.get(request.id) or self.offer(request, now)
        entry = self.index.get(request.chat)
        local = self.local_tokens(request, entry)
        holder, held = self.choose_holder(request, entry, waiting, local)
        work = self.work(request, max(local, held))
        waiting.work = work
        estimate = self.mean.estimate()
        verdict = self.bound.admit(self.load, work, self.weight, estimate)
        if isinstance(verdict, OverBound):
            return self.wait_or_refuse(waiting, entry, local, verdict)
        if waiting.unanswered and now < waiting.asked_until_ms:
            return Wait(waiting.asked_until_ms)
        if not holder and not waiting.asked_until_ms:
            queries = self.ask_peers(waiting, local)
            if queries:
                return Wait(waiting.asked_until_ms, queries)
        known = entry is not None and entry.tokens > 0
        self.start(Running(request, work, work, local, holder, held, known))
        return Run(local, work, holder, held)

    def redirect(self, request: Request) -> Refuse | None:
        """Return where a chat was moved to, if this home should send it there.

        Engines that cannot drop a prefix keep the copy that a move leaves behind
        until it is the least recently used. A chat that stays where it was served
        last leaves one such copy, a chat that returns to its home leaves two.
        """
        entry = self.index.get(request.chat)
        if (
            self.engine_can_release
            or entry is None
            or not request.first_attempt
            or not request.ranked
            or request.ranked[0] != self.address
            or entry.other_holder not in self.members
            or entry.other_holder in self.leaving
        ):
            return None
        held = min(entry.other_holder_tokens, request.prompt_tokens)
        # However short the last turn was, running here would leave the holder's copy.
        if held - self.local_tokens(request, entry) < self.costs.block_tokens:
            return None
        number = self.members[entry.other_holder].instance.number
        return Refuse((Candidate(entry.other_holder, number, True),), 0, moved=True)

    def offer(self, request: Request, now_ms: int) -> Waiting:
        """Note a request that is planned for the first time."""
        waiting = Waiting(request, now_ms, 0.0)
        self.waiting[request.id] = waiting
        return waiting

    def work(self, request: Request, reused_tokens: int) -> float:
        """Return the work of a request that reuses part of its prompt."""
        missing = max(0, request.prompt_tokens - reused_tokens)
        return missing * self.costs.prefill_work + max(1, request.output_tokens)

    def local_tokens(self, request: Request, entry: PrefixEntry | None) -> int:
        """Return the prefix believed to be cached here."""
        shared = self.index.shared_tokens(request.route)
        return min(request.prompt_tokens, max(shared, entry.tokens if entry else 0))

    def choose_holder(
        self,
        request: Request,
        entry: PrefixEntry | None,
        waiting: Waiting,
        local: int,
    ) -> tuple[str, int]:
        """Return the engine to import from and the prefix it holds, if worthwhile."""
        holders = dict(waiting.holders)
        if entry is not None and entry.other_holder:
            holders[entry.other_holder] = entry.other_holder_tokens
        if request.import_from and not waiting.asked_until_ms:
            holders.setdefault(request.import_from, request.prompt_tokens)
        holders.pop(self.address, None)
        if not holders:
            return "", 0
        holder = max(holders, key=lambda a: (holders[a], a))
        tokens = min(holders[holder], request.prompt_tokens)
        if self.gain_ms(tokens - local) < MIN_GAIN_MS:
            return "", 0
        return holder, tokens

    def gain_ms(self, tokens: int) -> float:
        """Return the time that importing saves over prefilling."""
        if tokens < self.costs.block_tokens:
            return 0.0
        return self.costs.prefill_ms(tokens) - self.costs.import_ms(tokens)

    def ask_peers(self, waiting: Waiting, local: int) -> tuple[ReuseOutgoing, ...]:
        """Return questions to the next in the ranking after a local miss."""
        request = waiting.request
        missing = request.prompt_tokens - local
        if not request.chat or self.gain_ms(missing) < MIN_GAIN_MS:
            return ()
        peers = [a for a in request.ranked if a != self.address][:ASK_PEERS]
        region = self.member.instance.region
        for member in self.earlier.rank(request.chat, 1, region):
            if member.instance.address in self.leaving:
                peers.append(member.instance.address)
        waiting.unanswered = set(peers)
        waiting.asked_until_ms = self.clock.now_ms() + ASK_TIMEOUT_MS
        return tuple(ReuseOutgoing(a, PrefixQuery(request.chat)) for a in peers)

    def start(self, running: Running) -> None:
        """Count the work of a request that runs."""
        request_id = running.request.id
        self.waiting.pop(request_id, None)
        self.running[request_id] = running
        self.bound.observe(running.work)
        self.add_tokens(running.work)

    def wait_or_refuse(
        self,
        waiting: Waiting,
        entry: PrefixEntry | None,
        local: int,
        verdict: OverBound,
    ) -> Wait | Refuse:
        """Wait for room while that costs less than losing the local prefix."""
        now = self.clock.now_ms()
        request = waiting.request
        until_ms = min(
            waiting.since_ms + self.patience_ms(request, local),
            request.latest_start_ms,
        )
        if request.last_resort and now < until_ms:
            return Wait(min(until_ms, now + LAST_RESORT_CHECK_MS))
        ahead = 0.0
        for other in self.waiting.values():
            if other is waiting:
                break
            ahead += other.work
        expected_ms = self.drain_ms(verdict.excess * self.weight + ahead)
        if now < until_ms and now + self.least_wait_ms(expected_ms) <= until_ms:
            return Wait(until_ms)
        if not waiting.probed_until_ms:
            queries = self.probe_peers(waiting, entry)
            if queries:
                return Wait(waiting.probed_until_ms, queries)
        elif waiting.probed and now < waiting.probed_until_ms:
            return Wait(waiting.probed_until_ms)
        del self.waiting[request.id]
        return Refuse(self.candidates(waiting, entry), round(expected_ms))

    def probe_peers(
        self, waiting: Waiting, entry: PrefixEntry | None
    ) -> tuple[ReuseOutgoing, ...]:
        """Return questions about load to where the chat was served and to others.

        The answers are fresh when the router uses them. Loads known in advance send
        the spills of many engines to the same few targets.
        """
        count = min(PROBE_PEERS, len(self.peers))
        peers = set(self.random.sample(self.peers, count))
        if entry is not None and entry.other_holder in self.members:
            peers.add(entry.other_holder)
        waiting.probed = peers
        waiting.probe_number = self.random.getrandbits(32)
        waiting.probed_until_ms = self.clock.now_ms() + ASK_TIMEOUT_MS
        query = LoadQuery(waiting.probe_number, round(waiting.work))
        return tuple(ReuseOutgoing(a, query) for a in sorted(peers))

    def patience_ms(self, request: Request, local: int) -> int:
        """Return how long a request may wait here for its prefix."""
        if request.last_resort:
            return LAST_RESORT_WAIT_MS
        value = local - self.index.shared_tokens(request.route)
        if value < self.costs.block_tokens:
            return 0
        missing_ms = self.costs.prefill_ms(request.prompt_tokens - local)
        slack_ms = FIRST_TOKEN_MS - FIRST_TOKEN_RESERVE_MS - missing_ms
        most_ms = min(MAX_WAIT_MS, slack_ms)
        if self.engine_can_release:
            most_ms = min(most_ms, self.costs.prefill_ms(value))
        return max(0, round(most_ms))

    def least_wait_ms(self, expected_ms: float) -> float:
        """Return the wait that must fit for waiting to be worth a try."""
        return (
            expected_ms if self.engine_can_release else expected_ms / EARLY_ROOM_FACTOR
        )

    def drain_ms(self, work: float) -> float:
        """Return the expected time until that much work has finished."""
        now = self.clock.now_ms()
        self.drop_old_work(now)
        rate = max(self.finished_total, 1.0) / DRAIN_WINDOW_MS
        return work / rate

    def candidates(
        self, waiting: Waiting, entry: PrefixEntry | None
    ) -> tuple[Candidate, ...]:
        """Return where the chat was last served, then members with a low load.

        Members that would refuse come after all that did not say so.
        """
        warm = entry.other_holder if entry is not None else ""
        shares = waiting.shares

        def order(address: str) -> tuple[bool, bool, int]:
            share = shares.get(address, FULL_SHARE)
            return share > FULL_SHARE, address != warm, share

        known = dict.fromkeys([*shares, warm, *waiting.request.ranked])
        chosen = [a for a in known if a in self.members and a != self.address]
        chosen.sort(key=order)
        return tuple(
            Candidate(a, self.members[a].instance.number, a == warm)
            for a in chosen[:MAX_CANDIDATES]
        )

    # Running work

    def progress(self, request_id: str, generated_tokens: int) -> None:
        """Note how many tokens a request has generated so far, at least one.

        With the first token the prefill is done. A share of the output stays counted
        until the end, since answers may be longer than expected.
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
        """Count the prefill that an import was to replace, before the first token."""
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
        """Note the end of a request, with what the engine reported about it.

        ``cached_tokens`` is the prefix found here without the import,
        ``imported_tokens`` what an import added, ``total_tokens`` the length of the
        prefix now cached.
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
        if not running.known and not imported_tokens:
            self.index.observe_new_chat(request.route, cached_tokens)
        home = request.ranked[0] if request.ranked else self.address
        guest = home != self.address
        now = self.clock.now_ms()
        self.index.record(request.chat, total_tokens, now, guest)
        self.notices.pop(request.chat, None)
        if guest:
            return [self.notify(request.chat, Notice(home, total_tokens, now))]
        if imported_tokens:
            release = Release(request.chat, total_tokens)
            return [ReuseOutgoing(running.import_from, release)]
        return []

    def notify(self, chat: str, notice: Notice) -> ReuseOutgoing:
        """Tell the home where a chat was served, again if it does not answer."""
        notice.due_ms = self.clock.now_ms() + SERVED_RETRY_MS
        self.notices[chat] = notice
        return ReuseOutgoing(notice.home, Served(chat, notice.tokens))

    @property
    def wake_ms(self) -> int:
        """Time at which ``tick`` has something to do."""
        due = [n.due_ms for n in self.notices.values()]
        return min([self.mean.wake_ms, *due])

    def tick(self) -> list[Outgoing | ReuseOutgoing]:
        """Do what is due: rounds of the pool mean and repeated notices."""
        now = self.clock.now_ms()
        sent: list[Outgoing | ReuseOutgoing] = [*self.mean.tick()]
        for chat, notice in list(self.notices.items()):
            if now < notice.due_ms:
                continue
            del self.notices[chat]
            if notice.tries < SERVED_TRIES:
                notice.tries += 1
                sent.append(self.notify(chat, notice))
        return sent

    def abandon(self, request_id: str) -> None:
        """Note that a waiting or running request ended without an answer."""
        if self.waiting.pop(request_id, None) is None:
            self.release(request_id)

    def release(self, request_id: str) -> Running | None:
        """Take a request's work out of the load."""
        running = self.running.pop(request_id, None)
        if running is None:
            return None
        self.add_tokens(-running.remaining)
        now = self.clock.now_ms()
        self.finished_work.append((now, running.work))
        self.finished_total += running.work
        self.drop_old_work(now)
        self.ready = list(self.waiting)
        return running

    def drop_old_work(self, now_ms: int) -> None:
        """Forget finished work outside the window of the drain rate."""
        while (
            self.finished_work and self.finished_work[0][0] < now_ms - DRAIN_WINDOW_MS
        ):
            self.finished_total -= self.finished_work.popleft()[1]

    def add_tokens(self, tokens: float) -> None:
        """Change the outstanding work."""
        self.tokens = max(0.0, self.tokens + tokens) if self.running else 0.0
        self.mean.tokens = self.tokens

    def take_ready(self) -> list[str]:
        """Return waiting requests to plan again now, the longest waiting first."""
        ready, self.ready = self.ready, []
        return [request_id for request_id in ready if request_id in self.waiting]

    # Messages and cache events

    def receive(
        self, message: MeanMessage | ReuseMessage, sender: str
    ) -> list[Outgoing | ReuseOutgoing]:
        """Handle a datagram from another sidecar."""
        match message:
            case PrefixQuery():
                return [ReuseOutgoing(sender, self.answer(message))]
            case PrefixAnswer():
                self.receive_answer(message, sender)
            case LoadQuery():
                return [ReuseOutgoing(sender, self.answer_load(message))]
            case LoadAnswer():
                self.receive_load(message, sender)
            case Served():
                return self.receive_served(message, sender)
            case HandOver():
                self.queue_fetch(message.chat, message.tokens, message.holder)
            case Release():
                self.receive_release(message, sender)
            case _:
                return list(self.mean.receive(message, sender))
        return []

    def answer(self, query: PrefixQuery) -> PrefixAnswer:
        """Answer a question about a chat."""
        entry = self.index.get(query.chat)
        if entry is None:
            return PrefixAnswer(query.chat, 0)
        return PrefixAnswer(
            query.chat, entry.tokens, entry.other_holder, entry.other_holder_tokens
        )

    def receive_answer(self, answer: PrefixAnswer, sender: str) -> None:
        """Note who holds the prefix of a waiting chat."""
        for waiting in self.waiting.values():
            if waiting.request.chat != answer.chat or sender not in waiting.unanswered:
                continue
            waiting.unanswered.discard(sender)
            if answer.tokens:
                waiting.holders[sender] = answer.tokens
            if answer.other_holder in self.members:
                waiting.holders[answer.other_holder] = answer.other_holder_tokens
            if not waiting.unanswered:
                self.ready.append(waiting.request.id)

    def answer_load(self, query: LoadQuery) -> LoadAnswer:
        """Answer whether work would be admitted here.

        A server that is down has no load and would otherwise look like the best
        place for everything that its peers refuse.
        """
        if not self.accepts_work():
            return LoadAnswer(query.number, 2 * FULL_SHARE)
        load = self.load + query.work / self.weight
        limit = self.bound.limit(load, query.work, self.weight, self.mean.estimate())
        share = FULL_SHARE * load / max(limit, 1.0)
        return LoadAnswer(query.number, math.ceil(share))

    def receive_load(self, answer: LoadAnswer, sender: str) -> None:
        """Note a peer's answer about its load."""
        for waiting in self.waiting.values():
            if waiting.probe_number == answer.number and sender in waiting.probed:
                waiting.probed.discard(sender)
                waiting.shares[sender] = answer.share
                if not waiting.probed:
                    self.ready.append(waiting.request.id)

    def apply(self, event: CacheEvent) -> None:
        """Apply a cache event of the engine."""
        self.index.apply(event)

    # Leaving engines

    def hand_over(self) -> list[ReuseOutgoing]:
        """Return a notice per warm chat to the next in its ranking.

        The last used chats come first, since the time before the engine leaves may
        not suffice for all.
        """
        notices = []
        for chat, entry in self.index.warmest():
            following = self.placement.rank(
                chat, 1, self.member.instance.region, other_regions=True
            )
            if following:
                holder, tokens = self.address, entry.tokens
                if entry.other_holder_tokens > tokens:
                    holder, tokens = entry.other_holder, entry.other_holder_tokens
                notices.append(
                    ReuseOutgoing(
                        following[0].instance.address, HandOver(chat, tokens, holder)
                    )
                )
        return notices

    # Background imports

    def receive_served(self, notice: Served, sender: str) -> list[ReuseOutgoing]:
        """Note or fetch what another engine added to a chat of this home."""
        if not self.engine_can_release:
            self.index.record_other_holder(notice.chat, sender, notice.tokens)
            return [ReuseOutgoing(sender, Release(notice.chat, 0))]
        entry = self.index.get(notice.chat)
        if entry is not None and entry.tokens >= notice.tokens:
            return [ReuseOutgoing(sender, Release(notice.chat, entry.tokens))]
        self.queue_fetch(notice.chat, notice.tokens, sender)
        return []

    def queue_fetch(self, chat: str, tokens: int, holder: str) -> None:
        """Queue the import of a prefix that this engine is the home of.

        After a spill the home fetches the blocks that the spill target added, and
        the target may then drop its copy: caches are too small for duplicates. When
        an engine leaves, the next in the ranking fetches its prefixes.
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
        """Note the prefix cached here after a background import; 0 if it failed."""
        if tokens < fetch.tokens:
            self.index.forget_other_holder(fetch.chat, fetch.holder)
        if tokens <= 0:
            return []
        self.index.record(fetch.chat, tokens, self.clock.now_ms())
        return [ReuseOutgoing(fetch.holder, Release(fetch.chat, tokens))]

    def receive_release(self, release: Release, sender: str) -> None:
        """Let the engine drop a prefix that the chat's home holds.

        A message with fewer tokens only acknowledges the notice.
        """
        self.notices.pop(release.chat, None)
        entry = self.index.get(release.chat)
        if entry is None or not entry.guest or entry.tokens > release.tokens:
            return
        entry.tokens = 0
        entry.other_holder, entry.other_holder_tokens = sender, release.tokens
        self.releases.append(release.chat)

    def take_releases(self) -> list[str]:
        """Return chats whose prefix the engine may evict before all others."""
        releases, self.releases = self.releases, []
        return releases

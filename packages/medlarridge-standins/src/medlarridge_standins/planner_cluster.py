"""Sidecars' planners that exchange datagrams at once, for tests."""

from collections import deque
from collections.abc import Collection
from dataclasses import replace
from random import Random

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.coordination.reuse_planner import (
    Refuse,
    Request,
    ReusePlanner,
    Run,
    Wait,
)
from medlarridge._internal.identity import Instance, Member, Role

BOUND = 1.25
ROUND_STEP_MS = 50
DEADLINE_MS = 10_000
AVERAGE_WORK = 100.0


def make_member(number: int, region: str = "r", weight: float = 1.0) -> Member:
    """Return a sidecar's announcement."""
    address = f"10.0.{number // 250}.{number % 250}:7000"
    data_centre = f"dc-{number % 3}"
    instance = Instance(address, number + 1, data_centre, region, Role.SIDECAR)
    return Member(instance, "pool", weight)


class PlannerCluster:
    """Planners, the true caches of their engines, and a router.

    Datagrams from or to an address in ``silent`` are lost.
    """

    def __init__(
        self, size: int, seed: int = 1, engine_can_release: bool = True
    ) -> None:
        self.engine_can_release = engine_can_release
        self.clock = ManualClock()
        self.members = [make_member(number) for number in range(size)]
        self.router = Placement(self.members)
        self.caches: dict[str, dict[str, int]] = {}
        self.planners: dict[str, ReusePlanner] = {}
        self.queue: deque[tuple[str, str, object]] = deque()
        self.isolated: set[str] = set()
        self.numbers = 0
        self.seed = seed
        for member in self.members:
            self.start(member)

    def start(self, member: Member) -> None:
        """Start a sidecar and its engine with an empty cache."""
        address = member.instance.address
        random = Random(f"{self.seed} {address}")
        planner = ReusePlanner(
            member,
            BOUND,
            self.clock,
            random,
            engine_can_release=self.engine_can_release,
        )
        planner.set_members(self.members)
        planner.bound.observe(AVERAGE_WORK)
        self.planners[address] = planner
        self.caches[address] = {}

    def update(self, members: list[Member], held: Collection[str] = ()) -> None:
        """Tell the router and all sidecars a new member list."""
        self.router.update(members, held)
        for planner in self.planners.values():
            planner.set_members(members, held)

    def send(self, sender: str, outgoing: Collection) -> None:
        """Queue datagrams."""
        self.queue += [(sender, sent.address, sent.message) for sent in outgoing]

    def deliver_all(self) -> None:
        """Deliver datagrams until none are left."""
        while self.queue:
            sender, address, message = self.queue.popleft()
            if address in self.planners and not {sender, address} & self.isolated:
                received = self.planners[address].receive(message, sender)
                self.send(address, received)

    def advance(self, duration_ms: int) -> None:
        """Let time pass with ticks and background imports."""
        for _ in range(0, duration_ms, ROUND_STEP_MS):
            self.clock.advance(ROUND_STEP_MS)
            for address, planner in self.planners.items():
                if address not in self.isolated:
                    self.send(address, planner.tick())
            self.deliver_all()
            self.fetch()

    def fetch(self) -> None:
        """Carry out background imports and let engines drop prefixes."""
        for address, planner in self.planners.items():
            while (fetch := planner.take_fetch()) is not None:
                held = self.caches.get(fetch.holder, {}).get(fetch.chat, 0)
                cached = max(held, self.caches[address].get(fetch.chat, 0))
                self.caches[address][fetch.chat] = cached
                self.send(address, planner.finish_fetch(fetch, cached))
            self.deliver_all()
        for address, planner in self.planners.items():
            for chat in planner.take_releases():
                self.caches[address].pop(chat, None)

    def request(
        self, chat: str, prompt: int, output: int = 100, route: str = "route"
    ) -> Request:
        """Return a request as a router would pass it on."""
        self.numbers += 1
        ranked = tuple(m.instance.address for m in self.router.rank(chat, 4, "r"))
        latest = self.clock.now_ms() + DEADLINE_MS
        request_id = f"r{self.numbers}"
        return Request(request_id, chat, route, prompt, output, latest, ranked)

    def decide(self, address: str, request: Request) -> Run | Wait | Refuse:
        """Plan a request, with the answers to its queries."""
        decision = self.planners[address].plan(request)
        if isinstance(decision, Wait) and decision.queries:
            self.send(address, decision.queries)
            self.deliver_all()
            if request.id not in self.planners[address].take_ready():
                self.clock.advance(decision.until_ms - self.clock.now_ms())
            decision = self.planners[address].plan(request)
        return decision

    def complete(self, address: str, request: Request, run: Run) -> tuple[int, int]:
        """Finish a request; return the tokens found and imported."""
        cache = self.caches[address]
        found = min(cache.get(request.chat, 0), request.prompt_tokens)
        held = self.caches.get(run.import_from, {}).get(request.chat, 0)
        imported = max(0, min(held, request.prompt_tokens) - found)
        total = request.prompt_tokens + request.output_tokens
        cache[request.chat] = total
        planner = self.planners[address]
        self.send(address, planner.finish(request.id, found, imported, total))
        self.deliver_all()
        self.fetch()
        return found, imported

    def serve(self, chat: str, prompt: int) -> tuple[str, int, int]:
        """Serve a request at its home or where the home says that the chat moved.

        Return where, and the tokens found and imported.
        """
        request = self.request(chat, prompt)
        address = request.ranked[0]
        run = self.decide(address, request)
        if isinstance(run, Refuse) and run.moved:
            address = run.candidates[0].address
            request = replace(request, first_attempt=False)
            run = self.decide(address, request)
        assert isinstance(run, Run)
        return address, *self.complete(address, request, run)

    def add_load(self, address: str, load: int) -> None:
        """Let an idle engine start one request of that much work."""
        filler = self.request(f"filler {address}", 0, load)
        assert isinstance(self.planners[address].plan(filler), Run)

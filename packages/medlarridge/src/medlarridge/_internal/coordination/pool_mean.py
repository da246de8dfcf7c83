"""Mean load of a pool, summed over a tree of its sidecars.

A round counts all members once: each node asks up to four others to cover a part of
its hash interval each, adds their sums to its own load and replies; the root sends
the mean back the same way. Intervals rather than positions are passed on, so nodes
that disagree on the member list neither count a member twice nor skip a part of the
pool. Two trees with different orders take turns, so a dead node deprives the nodes
below it of every other round only.
"""

import math
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec
from xxhash import xxh32_intdigest

from ..clock import Clock
from .load_bound import MeanEstimate

FAN_OUT = 4
TREES = 2
ROUND_MS = 500
TREE_PERIOD_MS = TREES * ROUND_MS
# Members first in a tree's order take over in turn when no round arrives.
TAKEOVER_STEP_MS = 250
TAKEOVER_RANKS = 8
# A parent waits this much longer than its children, so a missing reply at one level
# does not make the levels above it time out as well.
LEVEL_WAIT_MS = 40
MAX_LEVELS = 7
WINDOW_MS = 2000
SUSPECT_MS = 10_000
MAX_ROUNDS = 64
POSITION_RANGE = 2**32
ROUND_BITS = 32


class MeanRequest(msgspec.Struct, tag=10, array_like=True, frozen=True):
    """Ask for the sums over the members in a hash interval.

    Carries the newest mean that the sender knows, in case its result was lost.
    """

    tree: int
    round: int
    low: int
    high: int
    wait_ms: int
    mean: int = 0
    error: int = 0
    age_ms: int = -1


class MeanReply(msgspec.Struct, tag=11, array_like=True, frozen=True):
    """Sums over an interval: load, squares of load per weight, weight, members."""

    round: int
    load: int
    squares: int
    weight: float
    members: int


class MeanResult(msgspec.Struct, tag=12, array_like=True, frozen=True):
    """The mean load of the pool ``age_ms`` ago and its standard error."""

    round: int
    mean: int
    error: int
    age_ms: int


MeanMessage = MeanRequest | MeanReply | MeanResult


@dataclass(frozen=True)
class Outgoing:
    """A datagram to send."""

    address: str
    message: MeanMessage


@dataclass
class Round:
    """A round that this node takes part in."""

    tree: int
    parent: str
    started_ms: int
    due_ms: int
    children: list[str]
    own_load: float
    load: float
    squares: float
    weight: float
    members: int
    waiting: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Measured:
    """A mean that a round gave."""

    at_ms: int
    mean: float
    error: float
    own_load: float


class PoolMean:
    """One sidecar's part in the pool mean.

    The owner sets ``tokens`` (outstanding work) and ``weight`` as they change, calls
    ``tick`` at ``wake_ms`` and ``receive`` per datagram, and sends what they return.
    """

    def __init__(
        self, address: str, clock: Clock, random: Random, weight: float = 1.0
    ) -> None:
        self.address = address
        self.clock = clock
        self.random = random
        self.weight = weight
        self.tokens = 0.0
        # Until it has a member list a node answers, but starts no round.
        self.listed = False
        self.orders = [[(position(tree, address), address)] for tree in range(TREES)]
        self.ranks = [0] * TREES
        self.rounds: dict[int, Round] = {}
        self.open_rounds: dict[int, Round] = {}
        self.measured: deque[Measured] = deque()
        self.suspects: dict[str, int] = {}
        now = clock.now_ms()
        self.last_round_ms = [
            now + tree * ROUND_MS - TREE_PERIOD_MS for tree in range(TREES)
        ]

    def set_members(self, addresses: Iterable[str]) -> None:
        """Replace the list of the pool's sidecars."""
        self.listed = True
        members = {self.address, *addresses}
        for tree in range(TREES):
            order = sorted((position(tree, a), a) for a in members)
            self.orders[tree] = order
            own = (position(tree, self.address), self.address)
            self.ranks[tree] = bisect_left(order, own)
        self.suspects = {a: t for a, t in self.suspects.items() if a in members}

    def estimate(self) -> MeanEstimate | None:
        """Return what is known about the mean, or nothing."""
        if not self.measured:
            return None
        newest = self.measured[-1]
        means = [m.mean for m in self.measured if m.at_ms >= newest.at_ms - WINDOW_MS]
        return MeanEstimate(
            mean=newest.mean,
            age_ms=self.clock.now_ms() - newest.at_ms,
            spread=max(means) - min(means),
            own_load=newest.own_load,
            error=newest.error,
        )

    @property
    def wake_ms(self) -> int:
        """Time at which ``tick`` has something to do."""
        due = [r.due_ms for r in self.open_rounds.values()]
        return min([self.takeover_ms(tree) for tree in range(TREES)] + due)

    def takeover_ms(self, tree: int) -> int:
        """Return when this node starts a round itself."""
        rank = self.ranks[tree]
        if rank >= TAKEOVER_RANKS or not self.listed:
            return self.clock.now_ms() + TREE_PERIOD_MS
        if rank:
            # One live tree suffices, so only silence of all trees counts.
            delay = TREE_PERIOD_MS + ROUND_MS + rank * TAKEOVER_STEP_MS
            return max(self.last_round_ms) + delay
        if tree and self.last_round_ms[tree - 1] > self.last_round_ms[tree]:
            # Rounds of the two trees stay half a period apart.
            return self.last_round_ms[tree - 1] + ROUND_MS
        return self.last_round_ms[tree] + TREE_PERIOD_MS

    def tick(self) -> list[Outgoing]:
        """Start rounds that are due and end rounds that have waited long enough."""
        now = self.clock.now_ms()
        sent = []
        for number, current in list(self.open_rounds.items()):
            if now >= current.due_ms:
                for child in current.waiting:
                    self.suspects[child] = now + SUSPECT_MS
                sent += self.finish(number, current)
        for tree in range(TREES):
            if now >= self.takeover_ms(tree):
                sent += self.start_round(tree)
        return sent

    def start_round(self, tree: int) -> list[Outgoing]:
        """Start a round as the root of a tree."""
        number = self.random.getrandbits(ROUND_BITS)
        ask = MeanRequest(tree, number, 0, POSITION_RANGE, LEVEL_WAIT_MS * MAX_LEVELS)
        return self.join(ask, parent="")

    def receive(self, message: MeanMessage, sender: str) -> list[Outgoing]:
        """Handle a datagram."""
        self.suspects.pop(sender, None)
        if isinstance(message, MeanRequest):
            return self.receive_ask(message, sender)
        current = self.rounds.get(message.round)
        if current is None:
            return []
        if isinstance(message, MeanReply):
            return self.receive_reply(message, sender, current)
        if sender != current.parent:
            return []
        return self.publish(current, message)

    def receive_ask(self, ask: MeanRequest, sender: str) -> list[Outgoing]:
        """Take part in a round, once."""
        if ask.round in self.rounds or not 0 <= ask.tree < TREES:
            return [Outgoing(sender, MeanReply(ask.round, 0, 0, 0.0, 0))]
        return self.join(ask, sender)

    def join(self, ask: MeanRequest, parent: str) -> list[Outgoing]:
        """Count this node and ask the members of the interval."""
        now = self.clock.now_ms()
        self.last_round_ms[ask.tree] = now
        self.drop_old_rounds()
        own_load = self.tokens / self.weight
        if ask.age_ms >= 0:
            self.note(Measured(now - ask.age_ms, ask.mean, ask.error, own_load))
        asks = self.split(ask) if ask.wait_ms > 0 else []
        current = Round(
            tree=ask.tree,
            parent=parent,
            started_ms=now,
            due_ms=now + ask.wait_ms,
            children=[a.address for a in asks],
            own_load=own_load,
            load=self.tokens,
            squares=self.tokens * self.tokens / self.weight,
            weight=self.weight,
            members=1,
            waiting={a.address for a in asks},
        )
        self.rounds[ask.round] = self.open_rounds[ask.round] = current
        return asks or self.finish(ask.round, current)

    def drop_old_rounds(self) -> None:
        """Keep the number of remembered rounds bounded."""
        while len(self.rounds) >= MAX_ROUNDS:
            number = next(iter(self.rounds))
            del self.rounds[number]
            self.open_rounds.pop(number, None)

    def split(self, ask: MeanRequest) -> list[Outgoing]:
        """Divide the interval among up to four children.

        No part contains this node's own position: a child would ask it again, and
        the members in that child's part would be missed.
        """
        order, rank = self.orders[ask.tree], self.ranks[ask.tree]
        own = order[rank][0]
        first = bisect_left(order, (ask.low, ""))
        last = bisect_left(order, (ask.high, ""))
        below = order[first : min(rank, last)]
        above = order[max(rank + 1, first) : last]
        share = round(FAN_OUT * len(below) / max(1, len(below) + len(above)))
        most_below = min(FAN_OUT - 1, max(1, share)) if above else FAN_OUT
        most_above = FAN_OUT - min(most_below, len(below))
        wait_ms = max(0, ask.wait_ms - LEVEL_WAIT_MS)
        now = self.clock.now_ms()
        known = self.known_mean(now)
        asks = []
        for members, most, start, end in (
            (below, most_below, ask.low, min(own, ask.high)),
            (above, most_above, max(own + 1, ask.low), ask.high),
        ):
            for part, low, high in divide(members, most, start, end):
                child = self.choose_child(part, now)
                message = MeanRequest(ask.tree, ask.round, low, high, wait_ms, *known)
                asks.append(Outgoing(child, message))
        return asks

    def known_mean(self, now_ms: int) -> tuple[int, int, int]:
        """Return the newest mean, its error and its age to pass on."""
        if not self.measured:
            return 0, 0, -1
        newest = self.measured[-1]
        return round(newest.mean), math.ceil(newest.error), now_ms - newest.at_ms

    def choose_child(self, part: list[tuple[int, str]], now_ms: int) -> str:
        """Return the first member of a part that is not suspected dead."""
        for _, address in part:
            if self.suspects.get(address, 0) <= now_ms:
                return address
        return part[0][1]

    def receive_reply(
        self, reply: MeanReply, sender: str, current: Round
    ) -> list[Outgoing]:
        """Add the sums of a child."""
        if reply.round not in self.open_rounds or sender not in current.waiting:
            return []
        current.waiting.discard(sender)
        current.load += reply.load
        current.squares += reply.squares
        current.weight += reply.weight
        current.members += reply.members
        return [] if current.waiting else self.finish(reply.round, current)

    def finish(self, number: int, current: Round) -> list[Outgoing]:
        """Reply to the parent, or publish the result as the root."""
        self.open_rounds.pop(number, None)
        if not current.parent:
            return self.publish_root(number, current)
        reply = MeanReply(
            number,
            round(current.load),
            round(current.squares),
            current.weight,
            current.members,
        )
        return [Outgoing(current.parent, reply)]

    def publish_root(self, number: int, current: Round) -> list[Outgoing]:
        """Publish the mean unless most of the pool is missing from it."""
        known = len(self.orders[current.tree])
        if current.members * 2 < known or current.weight <= 0:
            return []
        mean = current.load / current.weight
        variance = max(0.0, current.squares / current.weight - mean * mean)
        missing = max(0.0, 1 - current.members / known)
        error = math.sqrt(variance / current.members * missing)
        age_ms = self.clock.now_ms() - current.started_ms
        result = MeanResult(number, round(mean), math.ceil(error), age_ms)
        return self.publish(current, result)

    def publish(self, current: Round, result: MeanResult) -> list[Outgoing]:
        """Use a result and pass it to the children."""
        at_ms = self.clock.now_ms() - result.age_ms
        self.note(Measured(at_ms, result.mean, result.error, current.own_load))
        return [Outgoing(child, result) for child in current.children]

    def note(self, measured: Measured) -> None:
        """Remember a mean if it is newer than those known."""
        if self.measured and measured.at_ms <= self.measured[-1].at_ms:
            return
        self.measured.append(measured)
        while self.measured[0].at_ms < measured.at_ms - WINDOW_MS:
            self.measured.popleft()


def divide(
    members: list[tuple[int, str]], most: int, low: int, high: int
) -> list[tuple[list[tuple[int, str]], int, int]]:
    """Divide members and their interval into parts of about the same size."""
    parts = min(most, len(members))
    divided = []
    for part in range(parts):
        start = part * len(members) // parts
        end = (part + 1) * len(members) // parts
        first = low if part == 0 else members[start][0]
        last = high if part == parts - 1 else members[end][0]
        divided.append((members[start:end], first, last))
    return divided


def position(tree: int, address: str) -> int:
    """Return a member's place in the order of a tree."""
    return xxh32_intdigest(address.encode(), seed=tree)

"""Mean load of a pool, aggregated over a tree of its sidecars.

Each round counts every member once. A node divides its hash interval among up to four
children, adds their sums to its own load and replies to its parent; the root sends the
mean back down the tree. Requests carry hash intervals instead of list positions, so
nodes with different member lists neither count a member twice nor skip a part of the
pool. Two trees with different member orders alternate, so nodes below a dead node miss
only every other round.
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
# If no round arrives, the first members of a tree's order start one themselves, each
# this much later than its predecessor.
TAKEOVER_STEP_MS = 250
TAKEOVER_RANKS = 8
# A parent waits this much longer than its children, so that a missing reply at one
# level does not cause time-outs at the levels above it.
LEVEL_WAIT_MS = 40
MAX_LEVELS = 7
WINDOW_MS = 2000
SUSPECT_MS = 10_000
MAX_ROUNDS = 64
POSITION_RANGE = 2**32
ROUND_BITS = 32


class MeanRequest(msgspec.Struct, tag=10, array_like=True, frozen=True):
    """Request the sums over the members in a hash interval.

    Includes the newest mean known to the sender, in case the result message was lost.
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
    """Sums over an interval: tokens, squared tokens per weight, weight and members."""

    round: int
    load: int
    squares: int
    weight: float
    members: int


class MeanResult(msgspec.Struct, tag=12, array_like=True, frozen=True):
    """Mean load of the pool as of ``age_ms`` ago, with its standard error."""

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
    """State of a round in which this node takes part."""

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
    pending: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Measurement:
    """Result of one round."""

    at_ms: int
    mean: float
    error: float
    own_load: float


class PoolMean:
    """One sidecar's part in computing the pool mean.

    The owner updates ``tokens`` (the outstanding work) and ``weight`` when they
    change, calls ``tick`` at ``wake_ms`` and ``receive`` for each datagram, and sends
    the messages that they return.
    """

    def __init__(
        self, address: str, clock: Clock, random: Random, weight: float = 1.0
    ) -> None:
        self.address = address
        self.clock = clock
        self.random = random
        self.weight = weight
        self.tokens = 0.0
        # Without a member list a node replies to requests, but starts no rounds.
        self.has_member_list = False
        self.orders = [
            [(tree_position(tree, address), address)] for tree in range(TREES)
        ]
        self.ranks = [0] * TREES
        self.rounds: dict[int, Round] = {}
        self.open_rounds: dict[int, Round] = {}
        self.measurements: deque[Measurement] = deque()
        self.suspects: dict[str, int] = {}
        now = clock.now_ms()
        self.last_round_ms = [
            now + tree * ROUND_MS - TREE_PERIOD_MS for tree in range(TREES)
        ]

    def set_members(self, addresses: Iterable[str]) -> None:
        """Replace the list of the pool's sidecars."""
        self.has_member_list = True
        members = {self.address, *addresses}
        for tree in range(TREES):
            order = sorted((tree_position(tree, a), a) for a in members)
            self.orders[tree] = order
            own = (tree_position(tree, self.address), self.address)
            self.ranks[tree] = bisect_left(order, own)
        self.suspects = {a: t for a, t in self.suspects.items() if a in members}

    def estimate(self) -> MeanEstimate | None:
        """Return an estimate of the mean, or nothing before the first result."""
        if not self.measurements:
            return None
        newest = self.measurements[-1]
        means = [
            m.mean for m in self.measurements if m.at_ms >= newest.at_ms - WINDOW_MS
        ]
        return MeanEstimate(
            mean=newest.mean,
            age_ms=self.clock.now_ms() - newest.at_ms,
            spread=max(means) - min(means),
            own_load=newest.own_load,
            error=newest.error,
        )

    @property
    def wake_ms(self) -> int:
        """Return the time at which ``tick`` must be called next."""
        due = [r.due_ms for r in self.open_rounds.values()]
        return min([self.next_start_ms(tree) for tree in range(TREES)] + due)

    def next_start_ms(self, tree: int) -> int:
        """Return when this node would start a round as the root of the tree."""
        rank = self.ranks[tree]
        if rank >= TAKEOVER_RANKS or not self.has_member_list:
            return self.clock.now_ms() + TREE_PERIOD_MS
        if rank:
            # Rounds of one tree are sufficient, so a node takes over only when no tree
            # has had a round for too long.
            delay = TREE_PERIOD_MS + ROUND_MS + rank * TAKEOVER_STEP_MS
            return max(self.last_round_ms) + delay
        if tree and self.last_round_ms[tree - 1] > self.last_round_ms[tree]:
            # Keep the rounds of the two trees half a period apart.
            return self.last_round_ms[tree - 1] + ROUND_MS
        return self.last_round_ms[tree] + TREE_PERIOD_MS

    def tick(self) -> list[Outgoing]:
        """Start due rounds and finish rounds whose waiting time has passed."""
        now = self.clock.now_ms()
        sent = []
        for number, current in list(self.open_rounds.items()):
            if now >= current.due_ms:
                for child in current.pending:
                    self.suspects[child] = now + SUSPECT_MS
                sent += self.finish(number, current)
        for tree in range(TREES):
            if now >= self.next_start_ms(tree):
                sent += self.start_round(tree)
        return sent

    def start_round(self, tree: int) -> list[Outgoing]:
        """Start a round as the root of a tree."""
        number = self.random.getrandbits(ROUND_BITS)
        request = MeanRequest(
            tree, number, 0, POSITION_RANGE, LEVEL_WAIT_MS * MAX_LEVELS
        )
        return self.join(request, parent="")

    def receive(self, message: MeanMessage, sender: str) -> list[Outgoing]:
        """Handle a datagram from another sidecar."""
        self.suspects.pop(sender, None)
        if isinstance(message, MeanRequest):
            return self.receive_request(message, sender)
        current = self.rounds.get(message.round)
        if current is None:
            return []
        if isinstance(message, MeanReply):
            return self.receive_reply(message, sender, current)
        if sender != current.parent:
            return []
        return self.publish(current, message)

    def receive_request(self, request: MeanRequest, sender: str) -> list[Outgoing]:
        """Join a round, or reply with zero sums if this node is already in it."""
        if request.round in self.rounds or not 0 <= request.tree < TREES:
            return [Outgoing(sender, MeanReply(request.round, 0, 0, 0.0, 0))]
        return self.join(request, sender)

    def join(self, request: MeanRequest, parent: str) -> list[Outgoing]:
        """Count this node and send requests for the rest of the interval."""
        now = self.clock.now_ms()
        self.last_round_ms[request.tree] = now
        self.drop_old_rounds()
        own_load = self.tokens / self.weight
        if request.age_ms >= 0:
            self.record(
                Measurement(now - request.age_ms, request.mean, request.error, own_load)
            )
        requests = self.split(request) if request.wait_ms > 0 else []
        current = Round(
            tree=request.tree,
            parent=parent,
            started_ms=now,
            due_ms=now + request.wait_ms,
            children=[r.address for r in requests],
            own_load=own_load,
            load=self.tokens,
            squares=self.tokens * self.tokens / self.weight,
            weight=self.weight,
            members=1,
            pending={r.address for r in requests},
        )
        self.rounds[request.round] = self.open_rounds[request.round] = current
        return requests or self.finish(request.round, current)

    def drop_old_rounds(self) -> None:
        """Drop the oldest rounds to bound the memory."""
        while len(self.rounds) >= MAX_ROUNDS:
            number = next(iter(self.rounds))
            del self.rounds[number]
            self.open_rounds.pop(number, None)

    def split(self, request: MeanRequest) -> list[Outgoing]:
        """Divide the interval among up to four children and return the requests.

        No part contains this node's own position. Otherwise a child could send its
        request back to this node, and the members of that part would be missed.
        """
        order, rank = self.orders[request.tree], self.ranks[request.tree]
        own = order[rank][0]
        first = bisect_left(order, (request.low, ""))
        last = bisect_left(order, (request.high, ""))
        below = order[first : min(rank, last)]
        above = order[max(rank + 1, first) : last]
        share = round(FAN_OUT * len(below) / max(1, len(below) + len(above)))
        max_below = min(FAN_OUT - 1, max(1, share)) if above else FAN_OUT
        max_above = FAN_OUT - min(max_below, len(below))
        wait_ms = max(0, request.wait_ms - LEVEL_WAIT_MS)
        now = self.clock.now_ms()
        newest_mean = self.known_mean(now)
        requests = []
        for members, max_parts, start, end in (
            (below, max_below, request.low, min(own, request.high)),
            (above, max_above, max(own + 1, request.low), request.high),
        ):
            for part, low, high in divide_interval(members, max_parts, start, end):
                child = self.choose_child(part, now)
                message = MeanRequest(
                    request.tree, request.round, low, high, wait_ms, *newest_mean
                )
                requests.append(Outgoing(child, message))
        return requests

    def known_mean(self, now_ms: int) -> tuple[int, int, int]:
        """Return the newest mean, its error and its age, for use in requests."""
        if not self.measurements:
            return 0, 0, -1
        newest = self.measurements[-1]
        return round(newest.mean), math.ceil(newest.error), now_ms - newest.at_ms

    def choose_child(self, part: list[tuple[int, str]], now_ms: int) -> str:
        """Return the first member of a part that is not suspected to be dead."""
        for _, address in part:
            if self.suspects.get(address, 0) <= now_ms:
                return address
        return part[0][1]

    def receive_reply(
        self, reply: MeanReply, sender: str, current: Round
    ) -> list[Outgoing]:
        """Add the sums of a child and finish the round if it was the last reply."""
        if reply.round not in self.open_rounds or sender not in current.pending:
            return []
        current.pending.discard(sender)
        current.load += reply.load
        current.squares += reply.squares
        current.weight += reply.weight
        current.members += reply.members
        return [] if current.pending else self.finish(reply.round, current)

    def finish(self, number: int, current: Round) -> list[Outgoing]:
        """Reply to the parent, or publish the result if this node is the root."""
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
        """Publish the mean unless it covers less than half of the pool."""
        listed_members = len(self.orders[current.tree])
        if current.members * 2 < listed_members or current.weight <= 0:
            return []
        mean = current.load / current.weight
        variance = max(0.0, current.squares / current.weight - mean * mean)
        missing_share = max(0.0, 1 - current.members / listed_members)
        error = math.sqrt(variance / current.members * missing_share)
        age_ms = self.clock.now_ms() - current.started_ms
        result = MeanResult(number, round(mean), math.ceil(error), age_ms)
        return self.publish(current, result)

    def publish(self, current: Round, result: MeanResult) -> list[Outgoing]:
        """Record a result and send it to the children."""
        at_ms = self.clock.now_ms() - result.age_ms
        self.record(Measurement(at_ms, result.mean, result.error, current.own_load))
        return [Outgoing(child, result) for child in current.children]

    def record(self, measurement: Measurement) -> None:
        """Record a measurement if it is newer than all recorded ones."""
        if self.measurements and measurement.at_ms <= self.measurements[-1].at_ms:
            return
        self.measurements.append(measurement)
        while self.measurements[0].at_ms < measurement.at_ms - WINDOW_MS:
            self.measurements.popleft()


def divide_interval(
    members: list[tuple[int, str]], max_parts: int, low: int, high: int
) -> list[tuple[list[tuple[int, str]], int, int]]:
    """Divide members and their interval into up to ``max_parts`` similar parts."""
    parts = min(max_parts, len(members))
    divided = []
    for part in range(parts):
        start = part * len(members) // parts
        end = (part + 1) * len(members) // parts
        first = low if part == 0 else members[start][0]
        last = high if part == parts - 1 else members[end][0]
        divided.append((members[start:end], first, last))
    return divided


def tree_position(tree: int, address: str) -> int:
    """Return the hash that orders a member in a tree."""
    return xxh32_intdigest(address.encode(), seed=tree)

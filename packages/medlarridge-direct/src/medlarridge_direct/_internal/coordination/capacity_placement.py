"""Order in which servers are tried, by what each of them takes well.

Used in place of ``Placement.rank`` for pools whose capacity is learned. Load counts in
units of work, and a request with a prompt goes where its response is expected soonest.

Routers see late figures. If each took the best server by them, all would send it their
requests until the next reports. So a server is drawn, with a probability that falls with
its load, and a late holder of a prompt keeps a share of its requests.
"""

import sys
from collections.abc import Sequence, Set
from math import log
from statistics import median

from msgspec import Struct

from ..protocol.requests import PromptPart
from ..protocol.servers import BackendServer
from .hashing import hash_to_fraction
from .placement import (
    COLD_LOAD_FACTOR,
    MIN_FETCH_TOKENS,
    Placement,
)
from .prompt_cache_index import affinity_key, shared_prefix
from .server_capacity import ServerCapacity
from .server_estimate import MIN_SHARE

FIGURES_AGE_MS = 400
AGE_PER_PEER_MS = 4
"""Age of the figures of other routers that is reckoned with, and what each router adds:
half of the time by which it lengthens the interval of reports."""

MIN_GAIN = 0.7
MAX_GAIN = 6.0
"""Bounds of the power of the load with which the probability of a server falls. Below 1,
loads do not swing however late the figures are. A higher power balances better; it is
used where requests last longer than the age of the figures."""

OWN_GAIN = 3.0
OWN_SLOWNESS_POWER = 0.5
"""Powers for the requests of the router itself, which are known without delay, and for the
slowness as their unit of work. With 0, a server that slows down before it is full keeps as
many in flight as others; with 1, it is filled and left in turn, as estimates are late."""

FETCH_COST = 0.2
"""Time for a cached token that is fetched from another server, in relation to processing
it again. Transfers wait behind others on both links, so this is several times the ratio of
the plain rates."""

OUTPUT_WEIGHT = 0.25
"""Part of the usual duration of a request that a server of the slowness 2, or one with
all slots taken, costs as late events, beside the time to the first one."""

KEEP_MARGIN = 1.2
KEEP_MARGIN_MS = 20
"""Multiple of the best other server's cost, and time beyond it, up to which a holder of a
prompt keeps its requests. Moving to and fro would cost both servers."""


class CandidateCost(Struct, eq=False):
    """A server, its rank among those that may be chosen, and what it costs.

    ``barred`` orders servers by what speaks against them. ``load`` are the requests in
    flight with this one, for each slot, and ``work`` the same in units of work.
    ``cost_ms`` is the time to the first event, and a part of that by which later events
    are late.
    """

    server: BackendServer
    barred: tuple[bool, ...]
    load: float
    slowness: float
    cost_ms: float = 0.0

    @property
    def work(self) -> float:
        """Return the load in units of work."""
        return self.load * self.slowness


class CapacityPlacement:
    """Ranks the servers of a pool whose capacity is learned.

    ``cold`` is as for ``Placement.rank``.
    """

    def __init__(
        self,
        placement: Placement,
        capacity: ServerCapacity,
        cold: Set[str] | None = None,
    ) -> None:
        self.placement = placement
        self.capacity = capacity
        self.cold = cold

    def rank(
        self,
        servers: Sequence[BackendServer],
        prompt: Sequence[PromptPart],
        failing: Set[str],
        limit: float,
        limited: Set[str],
    ) -> list[BackendServer]:
        """Return the servers in the order in which they should be tried.

        ``failing``, ``limit`` and ``limited`` are as for ``Placement.rank``.
        """
        key = affinity_key(prompt)
        holders = {} if key is None else self.placement.cache_index.holders(key)
        candidates = [
            self.candidate(server, failing, limit, limited, prompt, holders)
            for server in servers
        ]
        if key is None or not candidates:
            chosen = self.choose_by_work(candidates)
        else:
            for each, cost_ms in zip(
                candidates, self.costs(candidates, prompt), strict=True
            ):
                each.cost_ms = cost_ms
            chosen = self.choose_by_cost(candidates, key, holders)
        ranked = sorted(
            candidates,
            key=lambda each: (
                each is not chosen,
                each.barred,
                each.cost_ms,
                each.work,
            ),
        )
        return [candidate.server for candidate in ranked]

    def candidate(
        self,
        server: BackendServer,
        failing: Set[str],
        limit: float,
        limited: Set[str],
        prompt: Sequence[PromptPart],
        holders: dict,
    ) -> CandidateCost:
        """Return a server with its load.

        The limit by count holds in any case. Servers over it in units of work, or with
        all slots taken, come after others unless they hold the prompt.
        """
        instance = server.instance
        in_flight = self.placement.load.in_flight(instance)
        slowness = self.capacity.slowness(instance)
        slots = max(server.slots, 1)
        is_holder = instance in holders
        barred = (
            in_flight + 1 > limit,
            instance in failing,
            bool(prompt) and instance in limited and not is_holder,
            not is_holder
            and (
                self.is_over((in_flight + 1) * slowness, limit, server.pool)
                or self.is_over(in_flight + 1, slots, server.pool)
            ),
        )
        load = (in_flight + 1) / slots
        is_cold = server.cold_ms > 0 if self.cold is None else instance in self.cold
        if is_cold:
            load *= COLD_LOAD_FACTOR
        return CandidateCost(server, barred, load, slowness)

    def is_over(self, load: float, bound: float, pool: str) -> bool:
        """Return whether a load counts as over a bound, by a draw.

        With a sharp bound, routers with late figures would all leave a server together
        and come back together.
        """
        if load <= bound:
            return False
        kept = (bound / load) ** self.gain(pool)
        return self.placement.random.random() >= kept

    def choose_by_work(
        self, candidates: Sequence[CandidateCost]
    ) -> CandidateCost | None:
        """Draw a server; one with less work for its slots is more probable.

        A slower server gets its share, and less of that the more it has in flight. What
        this router itself has there is known at once and counts more.
        """
        if not candidates:
            return None
        eligible = least_barred(candidates)
        gain = self.gain(eligible[0].server.pool)
        mean_slots = sum(each.server.slots for each in eligible) / len(eligible)
        weights = [
            self.capacity.share(each.server.instance)
            * each.load**-gain
            * self.own_work(each, mean_slots) ** -OWN_GAIN
            for each in eligible
        ]
        return self.placement.random.choices(eligible, weights)[0]

    def own_work(self, candidate: CandidateCost, mean_slots: float) -> float:
        """Return 1 and this router's requests at a server, in units of work."""
        server = candidate.server
        own = self.placement.load.own_in_flight(server.instance)
        unit = candidate.slowness**OWN_SLOWNESS_POWER
        return 1 + own * unit * mean_slots / max(server.slots, 1)

    def gain(self, pool: str) -> float:
        """Return the power of the load with which the probability of a server falls."""
        return self.gain_for(self.capacity.usual_duration_ms(pool))

    def gain_for(self, time_ms: float) -> float:
        """Return the gain for loads that change within a time."""
        age_ms = FIGURES_AGE_MS + AGE_PER_PEER_MS * len(self.placement.load.peers)
        return max(MIN_GAIN, min(time_ms / age_ms, MAX_GAIN))

    def costs(
        self, candidates: Sequence[CandidateCost], prompt: Sequence[PromptPart]
    ) -> list[float]:
        """Return what a prompt costs at each of the candidates.

        What another server caches is fetched.
        """
        cached = self.cached_tokens(prompt)
        most = max(cached.values(), default=0)
        total = sum(part.tokens for part in prompt)
        output_ms = OUTPUT_WEIGHT * self.capacity.usual_duration_ms(
            candidates[0].server.pool
        )
        costs = []
        for candidate in candidates:
            server, slowness = candidate.server, candidate.slowness
            own = cached.get(server.instance, 0)
            tokens = total - own
            if most - own >= MIN_FETCH_TOKENS:
                tokens = total - most + round(FETCH_COST * (most - own))
            first_ms = slowness * self.capacity.usual_first_ms(server, tokens)
            late = candidate.work + max(slowness - 1, 0)
            costs.append(first_ms + output_ms * late)
        return costs

    def cached_tokens(self, prompt: Sequence[PromptPart]) -> dict[str, int]:
        """Return how many tokens at the start of a prompt each server caches."""
        cached: dict[str, int] = {}
        holding: Set[str] | None = None
        for part in shared_prefix(prompt):
            holders = self.placement.cache_index.holders(part.part_id).keys()
            holding = holders if holding is None else holding & holders
            if not holding:
                break
            for instance in holding:
                cached[instance] = cached.get(instance, 0) + part.tokens
        return cached

    def choose_by_cost(
        self, candidates: Sequence[CandidateCost], key: str, holders: dict
    ) -> CandidateCost | None:
        """Choose the holder of a prompt unless another server responds sooner."""
        if not candidates:
            return None
        eligible = least_barred(candidates)
        holding = [each for each in eligible if each.server.instance in holders]
        others = [each for each in eligible if each.server.instance not in holders]
        holder, other = least_cost(holding), self.choose_new(others, key)
        if holder is None or other is None:
            return holder or other
        if holder.cost_ms <= KEEP_MARGIN * other.cost_ms + KEEP_MARGIN_MS:
            return holder
        kept = min(
            self.capacity.share(holder.server.instance),
            other.cost_ms / holder.cost_ms,
        )
        keeps = self.placement.random.random() < max(kept, MIN_SHARE)
        return holder if keeps else other

    def choose_new(
        self, candidates: Sequence[CandidateCost], key: str
    ) -> CandidateCost | None:
        """Choose a server for a prompt that none of them caches.

        The draw is by weighted rendezvous hashing: different prompts spread like random
        numbers, and routers with about the same figures send one prompt to the same
        server.
        """
        if not candidates:
            return None
        least_ms = max(min(each.cost_ms for each in candidates), 1.0)
        gain = self.gain_for(median(each.cost_ms for each in candidates))

        def score(candidate: CandidateCost) -> float:
            weight = (least_ms / max(candidate.cost_ms, 1.0)) ** gain
            fraction = hash_to_fraction(key, candidate.server.instance)
            return -log(max(fraction, sys.float_info.min)) / weight

        return min(candidates, key=score)


def least_barred(candidates: Sequence[CandidateCost]) -> list[CandidateCost]:
    """Return the candidates that least speaks against."""
    best = min(each.barred for each in candidates)
    return [each for each in candidates if each.barred == best]


def least_cost(candidates: Sequence[CandidateCost]) -> CandidateCost | None:
    """Return the candidate of least cost, at equal costs the one with least work."""
    return min(candidates, key=lambda each: (each.cost_ms, each.work), default=None)

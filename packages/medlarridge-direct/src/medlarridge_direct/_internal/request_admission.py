"""Admission of one request: what the router knows of its pool, and the decision."""

from collections.abc import Sequence

from .components import RouterComponents
from .coordination.admission import Applicant, Refusal
from .coordination.hashing import instance_key
from .coordination.load_view import PEER_REPORT_TTL_MS
from .coordination.refused_shares import (
    QUEUE_PER_SLOT,
    Occupancy,
    PoolView,
)
from .coordination.request_rates import MAX_RANK
from .peer_reports import INTERVAL_PER_PEER_MS
from .protocol.accepted_request import AcceptedRequest
from .protocol.configuration import Pool, effective_priority
from .protocol.requests import PromptPart
from .protocol.servers import BackendServer
from .server_selection import servers_that_accept

MAX_COMPARED = 16
"""Servers that are compared to find the best one. They come in the order in which they
would be tried, so that further ones are hardly better, and a large pool costs no more."""


class RequestAdmission:
    """Asks whether one request may be sent to a server.

    ``refusal`` is the last decision, None if the request was admitted.
    """

    def __init__(self, components: RouterComponents, accepted: AcceptedRequest) -> None:
        self.components = components
        self.accepted = accepted
        self.applicant: Applicant | None = None
        self.refusal: Refusal | None = None

    def is_active(self, pool: Pool) -> bool:
        """Return whether a pool has admission."""
        return self.components.admission.is_active(
            self.components.capacity.is_active(pool)
        )

    def check(
        self,
        pool: Pool,
        ranked: Sequence[BackendServer],
        prompt: Sequence[PromptPart],
        may_have_run: bool,
    ) -> Refusal | None:
        """Return why the request is not sent to one of some servers, or None if it is.

        One that may have run is refused only if its response would come too late.
        """
        if not self.is_active(pool) or not ranked:
            return None
        admission = self.components.admission
        if self.applicant is None:
            self.applicant = self.create_applicant(pool)
            admission.count_request(self.applicant)
        self.applicant.remaining_ms = self.remaining_ms()
        view = self.view_pool(pool, ranked, prompt)
        self.refusal = admission.check(self.applicant, view, may_have_run)
        return self.refusal

    def remaining_ms(self) -> int:
        """Return the time that is left before the deadline."""
        return self.accepted.deadline_at_ms - self.components.clock.now_ms()

    def create_applicant(self, pool: Pool) -> Applicant:
        """Return the request as the admission sees it.

        Requests without a body are often equal, so that another client's request cannot
        be told from one that is repeated.
        """
        accepted = self.accepted
        rank = effective_priority(accepted.route, accepted.account)
        return Applicant(
            pool=pool.name,
            rank=min(max(rank, 0), MAX_RANK),
            account="" if accepted.account is None else accepted.account.name,
            objective_ms=accepted.route.objective_ms,
            remaining_ms=self.remaining_ms(),
            draw=self.components.random.random(),
            repeat_key=accepted.fingerprint if accepted.request.body else None,
        )

    def count_answer(self) -> None:
        """Count the answer, which begins, of a request that was counted."""
        if self.applicant is not None:
            self.components.admission.rates.count_answer(self.applicant.pool)

    # What the router knows of the pool

    def view_pool(
        self, pool: Pool, ranked: Sequence[BackendServer], prompt: Sequence[PromptPart]
    ) -> PoolView:
        """Return the state of a pool, with the times at the best server for the request."""
        occupancy = self.components.admission.occupancy(
            pool.name, lambda: self.measure_occupancy(pool)
        )
        # Without pressure, the others matter only if the first one is too late.
        compared = ranked[:1] if occupancy.has_room else ranked[:MAX_COMPARED]
        times = [self.expected_times(pool, server, prompt) for server in compared]
        if len(compared) < len(ranked) and sum(times[0]) > self.remaining_ms():
            compared = ranked[:MAX_COMPARED]
            times = [self.expected_times(pool, server, prompt) for server in compared]
        wait_ms, service_ms = min(times, key=sum)
        usual_wait_ms = mean_of_lower_half([wait_ms for wait_ms, _ in times])
        return PoolView(
            occupancy,
            wait_ms=wait_ms,
            service_ms=service_ms,
            usual_wait_ms=usual_wait_ms,
            queued_share=mean_of_lower_half(
                [self.queued_share(server) for server in compared]
            ),
            order_by_rank=pool.runs_models,
        )

    def expected_times(
        self, pool: Pool, server: BackendServer, prompt: Sequence[PromptPart]
    ) -> tuple[float, float]:
        """Return how long a request waits at a server, and the rest to its first event.

        It waits for the prompts before it, and for a slot if all are taken.
        """
        capacity = self.components.capacity
        expected_ms = capacity.expected_first_ms(
            server,
            self.uncached_tokens(prompt, server),
            self.accepted.route.name,
        )
        slots = max(server.slots, 1)
        excess = max(self.components.load.in_flight(server.instance) + 1 - slots, 0)
        wait_ms = (
            capacity.usual_duration_ms(pool.name)
            * (excess / slots)
            * capacity.slowness(server.instance)
        )
        if pool.runs_models:
            wait_ms += capacity.backlog_ms(server.instance)
        wait_ms = min(wait_ms, expected_ms)
        return wait_ms, expected_ms - wait_ms

    def uncached_tokens(
        self, prompt: Sequence[PromptPart], server: BackendServer
    ) -> int:
        """Return the tokens of the prompt that a server has to process."""
        metadata = self.accepted.metadata
        tokens = metadata.prompt_tokens or sum(part.tokens for part in metadata.prompt)
        cache_index = self.components.placement.cache_index
        return max(tokens - cache_index.cached_tokens(prompt, server.instance), 0)

    def queued_share(self, server: BackendServer) -> float:
        """Return how full the queue of a server is."""
        slots = max(server.slots, 1)
        return max(self.load(server) - slots, 0) / (QUEUE_PER_SLOT * slots)

    def load(self, server: BackendServer) -> float:
        """Return the attempts in flight at a server, also of routers not heard lately.

        With many routers, some report less often than a report counts.
        """
        load = self.components.load
        key = instance_key(server.instance)
        interval_ms = INTERVAL_PER_PEER_MS * (self.components.fleet_size.count - 1)
        scale = max(interval_ms / PEER_REPORT_TTL_MS, 1.0)
        return load.own.get(key, 0) + scale * load.peer_totals.get(key, 0)

    def measure_occupancy(self, pool: Pool) -> Occupancy:
        """Return how far the usable servers of a pool are taken."""
        occupancy = Occupancy(self.components.clock.now_ms())
        for server in servers_that_accept(self.components, pool):
            load, slots = self.load(server), max(server.slots, 1)
            occupancy.slots += slots
            occupancy.taken += min(load, slots)
            occupancy.waiting += max(load - slots, 0)
        return occupancy


def mean_of_lower_half(values: Sequence[float]) -> float:
    """Return the mean of the lower half of some values, of more than half if they are odd."""
    lower = sorted(values)[: (len(values) + 1) // 2]
    return sum(lower) / len(lower)

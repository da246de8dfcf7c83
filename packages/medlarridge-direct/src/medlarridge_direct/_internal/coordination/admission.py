"""Admission of requests to a pool that has too little capacity for all of them.

Nothing waits here: a request is sent on at once or refused at once, without having run.
Less urgent requests are refused only if more urgent ones would miss their objective
otherwise, and an account only for what it sends beyond its usual rate. Each router draws
by the share that the whole fleet has to refuse, so no counter is shared. Why, and what
was weighed: docs/design/admission.md.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from random import Random

from msgspec import Struct

from medlarridge._internal.clock import MS_PER_S, Clock

from ..settings import Switch
from .fleet_size import FleetSize
from .refused_shares import DECISION_INTERVAL_MS, Occupancy, PoolView, RefusedShares
from .request_rates import RequestRates, account_key
from .return_times import USEFUL_SHARE, ReturnTimes

DEADLINE_MARGIN = 1.25
ROOM_DEADLINE_MARGIN = 2.0
"""Factors by which an estimate must exceed the time left, since a wrong refusal costs the
whole answer. While the pool has room, a request that is late after all delays no other."""

MIN_USEFUL_MS = 100
"""A client that would have to return sooner is not refused by rank or account: too little
time is left for a second try."""

MAX_STEP_MS = 10_000
"""Longest time between two clients that one router lets return."""

QUIET_MS = 5_000
"""Time without a refusal by rank or account after which a pool counts as relieved."""


class RefusalReason(StrEnum):
    """Reasons for which a request is not admitted."""

    LATE = "expected-too-late"
    RANK = "more-urgent-requests"
    ACCOUNT = "account-over-its-rate"


class Refusal(Struct, frozen=True):
    """A refusal, when the client may return, and what the decision was based on."""

    reason: RefusalReason
    retry_after_ms: int
    details: Mapping[str, object] = {}


class AdmissionChange(Struct, frozen=True):
    """A pool began or ended to refuse requests by rank or account."""

    pool: str
    refuses: bool
    details: Mapping[str, object] = {}


class Applicant(Struct):
    """A request that asks for admission.

    ``repeat_key`` identifies it when the client repeats it, None if nothing does. The
    ``draw`` is the same for all attempts, so that each of them does not add a chance of
    being refused.
    """

    pool: str
    rank: int
    account: str
    objective_ms: int
    remaining_ms: int
    draw: float
    repeat_key: int | None = None


class PoolAdmission(Struct):
    """State of one pool: what to refuse, when to return, and the last refusal.

    ``reported`` tells that the beginning of the refusals was reported as a change, and
    ``refused`` how many there were since.
    """

    shares: RefusedShares
    returns: ReturnTimes
    occupancy: Occupancy | None = None
    refused_ms: int | None = None
    refused: int = 0
    reported: bool = False
    details: Mapping[str, object] = {}


class Admission:
    """Decides which requests this router sends on.

    ``switch`` is the setting.
    """

    def __init__(self, clock: Clock, random: Random, fleet_size: FleetSize) -> None:
        self.clock = clock
        self.random = random
        self.fleet_size = fleet_size
        self.switch = Switch.AUTO
        self.rates = RequestRates(clock, fleet_size)
        self.pools: dict[str, PoolAdmission] = {}

    def is_active(self, called_for: bool) -> bool:
        """Return whether a pool has admission, if its load ``called_for`` it or not."""
        return called_for if self.switch is Switch.AUTO else self.switch is Switch.ON

    def pool(self, name: str) -> PoolAdmission:
        """Return the state of a pool."""
        state = self.pools.get(name)
        if state is None:
            state = PoolAdmission(
                RefusedShares(self.clock, name, self.rates),
                ReturnTimes(self.clock, self.random),
            )
            self.pools[name] = state
        return state

    def occupancy(self, name: str, measure: Callable[[], Occupancy]) -> Occupancy:
        """Return how far a pool is taken, measured at most every 50 ms.

        That takes time in proportion to the servers of the pool.
        """
        state = self.pool(name)
        if (
            state.occupancy is None
            or self.clock.now_ms() - state.occupancy.measured_ms >= DECISION_INTERVAL_MS
        ):
            state.occupancy = measure()
        return state.occupancy

    def count_request(self, applicant: Applicant) -> None:
        """Count a request of a client, once, before it is decided on."""
        state = self.pool(applicant.pool)
        place = state.returns.find(applicant.repeat_key)
        if place is not None and not state.returns.is_early(place):
            self.rates.count_return(applicant.pool, applicant.rank)
        else:
            self.rates.count(applicant.pool, applicant.rank, applicant.account)
        state.shares.record_objective(applicant.rank, applicant.objective_ms)

    def check(
        self, applicant: Applicant, view: PoolView, may_have_run: bool = False
    ) -> Refusal | None:
        """Return why a request is not sent on, or None if it is.

        One that may have run is not refused by rank or account, as its client could not
        repeat it.
        """
        state = self.pool(applicant.pool)
        shares = state.shares.current(view)
        has_room = view.occupancy.has_room
        margin = ROOM_DEADLINE_MARGIN if has_room else DEADLINE_MARGIN
        if view.expected_ms > margin * applicant.remaining_ms:
            # The client still has two thirds of its time when it returns.
            delay_ms = view.expected_ms - (1 - USEFUL_SHARE) * applicant.remaining_ms
            return self.refuse(RefusalReason.LATE, applicant, view, delay_ms)
        if has_room or may_have_run:
            return None
        account = account_key(applicant.pool, applicant.rank, applicant.account)
        of_rank = shares.by_rank.get(applicant.rank, 0.0)
        of_account = shares.by_account.get(account, 0.0)
        share = 1 - (1 - of_rank) * (1 - of_account)
        if share <= 0 or USEFUL_SHARE * applicant.remaining_ms < MIN_USEFUL_MS:
            return None
        if applicant.draw >= state.returns.adjust_share(share, applicant.repeat_key):
            return None
        delay_ms = view.expected_ms - state.shares.objective_ms(applicant.rank)
        by_account = of_account > of_rank
        reason = RefusalReason.ACCOUNT if by_account else RefusalReason.RANK
        state.refused_ms = self.clock.now_ms()
        state.refused += 1
        refusal = self.refuse(reason, applicant, view, max(delay_ms, 0.0))
        state.details = refusal.details
        return refusal

    def refuse(
        self,
        reason: RefusalReason,
        applicant: Applicant,
        view: PoolView,
        delay_ms: float,
    ) -> Refusal:
        """Return a refusal, with a place among those that may return."""
        state = self.pool(applicant.pool)
        shares = state.shares.current(view)
        own_per_s = state.shares.takes_per_s / max(self.routers, 1)
        step_ms = MS_PER_S / max(own_per_s, MS_PER_S / MAX_STEP_MS)
        retry_after_ms = state.returns.assign(
            applicant.repeat_key,
            applicant.rank,
            delay_ms,
            step_ms,
            applicant.remaining_ms,
        )
        details = {
            "rank": applicant.rank,
            "left_ms": applicant.remaining_ms,
            "expected_ms": round(view.expected_ms),
            "pressure": round(shares.pressure, 2),
            "refused_share": round(shares.by_rank.get(applicant.rank, 0.0), 2),
            "slots": view.occupancy.slots,
            "taken": round(view.occupancy.taken),
            "waiting": round(view.occupancy.waiting),
            "demand_per_s": round(shares.demand_per_s, 1),
            "answered_per_s": round(shares.answered_per_s, 1),
            "routers_heard": len(self.rates.peers) + 1,
        }
        return Refusal(reason, retry_after_ms, details)

    @property
    def routers(self) -> int:
        """Return how many routers share the load, as far as this one knows."""
        if self.fleet_size.confirmed_ms is None:
            return len(self.rates.peers) + 1
        return self.fleet_size.count

    # What operators see

    def expire(self) -> list[AdmissionChange]:
        """Drop old counts; return which pools began or ended to refuse requests."""
        self.rates.expire()
        changes = []
        for name, state in self.pools.items():
            refuses = self.is_refusing(state)
            if refuses != state.reported:
                state.reported = refuses
                details = state.details if refuses else {"refused": state.refused}
                changes.append(AdmissionChange(name, refuses, details))
                if not refuses:
                    state.refused = 0
        return changes

    def is_refusing(self, state: PoolAdmission) -> bool:
        """Return whether requests to a pool were refused by rank or account lately."""
        return (
            state.refused_ms is not None
            and self.clock.now_ms() - state.refused_ms < QUIET_MS
        )

    @property
    def refusing(self) -> list[str]:
        """Return the pools to which requests are refused by rank or account."""
        return [name for name, state in self.pools.items() if self.is_refusing(state)]

    def pressure(self) -> float:
        """Return the largest pressure of the pools that refuse requests."""
        return max(
            (
                state.shares.decided.pressure
                for state in self.pools.values()
                if state.shares.decided is not None and self.is_refusing(state)
            ),
            default=0.0,
        )

    def refused_share(self) -> float:
        """Return the largest share of a rank that is refused now."""
        return max(
            (
                share
                for state in self.pools.values()
                if state.shares.decided is not None and self.is_refusing(state)
                for share in state.shares.decided.by_rank.values()
            ),
            default=0.0,
        )

"""Shares of the requests to a pool that the fleet has to refuse, by rank and account.

All routers derive them from the same reported figures, and each draws by them for its own
requests.
"""

from collections.abc import Mapping
from math import exp

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from .request_rates import MAX_RANK, RequestRates
from .usual_rates import UsualRates

START_PRESSURE = 0.8
"""Pressure at which refusals begin. It is below 1, as the figures of servers are up to
0.8 s old when they arrive."""

LOW_PRESSURE = 0.2
HIGH_PRESSURE = 1.2
MAX_ADMITTED = 1.3
MIN_ADMITTED = 0.6
"""Multiples of what the pool takes that are admitted once refusals have begun, at a low
and at a high pressure and evenly between: just what it takes at 0.7, as the queues of
servers differ, and urgent requests also meet the longer ones. More would fill the queues
again before the next reports; less leaves servers idle."""

RELIEF_MS = 1_000
"""Time without need for refusals, or at a low pressure, after which they have ended."""

CAPACITY_DECAY_MS = 5_000
"""Time in which the largest rate of answers is forgotten. A shorter one takes the gaps
that refusals leave for a loss of servers."""

QUEUE_PER_SLOT = 4
"""Requests that a server queues for each of its slots before it takes no more."""

FULL_QUEUE_SHARE = 0.75
"""Part of a queue at which the pressure is 1: beyond it, a burst between two reports fills
the queue, and the server refuses urgent requests as well."""

FLOOR = 0.1
"""Part of what the pool takes that a rank keeps, and of its requests that an account
keeps."""

MIN_ADMITTED_SHARE = 0.02
"""Part of its requests that a rank keeps in any case: without any, nobody would find out
that a pool which answered nothing works again."""

USUAL_TRIES = 3
"""Times that a client sends a request which is refused. Those of an account over its rate
come again, so with a share p refused each time, 1 - p ** 3 of them are admitted."""

MIN_WAIT_SHARE = 0.25
"""Part of an objective that may be spent waiting, also if the work takes all of it."""

DECISION_INTERVAL_MS = 50
"""Interval of the decisions. The counts of one second that they rest on hardly change in
less."""

SERVICE_WEIGHT = 0.1
"""Weight of the newest request in the average time of the work itself."""


class Occupancy(Struct):
    """Slots of the usable servers of a pool, those taken, and the requests beyond them."""

    measured_ms: int
    slots: int = 0
    taken: float = 0.0
    waiting: float = 0.0

    @property
    def has_room(self) -> bool:
        """Return whether the pool takes more without refusals by rank or account."""
        return 2 * self.taken <= self.slots and self.waiting <= 0


class PoolView(Struct, frozen=True):
    """What this router sees of the usable servers of a pool.

    ``wait_ms`` is the time that a request waits at the best server, and ``service_ms`` the
    rest until its first event. ``usual_wait_ms`` is the mean wait at the better half of the
    servers, and ``queued_share`` how full their queues are: until the next reports, all
    routers send to the servers that look best. Servers that ``order_by_rank`` take the most
    urgent request of their queue first.
    """

    occupancy: Occupancy
    wait_ms: float = 0.0
    service_ms: float = 0.0
    usual_wait_ms: float = 0.0
    queued_share: float = 0.0
    order_by_rank: bool = False

    @property
    def expected_ms(self) -> float:
        """Return the time until the first event of a request sent now."""
        return self.wait_ms + self.service_ms


class Shares(Struct):
    """Shares that are refused, by rank and by account key.

    ``pressure`` is that of the most urgent rank with requests.
    """

    decided_ms: int
    by_rank: dict[int, float] = {}
    by_account: dict[int, float] = {}
    pressure: float = 0.0
    demand_per_s: float = 0.0
    answered_per_s: float = 0.0


class RefusedShares(Struct):
    """Decides on the shares of one pool.

    ``objectives_ms`` are by rank. ``service_ms`` is the average time of the work itself,
    ``takes_per_s`` the requests that the pool takes, and ``needed_ms`` when refusals were
    needed last, by rank and whether for more urgent ranks or among its accounts.
    """

    clock: Clock
    pool: str
    rates: RequestRates
    objectives_ms: dict[int, int] = field(default_factory=dict)
    usual: UsualRates = field(default_factory=UsualRates)
    service_ms: float = 0.0
    takes_per_s: float = 0.0
    needed_ms: dict[tuple[int, bool], int] = field(default_factory=dict)
    decided: Shares | None = None

    def record_objective(self, rank: int, objective_ms: int) -> None:
        """Record the objective of a request; the shortest one of its rank counts."""
        if objective_ms > 0:
            known_ms = self.objectives_ms.get(rank, objective_ms)
            self.objectives_ms[rank] = min(known_ms, objective_ms)

    def objective_ms(self, rank: int) -> int:
        """Return the objective of a rank, or the shortest one if none is known."""
        return self.objectives_ms.get(rank) or min(
            self.objectives_ms.values(), default=0
        )

    def current(self, view: PoolView) -> Shares:
        """Return the shares, decided anew at most every 50 ms."""
        self.service_ms += SERVICE_WEIGHT * (view.service_ms - self.service_ms)
        now_ms = self.clock.now_ms()
        if (
            self.decided is None
            or now_ms - self.decided.decided_ms >= DECISION_INTERVAL_MS
        ):
            self.decided = self.decide(view)
            self.learn_usual_rates(self.decided)
        return self.decided

    def decide(self, view: PoolView) -> Shares:
        """Return the shares of each rank and account that are to be refused now.

        Ranks are refused from the least urgent one upwards, each for the sake of those
        that are more urgent. Accounts over their rate are refused for their own rank too.
        """
        demand = {
            rank: per_s
            for rank in range(MAX_RANK + 1)
            if (per_s := self.rates.group_per_s(self.pool, rank)) > 0
        }
        shares = Shares(self.clock.now_ms(), {}, {}, demand_per_s=sum(demand.values()))
        if not demand:
            return shares
        shares.answered_per_s = self.rates.answered_per_s(self.pool)
        self.update_takes(shares)
        pressures = self.pressures(view, demand)
        shares.pressure = pressures[min(pressures)]
        if view.occupancy.has_room:
            return shares
        refused_per_s = 0.0
        for rank in sorted(demand, reverse=True):
            urgent = max(
                (pressures[other] for other in demand if other < rank), default=0.0
            )
            excess_per_s = self.excess_per_s(rank, True, urgent, shares)
            own_excess_per_s = self.excess_per_s(
                rank, False, max(urgent, pressures[rank]), shares
            )
            of_accounts = self.refuse_accounts(
                rank, own_excess_per_s - refused_per_s, shares
            )
            floor_per_s = max(
                FLOOR * self.takes_per_s, MIN_ADMITTED_SHARE * demand[rank]
            )
            refused_per_s += of_accounts
            left_per_s = demand[rank] - of_accounts
            of_rank = min(excess_per_s - refused_per_s, left_per_s - floor_per_s)
            if of_rank > 0:
                shares.by_rank[rank] = of_rank / left_per_s
                refused_per_s += of_rank
        return shares

    def update_takes(self, shares: Shares) -> None:
        """Follow how many requests a second the pool takes: the most that it answered."""
        if self.decided is not None:
            elapsed_ms = shares.decided_ms - self.decided.decided_ms
            self.takes_per_s *= exp(-elapsed_ms / CAPACITY_DECAY_MS)
        self.takes_per_s = max(self.takes_per_s, shares.answered_per_s)

    def excess_per_s(
        self, rank: int, for_urgent: bool, pressure: float, shares: Shares
    ) -> float:
        """Return how many requests a second are too many, 0 without refusals.

        Refusals begin under pressure and last while there are more requests than the pool
        takes: without them the pressure would be back before the next reports. A pressure
        that stays low shows that the counts are out of date.
        """
        key, now_ms = (rank, for_urgent), self.clock.now_ms()
        excess_per_s = shares.demand_per_s - self.takes_per_s * admitted_factor(
            pressure
        )
        goes_on = key in self.needed_ms and pressure > LOW_PRESSURE and excess_per_s > 0
        if pressure >= START_PRESSURE or goes_on:
            self.needed_ms[key] = now_ms
        elif now_ms - self.needed_ms.get(key, now_ms) > RELIEF_MS:
            del self.needed_ms[key]
        return max(excess_per_s, 0.0) if key in self.needed_ms else 0.0

    def pressures(
        self, view: PoolView, demand: Mapping[int, float]
    ) -> dict[int, float]:
        """Return the wait relative to what the objective leaves for it, by rank.

        Where servers take urgent requests first, only as urgent ones are waited for.
        """
        total, up_to = sum(demand.values()), 0.0
        pressures = {}
        for rank in sorted(demand):
            up_to += demand[rank]
            wait_ms = view.usual_wait_ms
            if view.order_by_rank:
                wait_ms *= up_to / total
            objective_ms = self.objective_ms(rank)
            allowed_ms = max(
                objective_ms - self.service_ms, MIN_WAIT_SHARE * objective_ms
            )
            by_time = wait_ms / allowed_ms if allowed_ms > 0 else 0.0
            pressures[rank] = max(by_time, view.queued_share / FULL_QUEUE_SHARE)
        return pressures

    def refuse_accounts(self, rank: int, needed_per_s: float, shares: Shares) -> float:
        """Refuse accounts of a rank for what exceeds their rate; return how much."""
        if needed_per_s <= 0:
            return 0.0
        rates = self.rates.accounts_per_s(self.pool, rank)
        fair_per_s = shares.answered_per_s / max(len(rates), 1)
        excess = self.usual.excess(rates, fair_per_s)
        total_per_s = sum(excess.values())
        if not total_per_s:
            return 0.0
        part = min(needed_per_s / total_per_s, 1.0)
        for key, over_per_s in excess.items():
            refused = (part * over_per_s / rates[key]) ** (1 / USUAL_TRIES)
            shares.by_account[key] = min(refused, 1 - FLOOR)
        return part * total_per_s

    def learn_usual_rates(self, shares: Shares) -> None:
        """Follow the usual rates of the accounts while the pool is not under pressure.

        What an account sends under pressure is the surge, or what its clients repeat.
        """
        now_ms = self.clock.now_ms()
        if not self.usual.is_due(now_ms) or shares.pressure >= START_PRESSURE:
            return
        rates: dict[int, float] = {}
        for rank in range(MAX_RANK + 1):
            rates |= self.rates.accounts_per_s(self.pool, rank)
        self.usual.learn(rates, now_ms)


def admitted_factor(pressure: float) -> float:
    """Return which multiple of what the pool takes is admitted at a pressure."""
    part = (pressure - LOW_PRESSURE) / (HIGH_PRESSURE - LOW_PRESSURE)
    part = min(max(part, 0.0), 1.0)
    return MAX_ADMITTED - part * (MAX_ADMITTED - MIN_ADMITTED)

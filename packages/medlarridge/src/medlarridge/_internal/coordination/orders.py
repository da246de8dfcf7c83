"""Orders to engines: the controller's decisions and the sidecar's guard.

Orders carry a mark that only grows: the fencing number of the controller's lease,
then a number within that term. The sidecar is the only sender to its engine and
refuses marks that are not above the highest it knows, which protects engines that
ignore old numbers.
"""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import NamedTuple

import msgspec

from ..clock import MS_PER_S, Clock
from ..events import register
from ..log import log_event

ORDER_TIMEOUT_MS = 5 * 60 * 1000
REPORT_MAX_AGE_MS = 30_000
RETRY_DELAY_MS = 10_000
BUSY_SHARE = 0.25
"""Share of a pool's servers that may load weights at the same time."""
STALE_ORDER = register(3020, "WARNING", "engine order with an old mark refused")
ORDER_EXPIRED = register(3021, "WARNING", "engine order not reported as done in time")


class OrderKind(StrEnum):
    """What an engine is told to do."""

    LOAD_MODEL = "load-model"
    LOAD_VERSION = "load-version"
    LOAD_ADAPTER = "load-adapter"
    CHANGE_ROLE = "change-role"


WEIGHT_LOAD_KINDS = {
    OrderKind.LOAD_MODEL,
    OrderKind.LOAD_VERSION,
    OrderKind.LOAD_ADAPTER,
}


class Mark(NamedTuple):
    """Place of an order in the sequence of all orders to a server."""

    fencing: int
    number: int


NO_MARK = Mark(0, 0)


class Order(msgspec.Struct, frozen=True, tag="order"):
    """One order to the engine of one server.

    ``name`` is a model, ``model@version``, an adapter or a role. ``target`` is the
    instance number of the sidecar, so that a successor at its address refuses it.
    """

    server: str
    target: int
    kind: OrderKind
    name: str
    mark: Mark


class EngineReport(msgspec.Struct, frozen=True):
    """What a sidecar reports about its engine."""

    server: str
    number: int
    pool: str
    models: list[str] = []
    adapters: list[str] = []
    role: str = ""
    mark: Mark = NO_MARK
    busy: bool = False


@dataclass(frozen=True)
class DesiredState:
    """What the pools table wants of each engine of a pool."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""


class WeightLoadLimit:
    """Token bucket over weight loads, empty at the start of each term.

    A new controller does not know what its predecessor has just started.
    """

    def __init__(self, clock: Clock, loads_per_min: float, burst: int) -> None:
        self.clock = clock
        self.per_ms = loads_per_min / (60 * MS_PER_S)
        self.burst = burst
        self.tokens = 0.0
        self.updated_ms = clock.now_ms()

    def take(self) -> bool:
        """Account for one load if the rate allows it."""
        now_ms = self.clock.now_ms()
        self.tokens += (now_ms - self.updated_ms) * self.per_ms
        self.tokens = min(self.tokens, float(self.burst))
        self.updated_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass
class ServerState:
    """What the controller knows of one server."""

    report: EngineReport
    reported_ms: int
    order: Order | None = None
    ordered_ms: int = 0
    retry_at_ms: int = 0

    @property
    def is_busy(self) -> bool:
        """Tell whether an order is running or on its way."""
        return self.order is not None or self.report.busy


class OrderController:
    """Decides which orders to send during one term of the lease.

    Create a new one for each fencing number. Each order must be recorded with
    ``OrderJournal.record`` before it is sent.
    """

    def __init__(
        self, fencing: int, clock: Clock, random: Random, limit: WeightLoadLimit
    ) -> None:
        self.fencing = fencing
        self.clock = clock
        self.random = random
        self.limit = limit
        self.servers: dict[str, ServerState] = {}
        self.last_number = 0

    def on_report(self, report: EngineReport) -> None:
        """Take the report of a sidecar."""
        now_ms = self.clock.now_ms()
        state = self.servers.get(report.server)
        if state is None or state.report.number != report.number:
            self.servers[report.server] = ServerState(report, now_ms)
            return
        state.report, state.reported_ms = report, now_ms
        if state.order and report.mark >= state.order.mark and not report.busy:
            state.order = None

    def on_failure(self, order: Order) -> None:
        """Note that an order was refused or could not be recorded or sent."""
        state = self.servers.get(order.server)
        if state is not None and state.order == order:
            state.order = None
            delay_ms = RETRY_DELAY_MS * self.random.uniform(1.0, 2.0)
            state.retry_at_ms = self.clock.now_ms() + int(delay_ms)

    def plan(self, wanted: dict[str, DesiredState]) -> list[Order]:
        """Return the orders to record and send now."""
        self.forget_old()
        sizes = Counter(state.report.pool for state in self.servers.values())
        busy = Counter(
            state.report.pool for state in self.servers.values() if state.is_busy
        )
        orders = []
        for server, state in sorted(self.servers.items()):
            pool = state.report.pool
            if pool not in wanted or not self.may_order(state):
                continue
            need = next_difference(wanted[pool], state.report)
            if need is None or busy[pool] >= max(1, int(sizes[pool] * BUSY_SHARE)):
                continue
            if need[0] in WEIGHT_LOAD_KINDS and not self.limit.take():
                continue
            busy[pool] += 1
            orders.append(self.new_order(server, state, *need))
        return orders

    def may_order(self, state: ServerState) -> bool:
        """Tell whether the server takes an order now; one at a time."""
        return not state.is_busy and self.clock.now_ms() >= state.retry_at_ms

    def new_order(
        self, server: str, state: ServerState, kind: OrderKind, name: str
    ) -> Order:
        """Return an order with the next mark and note it as on its way."""
        self.last_number += 1
        mark = Mark(self.fencing, self.last_number)
        state.order = Order(server, state.report.number, kind, name, mark)
        state.ordered_ms = self.clock.now_ms()
        return state.order

    def forget_old(self) -> None:
        """Forget silent servers and orders that were not reported as done."""
        now_ms = self.clock.now_ms()
        for server, state in list(self.servers.items()):
            if now_ms - state.reported_ms > REPORT_MAX_AGE_MS:
                del self.servers[server]
            elif state.order and now_ms - state.ordered_ms > ORDER_TIMEOUT_MS:
                log_event(ORDER_EXPIRED, server=server, mark=state.order.mark)
                state.order = None


def next_difference(
    wanted: DesiredState, report: EngineReport
) -> tuple[OrderKind, str] | None:
    """Return the first difference between what is wanted and what is reported."""
    if wanted.role and report.role != wanted.role:
        return OrderKind.CHANGE_ROLE, wanted.role
    loaded_names = {model.partition("@")[0] for model in report.models}
    for model in wanted.models:
        if model not in report.models:
            has_other = model.partition("@")[0] in loaded_names
            kind = OrderKind.LOAD_VERSION if has_other else OrderKind.LOAD_MODEL
            return kind, model
    for adapter in wanted.adapters:
        if adapter not in report.adapters:
            return OrderKind.LOAD_ADAPTER, adapter
    return None


class OrderRefusal(StrEnum):
    """Reason why a sidecar did not pass an order on."""

    STALE = "stale"
    WRONG_INSTANCE = "wrong-instance"
    BUSY = "busy"
    STORE_UNAVAILABLE = "store-unavailable"


class OrderGuard:
    """Sidecar's check of orders; nothing passes before the stored mark is known."""

    def __init__(self, server: str, instance_number: int) -> None:
        self.server = server
        self.instance_number = instance_number
        self.highest: Mark | None = None
        self.accepted = NO_MARK
        self.running: Order | None = None

    def on_highest(self, mark: Mark) -> None:
        """Take the highest mark that the store holds."""
        self.highest = max(self.highest or NO_MARK, mark)

    def accept(self, order: Order) -> OrderRefusal | None:
        """Take an order, or return why it must not reach the engine."""
        if order.server != self.server or order.target != self.instance_number:
            return OrderRefusal.WRONG_INSTANCE
        if self.highest is None:
            return OrderRefusal.STORE_UNAVAILABLE
        if self.is_stale(order):
            log_event(STALE_ORDER, mark=order.mark, highest=self.highest)
            return OrderRefusal.STALE
        if self.running is not None:
            return OrderRefusal.BUSY
        self.highest = self.accepted = order.mark
        self.running = order
        return None

    def is_stale(self, order: Order) -> bool:
        """Tell whether an order is not newer than what this sidecar accepted.

        The store's mark may be that of this very order, because the controller
        records an order before it sends it.
        """
        assert self.highest is not None
        return order.mark < self.highest or order.mark == self.accepted

    def may_send(self, order: Order) -> bool:
        """Tell whether an accepted order may still be sent to the engine."""
        return self.running == order and order.mark == self.highest

    def finish(self, order: Order) -> None:
        """Note that the engine has ended the order."""
        if self.running == order:
            self.running = None

"""Orders to engines: planning in the controller, checks in the sidecar.

Each order carries a mark that increases monotonically: the fencing number of the
controller's lease, then a number within the term of that lease. Only the sidecar sends
orders to its engine. It refuses marks that are not above the highest it knows, which
protects engines that do not check the numbers themselves.
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
MAX_BUSY_SHARE = 0.25
"""Maximum share of the servers of a pool that carry out orders at the same time."""
STALE_ORDER = register(3020, "WARNING", "stale engine order refused")
ORDER_EXPIRED = register(3021, "WARNING", "engine order timed out")


class OrderKind(StrEnum):
    """What an engine has to do."""

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
    """Monotonic position of an order among all orders to a server."""

    fencing: int
    number: int


NO_MARK = Mark(0, 0)


class Order(msgspec.Struct, frozen=True, tag="order"):
    """An order to the engine of one server.

    ``name`` is a model, ``model@version``, an adapter or a role. ``target`` is the
    instance number of the sidecar, so that a later instance at the same address refuses
    the order.
    """

    server: str
    target: int
    kind: OrderKind
    name: str
    mark: Mark


class EngineReport(msgspec.Struct, frozen=True):
    """State of an engine, as reported by its sidecar."""

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
    """Desired state of each engine of a pool, from the pools table."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""


class WeightLoadLimit:
    """Token bucket for weight loads, empty at the start of each term.

    It starts empty because a new controller does not know which loads its predecessor
    has just started.
    """

    def __init__(self, clock: Clock, loads_per_min: float, burst: int) -> None:
        self.clock = clock
        self.loads_per_ms = loads_per_min / (60 * MS_PER_S)
        self.burst = burst
        self.tokens = 0.0
        self.updated_ms = clock.now_ms()

    def take(self) -> bool:
        """Take a token for one load; return whether the rate allows it."""
        now_ms = self.clock.now_ms()
        self.tokens += (now_ms - self.updated_ms) * self.loads_per_ms
        self.tokens = min(self.tokens, float(self.burst))
        self.updated_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass
class ServerState:
    """State of one server in the controller."""

    report: EngineReport
    reported_ms: int
    order: Order | None = None
    ordered_ms: int = 0
    retry_at_ms: int = 0

    @property
    def is_busy(self) -> bool:
        """Return whether an order is running or was sent."""
        return self.order is not None or self.report.busy


class OrderController:
    """Plans the orders of one term of the lease.

    Each fencing number needs a new controller. Each order must be recorded with
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
        """Handle the report of a sidecar."""
        now_ms = self.clock.now_ms()
        state = self.servers.get(report.server)
        if state is None or state.report.number != report.number:
            self.servers[report.server] = ServerState(report, now_ms)
            return
        state.report, state.reported_ms = report, now_ms
        if state.order and report.mark >= state.order.mark and not report.busy:
            state.order = None

    def on_failure(self, order: Order) -> None:
        """Handle an order that was refused or could not be recorded or sent."""
        state = self.servers.get(order.server)
        if state is not None and state.order == order:
            state.order = None
            delay_ms = RETRY_DELAY_MS * self.random.uniform(1.0, 2.0)
            state.retry_at_ms = self.clock.now_ms() + int(delay_ms)

    def plan(self, desired: dict[str, DesiredState]) -> list[Order]:
        """Return the orders to record and send now, at most one per server."""
        self.remove_expired()
        pool_sizes = Counter(state.report.pool for state in self.servers.values())
        busy_servers = Counter(
            state.report.pool for state in self.servers.values() if state.is_busy
        )
        orders = []
        for server, state in sorted(self.servers.items()):
            pool = state.report.pool
            if pool not in desired or not self.may_order(state):
                continue
            difference = next_difference(desired[pool], state.report)
            if difference is None or busy_servers[pool] >= max(
                1, int(pool_sizes[pool] * MAX_BUSY_SHARE)
            ):
                continue
            if difference[0] in WEIGHT_LOAD_KINDS and not self.limit.take():
                continue
            busy_servers[pool] += 1
            orders.append(self.new_order(server, state, *difference))
        return orders

    def may_order(self, state: ServerState) -> bool:
        """Return whether an order may be sent to the server now."""
        return not state.is_busy and self.clock.now_ms() >= state.retry_at_ms

    def new_order(
        self, server: str, state: ServerState, kind: OrderKind, name: str
    ) -> Order:
        """Create an order with the next mark and set it as the server's order."""
        self.last_number += 1
        mark = Mark(self.fencing, self.last_number)
        state.order = Order(server, state.report.number, kind, name, mark)
        state.ordered_ms = self.clock.now_ms()
        return state.order

    def remove_expired(self) -> None:
        """Remove servers without recent reports and orders that timed out."""
        now_ms = self.clock.now_ms()
        for server, state in list(self.servers.items()):
            if now_ms - state.reported_ms > REPORT_MAX_AGE_MS:
                del self.servers[server]
            elif state.order and now_ms - state.ordered_ms > ORDER_TIMEOUT_MS:
                log_event(ORDER_EXPIRED, server=server, mark=state.order.mark)
                state.order = None


def next_difference(
    desired: DesiredState, report: EngineReport
) -> tuple[OrderKind, str] | None:
    """Return the first difference between the desired and the reported state."""
    if desired.role and report.role != desired.role:
        return OrderKind.CHANGE_ROLE, desired.role
    loaded_names = {model.partition("@")[0] for model in report.models}
    for model in desired.models:
        if model not in report.models:
            is_other_version_loaded = model.partition("@")[0] in loaded_names
            kind = (
                OrderKind.LOAD_VERSION
                if is_other_version_loaded
                else OrderKind.LOAD_MODEL
            )
            return kind, model
    for adapter in desired.adapters:
        if adapter not in report.adapters:
            return OrderKind.LOAD_ADAPTER, adapter
    return None


class OrderRefusal(StrEnum):
    """Why a sidecar did not pass an order to its engine."""

    STALE = "stale"
    WRONG_INSTANCE = "wrong-instance"
    BUSY = "busy"
    STORE_UNAVAILABLE = "store-unavailable"


class OrderGuard:
    """Checks orders in a sidecar; refuses all until the stored mark is known."""

    def __init__(self, server: str, instance_number: int) -> None:
        self.server = server
        self.instance_number = instance_number
        self.highest_mark: Mark | None = None
        self.accepted_mark = NO_MARK
        self.running: Order | None = None

    def on_highest(self, mark: Mark) -> None:
        """Update the highest known mark from the store."""
        self.highest_mark = max(self.highest_mark or NO_MARK, mark)

    def accept(self, order: Order) -> OrderRefusal | None:
        """Accept an order, or return why it must not reach the engine."""
        if order.server != self.server or order.target != self.instance_number:
            return OrderRefusal.WRONG_INSTANCE
        if self.highest_mark is None:
            return OrderRefusal.STORE_UNAVAILABLE
        if self.is_stale(order):
            log_event(STALE_ORDER, mark=order.mark, highest=self.highest_mark)
            return OrderRefusal.STALE
        if self.running is not None:
            return OrderRefusal.BUSY
        self.highest_mark = self.accepted_mark = order.mark
        self.running = order
        return None

    def is_stale(self, order: Order) -> bool:
        """Return whether an order is outdated or was accepted already.

        The stored mark may be that of the order itself, because the controller records
        an order before it sends it.
        """
        assert self.highest_mark is not None
        return order.mark < self.highest_mark or order.mark == self.accepted_mark

    def may_send(self, order: Order) -> bool:
        """Return whether an accepted order may still be sent to the engine."""
        return self.running == order and order.mark == self.highest_mark

    def finish(self, order: Order) -> None:
        """Handle the end of an order at the engine."""
        if self.running == order:
            self.running = None

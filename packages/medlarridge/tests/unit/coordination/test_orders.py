from random import Random

from result import Err, Ok

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.orders import (
    ORDER_TIMEOUT_MS,
    DesiredState,
    EngineReport,
    Mark,
    Order,
    OrderController,
    OrderGuard,
    OrderKind,
    OrderRefusal,
    WeightLoadLimit,
)
from medlarridge._internal.state.memory import MemoryStore, StoreFault
from medlarridge._internal.state.order_journal import OrderJournal

SERVER = "127.0.0.1:7001"
DESIRED = {"narratives": DesiredState(models=("souk@2",), adapters=("fes",))}


def order(fencing, number=1, target=1):
    return Order(SERVER, target, OrderKind.LOAD_MODEL, "souk", Mark(fencing, number))


def report(index=1, **fields):
    return EngineReport(f"127.0.0.1:{7000 + index}", index, "narratives", **fields)


class ControllerCase:
    """Controller with a manual clock and, by default, a high rate of weight loads."""

    def __init__(self, loads_per_min=60_000, burst=100):
        self.clock = ManualClock()
        limit = WeightLoadLimit(self.clock, loads_per_min, burst)
        self.controller = OrderController(7, self.clock, Random(1), limit)
        self.clock.advance(1000)

    def plan(self, *reports):
        for item in reports:
            self.controller.on_report(item)
        return self.controller.plan(DESIRED)


class TestOrderController:
    def test_orders_one_difference_at_a_time(self):
        """Guards against two concurrent orders to an engine and missing orders."""
        case = ControllerCase()
        (first,) = case.plan(report(models=["souk@1"]))
        assert (first.kind, first.name) == (OrderKind.LOAD_VERSION, "souk@2")
        assert first.mark == Mark(7, 1)
        assert case.plan(report(models=["souk@1"], mark=first.mark, busy=True)) == []
        (second,) = case.plan(report(models=["souk@2"], mark=first.mark))
        assert (second.kind, second.name) == (OrderKind.LOAD_ADAPTER, "fes")
        done = report(models=["souk@2"], adapters=["fes"], mark=second.mark)
        assert case.plan(done) == []

    def test_busy_engine_gets_no_order(self):
        """Guards against a new controller that sends orders to a busy engine."""
        reports = [report(index, busy=index == 1) for index in range(1, 21)]
        orders = ControllerCase().plan(*reports)
        assert len(orders) == 4
        assert SERVER not in {item.server for item in orders}

    def test_weight_loads_are_rate_limited(self):
        """Guards against overloading the weight store after a table edit."""
        case = ControllerCase(loads_per_min=6, burst=2)
        loads = 0
        for _ in range(600):
            case.clock.advance(100)
            loads += len(case.plan(*(report(index) for index in range(1, 101))))
        assert 6 <= loads <= 2 + 6

    def test_limits_the_share_of_busy_servers(self):
        """Guards against all engines of a pool loading weights at the same time."""
        reports = [report(index) for index in range(1, 41)]
        assert len(ControllerCase().plan(*reports)) == 10

    def test_lost_order_is_sent_again_with_a_new_mark(self):
        """Guards against a server that is never changed after an order was lost."""
        case = ControllerCase()
        (first,) = case.plan(report())
        for _ in range(ORDER_TIMEOUT_MS // 20_000 + 1):
            case.clock.advance(20_000)
            orders = case.plan(report())
        assert len(orders) == 1
        assert orders[0].mark > first.mark

    def test_refused_order_is_retried_after_a_delay(self):
        """Guards against a tight loop of orders while the store is down."""
        case = ControllerCase()
        (first,) = case.plan(report())
        case.controller.on_failure(first)
        assert case.plan(report()) == []
        case.clock.advance(20_000)
        assert len(case.plan(report())) == 1

    def test_restarted_sidecar_gets_a_new_order(self):
        """Guards against waiting for an order that was lost in a restart."""
        case = ControllerCase()
        case.plan(report())
        restarted = EngineReport(SERVER, 99, "narratives")
        (again,) = case.plan(restarted)
        assert again.target == 99


class TestOrderGuard:
    async def test_paused_controller_cannot_order(self):
        """Guards against orders of a controller that has lost its lease."""
        journal, guard = OrderJournal(MemoryStore()), OrderGuard(SERVER, 1)
        assert await journal.record(order(5)) == Ok(None)
        assert await journal.check(guard, order(5)) is None
        guard.finish(order(5))
        assert await journal.record(order(6)) == Ok(None)
        assert await journal.check(guard, order(6)) is None
        guard.finish(order(6))
        assert await journal.record(order(5, 2)) == Err(OrderRefusal.STALE)
        assert await journal.check(guard, order(5, 2)) is OrderRefusal.STALE

    async def test_controller_paused_between_record_and_send(self):
        """Guards against accepting an order older than one that is recorded."""
        journal, guard = OrderJournal(MemoryStore()), OrderGuard(SERVER, 1)
        await journal.record(order(5))
        assert await journal.check(guard, order(5)) is None
        guard.finish(order(5))
        await journal.record(order(5, 2))
        await journal.record(order(6))
        assert await journal.check(guard, order(5, 2)) is OrderRefusal.STALE

    async def test_restarted_sidecar_refuses_old_orders(self):
        """Guards against a restart that loses the highest mark."""
        journal = OrderJournal(MemoryStore())
        await journal.record(order(6))
        guard = OrderGuard(SERVER, 2)
        old = order(5, target=2)
        assert await journal.check(guard, old) is OrderRefusal.STALE
        assert await journal.check(guard, order(6, target=2)) is None

    async def test_same_order_runs_once(self):
        """Guards against a duplicate that loads the weights again."""
        journal, guard = OrderJournal(MemoryStore()), OrderGuard(SERVER, 1)
        await journal.record(order(6))
        assert await journal.check(guard, order(6)) is None
        assert guard.may_send(order(6))
        guard.finish(order(6))
        assert await journal.check(guard, order(6)) is OrderRefusal.STALE
        assert not guard.may_send(order(6))

    async def test_store_down_before_the_first_order(self):
        """Guards against an order that was not compared with the stored mark."""
        store = MemoryStore(available=False)
        journal, guard = OrderJournal(store), OrderGuard(SERVER, 1)
        unavailable = OrderRefusal.STORE_UNAVAILABLE
        assert await journal.check(guard, order(5)) is unavailable
        assert await journal.record(order(5)) == Err(unavailable)
        store.available = True
        assert await journal.check(guard, order(5)) is None

    async def test_ambiguous_writes_are_read_back(self):
        """Guards against an order that is sent without a record, or the reverse."""
        for fault in (StoreFault.LOST_AFTER, StoreFault.LOST_BEFORE):
            store = MemoryStore(faults={2: fault})
            journal = OrderJournal(store)
            assert await journal.record(order(5)) == Ok(None)
            assert (await journal.read(SERVER)).ok_value[0] == Mark(5, 1)

    async def test_order_for_an_earlier_start_or_a_busy_engine(self):
        """Guards against orders for another instance and two concurrent orders."""
        journal, guard = OrderJournal(MemoryStore()), OrderGuard(SERVER, 2)
        wrong = order(5, target=1)
        assert await journal.check(guard, wrong) is OrderRefusal.WRONG_INSTANCE
        assert await journal.check(guard, order(5, target=2)) is None
        second = order(5, 2, target=2)
        assert await journal.check(guard, second) is OrderRefusal.BUSY

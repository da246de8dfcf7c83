"""Orders to the engine: check, execution and reports to the controller."""

import anyio
import anyio.abc
import httpx
import msgspec
from result import Err

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.coordination.lease import LeaseRecord
from medlarridge._internal.coordination.orders import (
    WEIGHT_LOAD_KINDS,
    DesiredState,
    EngineReport,
    Order,
    OrderGuard,
    OrderKind,
    OrderRefusal,
    next_difference,
)
from medlarridge._internal.errors import TransportError
from medlarridge._internal.events import register
from medlarridge._internal.log import log_event
from medlarridge._internal.node import ENGINE_REPORT_DATAGRAM, ORDERS_LEASE, Node
from medlarridge._internal.protocol.tables import PoolKind
from medlarridge._internal.state.keys import lease_key
from medlarridge._internal.state.order_journal import OrderJournal
from medlarridge._internal.transport.asgi import (
    Endpoints,
    HttpError,
    HttpRequest,
    HttpResponse,
)
from medlarridge._internal.transport.auth import SharedKey

REPORT_INTERVAL_MS = 10_000
ORDER_TIMEOUT_MS = 300_000
MAX_ORDER_BYTES = 4096

ORDER_DONE = register(2020, "INFO", "engine executed an order")
ORDER_REFUSED = register(2021, "WARNING", "order refused")
ENGINE_FAILED = register(2022, "ERROR", "engine failed to execute an order")
REPORT_TOO_LARGE = register(2023, "ERROR", "engine report does not fit into a datagram")

_encoder = msgspec.msgpack.Encoder()
_order_decoder = msgspec.msgpack.Decoder(Order)
_lease_decoder = msgspec.msgpack.Decoder(LeaseRecord)


class EngineOrders:
    """Only sender of orders to the engine of this sidecar."""

    def __init__(
        self, node: Node, pool: str, server: str, client: httpx.AsyncClient
    ) -> None:
        self.node = node
        self.pool = pool
        self.server = server.rstrip("/")
        self.client = client
        self.journal = OrderJournal(node.store)
        self.guard = OrderGuard(node.instance.address, node.instance.number)
        self.models: list[str] = []
        self.adapters: list[str] = []
        self.tasks: anyio.abc.TaskGroup | None = None

    def add_endpoint(self, endpoints: Endpoints, key: SharedKey) -> None:
        """Register the endpoint for the orders of controllers."""

        @endpoints.register("POST", "/orders")
        async def receive_order(request: HttpRequest, response: HttpResponse) -> None:
            key.check(request)
            body = await request.body(MAX_ORDER_BYTES)
            try:
                order = _order_decoder.decode(body)
            except msgspec.MsgspecError as error:
                raise HttpError(400, f"malformed order: {error}") from error
            refusal = await self.accept(order)
            if refusal is not None:
                raise HttpError(409, refusal)
            await response.reply(202, b"")

    async def accept(self, order: Order) -> OrderRefusal | None:
        """Check an order and start its execution, or return why it is refused."""
        refusal = await self.journal.check(self.guard, order)
        if refusal is None and self.tasks is not None:
            self.tasks.start_soon(self.execute, order)
        elif refusal is not None:
            log_event(ORDER_REFUSED, kind=order.kind, name=order.name, reason=refusal)
        return refusal

    async def execute(self, order: Order) -> None:
        """Send an accepted order to the engine."""
        try:
            if not self.guard.may_send(order):
                return
            response = await self.client.post(
                f"{self.server}/orders",
                json={
                    "fencing_number": order.mark.fencing,
                    "kind": order.kind,
                    "name": order.name,
                },
                timeout=ORDER_TIMEOUT_MS / MS_PER_S,
            )
            if response.is_success:
                self.record_done(order)
            else:
                log_event(ENGINE_FAILED, kind=order.kind, status=response.status_code)
        except httpx.HTTPError as error:
            log_event(ENGINE_FAILED, kind=order.kind, error=repr(error))
        finally:
            self.guard.finish(order)

    def record_done(self, order: Order) -> None:
        """Record the model or adapter that an order has loaded."""
        log_event(ORDER_DONE, kind=order.kind, name=order.name)
        if order.kind is OrderKind.LOAD_ADAPTER:
            self.adapters.append(order.name)
        elif order.kind in WEIGHT_LOAD_KINDS:
            name = order.name.partition("@")[0]
            other_models = [m for m in self.models if m.partition("@")[0] != name]
            self.models = [*other_models, order.name]

    def report(self) -> EngineReport:
        """Return what the engine has loaded."""
        return EngineReport(
            self.node.instance.address,
            self.node.instance.number,
            self.pool,
            self.models,
            self.adapters,
            mark=self.guard.accepted_mark,
            busy=self.guard.running is not None,
        )

    def server_restarted(self) -> None:
        """Clear the loaded models and adapters, which a restart unloads."""
        self.models, self.adapters = [], []

    def needs_orders(self) -> bool:
        """Return whether the engine differs from the desired state in the tables."""
        pool = self.node.fleet.tables.pools.get(self.pool)
        if pool is None or pool.kind is not PoolKind.ENGINE:
            return False
        desired_state = DesiredState(tuple(pool.models), tuple(pool.adapters))
        return next_difference(desired_state, self.report()) is not None

    async def run(self) -> None:
        """Report to the controller while the engine differs from its desired state.

        Other engines send no reports, so the load of the controller does not grow
        with the fleet.
        """
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                await anyio.sleep(
                    REPORT_INTERVAL_MS * self.node.random.uniform(0.5, 1) / MS_PER_S
                )
                if self.needs_orders() or self.guard.running is not None:
                    await self.send_report()

    async def send_report(self) -> None:
        """Send a report to the router that holds the lease."""
        result = await self.node.store.get(lease_key(ORDERS_LEASE))
        if isinstance(result, Err) or result.ok_value is None:
            return
        try:
            record = _lease_decoder.decode(result.ok_value.value)
        except msgspec.MsgspecError:
            return
        if record.holder is None:
            return
        try:
            await self.node.cluster.send(
                record.holder.address,
                ENGINE_REPORT_DATAGRAM,
                _encoder.encode(self.report()),
            )
        except TransportError as error:
            log_event(REPORT_TOO_LARGE, error=str(error))

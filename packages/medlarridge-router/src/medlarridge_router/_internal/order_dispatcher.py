"""Dispatch of orders to engines, done by the router that holds the lease."""

import anyio
import httpx
import msgspec

from medlarridge._internal.clock import MS_PER_S, Clock, WallClock
from medlarridge._internal.coordination.lease import Lease
from medlarridge._internal.coordination.orders import (
    DesiredState,
    EngineReport,
    Order,
    OrderController,
    OrderRefusal,
    WeightLoadLimit,
)
from medlarridge._internal.events import register
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.log import log_event
from medlarridge._internal.node import ORDERS_LEASE, Node
from medlarridge._internal.protocol.codec import decode_message
from medlarridge._internal.protocol.tables import PoolKind
from medlarridge._internal.state.audit import AuditTrail
from medlarridge._internal.state.order_journal import OrderJournal
from medlarridge._internal.transport.auth import SharedKey

PLAN_INTERVAL_MS = 1_000
SEND_TIMEOUT_MS = 5_000
ORDERS_PER_TERM = 1_000_000
"""Upper bound of the orders in one lease term, so that audit numbers increase."""

ORDER_SENT = register(1100, "INFO", "order sent to an engine's sidecar")
ORDER_UNAUDITED = register(
    1102, "WARNING", "order could not be written to the audit trail"
)
ORDER_FAILED = register(1101, "WARNING", "order was not accepted by the sidecar")

_decoder = msgspec.msgpack.Decoder(EngineReport)
_encoder = msgspec.msgpack.Encoder()


class OrderDispatcher:
    """Plans, records and sends orders while this router holds the lease.

    Safety does not depend on the lease, which only avoids duplicate work: orders of a
    former holder carry an old fencing number, which the store and the sidecars refuse.
    """

    def __init__(
        self, node: Node, client: httpx.AsyncClient, key: SharedKey, loads_per_min: int
    ) -> None:
        self.clock: Clock = node.clock
        self.random = node.random
        self.fleet: FleetView = node.fleet
        self.client = client
        self.key = key
        self.loads_per_min = loads_per_min
        self.lease = Lease(ORDERS_LEASE, node.instance, node.clock, node.random)
        self.journal = OrderJournal(node.store)
        self.audit_trail = AuditTrail(node.store, WallClock())
        self.controller: OrderController | None = None

    def current_controller(self) -> OrderController | None:
        """Return the controller of the current lease term, ``None`` without the lease."""
        if not self.lease.is_held():
            self.controller = None
        elif self.controller is None or self.controller.fencing != self.lease.fencing:
            limit = WeightLoadLimit(self.clock, self.loads_per_min, burst=1)
            self.controller = OrderController(
                self.lease.fencing, self.clock, self.random, limit
            )
        return self.controller

    async def receive(self, source: str, payload: bytes) -> None:
        """Handle the report of a sidecar."""
        report = decode_message(_decoder, payload, source)
        controller = self.current_controller()
        if controller is not None and report.server == source:
            controller.on_report(report)

    async def run(self) -> None:
        """Plan and send orders once per second."""
        while True:
            await anyio.sleep(PLAN_INTERVAL_MS / MS_PER_S)
            controller = self.current_controller()
            if controller is None:
                continue
            for order in controller.plan(self.desired_states()):
                await self.send(controller, order)

    def desired_states(self) -> dict[str, DesiredState]:
        """Return the desired state of each engine pool as the tables define it."""
        return {
            name: DesiredState(tuple(pool.models), tuple(pool.adapters))
            for name, pool in self.fleet.tables.pools.items()
            if pool.kind is PoolKind.ENGINE
        }

    async def send(self, controller: OrderController, order: Order) -> None:
        """Record an order in the journal, then send it to the sidecar."""
        refusal = (await self.journal.record(order)).err()
        if refusal is None:
            refusal = await self.post(order)
        if refusal is None:
            await self.audit(order)
            log_event(ORDER_SENT, server=order.server, kind=order.kind, name=order.name)
            return
        log_event(ORDER_FAILED, server=order.server, kind=order.kind, reason=refusal)
        controller.on_failure(order)

    async def audit(self, order: Order) -> None:
        """Write an accepted order to the audit trail.

        A failure loses the entry but does not affect the order.
        """
        recorded = await self.audit_trail.record_event(
            f"{self.lease.instance.address}#{self.lease.instance.number}",
            f"orders/{order.server}",
            order.mark.fencing * ORDERS_PER_TERM + order.mark.number,
            b"",
            f"{order.kind} {order.name}".encode(),
        )
        if recorded.is_err():
            log_event(ORDER_UNAUDITED, server=order.server, error=recorded.unwrap_err())

    async def post(self, order: Order) -> OrderRefusal | str | None:
        """Send an order; return why it was not accepted, ``None`` if it was."""
        try:
            response = await self.client.post(
                f"http://{order.server}/orders",
                content=_encoder.encode(order),
                headers=self.key.headers(),
                timeout=SEND_TIMEOUT_MS / MS_PER_S,
            )
        except httpx.TransportError as error:
            return f"not sent: {error!r}"
        return None if response.is_success else response.text

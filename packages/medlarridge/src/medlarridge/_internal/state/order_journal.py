"""Stored order marks, for the controller and for sidecars."""

import msgspec
from result import Err, Ok, Result

from ..coordination.orders import NO_MARK, Mark, Order, OrderGuard, OrderRefusal
from ..coordination.steps import Get, Put
from ..errors import StoreError, StoreErrorKind
from .keys import orders_key
from .step_executor import execute_step
from .store import CREATE, ObjectStore

MAX_ATTEMPTS = 5
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Mark)


class OrderJournal:
    """Reads and raises the highest order mark of each server."""

    def __init__(self, store: ObjectStore) -> None:
        self.store = store

    async def record(self, order: Order) -> Result[None, OrderRefusal]:
        """Record the mark of an order before the order is sent.

        ``STALE`` means that a newer controller exists; the caller must stop.
        """
        for _ in range(MAX_ATTEMPTS):
            read = await self.read(order.server)
            if isinstance(read, Err):
                return Err(OrderRefusal.STORE_UNAVAILABLE)
            mark, version = read.ok_value
            if mark == order.mark:
                return Ok(None)
            if mark > order.mark:
                return Err(OrderRefusal.STALE)
            put = Put(orders_key(order.server), _encoder.encode(order.mark), version)
            result = await execute_step(self.store, put)
            if isinstance(result, Ok):
                return Ok(None)
            if result.err_value.kind in (
                StoreErrorKind.UNAVAILABLE,
                StoreErrorKind.RATE_LIMITED,
            ):
                break
        return Err(OrderRefusal.STORE_UNAVAILABLE)

    async def read(self, server: str) -> Result[tuple[Mark, int], StoreError]:
        """Return the highest mark of a server and the version of its object."""
        result = await execute_step(self.store, Get(orders_key(server)))
        if isinstance(result, Err):
            return result
        stored = result.ok_value
        if stored is None:
            return Ok((NO_MARK, CREATE))
        try:
            return Ok((_decoder.decode(stored.value), stored.version))
        except msgspec.MsgspecError as error:
            kind = StoreErrorKind.UNAVAILABLE
            detail = f"malformed order mark: {error}"
            return Err(StoreError(kind, "read order mark", "store", detail))

    async def check(self, guard: OrderGuard, order: Order) -> OrderRefusal | None:
        """Check an order with the stored mark and a sidecar's guard.

        The mark is read for every order, because a newer controller may have
        recorded an order that has not reached this sidecar yet.
        """
        read = await self.read(guard.server)
        if isinstance(read, Err):
            return OrderRefusal.STORE_UNAVAILABLE
        guard.on_highest(read.ok_value[0])
        return guard.accept(order)

"""Highest order marks in the store, for the controller and for sidecars."""

import msgspec
from result import Err, Ok, Result

from ..coordination.orders import NO_MARK, Mark, Order, OrderGuard, OrderRefusal
from ..coordination.steps import Get, Put
from ..errors import StoreError, StoreErrorKind
from .keys import orders_key
from .step_executor import execute_step
from .store import CREATE, ObjectStore

MAX_TRIES = 5
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Mark)


class OrderJournal:
    """Reads and raises the highest mark of each server."""

    def __init__(self, store: ObjectStore) -> None:
        self.store = store

    async def record(self, order: Order) -> Result[None, OrderRefusal]:
        """Raise the highest mark to that of the order before it is sent.

        ``STALE`` means that a newer controller exists; the caller must stop.
        """
        for _ in range(MAX_TRIES):
            read = await self.read(order.server)
            if isinstance(read, Err):
                return Err(OrderRefusal.STORE_UNAVAILABLE)
            mark, version = read.ok_value
            if mark == order.mark:
                return Ok(None)
            if mark > order.mark:
                return Err(OrderRefusal.STALE)
            put = Put(orders_key(order.server), _encoder.encode(order.mark), version)
            answer = await execute_step(self.store, put)
            if isinstance(answer, Ok):
                return Ok(None)
            if answer.err_value.kind in (
                StoreErrorKind.UNAVAILABLE,
                StoreErrorKind.RATE_LIMITED,
            ):
                break
        return Err(OrderRefusal.STORE_UNAVAILABLE)

    async def read(self, server: str) -> Result[tuple[Mark, int], StoreError]:
        """Return the highest mark of a server and the version of its object."""
        answer = await execute_step(self.store, Get(orders_key(server)))
        if isinstance(answer, Err):
            return answer
        stored = answer.ok_value
        if stored is None:
            return Ok((NO_MARK, CREATE))
        try:
            return Ok((_decoder.decode(stored.value), stored.version))
        except msgspec.MsgspecError as error:
            kind = StoreErrorKind.UNAVAILABLE
            detail = f"malformed mark: {error}"
            return Err(StoreError(kind, "read order mark", "store", detail))

    async def check(self, guard: OrderGuard, order: Order) -> OrderRefusal | None:
        """Pass an order through a sidecar's guard.

        The mark is read before each order, not only the first: the newest
        controller's order may be recorded but not here yet.
        """
        read = await self.read(guard.server)
        if isinstance(read, Err):
            return OrderRefusal.STORE_UNAVAILABLE
        guard.on_highest(read.ok_value[0])
        return guard.accept(order)

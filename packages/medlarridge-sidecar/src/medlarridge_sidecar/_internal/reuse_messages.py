"""Datagrams of the reuse planner: pool mean, prefix and load queries."""

from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

import anyio
import msgspec

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.coordination.pool_mean import MeanMessage, Outgoing
from medlarridge._internal.coordination.reuse_planner import (
    ReuseMessage,
    ReuseOutgoing,
    ReusePlanner,
)
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.node import REUSE_DATAGRAM
from medlarridge._internal.protocol.codec import decode_message

MAX_SLEEP_MS = 250
MIN_SLEEP_MS = 5

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MeanMessage | ReuseMessage)


class DatagramSender(Protocol):
    """Sends datagrams to other processes."""

    async def send(self, address: str, kind: int, payload: bytes) -> None:
        """Send a datagram, which may be lost."""
        ...


class ReuseMessages:
    """Exchanges datagrams with the planners of the pool and runs the timer."""

    def __init__(
        self,
        planner: ReusePlanner,
        pool: str,
        fleet: FleetView,
        sender: DatagramSender,
        clock: Clock,
    ) -> None:
        self.planner = planner
        self.pool = pool
        self.fleet = fleet
        self.sender = sender
        self.clock = clock
        self.revision: Hashable = None
        self.on_ready: Callable[[], None] = lambda: None

    async def receive(self, source: str, payload: bytes) -> None:
        """Handle a datagram from another sidecar."""
        message = decode_message(_decoder, payload, source)
        await self.send_all(self.planner.receive(message, source))
        self.on_ready()

    async def send_all(self, outgoing: Iterable[Outgoing | ReuseOutgoing]) -> None:
        """Send the planner's messages."""
        for item in outgoing:
            await self.sender.send(
                item.address, REUSE_DATAGRAM, _encoder.encode(item.message)
            )

    async def run(self) -> None:
        """Run the timer of the planner and update its members."""
        while True:
            self.update_members()
            await self.send_all(self.planner.tick())
            delay_ms = self.planner.wake_ms - self.clock.now_ms()
            delay_ms = min(max(delay_ms, MIN_SLEEP_MS), MAX_SLEEP_MS)
            await anyio.sleep(delay_ms / MS_PER_S)

    def update_members(self) -> None:
        """Pass changed members and the load bound of the pool to the planner."""
        if self.revision == self.fleet.revision:
            return
        self.revision = self.fleet.revision
        self.planner.set_members(
            self.fleet.members_of(self.pool), self.fleet.held_down(self.pool)
        )
        pool = self.fleet.tables.pools.get(self.pool)
        if pool is not None:
            self.planner.bound.bound = pool.load_bound
